// Executors that end or restart, and the orders that were on their way to them. An executor may restart under its id; its next incarnation knows
// nothing of the runs before, but carries out orders that were sent to the earlier one.
#include "poolscheduler_pvt.h"

#include <algorithm>
#include <limits>

namespace MangoCourse {

namespace {

using std::chrono::milliseconds;

// Returns true if the outcome proves that the executor has not carried out the start order and will not.
bool provesNotStarted(OrderOutcome outcome)
{
    return outcome != OrderOutcome::Done && outcome != OrderOutcome::Unknown;
}

// Returns the latest time at which the run's start order can be carried out, if it is no longer in flight.
TimePoint carriedOutUntil(const Run &run)
{
    return std::max(run.startableUntil, after(run.orderResolvedAt, maxCallDuration));
}

}

TimePoint PoolScheduler::Private::longestLeaseEnd(TimePoint now) const
{
    return after(now, this->settings.maxLeaseLength / (1.0 - this->settings.clockDrift));
}

bool PoolScheduler::Private::mayBeOnNextIncarnation(const Executor &executor, const Run &run)
{
    // No later incarnation was up before the call had ended if this one was up afterwards.
    const bool hasOutlivedCall = !run.isStartInFlight && run.orderResolvedAt <= executor.upAt;
    return !run.isConfirmed && !hasOutlivedCall;
}

bool PoolScheduler::Private::mayBeFromNextIncarnation(const Executor &executor, const OrderReply &reply, TimePoint now)
{
    // The clock of the next incarnation starts anew and has run for less time than has passed since this one was known to be up.
    return !reply.clock || !executor.firstClock || *reply.clock <= *executor.firstClock + millisecondsBetween(executor.upAt, now) + milliseconds(1);
}

void PoolScheduler::Private::recordStrayLease(const ExecutorKey &sentTo, OrderOutcome outcome, TimePoint now)
{
    if (outcome == OrderOutcome::NotSent || outcome == OrderOutcome::Withheld || outcome == OrderOutcome::OtherBoot) {
        return;
    }
    const TimePoint end = after(this->longestLeaseEnd(now), adoptedLeaseMargin);
    this->strayLeaseEnds[sentTo.id] = end;
    for (auto next = this->executors.upper_bound(sentTo); next != this->executors.end() && next->first.id == sentTo.id; ++next) {
        next->second.leaseEnd = std::max(next->second.leaseEnd, end);
    }
}

void PoolScheduler::Private::noteStrayLeaseOfPreviousOwner(Executor &executor, const ExecutorReport &report, TimePoint now) const
{
    const bool arePreviousOwnersActive = this->previousLeasesExpireAt != TimePoint{} && now < after(this->previousLeasesExpireAt, maxCallDuration);
    // A call to the earlier incarnation ends soon after that. The clock of an incarnation may start at any value, so a high one does not rule out that it
    // follows one that previous owners have used.
    const bool isYoung = !report.clock || *report.clock < this->settings.maxLeaseLength + maxCallDuration;
    if (arePreviousOwnersActive && (isYoung || executor.mayHoldStrayRuns)) {
        executor.leaseEnd = std::max(executor.leaseEnd, after(this->longestLeaseEnd(now), adoptedLeaseMargin));
    }
}

bool PoolScheduler::Private::canAcknowledge(const Executor &executor, TimePoint now) const
{
    if (now < executor.acknowledgeableFrom) {
        return false;
    }
    // An incarnation that was up before and has been up after the last time at which a call could be carried out is the only one that can have done so.
    const auto unsettled = this->unsettledStarts.find(executor.info.id);
    const bool hasUnsettledStart
        = unsettled != this->unsettledStarts.end() && std::any_of(unsettled->second.begin(), unsettled->second.end(), [&executor](const UnsettledStart &start) {
              return start.incarnation != executor.info.incarnation || start.isInFlight || executor.upAt <= start.carriedOutUntil;
          });
    if (hasUnsettledStart) {
        return false;
    }
    // A report that was sent after the answer to a start proves that this incarnation has answered it. It may list neither the run nor its end, as the
    // number of ends in it is limited. The end may follow those that it lists, so an unanswered start holds the acknowledgement up for a bounded time.
    return std::none_of(executor.runs.begin(), executor.runs.end(), [&executor](const auto &entry) {
        const Run &run = entry.second;
        const bool mayBeCarriedOut = run.isStartUnanswered && !run.isConfirmed && executor.upAt <= carriedOutUntil(run);
        return run.isStartInFlight || mayBeCarriedOut || mayBeOnNextIncarnation(executor, run);
    });
}

void PoolScheduler::Private::endIncarnation(Executor &executor, TimePoint endedBy, bool mayReturn, const char *reason)
{
    this->dropRuns(executor, endedBy, reason);
    // What is still on its way to this incarnation must not follow the calls to the next one.
    this->tokens->raise(executor.info.id);
    executor.hasEnded = true;
    executor.isListed = false;
    executor.orphans.clear();
    const auto unsettled = this->unsettledStarts.find(executor.info.id);
    if (!mayReturn || unsettled == this->unsettledStarts.end()) {
        return;
    }
    for (const UnsettledStart &start : unsettled->second) {
        const ExecutorKey sentTo{executor.info.id, start.incarnation};
        this->holdForNextIncarnation(sentTo, start.item, start.number, endedBy, endedBy);
    }
}

void PoolScheduler::Private::holdForNextIncarnation(const ExecutorKey &sentTo, const ItemId &id, std::int64_t number, TimePoint carriedOutBy, TimePoint now)
{
    Item *item = this->findItem(id);
    if (item == nullptr) {
        return;
    }
    const auto isSameRun = [&sentTo, number](const EarlierRun &earlier) {
        return earlier.executor.id == sentTo.id && earlier.number == number;
    };
    auto held = std::find_if(item->earlierRuns.begin(), item->earlierRuns.end(), isSameRun);
    if (held == item->earlierRuns.end()) {
        item->addEarlierRun(EarlierRun{sentTo, number, {}, now, {}});
        held = std::prev(item->earlierRuns.end());
    }
    held->reason = "the next incarnation can no longer have it";
    held->possiblyActiveUntil = std::max(held->possiblyActiveUntil, this->longestLeaseEnd(carriedOutBy));
    if (!this->jobs.at(id.job).job.account.isEmpty()) {
        this->heldItems[id] = item->possiblyActiveUntil();
    }
}

void PoolScheduler::Private::dropRuns(Executor &executor, TimePoint endedBy, const char *reason)
{
    while (!executor.runs.empty()) {
        const auto run = executor.runs.begin();
        const ItemId id = run->first;
        if (mayBeOnNextIncarnation(executor, run->second)) {
            this->unsettledStarts[executor.info.id].push_back(UnsettledStart{
                id, run->second.number, executor.info.incarnation, run->second.isStartInFlight, this->longestLeaseEnd(endedBy), carriedOutUntil(run->second)});
        }
        this->emitEvent("run_lost", id, executor, run->second.number, reason);
        this->removeRun(executor, run, reason, endedBy, endedBy);
    }
}

void PoolScheduler::Private::assignUnsettledStarts(TimePoint now)
{
    const auto isOver = [now](const auto &entry) {
        return entry.second < now;
    };
    std::erase_if(this->strayLeaseEnds, isOver);
    for (auto unsettled = this->unsettledStarts.begin(); unsettled != this->unsettledStarts.end();) {
        // The last of the incarnations with the id is the one that is up.
        auto newest = this->executors.upper_bound(ExecutorKey{unsettled->first, std::numeric_limits<std::int64_t>::max()});
        Executor *executor = newest == this->executors.begin() ? nullptr : &std::prev(newest)->second;
        const bool isUp = executor != nullptr && executor->info.id == unsettled->first && executor->isListed;
        std::erase_if(unsettled->second, [this, executor, isUp, now](const UnsettledStart &start) {
            const bool isAssigned = isUp && start.incarnation < executor->info.incarnation;
            if (isAssigned) {
                this->assignUnsettledStart(*executor, start, now);
            }
            return isAssigned || (!start.isInFlight && start.activeUntil < now);
        });
        unsettled = unsettled->second.empty() ? this->unsettledStarts.erase(unsettled) : std::next(unsettled);
    }
}

void PoolScheduler::Private::assignUnsettledStart(Executor &executor, const UnsettledStart &start, TimePoint now)
{
    const Item *item = this->findItem(start.item);
    if (item == nullptr) {
        executor.orphans.try_emplace(start.item, start.number, TimePoint{});
        this->pendingRenewals.insert(executor.key());
        return;
    }
    const auto known = executor.runs.find(start.item);
    if (known != executor.runs.end()) {
        known->second.number = std::max(known->second.number, start.number);
        return;
    }
    Run &run = this->addRun(executor, start.item, start.number, now);
    run.phase = start.isInFlight ? RunPhase::Starting : RunPhase::Unacknowledged;
    run.isStartInFlight = start.isInFlight;
    run.isStartUnanswered = true;
    run.startedAt = TimePoint{};
    run.startableUntil = this->longestLeaseEnd(now);
    executor.leaseEnd = std::max(executor.leaseEnd, after(run.startableUntil, adoptedLeaseMargin));
    this->emitEvent("start_assigned", start.item, executor, start.number, "it was sent to an earlier incarnation, this one may carry it out");
    const bool isRedundant
        = !this->findJob(start.item.job)->isOpen() || item->phase == ItemPhase::Done || (item->runningOn.size() > 1 && !this->stepOf(start.item).isSpeculative);
    if (isRedundant) {
        this->requestStop(executor, run, "the run is redundant");
    }
}

Executor *PoolScheduler::Private::findAssignee(const ExecutorKey &sentTo, const ItemId &item, std::int64_t number)
{
    auto candidate = this->executors.upper_bound(sentTo);
    for (; candidate != this->executors.end() && candidate->first.id == sentTo.id; ++candidate) {
        const auto run = candidate->second.runs.find(item);
        if (run != candidate->second.runs.end() && run->second.number == number) {
            return &candidate->second;
        }
    }
    return nullptr;
}

UnsettledStart *PoolScheduler::Private::findUnsettledStart(const ExecutorKey &sentTo, const StartRun &order)
{
    const auto unsettled = this->unsettledStarts.find(sentTo.id);
    if (unsettled == this->unsettledStarts.end()) {
        return nullptr;
    }
    const auto start = std::find_if(unsettled->second.begin(), unsettled->second.end(), [&order](const UnsettledStart &candidate) {
        return candidate.item == order.item && candidate.number == order.run;
    });
    return start == unsettled->second.end() ? nullptr : &*start;
}

void PoolScheduler::Private::settleStart(const ExecutorKey &sentTo, const StartRun &order, const OrderReply &reply, TimePoint now)
{
    const bool isNotStarted = provesNotStarted(reply.outcome);
    if (Executor *assignee = this->findAssignee(sentTo, order.item, order.run)) {
        const auto run = assignee->runs.find(order.item);
        run->second.orderResolvedAt = now;
        run->second.isStartInFlight = false;
        if (isNotStarted && !run->second.isListed) {
            this->emitEvent("start_refused", order.item, *assignee, order.run, std::string(toString(reply.outcome)));
            this->removeRun(*assignee, run, toString(reply.outcome), now);
        } else if (run->second.phase == RunPhase::Starting) {
            // The earlier incarnation may have sent the reply, so the report of this one decides.
            run->second.phase = RunPhase::Unacknowledged;
        }
        return;
    }
    if (isNotStarted) {
        this->forgetUnsettledStart(sentTo, order, now);
        return;
    }
    const Executor *executor = this->find(sentTo);
    if (executor != nullptr && !executor->hasEnded && !mayBeFromNextIncarnation(*executor, reply, now)) {
        return;
    }
    UnsettledStart *known = this->findUnsettledStart(sentTo, order);
    if (known == nullptr) {
        known = &this->unsettledStarts[sentTo.id].emplace_back(UnsettledStart{order.item, order.run, sentTo.incarnation, false, {}, {}});
    }
    known->activeUntil = this->longestLeaseEnd(now);
    known->carriedOutUntil = std::max(known->carriedOutUntil, after(now, maxCallDuration));
    if (reply.outcome == OrderOutcome::Done) {
        this->holdForNextIncarnation(sentTo, order.item, order.run, now, now);
    }
    this->assignUnsettledStarts(now);
}

void PoolScheduler::Private::withdrawStart(const ExecutorKey &sentTo, const StartRun &order, TimePoint now)
{
    Executor *assignee = this->findAssignee(sentTo, order.item, order.run);
    if (assignee == nullptr) {
        this->forgetUnsettledStart(sentTo, order, now);
        return;
    }
    const auto run = assignee->runs.find(order.item);
    if (!run->second.isListed) {
        this->emitEvent("start_withheld", order.item, *assignee, order.run, "the executor has restarted");
        this->removeRun(*assignee, run, "its start was not sent", now);
    }
}

void PoolScheduler::Private::forgetUnsettledStart(const ExecutorKey &sentTo, const StartRun &order, TimePoint now)
{
    const auto unsettled = this->unsettledStarts.find(sentTo.id);
    if (unsettled == this->unsettledStarts.end()) {
        return;
    }
    const auto removed = std::erase_if(unsettled->second, [&order](const UnsettledStart &start) {
        return start.item == order.item && start.number == order.run;
    });
    Item *held = removed > 0 ? this->findItem(order.item) : nullptr;
    if (held != nullptr) {
        held->ruleOutRun(sentTo.id, order.run, now);
        this->markPlaceable(*this->findJob(order.item.job));
    }
    if (unsettled->second.empty()) {
        this->unsettledStarts.erase(unsettled);
    }
}

}
