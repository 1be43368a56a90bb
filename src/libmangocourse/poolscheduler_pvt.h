// The state behind PoolScheduler, shared by its event handling and its planning.
#pragma once

#include <deque>
#include <map>
#include <unordered_map>

#include <mangocourse/poolscheduler.h>

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
    Room room;
    bool isFiller = false;
    bool isLongRunning = false;
    std::chrono::milliseconds tailTarget{};
    std::chrono::milliseconds expected{};
};

struct Executor {
    ExecutorInfo info;
    bool isListed = true;
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
    Room used;
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

    ExecutorKey key() const
    {
        return ExecutorKey{this->info.id, this->info.born};
    }
    Room free() const
    {
        Room room = this->info.capacity;
        room -= this->used;
        return room;
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

    bool isOpen() const
    {
        return !isFinal(this->state);
    }
};

// What holds for all placements of one plan.
struct PlacementRound {
    TimePoint now{};
    WallTime wallNow{};
    TimePoint horizon{};
    // The latest time at which the owner is known to have been the only one.
    TimePoint confirmedAt{};
    // Nothing of an earlier owner can run unseen.
    bool isClear = true;
    bool isOverloaded = false;
};

class PoolScheduler::Private
{
public:
    ServiceId service;
    SchedulerSettings settings;
    std::int64_t token = 0;
    std::int64_t runBase = 0;
    TimePoint clearAt{};
    std::function<void(const SchedulerEvent &)> observer;
    std::map<QueueId, QueueConfig> queues;
    std::map<ExecutorKey, Executor> executors;
    std::map<ExecutorKey, MachineId> earlier;
    EvacuationList evacuations;
    std::unordered_map<JobId, JobEntry> jobs;
    std::set<JobId> open;
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
    void noteDecided(const JobEntry &entry, TimePoint now) const;
    void noteBegun(JobEntry &entry, TimePoint now);
    void checkCompleted(JobEntry &entry, TimePoint now, WallTime wallNow);
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
    bool isUsable(const Executor &executor, TimePoint now) const;
    bool isStepReady(const JobEntry &entry, const OccurrenceState &occurrence, std::size_t step) const;
    std::chrono::milliseconds remainingChain(const JobEntry &entry) const;
    Executor *choose(const JobEntry &entry, const ItemId &id, const Item &item, TimePoint now);
    bool admits(const Executor &executor, const JobEntry &entry, const ItemId &id, const StepSpec &spec) const;
    // How many times as long as estimated the queue's items take, 1 at least.
    double learnedFactor(const QueueId &queue) const;
    // Returns true where a second run may end sooner than the only one of the item that is under way.
    bool wantsCopy(const JobEntry &entry, const ItemId &id, const Item &item, TimePoint now);
    void place(JobEntry &entry, const PlacementRound &round);
    bool placeGang(JobEntry &entry, std::int32_t occurrence, std::int32_t step, const PlacementRound &round);
    void startOn(Executor &executor, JobEntry &entry, const ItemId &id, Item &item, std::int64_t number, TimePoint now, TimePoint horizon);
    std::chrono::milliseconds leaseUntil(const Executor &executor, TimePoint now, TimePoint horizon) const;
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
