// State of ShardOwner and the coroutines that operate on it.
#pragma once

#include <deque>
#include <map>

#include "clocks.h"
#include "event.h"
#include "progressrecords.h"
#include "shardowner.h"
#include "streamreader.h"

namespace MangoCourse {

inline constexpr std::chrono::milliseconds appendTimeout{1200};
inline constexpr std::chrono::milliseconds retryDelay{80};
// Final states are kept for this long after the status retention, because submissions may be repeated, or stored late, during this time.
inline constexpr std::chrono::milliseconds statusExpiryMargin{60'000};

class ShardOwner::Private
{
public:
    explicit Private(const OwnerContext &owner, std::int32_t partition, std::int64_t token)
        : owner(owner)
        , partition(partition)
        , token(token)
        , fencingTokens(std::make_shared<FencingTokens>(token))
        , progressRecords(owner.store)
        , planRequested(owner.context)
        , persistRequested(owner.context)
    {
    }

    OwnerContext owner;
    std::int32_t partition;
    std::int64_t token;
    std::shared_ptr<FencingTokens> fencingTokens;
    std::int64_t sequence = 0;
    std::int64_t runNumberBase = 0;
    bool isStopped = false;
    bool isFenced = false;
    bool isLoaded = false;
    OwnershipTerm term;
    TimePoint previousLeasesExpireAt{};
    // Number of this takeover of the partition, from 1 on.
    std::int64_t takeover = 0;
    std::shared_ptr<const FleetConfig> config;
    std::vector<ExecutorInfo> executors;
    TimePoint executorWatermark{};
    EvacuationList evacuations;
    // End of the plan stream when this owner had set its fence. Everything that an earlier owner has confirmed is before it.
    std::optional<std::int64_t> planEndAtTakeover;
    std::shared_ptr<const QuotaDivisions> divisions;
    std::map<MachineId, WallTime> dueMachines;
    // Executor incarnations whose use is durably recorded.
    std::map<ExecutorKey, ExecutorLocation> recordedExecutors;
    // Those that were recorded when this owner took over.
    std::map<ExecutorKey, ExecutorLocation> previousExecutors;
    std::map<ServiceId, std::unique_ptr<PoolScheduler>> pools;
    std::map<JobId, AcceptedJob> unassignedJobs;
    // Jobs that another gateway may have stored in a later partition of their queue at the same time, and when that will be known.
    std::map<JobId, std::pair<TimePoint, AcceptedJob>> heldJobs;
    // Submissions that were stored after their placement had been sealed, and that are to be moved to the current placement.
    std::map<JobId, AcceptedJob> voidJobs;
    // Where submissions have been moved to, for cancellations that follow.
    std::map<JobId, std::int32_t> movedJobs;
    PlacementSeals seals;
    std::map<JobId, JobProgress> progress;
    std::set<JobId> cancelled;
    // Since when cancellations have been known of which the partition has no job; another partition may have it.
    std::map<JobId, TimePoint> strayCancellations;
    // Queues of all jobs of the partition, also of those that have ended and are kept for their callers.
    std::map<JobId, QueueId> queueOfJob;
    // Since when this owner has known that the partition holds no jobs of the queue of a placement, by the placement's key.
    std::map<std::string, TimePoint> unusedSince;
    // Jobs whose final state is durable but whose submissions are still stored, with the time at which the state became durable.
    std::deque<std::pair<TimePoint, JobId>> finalJobs;
    // One renewal loop for each executor, also while it is listed by another pool than the one that it still renews for: the other pool would
    // acknowledge ends of items that it doesn't know.
    std::map<ExecutorKey, std::shared_ptr<Event>> renewalEvents;
    ProgressRecords progressRecords;
    std::vector<StoredRecord> pendingRecords;
    // Reads the callers' submissions and cancellations.
    std::unique_ptr<StreamReader> jobsReader;
    bool isPersisting = false;
    // What the takeover waits for.
    const char *awaited = "the fence is not set";
    Event planRequested;
    Event persistRequested;

    PoolWatermarks watermarks() const;
    PoolScheduler *findOrCreatePool(const ServiceId &service);
    // Returns the executors on which previous owners may have started jobs of the pool, as executors of its service.
    std::map<ExecutorKey, ExecutorLocation> previousExecutorsOf(const ServiceId &service) const;
    // Returns the pool that has the job, or nullptr.
    PoolScheduler *findPoolOf(const JobId &job);
    // `offset`: of the submission in the partition's stream; -1 if it has been decided that the job lives here.
    void addJob(const AcceptedJob &job, std::int64_t offset);
    // Adds the job to the pool of its service, unless it is in a pool already.
    void assignJob(const AcceptedJob &job);
    // Returns true if the job's queue has moved to another partition and the job is so new that a gateway which has read the move may store it there
    // in ignorance of this record.
    bool mayBeStoredElsewhere(const AcceptedJob &job) const;
    void applyJobRecord(const StoredRecord &record);
    void applyCancellation(const JobId &job);
    void markFenced(const char *source);
    void logSchedulerEvent(const SchedulerEvent &event);
    bool hasChanges() const;
    // Returns true if the job has no service and may have to run.
    bool isUnassigned(const JobId &job) const;
};

// When the next line about a job without a service is due, and the number of lines so far.
using UnassignedWatch = std::map<JobId, std::pair<TimePoint, int>>;

// Coroutines of one owner. Each keeps the owner alive and ends soon after the owner is stopped or fenced off.
struct ShardOwner::Tasks {
    std::shared_ptr<ShardOwner> self;
    Private &state;

    bool isEnded() const
    {
        return this->state.isStopped || this->state.isFenced;
    }

    // Retries the append until the store confirms it, without the records that the store never takes. Returns false if the ownership ends first.
    net::awaitable<bool> appendUntilDurable(std::vector<StoredRecord> records);
    // Removes the records that are larger than the store takes.
    void dropUnstorable(std::vector<StoredRecord> &records);
    void logUnstorable(const StoredRecord &record, const std::string &reason);

    // Returns the location of an executor. The machine is empty if discovery does not list the executor.
    ExecutorLocation findExecutorLocation(const ExecutorKey &key, const ServiceId &service) const;

    net::awaitable<bool> load();
    void logUnreadable(const StoredRecord &record, const std::string &reason);
    net::awaitable<void> run();
    // Stores the address at which this process takes records for the partition, if it has an admin server.
    net::awaitable<void> recordAppender();
    net::awaitable<void> followJobs();
    // Finds the end of the plan stream after the fence has been set.
    net::awaitable<void> findPlanEnd();
    net::awaitable<void> plan();
    // Logs what waits, until the owner ends. It is independent of plan(), so that it tells when that is late.
    net::awaitable<void> reviewWaiting();
    void reviewUnassignedJobs(UnassignedWatch &watch);
    net::awaitable<void> persist();
    // Deletes the submissions of final jobs and later, once callers can no longer ask for them, their states.
    net::awaitable<void> expireJobs();
    net::awaitable<void> deleteSubmissions(std::vector<JobId> ids);
    // Makes the placements durable of the queues whose jobs the partition holds, as earlier versions store jobs without doing so, and deletes
    // those that are no longer of use.
    // Looks for held jobs in the other partitions of their queues. Those that are found there are deleted here, the others are scheduled.
    net::awaitable<void> settleHeldJobs();
    net::awaitable<void> settle(AcceptedJob job);
    // Moves a void submission to the current placement of its queue, unless another partition has the job.
    net::awaitable<void> moveOn(AcceptedJob job);
    // Returns true if an earlier placement has the job. Seals the placement first if it is not; the answer is nothing then.
    net::awaitable<Result<std::optional<bool>>> isInEarlierPlacement(JobId job, QueuePlacement placement);
    // Returns true if the partition has a record of the job or of its state.
    net::awaitable<Result<bool>> isStoredIn(JobId job, std::int32_t partition);
    // Passes on the cancellations of jobs that have been moved to another partition.
    net::awaitable<void> forwardCancellations();
    void logMoved(const AcceptedJob &job, std::int32_t partition, const char *reason);
    // Returns the cancellations that no job has followed for so long that none will.
    std::vector<JobId> takeStrayCancellations();
    // Logs why a held job cannot be settled yet; it is tried again.
    void logHeld(const AcceptedJob &job, const std::string &reason);
    // Returns the first other partition of the job's queue that holds the job, or nothing.
    net::awaitable<Result<std::optional<std::int32_t>>> findElsewhere(AcceptedJob job);
    net::awaitable<void> maintainPlacements();
    net::awaitable<void> reviewPlacements();
    // Deletes the seals of placements that are no longer recorded.
    net::awaitable<void> removeSeals(std::vector<QueuePlacement> removed);
    net::awaitable<bool> persistOnce();
    net::awaitable<void> renewLeases(PoolScheduler *pool, ExecutorKey key, std::shared_ptr<Event> renewalRequested);
    net::awaitable<void> send(PoolScheduler *pool, StartOrder order);
    net::awaitable<void> send(PoolScheduler *pool, StopOrder order);
    net::awaitable<void> send(PoolScheduler *pool, PaceOrder order);
    void dispatch(PoolScheduler *pool, SchedulerOrders orders);
    // Gives the place of an order back, and plans the orders that waited for one.
    void endOrder(const PoolScheduler &pool, OrderBudget::Place &place);
    // Ends the ownership if the executor refused the call because of another owner.
    void checkFence(const PoolScheduler &pool, const ExecutorId &executor, std::int64_t fencingToken, OrderOutcome outcome);
    // Starts lease renewals for executors that have none yet.
    void startRenewals(PoolScheduler *pool);
    // Wakes the renewals that have something to send.
    void wakeRenewals();
    // Longest time after a takeover for which a run of an earlier owner can be active.
    std::chrono::milliseconds longestPreviousLease() const;
    // Records every half second which executors are silent and since when their leases are not extended, so that the next owner need not wait for
    // them as long as if it knew nothing.
    net::awaitable<void> recordSilence();
    void queueSilence();
    // Queues records for executors that come into use and deletions for those that are no longer used.
    void recordExecutorUse(const ServiceId &service, PoolScheduler &pool);
    template<typename Coroutine>
    void spawn(Coroutine coroutine)
    {
        net::co_spawn(this->state.owner.context, std::move(coroutine), net::detached);
    }
};

}
