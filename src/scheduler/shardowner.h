// Owner of one partition of jobs: schedules the work of its services and persists its progress.
#pragma once

#include <memory>
#include <set>

#include <mangocourse/bootclock.h>
#include <mangocourse/poolscheduler.h>

#include "event.h"
#include "eventlog.h"
#include "metrics.h"
#include "nodesettings.h"
#include "ports.h"
#include "queueplacements.h"
#include "quotafeed.h"

namespace MangoCourse {

// Dependencies that an owner shares with the rest of its process.
struct OwnerContext {
    net::io_context &context;
    RecordStore &store;
    ExecutorPort &executors;
    // Notified when a step may need the placement policy; nullptr if there is no policy.
    Event *policyWanted;
    EventLog &log;
    Metrics &metrics;
    const NodeSettings &settings;
    // Shared with the process's gateway; nullptr if the placements of queues are not maintained.
    std::shared_ptr<QueuePlacements> placements{};
    // Shared with the reader of the plan stream; without it no item of a limited account starts.
    std::shared_ptr<const QuotaFeed> quotas{};
    // For all orders of the process; nullptr if only those to each executor are bounded.
    std::shared_ptr<OrderBudget> orderBudget{};
};

// Schedules one partition. Does no harm after a successor has taken over: its records and orders are fenced by the token, and no lease that it grants
// extends beyond the expiry of its ownership term.
class ShardOwner : public std::enable_shared_from_this<ShardOwner>
{
public:
    static std::shared_ptr<ShardOwner> create(const OwnerContext &owner, std::int32_t partition, std::int64_t token);
    ~ShardOwner();

    // Takes over the partition: fences off earlier owners, reads the stored state, then schedules until stop().
    void start();

    // Stops giving orders. Runs continue and are taken over by the successor.
    void stop();

    // Persists outstanding changes, then stops.
    net::awaitable<void> handOver();

    // Sets the ownership term. Called each time the ownership is confirmed.
    void setTerm(const OwnershipTerm &term);
    void setConfig(std::shared_ptr<const FleetConfig> config);
    // Sets the list of executors. `asOf` is the time up to which their published status has been read.
    void setExecutors(const std::vector<ExecutorInfo> &executors, TimePoint asOf);
    void setEvacuations(const EvacuationList &list);
    // Passes the divisions of the accounts' limits on to the pools, once they are as new as the plan stream was when this owner had set its fence.
    void updateDivisions();
    // Sets the machines with upcoming maintenance; see PoolScheduler::setUpcomingMaintenance() for the times.
    void setUpcomingMaintenance(const std::map<MachineId, WallTime> &dueMachines);

    // Returns true once this owner has been fenced off by a successor.
    bool isSuperseded() const;
    bool isActive() const;
    std::int64_t token() const;

    // The placement policy; see PoolScheduler. Only an active owner has needs.
    bool mayNeedPolicy() const;
    std::vector<QueuePolicyNeeds> policyNeeds();
    std::optional<PolicyRequest> takePolicyRequest(const ItemId &step);
    void onPolicyAnswer(const ItemId &step, const PolicyAnswer &answer);
    void onPolicyFailure(const ItemId &step, PolicyOutcome outcome);

    // Returns the reports of all pools for the planner; empty unless the owner is active.
    std::vector<PoolReport> reports() const;
    // Returns the pools by service, for state dumps.
    std::vector<std::pair<ServiceId, PoolSummary>> summaries() const;
    // Returns what waits in each pool, in the order of summaries().
    std::vector<PoolWaiting> waiting() const;
    // Returns the limited accounts of each pool, in the order of summaries().
    std::vector<std::vector<AccountQuota>> accountQuotas() const;
    // Returns the number of jobs whose service is not in the configuration.
    std::size_t unassignedJobs() const;

private:
    class Private;
    struct Tasks;
    explicit ShardOwner(std::unique_ptr<Private> impl);
    std::unique_ptr<Private> d;
};

}
