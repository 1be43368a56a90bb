// Where a batch appender sends its records.
#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "ports.h"

namespace MangoCourse {

enum class AppendOutcome {
    Durable,
    // Nothing was stored and nothing will be, by no append of the key in this process.
    NotStored,
    // A record of the key may have been stored, or may still be stored.
    Unknown,
};

enum class AppendOrigin {
    OwnCaller,
    // Another process relays the record. It is not relayed again.
    OtherProcess,
};

struct RecordAnswer {
    AppendOutcome outcome = AppendOutcome::Unknown;
    // Empty if the record is durable.
    std::string reason;
    // The record is not stored, and it would not be in time if it were sent again.
    bool isFinal = false;
};

struct TargetAnswer {
    // One for each record, in order.
    std::vector<RecordAnswer> records;
    // Time by which a record of unknown outcome may be stored later than by an append to the store that got no answer.
    std::chrono::milliseconds executionDelay{};
    // The records were relayed and got no answer, which says nothing about the store.
    bool isRelayUnanswered = false;
};

// Takes records of one partition.
class AppendTarget
{
public:
    virtual ~AppendTarget() = default;
    virtual net::awaitable<TargetAnswer> append(std::vector<StoredRecord> records, AppendOrigin origin, std::chrono::milliseconds timeout) = 0;
    virtual int maxConcurrentAppends() = 0;
    // Returns how long a record would wait that is added now to those that wait; zero if that is not known.
    virtual std::chrono::milliseconds expectedWait() = 0;
    // Returns the time of the latest append to the store; zero if that is not known.
    virtual std::chrono::milliseconds appendTime() const = 0;
    // Returns when a caller may try again whose record was refused. `waitingRecords`: in this process.
    virtual std::chrono::milliseconds retryAfter(std::size_t waitingRecords) = 0;
};

// Appends to the store.
class StoreTarget : public AppendTarget
{
public:
    StoreTarget(RecordStore &store, Stream stream, std::int32_t partition);

    net::awaitable<TargetAnswer> append(std::vector<StoredRecord> records, AppendOrigin origin, std::chrono::milliseconds timeout) override;
    int maxConcurrentAppends() override;
    std::chrono::milliseconds expectedWait() override;
    std::chrono::milliseconds appendTime() const override;
    std::chrono::milliseconds retryAfter(std::size_t waitingRecords) override;

private:
    RecordStore &store;
    Stream stream;
    std::int32_t partition;
};

}
