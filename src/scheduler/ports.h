// The interfaces through which the scheduler meets its platform. Everything behind them only translates.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <mangocourse/clock.h>
#include <mangocourse/execution.h>
#include <mangocourse/fleetconfig.h>

#include "asiotypes.h"

namespace MangoCourse {

// A stream of keyed records with a number of partitions. The store keeps the newest record of each key for good and the history for seconds.
enum class Stream {
    // Submissions and cancellations, appended by any gateway.
    Jobs,
    // State of jobs, appended by the partition's owner only.
    Progress,
    // The planner's state in partition 0, the pools' reports in partition 1.
    Plan,
    // What the operator publishes; read only, partition 0 only.
    Operator,
    // Executors' own reports; read only, partition 0 only.
    Executors,
    // What the operator reads; partition 0 only.
    Status,
};

// A record; an empty value deletes the key. Offsets are filled in by reads.
struct StoredRecord {
    std::string key;
    std::string value;
    std::int64_t offset = -1;
};

// Makes appends of one writer exactly once and in order: a lower epoch is fenced off, a repeated sequence returns the first answer.
struct ProducerStamp {
    std::string producer;
    std::int64_t epoch = 0;
    std::int64_t sequence = 0;
};

struct StreamBatch {
    std::vector<StoredRecord> records;
    // The offset to read from next.
    std::int64_t next = 0;
    // The stream's end when it was read; later than `next` where there is more.
    std::int64_t end = 0;
};

// The store's groups that deal partitions out.
enum class Group {
    // Who owns which partition of jobs.
    Owners,
    // Who plans the machines: the holder of partition 0 of the plan.
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

// A member of a group that holds partitions.
struct PartitionHolder {
    std::string process;
    // What its machine gives it, in thousandths of a core; 0 where it does not say.
    std::int32_t cpuMillicores = 0;

    bool operator==(const PartitionHolder &) const = default;
};

struct Membership {
    std::int64_t generation = 0;
    std::vector<OwnedPartition> owned;
};

// Errors of all ports: Unavailable and Refused mean that nothing was done, Timeout that it may have been done.
class RecordStore
{
public:
    // Reads that get no answer are given up after this, beyond what they were to wait for news. Answers take milliseconds.
    static constexpr std::chrono::milliseconds answerTimeout{1500};

    virtual ~RecordStore() = default;

    // Appends all records or none. Conflict: fenced by a higher epoch, or out of sequence. An empty list only sets the epoch.
    virtual net::awaitable<Result<void>> append(
        Stream stream, std::int32_t partition, std::vector<StoredRecord> records, std::optional<ProducerStamp> stamp, std::chrono::milliseconds limit)
        = 0;

    // Returns records from the offset on; waits up to `wait` for the first. Gap: that part of the history is gone.
    virtual net::awaitable<Result<StreamBatch>> read(Stream stream, std::int32_t partition, std::int64_t from, std::chrono::milliseconds wait) = 0;

    // Returns the newest record of each key, and the offset from which reading misses nothing.
    virtual net::awaitable<Result<StreamBatch>> readSnapshot(Stream stream, std::int32_t partition) = 0;

    // Joins the group, or keeps the membership. A member that is silent for `ttl` loses its partitions.
    virtual net::awaitable<Result<Membership>> join(Group group, std::int64_t generation, std::chrono::milliseconds ttl) = 0;

    // Gives up the membership at once.
    virtual net::awaitable<Result<void>> leave(Group group) = 0;

    // Returns the members that hold partitions, each once; this process is one of them where it does.
    virtual net::awaitable<Result<std::vector<PartitionHolder>>> holders(Group group) = 0;
};

// Calls to executors.
class ExecutorPort
{
public:
    virtual ~ExecutorPort() = default;
    virtual net::awaitable<ExecutorReport> renew(const ExecutorInfo &executor, LeaseRenewal renewal) = 0;
    virtual net::awaitable<OrderReply> start(const ExecutorInfo &executor, StartRun order) = 0;
    virtual net::awaitable<OrderReply> stop(const ExecutorInfo &executor, StopRun order) = 0;
    virtual net::awaitable<OrderReply> pace(const ExecutorInfo &executor, PaceRun order) = 0;
    // Closes idle connections to an executor that is gone.
    virtual void closeConnections(const ExecutorInfo &executor) = 0;
};

enum class MachineOutcome {
    Done,
    Fenced,
    Busy,
    NotInWave,
    Invalid,
    Throttled,
    NotSent,
    Unknown,
};

constexpr std::string_view toString(MachineOutcome outcome)
{
    constexpr std::string_view names[] = {"done", "fenced", "busy", "not-in-wave", "invalid", "throttled", "not-sent", "unknown"};
    return names[static_cast<std::size_t>(outcome)];
}

// Calls to the platform's machines. The holder and the token fence planners off from each other.
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
    virtual net::awaitable<Result<PolicyAnswer>> advise(const ItemId &step, std::vector<ExecutorId> executors) = 0;
};

}
