// Combines the records of many callers into few appends to one partition.
#pragma once

#include <deque>
#include <memory>
#include <optional>

#include "event.h"
#include "ports.h"

namespace MangoCourse {

enum class AppendOutcome {
    Durable,
    // Nothing was stored and nothing will be.
    NotStored,
    // The record may have been stored, or may still be stored.
    Unknown,
};

// Sends one append at a time, with all records that were queued meanwhile. Appending a record twice must be harmless.
class BatchAppender : public std::enable_shared_from_this<BatchAppender>
{
public:
    BatchAppender(net::io_context &context, RecordStore &store, Stream stream, std::int32_t partition);

    // Retries for a limited time, at most until the deadline. While the store is unavailable, records are rejected without being sent.
    net::awaitable<AppendOutcome> append(StoredRecord record, std::chrono::steady_clock::time_point deadline);

private:
    struct Entry {
        explicit Entry(net::io_context &context)
            : settled(context)
        {
        }

        StoredRecord record;
        // When to stop retrying: if the record cannot have been stored, and if it may have been stored.
        std::chrono::steady_clock::time_point refusedDeadline;
        std::chrono::steady_clock::time_point unknownDeadline;
        bool mayBeStored = false;
        bool isSettled = false;
        AppendOutcome outcome = AppendOutcome::NotStored;
        net::steady_timer settled;
    };

    net::awaitable<void> run();
    bool isStoreUnavailable(std::chrono::steady_clock::time_point now) const;
    std::deque<std::shared_ptr<Entry>> takeBatch();
    // Settles the entries whose retry time is over.
    void settleExpired();
    static void settle(Entry &entry, AppendOutcome outcome);

    net::io_context &context;
    RecordStore &store;
    Stream stream;
    std::int32_t partition;
    std::deque<std::shared_ptr<Entry>> pendingEntries;
    bool isRunning = false;
    // Start of the first of the current series of failed appends.
    std::optional<std::chrono::steady_clock::time_point> failingSince;
};

}
