// Reading and writing of the queues' placements.
#include "queueplacements.h"

#include <algorithm>
#include <random>

#include "clocks.h"

namespace MangoCourse {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

// The only partition of the placements' stream.
constexpr std::int32_t placementPartition = 0;
// The store is considered unreachable once reads have failed for this long.
constexpr milliseconds unreachableAfter{500};
constexpr milliseconds sealTimeout{1000};
constexpr milliseconds sealRetryDelay{60};

}

void PlacementSeals::apply(const StoredRecord &record)
{
    const ParsedKey key = parseKey(record.key);
    if (key.kind != KeyKind::Seal) {
        return;
    }
    if (record.value.empty()) {
        this->seals.erase(record.key);
    } else {
        this->seals.emplace(record.key, Seal{key.sealed, record.offset});
    }
}

bool PlacementSeals::isSealed(const JobPlacement &placement, std::optional<std::int64_t> offset) const
{
    return std::any_of(this->seals.begin(), this->seals.end(), [&placement, &offset](const auto &entry) {
        const Seal &seal = entry.second;
        return seal.sealed.address == placement.address && seal.sealed.revision >= placement.revision && (!offset || seal.offset < *offset);
    });
}

std::vector<std::string> PlacementSeals::keysOf(const std::string &address) const
{
    std::vector<std::string> keys;
    for (const auto &[key, seal] : this->seals) {
        if (seal.sealed.address == address) {
            keys.push_back(key);
        }
    }
    return keys;
}

QueuePlacements::QueuePlacements(net::io_context &context, RecordStore &store, EventLog &log)
    : context(context)
    , store(store)
    , log(log)
    , appender(std::make_shared<BatchAppender>(context, store, Stream::QueuePlacements, placementPartition))
    , sealWriter(std::to_string(std::random_device()()) + "-" + std::to_string(wallNow().time_since_epoch().count()))
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

std::vector<QueuePlacement> QueuePlacements::historyOf(const std::string &address) const
{
    return this->history([&address](const QueuePlacement &placement) {
        return !placement.pathPrefix.empty() && addressOf(placement.host, placement.pathPrefix) == address;
    });
}

std::vector<QueuePlacement> QueuePlacements::historyOf(const QueueConfig &queue) const
{
    return this->history([&queue](const QueuePlacement &placement) {
        const bool isSameAddress = placement.host == queue.host && placement.pathPrefix == queue.pathPrefix;
        return isSameAddress || (placement.pathPrefix.empty() && placement.queue == queue.id);
    });
}

std::vector<QueuePlacement> QueuePlacements::history(const std::function<bool(const QueuePlacement &)> &isMember) const
{
    std::vector<QueuePlacement> members;
    for (const auto &[key, placement] : this->placements) {
        if (isMember(placement)) {
            members.push_back(placement);
        }
    }
    std::stable_sort(members.begin(), members.end(), [](const QueuePlacement &left, const QueuePlacement &right) {
        return left.revision < right.revision;
    });
    // The order of those without a revision is unknown; the one that goes on comes last.
    const auto firstRevised = std::find_if(members.begin(), members.end(), [](const QueuePlacement &placement) {
        return placement.revision > 0;
    });
    if (firstRevised != members.end()) {
        std::stable_partition(members.begin(), firstRevised, [partition = firstRevised->partition](const QueuePlacement &placement) {
            return placement.partition != partition;
        });
    }
    std::vector<QueuePlacement> merged;
    for (QueuePlacement &placement : members) {
        if (!merged.empty() && merged.back().partition == placement.partition) {
            merged.back() = std::move(placement);
        } else {
            merged.push_back(std::move(placement));
        }
    }
    return merged;
}

bool QueuePlacements::isKnown(const QueuePlacement &placement) const
{
    return std::any_of(this->placements.begin(), this->placements.end(), [&placement](const auto &entry) {
        QueuePlacement known = entry.second;
        known.revision = placement.revision;
        return known == placement;
    });
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

net::awaitable<bool> QueuePlacements::seal(std::int32_t partition, JobPlacement sealed, steady_clock::time_point deadline)
{
    const std::string writer = this->sealWriter + "-" + std::to_string(++this->sealCount);
    // A repeat, or an attempt that is carried out late, appends nothing: a second record would hide the offset of the first.
    const ProducerStamp stamp{"seal-" + writer, 0, 0};
    while (steady_clock::now() < deadline) {
        std::vector<StoredRecord> records{StoredRecord{sealKey(sealed, writer), "1", -1}};
        const Result<void> appended = co_await this->store.append(Stream::Jobs, partition, std::move(records), stamp, sealTimeout);
        this->log.emit("placement_sealed",
            {{"address", sealed.address}, {"revision", sealed.revision}, {"partition", std::int64_t(partition)}, {"durable", appended.has_value()},
                {"error", appended ? std::string() : describe(appended.error())}},
            EventPriority::Essential);
        if (appended) {
            co_return true;
        }
        co_await sleepFor(this->context, sealRetryDelay);
    }
    co_return false;
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
