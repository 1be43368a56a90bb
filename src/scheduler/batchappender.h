// Appends records of many callers to one partition in few calls.
#pragma once

#include <deque>
#include <memory>

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

    // Tries until the deadline.
    net::awaitable<AppendVerdict> append(StoredRecord record, std::chrono::steady_clock::time_point deadline);

private:
    struct Entry {
        explicit Entry(net::io_context &context)
            : settled(context)
        {
        }

        StoredRecord record;
        std::chrono::steady_clock::time_point deadline;
        bool mayBeStored = false;
        bool isSettled = false;
        AppendVerdict verdict = AppendVerdict::NotStored;
        net::steady_timer settled;
    };

    net::awaitable<void> run();
    static void settle(Entry &entry, AppendVerdict verdict);

    net::io_context &context;
    RecordStore &store;
    Stream stream;
    std::int32_t partition;
    std::deque<std::shared_ptr<Entry>> waiting;
    bool isRunning = false;
};

}
