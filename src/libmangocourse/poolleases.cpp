// Leases, stop orders, pacing of best-effort runs, and evacuation.
#include "poolscheduler_pvt.h"

#include <algorithm>

namespace MangoCourse {

namespace {

using std::chrono::milliseconds;

// Allowance for timers and rounding in the expiry of a lease.
constexpr milliseconds leaseMargin{60};
// An unconfirmed stop order is sent again after this time.
constexpr milliseconds stopRetryInterval{300};
// Longest time until the end of a run is reported to the owner.
constexpr milliseconds stopReportSlack{300};
// Long-poll timeouts of a renewal: normally, and while a run is expected to change its state.
constexpr milliseconds maxRenewalWait{1200};
constexpr milliseconds watchedRenewalWait{300};
// Delay between a failed renewal and the next one: normally, and for an executor that holds no work.
constexpr milliseconds renewalRetryDelay{150};
constexpr milliseconds probeInterval{500};
// The clock of an executor that holds no work is read again after this time.
constexpr milliseconds clockRefreshInterval{60'000};
// Runs of finite items younger than this are not stopped by an evacuation.
constexpr milliseconds evacuationGrace{2500};
// A run has stalled once it takes longer than the factor times its estimate plus the slack. It is then stopped and restarted elsewhere, at
// most maxStallStops times for each item.
constexpr int stallFactor = 4;
constexpr milliseconds stallSlack{1500};
constexpr std::int32_t maxStallStops = 2;
// After a run has stood still its executor gets no other for a while, then one at a time: if the other executors are full, work must not wait for long.
constexpr milliseconds stallPause{1000};
constexpr milliseconds stallCooldown{3000};
// Minimum time between pace changes of one run, so that the tail latency can react.
constexpr milliseconds paceInterval{300};
// Ratios of tail latency to its target: above the first, best-effort runs slow down; below the second, they speed up.
constexpr double paceDownRatio = 0.85;
constexpr double paceUpRatio = 0.6;
constexpr std::int32_t paceStepPercent = 20;

}

TimePoint PoolScheduler::Private::unknownRunsEndAt(const Executor &executor)
{
    // This owner extends the lease, too, and an end counts until the lease lapses.
    return executor.hasAnswered() ? std::max(executor.previousRunsEndAt, executor.leaseEnd) : executor.previousRunsEndAt;
}

bool PoolScheduler::Private::mayHoldUnknownRuns(const Executor &executor, TimePoint now) const
{
    if (executor.hasEnded || !executor.mayHoldPreviousRuns || executor.isHistoryKnown()) {
        return false;
    }
    const bool areLeasesOver = now >= unknownRunsEndAt(executor);
    if (!executor.isListed) {
        // Of those that are recorded and have not answered, `previousExecutors` tells.
        return (executor.mayHoldStrayRuns || executor.hasAnswered()) && !areLeasesOver;
    }
    // Even after all leases expired, an executor may hold the end of a finished item that no owner has read. It is waited for while reading goes on.
    const bool isReadingOver = executor.failingSince != TimePoint{} || (executor.hasAnswered() && !executor.hasUnreadEnds);
    return !areLeasesOver || !isReadingOver;
}

TimePoint PoolScheduler::Private::previousCallsEndAt() const
{
    return this->previousLeasesExpireAt == TimePoint{} ? TimePoint{} : after(this->previousLeasesExpireAt, maxCallDuration - this->settings.maxLeaseLength);
}

bool PoolScheduler::Private::arePreviousRunsKnown(TimePoint now) const
{
    for (const auto &[key, executor] : this->executors) {
        if (this->mayHoldUnknownRuns(executor, now)) {
            return false;
        }
    }
    return std::all_of(this->previousExecutors.begin(), this->previousExecutors.end(), [this, now](const auto &entry) {
        return this->arePreviousRunsOver(entry.first, entry.second, now);
    });
}

bool PoolScheduler::Private::arePreviousRunsOver(const ExecutorKey &key, const PreviousExecutor &previous, TimePoint now) const
{
    const auto found = this->executors.find(key);
    const bool hasAnswered = found != this->executors.end() && found->second.hasAnswered();
    return hasAnswered ? !this->mayHoldUnknownRuns(found->second, now) : now >= previous.runsEndAt;
}

milliseconds PoolScheduler::Private::computeLeaseExpiry(const Executor &executor, TimePoint now, TimePoint expiresAt) const
{
    const milliseconds sinceClock = millisecondsBetween(executor.clockReadAt, now);
    // A lease by a clock that has run slow ends later by what the clock has lost since it was read.
    const auto lost = milliseconds(static_cast<std::int64_t>(static_cast<double>(sinceClock.count()) * this->settings.clockDrift));
    const milliseconds length = std::min({this->settings.leaseLength, this->settings.maxLeaseLength, millisecondsBetween(now, expiresAt) - lost});
    return *executor.clock + sinceClock + std::max(length, milliseconds::zero());
}

void PoolScheduler::Private::extendLease(Executor &executor, milliseconds until, TimePoint now) const
{
    const double sinceClock = static_cast<double>(millisecondsBetween(executor.clockReadAt, now).count());
    const double remaining = static_cast<double>((until - *executor.clock).count()) - sinceClock * (1.0 - this->settings.clockDrift);
    const auto longest = milliseconds(static_cast<std::int64_t>(std::max(0.0, remaining) / (1.0 - this->settings.clockDrift)));
    executor.leaseEnd = std::max(executor.leaseEnd, after(now, longest + leaseMargin));
}

void PoolScheduler::Private::expireLeases(TimePoint now, TimePoint confirmedAt)
{
    for (auto &[key, executor] : this->executors) {
        // Another owner that took over before the lease expired may have renewed it.
        if (!executor.runs.empty() && executor.leaseEnd < std::min(now, confirmedAt)) {
            this->dropRuns(executor, executor.leaseEnd, "the lease ran out");
        }
    }
}

void PoolScheduler::Private::resendStops(Executor &executor, TimePoint now)
{
    if (executor.stoppingRuns == 0) {
        return;
    }
    for (auto &[id, run] : executor.runs) {
        const bool isDue = run.stopSentAt == TimePoint{} || now - run.stopSentAt > stopRetryInterval;
        if (run.phase == RunPhase::Stopping && !run.isStopConfirmed && isDue) {
            if (!this->hasOrderRoom(executor, OrderKind::Other)) {
                return;
            }
            run.stopSentAt = now;
            this->orders.stops.push_back(
                StopOrder{executor.info, StopRun{id, run.number, this->tokens->current(executor.info.id)}, this->budgetOf(executor).take()});
        }
    }
}

void PoolScheduler::Private::stopStalledRuns(Executor &executor, TimePoint now)
{
    for (auto &[id, run] : executor.runs) {
        const bool isFinite = run.phase == RunPhase::Running && !run.isLongRunning && run.expectedDuration.count() > 0 && run.startedAt != TimePoint{};
        if (!isFinite || millisecondsBetween(run.startedAt, now) < stallFactor * run.expectedDuration + stallSlack) {
            continue;
        }
        Item *item = this->findItem(id);
        if (item == nullptr || item->stallStops >= maxStallStops) {
            continue;
        }
        ++item->stallStops;
        item->lastFailedOn = executor.info.id;
        executor.avoidedUntil = std::max(executor.avoidedUntil, after(now, stallPause));
        executor.triedUntil = after(now, stallCooldown);
        this->emitEvent("executor_avoided", id, executor, run.number, "a run stands still");
        this->requestStop(executor, run, "it stands still");
    }
}

void PoolScheduler::Private::stopOrphans(Executor &executor, TimePoint now)
{
    for (auto &[id, orphan] : executor.orphans) {
        if (now - orphan.second > stopRetryInterval) {
            if (!this->hasOrderRoom(executor, OrderKind::Other)) {
                return;
            }
            orphan.second = now;
            this->emitEvent("stop_requested", id, executor, orphan.first, "its job has ended or is unknown");
            this->orders.stops.push_back(
                StopOrder{executor.info, StopRun{id, orphan.first, this->tokens->current(executor.info.id)}, this->budgetOf(executor).take()});
        }
    }
}

void PoolScheduler::Private::paceBestEffortRuns(Executor &executor, TimePoint now)
{
    if (executor.bestEffortRuns == 0) {
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
        std::int32_t wanted = run.pacePercent;
        if (isServing && worst > paceDownRatio) {
            wanted = worst > 1.0 ? run.pacePercent / 2 : run.pacePercent - paceStepPercent;
        } else if (!isServing || worst < paceUpRatio) {
            wanted = run.pacePercent + paceStepPercent;
        }
        wanted = std::clamp(wanted, 0, 100);
        if (wanted != run.pacePercent) {
            if (!this->hasOrderRoom(executor, OrderKind::Other)) {
                return;
            }
            const std::int32_t previous = std::exchange(run.pacePercent, wanted);
            run.pacedAt = now;
            this->orders.paces.push_back(
                PaceOrder{executor.info, PaceRun{id, run.number, this->tokens->current(executor.info.id), wanted}, previous, this->budgetOf(executor).take()});
        }
    }
}

bool PoolScheduler::Private::isConfirmedRunning(const Run &run, TimePoint now) const
{
    // An executor lists a run until its stop is complete, and a previous owner may have ordered the stop.
    const bool isSettled = run.adoptedAt == TimePoint{} || now - run.adoptedAt > this->settings.maxStopDuration + stopReportSlack;
    return run.phase == RunPhase::Running && run.percent >= 100 && isSettled;
}

bool PoolScheduler::Private::canInterrupt(const ItemId &id, TimePoint now)
{
    const StepSpec &spec = this->stepOf(id);
    if (!spec.isLongRunning) {
        return true;
    }
    const std::int32_t budget = std::max(1, spec.disruptionBudget);
    std::int32_t unavailable = 0;
    ItemId other = id;
    for (other.index = 0; other.index < spec.count; ++other.index) {
        if (other.index == id.index) {
            continue;
        }
        const Item *item = this->findItem(other);
        bool isAtWork = false;
        for (const ExecutorKey &key : item->runningOn) {
            const Executor *executor = this->find(key);
            const auto run = executor->runs.find(other);
            const bool answers = executor->failingSince == TimePoint{};
            isAtWork = isAtWork || (answers && run != executor->runs.end() && this->isConfirmedRunning(run->second, now));
        }
        unavailable += isAtWork ? 0 : 1;
    }
    return unavailable < budget;
}

void PoolScheduler::Private::stopEvacuatedRuns(TimePoint now)
{
    for (auto &[key, executor] : this->executors) {
        if (executor.runs.empty() || !(executor.info.isDraining || this->isEvacuated(executor))) {
            continue;
        }
        for (auto &[id, run] : executor.runs) {
            if (run.phase != RunPhase::Running) {
                continue;
            }
            const bool isOverdue = now - run.startedAt > evacuationGrace;
            if (run.isLongRunning ? this->canInterrupt(id, now) : (isOverdue && !executor.info.isDraining)) {
                this->requestStop(executor, run, "its machine is being emptied");
            }
        }
    }
}

bool PoolScheduler::Private::isEvacuated(const Executor &executor) const
{
    return includesIncarnation(this->evacuations.evacuating, executor.info.id, executor.info.incarnation);
}

bool PoolScheduler::Private::isMaintenanceDue(const Executor &executor) const
{
    const auto known = this->upcomingMaintenance.find(executor.info.machine);
    return known != this->upcomingMaintenance.end() && WallTime(milliseconds(executor.info.incarnation)) < known->second;
}

bool PoolScheduler::isOvertaken(const ExecutorId &executor, std::int64_t fencingToken) const
{
    return fencingToken < this->d->tokens->current(executor);
}

std::optional<RenewalPlan> PoolScheduler::renewal(const ExecutorKey &key, TimePoint now, TimePoint expiresAt) const
{
    Executor *executor = this->d->find(key);
    if (executor == nullptr || executor->hasEnded) {
        // The next incarnation at that address would take the acknowledgement for its own ended runs and forget them.
        return std::nullopt;
    }
    const bool hasWork = !executor->runs.empty() || !executor->orphans.empty();
    const bool hasEnds = executor->acknowledgedEnd < executor->persistedEnd;
    // Nothing is placed on an executor that does not answer, so without this probe an idle one would stay unused after it has recovered.
    const bool isClockOld = executor->clock && now - executor->clockReadAt >= clockRefreshInterval;
    const bool needsProbe = executor->failingSince != TimePoint{} || executor->hasUnreadEnds || executor->withheldAt != TimePoint{} || isClockOld;
    if (executor->hasAnswered() && !hasWork && !hasEnds && !needsProbe) {
        return std::nullopt;
    }
    // An acknowledgement that the executor has received is not repeated: its next incarnation would forget ends of its own up to that number.
    executor->sentEnd = hasEnds && this->d->canAcknowledge(*executor, now) ? executor->persistedEnd : 0;
    RenewalPlan plan{executor->info, LeaseRenewal{this->d->tokens->current(key.id), executor->sentEnd, std::nullopt, milliseconds::zero()}, renewalRetryDelay};
    if (executor->sentEnd > 0) {
        this->d->tokens->raise(key.id);
    }
    if (executor->hasAnswered() && !hasWork && !hasEnds) {
        plan.retryDelay = probeInterval;
        plan.renewal.wait = executor->hasUnreadEnds ? watchedRenewalWait : milliseconds::zero();
    }
    if (!hasWork || !executor->clock) {
        return plan;
    }
    if (executor->failingSince != TimePoint{}) {
        // The executor may be lost, and its work can restart only after the lease has expired.
        return plan;
    }
    if (millisecondsBetween(now, expiresAt) > milliseconds::zero() && !executor->isSilenceRecorded) {
        plan.renewal.until = this->d->computeLeaseExpiry(*executor, now, expiresAt);
        this->d->extendLease(*executor, *plan.renewal.until, now);
    }
    if (executor->withheldAt != TimePoint{}) {
        // Starts wait for the answer.
        return plan;
    }
    if (hasEnds) {
        // An executor that waits may restart meanwhile, and would acknowledge ends of its next incarnation.
        return plan;
    }
    const bool isWatched = std::any_of(executor->runs.begin(), executor->runs.end(), [](const auto &entry) {
        return entry.second.phase != RunPhase::Running || entry.second.isBestEffort || (entry.second.isLongRunning && entry.second.percent < 100);
    });
    plan.renewal.wait = isWatched ? watchedRenewalWait : maxRenewalWait;
    return plan;
}

}
