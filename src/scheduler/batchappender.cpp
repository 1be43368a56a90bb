// Group commit of callers' records.
#include "batchappender.h"

namespace MangoCourse {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds callLimit{1000};
constexpr milliseconds retryPause{60};
// How long a record that the store refuses is tried again before its caller is told to come back.
constexpr milliseconds refusalPatience{500};
// How long a record that may be stored is tried again; the caller can settle it at another gateway as well.
// Less than half of a caller's usual limit of 3 s.
constexpr milliseconds unsettledPatience{1200};
// A store that has taken nothing for this long is taken as away.
constexpr milliseconds awayAfter{500};
// One append carries at most this much, well under the store's limit.
constexpr std::size_t batchBytes = 1024 * 1024;

}

BatchAppender::BatchAppender(net::io_context &context, RecordStore &store, Stream stream, std::int32_t partition)
    : context(context)
    , store(store)
    , stream(stream)
    , partition(partition)
{
}

void BatchAppender::settle(Entry &entry, AppendVerdict verdict)
{
    entry.isSettled = true;
    entry.verdict = verdict;
    entry.settled.cancel();
}

bool BatchAppender::isStoreAway(steady_clock::time_point now) const
{
    return this->isRunning && this->failingSince && now - *this->failingSince > awayAfter;
}

net::awaitable<AppendVerdict> BatchAppender::append(StoredRecord record, steady_clock::time_point deadline)
{
    const auto now = steady_clock::now();
    if (this->isStoreAway(now)) {
        // The records under way probe the store; this one is not sent, so its caller learns at once that it is not stored.
        co_return AppendVerdict::NotStored;
    }
    const auto entry = std::make_shared<Entry>(this->context);
    entry->record = std::move(record);
    entry->refusedUntil = std::min(deadline, now + refusalPatience);
    entry->unsettledUntil = std::min(deadline, now + unsettledPatience);
    this->waiting.push_back(entry);
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
    co_return entry->verdict;
}

void BatchAppender::settleOverdue()
{
    const auto now = steady_clock::now();
    const bool isAway = this->isStoreAway(now);
    std::erase_if(this->waiting, [now, isAway](const std::shared_ptr<Entry> &entry) {
        const bool isOverdue = entry->mayBeStored ? entry->unsettledUntil <= now : isAway || entry->refusedUntil <= now;
        if (isOverdue) {
            settle(*entry, entry->mayBeStored ? AppendVerdict::Unknown : AppendVerdict::NotStored);
        }
        return isOverdue;
    });
}

std::deque<std::shared_ptr<BatchAppender::Entry>> BatchAppender::takeBatch()
{
    std::deque<std::shared_ptr<Entry>> batch;
    std::size_t bytes = 0;
    while (!this->waiting.empty() && bytes < batchBytes) {
        bytes += this->waiting.front()->record.key.size() + this->waiting.front()->record.value.size();
        batch.push_back(std::move(this->waiting.front()));
        this->waiting.pop_front();
    }
    return batch;
}

net::awaitable<void> BatchAppender::run()
{
    while (!this->waiting.empty()) {
        const std::deque<std::shared_ptr<Entry>> batch = this->takeBatch();
        std::vector<StoredRecord> records;
        records.reserve(batch.size());
        for (const auto &entry : batch) {
            records.push_back(entry->record);
        }
        const auto sentAt = steady_clock::now();
        Result<void> appended = co_await this->store.append(this->stream, this->partition, std::move(records), std::nullopt, callLimit);
        if (appended) {
            this->failingSince.reset();
            for (const auto &entry : batch) {
                settle(*entry, AppendVerdict::Durable);
            }
            continue;
        }
        this->failingSince = this->failingSince.value_or(sentAt);
        const bool mayBeStored = appended.error().code == ErrorCode::Timeout;
        for (const auto &entry : batch) {
            entry->mayBeStored = entry->mayBeStored || mayBeStored;
        }
        this->waiting.insert(this->waiting.begin(), batch.begin(), batch.end());
        this->settleOverdue();
        if (!this->waiting.empty()) {
            co_await sleepFor(this->context, retryPause);
            this->settleOverdue();
        }
    }
    // The next record finds out whether the store is still away.
    this->failingSince.reset();
    this->isRunning = false;
}

}
