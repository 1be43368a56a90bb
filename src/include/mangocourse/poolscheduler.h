// Decides which work item of a pool runs where and when. No sockets, threads or clock of its own.
#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include <mangocourse/clock.h>
#include <mangocourse/execution.h>
#include <mangocourse/fleetconfig.h>
#include <mangocourse/fleetplanner.h>

namespace MangoCourse {

// Figures of the installation that the decisions depend on.
struct SchedulerSettings {
    // How far ahead leases reach when all is well.
    std::chrono::milliseconds leaseLength{3500};
    // The executors shorten longer leases to this.
    std::chrono::milliseconds maxLeaseLength{6000};
    // An executor ends a run within this time of the order to stop it.
    std::chrono::milliseconds maxStopDuration{1000};
    // Executors' clocks may run this much slower than true time.
    double clockDrift = 0.02;
    // No start follows the confirmation of its job's cancellation by more than this.
    std::chrono::milliseconds maxCancelPropagation{3000};
    // No start follows its executor's report that it drains by more than this.
    std::chrono::milliseconds maxDrainPropagation{2000};
};

// What an owner has to know of an item that ended at least once.
struct ItemProgress {
    std::int32_t occurrence = 0;
    std::int32_t step = 0;
    std::int32_t index = 0;
    bool isDone = false;
    std::int32_t failures = 0;
    // The runs whose failures were counted; executors may list them in any order, and again.
    std::vector<std::int64_t> failedRuns;

    bool operator==(const ItemProgress &) const = default;
};

// The durable state of one job.
struct JobProgress {
    JobId id;
    QueueId queue;
    ServiceId service;
    JobState state = JobState::Queued;
    // Some of it may have been started. It is durable before the first start.
    bool mayHaveStarted = false;
    // When the state became final.
    WallTime endedAt{};
    // Empty once the state is final.
    std::vector<ItemProgress> items;

    bool operator==(const JobProgress &) const = default;
};

// One life of an executor.
struct ExecutorKey {
    ExecutorId id;
    std::int64_t incarnation = 0;

    auto operator<=>(const ExecutorKey &) const = default; // NOLINT(modernize-use-nullptr)
};

// Where an executor's life stands: the machine, empty where it is unknown, and the pool that the life belongs to.
struct ExecutorLocation {
    MachineId machine;
    ServiceId service;

    bool operator==(const ExecutorLocation &) const = default;
};

// The times up to which the owner knows what others have stored.
struct PoolWatermarks {
    // Submissions and cancellations.
    TimePoint requestWatermark{};
    // Executors' reports of themselves.
    TimePoint executorWatermark{};
};

struct StartOrder {
    ExecutorInfo executor;
    StartRun run;
    // When the start was decided, and what was known then.
    TimePoint decidedAt{};
    PoolWatermarks view;
};

struct StopOrder {
    ExecutorInfo executor;
    StopRun run;
};

struct PaceOrder {
    ExecutorInfo executor;
    PaceRun run;
};

struct SchedulerOrders {
    std::vector<StartOrder> starts;
    std::vector<StopOrder> stops;
    std::vector<PaceOrder> paces;
};

// How far the ownership reaches.
struct OwnershipTerm {
    // The latest time at which the owner is known to have been the only one.
    TimePoint confirmedAt{};
    // No lease and no start may reach beyond this.
    TimePoint expiresAt{};
};

// The renewal that an executor needs now.
struct RenewalPlan {
    ExecutorInfo executor;
    LeaseRenewal renewal;
};

// A step whose policy decision is missing.
struct PolicyRequest {
    ItemId step;
    std::vector<ExecutorId> executors;
};

// Counts for state dumps and metrics.
struct PoolSummary {
    std::size_t jobs = 0;
    std::size_t runs = 0;
    std::size_t executors = 0;
    Resources capacity;
    Resources used;
};

// Receives each decision with its reason, for the log.
struct SchedulerEvent {
    const char *event;
    ItemId item;
    ExecutorId executor;
    std::int64_t run = 0;
    std::string outcome;
};

// One pool under one owner. Calls come from one thread.
class PoolScheduler
{
public:
    // `token` fences earlier owners off; run numbers start above `runNumberBase`, which rises from owner to owner. Items of jobs that an
    // earlier owner began may run, unseen, on an executor that cannot be asked, until `previousLeasesExpireAt`.
    static Result<std::unique_ptr<PoolScheduler>> create(
        ServiceId service, SchedulerSettings settings, std::int64_t token, std::int64_t runNumberBase, TimePoint previousLeasesExpireAt);
    ~PoolScheduler();

    void setObserver(std::function<void(const SchedulerEvent &)> observer);

    void setConfig(const FleetConfig &config);

    // All executors that discovery shows now, of this pool and of others.
    void setExecutors(const std::vector<ExecutorInfo> &executors, TimePoint now);
    // Names the executors that earlier owners may have used. Those of other pools are no concern of this one.
    void setPreviousExecutors(const std::map<ExecutorKey, ExecutorLocation> &used);

    // Executors that get no new work and whose work moves away, and those that are over.
    void setEvacuations(const EvacuationList &list, TimePoint now);
    // Machines whose maintenance is to come, each with the time before which a life must have begun to be meant. Long-running work that
    // can go elsewhere is not put there: it would have to move again.
    void setUpcomingMaintenance(std::map<MachineId, WallTime> due);
    // What the planner of the machines has to know; token and numbers are left to the caller.
    PoolReport report(TimePoint now) const;

    // Adds a job with what is known of its earlier progress. Adding a known job again changes nothing. That a job may have
    // begun is durable before its first start, so one of which it is not known has never been started by anybody.
    void addJob(const AcceptedJob &job, const JobProgress *progress, TimePoint now, WallTime wallNow);
    void cancelJob(const JobId &job, TimePoint now, WallTime wallNow);
    // Drops jobs whose final state is older than the bound.
    std::vector<JobId> removeJobsEndedBefore(WallTime bound);

    void onReport(const ExecutorKey &executor, const ExecutorReport &report, TimePoint sentAt, TimePoint now, WallTime wallNow);
    void onStarted(const ExecutorKey &executor, const StartRun &order, const OrderReply &reply, TimePoint sentAt, TimePoint now);
    void onStopped(const ExecutorKey &executor, const StopRun &order, const OrderReply &reply, TimePoint now);
    void onPolicyAnswer(const ItemId &step, const PolicyAnswer &answer, TimePoint now);

    // Plans what to do now, within the term. Work whose lease ran out restarts only if nobody else can have renewed it. Nothing starts while
    // the view is so old that the job may have been cancelled, or the executor may drain, for longer than the bounds allow.
    SchedulerOrders plan(TimePoint now, WallTime wallNow, const OwnershipTerm &term, const PoolWatermarks &view);
    // Decides right before the order is sent whether it still may be; if not, the run counts as never started.
    bool confirmStart(const StartOrder &order, const PoolWatermarks &view, TimePoint now);

    // Returns the renewal that the executor needs, or nothing while none is needed.
    std::optional<RenewalPlan> renewal(const ExecutorKey &executor, TimePoint now, TimePoint expiresAt) const;
    std::vector<ExecutorKey> executors() const;
    bool hasExecutor(const ExecutorKey &executor) const;
    // Returns true once after executors came or went.
    bool takeExecutorSetChanged();
    // Executors whose renewal() may have something to send since the last call.
    std::vector<ExecutorKey> takePendingRenewals();
    // Executor lives that come into use. They get work once markRecorded() says that the use is durable.
    std::vector<ExecutorKey> takeUnrecordedExecutors();
    void markRecorded(const ExecutorKey &executor);
    // Recorded lives that are over.
    std::vector<ExecutorKey> takeEndedExecutors();

    std::vector<PolicyRequest> takePolicyRequests(TimePoint now) const;

    // Progress of the jobs that changed since the last call. Ends of these become acknowledgeable by markPersisted.
    std::vector<JobProgress> takeChangedJobs();
    // Tells that everything returned by takeChangedJobs so far is durable.
    void markPersisted();
    bool hasChanges() const;
    // Returns true while ends of the executor wait to become durable; a renewal would only repeat them.
    bool hasUnpersistedEnds(const ExecutorKey &executor) const;
    // Somebody waits for a change to become visible.
    bool hasUrgentChange() const;

    // The time at which plan() should run again even if nothing happens.
    TimePoint nextWakeup(TimePoint now, WallTime wallNow) const;
    PoolSummary summary() const;

private:
    class Private;
    explicit PoolScheduler(std::unique_ptr<Private> impl);
    std::unique_ptr<Private> d;
};

}
