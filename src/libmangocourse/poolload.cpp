// The load of a pool, by which gateways admit jobs.
#include "poolscheduler_pvt.h"

#include <algorithm>
#include <limits>

#include <mangocourse/limits.h>

namespace MangoCourse {

namespace {

using std::chrono::milliseconds;

// Ready work within this part of the capacity finds a place at once; beyond it gaps make items wait.
constexpr double fullShare = 0.85;
// Arrivals within this time give the inflow; it spans several publications.
constexpr milliseconds inflowWindow{500};
// Length of the window in which an account's jobs are counted against its rate, and the jobs that it may submit at once.
constexpr milliseconds rateWindow{1000};
constexpr double minRateBurst = 1.0;
// Part of its expected run time that an item has left at least.
constexpr double minRemainingShare = 0.1;

// Names the accounts of which more jobs arrived than their weight allows.
class AccountArrivals
{
public:
    void add(const AccountId &account)
    {
        if (!account.isEmpty()) {
            ++this->jobs[account];
        }
    }

    std::set<AccountId> beyondRate(const std::map<AccountId, double> &rates) const
    {
        std::set<AccountId> result;
        for (const auto &[account, count] : this->jobs) {
            const auto rate = rates.find(account);
            if (rate != rates.end() && count > std::max(minRateBurst, rate->second)) {
                result.insert(account);
            }
        }
        return result;
    }

private:
    std::map<AccountId, std::int32_t> jobs;
};

Resources multiply(const Resources &resources, std::int64_t count)
{
    return Resources{resources.cpu * count, resources.memory * count, resources.accelerators * count};
}

double share(std::int64_t amount, std::int64_t capacity)
{
    return capacity > 0 ? static_cast<double>(amount) / static_cast<double>(capacity) : (amount > 0 ? std::numeric_limits<double>::infinity() : 0.0);
}

}

// Counts what is there and what is wanted.
class PoolScheduler::Private::LoadCount
{
public:
    LoadCount(const Private &pool, TimePoint now)
        : pool(pool)
        , now(now)
    {
    }

    const Private &pool;
    TimePoint now;
    Resources capacity;
    // Demand of the ready items of finite jobs, including those that run.
    Resources wanted;

    void countCapacity()
    {
        std::int32_t counted = 0;
        Resources whole;
        for (const auto &[key, executor] : this->pool.executors) {
            const ExecutorUsability usability = this->pool.usabilityOf(executor, this->now);
            const bool isUsableSoon = usability == ExecutorUsability::NeverContacted || usability == ExecutorUsability::NotRecorded
                || usability == ExecutorUsability::NoClock || usability == ExecutorUsability::Clearing;
            if (usability != ExecutorUsability::Usable && !isUsableSoon) {
                continue;
            }
            ++counted;
            whole += executor.info.capacity;
            this->capacity += executor.info.capacity;
            for (const auto &[item, run] : executor.runs) {
                if (run.isLongRunning) {
                    this->capacity -= run.resources;
                }
            }
        }
        // A machine on its way helps before a job that is accepted now is late.
        const auto arriving = this->pool.evacuations.arriving.find(this->pool.service);
        if (counted > 0 && arriving != this->pool.evacuations.arriving.end()) {
            const std::int64_t machines = arriving->second;
            this->capacity += Resources{whole.cpu / counted * machines, whole.memory / counted * machines, whole.accelerators / counted * machines};
        }
    }

    void countWanted()
    {
        for (const JobId &id : this->pool.openJobs) {
            this->visitSteps(this->pool.jobs.at(id), [this](const JobEntry &entry, const OccurrenceState &occurrence, std::size_t step, std::int64_t left) {
                if (this->pool.isStepReady(entry, occurrence, step)) {
                    this->wanted += multiply(demandOf(entry.job.spec.steps[step]), left);
                }
            });
        }
    }

    bool isFull() const
    {
        return std::max(share(this->wanted.cpu, this->capacity.cpu), share(this->wanted.memory, this->capacity.memory)) > fullShare;
    }

    bool isMemoryScarce() const
    {
        return share(this->wanted.memory, this->capacity.memory) > share(this->wanted.cpu, this->capacity.cpu);
    }

    // Adds the remaining work to the load, whose capacity is set.
    void addWork(PoolLoad &load) const
    {
        // Of running items: work that is done already, and work that is left.
        struct Running {
            double done = 0;
            double left = 0;
        };
        std::unordered_map<JobId, Running> running;
        for (const auto &[key, executor] : this->pool.executors) {
            for (const auto &[item, run] : executor.runs) {
                const auto entry = this->pool.jobs.find(item.job);
                if (run.isLongRunning || run.startedAt == TimePoint{} || entry == this->pool.jobs.end() || !entry->second.isOpen()) {
                    continue;
                }
                const StepSpec &spec = entry->second.job.spec.steps[static_cast<std::size_t>(item.step)];
                const double whole = this->workPerItem(entry->second, spec, load);
                const auto expected = static_cast<double>(this->pool.runTimes.expected(entry->second.job.queue, spec).count());
                const double passed = static_cast<double>(millisecondsBetween(run.startedAt, this->now).count());
                const double leftShare = std::max(minRemainingShare, 1.0 - passed / std::max(expected, 1.0));
                running[item.job].left += whole * leftShare;
                running[item.job].done += whole * (1.0 - leftShare);
            }
        }
        double late = 0;
        double lateWaiting = 0;
        double inflow = 0;
        std::map<std::int32_t, double> ahead;
        for (const JobId &id : this->pool.openJobs) {
            const JobEntry &job = this->pool.jobs.at(id);
            double work = 0;
            this->visitSteps(job, [this, &load, &work](const JobEntry &entry, const OccurrenceState &, std::size_t step, std::int64_t left) {
                work += this->workPerItem(entry, entry.job.spec.steps[step], load) * static_cast<double>(left);
            });
            inflow += this->now - job.addedAt <= inflowWindow ? work : 0.0;
            const auto runs = running.find(id);
            const Running ofJob = runs == running.end() ? Running{} : runs->second;
            if (rankJob(job, this->now, false).isLate) {
                late += ofJob.left;
                lateWaiting += std::max(0.0, work - ofJob.done - ofJob.left);
            } else {
                ahead[job.priority] += std::max(ofJob.left, work - ofJob.done);
            }
        }
        const auto bounded = [](double amount) {
            return static_cast<std::int64_t>(std::clamp(amount, 0.0, static_cast<double>(maxReportedWork)));
        };
        load.lateRunning = bounded(late);
        load.lateWaiting = bounded(lateWaiting);
        load.inflow = bounded(inflow * (1000.0 / static_cast<double>(inflowWindow.count())));
        for (const auto &[priority, work] : ahead) {
            load.workAhead[priority] = bounded(work);
        }
    }

private:
    // Calls `visit` with each unfinished step of an open finite job, and the number of its items that are not done.
    template<typename Visitor>
    void visitSteps(const JobEntry &entry, Visitor visit) const
    {
        const std::vector<StepSpec> &specs = entry.job.spec.steps;
        for (const OccurrenceState &occurrence : entry.occurrences) {
            for (std::size_t step = 0; occurrence.isOpen && step < specs.size(); ++step) {
                const std::int64_t left = specs[step].count - occurrence.steps[step].done;
                if (!specs[step].isLongRunning && left > 0) {
                    visit(entry, occurrence, step, left);
                }
            }
        }
    }

    double workPerItem(const JobEntry &entry, const StepSpec &spec, const PoolLoad &load) const
    {
        const double seconds = std::chrono::duration<double>(this->pool.runTimes.expected(entry.job.queue, spec)).count();
        const Resources demand = demandOf(spec);
        const auto amount = [seconds](std::int64_t resource) {
            return static_cast<std::int64_t>(std::min(static_cast<double>(resource) * seconds, static_cast<double>(maxReportedWork)));
        };
        return static_cast<double>(scarceWork(WorkAmount{amount(demand.cpu), amount(demand.memory)}, load.capacity, load.isMemoryScarce));
    }
};

PoolLoad PoolScheduler::load(TimePoint now, WallTime wallNow)
{
    Private &state = *this->d;
    PoolLoad load;
    load.service = state.service;
    // Numbers go on rising if this process takes the pool over again with the same token.
    state.loadNumber = std::max(state.loadNumber + 1, std::int64_t(wallNow.time_since_epoch().count()));
    load.number = state.loadNumber;
    load.at = wallNow;
    Private::LoadCount count(state, now);
    // Work that waits is placeable.
    if (!state.placeable.empty()) {
        count.countCapacity();
        count.countWanted();
        load.isQueueing = count.isFull();
    }
    if (!load.isQueueing) {
        if (state.queueingSince) {
            load.ratios = state.runTimes.ratios();
        }
        state.queueingSince.reset();
        return load;
    }
    state.queueingSince = state.queueingSince.value_or(now);
    load.queueingFor = millisecondsBetween(*state.queueingSince, now);
    const auto positive = [](std::int64_t amount) {
        return std::max<std::int64_t>(0, amount);
    };
    load.capacity = Resources{positive(count.capacity.cpu), positive(count.capacity.memory), positive(count.capacity.accelerators)};
    Resources free = load.capacity;
    free -= count.wanted;
    load.free = Resources{positive(free.cpu), positive(free.memory), positive(free.accelerators)};
    load.isMemoryScarce = count.isMemoryScarce();
    load.ratios = state.runTimes.ratios();
    count.addWork(load);
    AccountArrivals arrivals;
    for (const JobId &id : state.openJobs) {
        const JobEntry &entry = state.jobs.at(id);
        if (!state.accountRates.empty() && now - entry.addedAt <= rateWindow) {
            arrivals.add(entry.job.account);
        }
    }
    load.accountsBeyondRate = arrivals.beyondRate(state.accountRates);
    return load;
}

void PoolScheduler::seedRunTimes(const std::map<QueueId, RunTimeRatio> &ratios)
{
    this->d->runTimes.seed(ratios);
}

}
