// What a pool tells the planner of the machines.
#include "poolscheduler_pvt.h"

#include <algorithm>

namespace MangoCourse {

namespace {

using std::chrono::milliseconds;

// Arrivals are counted over this window.
constexpr milliseconds arrivalWindow{1000};
// How many half windows ahead the trend is taken.
constexpr std::int64_t trendHalves = 2;

std::int64_t workOf(const StepSpec &step)
{
    return step.resources.cpu * step.estimate.count() / 1000;
}

}

void PoolScheduler::Private::noteArrival(const JobEntry &entry, TimePoint now)
{
    if (now - entry.addedAt > arrivalWindow) {
        return;
    }
    std::int64_t work = 0;
    for (const StepSpec &step : entry.job.spec.steps) {
        work += step.isLongRunning || entry.job.spec.recurrence.count > 0 ? 0 : workOf(step) * step.count;
    }
    if (work > 0) {
        this->arrivals.emplace_back(now, work);
    }
    while (!this->arrivals.empty() && now - this->arrivals.front().first > arrivalWindow) {
        this->arrivals.pop_front();
    }
}

PoolReport PoolScheduler::report(TimePoint now) const
{
    PoolReport report;
    report.service = this->d->service;
    std::int64_t earlier = 0;
    std::int64_t later = 0;
    for (const auto &[at, work] : this->d->arrivals) {
        if (now - at <= arrivalWindow / 2) {
            later += work;
        } else if (now - at <= arrivalWindow) {
            earlier += work;
        }
    }
    // A machine takes a while to come: what the trend promises by then counts when it rises.
    const std::int64_t rise = std::max<std::int64_t>(0, later - earlier);
    report.inflow = std::max(earlier + later, 2 * later + trendHalves * rise);
    for (const JobId &id : this->d->open) {
        const JobEntry &entry = *this->d->findJob(id);
        const std::vector<StepSpec> &specs = entry.job.spec.steps;
        const bool isLate = entry.objective < now + entry.chainLeft;
        std::int64_t &backlog = isLate ? report.lateBacklog : report.backlog;
        for (const OccurrenceState &occurrence : entry.occurrences) {
            for (std::size_t step = 0; occurrence.isOpen && step < specs.size(); ++step) {
                const StepSpec &spec = specs[step];
                const std::int64_t left = spec.count - occurrence.steps[step].done;
                if (spec.isLongRunning) {
                    report.longRunningCpu += spec.isBestEffort ? 0 : spec.resources.cpu * left;
                    const std::int32_t perMachine = spec.isBestEffort ? 0 : spec.perExecutorLimit;
                    report.spread = std::max(report.spread, perMachine > 0 ? (spec.count + perMachine - 1) / perMachine : 0);
                } else {
                    backlog += workOf(spec) * left;
                }
            }
        }
    }
    for (const auto &[key, executor] : this->d->executors) {
        if (!executor.isListed) {
            continue;
        }
        ExecutorUsage use{executor.info.id, executor.info.incarnation, static_cast<std::int32_t>(executor.runs.size()), 0};
        use.longRunning = static_cast<std::int32_t>(std::count_if(executor.runs.begin(), executor.runs.end(), [](const auto &run) {
            return run.second.isLongRunning;
        }));
        use.isReachable = executor.isContacted && executor.failingSince == TimePoint{};
        report.executors.push_back(use);
    }
    return report;
}

}
