// Reads one partition of a stream incrementally.
#pragma once

#include <functional>
#include <memory>

#include "event.h"
#include "ports.h"

namespace MangoCourse {

// Reads from the last known offset, or from a snapshot (the newest record of each key) if the history is no longer stored.
class StreamReader
{
public:
    // `reset` is called before a snapshot is delivered, `apply` for each record.
    struct Handlers {
        std::function<void()> reset;
        std::function<void(const StoredRecord &)> apply;
    };

    StreamReader(net::io_context &context, RecordStore &store, Stream stream, std::int32_t partition, Handlers handlers);

    // Delivers everything that was in the stream when the call began. Concurrent calls share one read.
    net::awaitable<Result<void>> catchUp();

    // Delivers new records, waiting up to `wait` for the first one. Must not be combined with catchUp().
    net::awaitable<Result<void>> follow(std::chrono::milliseconds wait);

    bool isLoaded() const;
    // Returns the offset of the next record; -1 if nothing has been read yet.
    std::int64_t position() const;

    // Returns the time up to which all stored records have been delivered, in boot time, which includes suspension of the machine. Returns the
    // clock's epoch if nothing has been read yet.
    TimePoint currentAsOf() const;
    // Returns when catchUp() last failed because of the store. A failure that takes longer than the read timeout is not counted, because this
    // process may have been slow rather than the store.
    TimePoint lastUnreachableAt() const;

private:
    net::awaitable<Result<void>> load();
    net::awaitable<Result<void>> readToEnd(std::chrono::milliseconds wait);

    net::io_context &context;
    RecordStore &store;
    Stream stream;
    std::int32_t partition;
    Handlers handlers;
    std::int64_t nextOffset = -1;
    TimePoint deliveredUpTo{};
    TimePoint lastFailureAt{};
    // Sequence numbers of the latest read that was started and of the latest that ended, and the result of the latter.
    std::uint64_t readsStarted = 0;
    std::uint64_t readsEnded = 0;
    Result<void> lastResult;
    std::shared_ptr<net::steady_timer> readDone;
};

}
