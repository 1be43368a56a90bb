// Decides whether a submission can still end in time. Pure decision code: no sockets, no clock of its own.
#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <string_view>

#include <mangocourse/clock.h>
#include <mangocourse/job.h>
#include <mangocourse/runtimeestimates.h>

namespace MangoCourse {

// Work of several items as the products of their demands and run times, in core-ms and MB x s.
struct WorkAmount {
    std::int64_t cpu = 0;
    std::int64_t memory = 0;

    bool operator==(const WorkAmount &) const = default;
};

// The load of one pool, as its owner publishes it while work queues there.
struct PoolLoad {
    ServiceId service;
    // Fencing token of the owner, and a number that rises with each load that it publishes.
    std::int64_t token = 0;
    std::int64_t number = 0;
    WallTime at{};
    // Ready work exceeds what the pool can run at the same time.
    bool isQueueing = false;
    // How long that has been so.
    std::chrono::milliseconds queueingFor{};
    // Resources of the executors that are usable, or will be within a moment, less those that long-running work takes.
    Resources capacity;
    // The part of the capacity that neither runs nor ready work takes.
    Resources free;
    // Memory rather than CPU limits what runs at the same time. Work is then counted by memory, converted to core-ms by the ratio of the capacities.
    bool isMemoryScarce = false;
    // Remaining work of the open finite jobs that can still end in time, by priority, in core-ms.
    std::map<std::int32_t, std::int64_t> workAhead;
    // Remaining work of running items whose jobs cannot end in time, in core-ms.
    std::int64_t lateRunning = 0;
    // Remaining work of these jobs that does not run yet, in core-ms.
    std::int64_t lateWaiting = 0;
    // Work that arrives, in core-ms per second.
    std::int64_t inflow = 0;
    // Learned ratios of run time to estimate.
    std::map<QueueId, RunTimeRatio> ratios;
    // Accounts that submit more than their rate. Their jobs go behind all others.
    std::set<AccountId> accountsBeyondRate;

    bool operator==(const PoolLoad &) const = default;
};

// Converts work to core-ms of the resource that is scarce in the pool.
std::int64_t scarceWork(const WorkAmount &work, const Resources &capacity, bool isMemoryScarce);

// What a submission asks for, by its estimates.
struct JobDemand {
    JobId id;
    QueueId queue;
    ServiceId service;
    AccountId account;
    std::int32_t priority = 0;
    // Lasting and scheduled jobs are always admitted.
    bool isExempt = false;
    WorkAmount work;
    // Demand of all items of the steps that depend on no other.
    Resources firstSteps;
    // Longest chain of steps.
    std::chrono::milliseconds chain{};
    // Time from the submission within which the job has to end.
    std::chrono::milliseconds objective{};

    // The job must have its terms.
    static JobDemand create(const AcceptedJob &job);
};

enum class AdmissionReason {
    // The job is lasting or scheduled.
    Exempt,
    // Nothing is known of the pool.
    NoView,
    // The pool's load is older than maxLoadAge.
    OldView,
    NoQueueing,
    // The pool has begun to queue too recently to tell a burst from a moment's unevenness, or no capacity is known.
    JustBegun,
    // There is room for the job's first steps.
    Room,
    InTime,
    // The refusals.
    Late,
    BeyondRate,
};
std::string_view toString(AdmissionReason reason);

struct AdmissionDecision {
    bool isAdmitted = true;
    AdmissionReason reason = AdmissionReason::NoView;
    // From now on; zero if it was not computed.
    std::chrono::milliseconds expectedEnd{};
    // Whole seconds; zero for an admitted job.
    std::chrono::milliseconds retryAfter{};
    std::chrono::milliseconds viewAge{};
    // Time until the pool is free of the work ahead.
    std::chrono::milliseconds drainTime{};
};

// An older load is not used.
inline constexpr std::chrono::milliseconds maxLoadAge{1500};

// One gateway's admission. Gateways with the same loads decide alike, apart from what each has admitted itself since. Not thread-safe.
class AdmissionControl
{
public:
    AdmissionControl();
    ~AdmissionControl();

    // Sets the load of a pool. `receivedAt` is the latest time at which it is known to have been current. Loads of an earlier owner, or earlier loads
    // of the same one, are ignored.
    void setLoad(const PoolLoad &load, TimePoint receivedAt);
    // Sets the time up to which all published loads have been set. A pool without a load does not queue as of this time.
    void setCurrentAsOf(TimePoint asOf);
    // Forgets all loads, before a complete set of them is set.
    void reset();

    // Decides on a submission, and counts it if it is admitted.
    AdmissionDecision decide(const JobDemand &demand, TimePoint now);

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
