// The state behind ShardOwner and the coroutines that work on it.
#pragma once

#include <deque>
#include <map>

#include "clocks.h"
#include "event.h"
#include "recordcodec.h"
#include "shardowner.h"
#include "streamreader.h"

namespace MangoCourse {

class ShardOwner::Private
{
public:
    explicit Private(const OwnerContext &owner, std::int32_t partition, std::int64_t token)
        : owner(owner)
        , partition(partition)
        , token(token)
        , planWanted(owner.context)
        , persistWanted(owner.context)
    {
    }

    OwnerContext owner;
    std::int32_t partition;
    std::int64_t token;
    std::int64_t sequence = 0;
    std::int64_t runNumberBase = 0;
    bool isStopped = false;
    bool isFenced = false;
    bool isLoaded = false;
    OwnershipTerm term;
    TimePoint previousLeasesExpireAt{};
    std::shared_ptr<const FleetConfig> config;
    std::vector<ExecutorInfo> executors;
    TimePoint executorWatermark{};
    EvacuationList evacuations;
    std::map<MachineId, WallTime> due;
    // Executor lives whose use is durable.
    std::map<ExecutorKey, ExecutorLocation> recorded;
    std::map<ServiceId, std::unique_ptr<PoolScheduler>> pools;
    std::map<JobId, AcceptedJob> unplaced;
    std::map<JobId, JobProgress> progress;
    std::set<JobId> cancelled;
    // Jobs whose final state is durable and whose submissions are still stored, with when that became known.
    std::deque<std::pair<TimePoint, JobId>> finished;
    std::map<ExecutorKey, std::shared_ptr<Event>> renewing;
    std::vector<StoredRecord> extraRecords;
    // The callers' submissions and cancellations.
    std::unique_ptr<StreamReader> callers;
    bool isPersisting = false;
    Event planWanted;
    Event persistWanted;

    PoolWatermarks view() const;
    PoolScheduler *poolOf(const ServiceId &service);
    void addJob(const AcceptedJob &job);
    void applyJobRecord(const StoredRecord &record);
    void cancelKnown(const JobId &job);
    void fence(const char *by);
    void observe(const SchedulerEvent &event);
    bool hasChanges() const;
};

// The coroutines of one owner. Each holds the owner alive and ends soon after it was stopped.
struct ShardOwner::Loops {
    std::shared_ptr<ShardOwner> self;
    Private &state;

    bool isOver() const
    {
        return this->state.isStopped || this->state.isFenced;
    }

    // Repeats the call until the store answers; false where the ownership ended meanwhile.
    net::awaitable<bool> appendUntilDurable(std::vector<StoredRecord> records);

    // The machine is empty where discovery does not name it.
    ExecutorLocation placeOf(const ExecutorKey &key, const ServiceId &service) const;

    net::awaitable<bool> load();
    net::awaitable<void> run();
    net::awaitable<void> tail();
    net::awaitable<void> plan();
    net::awaitable<void> persist();
    // Deletes the submissions of jobs that are final, and later their states, when nobody can ask for them any more.
    net::awaitable<void> expireJobs();
    net::awaitable<void> deleteSubmissions(std::vector<JobId> ids);
    net::awaitable<bool> persistOnce();
    net::awaitable<void> renew(PoolScheduler *pool, ExecutorKey key, std::shared_ptr<Event> wanted);
    net::awaitable<void> send(PoolScheduler *pool, StartOrder order);
    net::awaitable<void> send(PoolScheduler *pool, StopOrder order);
    net::awaitable<void> send(PoolScheduler *pool, PaceOrder order);
    net::awaitable<void> ask(PoolScheduler *pool, PolicyRequest question);
    void dispatch(PoolScheduler *pool, SchedulerOrders orders);
    // Renews the leases of executors that came.
    void watchExecutors(PoolScheduler *pool);
    // Wakes the renewals that have something to send.
    void wakeRenewals();
    // Records the executors that come into use, and drops the records of those that are over.
    void noteUse(const ServiceId &service, PoolScheduler &pool);
    void askPolicies(PoolScheduler *pool, TimePoint now);
    template<typename Coroutine>
    void spawn(Coroutine coroutine)
    {
        net::co_spawn(this->state.owner.context, std::move(coroutine), net::detached);
    }
};

}
