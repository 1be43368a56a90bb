// Owns one partition of jobs: schedules its services' work and keeps its progress durable.
#pragma once

#include <memory>
#include <set>

#include <mangocourse/bootclock.h>
#include <mangocourse/poolscheduler.h>

#include "eventlog.h"
#include "metrics.h"
#include "nodesettings.h"
#include "ports.h"

namespace MangoCourse {

// What an owner shares with the rest of its process.
struct OwnerContext {
    net::io_context &context;
    RecordStore &store;
    ExecutorPort &executors;
    PolicyPort *policy;
    EventLog &log;
    Metrics &metrics;
    const NodeSettings &settings;
};

// Safe against a successor: its records are fenced by the token, its orders too, and no lease it gives outlasts the horizon.
class ShardOwner : public std::enable_shared_from_this<ShardOwner>
{
public:
    static std::shared_ptr<ShardOwner> create(const OwnerContext &owner, std::int32_t partition, std::int64_t token);
    ~ShardOwner();

    // Takes over: fences earlier owners off, reads the partition, then schedules until stop().
    void start();

    // Gives no further orders. Nothing is undone: the successor takes the runs over.
    void stop();

    // Writes what is not durable yet, then stops.
    net::awaitable<void> handOver();

    // Moves on with each confirmation of the ownership.
    void setTerm(const OwnershipTerm &term);
    void setConfig(std::shared_ptr<const FleetConfig> config);
    // All executors that had reported themselves by `asOf`.
    void setExecutors(const std::vector<ExecutorInfo> &executors, TimePoint asOf);
    void setEvacuations(const EvacuationList &list);
    void setUpcomingMaintenance(const std::map<MachineId, WallTime> &due);

    // Returns true once a successor was noticed.
    bool isSuperseded() const;
    bool isActive() const;
    std::int64_t token() const;

    // What the planner of the machines has to know of each pool.
    std::vector<PoolReport> reports() const;
    // Pools by service, for state dumps.
    std::vector<std::pair<ServiceId, PoolSummary>> summaries() const;

private:
    class Private;
    struct Loops;
    explicit ShardOwner(std::unique_ptr<Private> impl);
    std::unique_ptr<Private> d;
};

}
