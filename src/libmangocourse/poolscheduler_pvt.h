// Private state of PoolScheduler, used by its event handling and its planning.
#pragma once

#include <deque>
#include <map>
#include <unordered_map>
#include <unordered_set>

#include <mangocourse/estimatecorrection.h>
#include <mangocourse/fairshare.h>
#include <mangocourse/poolscheduler.h>
#include <mangocourse/quotadivision.h>

#include "capacityindex_pvt.h"
#include "poolstate_pvt.h"
#include "poolwaiting_pvt.h"

namespace MangoCourse {

// Allowance for rounding and timers in the lease of a run that this owner has not started on the incarnation.
inline constexpr std::chrono::milliseconds adoptedLeaseMargin{60};
// A call to an executor is given up after this time.
inline constexpr std::chrono::milliseconds maxCallDuration{2200};
// No lease is given by a clock that was read before.
inline constexpr std::chrono::milliseconds maxClockAge{90'000};
// Nothing starts with a lease shorter than this.
inline constexpr std::chrono::milliseconds minStartLease{400};

// How far the turn of an account goes. After each start the account with the lowest position has its turn.
struct AccountTurn {
    const AccountShare *share = nullptr;
    Resources capacity;
    // Position of the account that is next; negative if the turn ends with the first start.
    double nextPosition = 0;

    bool isOver() const
    {
        return this->share->position(this->capacity) >= this->nextPosition;
    }
    // A started job goes on for this fraction of the capacity: if accounts gave way after each item, many jobs would be started and few end in time.
    static constexpr double jobAllowance = 1.0 / 16;
    // As isOver(), between two items of a job.
    bool isOverWithinJob() const
    {
        const double allowance = this->nextPosition < 0 ? 0.0 : jobAllowance / this->share->weight;
        return this->share->position(this->capacity) >= this->nextPosition + allowance;
    }
};

// Where the placement of a job goes on after its account's turn was over.
struct PlacementCursor {
    std::size_t occurrence = 0;
    std::size_t step = 0;
    std::size_t index = 0;
    // Items were passed over that may be placed later.
    bool hasUnplacedItems = false;
    bool isPaused = false;
};

// Parameters common to all placements of one call of plan().
struct PlacementRound {
    TimePoint now{};
    WallTime wallNow{};
    // Expiry of the ownership; no lease extends beyond it.
    TimePoint expiresAt{};
    // Latest time at which the owner is known to have held the pool exclusively.
    TimePoint confirmedAt{};
    PoolWatermarks watermarks;
    // Every run that a previous owner started and that may be active is known.
    bool arePreviousRunsKnown = true;
    bool isOverloaded = false;
    // Absent if the placement of a job is not to be interrupted.
    const AccountTurn *turn = nullptr;
};

class PoolScheduler::Private
{
public:
    explicit Private(ServiceId service)
        : service(service)
        , quota(std::move(service))
    {
    }

    // Suitability of an executor for an item; the lowest rank is chosen.
    struct CandidateRank {
        bool hasFailedHere = false;
        bool isOffRack = false;
        bool isSlow = false;
        bool hasRecentFailures = false;
        // Maintenance of its machine is upcoming.
        bool isMaintenanceDue = false;
        std::int32_t spread = 0;
        std::int64_t cpuLeft = 0;

        auto operator<=>(const CandidateRank &) const = default; // NOLINT(modernize-use-nullptr)
        bool isIdeal() const
        {
            return !this->hasFailedHere && !this->isOffRack && !this->isSlow && !this->hasRecentFailures && !this->isMaintenanceDue && this->spread == 0;
        }
    };

    struct Candidate {
        Executor *executor = nullptr;
        CandidateRank rank;
    };

    ServiceId service;
    SchedulerSettings settings;
    std::shared_ptr<FencingTokens> tokens;
    std::int64_t runNumberBase = 0;
    // Starts are held because the watermarks are too old.
    bool areStartsHeld = false;
    TimePoint previousLeasesExpireAt{};
    std::function<void(const SchedulerEvent &)> observer;
    std::map<QueueId, QueueConfig> queues;
    // Costs of the placement policy by queue, as configured last.
    std::map<QueueId, PlacementPolicy> policies;
    std::map<QueueId, PolicyShare> policyShares;
    // A job with a placement policy has been added.
    bool hasPolicyJobs = false;
    std::map<ExecutorKey, Executor> executors;
    std::map<ExecutorId, std::vector<UnsettledStart>> unsettledStarts;
    // Latest ends of the leases that calls to ended incarnations can have given to the next ones with their ids.
    std::map<ExecutorId, TimePoint> strayLeaseEnds;
    std::map<ExecutorKey, PreviousExecutor> previousExecutors;
    // All executors that previous owners recorded, also those whose leases are over.
    std::set<ExecutorKey> executorsOfPreviousOwners;
    bool hasExecutorList = false;
    EvacuationList evacuations;
    std::map<MachineId, WallTime> upcomingMaintenance;
    std::unordered_map<JobId, JobEntry> jobs;
    std::set<JobId> openJobs;
    // Open jobs that may have something to place: a waiting item, a speculative run or a future occurrence.
    std::unordered_set<JobEntry *> placeable;
    CapacityIndex index;
    std::uint64_t lastOrdinal = 0;
    // Executors that takePendingRenewals() returns next.
    std::set<ExecutorKey> pendingRenewals;
    bool isExecutorSetChanged = false;
    // The text of describePreviousOwnersRuns() for the plan in progress, once it has been needed.
    std::optional<std::string> previousOwnersRuns;
    TimePoint overloadCheckedAt{};
    bool wasOverloaded = false;
    TimePoint stallsCheckedAt{};
    std::set<JobId> changedJobs;
    // Jobs whose start intent is not durable yet.
    std::set<JobId> unpersistedStartIntents;
    bool isUrgent = false;
    // Smoothed ratio of actual to estimated run time by queue.
    std::map<QueueId, double> durationRatio;
    // Run times of single items, and times from the first start to the last end of whole steps, by queue.
    std::map<QueueId, EstimateCorrection> itemTimes;
    std::map<QueueId, EstimateCorrection> stepTimes;
    std::vector<ExecutorKey> endedExecutors;
    // Recently submitted finite work, in core-ms.
    std::deque<std::pair<TimePoint, std::int64_t>> arrivals;
    SchedulerOrders orders;
    // Of the process; nullptr if it has none.
    std::shared_ptr<OrderBudget> orderBudget;
    // The plan has held orders back because too many were under way.
    bool areOrdersHeld = false;
    WaitingWatch waiting;
    PoolQuota quota;
    // Items that the next incarnation of an executor may run without a known run; only those of jobs with an account.
    std::map<ItemId, TimePoint> heldItems;

    // Limits of accounts; see poolquota.cpp.
    static Resources quotaDemandOf(const StepSpec &spec);
    // Counts the runs of accounts that have become limited.
    void startCounting();
    void countRun(Run &run, const ItemId &id);
    static void uncountRun(const Run &run);
    // Returns false if the item, or the gang, has to wait for the limit of its account.
    bool mayStartWithinQuota(const JobEntry &entry, const ItemId &id, TimePoint now);
    bool fitsQuota(const JobEntry &entry, const StepSpec &spec) const;
    // Updates what the pool may have running beside the known runs, and the usage that can be reported.
    void updateQuotaUsage(TimePoint now, TimePoint confirmedAt);
    void addUncertainItem(const ItemId &id);
    void reportQuota(PoolReport &report) const;
    AccountShares shares;
    // Jobs whose place in the rate of their account is not determined yet.
    std::vector<JobEntry *> unmarkedJobs;

    // Review of waiting work; see poolwaiting.cpp.
    class Reviewer;
    void notePlan(TimePoint now, const OwnershipTerm &term, const PoolWatermarks &watermarks);
    void noteUnreachable(Executor &executor, OrderOutcome outcome, TimePoint now);
    void noteReachable(Executor &executor, TimePoint now);
    ExecutorUsability usabilityOf(const Executor &executor, TimePoint now) const;

    // Events
    Executor *find(const ExecutorKey &key);
    // Records the executor clock of a reply and returns the run that the order was for, or nullptr if it is no longer known. A reply of another
    // incarnation ends the one that the order was sent to.
    Run *resolveOrder(const ExecutorKey &key, const ItemId &item, std::int64_t number, const OrderReply &reply, TimePoint sentAt, TimePoint now);
    JobEntry *findJob(const JobId &id);
    Item *findItem(const ItemId &id);
    // As findItem(), for a run or an end that an executor reports. A previous owner may have taken an occurrence for due that is not due by the
    // clock of this one, so the occurrence is opened.
    Item *findReportedItem(const ItemId &id);
    const StepSpec &stepOf(const ItemId &id);
    void markChanged(JobEntry &entry);
    void emitEvent(const char *event, const ItemId &item, const Executor &executor, std::int64_t run, std::string outcome);
    void openOccurrence(JobEntry &entry, std::size_t number);
    // Applies the terms of the job; those of its queue if the job was stored without.
    void applyTerms(JobEntry &entry);
    // Return the expected run time of an item, and the expected time from the start to the end of the step.
    std::chrono::milliseconds expectedItemTime(const JobEntry &entry, const StepSpec &step) const;
    std::chrono::milliseconds expectedStepTime(const JobEntry &entry, const StepSpec &step) const;
    void recordArrival(const JobEntry &entry, TimePoint now);
    static void recordClock(Executor &executor, const std::optional<std::chrono::milliseconds> &clock, TimePoint now);
    Run &addRun(Executor &executor, const ItemId &id, std::int64_t number, TimePoint now);
    // Removes a run that is over or has never begun; `reason` is a literal.
    // `possiblyActiveUntil`: unset if an answer of the executor rules the run out.
    void removeRun(
        Executor &executor, std::map<ItemId, Run>::iterator run, std::string_view reason, TimePoint knownAt, TimePoint possiblyActiveUntil = TimePoint{});
    // Removes a run whose order has not left the scheduler.
    void withdrawRun(Executor &executor, std::map<ItemId, Run>::iterator run);
    // Returns why no earlier run of the item can be active, how old that knowledge is and when the ownership was confirmed last; for the log.
    std::string describeEarlierRuns(const JobEntry &entry, const Item &item, const PlacementRound &round);
    // As above, for the runs of previous owners.
    std::string describePreviousOwnersRuns(const PlacementRound &round) const;
    void handleRunEnd(Executor &executor, const ReportedEnd &end, TimePoint now, WallTime wallNow);
    void completeItem(Executor &executor, const ReportedEnd &end, TimePoint now, WallTime wallNow);
    void recordItemFailure(Executor &executor, const ReportedEnd &end, TimePoint now, WallTime wallNow);
    // Notes the failure as a sign that the executor is faulty, unless the item has failed on another one before.
    void countFailureAgainst(Executor &executor, const ReportedEnd &end, const Item &item, TimePoint now);
    void finishJob(JobEntry &entry, JobState state, TimePoint now, WallTime wallNow);
    // Stops all active runs of the step that `id` names.
    void stopStep(ItemId id, const StepState &step, const char *reason);
    void emitJobDecided(const JobEntry &entry, TimePoint now) const;
    void markStarted(JobEntry &entry, TimePoint now);
    void completeJobIfDone(JobEntry &entry, TimePoint now, WallTime wallNow);

    // Restarts of executors; see poolrestarts.cpp.
    // Marks the incarnation as certainly ended, at `endedBy` at the latest, and drops its runs. `mayReturn`: another incarnation with its id is
    // up or may come up, so runs that may belong to that one are held.
    void endIncarnation(Executor &executor, TimePoint endedBy, bool mayReturn, const char *reason);
    // Keeps the item from starting elsewhere until the longest lease that the next incarnation of `sentTo` can give a start at `carriedOutBy` is over, or
    // until that incarnation lists the run. It may have carried out an order that was in flight when the executor restarted under its id.
    void holdForNextIncarnation(const ExecutorKey &sentTo, const ItemId &id, std::int64_t number, TimePoint carriedOutBy, TimePoint now);
    // Returns the latest time at which a run can be active that an executor accepts now.
    TimePoint longestLeaseEnd(TimePoint now) const;
    // Returns true if the next incarnation may have carried out the start order of the run, or may still.
    static bool mayBeOnNextIncarnation(const Executor &executor, const Run &run);
    // Records that a call which extends the lease may have reached the next incarnation instead of the one that it was sent to.
    void recordStrayLease(const ExecutorKey &sentTo, OrderOutcome outcome, TimePoint now);
    // Notes that renewals of a previous owner, meant for an earlier incarnation, may have extended the lease of this one before its first answer.
    void noteStrayLeaseOfPreviousOwner(Executor &executor, const ExecutorReport &report, TimePoint now) const;
    // Returns true if no start order that was sent before can still be carried out by a next incarnation. An acknowledgement that reaches that incarnation
    // after the run has ended makes it forget an end that nobody has read; one that is overtaken by a later start is refused, as its token is lower.
    bool canAcknowledge(const Executor &executor, TimePoint now) const;
    // Returns true if the reply can come from the next incarnation, as far as its clock tells.
    static bool mayBeFromNextIncarnation(const Executor &executor, const OrderReply &reply, TimePoint now);
    // Gives up the runs of an incarnation or lease that ended at `endedBy` at the latest.
    void dropRuns(Executor &executor, TimePoint endedBy, const char *reason);
    // Assigns the unsettled starts of earlier incarnations to the listed ones with their ids, which are asked for them and told to stop them.
    void assignUnsettledStarts(TimePoint now);
    void assignUnsettledStart(Executor &executor, const UnsettledStart &start, TimePoint now);
    // Returns the executor with the id, other than `sentTo`, that the run was assigned to, or nullptr.
    Executor *findAssignee(const ExecutorKey &sentTo, const ItemId &item, std::int64_t number);
    UnsettledStart *findUnsettledStart(const ExecutorKey &sentTo, const StartRun &order);
    // Handles the reply to a start order whose run is no longer known where the order was sent to.
    void settleStart(const ExecutorKey &sentTo, const StartRun &order, const OrderReply &reply, TimePoint now);
    // Handles a start order that was not sent and whose run is no longer known where it would have been sent to.
    void withdrawStart(const ExecutorKey &sentTo, const StartRun &order, TimePoint now);
    void forgetUnsettledStart(const ExecutorKey &sentTo, const StartRun &order, TimePoint now);
    void stopOtherCopies(const ItemId &id, const Executor &except, const char *reason);
    void requestStop(Executor &executor, Run &run, const char *reason);
    void updateDurationRatios(Executor &executor, const Run &run, TimePoint now);

    // Orders under way; see poolorders.cpp.
    // Returns the budget for orders to the executor, which counts against that of the process.
    OrderBudget &budgetOf(Executor &executor) const;
    // Returns true if an order to the executor may go on its way now, and otherwise notes that orders are held back.
    bool hasOrderRoom(Executor &executor, OrderKind kind);
    // As hasOrderRoom() for a start, whatever the executor.
    bool hasStartRoom();
    // Returns true if a start order to the executor may go on its way now.
    bool hasStartRoom(const Executor &executor) const;

    // Planning
    void expireLeases(TimePoint now, TimePoint confirmedAt);
    void stopStalledRuns(Executor &executor, TimePoint now);
    void stopOrphans(Executor &executor, TimePoint now);
    void paceBestEffortRuns(Executor &executor, TimePoint now);
    void resendStops(Executor &executor, TimePoint now);
    void stopEvacuatedRuns(TimePoint now);
    bool isConfirmedRunning(const Run &run, TimePoint now) const;
    bool canInterrupt(const ItemId &id, TimePoint now);
    bool isEvacuated(const Executor &executor) const;
    bool isMaintenanceDue(const Executor &executor) const;
    bool isUsable(const Executor &executor, TimePoint now) const;
    // Returns true if the watermarks are recent enough for a start now.
    bool areWatermarksFresh(const PoolWatermarks &watermarks, TimePoint now) const;
    // As areWatermarksFresh(), and reports to the observer when starts are held and when they resume.
    bool checkWatermarks(const PoolWatermarks &watermarks, TimePoint now);
    bool isStepReady(const JobEntry &entry, const OccurrenceState &occurrence, std::size_t step) const;
    std::chrono::milliseconds computeCriticalPath(const JobEntry &entry) const;
    // Forgets the failures of an executor on which a long-running item has started and goes on since.
    static void endTrial(Executor &executor, TimePoint now);
    // Returns true if the executor gets one run at a time and holds a run that may still show whether it works again.
    static bool isOnTrial(const Executor &executor, TimePoint now);
    // Adds usable executors to the index and removes the others.
    void refreshIndex(TimePoint now);
    void updateIndex(Executor &executor);
    // `isOverloaded`: not all waiting jobs can be served in time.
    PlacementRank rankJob(const JobEntry &entry, TimePoint now, bool isOverloaded) const;
    // Adds an open job to those that may have something to place.
    void markPlaceable(JobEntry &entry);
    bool checkOverload(TimePoint now);
    std::string findSiblingRack(const JobEntry &entry, const ItemId &id);
    CandidateRank rankCandidate(const Executor &executor, const JobEntry &entry, const ItemId &id, const Item &item, const std::string &siblingRack) const;
    Candidate findBestExecutor(
        const CapacityIndex::Slots &slots, const JobEntry &entry, const ItemId &id, const Item &item, const std::string &siblingRack) const;
    Executor *chooseExecutor(const JobEntry &entry, const ItemId &id, const Item &item);
    PlacementObstacle findConstraint(const Executor &executor, const JobEntry &entry, const ItemId &id, const StepSpec &spec) const;
    // Returns the ratio of actual to estimated run time in the job's queue, at least 1.
    static double durationFactor(const JobEntry &entry);
    // Returns true if a speculative second run is expected to end sooner than the only active run.
    bool needsSecondRun(const JobEntry &entry, const ItemId &id, const Item &item, TimePoint now);
    // Return true if items remain that may be placed later.
    // placeJob() and placeStep() pause after a start that ends the turn of the job's account, and go on at the cursor when called again.
    bool placeJob(JobEntry &entry, const PlacementRound &round, PlacementCursor &cursor);
    bool placeStep(JobEntry &entry, std::int32_t occurrence, std::int32_t step, const PlacementRound &round, PlacementCursor &cursor);
    bool placeGang(JobEntry &entry, std::int32_t occurrence, std::int32_t step, const PlacementRound &round);
    void startOn(Executor &executor, JobEntry &entry, const ItemId &id, Item &item, std::int64_t number, const PlacementRound &round);
    std::chrono::milliseconds computeLeaseExpiry(const Executor &executor, TimePoint now, TimePoint expiresAt) const;
    void extendLease(Executor &executor, std::chrono::milliseconds until, TimePoint now) const;
    // Returns the time by which all calls of previous owners have ended.
    TimePoint previousCallsEndAt() const;
    // Returns true if the executor was reached, or no run of a previous owner can be active there.
    bool arePreviousRunsOver(const ExecutorKey &key, const PreviousExecutor &previous, TimePoint now) const;
    // Returns the time by which no run of a previous owner can be active on the executor, and none of its ends can count that has not been acknowledged.
    static TimePoint unknownRunsEndAt(const Executor &executor);
    // Returns true if the executor may hold runs or ends of a previous owner that this owner does not know.
    bool mayHoldUnknownRuns(const Executor &executor, TimePoint now) const;
    // Returns true if every run that a previous owner started and that may be active is known.
    bool arePreviousRunsKnown(TimePoint now) const;
    void recordStartIntent(JobEntry &entry);
    bool isOverloaded();

    // Order between client accounts; see poolfairness.cpp.
    class FairRound;
    // Places all placeable jobs while open jobs belong to at least two accounts.
    void placeByAccount(const PlacementRound &round);
    void updateWeights(const FleetConfig &config);
    // Determines which of the jobs added since the last call are beyond the rates of their accounts, in the order of their acceptance.
    void markJobsBeyondRate();
    // Capacity of the executors that can be counted on.
    Resources usableCapacity() const;
    // Returns true if a ready step of an open occurrence has an item without a run.
    bool hasWaitingItem(const JobEntry &entry) const;
    // Notes which accounts want more than their shares of the capacity allow.
    void noteOverloadedAccounts(const Resources &capacity);
    // Counts the waiting jobs by account, and returns the lines that are due.
    std::vector<WaitingAccount> reviewAccounts(TimePoint now);
    std::vector<AccountLoad> accountLoads() const;

    // Placement policy; see poolpolicy.cpp.
    class PolicyRound;
    static void expirePasses(StepState &state, TimePoint now);
    // These two count expired passes until expirePasses() is called.
    static bool hasPass(const StepState &state, const Executor &executor);
    static bool hasAnyPass(const StepState &state);
    // Returns true if an answer of the policy could still give the step a pass.
    static bool isPolicyUnanswered(const StepState &state);
    const PlacementPolicy &policyOf(const QueueId &queue) const;
    // Returns the most executors that a request for a step of the queue names, unless the step is a gang.
    std::size_t longestRequest(const QueueId &queue) const;
    // Returns the probability that the policy allows the step an executor that it has not been asked about.
    double allowedShare(const QueueId &queue, const StepState &state) const;
    // Ranks the steps of a queue anew if the policy can't answer for all of them in time.
    void deferIfOverloaded(const QueueId &queue, std::vector<std::pair<PolicyNeed, const JobEntry *>> &steps, TimePoint now) const;
    void updatePolicies();
    // Makes the policy be asked about the executor again.
    void dropPass(const ItemId &id, const ExecutorId &executor);
    // Returns the state of an open occurrence's step, or nullptr.
    StepState *findStep(const ItemId &step);
    // Returns the executor with the id that is in the index, or nullptr.
    const Executor *findIndexed(const ExecutorId &id) const;
};

// Soft limit of long-running items of one step on one executor.
inline constexpr std::int32_t maxItemsOfStepPerExecutor = 2;

// Returns the resources that an item of the step reserves.
Resources demandOf(const StepSpec &spec);

// Returns the number of runs on the executor that belong to the item's step.
std::int32_t countRunsOfStep(const Executor &executor, const ItemId &item);

template<typename Rep, typename Period>
TimePoint after(TimePoint start, std::chrono::duration<Rep, Period> span)
{
    return start + std::chrono::duration_cast<Duration>(span);
}

inline std::chrono::milliseconds millisecondsBetween(TimePoint from, TimePoint to)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(to - from);
}

// Returns the due time of the occurrence, or the epoch for a job without a schedule.
WallTime dueTime(const JobSpec &spec, std::size_t occurrence);

}
