// Following of streams.
#include "streamreader.h"

#include "clocks.h"

namespace MangoCourse {

namespace {

// Timers of a process that has its share of the processor fire at most this late.
constexpr std::chrono::milliseconds timerSlack{100};

}

StreamReader::StreamReader(net::io_context &context, RecordStore &store, Stream stream, std::int32_t partition, Handlers handlers)
    : context(context)
    , store(store)
    , stream(stream)
    , partition(partition)
    , handlers(std::move(handlers))
    , done(std::make_shared<net::steady_timer>(context))
{
}

bool StreamReader::isLoaded() const
{
    return this->next >= 0;
}

TimePoint StreamReader::currentAsOf() const
{
    return this->asOf;
}

TimePoint StreamReader::unreachableAsOf() const
{
    return this->failedAt;
}

net::awaitable<Result<void>> StreamReader::load()
{
    const TimePoint sentAt = bootNow();
    Result<StreamBatch> batch = co_await this->store.readSnapshot(this->stream, this->partition);
    if (!batch) {
        co_return tl::unexpected(batch.error());
    }
    this->handlers.reset();
    for (const StoredRecord &record : batch->records) {
        this->handlers.apply(record);
    }
    this->next = batch->next;
    this->asOf = sentAt;
    co_return Result<void>{};
}

net::awaitable<Result<void>> StreamReader::readOn(std::chrono::milliseconds wait)
{
    while (true) {
        const TimePoint sentAt = bootNow();
        Result<StreamBatch> batch = co_await this->store.read(this->stream, this->partition, this->next, wait);
        if (!batch && batch.error().code == ErrorCode::Gap) {
            Result<void> loaded = co_await this->load();
            co_return loaded;
        }
        if (!batch) {
            co_return tl::unexpected(batch.error());
        }
        for (const StoredRecord &record : batch->records) {
            this->handlers.apply(record);
        }
        const bool hasMoved = batch->next > std::exchange(this->next, batch->next);
        const bool isAtEnd = batch->next >= batch->end;
        if (isAtEnd) {
            this->asOf = sentAt;
            co_return Result<void>{};
        }
        if (!hasMoved) {
            co_return makeError(ErrorCode::Decode, "there is more, but the answer holds none of it", "stream");
        }
        wait = std::chrono::milliseconds::zero();
    }
}

net::awaitable<Result<void>> StreamReader::follow(std::chrono::milliseconds wait)
{
    if (!this->isLoaded()) {
        Result<void> loaded = co_await this->load();
        co_return loaded;
    }
    Result<void> result = co_await this->readOn(wait);
    co_return result;
}

net::awaitable<Result<void>> StreamReader::catchUp()
{
    // Only a read that starts from now on covers all that is stored now.
    const std::uint64_t wanted = this->started + 1;
    while (this->ended < wanted) {
        if (this->started > this->ended) {
            const std::shared_ptr<net::steady_timer> waiting = this->done;
            SystemErrorCode ignored;
            waiting->expires_after(std::chrono::seconds(10));
            co_await waiting->async_wait(captureError(ignored));
            continue;
        }
        ++this->started;
        const TimePoint startedAt = bootNow();
        Result<void> result;
        if (this->isLoaded()) {
            result = co_await this->readOn(std::chrono::milliseconds::zero());
        } else {
            result = co_await this->load();
        }
        if (!result && bootNow() - startedAt <= RecordStore::answerTimeout + timerSlack) {
            this->failedAt = bootNow();
        }
        this->lastResult = result;
        this->ended = this->started;
        this->done->cancel();
    }
    co_return this->lastResult;
}

}
