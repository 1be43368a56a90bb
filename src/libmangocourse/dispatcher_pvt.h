// Implementation of Dispatcher: executors, queues, estimated run times.
#pragma once

#include <array>
#include <deque>
#include <random>
#include <unordered_map>

#include <mangocourse/dispatcher.h>
#include <mangocourse/retrybudget.h>

namespace MangoCourse {

// The state of one executor at this gate; `limit` is the concurrency limit.
struct ExecutorEntry {
    DispatchExecutor view;
    int running = 0;
    double limit = 1;
    int consecutiveFailures = 0;
    int ejections = 0;
    TimePoint ejectedUntil{};
    TimePoint leavingUntil{};
    TimePoint busyUntil{};

    bool canStart(TimePoint now) const
    {
        return this->view.takesNewWork && now >= this->ejectedUntil && now >= this->leavingUntil && now >= this->busyUntil
            && this->running < static_cast<int>(this->limit);
    }
};

// The waiting requests of one work class, in one queue per team. The team with the fewest running requests is served first.
// `waiting` excludes cancelled requests, whose tickets stay in the queues until they reach the front.
class ClassQueue
{
public:
    void push(const TeamId &team, Ticket ticket)
    {
        this->byTeam[team].push_back(ticket);
    }
    std::map<TeamId, std::deque<Ticket>> byTeam;
    std::size_t waiting = 0;
};

// One pool; `local` and `remote` hold indices of executors in and outside the gate's data centre.
struct PoolEntry {
    DispatchPool view;
    std::vector<std::size_t> local;
    std::vector<std::size_t> remote;
    // Pools that have this pool among their lenders.
    std::vector<PoolId> borrowers;
    std::array<ClassQueue, workClassCount> queues;
    std::uint64_t starts = 0;
};

struct RequestEntry {
    WorkRequest request;
    PoolId pool;
    bool isStarted = false;
    std::size_t executor = 0;
    TimePoint startedAt{};
};

class Dispatcher::Private
{
public:
    explicit Private(std::uint64_t seed)
        : random(seed)
    {
    }

    std::mt19937_64 random;
    std::vector<ExecutorEntry> executors;
    std::map<PoolId, PoolEntry> pools;
    std::map<ServiceId, PoolId> poolOfService;
    std::unordered_map<Ticket, RequestEntry> requests;
    std::unordered_map<TeamId, int> runningOfTeam;
    // Exponentially weighted moving average of each service's run time, in microseconds.
    std::map<ServiceId, double> averageRunTime;
    RetryBudget retryBudget;
    DispatchStats stats;
    Ticket lastTicket = 0;

    std::optional<std::size_t> selectExecutor(const PoolEntry &pool, const std::vector<InstanceId> &tried, TimePoint now);
    std::optional<std::size_t> pickLeastLoaded(const std::vector<std::size_t> &candidates, const std::vector<InstanceId> &tried, TimePoint now);
    void start(RequestEntry &entry, std::size_t executor, TimePoint now);
    void startWaiting(const PoolId &id, TimePoint now, std::vector<Started> &started);
    std::optional<Ticket> popWaiting(PoolEntry &pool);
    std::optional<Ticket> popFairest(ClassQueue &queue);
    std::vector<Started> assignFreedSlot(const PoolId &freed, TimePoint now);
    Duration expectedWait(const PoolEntry &pool, const WorkRequest &request) const;
    double totalLimit(const PoolEntry &pool) const;
    void recordResult(ExecutorEntry &executor, AttemptResult result, TimePoint now);
    bool canEject(const PoolEntry &pool, TimePoint now) const;
    bool hasWaiting(const PoolEntry &pool) const;
};

}
