// Admission, placement and outlier ejection at one gate.
#include <mangocourse/dispatcher.h>

#include <algorithm>
#include <cmath>

#include "dispatcher_pvt.h"

namespace MangoCourse {

namespace {

using namespace std::chrono_literals;

// Consecutive failures after which an executor is ejected.
constexpr int ejectAfterFailures = 5;
// Duration of the first ejection; it doubles with each consecutive one.
constexpr Duration initialEjection = 2s;
constexpr int maxEjectionDoublings = 5;
// How long an executor that announced it is leaving gets no new work. Far longer than the lag of the instance list, and it expires by itself
// in case the drain is handed back.
constexpr Duration leavingHold = 5s;
// Once every this many starts of a pool the least urgent waiting class goes first, so that overnight work does not starve.
constexpr std::uint64_t starvationInterval = 16;
// Weight of the newest sample in the moving average of run times.
constexpr double runTimeWeight = 0.05;
// Initial concurrency limit for an executor in another data centre; refusals and successes then adjust it.
constexpr double initialRemoteLimit = 1;
// Additive increase of the limit per success while requests wait, and decrease per busy refusal.
constexpr double limitIncrease = 0.1;
constexpr double limitDecrease = 1.0;
// Time without new work after a busy refusal, so that waiting requests do not retry the executor in a tight loop.
constexpr Duration busyCooldown = 20ms;
constexpr Duration minRetryAfter = 100ms;

bool wasTried(const std::vector<InstanceId> &tried, const InstanceId &instance)
{
    return std::find(tried.begin(), tried.end(), instance) != tried.end();
}

double initialLimit(const DispatchExecutor &view, int gates)
{
    if (!view.isLocal) {
        return std::min<double>(initialRemoteLimit, view.slots);
    }
    return std::max(1.0, std::ceil(static_cast<double>(view.slots) / std::max(1, gates)));
}

}

std::string_view toString(RefuseReason reason)
{
    static constexpr std::array<std::string_view, 5> names = {"none", "unknown-service", "no-executor", "queue-full", "would-miss-deadline"};
    return names.at(static_cast<std::size_t>(reason));
}

std::optional<std::size_t> Dispatcher::Private::pickLeastLoaded(const std::vector<std::size_t> &candidates, const std::vector<InstanceId> &tried, TimePoint now)
{
    if (candidates.empty()) {
        return std::nullopt;
    }
    const auto isUsable = [&](std::size_t index) {
        const ExecutorEntry &executor = this->executors[index];
        return executor.canStart(now) && !wasTried(tried, executor.view.instance);
    };
    const auto load = [this](std::size_t index) {
        const ExecutorEntry &executor = this->executors[index];
        return executor.running / executor.limit;
    };
    const std::size_t first = candidates[this->random() % candidates.size()];
    const std::size_t second = candidates[this->random() % candidates.size()];
    if (isUsable(first) && isUsable(second)) {
        return load(first) <= load(second) ? first : second;
    }
    std::optional<std::size_t> best;
    for (const std::size_t index : candidates) {
        if (isUsable(index) && (!best || load(index) < load(*best))) {
            best = index;
        }
    }
    return best;
}

std::optional<std::size_t> Dispatcher::Private::selectExecutor(const PoolEntry &pool, const std::vector<InstanceId> &tried, TimePoint now)
{
    if (const auto local = this->pickLeastLoaded(pool.local, tried, now)) {
        return local;
    }
    for (const PoolId &lender : pool.view.lenders) {
        const auto found = this->pools.find(lender);
        if (found == this->pools.end()) {
            continue;
        }
        if (const auto lent = this->pickLeastLoaded(found->second.local, tried, now)) {
            return lent;
        }
    }
    if (const auto remote = this->pickLeastLoaded(pool.remote, tried, now)) {
        return remote;
    }
    return std::nullopt;
}

void Dispatcher::Private::start(RequestEntry &entry, std::size_t executor, TimePoint now)
{
    entry.isStarted = true;
    entry.executor = executor;
    entry.startedAt = now;
    ++this->executors[executor].running;
    ++this->runningOfTeam[entry.request.team];
    ++this->stats.started;
    ++this->stats.running;
}

double Dispatcher::Private::totalLimit(const PoolEntry &pool) const
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
    const auto average = this->averageRunTime.find(request.service);
    if (average == this->averageRunTime.end()) {
        return Duration::zero();
    }
    std::size_t queuedAhead = 0;
    for (std::size_t index = 0; index <= static_cast<std::size_t>(request.workClass); ++index) {
        queuedAhead += pool.queues.at(index).waiting;
    }
    const double slots = std::max(1.0, this->totalLimit(pool));
    const double queueRounds = static_cast<double>(queuedAhead) / slots + 1.0;
    return Duration(static_cast<Duration::rep>(queueRounds * average->second));
}

bool Dispatcher::Private::hasWaiting(const PoolEntry &pool) const
{
    return std::any_of(pool.queues.begin(), pool.queues.end(), [](const ClassQueue &queue) {
        return queue.waiting > 0;
    });
}

std::optional<Ticket> Dispatcher::Private::popFairest(ClassQueue &queue)
{
    while (queue.waiting > 0) {
        auto best = queue.byTeam.end();
        int bestRunning = 0;
        for (auto team = queue.byTeam.begin(); team != queue.byTeam.end();) {
            // Drops cancelled tickets here, so that cancel() need not search the queue.
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
        --queue.waiting;
        return ticket;
    }
    return std::nullopt;
}

std::optional<Ticket> Dispatcher::Private::popWaiting(PoolEntry &pool)
{
    const bool startsWithLeastUrgent = ++pool.starts % starvationInterval == 0;
    for (std::size_t step = 0; step < workClassCount; ++step) {
        const std::size_t index = startsWithLeastUrgent ? workClassCount - 1 - step : step;
        if (const auto ticket = this->popFairest(pool.queues.at(index))) {
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
        const auto executor = this->selectExecutor(pool, {}, now);
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

std::vector<Started> Dispatcher::Private::assignFreedSlot(const PoolId &freed, TimePoint now)
{
    std::vector<Started> started;
    const auto found = this->pools.find(freed);
    if (found == this->pools.end()) {
        return started;
    }
    // Borrowing pools with waiting counter work come before the lender's own queue, whose overnight work can be delayed.
    for (const PoolId &borrower : found->second.borrowers) {
        const auto entry = this->pools.find(borrower);
        const bool hasUrgentWork = entry != this->pools.end() && entry->second.queues.front().waiting > 0;
        if (hasUrgentWork) {
            this->startWaiting(borrower, now, started);
        }
    }
    this->startWaiting(freed, now, started);
    for (const PoolId &borrower : found->second.borrowers) {
        this->startWaiting(borrower, now, started);
    }
    return started;
}

bool Dispatcher::Private::canEject(const PoolEntry &pool, TimePoint now) const
{
    const auto ejected = std::count_if(pool.local.begin(), pool.local.end(), [this, now](std::size_t index) {
        return this->executors[index].ejectedUntil > now;
    });
    return (ejected + 1) * 100 <= static_cast<std::ptrdiff_t>(pool.local.size()) * pool.view.ejectPercent;
}

void Dispatcher::Private::recordResult(ExecutorEntry &executor, AttemptResult result, TimePoint now)
{
    const auto found = this->pools.find(executor.view.pool);
    if (result == AttemptResult::Succeeded) {
        executor.consecutiveFailures = 0;
        executor.ejections = 0;
        if (found != this->pools.end() && this->hasWaiting(found->second)) {
            executor.limit = std::min<double>(executor.view.slots, executor.limit + limitIncrease);
        }
        return;
    }
    if (result == AttemptResult::RefusedBusy) {
        executor.limit = std::max(1.0, executor.limit - limitDecrease);
        executor.busyUntil = now + busyCooldown;
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
    const bool isUnreachable = result == AttemptResult::Unreachable;
    if (executor.consecutiveFailures < ejectAfterFailures && !isUnreachable) {
        return;
    }
    if (found == this->pools.end() || !this->canEject(found->second, now)) {
        return;
    }
    executor.ejectedUntil = now + initialEjection * (1 << std::min(executor.ejections, maxEjectionDoublings));
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
        const bool hasReturned = !entry.view.takesNewWork && executor.takesNewWork && found != known.end();
        entry.view = executor;
        entry.limit = hasReturned ? std::min(entry.limit, initialLimit(executor, view.gates)) : entry.limit;
        PoolEntry &pool = state.pools[executor.pool];
        (executor.isLocal ? pool.local : pool.remote).push_back(index);
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
        refused.retryAfter = std::max(retryAfter, minRetryAfter);
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
    // A request never overtakes waiting requests of its own class.
    if (queue.waiting == 0) {
        if (const auto executor = state.selectExecutor(pool, request.tried, now)) {
            state.start(entry, *executor, now);
            state.requests.emplace(admission.ticket, std::move(entry));
            admission.kind = Admission::Kind::Started;
            admission.instance = state.executors[*executor].view.instance;
            return admission;
        }
    }
    if (queue.waiting >= static_cast<std::size_t>(pool.view.queueLimit)) {
        return refuse(RefuseReason::QueueFull, state.expectedWait(pool, request));
    }
    const Duration wait = state.expectedWait(pool, request);
    if (now + wait > request.deadline) {
        return refuse(RefuseReason::WouldMissDeadline, wait);
    }
    queue.push(request.team, admission.ticket);
    ++queue.waiting;
    ++state.stats.waiting;
    state.requests.emplace(admission.ticket, std::move(entry));
    admission.kind = Admission::Kind::Waiting;
    return admission;
}

std::vector<Started> Dispatcher::finish(Ticket ticket, AttemptResult result, TimePoint now)
{
    Private &state = *this->d;
    const auto found = state.requests.find(ticket);
    if (found == state.requests.end() || !found->second.isStarted) {
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
    state.recordResult(executor, result, now);
    if (result == AttemptResult::Succeeded) {
        const auto ran = static_cast<double>((now - entry.startedAt).count());
        double &average = state.averageRunTime.try_emplace(entry.request.service, ran).first->second;
        average += runTimeWeight * (ran - average);
    }
    return state.assignFreedSlot(executor.view.pool, now);
}

bool Dispatcher::cancel(Ticket ticket)
{
    Private &state = *this->d;
    const auto found = state.requests.find(ticket);
    if (found == state.requests.end() || found->second.isStarted) {
        return false;
    }
    const RequestEntry &entry = found->second;
    --state.pools.at(entry.pool).queues.at(static_cast<std::size_t>(entry.request.workClass)).waiting;
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
