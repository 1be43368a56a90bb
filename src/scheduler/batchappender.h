// Combines the records of many callers into few appends to one partition.
#pragma once

#include <deque>
#include <memory>
#include <optional>

#include "appendtarget.h"
#include "event.h"
#include "unsettledrecords.h"

namespace MangoCourse {

struct AppendResult {
    AppendOutcome outcome = AppendOutcome::NotStored;
    // The last error of the store, or why the record was not sent. Empty if it is durable.
    std::string reason;
    int sends = 0;
    // Sends after which the record may have been stored.
    int unansweredSends = 0;
    // Another append of the same key was in progress, or had ended without an answer.
    bool hasEarlierAttempt = false;
    // Time by which the record may be stored later than by an append to the store that got no answer.
    std::chrono::milliseconds executionDelay{};
};

// Sends as many appends at a time as the target takes, one to the store, each with all records that were queued meanwhile. Appending a record twice must be
// harmless.
class BatchAppender : public std::enable_shared_from_this<BatchAppender>
{
public:
    BatchAppender(net::io_context &context, RecordStore &store, Stream stream, std::int32_t partition);
    BatchAppender(net::io_context &context, std::shared_ptr<AppendTarget> target);

    // Retries for a limited time, at most until the deadline. While the store is unavailable, too many bytes wait for it, or it is known that the record
    // would not be stored in time, records are rejected without being sent.
    net::awaitable<AppendResult> append(StoredRecord record, std::chrono::steady_clock::time_point deadline, AppendOrigin origin = AppendOrigin::OwnCaller);

    // Returns true if an append of the key is in progress, or has ended without an answer.
    bool isUnsettled(const std::string &key) const;
    // The stream has been read, with all that was stored up to `asOf`. Records that would have been seen by now are not stored.
    void settle(TimePoint asOf);

    // Returns when a caller may try again whose record was refused.
    std::chrono::milliseconds retryAfter() const;
    // Returns the time of the latest append to the store; zero if that is not known.
    std::chrono::milliseconds appendTime() const;

private:
    struct Entry {
        explicit Entry(net::io_context &context)
            : settled(context)
        {
        }

        StoredRecord record;
        AppendOrigin origin = AppendOrigin::OwnCaller;
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

    net::awaitable<AppendResult> queue(StoredRecord record, std::chrono::steady_clock::time_point deadline, AppendOrigin origin);
    // Sends batches while records wait and the target takes the appends of so many workers.
    net::awaitable<void> run();
    void startWorker();
    // Sends the batch. Returns false if records of it are to be sent again.
    net::awaitable<bool> send(std::deque<std::shared_ptr<Entry>> batch);
    bool isStoreUnavailable(std::chrono::steady_clock::time_point now) const;
    std::deque<std::shared_ptr<Entry>> takeBatch();
    // Settles the entries whose retry time is over.
    void settleExpired();
    // Settles the entries of other processes that were never sent and whose deadline is over: their callers have been answered.
    void settleOverdue();
    static void settle(Entry &entry, AppendOutcome outcome);

    net::io_context &context;
    std::shared_ptr<AppendTarget> target;
    std::deque<std::shared_ptr<Entry>> pendingEntries;
    // Bytes of the records that are queued or being appended.
    std::size_t waitingBytes = 0;
    UnsettledRecords unsettledRecords;
    int workers = 0;
    // Start of the first of the current series of failed appends, and end of the last one.
    std::optional<std::chrono::steady_clock::time_point> failingSince;
    std::chrono::steady_clock::time_point lastFailureAt{};
};

}
