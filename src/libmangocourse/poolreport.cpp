// The pool's report to the fleet planner.
#include "poolscheduler_pvt.h"

#include <algorithm>

#include <mangocourse/limits.h>

namespace MangoCourse {

namespace {

using std::chrono::milliseconds;

// Length of the sliding window for arriving work.
constexpr milliseconds arrivalWindow{1000};
// Weight of the rise from the earlier to the later half of the window when a rising trend is extrapolated.
constexpr std::int64_t riseWeight = 2;

// Returns the work of one item in core-ms.
std::int64_t workPerItem(const StepSpec &step, milliseconds runTime)
{
    const double work = static_cast<double>(step.resources.cpu) * static_cast<double>(runTime.count()) / 1000.0;
    return static_cast<std::int64_t>(std::min(work, static_cast<double>(maxReportedWork)));
}

// Adds an amount for each of `count` items. The total stays within what can be reported.
void addAmounts(std::int64_t &total, std::int64_t amount, std::int64_t count)
{
    const bool isTooMuch = count > 0 && amount > (maxReportedWork - total) / count;
    total = isTooMuch ? maxReportedWork : total + amount * count;
}

}

void PoolScheduler::Private::recordArrival(const JobEntry &entry, TimePoint now)
{
    if (now - entry.addedAt > arrivalWindow) {
        return;
    }
    std::int64_t work = 0;
    for (const StepSpec &step : entry.job.spec.steps) {
        if (!step.isLongRunning && entry.job.spec.recurrence.count == 0) {
            addAmounts(work, workPerItem(step, this->expectedItemTime(entry, step)), step.count);
        }
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
    std::int64_t earlierHalf = 0;
    std::int64_t laterHalf = 0;
    for (const auto &[at, work] : this->d->arrivals) {
        if (now - at <= arrivalWindow / 2) {
            addAmounts(laterHalf, work, 1);
        } else if (now - at <= arrivalWindow) {
            addAmounts(earlierHalf, work, 1);
        }
    }
    // A machine needs time to join the pool, so a rising trend is extrapolated. Twice the work of the later half window is a rate per second.
    const std::int64_t rise = std::max<std::int64_t>(0, laterHalf - earlierHalf);
    report.inflow = std::min(std::max(earlierHalf + laterHalf, 2 * laterHalf + riseWeight * rise), maxReportedWork);
    for (const JobId &id : this->d->openJobs) {
        const JobEntry &entry = *this->d->findJob(id);
        const std::vector<StepSpec> &specs = entry.job.spec.steps;
        const bool isLate = entry.deadline < now + entry.remainingCriticalPath;
        std::int64_t &backlog = isLate ? report.lateBacklog : report.backlog;
        for (const OccurrenceState &occurrence : entry.occurrences) {
            for (std::size_t step = 0; occurrence.isOpen && step < specs.size(); ++step) {
                const StepSpec &spec = specs[step];
                const std::int64_t remaining = spec.count - occurrence.steps[step].done;
                if (spec.isLongRunning) {
                    addAmounts(report.longRunningCpu, spec.isBestEffort ? 0 : spec.resources.cpu, remaining);
                    const std::int32_t perExecutor = spec.isBestEffort ? 0 : spec.perExecutorLimit;
                    report.spread = std::max(report.spread, perExecutor > 0 ? (spec.count + perExecutor - 1) / perExecutor : 0);
                } else {
                    addAmounts(backlog, workPerItem(spec, this->d->expectedItemTime(entry, spec)), remaining);
                    addAmounts(report.readyCpu, spec.isBestEffort || !this->d->isStepReady(entry, occurrence, step) ? 0 : spec.resources.cpu, remaining);
                }
            }
        }
    }
    for (const auto &[key, executor] : this->d->executors) {
        if (!executor.isListed) {
            continue;
        }
        ExecutorUsage usage{executor.info.id, executor.info.incarnation, static_cast<std::int32_t>(executor.runs.size()), 0};
        usage.longRunning = static_cast<std::int32_t>(std::count_if(executor.runs.begin(), executor.runs.end(), [](const auto &run) {
            return run.second.isLongRunning;
        }));
        usage.isReachable = executor.hasAnswered() && executor.failingSince == TimePoint{};
        report.executors.push_back(usage);
    }
    this->d->reportQuota(report);
    return report;
}

}
