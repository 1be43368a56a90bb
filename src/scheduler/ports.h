// Interfaces between the scheduler and its platform. Implementations only translate to the platform's protocols.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <mangocourse/clock.h>
#include <mangocourse/error.h>
#include <mangocourse/execution.h>
#include <mangocourse/fleetconfig.h>
#include <mangocourse/fleetplanner.h>

#include "asiotypes.h"
#include "sendcondition.h"

namespace MangoCourse {

// Streams of keyed records, divided into partitions. The store keeps the newest record of each key permanently and the history for seconds.
enum class Stream {
    // Job submissions and cancellations, appended by any gateway.
    Jobs,
    // Job progress, appended only by the owner of the partition.
    Progress,
    // The planner's state in partition 0, the pool reports in partition 1 and the addresses of the partitions' appenders in partition 3.
    Plan,
    // Records published by the operator. Read only, partition 0 only.
    Operator,
    // Reports that executors publish about themselves. Read only, partition 0 only.
    Executors,
    // Status records for the operator. Partition 0 only.
    Status,
    // The partitions that may hold jobs of each queue. Partition 0 only.
    QueuePlacements,
};

// A keyed record. An empty value deletes the key. The offset is set by reads and ignored by appends.
struct StoredRecord {
    std::string key;
    std::string value;
    std::int64_t offset = -1;
};

// Idempotency key of an append: makes the appends of one writer ordered and exactly-once. The store rejects an epoch lower than the highest it has
// seen, and answers a repeated sequence number as it did the first time.
struct ProducerStamp {
    std::string producer;
    std::int64_t epoch = 0;
    std::int64_t sequence = 0;
};

struct StreamBatch {
    std::vector<StoredRecord> records;
    // Offset of the next read.
    std::int64_t next = 0;
    // End offset of the stream at the time of the read; greater than `next` if more records are available.
    std::int64_t end = 0;
};

// The store's membership groups, which assign partitions to their members.
enum class Group {
    // The owners of the job partitions.
    Owners,
    // The candidates for planning. The holder of partition 0 of the plan is the planner.
    Planners,
};

constexpr std::string_view toString(Group group)
{
    return group == Group::Owners ? "owners" : "planners";
}

struct OwnedPartition {
    Stream stream = Stream::Jobs;
    std::int32_t partition = 0;

    auto operator<=>(const OwnedPartition &) const = default; // NOLINT(modernize-use-nullptr)
};

// A group member that holds at least one partition.
struct PartitionHolder {
    std::string process;
    // CPU share of the member's process in thousandths of a core; 0 if unknown.
    std::int32_t cpuMillicores = 0;

    bool operator==(const PartitionHolder &) const = default;
};

struct Membership {
    std::int64_t generation = 0;
    std::vector<OwnedPartition> owned;
};

// Returns true if an operation that failed with the error was not carried out and will not be. After any other error, such as Timeout, it may have
// been carried out, or may still be.
constexpr bool provesNotDone(ErrorCode code)
{
    switch (code) {
    case ErrorCode::Unavailable:
    case ErrorCode::Refused:
    case ErrorCode::Conflict:
    case ErrorCode::InvalidArgument:
        return true;
    default:
        return false;
    }
}

// Access to the store; for its errors see provesNotDone().
class RecordStore
{
public:
    // Timeout of a read, in addition to the time that it waits for new records. The store normally answers within milliseconds.
    static constexpr std::chrono::milliseconds answerTimeout{1500};

    virtual ~RecordStore() = default;

    // Returns true if the store takes a record of this size. An append with a larger one is refused as a whole.
    virtual bool accepts(const StoredRecord &record) const = 0;

    // Appends all records or none. Returns Conflict if a higher epoch has fenced the writer off or the sequence number is out of order. An empty
    // list only sets the epoch.
    virtual net::awaitable<Result<void>> append(
        Stream stream, std::int32_t partition, std::vector<StoredRecord> records, std::optional<ProducerStamp> stamp, std::chrono::milliseconds timeout)
        = 0;

    // Returns the records from the given offset on, waiting up to `wait` for the first one. Returns Gap if that part of the history is no longer
    // stored.
    virtual net::awaitable<Result<StreamBatch>> read(Stream stream, std::int32_t partition, std::int64_t fromOffset, std::chrono::milliseconds wait) = 0;

    // Returns the newest record of each key and the offset from which to continue reading without loss.
    virtual net::awaitable<Result<StreamBatch>> readSnapshot(Stream stream, std::int32_t partition) = 0;

    // Joins the group or renews the membership. A member that does not renew within `ttl` loses its partitions.
    virtual net::awaitable<Result<Membership>> join(Group group, std::int64_t generation, std::chrono::milliseconds ttl) = 0;

    // Returns false if another member has held the partition since this process was told the generation, or holds it now.
    virtual net::awaitable<Result<bool>> hasHeldSince(Group group, OwnedPartition partition, std::int64_t generation) = 0;

    // Ends the membership immediately.
    virtual net::awaitable<Result<void>> leave(Group group) = 0;

    // Returns each member that holds partitions once, including this process if it holds any.
    virtual net::awaitable<Result<std::vector<PartitionHolder>>> holders(Group group) = 0;
};

// Calls to executors.
class ExecutorPort
{
public:
    virtual ~ExecutorPort() = default;
    virtual net::awaitable<ExecutorReport> renew(const ExecutorInfo &executor, LeaseRenewal renewal) = 0;
    // The condition is asked right before the order is written, each time if it is repeated. The outcome is Withheld if it allowed no connection.
    virtual net::awaitable<OrderReply> start(const ExecutorInfo &executor, StartRun order, SendCondition maySend) = 0;
    virtual net::awaitable<OrderReply> stop(const ExecutorInfo &executor, StopRun order) = 0;
    virtual net::awaitable<OrderReply> pace(const ExecutorInfo &executor, PaceRun order) = 0;
    // Closes idle connections to an executor that no longer exists.
    virtual void closeConnections(const ExecutorInfo &executor) = 0;
};

// Calls to the platform's machine API. The platform uses the duty holder and the token to fence off superseded planners.
class MachinePort
{
public:
    virtual ~MachinePort() = default;
    virtual net::awaitable<Result<std::vector<MachineInfo>>> list() = 0;
    virtual net::awaitable<MachineOutcome> move(const MachineId &machine, const ServiceId &pool, std::int64_t token) = 0;
    virtual net::awaitable<MachineOutcome> maintain(const MachineId &machine, const WaveId &wave, std::int64_t token) = 0;
};

class PolicyPort
{
public:
    virtual ~PolicyPort() = default;
    // Asks which of the executors may run the step. The policy answers the calls of one process in turn, and a call that is given up may keep its turn, so
    // one call is made at a time. Errors: Refused if too many calls wait at the policy, Unavailable if it was not reached, Timeout if it has not answered;
    // any other error is an answer that is no advice.
    virtual net::awaitable<Result<PolicyAnswer>> advise(const ItemId &step, std::vector<ExecutorId> executors, std::chrono::milliseconds timeout) = 0;
};

}
