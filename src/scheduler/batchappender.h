// Combines the records of many callers into few appends to one partition.
#pragma once

#include <deque>
#include <memory>
#include <optional>

#include "event.h"
#include "ports.h"
#include "unsettledrecords.h"

namespace MangoCourse {

enum class AppendOutcome {
    Durable,
    // Nothing was stored and nothing will be, by no append of the key in this process.
    NotStored,
    // A record of the key may have been stored, or may still be stored.
    Unknown,
};

struct AppendResult {
    AppendOutcome outcome = AppendOutcome::NotStored;
    // The last error of the store, or why the record was not sent. Empty if it is durable.
    std::string reason;
    int sends = 0;
    // Sends after which the record may have been stored.
    int unansweredSends = 0;
    // Another append of the same key was in progress, or had ended without an answer.
    bool hasEarlierAttempt = false;
};

// Sends one append at a time, with all records that were queued meanwhile. Appending a record twice must be harmless.
class BatchAppender : public std::enable_shared_from_this<BatchAppender>
{
public:
    BatchAppender(net::io_context &context, RecordStore &store, Stream stream, std::int32_t partition);

    // Retries for a limited time, at most until the deadline. While the store is unavailable, or too many bytes wait for it, records are rejected without
    // being sent.
    net::awaitable<AppendResult> append(StoredRecord record, std::chrono::steady_clock::time_point deadline);

    // Returns true if an append of the key is in progress, or has ended without an answer.
    bool isUnsettled(const std::string &key) const;
    // The stream has been read, with all that was stored up to `asOf`. Records that would have been seen by now are not stored.
    void settle(TimePoint asOf);

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
        bool isSettled = false;
        AppendResult result;
        net::steady_timer settled;

        bool mayBeStored() const
        {
            return this->result.unansweredSends > 0;
        }
    };

    net::awaitable<AppendResult> queue(StoredRecord record, std::chrono::steady_clock::time_point deadline);
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
    // Bytes of the records that are queued or being appended.
    std::size_t waitingBytes = 0;
    UnsettledRecords unsettledRecords;
    bool isRunning = false;
    // Start of the first of the current series of failed appends.
    std::optional<std::chrono::steady_clock::time_point> failingSince;
};

}
