// Appends to the store.
#include "appendtarget.h"

namespace MangoCourse {

StoreTarget::StoreTarget(RecordStore &store, Stream stream, std::int32_t partition)
    : store(store)
    , stream(stream)
    , partition(partition)
{
}

net::awaitable<TargetAnswer> StoreTarget::append(std::vector<StoredRecord> records, AppendOrigin, std::chrono::milliseconds timeout)
{
    const std::size_t count = records.size();
    const Result<void> appended = co_await this->store.append(this->stream, this->partition, std::move(records), std::nullopt, timeout);
    RecordAnswer answer{AppendOutcome::Durable, {}, false};
    if (!appended) {
        answer.outcome = provesNotDone(appended.error().code) ? AppendOutcome::NotStored : AppendOutcome::Unknown;
        answer.reason = describe(appended.error());
    }
    co_return TargetAnswer{std::vector<RecordAnswer>(count, answer), {}};
}

int StoreTarget::maxConcurrentAppends()
{
    return 1;
}

std::chrono::milliseconds StoreTarget::expectedWait()
{
    return {};
}

std::chrono::milliseconds StoreTarget::appendTime() const
{
    return {};
}

std::chrono::milliseconds StoreTarget::retryAfter(std::size_t)
{
    constexpr std::chrono::milliseconds defaultDelay{1000};
    return defaultDelay;
}

}
