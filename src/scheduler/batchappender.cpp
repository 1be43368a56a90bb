// Group commit of callers' records.
#include "batchappender.h"

#include "clocks.h"

namespace MangoCourse {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds appendTimeout{1000};
constexpr milliseconds retryDelay{60};
// Time for which a record that the store refuses is retried before its caller is told to retry later.
constexpr milliseconds refusedRetryTime{500};
// Time for which a record that may have been stored is retried. The caller can also resolve the outcome at another gateway. Less than half of the
// callers' usual timeout of 3 s.
constexpr milliseconds unknownRetryTime{1200};
// The store is considered unavailable once appends have failed for this long.
constexpr milliseconds unavailableAfter{500};
// No further record is added to an append of this size, which is well below the store's limit.
constexpr std::size_t maxBatchBytes = 1024 * 1024;
// Records that wait for the store take no more memory than this.
constexpr std::size_t maxWaitingBytes = 8 * 1024 * 1024;

}

BatchAppender::BatchAppender(net::io_context &context, RecordStore &store, Stream stream, std::int32_t partition)
    : context(context)
    , store(store)
    , stream(stream)
    , partition(partition)
{
}

void BatchAppender::settle(Entry &entry, AppendOutcome outcome)
{
    entry.isSettled = true;
    entry.result.outcome = outcome;
    entry.settled.cancel();
}

bool BatchAppender::isStoreUnavailable(steady_clock::time_point now) const
{
    return this->isRunning && this->failingSince && now - *this->failingSince > unavailableAfter;
}

net::awaitable<AppendResult> BatchAppender::append(StoredRecord record, steady_clock::time_point deadline)
{
    const std::string key = record.key;
    const bool hasEarlierAttempt = this->unsettledRecords.contains(key);
    this->unsettledRecords.beginAppend(key);
    AppendResult result = co_await this->queue(std::move(record), deadline);
    if (result.outcome == AppendOutcome::Durable) {
        this->unsettledRecords.markStored(key);
    }
    this->unsettledRecords.endAppend(key, result.outcome == AppendOutcome::Unknown, bootNow());
    result.hasEarlierAttempt = hasEarlierAttempt;
    if (result.outcome == AppendOutcome::NotStored && this->isUnsettled(key)) {
        result.outcome = AppendOutcome::Unknown;
    }
    co_return result;
}

bool BatchAppender::isUnsettled(const std::string &key) const
{
    return this->unsettledRecords.contains(key);
}

void BatchAppender::settle(TimePoint asOf)
{
    this->unsettledRecords.settle(asOf);
}

net::awaitable<AppendResult> BatchAppender::queue(StoredRecord record, steady_clock::time_point deadline)
{
    const auto now = steady_clock::now();
    if (this->isStoreUnavailable(now)) {
        // The records in progress probe the store. This record is not sent, so that its caller learns immediately that it is not stored.
        co_return AppendResult{AppendOutcome::NotStored, "not sent, as appends have failed for a while", 0, 0, false};
    }
    const std::size_t bytes = record.key.size() + record.value.size();
    if (this->waitingBytes + bytes > maxWaitingBytes) {
        co_return AppendResult{AppendOutcome::NotStored, "not sent, as too many records wait for the store", 0, 0, false};
    }
    const auto entry = std::make_shared<Entry>(this->context);
    entry->record = std::move(record);
    entry->refusedDeadline = std::min(deadline, now + refusedRetryTime);
    entry->unknownDeadline = std::min(deadline, now + unknownRetryTime);
    this->pendingEntries.push_back(entry);
    this->waitingBytes += bytes;
    if (!this->isRunning) {
        this->isRunning = true;
        net::co_spawn(
            this->context,
            [self = this->shared_from_this()] {
                return self->run();
            },
            net::detached);
    }
    while (!entry->isSettled) {
        SystemErrorCode ignored;
        entry->settled.expires_at(steady_clock::time_point::max());
        co_await entry->settled.async_wait(captureError(ignored));
    }
    this->waitingBytes -= bytes;
    co_return entry->result;
}

void BatchAppender::settleExpired()
{
    const auto now = steady_clock::now();
    const bool isUnavailable = this->isStoreUnavailable(now);
    std::erase_if(this->pendingEntries, [now, isUnavailable](const std::shared_ptr<Entry> &entry) {
        const bool isExpired = entry->mayBeStored() ? entry->unknownDeadline <= now : isUnavailable || entry->refusedDeadline <= now;
        if (isExpired) {
            settle(*entry, entry->mayBeStored() ? AppendOutcome::Unknown : AppendOutcome::NotStored);
        }
        return isExpired;
    });
}

std::deque<std::shared_ptr<BatchAppender::Entry>> BatchAppender::takeBatch()
{
    std::deque<std::shared_ptr<Entry>> batch;
    std::size_t bytes = 0;
    while (!this->pendingEntries.empty() && bytes < maxBatchBytes) {
        bytes += this->pendingEntries.front()->record.key.size() + this->pendingEntries.front()->record.value.size();
        batch.push_back(std::move(this->pendingEntries.front()));
        this->pendingEntries.pop_front();
    }
    return batch;
}

net::awaitable<void> BatchAppender::run()
{
    while (!this->pendingEntries.empty()) {
        const std::deque<std::shared_ptr<Entry>> batch = this->takeBatch();
        std::vector<StoredRecord> records;
        records.reserve(batch.size());
        for (const auto &entry : batch) {
            ++entry->result.sends;
            records.push_back(entry->record);
        }
        const auto sentAt = steady_clock::now();
        Result<void> appended = co_await this->store.append(this->stream, this->partition, std::move(records), std::nullopt, appendTimeout);
        if (appended) {
            this->failingSince.reset();
            for (const auto &entry : batch) {
                entry->result.reason.clear();
                settle(*entry, AppendOutcome::Durable);
            }
            continue;
        }
        this->failingSince = this->failingSince.value_or(sentAt);
        const bool mayBeStored = !provesNotDone(appended.error().code);
        for (const auto &entry : batch) {
            entry->result.reason = describe(appended.error());
            entry->result.unansweredSends += mayBeStored ? 1 : 0;
        }
        this->pendingEntries.insert(this->pendingEntries.begin(), batch.begin(), batch.end());
        this->settleExpired();
        if (!this->pendingEntries.empty()) {
            co_await sleepFor(this->context, retryDelay);
            this->settleExpired();
        }
    }
    // The next record probes whether the store is still unavailable.
    this->failingSince.reset();
    this->isRunning = false;
}

}
