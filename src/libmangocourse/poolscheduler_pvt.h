// The state behind PoolScheduler, shared by its event handling and its planning.
#pragma once

#include <deque>
#include <map>
#include <unordered_map>
#include <unordered_set>

#include <mangocourse/poolscheduler.h>

#include "capacityindex_pvt.h"

namespace MangoCourse {

enum class RunPhase {
    // The start order is on its way.
    Starting,
    // A start order got no answer.
    Unsure,
    Running,
    // A stop order is to be sent or confirmed.
    Stopping,
};

struct Run {
    ItemId item;
    std::int64_t number = 0;
    RunPhase phase = RunPhase::Starting;
    TimePoint startedAt{};
    // When it was found on its executor, if another owner started it.
    TimePoint adoptedAt{};
    // The last order for this run that got an answer or gave up; reports sent earlier say nothing about it.
    TimePoint settledAt{};
    TimePoint stopSentAt{};
    bool isStopConfirmed = false;
    // The last report listed it as running.
    bool isListed = false;
    std::int32_t percent = 0;
    std::int32_t pacedTo = 100;
    TimePoint pacedAt{};
    std::int64_t load = 0;
    Resources resources;
    bool isBestEffort = false;
    bool isLongRunning = false;
    std::chrono::milliseconds tailLatencyTarget{};
    std::chrono::milliseconds expected{};
};

struct Executor {
    ExecutorInfo info;
    bool isListed = true;
    // The life has ended for certain; at its address another one may answer.
    bool isOver = false;
    // This owner's token has been accepted there.
    bool isContacted = false;
    std::optional<std::chrono::milliseconds> clock;
    TimePoint clockAt{};
    TimePoint leaseEnd{};
    TimePoint avoidedUntil{};
    TimePoint failingSince{};
    std::map<ItemId, Run> runs;
    // Runs that belong to no open job, and when they were last told to stop.
    std::map<ItemId, std::pair<std::int64_t, TimePoint>> orphans;
    Resources used;
    // Runs that are being stopped, and runs that live on spare processor time.
    std::int32_t stops = 0;
    std::int32_t fillers = 0;
    std::int64_t processedEnd = 0;
    std::int64_t collectedEnd = 0;
    std::int64_t persistedEnd = 0;
    // Ends that the renewal under way and the last answered one acknowledged.
    std::int64_t sentEnd = 0;
    std::int64_t acknowledgedEnd = 0;
    // Distinct jobs that failed here since the last success.
    std::set<JobId> failedJobs;
    // Actual run time against the expected one, smoothed.
    double slowness = 1.0;
    bool isAnnounced = false;
    bool isRecorded = false;
    // The place in the index of usable executors.
    std::uint64_t ordinal = 0;
    bool isIndexed = false;
    std::int64_t indexedCpu = 0;
    std::vector<std::string> indexedLabels;

    ExecutorKey key() const
    {
        return ExecutorKey{this->info.id, this->info.incarnation};
    }
    Resources free() const
    {
        Resources resources = this->info.capacity;
        resources -= this->used;
        return resources;
    }
};

enum class ItemPhase {
    Waiting,
    Active,
    Done,
    Failed,
};

struct Item {
    ItemPhase phase = ItemPhase::Waiting;
    std::int32_t failures = 0;
    // The runs whose failures were counted.
    std::vector<std::int64_t> failedRuns;
    std::int64_t lastRun = 0;
    std::string checkpoint;
    std::vector<ExecutorKey> where;
    ExecutorId failedOn;
    // How often a run was stopped because it stood still.
    std::int32_t stalls = 0;
    // When the life that held the last run was over at the latest; unset where the run's end is known.
    TimePoint lostAt{};
};

struct StepState {
    std::vector<Item> items;
    std::int32_t done = 0;
    std::int32_t gangFailures = 0;
    // Passes of the placement policy and when they expire.
    std::map<ExecutorId, std::string> passes;
    TimePoint passesUntil{};
    bool isPolicyAsked = false;
};

struct OccurrenceState {
    std::vector<StepState> steps;
    bool isOpen = false;
};

struct JobEntry {
    AcceptedJob job;
    JobState state = JobState::Queued;
    WallTime endedAt{};
    TimePoint addedAt{};
    TimePoint begunAt{};
    // An earlier owner may have started some of it.
    bool isInherited = false;
    // That the job may have begun is about to be durable, or is.
    bool isAnnounced = false;
    bool isAnnouncementCollected = false;
    bool mayStart = false;
    // When the objective of a job without a schedule runs out.
    TimePoint objective{};
    std::int32_t priority = 0;
    std::int32_t attempts = 1;
    bool hasPolicy = false;
    bool hasRun = false;
    std::vector<OccurrenceState> occurrences;
    // The longest chain of steps that is not done yet, by their estimates.
    std::chrono::milliseconds chainLeft{};
    // Actual run time against the estimate of the job's queue; owned by the scheduler.
    const double *timeRatio = nullptr;

    bool isOpen() const
    {
        return !isFinal(this->state);
    }
};

// What holds for all placements of one plan.
struct PlacementRound {
    TimePoint now{};
    WallTime wallNow{};
    TimePoint expiresAt{};
    // The latest time at which the owner is known to have been the only one.
    TimePoint confirmedAt{};
    PoolWatermarks view;
    // Nothing of an earlier owner can run unseen.
    bool isClear = true;
    bool isOverloaded = false;
};

// When a job's turn comes among those that wait for room; the lowest first.
struct PlacementRank {
    // Serving long-running work first.
    int group = 0;
    bool isLate = false;
    std::int32_t priority = 0;
    bool isPutOff = false;
    // Milliseconds of slack; negated where the newest comes first.
    std::int64_t slack = 0;

    auto operator<=>(const PlacementRank &) const = default; // NOLINT(modernize-use-nullptr)
};

class PoolScheduler::Private
{
public:
    // How well an executor suits an item; the lowest is taken.
    struct CandidateRank {
        bool hasFailedHere = false;
        bool isOffRack = false;
        bool isSlow = false;
        bool isSuspect = false;
        // Its machine's maintenance is to come.
        bool isDue = false;
        std::int32_t spread = 0;
        std::int64_t left = 0;

        auto operator<=>(const CandidateRank &) const = default; // NOLINT(modernize-use-nullptr)
        bool isIdeal() const
        {
            return !this->hasFailedHere && !this->isOffRack && !this->isSlow && !this->isSuspect && !this->isDue && this->spread == 0;
        }
    };

    struct Candidate {
        Executor *executor = nullptr;
        CandidateRank rank;
    };

    ServiceId service;
    SchedulerSettings settings;
    std::int64_t token = 0;
    std::int64_t runNumberBase = 0;
    // Something could start, but the view is too old.
    bool isHeld = false;
    TimePoint previousLeasesExpireAt{};
    std::function<void(const SchedulerEvent &)> observer;
    std::map<QueueId, QueueConfig> queues;
    std::map<ExecutorKey, Executor> executors;
    std::map<ExecutorKey, MachineId> earlier;
    EvacuationList evacuations;
    std::map<MachineId, WallTime> due;
    std::unordered_map<JobId, JobEntry> jobs;
    std::set<JobId> open;
    // Open jobs that may have something to place: a waiting item, a second run, an occurrence to come.
    std::unordered_set<JobEntry *> placeable;
    CapacityIndex index;
    std::uint64_t lastOrdinal = 0;
    // Executors whose renewal may be wanted now, since the last call of takePendingRenewals().
    std::set<ExecutorKey> renewalsWanted;
    bool isExecutorSetChanged = false;
    TimePoint overloadCheckedAt{};
    bool wasOverloaded = false;
    TimePoint stallsCheckedAt{};
    std::set<JobId> changed;
    // Announced jobs that wait for the announcement to be durable.
    std::set<JobId> announced;
    bool isUrgent = false;
    // Actual run time against the estimate by queue, smoothed.
    std::map<QueueId, double> timeRatio;
    std::vector<ExecutorKey> forgotten;
    // Finite work that came lately, in core-ms.
    std::deque<std::pair<TimePoint, std::int64_t>> arrivals;
    SchedulerOrders orders;

    // Events
    Executor *find(const ExecutorKey &key);
    // Notes the clock of an answer and returns the run that the order was for, or nullptr where it is no longer known.
    Run *settle(const ExecutorKey &key, const ItemId &item, std::int64_t number, const OrderReply &reply, TimePoint now);
    JobEntry *findJob(const JobId &id);
    Item *findItem(const ItemId &id);
    const StepSpec &stepOf(const ItemId &id);
    void touch(JobEntry &entry);
    void note(const char *event, const ItemId &item, const Executor &executor, std::int64_t run, std::string outcome);
    void openOccurrence(JobEntry &entry, std::size_t number);
    void readQueue(JobEntry &entry);
    void noteArrival(const JobEntry &entry, TimePoint now);
    void noteClock(Executor &executor, const std::optional<std::chrono::milliseconds> &clock, TimePoint now);
    Run &adopt(Executor &executor, const ItemId &id, std::int64_t number, TimePoint now);
    void release(Executor &executor, std::map<ItemId, Run>::iterator run);
    void endRun(Executor &executor, const ReportedEnd &end, TimePoint now, WallTime wallNow);
    void finishItem(Executor &executor, const ReportedEnd &end, TimePoint now, WallTime wallNow);
    void failItem(Executor &executor, const ReportedEnd &end, TimePoint now, WallTime wallNow);
    void finishJob(JobEntry &entry, JobState state, TimePoint now, WallTime wallNow);
    // Stops what runs of the step that `id` names.
    void stopStep(ItemId id, const StepState &step, const char *reason);
    void noteDecided(const JobEntry &entry, TimePoint now) const;
    void noteBegun(JobEntry &entry, TimePoint now);
    void checkCompleted(JobEntry &entry, TimePoint now, WallTime wallNow);
    // Notes that the life has ended for certain, at `overAt` at the latest.
    void endLife(Executor &executor, TimePoint overAt, const char *reason);
    // Gives up the runs of a life that was over at `overAt` at the latest.
    void dropExecutor(Executor &executor, TimePoint overAt, const char *reason);
    void stopOthers(const ItemId &id, const Executor &except, const char *reason);
    void requestStop(Executor &executor, Run &run, const char *reason);
    void learnTime(Executor &executor, const Run &run, TimePoint now);

    // Planning
    void expireLeases(TimePoint now, TimePoint confirmedAt);
    void stopStalled(Executor &executor, TimePoint now);
    void stopOrphans(Executor &executor, TimePoint now);
    void paceFillers(Executor &executor, TimePoint now);
    void resendStops(Executor &executor, TimePoint now);
    void evacuate(TimePoint now);
    bool isSurelyAtWork(const Run &run, TimePoint now) const;
    bool mayInterrupt(const ItemId &id, TimePoint now);
    bool isEvacuated(const Executor &executor) const;
    bool isDue(const Executor &executor) const;
    bool isUsable(const Executor &executor, TimePoint now) const;
    // Returns true where what others have stored is known late enough for a start now.
    bool isCurrent(const PoolWatermarks &view, TimePoint now) const;
    // The same, and tells the observer when starts are held up and when they go on.
    bool checkView(const PoolWatermarks &view, TimePoint now);
    bool isStepReady(const JobEntry &entry, const OccurrenceState &occurrence, std::size_t step) const;
    std::chrono::milliseconds remainingChain(const JobEntry &entry) const;
    // Brings the index of usable executors up to date.
    void refreshIndex(TimePoint now);
    void reindex(Executor &executor);
    PlacementRank rankOf(const JobEntry &entry, const PlacementRound &round) const;
    // Notes that the job may have something to place.
    void wantPlacement(JobEntry &entry);
    bool checkOverload(TimePoint now);
    std::string rackOfSiblings(const JobEntry &entry, const ItemId &id);
    Candidate bestOf(const CapacityIndex::Slots &slots, const JobEntry &entry, const ItemId &id, const Item &item, const std::string &siblingRack) const;
    Executor *choose(const JobEntry &entry, const ItemId &id, const Item &item);
    bool admits(const Executor &executor, const JobEntry &entry, const ItemId &id, const StepSpec &spec) const;
    // How many times as long as estimated the queue's items take, 1 at least.
    static double learnedFactor(const JobEntry &entry);
    // Returns true where a second run may end sooner than the only one of the item that is under way.
    bool wantsCopy(const JobEntry &entry, const ItemId &id, const Item &item, TimePoint now);
    // Returns true where the job may have something to place later.
    bool place(JobEntry &entry, const PlacementRound &round);
    bool placeStep(JobEntry &entry, std::int32_t occurrence, std::int32_t step, const PlacementRound &round);
    bool placeGang(JobEntry &entry, std::int32_t occurrence, std::int32_t step, const PlacementRound &round);
    void startOn(Executor &executor, JobEntry &entry, const ItemId &id, Item &item, std::int64_t number, const PlacementRound &round);
    std::chrono::milliseconds leaseUntil(const Executor &executor, TimePoint now, TimePoint expiresAt) const;
    void extendLease(Executor &executor, std::chrono::milliseconds until, TimePoint now) const;
    // Returns true where nothing of an earlier owner can run unseen.
    bool isClear(TimePoint now) const;
    void announce(JobEntry &entry);
    bool isOverloaded() const;
};

template<typename Rep, typename Period>
TimePoint after(TimePoint start, std::chrono::duration<Rep, Period> span)
{
    return start + std::chrono::duration_cast<Duration>(span);
}

inline std::chrono::milliseconds span(TimePoint from, TimePoint to)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(to - from);
}

// Returns the occurrence's due time, or the epoch for a job without a schedule.
WallTime dueTime(const JobSpec &spec, std::size_t occurrence);

}
