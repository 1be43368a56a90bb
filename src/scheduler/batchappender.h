// Appends records of many callers to one partition in few calls.
#pragma once

#include <deque>
#include <memory>
#include <optional>

#include "event.h"
#include "ports.h"

namespace MangoCourse {

enum class AppendVerdict {
    Durable,
    // Nothing was stored and nothing will be.
    NotStored,
    // It may have been stored, or may yet be.
    Unknown,
};

// One call is under way at a time and carries what gathered meanwhile. Records must be safe to append twice.
class BatchAppender : public std::enable_shared_from_this<BatchAppender>
{
public:
    BatchAppender(net::io_context &context, RecordStore &store, Stream stream, std::int32_t partition);

    // Tries for a while, at the longest until the deadline. While the store is away, records are refused without being sent.
    net::awaitable<AppendVerdict> append(StoredRecord record, std::chrono::steady_clock::time_point deadline);

private:
    struct Entry {
        explicit Entry(net::io_context &context)
            : settled(context)
        {
        }

        StoredRecord record;
        // How long it is tried while nothing can have been stored, and once something may have been.
        std::chrono::steady_clock::time_point refusedUntil;
        std::chrono::steady_clock::time_point unsettledUntil;
        bool mayBeStored = false;
        bool isSettled = false;
        AppendVerdict verdict = AppendVerdict::NotStored;
        net::steady_timer settled;
    };

    net::awaitable<void> run();
    bool isStoreAway(std::chrono::steady_clock::time_point now) const;
    std::deque<std::shared_ptr<Entry>> takeBatch();
    // Settles what has been tried for long enough.
    void settleOverdue();
    static void settle(Entry &entry, AppendVerdict verdict);

    net::io_context &context;
    RecordStore &store;
    Stream stream;
    std::int32_t partition;
    std::deque<std::shared_ptr<Entry>> waiting;
    bool isRunning = false;
    // Start of the first of the calls that failed in a row.
    std::optional<std::chrono::steady_clock::time_point> failingSince;
};

}
