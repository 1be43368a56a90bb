// Admission, placement and outlier ejection at one gate.
#include <mangocourse/dispatcher.h>

#include <algorithm>
#include <cmath>

#include "dispatcher_pvt.h"

namespace MangoCourse {

namespace {

using namespace std::chrono_literals;

// Failures in a row after which an executor is ejected.
constexpr int ejectAfterFailures = 5;
// The first ejection's length; it doubles with each one in a row.
constexpr Duration firstEjection = 2s;
constexpr int longestEjectionDoublings = 5;
// A saying "leaving" outlives the lag of the instance list by far, and ends by itself should the drain be handed back.
constexpr Duration leavingHold = 5s;
// Each so many starts of a pool, its lowest waiting class goes first: overnight work can wait, but never forever.
constexpr std::uint64_t starvationInterval = 16;
// Weight of the newest run time.
constexpr double runTimeWeight = 0.05;
// Slots that a gate uses of an executor in another data centre before that executor's refusals teach it better.
constexpr double remoteShare = 1;
// How fast a limit rises per success while work waits, and what a refusal takes off it.
constexpr double limitRise = 0.1;
constexpr double limitDrop = 1.0;
// After a busy refusal the executor gets a pause, so that waiters do not knock at it in a loop.
constexpr Duration busyPause = 20ms;
constexpr Duration shortestRetryAfter = 100ms;

bool wasTried(const std::vector<InstanceId> &tried, const InstanceId &instance)
{
    return std::find(tried.begin(), tried.end(), instance) != tried.end();
}

double initialLimit(const DispatchExecutor &view, int gates)
{
    if (!view.local) {
        return std::min<double>(remoteShare, view.slots);
    }
    return std::max(1.0, std::ceil(static_cast<double>(view.slots) / std::max(1, gates)));
}

}

std::string_view toString(RefuseReason reason)
{
    static constexpr std::array<std::string_view, 5> names = {"none", "unknown-service", "no-executor", "queue-full", "would-miss-deadline"};
    return names.at(static_cast<std::size_t>(reason));
}

std::optional<std::size_t> Dispatcher::Private::pick(const std::vector<std::size_t> &candidates, const std::vector<InstanceId> &tried, TimePoint now)
{
    if (candidates.empty()) {
        return std::nullopt;
    }
    const auto usable = [&](std::size_t index) {
        const ExecutorEntry &executor = this->executors[index];
        return executor.canStart(now) && !wasTried(tried, executor.view.instance);
    };
    const auto load = [this](std::size_t index) {
        const ExecutorEntry &executor = this->executors[index];
        return executor.running / executor.limit;
    };
    const std::size_t first = candidates[this->random() % candidates.size()];
    const std::size_t second = candidates[this->random() % candidates.size()];
    if (usable(first) && usable(second)) {
        return load(first) <= load(second) ? first : second;
    }
    std::optional<std::size_t> best;
    for (const std::size_t index : candidates) {
        if (usable(index) && (!best || load(index) < load(*best))) {
            best = index;
        }
    }
    return best;
}

std::optional<std::size_t> Dispatcher::Private::place(const PoolEntry &pool, const std::vector<InstanceId> &tried, TimePoint now)
{
    if (const auto local = this->pick(pool.local, tried, now)) {
        return local;
    }
    for (const PoolId &lender : pool.view.lenders) {
        const auto found = this->pools.find(lender);
        if (found == this->pools.end()) {
            continue;
        }
        if (const auto lent = this->pick(found->second.local, tried, now)) {
            return lent;
        }
    }
    if (const auto remote = this->pick(pool.remote, tried, now)) {
        return remote;
    }
    return std::nullopt;
}

void Dispatcher::Private::start(RequestEntry &entry, std::size_t executor, TimePoint now)
{
    entry.started = true;
    entry.executor = executor;
    entry.startedAt = now;
    ++this->executors[executor].running;
    ++this->runningOfTeam[entry.request.team];
    ++this->stats.started;
    ++this->stats.running;
}

double Dispatcher::Private::capacity(const PoolEntry &pool) const
{
    double total = 0;
    for (const std::size_t index : pool.local) {
        const ExecutorEntry &executor = this->executors[index];
        if (executor.view.takesNewWork) {
            total += executor.limit;
        }
    }
    return total;
}

Duration Dispatcher::Private::expectedWait(const PoolEntry &pool, const WorkRequest &request) const
{
    const auto learned = this->runTime.find(request.service);
    if (learned == this->runTime.end()) {
        return Duration::zero();
    }
    std::size_t ahead = 0;
    for (std::size_t index = 0; index <= static_cast<std::size_t>(request.workClass); ++index) {
        ahead += pool.queues.at(index).alive;
    }
    const double slots = std::max(1.0, this->capacity(pool));
    const double rounds = static_cast<double>(ahead) / slots + 1.0;
    return Duration(static_cast<Duration::rep>(rounds * learned->second));
}

bool Dispatcher::Private::hasWaiting(const PoolEntry &pool) const
{
    return std::any_of(pool.queues.begin(), pool.queues.end(), [](const ClassQueue &queue) {
        return queue.alive > 0;
    });
}

std::optional<Ticket> Dispatcher::Private::popFair(ClassQueue &queue)
{
    while (queue.alive > 0) {
        auto best = queue.byTeam.end();
        int bestRunning = 0;
        for (auto team = queue.byTeam.begin(); team != queue.byTeam.end();) {
            // Cancelled tickets are dropped here rather than searched for when they are cancelled.
            while (!team->second.empty() && !this->requests.contains(team->second.front())) {
                team->second.pop_front();
            }
            if (team->second.empty()) {
                team = queue.byTeam.erase(team);
                continue;
            }
            const int running = this->runningOfTeam[team->first];
            if (best == queue.byTeam.end() || running < bestRunning) {
                best = team;
                bestRunning = running;
            }
            ++team;
        }
        if (best == queue.byTeam.end()) {
            return std::nullopt;
        }
        const Ticket ticket = best->second.front();
        best->second.pop_front();
        --queue.alive;
        return ticket;
    }
    return std::nullopt;
}

std::optional<Ticket> Dispatcher::Private::popWaiting(PoolEntry &pool)
{
    const bool lowestFirst = ++pool.starts % starvationInterval == 0;
    for (std::size_t step = 0; step < workClassCount; ++step) {
        const std::size_t index = lowestFirst ? workClassCount - 1 - step : step;
        if (const auto ticket = this->popFair(pool.queues.at(index))) {
            return ticket;
        }
    }
    return std::nullopt;
}

void Dispatcher::Private::startWaiting(const PoolId &id, TimePoint now, std::vector<Started> &started)
{
    const auto found = this->pools.find(id);
    if (found == this->pools.end()) {
        return;
    }
    PoolEntry &pool = found->second;
    while (this->hasWaiting(pool)) {
        const auto executor = this->place(pool, {}, now);
        if (!executor) {
            return;
        }
        const auto ticket = this->popWaiting(pool);
        if (!ticket) {
            return;
        }
        this->start(this->requests.at(*ticket), *executor, now);
        --this->stats.waiting;
        started.push_back(Started{*ticket, this->executors[*executor].view.instance});
    }
}

std::vector<Started> Dispatcher::Private::fill(const PoolId &freed, TimePoint now)
{
    std::vector<Started> started;
    const auto found = this->pools.find(freed);
    if (found == this->pools.end()) {
        return started;
    }
    // Borrowers with counter work go before the lender's own queue: its overnight work is the buffer.
    for (const PoolId &borrower : found->second.borrowers) {
        const auto entry = this->pools.find(borrower);
        const bool urgent = entry != this->pools.end() && entry->second.queues.front().alive > 0;
        if (urgent) {
            this->startWaiting(borrower, now, started);
        }
    }
    this->startWaiting(freed, now, started);
    for (const PoolId &borrower : found->second.borrowers) {
        this->startWaiting(borrower, now, started);
    }
    return started;
}

bool Dispatcher::Private::mayEject(const PoolEntry &pool, TimePoint now) const
{
    const auto ejected = std::count_if(pool.local.begin(), pool.local.end(), [this, now](std::size_t index) {
        return this->executors[index].ejectedUntil > now;
    });
    return (ejected + 1) * 100 <= static_cast<std::ptrdiff_t>(pool.local.size()) * pool.view.ejectPercent;
}

void Dispatcher::Private::judge(ExecutorEntry &executor, AttemptResult result, TimePoint now)
{
    const auto found = this->pools.find(executor.view.pool);
    if (result == AttemptResult::Succeeded) {
        executor.consecutiveFailures = 0;
        executor.ejections = 0;
        if (found != this->pools.end() && this->hasWaiting(found->second)) {
            executor.limit = std::min<double>(executor.view.slots, executor.limit + limitRise);
        }
        return;
    }
    if (result == AttemptResult::RefusedBusy) {
        executor.limit = std::max(1.0, executor.limit - limitDrop);
        executor.busyUntil = now + busyPause;
        return;
    }
    if (result == AttemptResult::RefusedLeaving) {
        executor.leavingUntil = now + leavingHold;
        return;
    }
    if (result == AttemptResult::Abandoned) {
        return;
    }
    ++executor.consecutiveFailures;
    const bool unreachable = result == AttemptResult::Unreachable;
    if (executor.consecutiveFailures < ejectAfterFailures && !unreachable) {
        return;
    }
    if (found == this->pools.end() || !this->mayEject(found->second, now)) {
        return;
    }
    executor.ejectedUntil = now + firstEjection * (1 << std::min(executor.ejections, longestEjectionDoublings));
    ++executor.ejections;
    executor.consecutiveFailures = 0;
    ++this->stats.ejections;
}

Dispatcher::Dispatcher(std::unique_ptr<Private> impl)
    : d(std::move(impl))
{
}

Dispatcher::Dispatcher(Dispatcher &&other) noexcept = default;
Dispatcher &Dispatcher::operator=(Dispatcher &&other) noexcept = default;
Dispatcher::~Dispatcher() = default;

Result<Dispatcher> Dispatcher::create(std::uint64_t seed)
{
    return Dispatcher(std::make_unique<Private>(seed));
}

std::vector<Started> Dispatcher::updateView(const DispatchView &view, TimePoint now)
{
    Private &state = *this->d;
    state.retryBudget.setPercent(view.retryPercent);
    std::unordered_map<InstanceId, std::size_t> known;
    for (std::size_t index = 0; index < state.executors.size(); ++index) {
        known.emplace(state.executors[index].view.instance, index);
        state.executors[index].view.takesNewWork = false;
    }
    for (auto &[id, pool] : state.pools) {
        pool.local.clear();
        pool.remote.clear();
        pool.borrowers.clear();
    }
    state.poolOfService.clear();
    for (const DispatchPool &pool : view.pools) {
        state.pools[pool.pool].view = pool;
        for (const ServiceId &service : pool.services) {
            state.poolOfService[service] = pool.pool;
        }
    }
    for (const DispatchPool &pool : view.pools) {
        for (const PoolId &lender : pool.lenders) {
            state.pools[lender].borrowers.push_back(pool.pool);
        }
    }
    for (const DispatchExecutor &executor : view.executors) {
        const auto found = known.find(executor.instance);
        std::size_t index = state.executors.size();
        if (found == known.end()) {
            ExecutorEntry entry;
            entry.limit = initialLimit(executor, view.gates);
            state.executors.push_back(entry);
        } else {
            index = found->second;
        }
        ExecutorEntry &entry = state.executors[index];
        const bool returned = !entry.view.takesNewWork && executor.takesNewWork && found != known.end();
        entry.view = executor;
        entry.limit = returned ? std::min(entry.limit, initialLimit(executor, view.gates)) : entry.limit;
        PoolEntry &pool = state.pools[executor.pool];
        (executor.local ? pool.local : pool.remote).push_back(index);
    }
    return this->poll(now);
}

Admission Dispatcher::submit(const WorkRequest &request, TimePoint now)
{
    Private &state = *this->d;
    ++state.stats.submitted;
    if (request.tried.empty()) {
        state.retryBudget.countRequest();
    }
    const auto refuse = [&state](RefuseReason reason, Duration retryAfter) {
        ++state.stats.refused;
        Admission refused;
        refused.reason = reason;
        refused.retryAfter = std::max(retryAfter, shortestRetryAfter);
        return refused;
    };
    const auto service = state.poolOfService.find(request.service);
    if (service == state.poolOfService.end()) {
        return refuse(RefuseReason::UnknownService, 1s);
    }
    PoolEntry &pool = state.pools.at(service->second);
    ClassQueue &queue = pool.queues.at(static_cast<std::size_t>(request.workClass));
    Admission admission;
    admission.ticket = ++state.lastTicket;
    RequestEntry entry{request, service->second, false, 0, {}};
    // A request never overtakes waiting ones of its own class.
    if (queue.alive == 0) {
        if (const auto executor = state.place(pool, request.tried, now)) {
            state.start(entry, *executor, now);
            state.requests.emplace(admission.ticket, std::move(entry));
            admission.kind = Admission::Kind::Started;
            admission.instance = state.executors[*executor].view.instance;
            return admission;
        }
    }
    if (queue.alive >= static_cast<std::size_t>(pool.view.queueLimit)) {
        return refuse(RefuseReason::QueueFull, state.expectedWait(pool, request));
    }
    const Duration wait = state.expectedWait(pool, request);
    if (now + wait > request.deadline) {
        return refuse(RefuseReason::WouldMissDeadline, wait);
    }
    queue.push(request.team, admission.ticket);
    ++queue.alive;
    ++state.stats.waiting;
    state.requests.emplace(admission.ticket, std::move(entry));
    admission.kind = Admission::Kind::Waiting;
    return admission;
}

std::vector<Started> Dispatcher::finish(Ticket ticket, AttemptResult result, TimePoint now)
{
    Private &state = *this->d;
    const auto found = state.requests.find(ticket);
    if (found == state.requests.end() || !found->second.started) {
        return {};
    }
    const RequestEntry entry = std::move(found->second);
    state.requests.erase(found);
    --state.stats.running;
    if (--state.runningOfTeam[entry.request.team] <= 0) {
        state.runningOfTeam.erase(entry.request.team);
    }
    ExecutorEntry &executor = state.executors[entry.executor];
    --executor.running;
    state.judge(executor, result, now);
    if (result == AttemptResult::Succeeded) {
        const auto ran = static_cast<double>((now - entry.startedAt).count());
        double &learned = state.runTime.try_emplace(entry.request.service, ran).first->second;
        learned += runTimeWeight * (ran - learned);
    }
    return state.fill(executor.view.pool, now);
}

bool Dispatcher::cancel(Ticket ticket)
{
    Private &state = *this->d;
    const auto found = state.requests.find(ticket);
    if (found == state.requests.end() || found->second.started) {
        return false;
    }
    const RequestEntry &entry = found->second;
    --state.pools.at(entry.pool).queues.at(static_cast<std::size_t>(entry.request.workClass)).alive;
    --state.stats.waiting;
    state.requests.erase(found);
    return true;
}

bool Dispatcher::tryRetry()
{
    if (!this->d->retryBudget.tryTake()) {
        return false;
    }
    ++this->d->stats.retries;
    return true;
}

void Dispatcher::markLeaving(const InstanceId &instance, TimePoint now)
{
    for (ExecutorEntry &executor : this->d->executors) {
        if (executor.view.instance == instance) {
            executor.leavingUntil = now + leavingHold;
        }
    }
}

std::vector<Started> Dispatcher::poll(TimePoint now)
{
    std::vector<Started> started;
    for (const auto &[id, pool] : this->d->pools) {
        this->d->startWaiting(id, now, started);
    }
    return started;
}

DispatchStats Dispatcher::stats() const
{
    return this->d->stats;
}

std::vector<ExecutorStats> Dispatcher::executors(TimePoint now) const
{
    std::vector<ExecutorStats> reports;
    for (const ExecutorEntry &executor : this->d->executors) {
        reports.push_back(
            {executor.view.instance, executor.view.pool, executor.running, executor.limit, executor.view.takesNewWork, executor.ejectedUntil > now});
    }
    return reports;
}

}
