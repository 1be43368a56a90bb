// Group commit of callers' records.
#include "batchappender.h"

namespace MangoCourse {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds callLimit{1000};
constexpr milliseconds retryPause{60};
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

net::awaitable<AppendVerdict> BatchAppender::append(StoredRecord record, steady_clock::time_point deadline)
{
    const auto entry = std::make_shared<Entry>(this->context);
    entry->record = std::move(record);
    entry->deadline = deadline;
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
        ErrorCodeSystem ignored;
        entry->settled.expires_at(steady_clock::time_point::max());
        co_await entry->settled.async_wait(into(ignored));
    }
    co_return entry->verdict;
}

net::awaitable<void> BatchAppender::run()
{
    while (!this->waiting.empty()) {
        const auto now = steady_clock::now();
        std::deque<std::shared_ptr<Entry>> batch;
        std::vector<StoredRecord> records;
        std::size_t bytes = 0;
        while (!this->waiting.empty() && bytes < batchBytes) {
            const std::shared_ptr<Entry> entry = this->waiting.front();
            this->waiting.pop_front();
            if (entry->deadline <= now) {
                settle(*entry, entry->mayBeStored ? AppendVerdict::Unknown : AppendVerdict::NotStored);
                continue;
            }
            bytes += entry->record.key.size() + entry->record.value.size();
            records.push_back(entry->record);
            batch.push_back(entry);
        }
        if (batch.empty()) {
            continue;
        }
        Result<void> appended = co_await this->store.append(this->stream, this->partition, std::move(records), std::nullopt, callLimit);
        if (appended) {
            for (const auto &entry : batch) {
                settle(*entry, AppendVerdict::Durable);
            }
            continue;
        }
        const bool mayBeStored = appended.error().code == ErrorCode::Timeout;
        for (auto entry = batch.rbegin(); entry != batch.rend(); ++entry) {
            (*entry)->mayBeStored = (*entry)->mayBeStored || mayBeStored;
            this->waiting.push_front(*entry);
        }
        co_await sleepFor(this->context, retryPause);
    }
    this->isRunning = false;
}

}
