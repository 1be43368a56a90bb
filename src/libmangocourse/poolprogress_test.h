// For the random histories of pools: a checker of the promise that waiting work runs where there is room for it.
#pragma once

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <mangocourse/poolscheduler.h>

#include "poolhistory_test.h"

namespace MangoCourse {

// Faults count as over this long after their end.
inline constexpr milliseconds contactTime{4000};
// Work that could run may wait this long.
inline constexpr milliseconds longestWait{3000};
// A lasting item may be restarted this long after its last run.
inline constexpr milliseconds restartTime{6000};
// There must be room for waiting work this many times over.
inline constexpr std::int64_t roomFactor = 2;

// What callers see of the jobs: the accepted ones, those that they cancelled, and the stored progress.
struct JobView {
    const std::vector<AcceptedJob> &jobs;
    const std::set<JobId> &cancelled;
    const std::map<JobId, JobProgress> &progress;
    // The placement policy allows the executor to run the job.
    std::function<bool(const AcceptedJob &, const FakeExecutor &)> isAllowed;
    WallTime wall{};

    bool isOpen(const JobId &id) const
    {
        const auto known = this->progress.find(id);
        return !this->cancelled.contains(id) && (known == this->progress.end() || !isFinal(known->second.state));
    }
    bool isDone(const ItemId &id) const
    {
        const auto known = this->progress.find(id.job);
        return known != this->progress.end() && std::any_of(known->second.items.begin(), known->second.items.end(), [&id](const ItemProgress &item) {
            return item.isDone && item.occurrence == id.occurrence && item.step == id.step && item.index == id.index;
        });
    }
    bool isStepDone(const AcceptedJob &job, std::int32_t occurrence, std::int32_t step) const
    {
        for (std::int32_t index = 0; index < job.spec.steps[static_cast<std::size_t>(step)].count; ++index) {
            if (!this->isDone(ItemId{job.id, occurrence, step, index})) {
                return false;
            }
        }
        return true;
    }
    bool isReady(const AcceptedJob &job, std::int32_t occurrence, std::int32_t step) const
    {
        const Recurrence &recurrence = job.spec.recurrence;
        if (recurrence.count > 0 && recurrence.first + occurrence * recurrence.interval > this->wall) {
            return false;
        }
        const std::vector<std::int32_t> &earlier = job.spec.steps[static_cast<std::size_t>(step)].dependsOn;
        return std::all_of(earlier.begin(), earlier.end(), [this, &job, occurrence](std::int32_t index) {
            return this->isStepDone(job, occurrence, index);
        });
    }
};

// Looks at all executors and jobs in short intervals and collects the work that could run and doesn't. It knows nothing of the schedulers.
class ProgressChecker
{
public:
    std::vector<std::string> violations;

    // Call it in intervals much shorter than `maxWait`. `calmSince` is the end of the last fault.
    void look(const std::vector<FakeExecutor> &executors, const JobView &view, milliseconds calmSince, milliseconds maxWait, milliseconds now)
    {
        std::set<ItemId> running;
        for (const FakeExecutor &executor : executors) {
            for (const auto &[item, run] : executor.running) {
                running.insert(item);
                this->lastRunning[item] = now;
            }
        }
        std::map<ItemId, milliseconds> stillWaiting;
        for (const AcceptedJob &job : view.jobs) {
            if (now - calmSince < contactTime || !view.isOpen(job.id)) {
                continue;
            }
            for (const ItemId &item : this->waitingWork(job, running, view, now)) {
                if (countPlaces(executors, view, job, item, now) < placesNeeded(job, item.step)) {
                    continue;
                }
                const auto known = this->waiting.find(item);
                const milliseconds since = known == this->waiting.end() ? now : known->second;
                stillWaiting.emplace(item, since);
                if (now - since >= maxWait) {
                    this->addViolation(job, item, since, now);
                }
            }
        }
        this->waiting = std::move(stillWaiting);
    }
    // Call it after a calm time that suffices for all work. Only work that no sound executor has room for may be left.
    void checkEverythingRan(const std::vector<FakeExecutor> &executors, const JobView &view, milliseconds now)
    {
        std::set<ItemId> running;
        for (const FakeExecutor &executor : executors) {
            for (const auto &[item, run] : executor.running) {
                running.insert(item);
            }
        }
        for (const AcceptedJob &job : view.jobs) {
            if (!view.isOpen(job.id)) {
                continue;
            }
            const std::vector<ItemId> waitingItems = this->waitingWork(job, running, view, now);
            const bool isFinite = !job.spec.steps.front().isLongRunning;
            const bool hasRoom = std::any_of(waitingItems.begin(), waitingItems.end(), [&](const ItemId &item) {
                return countPlaces(executors, view, job, item, now) >= placesNeeded(job, item.step);
            });
            if (hasRoom || (isFinite && waitingItems.empty())) {
                this->violations.push_back(describe(now, waitingItems.empty() ? ItemId{job.id, 0, 0, 0} : waitingItems.front())
                    + (isFinite ? " has not come to its end" : " is to last and doesn't run at the end") + describe(executors, now));
            }
        }
    }

private:
    std::vector<ItemId> waitingWork(const AcceptedJob &job, const std::set<ItemId> &running, const JobView &view, milliseconds now) const
    {
        std::vector<ItemId> items;
        for (std::int32_t occurrence = 0; occurrence < job.spec.occurrences(); ++occurrence) {
            for (std::int32_t step = 0; step < static_cast<std::int32_t>(job.spec.steps.size()); ++step) {
                const std::vector<ItemId> ofStep = this->waitingWork(job, occurrence, step, running, view, now);
                items.insert(items.end(), ofStep.begin(), ofStep.end());
            }
        }
        return items;
    }
    // Returns the lasting items of the step that wait, or its first item if it is a finite step of which nothing runs.
    std::vector<ItemId> waitingWork(
        const AcceptedJob &job, std::int32_t occurrence, std::int32_t step, const std::set<ItemId> &running, const JobView &view, milliseconds now) const
    {
        const StepSpec &spec = job.spec.steps[static_cast<std::size_t>(step)];
        std::vector<ItemId> items;
        if (!view.isReady(job, occurrence, step)) {
            return items;
        }
        for (std::int32_t index = 0; index < spec.count; ++index) {
            const ItemId item{job.id, occurrence, step, index};
            if (running.contains(item) && !spec.isLongRunning) {
                return {};
            }
            const bool isWaiting = spec.isLongRunning ? now - this->lastRunningAt(item) >= restartTime : !view.isDone(item) && items.empty();
            if (isWaiting) {
                items.push_back(item);
            }
        }
        return items;
    }
    milliseconds lastRunningAt(const ItemId &item) const
    {
        const auto known = this->lastRunning.find(item);
        return known == this->lastRunning.end() ? -restartTime : known->second;
    }

    static std::int64_t placesNeeded(const AcceptedJob &job, std::int32_t step)
    {
        const StepSpec &spec = job.spec.steps[static_cast<std::size_t>(step)];
        return roomFactor * (spec.isGang ? spec.count : 1);
    }
    // Returns for how many items of the step the sound executors have room.
    static std::int64_t countPlaces(
        const std::vector<FakeExecutor> &executors, const JobView &view, const AcceptedJob &job, const ItemId &item, milliseconds now)
    {
        const StepSpec &spec = job.spec.steps[static_cast<std::size_t>(item.step)];
        std::int64_t places = 0;
        for (const FakeExecutor &executor : executors) {
            const std::vector<std::string> &labels = executor.info.labels;
            const bool hasLabel = spec.requiredLabel.empty() || std::find(labels.begin(), labels.end(), spec.requiredLabel) != labels.end();
            if (now - executor.disturbedAt < contactTime || !hasLabel || !view.isAllowed(job, executor)) {
                continue;
            }
            const Resources free = executor.free();
            const Resources demand = demandOf(spec);
            std::int64_t here = std::min(free.cpu / std::max<std::int64_t>(1, demand.cpu), free.memory / std::max<std::int64_t>(1, demand.memory));
            if (spec.perExecutorLimit > 0) {
                const auto itemsHere = std::count_if(executor.running.begin(), executor.running.end(), [&item](const auto &run) {
                    return run.first.job == item.job && run.first.occurrence == item.occurrence && run.first.step == item.step;
                });
                here = std::min<std::int64_t>(here, spec.perExecutorLimit - itemsHere);
            }
            places += std::max<std::int64_t>(0, here);
        }
        return places;
    }

    static std::string describe(milliseconds now, const ItemId &item)
    {
        return std::to_string(now.count()) + " ms: " + item.job.value + "." + std::to_string(item.step) + "." + std::to_string(item.index);
    }
    static std::string describe(const std::vector<FakeExecutor> &executors, milliseconds now)
    {
        std::string text;
        for (const FakeExecutor &executor : executors) {
            text += ", " + executor.info.id.value + (now - executor.disturbedAt < contactTime ? " disturbed" : "") + " runs "
                + std::to_string(executor.running.size());
        }
        return text;
    }
    void addViolation(const AcceptedJob &job, const ItemId &item, milliseconds since, milliseconds now)
    {
        const StepSpec &spec = job.spec.steps[static_cast<std::size_t>(item.step)];
        this->violations.push_back(describe(now, item) + " could run and doesn't, since " + std::to_string(since.count()) + " ms; it needs ["
            + std::to_string(spec.resources.cpu) + ", " + std::to_string(spec.resources.memory) + "], " + std::to_string(spec.count) + " in its step"
            + (spec.isLongRunning ? ", it lasts" : ""));
    }

    std::map<ItemId, milliseconds> lastRunning;
    std::map<ItemId, milliseconds> waiting;
};

}
