// Incremental reading of streams.
#include "streamreader.h"

#include <algorithm>

#include "clocks.h"

namespace MangoCourse {

namespace {

// Timers fire at most this late in a process that gets its CPU share.
constexpr std::chrono::milliseconds maxTimerDelay{100};

}

StreamReader::StreamReader(net::io_context &context, RecordStore &store, Stream stream, std::int32_t partition, Handlers handlers)
    : context(context)
    , store(store)
    , stream(stream)
    , partition(partition)
    , handlers(std::move(handlers))
    , readDone(std::make_shared<net::steady_timer>(context))
{
}

bool StreamReader::isLoaded() const
{
    return this->nextOffset >= 0;
}

std::int64_t StreamReader::position() const
{
    return this->nextOffset;
}

TimePoint StreamReader::currentAsOf() const
{
    return this->deliveredUpTo;
}

TimePoint StreamReader::lastUnreachableAt() const
{
    return this->lastFailureAt;
}

net::awaitable<Result<void>> StreamReader::load()
{
    const TimePoint sentAt = bootNow();
    Result<StreamBatch> batch = co_await this->store.readSnapshot(this->stream, this->partition);
    if (!batch) {
        co_return tl::unexpected(batch.error());
    }
    // The snapshot is read in pages. What was stored while it was read is left to the read that follows, so that no record is delivered before an earlier
    // one.
    const bool hasLaterRecords = std::erase_if(batch->records, [next = batch->next](const StoredRecord &record) {
        return record.offset >= next;
    }) > 0;
    std::sort(batch->records.begin(), batch->records.end(), [](const StoredRecord &left, const StoredRecord &right) {
        return left.offset < right.offset;
    });
    this->handlers.reset();
    for (const StoredRecord &record : batch->records) {
        this->handlers.apply(record);
    }
    this->nextOffset = batch->next;
    if (hasLaterRecords) {
        Result<void> read = co_await this->readToEnd(std::chrono::milliseconds::zero());
        co_return read;
    }
    this->deliveredUpTo = sentAt;
    co_return Result<void>{};
}

net::awaitable<Result<void>> StreamReader::readToEnd(std::chrono::milliseconds wait)
{
    while (true) {
        const TimePoint sentAt = bootNow();
        Result<StreamBatch> batch = co_await this->store.read(this->stream, this->partition, this->nextOffset, wait);
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
        const bool hasAdvanced = batch->next > std::exchange(this->nextOffset, batch->next);
        const bool isAtEnd = batch->next >= batch->end;
        if (isAtEnd) {
            this->deliveredUpTo = sentAt;
            co_return Result<void>{};
        }
        if (!hasAdvanced) {
            co_return makeError(ErrorCode::Decode, "the read did not advance, but the stream has more records", "stream");
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
    Result<void> result = co_await this->readToEnd(wait);
    co_return result;
}

net::awaitable<Result<void>> StreamReader::catchUp()
{
    // A read that has already started may miss records that are stored by now.
    const std::uint64_t requiredRead = this->readsStarted + 1;
    while (this->readsEnded < requiredRead) {
        if (this->readsStarted > this->readsEnded) {
            const std::shared_ptr<net::steady_timer> readTimer = this->readDone;
            SystemErrorCode ignored;
            co_await readTimer->async_wait(captureError(ignored));
            continue;
        }
        ++this->readsStarted;
        // Set here only, as setting it wakes all that wait.
        this->readDone->expires_at(std::chrono::steady_clock::time_point::max());
        const TimePoint startedAt = bootNow();
        Result<void> result;
        if (this->isLoaded()) {
            result = co_await this->readToEnd(std::chrono::milliseconds::zero());
        } else {
            result = co_await this->load();
        }
        if (!result && bootNow() - startedAt <= RecordStore::answerTimeout + maxTimerDelay) {
            this->lastFailureAt = bootNow();
        }
        this->lastResult = result;
        this->readsEnded = this->readsStarted;
        this->readDone->cancel();
    }
    co_return this->lastResult;
}

}
