// Leases, stops, pace and evacuation of the pool scheduler.
#include "poolscheduler_pvt.h"

#include <algorithm>

namespace MangoCourse {

namespace {

using std::chrono::milliseconds;

// Slack for timers and rounding when a lease is taken as over.
constexpr milliseconds leaseMargin{60};
// How long an unanswered stop waits for its repetition.
constexpr milliseconds stopRepeat{300};
// An end reaches the owner within this time.
constexpr milliseconds stopSlack{300};
// The longest a renewal waits for an end, and the longest while something is about to change.
constexpr milliseconds longestWait{1200};
constexpr milliseconds watchfulWait{300};
// An evacuating machine's finite work gets this long to end by itself.
constexpr milliseconds evacuationPatience{2500};
// A run that takes this many times its estimate, and the slack, stands still: it is taken elsewhere, an item this often at most.
constexpr int stallFactor = 4;
constexpr milliseconds stallSlack{1500};
constexpr std::int32_t mostStalls = 2;
constexpr milliseconds stallAvoidance{3000};
// Pace changes of one run are at least this far apart, so that the tail can follow.
constexpr milliseconds paceInterval{300};
// Tail latency against its target: above the first the fillers slow down, below the second they speed up.
constexpr double paceDownAt = 0.85;
constexpr double paceUpAt = 0.6;
constexpr std::int32_t paceStep = 20;

}

bool PoolScheduler::Private::isClear(TimePoint now) const
{
    const bool isPastLeases = now >= this->previousLeasesExpireAt;
    for (const auto &[key, executor] : this->executors) {
        // Even past all leases an executor that was not asked yet may hold the end of an item that is done.
        const bool isAsked = executor.isContacted || (isPastLeases && executor.failingSince != TimePoint{});
        if (executor.isListed && !isAsked) {
            return false;
        }
    }
    return isPastLeases || std::all_of(this->earlier.begin(), this->earlier.end(), [this](const auto &entry) {
        const auto found = this->executors.find(entry.first);
        return found != this->executors.end() && found->second.isContacted;
    });
}

milliseconds PoolScheduler::Private::leaseUntil(const Executor &executor, TimePoint now, TimePoint expiresAt) const
{
    const milliseconds length = std::min({this->settings.leaseLength, this->settings.maxLeaseLength, span(now, expiresAt)});
    return *executor.clock + span(executor.clockAt, now) + length;
}

void PoolScheduler::Private::extendLease(Executor &executor, milliseconds until, TimePoint now) const
{
    const double sinceClock = static_cast<double>(span(executor.clockAt, now).count());
    const double remaining = static_cast<double>((until - *executor.clock).count()) - sinceClock * (1.0 - this->settings.clockDrift);
    const auto longest = milliseconds(static_cast<std::int64_t>(std::max(0.0, remaining) / (1.0 - this->settings.clockDrift)));
    executor.leaseEnd = std::max(executor.leaseEnd, after(now, longest + leaseMargin));
}

void PoolScheduler::Private::expireLeases(TimePoint now, TimePoint confirmedAt)
{
    for (auto &[key, executor] : this->executors) {
        // A successor that took over before the lease ended may have renewed it.
        if (!executor.runs.empty() && executor.leaseEnd < std::min(now, confirmedAt)) {
            this->dropExecutor(executor, executor.leaseEnd, "the lease ran out");
        }
    }
}

void PoolScheduler::Private::resendStops(Executor &executor, TimePoint now)
{
    if (executor.stops == 0) {
        return;
    }
    for (auto &[id, run] : executor.runs) {
        const bool isDue = run.stopSentAt == TimePoint{} || now - run.stopSentAt > stopRepeat;
        if (run.phase == RunPhase::Stopping && !run.isStopConfirmed && isDue) {
            run.stopSentAt = now;
            this->orders.stops.push_back(StopOrder{executor.info, StopRun{id, run.number, this->token}});
        }
    }
}

void PoolScheduler::Private::stopStalled(Executor &executor, TimePoint now)
{
    for (auto &[id, run] : executor.runs) {
        const bool isFinite = run.phase == RunPhase::Running && !run.isLongRunning && run.expected.count() > 0 && run.startedAt != TimePoint{};
        if (!isFinite || span(run.startedAt, now) < stallFactor * run.expected + stallSlack) {
            continue;
        }
        Item *item = this->findItem(id);
        if (item == nullptr || item->stalls >= mostStalls) {
            continue;
        }
        ++item->stalls;
        item->failedOn = executor.info.id;
        executor.avoidedUntil = std::max(executor.avoidedUntil, after(now, stallAvoidance));
        this->requestStop(executor, run, "it stands still");
    }
}

void PoolScheduler::Private::stopOrphans(Executor &executor, TimePoint now)
{
    for (auto &[id, orphan] : executor.orphans) {
        if (now - orphan.second > stopRepeat) {
            orphan.second = now;
            this->note("stop_requested", id, executor, orphan.first, "its job has ended or is unknown");
            this->orders.stops.push_back(StopOrder{executor.info, StopRun{id, orphan.first, this->token}});
        }
    }
}

void PoolScheduler::Private::paceFillers(Executor &executor, TimePoint now)
{
    if (executor.fillers == 0) {
        return;
    }
    double worst = 0;
    bool isServing = false;
    for (const auto &[id, run] : executor.runs) {
        if (run.tailLatencyTarget.count() > 0 && !run.isBestEffort && run.isListed) {
            isServing = true;
            worst = std::max(worst, static_cast<double>(run.load) / static_cast<double>(run.tailLatencyTarget.count()));
        }
    }
    for (auto &[id, run] : executor.runs) {
        if (!run.isBestEffort || run.phase != RunPhase::Running || now - run.pacedAt < paceInterval) {
            continue;
        }
        std::int32_t wanted = run.pacedTo;
        if (isServing && worst > paceDownAt) {
            wanted = worst > 1.0 ? run.pacedTo / 2 : run.pacedTo - paceStep;
        } else if (!isServing || worst < paceUpAt) {
            wanted = run.pacedTo + paceStep;
        }
        wanted = std::clamp(wanted, 0, 100);
        if (wanted != run.pacedTo) {
            run.pacedTo = wanted;
            run.pacedAt = now;
            this->orders.paces.push_back(PaceOrder{executor.info, PaceRun{id, run.number, this->token, wanted}});
        }
    }
}

bool PoolScheduler::Private::isSurelyAtWork(const Run &run, TimePoint now) const
{
    // An executor lists a run until its stop is through, also one that an earlier owner ordered.
    const bool isSettled = run.adoptedAt == TimePoint{} || now - run.adoptedAt > this->settings.maxStopDuration + stopSlack;
    return run.phase == RunPhase::Running && run.percent >= 100 && isSettled;
}

bool PoolScheduler::Private::mayInterrupt(const ItemId &id, TimePoint now)
{
    const StepSpec &spec = this->stepOf(id);
    if (!spec.isLongRunning) {
        return true;
    }
    const std::int32_t budget = std::max(1, spec.disruptionBudget);
    std::int32_t away = 0;
    ItemId other = id;
    for (other.index = 0; other.index < spec.count; ++other.index) {
        if (other.index == id.index) {
            continue;
        }
        const Item *item = this->findItem(other);
        bool isAtWork = false;
        for (const ExecutorKey &key : item->where) {
            const Executor *executor = this->find(key);
            const auto run = executor->runs.find(other);
            const bool answers = executor->failingSince == TimePoint{};
            isAtWork = isAtWork || (answers && run != executor->runs.end() && this->isSurelyAtWork(run->second, now));
        }
        away += isAtWork ? 0 : 1;
    }
    return away < budget;
}

void PoolScheduler::Private::evacuate(TimePoint now)
{
    for (auto &[key, executor] : this->executors) {
        if (executor.runs.empty() || !(executor.info.isDraining || this->isEvacuated(executor))) {
            continue;
        }
        for (auto &[id, run] : executor.runs) {
            if (run.phase != RunPhase::Running) {
                continue;
            }
            const bool isOverdue = now - run.startedAt > evacuationPatience;
            if (run.isLongRunning ? this->mayInterrupt(id, now) : (isOverdue && !executor.info.isDraining)) {
                this->requestStop(executor, run, "its machine is being emptied");
            }
        }
    }
}

bool PoolScheduler::Private::isEvacuated(const Executor &executor) const
{
    return includesIncarnation(this->evacuations.evacuating, executor.info.id, executor.info.incarnation);
}

bool PoolScheduler::Private::isDue(const Executor &executor) const
{
    const auto known = this->due.find(executor.info.machine);
    return known != this->due.end() && WallTime(milliseconds(executor.info.incarnation)) < known->second;
}

std::optional<RenewalPlan> PoolScheduler::renewal(const ExecutorKey &key, TimePoint now, TimePoint expiresAt) const
{
    Executor *executor = this->d->find(key);
    if (executor == nullptr || executor->isOver) {
        // An acknowledgement would reach the next life at that address, which would forget ends of its own.
        return std::nullopt;
    }
    const bool hasWork = !executor->runs.empty() || !executor->orphans.empty();
    const bool hasEnds = executor->acknowledgedEnd < executor->persistedEnd;
    if (executor->isContacted && !hasWork && !hasEnds) {
        return std::nullopt;
    }
    executor->sentEnd = executor->persistedEnd;
    RenewalPlan plan{executor->info, LeaseRenewal{this->d->token, executor->persistedEnd, std::nullopt, milliseconds::zero()}};
    if (!hasWork || !executor->clock) {
        return plan;
    }
    if (executor->failingSince != TimePoint{}) {
        // It may be gone: its work can only restart once the lease is over.
        return plan;
    }
    if (span(now, expiresAt) > milliseconds::zero()) {
        plan.renewal.until = this->d->leaseUntil(*executor, now, expiresAt);
        this->d->extendLease(*executor, *plan.renewal.until, now);
    }
    const bool isWatched = std::any_of(executor->runs.begin(), executor->runs.end(), [](const auto &entry) {
        return entry.second.phase != RunPhase::Running || entry.second.isBestEffort || (entry.second.isLongRunning && entry.second.percent < 100);
    });
    plan.renewal.wait = isWatched ? watchfulWait : longestWait;
    return plan;
}

}
