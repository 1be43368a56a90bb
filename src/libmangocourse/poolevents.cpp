// State changes of runs, items, jobs and executors.
#include "poolscheduler_pvt.h"

#include <algorithm>

namespace MangoCourse {

namespace {

using std::chrono::milliseconds;

// Weight of a new observation in exponentially smoothed ratios.
constexpr double smoothingWeight = 0.2;
// An executor that has failed repeatedly is avoided for this long, well below the time within which waiting work has to start.
constexpr milliseconds failureCooldown{500};

}

WallTime dueTime(const JobSpec &spec, std::size_t occurrence)
{
    if (spec.recurrence.count == 0) {
        return WallTime{};
    }
    return spec.recurrence.first + static_cast<std::int64_t>(occurrence) * spec.recurrence.interval;
}

std::int64_t StepState::countFailedRuns() const
{
    std::set<std::int64_t> runs;
    std::int64_t forgotten = 0;
    for (const Item &item : this->items) {
        runs.insert(item.failedRuns.begin(), item.failedRuns.end());
        forgotten = std::max(forgotten, item.failures - static_cast<std::int64_t>(item.failedRuns.size()));
    }
    return static_cast<std::int64_t>(runs.size()) + forgotten;
}

void Item::addEarlierRun(EarlierRun earlier)
{
    const TimePoint now = earlier.knownAt;
    const bool isFull = this->earlierRuns.size() >= maxKnownEarlierRuns;
    const auto oldest = std::find_if(this->earlierRuns.begin(), this->earlierRuns.end(), [now](const EarlierRun &known) {
        return known.possiblyActiveUntil == TimePoint{} || known.possiblyActiveUntil < now;
    });
    if (isFull && oldest != this->earlierRuns.end()) {
        this->earlierRuns.erase(oldest);
        ++this->forgottenRuns;
    }
    this->earlierRuns.push_back(std::move(earlier));
}

void Item::clearPossibleRuns(const ExecutorId &executor, std::int64_t number, TimePoint now)
{
    for (EarlierRun &earlier : this->earlierRuns) {
        if (earlier.executor.id == executor && earlier.number <= number) {
            earlier.possiblyActiveUntil = std::min(earlier.possiblyActiveUntil, now);
        }
    }
}

void Item::extendPossibleRuns(TimePoint from, TimePoint until)
{
    for (EarlierRun &earlier : this->earlierRuns) {
        if (earlier.possiblyActiveUntil > from) {
            earlier.possiblyActiveUntil = std::max(earlier.possiblyActiveUntil, until);
        }
    }
}

void Item::clearPossibleRun(const ExecutorId &executor, std::int64_t number, TimePoint now)
{
    for (EarlierRun &earlier : this->earlierRuns) {
        if (earlier.executor.id == executor && earlier.number == number) {
            earlier.possiblyActiveUntil = std::min(earlier.possiblyActiveUntil, now);
        }
    }
}

Executor *PoolScheduler::Private::find(const ExecutorKey &key)
{
    const auto found = this->executors.find(key);
    return found == this->executors.end() ? nullptr : &found->second;
}

Run *PoolScheduler::Private::resolveOrder(
    const ExecutorKey &key, const ItemId &item, std::int64_t number, const OrderReply &reply, TimePoint sentAt, TimePoint now)
{
    Executor *executor = this->find(key);
    if (executor == nullptr) {
        return nullptr;
    }
    const auto found = executor->runs.find(item);
    const bool isKnown = found != executor->runs.end() && found->second.number == number;
    // The clock of an incarnation never goes back. That of a run which was found later than the order was sent may have been read after the answer.
    if (isKnown && sentAt >= found->second.adoptedAt && reply.clock && *reply.clock < found->second.clockBeforeOrders) {
        this->endIncarnation(*executor, now, true, "the next incarnation answered an order");
        return nullptr;
    }
    recordClock(*executor, reply.clock, now);
    return isKnown ? &found->second : nullptr;
}

JobEntry *PoolScheduler::Private::findJob(const JobId &id)
{
    const auto found = this->jobs.find(id);
    return found == this->jobs.end() ? nullptr : &found->second;
}

Item *PoolScheduler::Private::findItem(const ItemId &id)
{
    JobEntry *entry = this->findJob(id.job);
    if (entry == nullptr || id.occurrence < 0 || id.step < 0 || id.index < 0) {
        return nullptr;
    }
    if (static_cast<std::size_t>(id.occurrence) >= entry->occurrences.size()) {
        return nullptr;
    }
    OccurrenceState &occurrence = entry->occurrences[static_cast<std::size_t>(id.occurrence)];
    if (static_cast<std::size_t>(id.step) >= occurrence.steps.size()) {
        return nullptr;
    }
    std::vector<Item> &items = occurrence.steps[static_cast<std::size_t>(id.step)].items;
    return static_cast<std::size_t>(id.index) < items.size() ? &items[static_cast<std::size_t>(id.index)] : nullptr;
}

Item *PoolScheduler::Private::findReportedItem(const ItemId &id)
{
    JobEntry *entry = this->findJob(id.job);
    const bool isInherited = entry != nullptr && entry->isOpen() && entry->isInherited;
    if (isInherited && id.occurrence >= 0 && static_cast<std::size_t>(id.occurrence) < entry->occurrences.size()) {
        this->openOccurrence(*entry, static_cast<std::size_t>(id.occurrence));
    }
    return this->findItem(id);
}

const StepSpec &PoolScheduler::Private::stepOf(const ItemId &id)
{
    return this->jobs.at(id.job).job.spec.steps[static_cast<std::size_t>(id.step)];
}

void PoolScheduler::Private::markChanged(JobEntry &entry)
{
    this->changedJobs.insert(entry.job.id);
}

void PoolScheduler::Private::markPlaceable(JobEntry &entry)
{
    if (entry.isOpen()) {
        this->placeable.insert(&entry);
    }
}

void PoolScheduler::Private::emitEvent(const char *event, const ItemId &item, const Executor &executor, std::int64_t run, std::string outcome)
{
    if (this->observer) {
        this->observer(SchedulerEvent{event, item, executor.info.id, run, std::move(outcome)});
    }
}

void PoolScheduler::Private::openOccurrence(JobEntry &entry, std::size_t number)
{
    OccurrenceState &occurrence = entry.occurrences[number];
    if (occurrence.isOpen) {
        return;
    }
    if (!this->hasWaitingItem(entry)) {
        entry.waitingSince = TimePoint{};
    }
    occurrence.isOpen = true;
    occurrence.steps.resize(entry.job.spec.steps.size());
    for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
        occurrence.steps[step].items.resize(static_cast<std::size_t>(entry.job.spec.steps[step].count));
        for (Item &item : occurrence.steps[step].items) {
            item.lastRun = this->runNumberBase;
        }
    }
}

void PoolScheduler::Private::applyTerms(JobEntry &entry)
{
    if (!entry.job.terms) {
        const auto queue = this->queues.find(entry.job.queue);
        if (queue == this->queues.end()) {
            return;
        }
        entry.job.terms = queue->second.terms();
        this->markChanged(entry);
    }
    const JobTerms &terms = *entry.job.terms;
    entry.priority = terms.priority;
    entry.maxAttempts = std::max(1, terms.attempts);
    entry.hasPolicy = terms.hasPolicy;
    this->hasPolicyJobs = this->hasPolicyJobs || entry.hasPolicy;
    entry.durationRatio = &this->durationRatio.try_emplace(entry.job.queue, 1.0).first->second;
    const auto objective
        = milliseconds(static_cast<std::int64_t>(terms.slackFactor * static_cast<double>(entry.remainingCriticalPath.count()))) + terms.targetLatency;
    entry.deadline = after(entry.addedAt, objective);
}

milliseconds PoolScheduler::Private::expectedItemTime(const JobEntry &entry, const StepSpec &step) const
{
    const auto known = this->itemTimes.find(entry.job.queue);
    return known == this->itemTimes.end() ? step.estimate : known->second.expected(step.estimate);
}

milliseconds PoolScheduler::Private::expectedStepTime(const JobEntry &entry, const StepSpec &step) const
{
    const auto known = this->stepTimes.find(entry.job.queue);
    return known == this->stepTimes.end() ? step.estimate : known->second.expected(step.estimate);
}

void PoolScheduler::Private::recordClock(Executor &executor, const std::optional<milliseconds> &clock, TimePoint now)
{
    // Replies may overtake each other, and the next incarnation may have sent one.
    if (clock && (!executor.clock || *clock >= *executor.clock)) {
        executor.clock = clock;
        executor.firstClock = executor.firstClock.value_or(*clock);
        executor.clockReadAt = now;
    }
}

Run &PoolScheduler::Private::addRun(Executor &executor, const ItemId &id, std::int64_t number, TimePoint now)
{
    Item *item = this->findItem(id);
    const StepSpec &spec = this->stepOf(id);
    Run &run = executor.runs[id];
    run.item = id;
    run.number = number;
    run.phase = RunPhase::Running;
    run.startedAt = now;
    run.orderResolvedAt = now;
    run.seenAt = now;
    run.clockBeforeOrders = executor.clock.value_or(milliseconds::zero());
    run.resources = spec.resources;
    if (spec.isBestEffort) {
        run.resources.cpu = 0;
    }
    run.isBestEffort = spec.isBestEffort;
    run.isLongRunning = spec.isLongRunning;
    run.tailLatencyTarget = spec.tailLatencyTarget;
    run.expectedDuration = this->expectedItemTime(this->jobs.at(id.job), spec);
    executor.used += run.resources;
    this->countRun(run, id);
    run.share = this->jobs.at(id.job).share;
    run.share->running += run.resources;
    executor.bestEffortRuns += run.isBestEffort ? 1 : 0;
    if (executor.runs.size() == 1) {
        // The lease of an idle executor is not renewed, so renewal has to begin now.
        this->pendingRenewals.insert(executor.key());
    }
    item->lastRun = std::max(item->lastRun, number);
    item->clearPossibleRuns(executor.info.id, number, now);
    item->runningOn.push_back(executor.key());
    if (item->phase == ItemPhase::Waiting) {
        item->phase = ItemPhase::Active;
    }
    return run;
}

void PoolScheduler::Private::removeRun(
    Executor &executor, std::map<ItemId, Run>::iterator run, std::string_view reason, TimePoint knownAt, TimePoint possiblyActiveUntil)
{
    if (Item *item = this->findItem(run->first)) {
        item->addEarlierRun(EarlierRun{executor.key(), run->second.number, reason, knownAt, possiblyActiveUntil});
    }
    this->withdrawRun(executor, run);
}

void PoolScheduler::Private::withdrawRun(Executor &executor, std::map<ItemId, Run>::iterator run)
{
    const ItemId id = run->first;
    executor.used -= run->second.resources;
    uncountRun(run->second);
    run->second.share->running -= run->second.resources;
    executor.bestEffortRuns -= run->second.isBestEffort ? 1 : 0;
    executor.stoppingRuns -= run->second.phase == RunPhase::Stopping ? 1 : 0;
    executor.runs.erase(run);
    Item *item = this->findItem(id);
    if (item == nullptr) {
        return;
    }
    std::erase(item->runningOn, executor.key());
    if (item->runningOn.empty() && item->phase == ItemPhase::Active) {
        item->phase = ItemPhase::Waiting;
        JobEntry &entry = *this->findJob(id.job);
        entry.waitingSince = TimePoint{};
        this->markPlaceable(entry);
    }
}

void PoolScheduler::Private::requestStop(Executor &executor, Run &run, const char *reason)
{
    if (run.phase == RunPhase::Stopping) {
        return;
    }
    run.phase = RunPhase::Stopping;
    ++executor.stoppingRuns;
    run.isStopConfirmed = false;
    run.stopSentAt = TimePoint{};
    this->emitEvent("stop_requested", run.item, executor, run.number, reason);
}

void PoolScheduler::Private::stopOtherCopies(const ItemId &id, const Executor &except, const char *reason)
{
    const Item *item = this->findItem(id);
    if (item == nullptr) {
        return;
    }
    for (const ExecutorKey &key : item->runningOn) {
        if (key == except.key()) {
            continue;
        }
        if (Executor *other = this->find(key)) {
            this->requestStop(*other, other->runs.at(id), reason);
        }
    }
}

void PoolScheduler::Private::updateDurationRatios(Executor &executor, const Run &run, TimePoint now)
{
    if (run.isLongRunning || run.expectedDuration.count() <= 0 || run.startedAt == TimePoint{}) {
        return;
    }
    const double actual = std::chrono::duration<double, std::milli>(now - run.startedAt).count();
    const double ratio = std::clamp(actual / static_cast<double>(run.expectedDuration.count()), 0.1, 20.0);
    double &queueRatio = this->durationRatio.try_emplace(this->jobs.at(run.item.job).job.queue, 1.0).first->second;
    const StepSpec &spec = this->stepOf(run.item);
    const auto runTime = millisecondsBetween(run.startedAt, now);
    this->itemTimes[this->jobs.at(run.item.job).job.queue].add(spec.estimate, runTime);
    StepState &step = this->jobs.at(run.item.job).occurrences[static_cast<std::size_t>(run.item.occurrence)].steps[static_cast<std::size_t>(run.item.step)];
    step.longestRun = std::max(step.longestRun, runTime);
    executor.slowness += smoothingWeight * (ratio / std::max(queueRatio, 0.1) - executor.slowness);
    queueRatio += smoothingWeight * (std::min(ratio, 4.0) - queueRatio);
}

void PoolScheduler::Private::finishJob(JobEntry &entry, JobState state, TimePoint now, WallTime wallNow)
{
    if (!entry.isOpen()) {
        return;
    }
    entry.state = state;
    entry.endedAt = wallNow;
    this->openJobs.erase(entry.job.id);
    this->shares.removeOpenJob(*entry.share);
    this->placeable.erase(&entry);
    this->markChanged(entry);
    this->isUrgent = true;
    this->emitJobDecided(entry, now);
    const char *reason = state == JobState::Cancelled ? "the job was cancelled" : "the job has ended";
    ItemId id{entry.job.id, 0, 0, 0};
    for (id.occurrence = 0; static_cast<std::size_t>(id.occurrence) < entry.occurrences.size(); ++id.occurrence) {
        const auto &steps = entry.occurrences[static_cast<std::size_t>(id.occurrence)].steps;
        for (id.step = 0; static_cast<std::size_t>(id.step) < steps.size(); ++id.step) {
            this->stopStep(id, steps[static_cast<std::size_t>(id.step)], reason);
        }
    }
}

void PoolScheduler::Private::stopStep(ItemId id, const StepState &step, const char *reason)
{
    for (id.index = 0; static_cast<std::size_t>(id.index) < step.items.size(); ++id.index) {
        for (const ExecutorKey &key : step.items[static_cast<std::size_t>(id.index)].runningOn) {
            Executor &executor = *this->find(key);
            this->requestStop(executor, executor.runs.at(id), reason);
        }
    }
}

void PoolScheduler::Private::markStarted(JobEntry &entry, TimePoint now)
{
    if (!entry.hasStarted && entry.isOpen()) {
        entry.hasStarted = true;
        entry.firstStartAt = now;
        entry.state = JobState::Running;
        this->markChanged(entry);
    }
}

void PoolScheduler::Private::emitJobDecided(const JobEntry &entry, TimePoint now) const
{
    if (!this->observer) {
        return;
    }
    const auto since = [&entry](TimePoint at) {
        return std::to_string(std::chrono::duration_cast<milliseconds>(at - entry.addedAt).count());
    };
    std::string text = std::string(toString(entry.state)) + " after " + since(now) + " ms";
    text += entry.firstStartAt == TimePoint{} ? ", not started by this owner" : ", begun after " + since(entry.firstStartAt) + " ms";
    text += ", objective " + since(entry.deadline) + " ms";
    this->observer(SchedulerEvent{"job_decided", ItemId{entry.job.id, 0, 0, 0}, {}, 0, std::move(text)});
}

void PoolScheduler::Private::completeJobIfDone(JobEntry &entry, TimePoint now, WallTime wallNow)
{
    for (const OccurrenceState &occurrence : entry.occurrences) {
        if (!occurrence.isOpen) {
            return;
        }
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
            if (occurrence.steps[step].done < entry.job.spec.steps[step].count) {
                return;
            }
        }
    }
    this->finishJob(entry, JobState::Completed, now, wallNow);
}

void PoolScheduler::Private::completeItem(Executor &executor, const ReportedEnd &end, TimePoint now, WallTime wallNow)
{
    executor.failedJobs.clear();
    JobEntry &entry = *this->findJob(end.item.job);
    StepState &step = entry.occurrences[static_cast<std::size_t>(end.item.occurrence)].steps[static_cast<std::size_t>(end.item.step)];
    const StepSpec &spec = entry.job.spec.steps[static_cast<std::size_t>(end.item.step)];
    this->markChanged(entry);
    if (spec.isLongRunning) {
        return;
    }
    const std::size_t first = spec.isGang ? 0 : static_cast<std::size_t>(end.item.index);
    const std::size_t last = spec.isGang ? step.items.size() : first + 1;
    for (std::size_t index = first; index < last; ++index) {
        Item &item = step.items[index];
        if (item.phase == ItemPhase::Done) {
            continue;
        }
        item.phase = ItemPhase::Done;
        ++step.done;
        ItemId id = end.item;
        id.index = static_cast<std::int32_t>(index);
        if (!spec.isGang) {
            this->stopOtherCopies(id, executor, "another copy of the item is done");
        }
    }
    if (entry.isOpen() && step.done >= spec.count) {
        this->stepTimes[entry.job.queue].add(spec.estimate, step.longestRun);
        entry.remainingCriticalPath = this->computeCriticalPath(entry);
        entry.waitingSince = TimePoint{};
        this->markPlaceable(entry);
        this->completeJobIfDone(entry, now, wallNow);
    }
}

void PoolScheduler::Private::countFailureAgainst(Executor &executor, const ReportedEnd &end, const Item &item, TimePoint now)
{
    if (!item.lastFailedOn.isEmpty() && item.lastFailedOn != executor.info.id) {
        // The item fails on several executors, so it is at fault itself.
        for (auto &[key, other] : this->executors) {
            if (key.id == item.lastFailedOn) {
                other.failedJobs.erase(end.item.job);
            }
        }
        return;
    }
    executor.failedJobs.insert(end.item.job);
    if (executor.hasFailedRepeatedly()) {
        executor.avoidedUntil = after(now, failureCooldown);
        this->emitEvent("executor_avoided", end.item, executor, end.run, "items of several jobs failed in a row");
    }
}

void PoolScheduler::Private::recordItemFailure(Executor &executor, const ReportedEnd &end, TimePoint now, WallTime wallNow)
{
    JobEntry &entry = *this->findJob(end.item.job);
    const StepSpec &spec = entry.job.spec.steps[static_cast<std::size_t>(end.item.step)];
    Item &item = *this->findItem(end.item);
    this->countFailureAgainst(executor, end, item, now);
    item.lastFailedOn = executor.info.id;
    this->markChanged(entry);
    if (spec.isLongRunning || item.phase == ItemPhase::Done) {
        return;
    }
    // Ends that were not acknowledged are reported again, also to the next owner.
    const bool isBeforeKnownRuns = item.failedRuns.size() >= maxKnownFailedRuns && end.run < item.failedRuns.front();
    const auto known = std::lower_bound(item.failedRuns.begin(), item.failedRuns.end(), end.run);
    if (isBeforeKnownRuns || (known != item.failedRuns.end() && *known == end.run)) {
        return;
    }
    item.failedRuns.insert(known, end.run);
    if (item.failedRuns.size() > maxKnownFailedRuns) {
        item.failedRuns.erase(item.failedRuns.begin());
    }
    ++item.failures;
    std::int64_t failures = item.failures;
    if (spec.isGang) {
        failures = entry.occurrences[static_cast<std::size_t>(end.item.occurrence)].steps[static_cast<std::size_t>(end.item.step)].countFailedRuns();
    }
    if (failures >= entry.maxAttempts) {
        item.phase = ItemPhase::Failed;
        this->finishJob(entry, JobState::Failed, now, wallNow);
    }
}

void PoolScheduler::Private::handleRunEnd(Executor &executor, const ReportedEnd &end, TimePoint now, WallTime wallNow)
{
    Item *item = this->findReportedItem(end.item);
    if (item == nullptr) {
        return;
    }
    if (!end.checkpoint.empty()) {
        item->checkpoint = end.checkpoint;
    }
    item->lastRun = std::max(item->lastRun, end.run);
    const auto run = executor.runs.find(end.item);
    const bool isKnown = run != executor.runs.end() && run->second.number <= end.run;
    if (isKnown && end.end == RunEnd::Done) {
        this->updateDurationRatios(executor, run->second, now);
    }
    static constexpr const char *names[] = {"done", "failed", "stopped", "lapsed", "broken", "alone"};
    this->emitEvent("run_ended", end.item, executor, end.run, names[static_cast<int>(end.end)]);
    if (isKnown) {
        this->removeRun(executor, run, names[static_cast<int>(end.end)], now);
    }
    if (end.end == RunEnd::Done) {
        this->completeItem(executor, end, now, wallNow);
    } else if (end.end == RunEnd::Failed) {
        this->recordItemFailure(executor, end, now, wallNow);
    }
}

}
