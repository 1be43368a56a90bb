// State of the dispatcher: executors, queues, learned run times.
#pragma once

#include <array>
#include <deque>
#include <random>
#include <unordered_map>

#include <mangocourse/dispatcher.h>
#include <mangocourse/retrybudget.h>

namespace MangoCourse {

// One executor's record at this gate.
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

// Waiting tickets of one class, a queue per team; teams with the fewest running requests come first.
class ClassQueue
{
public:
    void push(const TeamId &team, Ticket ticket)
    {
        this->byTeam[team].push_back(ticket);
    }
    std::map<TeamId, std::deque<Ticket>> byTeam;
    std::size_t alive = 0;
};

struct PoolEntry {
    DispatchPool view;
    std::vector<std::size_t> local;
    std::vector<std::size_t> remote;
    // Pools whose work may run here.
    std::vector<PoolId> borrowers;
    std::array<ClassQueue, workClassCount> queues;
    std::uint64_t starts = 0;
};

struct RequestEntry {
    WorkRequest request;
    PoolId pool;
    bool started = false;
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
    // Smoothed run time of each service in microseconds.
    std::map<ServiceId, double> runTime;
    RetryBudget retryBudget;
    DispatchStats stats;
    Ticket lastTicket = 0;

    std::optional<std::size_t> place(const PoolEntry &pool, const std::vector<InstanceId> &tried, TimePoint now);
    std::optional<std::size_t> pick(const std::vector<std::size_t> &candidates, const std::vector<InstanceId> &tried, TimePoint now);
    void start(RequestEntry &entry, std::size_t executor, TimePoint now);
    void startWaiting(const PoolId &id, TimePoint now, std::vector<Started> &started);
    std::optional<Ticket> popWaiting(PoolEntry &pool);
    std::optional<Ticket> popFair(ClassQueue &queue);
    std::vector<Started> fill(const PoolId &freed, TimePoint now);
    Duration expectedWait(const PoolEntry &pool, const WorkRequest &request) const;
    double capacity(const PoolEntry &pool) const;
    void judge(ExecutorEntry &executor, AttemptResult result, TimePoint now);
    bool mayEject(const PoolEntry &pool, TimePoint now) const;
    bool hasWaiting(const PoolEntry &pool) const;
};

}
