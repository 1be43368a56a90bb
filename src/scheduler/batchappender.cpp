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
// A store that was unavailable until so recently is still considered so if it refuses the next append, without further retries. Callers come back within
// this time.
constexpr milliseconds unavailableMemory{2000};
// No further record is added to an append of this size, which is well below the store's limit.
constexpr std::size_t maxBatchBytes = 1024 * 1024;
// Records that wait for the store take no more memory than this.
constexpr std::size_t maxWaitingBytes = 8 * 1024 * 1024;

AppendResult notSent(const char *reason)
{
    AppendResult result;
    result.reason = reason;
    return result;
}

}

BatchAppender::BatchAppender(net::io_context &context, RecordStore &store, Stream stream, std::int32_t partition)
    : BatchAppender(context, std::make_shared<StoreTarget>(store, stream, partition))
{
}

BatchAppender::BatchAppender(net::io_context &context, std::shared_ptr<AppendTarget> target)
    : context(context)
    , target(std::move(target))
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
    return this->workers > 0 && this->failingSince && now - *this->failingSince > unavailableAfter;
}

net::awaitable<AppendResult> BatchAppender::append(StoredRecord record, steady_clock::time_point deadline, AppendOrigin origin)
{
    const std::string key = record.key;
    const bool hasEarlierAttempt = this->unsettledRecords.contains(key);
    this->unsettledRecords.beginAppend(key);
    AppendResult result = co_await this->queue(std::move(record), deadline, origin);
    if (result.outcome == AppendOutcome::Durable) {
        this->unsettledRecords.markStored(key);
    }
    this->unsettledRecords.endAppend(key, result.outcome == AppendOutcome::Unknown, bootNow() + result.executionDelay);
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

milliseconds BatchAppender::retryAfter() const
{
    return this->target->retryAfter(this->pendingEntries.size());
}

milliseconds BatchAppender::appendTime() const
{
    return this->target->appendTime();
}

net::awaitable<AppendResult> BatchAppender::queue(StoredRecord record, steady_clock::time_point deadline, AppendOrigin origin)
{
    const auto now = steady_clock::now();
    if (this->isStoreUnavailable(now)) {
        // The records in progress probe the store. This record is not sent, so that its caller learns immediately that it is not stored.
        co_return notSent("not sent, as appends have failed for a while");
    }
    if (this->workers > 0 && this->target->expectedWait() > std::min<steady_clock::duration>(deadline - now, unknownRetryTime)) {
        // The records in progress show when the store is faster.
        co_return notSent("not sent, as the store would confirm it too late");
    }
    const std::size_t bytes = record.key.size() + record.value.size();
    if (this->waitingBytes + bytes > maxWaitingBytes) {
        co_return notSent("not sent, as too many records wait for the store");
    }
    const auto entry = std::make_shared<Entry>(this->context);
    entry->record = std::move(record);
    entry->origin = origin;
    entry->refusedDeadline = std::min(deadline, now + refusedRetryTime);
    entry->unknownDeadline = std::min(deadline, now + unknownRetryTime);
    this->pendingEntries.push_back(entry);
    this->waitingBytes += bytes;
    if (this->workers == 0 && now - this->lastFailureAt > unavailableMemory) {
        this->failingSince.reset();
    }
    if (this->workers < this->target->maxConcurrentAppends()) {
        this->startWorker();
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

void BatchAppender::settleOverdue()
{
    const auto now = steady_clock::now();
    std::erase_if(this->pendingEntries, [now](const std::shared_ptr<Entry> &entry) {
        const bool isOverdue = entry->origin == AppendOrigin::OtherProcess && entry->result.sends == 0 && entry->unknownDeadline <= now;
        if (isOverdue) {
            entry->result.reason = "not sent, as its time was over";
            settle(*entry, AppendOutcome::NotStored);
        }
        return isOverdue;
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

void BatchAppender::startWorker()
{
    ++this->workers;
    net::co_spawn(
        this->context,
        [self = this->shared_from_this()] {
            return self->run();
        },
        net::detached);
}

net::awaitable<bool> BatchAppender::send(std::deque<std::shared_ptr<Entry>> batch)
{
    std::vector<StoredRecord> records;
    records.reserve(batch.size());
    AppendOrigin origin = AppendOrigin::OwnCaller;
    for (const auto &entry : batch) {
        ++entry->result.sends;
        origin = entry->origin == AppendOrigin::OtherProcess ? entry->origin : origin;
        records.push_back(entry->record);
    }
    const auto sentAt = steady_clock::now();
    const TargetAnswer answer = co_await this->target->append(std::move(records), origin, appendTimeout);
    bool hasSuccess = false;
    std::deque<std::shared_ptr<Entry>> unsettled;
    for (std::size_t index = 0; index < batch.size(); ++index) {
        Entry &entry = *batch[index];
        const RecordAnswer &known = answer.records[index];
        entry.result.reason = known.reason;
        if (known.outcome == AppendOutcome::Durable) {
            hasSuccess = true;
            settle(entry, AppendOutcome::Durable);
            continue;
        }
        if (known.outcome == AppendOutcome::Unknown) {
            ++entry.result.unansweredSends;
            entry.result.executionDelay = std::max(entry.result.executionDelay, answer.executionDelay);
        }
        if (known.isFinal) {
            settle(entry, entry.mayBeStored() ? AppendOutcome::Unknown : AppendOutcome::NotStored);
        } else {
            unsettled.push_back(batch[index]);
        }
    }
    if (hasSuccess) {
        this->failingSince.reset();
    } else if (!answer.isRelayUnanswered) {
        this->failingSince = this->failingSince.value_or(sentAt);
        this->lastFailureAt = steady_clock::now();
    }
    this->pendingEntries.insert(this->pendingEntries.begin(), unsettled.begin(), unsettled.end());
    if (unsettled.empty()) {
        co_return true;
    }
    this->settleExpired();
    co_return false;
}

net::awaitable<void> BatchAppender::run()
{
    while (!this->pendingEntries.empty() && (this->workers == 1 || this->workers <= this->target->maxConcurrentAppends())) {
        this->settleOverdue();
        std::deque<std::shared_ptr<Entry>> batch = this->takeBatch();
        if (batch.empty()) {
            continue;
        }
        const bool isSettled = co_await this->send(std::move(batch));
        if (!isSettled && !this->pendingEntries.empty()) {
            co_await sleepFor(this->context, retryDelay);
            this->settleExpired();
        }
    }
    --this->workers;
}

}
