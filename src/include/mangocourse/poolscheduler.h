// Schedules the work items of one pool onto its executors. Pure state machine: no sockets, no threads, no clock of its own.
#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include <mangocourse/clock.h>
#include <mangocourse/execution.h>
#include <mangocourse/fencing.h>
#include <mangocourse/fleetconfig.h>
#include <mangocourse/fleetplanner.h>
#include <mangocourse/orderbudget.h>
#include <mangocourse/placementrank.h>
#include <mangocourse/policyturns.h>
#include <mangocourse/poolwaiting.h>

namespace MangoCourse {

// Timing bounds of the installation.
struct SchedulerSettings {
    // Length of the leases that the owner asks for.
    std::chrono::milliseconds leaseLength{3500};
    // Executors truncate longer leases to this length.
    std::chrono::milliseconds maxLeaseLength{6000};
    // Longest time from an executor's receipt of a stop order to the end of the run.
    std::chrono::milliseconds maxStopDuration{1000};
    // Largest fraction by which an executor's clock may run slow.
    double clockDrift = 0.02;
    // No run of a job starts later than this after the job's cancellation was confirmed.
    std::chrono::milliseconds maxCancelPropagation{3000};
    // No run starts on an executor later than this after the executor reported that it drains.
    std::chrono::milliseconds maxDrainPropagation{2000};
    // Most orders to one executor that are under way at the same time, unless the members of a gang start there together.
    std::size_t maxOrdersPerExecutor = 24;
};

// A failure of a run before the last this many failed ones of its item is taken for a repeated report.
inline constexpr std::size_t maxKnownFailedRuns = 16;

// Durable progress of an item of which at least one run ended.
struct ItemProgress {
    std::int32_t occurrence = 0;
    std::int32_t step = 0;
    std::int32_t index = 0;
    bool isDone = false;
    std::int32_t failures = 0;
    // Numbers of the last runs whose failures are counted, maxKnownFailedRuns at most. Executors may report failures repeatedly and in any order.
    std::vector<std::int64_t> failedRuns;

    bool operator==(const ItemProgress &) const = default;
};

// Durable state of one job.
struct JobProgress {
    JobId id;
    QueueId queue;
    ServiceId service;
    JobState state = JobState::Queued;
    // True before any run may have been started; made durable before the first start order.
    bool mayHaveStarted = false;
    // Time at which the state became final.
    WallTime endedAt{};
    // Empty once the state is final.
    std::vector<ItemProgress> items;
    // The terms of the job, unless its submission holds them.
    std::optional<JobTerms> terms{};
    // The client account of the job; empty if it has none.
    AccountId account{};
    // Number of items of each step, to divide the items of a large job into records; not part of what is stored.
    std::vector<std::int32_t> itemsOfSteps{};

    bool operator==(const JobProgress &) const = default;
};

// Identifies one incarnation of an executor, that is one boot.
struct ExecutorKey {
    ExecutorId id;
    std::int64_t incarnation = 0;

    auto operator<=>(const ExecutorKey &) const = default; // NOLINT(modernize-use-nullptr)
};

// The machine of an executor incarnation, empty if unknown, and the pool that the incarnation belongs to.
struct ExecutorLocation {
    MachineId machine;
    ServiceId service;
    // By how much the leases of owners so far end before the latest possible time, as nobody has extended them since the incarnation fell silent.
    std::chrono::milliseconds silence{};
    // Number of the takeover whose owner recorded the silence. It counts for the next owner only, as any other may have extended the lease since.
    std::int64_t silenceRecordedBy = 0;

    bool operator==(const ExecutorLocation &) const = default;
};

// Times up to which the owner has read the records that other processes stored.
struct PoolWatermarks {
    // For submissions and cancellations of callers.
    TimePoint requestWatermark{};
    // For the status that executors publish.
    TimePoint executorWatermark{};
};

// A start order, and the state of knowledge that it was decided on.
struct StartOrder {
    ExecutorInfo executor;
    StartRun run;
    TimePoint decidedAt{};
    PoolWatermarks watermarks;
    // To be kept until the order is answered or given up, like that of the other orders.
    OrderBudget::Place place;
    // The item may have run before, here or under a previous owner. Otherwise its job has become startable under this owner and the item has had no run.
    bool isRepeat = false;
};

struct StopOrder {
    ExecutorInfo executor;
    StopRun run;
    OrderBudget::Place place;
};

// Limits the speed of a run.
struct PaceOrder {
    ExecutorInfo executor;
    PaceRun run;
    // Speed before the order.
    std::int32_t previousPercent = 100;
    OrderBudget::Place place;
};

// Orders to send after one call of plan().
struct SchedulerOrders {
    std::vector<StartOrder> starts;
    std::vector<StopOrder> stops;
    std::vector<PaceOrder> paces;
};

// Time span for which the owner holds the pool.
struct OwnershipTerm {
    // Latest time at which the owner is known to have held the pool exclusively.
    TimePoint confirmedAt{};
    // No executor lease may extend beyond this time.
    TimePoint expiresAt{};
};

// A lease renewal to send to an executor.
struct RenewalPlan {
    ExecutorInfo executor;
    LeaseRenewal renewal;
    // Delay before the next renewal if this one fails.
    std::chrono::milliseconds retryDelay{};
};

// A request to the placement policy: which of the executors may run the step.
struct PolicyRequest {
    ItemId step;
    std::vector<ExecutorId> executors;
    QueueId queue;
    PolicyPurpose purpose = PolicyPurpose::Start;
    // As the queue's configuration declares it.
    std::chrono::milliseconds expectedDuration{};
    // Time since which the step has needed the answer.
    TimePoint neededSince{};
};

// Totals for state dumps and metrics.
struct PoolSummary {
    std::size_t jobs = 0;
    std::size_t runs = 0;
    std::size_t executors = 0;
    Resources capacity;
    Resources used;
};

// One limited account in one pool.
struct AccountQuota {
    AccountId account;
    // unlimitedAmount for a resource that is not limited.
    Resources share;
    Resources running;
    Resources wanted;
    // Highest division number that the owner has applied.
    std::int64_t number = 0;
    // How long work has waited because of the share; zero if none does.
    std::chrono::milliseconds age{};
};

// One scheduling decision and its reason, for the log.
struct SchedulerEvent {
    const char *event;
    ItemId item;
    ExecutorId executor;
    std::int64_t run = 0;
    std::string outcome;
    // How long the state that has ended lasted, for events that end one.
    std::optional<std::chrono::milliseconds> lasted{};
};

// Schedules one pool for one owner. Not thread-safe.
class PoolScheduler
{
public:
    // `tokens` are shared by all schedulers of the owner, as an executor may change pools. Run numbers start above `runNumberBase`, which rises with
    // each takeover. Until `previousLeasesExpireAt`, runs of a previous owner may be active on executors that do not answer. Returns InvalidArgument if
    // the lease length is not positive or exceeds the maximum, or if there are no tokens.
    static Result<std::unique_ptr<PoolScheduler>> create(
        ServiceId service, SchedulerSettings settings, std::shared_ptr<FencingTokens> tokens, std::int64_t runNumberBase, TimePoint previousLeasesExpireAt);
    // As above, with tokens of its own for the ownership token.
    static Result<std::unique_ptr<PoolScheduler>> create(
        ServiceId service, SchedulerSettings settings, std::int64_t ownershipToken, std::int64_t runNumberBase, TimePoint previousLeasesExpireAt);
    ~PoolScheduler();

    // Sets the budget for all orders of the process. Without it only the orders to each executor are bounded.
    void setOrderBudget(std::shared_ptr<OrderBudget> budget);
    // Returns true if the last plan held orders back because too many were under way. Once one of them is answered the next plan can go on.
    bool areOrdersHeld() const;

    void setObserver(std::function<void(const SchedulerEvent &)> observer);

    void setConfig(const FleetConfig &config);

    // Replaces the list of discovered executors; `executors` may hold executors of other pools, too.
    void setExecutors(const std::vector<ExecutorInfo> &executors, TimePoint now);
    // Sets the executors that previous owners may have used, and their silence as far as it counts. Those of other pools are ignored.
    void setPreviousExecutors(const std::map<ExecutorKey, ExecutorLocation> &used);

    // Sets the executors to evacuate, which get no new work and whose runs move away, and those that have ended.
    void setEvacuations(const EvacuationList &list, TimePoint now);
    // Sets the machines with upcoming maintenance; each entry applies to incarnations that booted before the given time. Placement of
    // long-running items avoids these machines where possible, as such an item would soon have to move again.
    void setUpcomingMaintenance(std::map<MachineId, WallTime> due);
    // Sets the divisions of the accounts' limits, as of a read of the plan stream that has reached the end and began after this owner had fenced off its
    // predecessor. Before the first call no item of a limited account starts.
    void setDivisions(std::shared_ptr<const QuotaDivisions> divisions);
    // Returns the limited accounts that use or want something.
    std::vector<AccountQuota> accountQuotas(TimePoint now) const;
    // Returns the accounts whose work waits because of their shares and of which a log line is due.
    std::vector<AccountQuota> takeWaitingQuotas(TimePoint now);
    // Returns the report for the fleet planner. The caller fills in the token and the numbers.
    PoolReport report(TimePoint now) const;

    // Adds a job with its stored progress, or nullptr if there is none. Adding a known job again has no effect. A job's start intent
    // is durable before its first start, so a job without a stored intent has never been started by any owner.
    void addJob(const AcceptedJob &job, const JobProgress *progress, TimePoint now, WallTime wallNow);
    bool hasJob(const JobId &job) const;
    void cancelJob(const JobId &job, TimePoint now, WallTime wallNow);
    // Removes the jobs that reached their final state before `bound`, and returns their ids.
    std::vector<JobId> removeJobsEndedBefore(WallTime bound);

    void onReport(const ExecutorKey &executor, const ExecutorReport &report, TimePoint sentAt, TimePoint now, WallTime wallNow);
    void onStarted(const ExecutorKey &executor, const StartRun &order, const OrderReply &lastReply, TimePoint sentAt, TimePoint now);
    void onStopped(const ExecutorKey &executor, const StopRun &order, const OrderReply &reply, TimePoint now);
    // Unless the order was carried out, the run counts as having its previous speed, so that the next plan orders it again.
    void onPaced(const ExecutorKey &executor, const PaceOrder &order, const OrderReply &reply, TimePoint now);

    // Returns the orders to send now. Work whose lease expired restarts only if no other owner can have renewed the lease. Nothing
    // starts while the watermarks are so old that an unread cancellation or drain could exceed its propagation limit.
    SchedulerOrders plan(TimePoint now, WallTime wallNow, const OwnershipTerm &term, const PoolWatermarks &watermarks);
    // Returns true if the order may still be sent; call it right before sending. Otherwise the run is removed as never started.
    bool confirmStart(const StartOrder &order, const PoolWatermarks &watermarks, TimePoint now);

    // Returns true if a connection that was opened at the given time cannot lead to a later incarnation. A start order must not reach such a one: if another
    // process owns the pool by now, it may have called all incarnations but that one, so that none but that one would carry the order out.
    bool mayStartOver(const ExecutorKey &executor, TimePoint connectionOpenedAt) const;
    // Returns false if the incarnation is unknown or has ended.
    bool isIncarnationUp(const ExecutorKey &executor) const;

    // Returns true if a call with the fencing token can have been refused because a later call of this owner has overtaken it, so that the refusal does
    // not prove that another owner has taken over.
    bool isOvertaken(const ExecutorId &executor, std::int64_t fencingToken) const;

    // Returns the renewal to send to the executor now, or nothing if none is needed. Records the lease and the acknowledgement as sent.
    std::optional<RenewalPlan> renewal(const ExecutorKey &executor, TimePoint now, TimePoint expiresAt) const;
    std::vector<ExecutorKey> executors() const;
    bool hasExecutor(const ExecutorKey &executor) const;
    // Returns true if executors were added or removed since the last call.
    bool takeExecutorSetChanged();
    // Returns the executors for which renewal() may have something to send since the last call.
    std::vector<ExecutorKey> takePendingRenewals();
    // Returns the newly discovered incarnations that must be stored. They get work only after markRecorded().
    std::vector<ExecutorKey> takeUnrecordedExecutors();
    void markRecorded(const ExecutorKey &executor);
    // Returns the incarnations that do not answer, and the latest time at which a run can be active there. Until markRecorded() their leases are not
    // extended and nothing starts there, so that their silence can be recorded; once they answer, takeUnrecordedExecutors() returns them.
    std::vector<std::pair<ExecutorKey, TimePoint>> takeSilentExecutors(TimePoint now);
    // Returns the incarnations that ended since the last call, whose stored records can be deleted.
    std::vector<ExecutorKey> takeEndedExecutors();

    // Returns false if no open job has a placement policy.
    bool mayNeedPolicy() const;
    // Returns the steps that need an answer of the placement policy, by queue.
    std::vector<QueuePolicyNeeds> policyNeeds(TimePoint now);
    // Returns the request for a step that policyNeeds() named; nothing if the step needs none any more. Either onPolicyAnswer() or onPolicyFailure()
    // has to follow, or the step gets no further request.
    std::optional<PolicyRequest> takePolicyRequest(const ItemId &step, TimePoint now);
    // An answer without a validity counts as an error of the policy.
    void onPolicyAnswer(const ItemId &step, const PolicyAnswer &answer, TimePoint now);
    void onPolicyFailure(const ItemId &step, PolicyOutcome outcome, TimePoint now);

    // Returns the progress of the jobs that changed since the last call. markPersisted() allows their ended runs to be acknowledged.
    std::vector<JobProgress> takeChangedJobs();
    // Call it once everything that takeChangedJobs() returned so far is durable.
    void markPersisted();
    bool hasChanges() const;
    // Returns true while ended runs of the executor can't be acknowledged yet; a renewal would only report them again.
    bool hasUnacknowledgeableEnds(const ExecutorKey &executor, TimePoint now) const;
    // Returns true if a change should be stored at once: a start intent, or the end of a job.
    bool hasUrgentChange() const;

    // Returns the time at which plan() is due again if no event calls for it earlier.
    TimePoint nextWakeup(TimePoint now, WallTime wallNow) const;
    PoolSummary summary() const;

    // Returns the lines to log now about ready items without a run and about runs that their executors don't list. Call it
    // every half second; a call soon after the last review returns nothing. It changes no decision.
    WaitingReview reviewWaiting(TimePoint now, WallTime wallNow);
    // Returns the numbers of waiting jobs of the last review, and the usability of the executors now.
    PoolWaiting waiting(TimePoint now) const;

private:
    class Private;
    explicit PoolScheduler(std::unique_ptr<Private> impl);
    std::unique_ptr<Private> d;
};

}
