// Follows one partition of a stream on demand.
#pragma once

#include <functional>
#include <memory>

#include "event.h"
#include "ports.h"

namespace MangoCourse {

// Reads from the last known offset; starts from the newest record of each key where the history is gone.
class StreamReader
{
public:
    // `reset` is called before the newest record of each key is delivered, `apply` for each record.
    struct Handlers {
        std::function<void()> reset;
        std::function<void(const StoredRecord &)> apply;
    };

    StreamReader(net::io_context &context, RecordStore &store, Stream stream, std::int32_t partition, Handlers handlers);

    // Delivers everything that was in the stream when the call began. Calls that overlap share one read.
    net::awaitable<Result<void>> catchUp();

    // Delivers what comes, waiting up to `wait` for the first record. Not for use together with catchUp().
    net::awaitable<Result<void>> follow(std::chrono::milliseconds wait);

    bool isLoaded() const;

    // Everything that was stored before this has been delivered; the clock's start where nothing was read yet. Time that the machine was
    // suspended counts.
    TimePoint currentAsOf() const;
    // When catchUp() last failed in time. Later than the limit of a read it may have been this process that was slow, not the store.
    TimePoint unreachableAsOf() const;

private:
    net::awaitable<Result<void>> load();
    net::awaitable<Result<void>> readOn(std::chrono::milliseconds wait);

    net::io_context &context;
    RecordStore &store;
    Stream stream;
    std::int32_t partition;
    Handlers handlers;
    std::int64_t next = -1;
    TimePoint asOf{};
    TimePoint failedAt{};
    // The number of the read under way and of the last one that ended, and its result.
    std::uint64_t started = 0;
    std::uint64_t ended = 0;
    Result<void> lastResult;
    std::shared_ptr<net::steady_timer> done;
};

}
