// Reading and writing of the queues' placements.
#include "queueplacements.h"

namespace MangoCourse {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

// The only partition of the placements' stream.
constexpr std::int32_t placementPartition = 0;
// The store is considered unreachable once reads have failed for this long.
constexpr milliseconds unreachableAfter{500};

}

QueuePlacements::QueuePlacements(net::io_context &context, RecordStore &store, EventLog &log)
    : context(context)
    , log(log)
    , appender(std::make_shared<BatchAppender>(context, store, Stream::QueuePlacements, placementPartition))
    , reader(context, store, Stream::QueuePlacements, placementPartition,
          StreamReader::Handlers{[this] {
                                     this->placements.clear();
                                 },
              [this](const StoredRecord &record) {
                  this->apply(record);
              }})
{
}

void QueuePlacements::apply(const StoredRecord &record)
{
    if (record.value.empty()) {
        this->placements.erase(record.key);
        return;
    }
    Result<QueuePlacement> placement = decodeQueuePlacement(record.value);
    if (!placement) {
        this->log.emit(
            "placement_unreadable", {{"key", record.key}, {"offset", record.offset}, {"reason", describe(placement.error())}}, EventPriority::Essential);
        return;
    }
    this->placements[record.key] = std::move(*placement);
}

net::awaitable<Result<void>> QueuePlacements::refresh()
{
    const auto startedAt = steady_clock::now();
    if (this->activeReads > 0 && this->failingSince && startedAt - *this->failingSince > unreachableAfter) {
        co_return makeError(ErrorCode::Unavailable, "not read, as reads have failed for a while", "queue placements");
    }
    ++this->activeReads;
    Result<void> read = co_await this->reader.catchUp();
    --this->activeReads;
    if (read) {
        this->failingSince.reset();
    } else {
        this->failingSince = this->failingSince.value_or(startedAt);
    }
    co_return read;
}

std::set<std::int32_t> QueuePlacements::partitionsOf(const QueueConfig &queue) const
{
    std::set<std::int32_t> partitions;
    for (const auto &[key, placement] : this->placements) {
        const bool isSameAddress = !placement.pathPrefix.empty() && placement.host == queue.host && placement.pathPrefix == queue.pathPrefix;
        if (placement.queue == queue.id || isSameAddress) {
            partitions.insert(placement.partition);
        }
    }
    return partitions;
}

bool QueuePlacements::isRecorded(const QueuePlacement &placement) const
{
    return this->placements.contains(queuePlacementKey(placement));
}

std::vector<QueuePlacement> QueuePlacements::placementsIn(std::int32_t partition) const
{
    std::vector<QueuePlacement> result;
    for (const auto &[key, placement] : this->placements) {
        if (placement.partition == partition) {
            result.push_back(placement);
        }
    }
    return result;
}

net::awaitable<bool> QueuePlacements::record(std::vector<QueuePlacement> added, steady_clock::time_point deadline)
{
    std::vector<StoredRecord> records;
    for (const QueuePlacement &placement : added) {
        if (!this->isRecorded(placement)) {
            records.push_back(StoredRecord{queuePlacementKey(placement), encodeQueuePlacement(placement), -1});
        }
    }
    const bool isDurable = co_await this->append(std::move(records), deadline);
    co_return isDurable;
}

net::awaitable<bool> QueuePlacements::remove(std::vector<QueuePlacement> removed, steady_clock::time_point deadline)
{
    std::vector<StoredRecord> records;
    for (const QueuePlacement &placement : removed) {
        records.push_back(StoredRecord{queuePlacementKey(placement), {}, -1});
    }
    const bool isDurable = co_await this->append(std::move(records), deadline);
    co_return isDurable;
}

net::awaitable<bool> QueuePlacements::append(std::vector<StoredRecord> records, steady_clock::time_point deadline)
{
    for (StoredRecord &record : records) {
        const StoredRecord appended = record;
        const AppendResult result = co_await this->appender->append(std::move(record), deadline);
        if (result.outcome == AppendOutcome::Durable) {
            this->apply(appended);
            continue;
        }
        // An append whose answer was lost may have been carried out.
        const Result<void> read = co_await this->refresh();
        if (!read || this->placements.contains(appended.key) == appended.value.empty()) {
            co_return false;
        }
    }
    co_return true;
}

}
