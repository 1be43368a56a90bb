// Orders under way: how many there may be, and whether one that has waited may still be sent.
#include "poolscheduler_pvt.h"

#include <algorithm>

namespace MangoCourse {

OrderBudget &PoolScheduler::Private::budgetOf(Executor &executor) const
{
    if (!executor.orderBudget) {
        executor.orderBudget = *OrderBudget::create(std::max<std::size_t>(1, this->settings.maxOrdersPerExecutor), this->orderBudget);
    }
    return *executor.orderBudget;
}

bool PoolScheduler::Private::hasOrderRoom(Executor &executor, OrderKind kind)
{
    const bool hasRoom = this->budgetOf(executor).hasRoom(kind);
    this->areOrdersHeld = this->areOrdersHeld || !hasRoom;
    return hasRoom;
}

bool PoolScheduler::Private::hasStartRoom()
{
    const bool hasRoom = !this->orderBudget || this->orderBudget->hasRoom(OrderKind::Start);
    this->areOrdersHeld = this->areOrdersHeld || !hasRoom;
    return hasRoom;
}

bool PoolScheduler::Private::hasStartRoom(const Executor &executor) const
{
    const std::shared_ptr<OrderBudget> &budget = executor.orderBudget ? executor.orderBudget : this->orderBudget;
    return !budget || budget->hasRoom(OrderKind::Start);
}

void PoolScheduler::setOrderBudget(std::shared_ptr<OrderBudget> budget)
{
    this->d->orderBudget = std::move(budget);
}

bool PoolScheduler::areOrdersHeld() const
{
    return this->d->areOrdersHeld;
}

bool PoolScheduler::confirmStart(const StartOrder &order, const PoolWatermarks &watermarks, TimePoint now)
{
    const ExecutorKey key{order.executor.id, order.executor.incarnation};
    Executor *executor = this->d->find(key);
    const bool isKnown = executor != nullptr && executor->runs.contains(order.run.item) && executor->runs.at(order.run.item).number == order.run.run;
    if (!isKnown) {
        this->d->withdrawStart(key, order.run, now);
        return false;
    }
    const auto run = executor->runs.find(order.run.item);
    if (run->second.isListed) {
        return false;
    }
    const JobEntry *entry = this->d->findJob(order.run.item.job);
    const bool isOpen = entry != nullptr && entry->isOpen();
    // The other members of a gang would wait for a member that does not start.
    const bool isGang = isOpen && this->d->stepOf(order.run.item).isGang;
    const bool isLeaving = executor->info.isDraining || this->d->isEvacuated(*executor);
    const bool isNeeded = isOpen && (isGang || (run->second.phase == RunPhase::Starting && !isLeaving));
    const AccountUse *use = run->second.accountUse;
    const bool exceedsQuota = isNeeded && !isGang && use != nullptr && this->d->quota.isExceededBy(*use, run->second.resources);
    if (isNeeded && !exceedsQuota && (isGang || this->d->areWatermarksFresh(watermarks, now))) {
        return true;
    }
    const char *neededReason = exceedsQuota ? "the share of the account has become too small" : "the watermarks have become too old";
    this->d->emitEvent("start_withheld", order.run.item, *executor, order.run.run, isNeeded ? neededReason : "the run is no longer needed");
    this->d->removeRun(*executor, run, "its start was not sent", now);
    return false;
}

bool PoolScheduler::mayStartOver(const ExecutorKey &key, TimePoint connectionOpenedAt) const
{
    // Whatever was listening when the connection was opened, no incarnation after this one was up before `upAt`.
    const Executor *executor = this->d->find(key);
    return executor != nullptr && !executor->hasEnded && connectionOpenedAt <= executor->upAt;
}

bool PoolScheduler::isIncarnationUp(const ExecutorKey &key) const
{
    const Executor *executor = this->d->find(key);
    return executor != nullptr && !executor->hasEnded;
}

}
