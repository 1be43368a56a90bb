// Limits of the accounts in one pool: what counts as running, and what is reported.
#include "poolscheduler_pvt.h"

#include <algorithm>

namespace MangoCourse {

namespace {

using std::chrono::milliseconds;

// Work that waits because of a limit is logged after the first interval, which doubles with each line.
constexpr milliseconds firstLineInterval{1000};
constexpr int maxIntervalDoublings = 5;

// What an account wants in the pool.
struct Wanted {
    Resources amount;
    Resources largest;
};

void addItems(Resources &total, const Resources &demand, std::int64_t count)
{
    const auto add = [count](std::int64_t &sum, std::int64_t each) {
        // The sum stays within what can be divided.
        const bool isTooMuch = count > 0 && each > (unlimitedAmount - sum) / count;
        sum = isTooMuch ? unlimitedAmount : sum + each * count;
    };
    add(total.cpu, demand.cpu);
    add(total.memory, demand.memory);
    add(total.accelerators, demand.accelerators);
}

Resources largerOf(const Resources &one, const Resources &other)
{
    return Resources{std::max(one.cpu, other.cpu), std::max(one.memory, other.memory), std::max(one.accelerators, other.accelerators)};
}

Resources smallerOf(const Resources &one, const Resources &other)
{
    return Resources{std::min(one.cpu, other.cpu), std::min(one.memory, other.memory), std::min(one.accelerators, other.accelerators)};
}

// Returns the different capacities of the executors that take new work.
std::vector<Resources> capacitiesOf(const std::map<ExecutorKey, Executor> &executors)
{
    std::vector<Resources> capacities;
    for (const auto &[key, executor] : executors) {
        const Resources &capacity = executor.info.capacity;
        const bool isKnown = std::find(capacities.begin(), capacities.end(), capacity) != capacities.end();
        if (executor.isListed && !executor.info.isDraining && !isKnown) {
            capacities.push_back(capacity);
        }
    }
    return capacities;
}

Resources capacityOf(const std::map<ExecutorKey, Executor> &executors)
{
    Resources capacity;
    for (const auto &[key, executor] : executors) {
        if (executor.isListed && !executor.info.isDraining) {
            capacity += executor.info.capacity;
        }
    }
    return capacity;
}

}

Resources PoolScheduler::Private::quotaDemandOf(const StepSpec &spec)
{
    Resources demand;
    addItems(demand, demandOf(spec), spec.isGang ? spec.count : 1);
    return demand;
}

void PoolScheduler::Private::startCounting()
{
    for (auto &[id, entry] : this->jobs) {
        entry.accountUse = this->quota.find(entry.job.account);
    }
    for (auto &[key, executor] : this->executors) {
        for (auto &[id, run] : executor.runs) {
            this->countRun(run, id);
        }
    }
}

void PoolScheduler::Private::countRun(Run &run, const ItemId &id)
{
    if (!this->quota.isActive()) {
        return;
    }
    run.accountUse = this->jobs.at(id.job).accountUse;
    if (run.accountUse != nullptr) {
        run.accountUse->running += run.resources;
    }
}

void PoolScheduler::Private::uncountRun(const Run &run)
{
    if (run.accountUse != nullptr) {
        run.accountUse->running -= run.resources;
    }
}

bool PoolScheduler::Private::mayStartWithinQuota(const JobEntry &entry, const ItemId &id, TimePoint now)
{
    if (entry.accountUse == nullptr) {
        return true;
    }
    const StepSpec &spec = entry.job.spec.steps[static_cast<std::size_t>(id.step)];
    return this->quota.mayStart(*entry.accountUse, id, quotaDemandOf(spec), now);
}

bool PoolScheduler::Private::fitsQuota(const JobEntry &entry, const StepSpec &spec) const
{
    return entry.accountUse == nullptr || this->quota.fits(*entry.accountUse, quotaDemandOf(spec));
}

void PoolScheduler::Private::addUncertainItem(const ItemId &id)
{
    if (const JobEntry *entry = this->findJob(id.job); entry != nullptr && this->findItem(id) != nullptr) {
        this->quota.addUncertain(entry->job.account, demandOf(this->stepOf(id)));
    }
}

void PoolScheduler::Private::updateQuotaUsage(TimePoint now, TimePoint confirmedAt)
{
    // After a pause of the process, leases that have ended by now may have been renewed by another owner.
    const TimePoint knownUntil = std::min(now, confirmedAt);
    std::erase_if(this->heldItems, [knownUntil](const auto &entry) {
        return entry.second <= knownUntil;
    });
    if (!this->quota.isActive()) {
        return;
    }
    this->quota.clearUncertain();
    for (const auto &[key, executor] : this->executors) {
        const bool mayHoldUnknown = executor.mayHoldPreviousRuns && !executor.isHistoryKnown() && knownUntil < executor.previousRunsEndAt;
        if (mayHoldUnknown || !executor.orphans.empty()) {
            this->quota.addUnknownCapacity(executor.info.capacity);
        }
    }
    for (const auto &[key, previous] : this->previousExecutors) {
        if (!this->executors.contains(key) && !this->arePreviousRunsOver(key, previous, knownUntil)) {
            this->quota.addUnknownCapacity(std::nullopt);
        }
    }
    for (const auto &[executor, starts] : this->unsettledStarts) {
        for (const UnsettledStart &start : starts) {
            this->addUncertainItem(start.item);
        }
    }
    for (const auto &[id, until] : this->heldItems) {
        const Item *item = this->findItem(id);
        if (item != nullptr && item->runningOn.empty() && item->possiblyActiveUntil() > knownUntil) {
            this->addUncertainItem(id);
        }
    }
    this->quota.noteUsage(now, confirmedAt);
}

void PoolScheduler::Private::reportQuota(PoolReport &report) const
{
    if (!this->quota.isActive()) {
        return;
    }
    const QuotaUsage &usage = this->quota.confirmedUsage();
    report.appliedDivisionNumber = usage.number;
    report.isUsageComplete = usage.isComplete && this->quota.isUsageComplete();
    report.shareNumber = usage.shareNumber;
    std::map<const AccountUse *, Wanted> wanted;
    const Resources capacity = capacityOf(this->executors);
    const std::vector<Resources> capacities = capacitiesOf(this->executors);
    const auto canEverStart = [&capacity, &capacities](const StepSpec &spec) {
        const bool fitsExecutor = std::any_of(capacities.begin(), capacities.end(), [&spec](const Resources &each) {
            return each.covers(demandOf(spec));
        });
        return fitsExecutor && (!spec.isGang || capacity.covers(quotaDemandOf(spec)));
    };
    for (const JobId &id : this->openJobs) {
        const JobEntry &entry = this->jobs.at(id);
        if (entry.accountUse == nullptr || !entry.accountUse->isLimited) {
            continue;
        }
        for (const OccurrenceState &occurrence : entry.occurrences) {
            for (std::size_t step = 0; occurrence.isOpen && step < occurrence.steps.size(); ++step) {
                const StepSpec &spec = entry.job.spec.steps[step];
                const auto &items = occurrence.steps[step].items;
                if (occurrence.steps[step].done >= spec.count || !this->isStepReady(entry, occurrence, step)) {
                    continue;
                }
                const auto waiting = std::count_if(items.begin(), items.end(), [](const Item &item) {
                    return item.phase == ItemPhase::Waiting;
                });
                // Other pools must not give up their shares for work that this pool cannot run.
                if (waiting > 0 && canEverStart(spec)) {
                    Wanted &sum = wanted[entry.accountUse];
                    addItems(sum.amount, demandOf(spec), waiting);
                    sum.largest = largerOf(sum.largest, quotaDemandOf(spec));
                }
            }
        }
    }
    for (const auto &[account, use] : this->quota.uses()) {
        const auto running = usage.running.find(account);
        AccountDemand demand{account, running == usage.running.end() ? Resources{} : running->second, use.running, {}, false, false};
        if (const auto waiting = wanted.find(&use); waiting != wanted.end()) {
            // The pool has no room for more.
            demand.wanted += smallerOf(waiting->second.amount, capacity);
            demand.wanted = largerOf(use.running, smallerOf(demand.wanted, capacity));
            demand.largest = waiting->second.largest;
        }
        demand.isShort = !use.share.covers(demand.wanted) || (demand.largest != Resources{} && !use.share.covers(smallerOf(demand.largest, use.limit)));
        demand.isOverShare = !use.share.covers(use.running) || !use.share.covers(demand.running);
        const bool isIdle = demand.running == Resources{} && demand.wanted == Resources{} && demand.largest == Resources{};
        if (use.isLimited && !isIdle) {
            report.accounts.push_back(std::move(demand));
        }
    }
}

void PoolScheduler::setDivisions(std::shared_ptr<const QuotaDivisions> divisions)
{
    if (this->d->quota.setDivisions(std::move(divisions))) {
        this->d->startCounting();
    }
}

std::vector<AccountQuota> PoolScheduler::accountQuotas(TimePoint now) const
{
    PoolReport report;
    this->d->reportQuota(report);
    std::vector<AccountQuota> result;
    for (const AccountDemand &demand : report.accounts) {
        const AccountUse &use = this->d->quota.uses().at(demand.account);
        const milliseconds age = use.waitingSince == TimePoint{} ? milliseconds::zero() : millisecondsBetween(use.waitingSince, now);
        result.push_back(AccountQuota{demand.account, use.share, use.running, demand.wanted, this->d->quota.appliedNumber(), age});
    }
    return result;
}

std::vector<AccountQuota> PoolScheduler::takeWaitingQuotas(TimePoint now)
{
    std::vector<AccountQuota> due;
    if (!this->d->quota.isActive()) {
        return due;
    }
    std::vector<AccountQuota> quotas = this->accountQuotas(now);
    std::set<AccountId> waiting;
    for (AccountQuota &quota : quotas) {
        AccountUse &use = *this->d->quota.find(quota.account);
        const bool isWaiting = quota.wanted != quota.running && !use.share.covers(quota.wanted);
        if (!isWaiting) {
            continue;
        }
        waiting.insert(quota.account);
        if (use.waitingSince == TimePoint{}) {
            use.waitingSince = now;
            use.nextLineAt = after(now, firstLineInterval);
            use.lines = 0;
        } else if (now >= use.nextLineAt) {
            use.nextLineAt = after(now, firstLineInterval * (1 << std::min(++use.lines, maxIntervalDoublings)));
            due.push_back(std::move(quota));
        }
    }
    for (const auto &[account, known] : this->d->quota.uses()) {
        if (known.waitingSince != TimePoint{} && !waiting.contains(account)) {
            this->d->quota.find(account)->waitingSince = TimePoint{};
        }
    }
    return due;
}

}
