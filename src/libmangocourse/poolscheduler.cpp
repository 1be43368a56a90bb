// What executors, callers and discovery tell the pool scheduler, and what it tells them.
#include "poolscheduler_pvt.h"

#include <algorithm>

namespace MangoCourse {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds leaseRounding{60};

}

PoolScheduler::PoolScheduler(std::unique_ptr<Private> impl)
    : d(std::move(impl))
{
}

PoolScheduler::~PoolScheduler() = default;

Result<std::unique_ptr<PoolScheduler>> PoolScheduler::create(
    ServiceId service, SchedulerSettings settings, std::int64_t token, std::int64_t runNumberBase, TimePoint previousLeasesExpireAt)
{
    if (settings.leaseLength <= milliseconds::zero() || settings.maxLeaseLength < settings.leaseLength) {
        return makeError(ErrorCode::InvalidArgument, "must be positive and at most the longest lease", "leaseLength");
    }
    auto impl = std::make_unique<Private>();
    impl->service = std::move(service);
    impl->settings = settings;
    impl->token = token;
    impl->runNumberBase = runNumberBase;
    impl->previousLeasesExpireAt = previousLeasesExpireAt;
    return std::unique_ptr<PoolScheduler>(new PoolScheduler(std::move(impl)));
}

void PoolScheduler::setObserver(std::function<void(const SchedulerEvent &)> observer)
{
    this->d->observer = std::move(observer);
}

void PoolScheduler::setConfig(const FleetConfig &config)
{
    this->d->queues.clear();
    for (const QueueConfig &queue : config.queues) {
        this->d->queues.emplace(queue.id, queue);
    }
}

void PoolScheduler::setExecutors(const std::vector<ExecutorInfo> &executors, TimePoint now)
{
    for (auto &[key, executor] : this->d->executors) {
        executor.isListed = false;
    }
    for (const ExecutorInfo &info : executors) {
        const bool isEnded = includesIncarnation(this->d->evacuations.ended, info.id, info.incarnation);
        if (info.service != this->d->service || isEnded) {
            continue;
        }
        const ExecutorKey key{info.id, info.incarnation};
        const auto [known, isNew] = this->d->executors.try_emplace(key);
        Executor &executor = known->second;
        if (isNew) {
            executor.ordinal = ++this->d->lastOrdinal;
            this->d->isExecutorSetChanged = true;
            this->d->renewalsWanted.insert(key);
        }
        if (executor.isIndexed && executor.indexedLabels != info.labels) {
            this->d->index.remove(executor);
        }
        executor.info = info;
        executor.isListed = !executor.isOver;
        // In use again: a deletion that nobody has taken yet would leave it without a record.
        std::erase(this->d->forgotten, key);
    }
    // A machine has one life at a time, so a newer one proves that the older is over.
    for (auto &[key, executor] : this->d->executors) {
        if (executor.isListed) {
            continue;
        }
        const bool isSucceeded = std::any_of(executors.begin(), executors.end(), [&executor = executor](const ExecutorInfo &info) {
            return info.incarnation > executor.info.incarnation && (info.id == executor.info.id || (!info.machine.isEmpty() && info.machine == executor.info.machine));
        });
        if (isSucceeded) {
            this->d->endLife(executor, now, "the machine has started anew");
        }
    }
    std::erase_if(this->d->earlier, [this, &executors](const auto &entry) {
        const auto &[key, machine] = entry;
        const bool isEnded = includesIncarnation(this->d->evacuations.ended, key.id, key.incarnation);
        const bool isOver = isEnded || std::any_of(executors.begin(), executors.end(), [&key = key, &machine = machine](const ExecutorInfo &info) {
            const bool isSameMachine = info.id == key.id || (!machine.isEmpty() && info.machine == machine);
            return isSameMachine && info.incarnation > key.incarnation;
        });
        if (isOver && !this->d->executors.contains(key)) {
            this->d->forgotten.push_back(key);
        }
        return isOver;
    });
    for (auto known = this->d->executors.begin(); known != this->d->executors.end();) {
        Executor &executor = known->second;
        // What an earlier owner gave a silent executor ends only with the longest lease.
        const bool isClear = executor.isContacted || now >= this->d->previousLeasesExpireAt;
        const bool isOver = !executor.isListed && executor.runs.empty() && executor.leaseEnd < now && isClear;
        if (!isOver) {
            ++known;
            continue;
        }
        if (executor.isRecorded) {
            this->d->forgotten.push_back(known->first);
        }
        this->d->index.remove(executor);
        this->d->isExecutorSetChanged = true;
        // Its renewing ends.
        this->d->renewalsWanted.insert(known->first);
        known = this->d->executors.erase(known);
    }
    if (now >= this->d->previousLeasesExpireAt) {
        for (const auto &[key, machine] : std::exchange(this->d->earlier, {})) {
            const bool isNoted = std::find(this->d->forgotten.begin(), this->d->forgotten.end(), key) != this->d->forgotten.end();
            if (!isNoted && !this->d->executors.contains(key)) {
                this->d->forgotten.push_back(key);
            }
        }
    }
}

void PoolScheduler::setPreviousExecutors(const std::map<ExecutorKey, ExecutorLocation> &used)
{
    this->d->earlier.clear();
    for (const auto &[key, place] : used) {
        if (place.service == this->d->service) {
            this->d->earlier.emplace(key, place.machine);
        }
    }
}

void PoolScheduler::setEvacuations(const EvacuationList &list, TimePoint now)
{
    this->d->evacuations = list;
    for (auto &[key, executor] : this->d->executors) {
        if (includesIncarnation(list.ended, key.id, key.incarnation)) {
            this->d->endLife(executor, now, "its machine was ordered away");
        }
    }
    std::erase_if(this->d->earlier, [this, &list](const auto &entry) {
        const bool isEnded = includesIncarnation(list.ended, entry.first.id, entry.first.incarnation);
        if (isEnded && !this->d->executors.contains(entry.first)) {
            this->d->forgotten.push_back(entry.first);
        }
        return isEnded;
    });
}

void PoolScheduler::setUpcomingMaintenance(std::map<MachineId, WallTime> due)
{
    this->d->due = std::move(due);
}

void PoolScheduler::addJob(const AcceptedJob &job, const JobProgress *progress, TimePoint now, WallTime wallNow)
{
    if (this->d->jobs.contains(job.id)) {
        return;
    }
    JobEntry &entry = this->d->jobs[job.id];
    entry.job = job;
    const auto age = std::max(milliseconds::zero(), wallNow - job.acceptedAt);
    entry.addedAt = now - std::chrono::duration_cast<Duration>(age);
    entry.occurrences.resize(static_cast<std::size_t>(job.spec.occurrences()));
    if (progress != nullptr && isFinal(progress->state)) {
        entry.state = progress->state;
        entry.endedAt = progress->endedAt;
        return;
    }
    this->d->open.insert(job.id);
    this->d->wantPlacement(entry);
    this->d->noteArrival(entry, now);
    if (job.spec.recurrence.count == 0) {
        this->d->openOccurrence(entry, 0);
    }
    entry.chainLeft = this->d->remainingChain(entry);
    this->d->readQueue(entry);
    if (progress == nullptr) {
        this->d->touch(entry);
        return;
    }
    entry.state = progress->state;
    entry.hasRun = progress->state != JobState::Queued;
    entry.isInherited = progress->mayHaveStarted;
    entry.isAnnounced = progress->mayHaveStarted;
    entry.mayStart = progress->mayHaveStarted;
    for (const ItemProgress &known : progress->items) {
        if (known.occurrence < 0 || static_cast<std::size_t>(known.occurrence) >= entry.occurrences.size()) {
            continue;
        }
        this->d->openOccurrence(entry, static_cast<std::size_t>(known.occurrence));
        Item *item = this->d->findItem(ItemId{job.id, known.occurrence, known.step, known.index});
        if (item == nullptr) {
            continue;
        }
        item->failures = known.failures;
        item->failedRuns = known.failedRuns;
        for (const std::int64_t run : known.failedRuns) {
            item->lastRun = std::max(item->lastRun, run);
        }
        StepState &step = entry.occurrences[static_cast<std::size_t>(known.occurrence)].steps[static_cast<std::size_t>(known.step)];
        if (entry.job.spec.steps[static_cast<std::size_t>(known.step)].isGang) {
            step.gangFailures += known.failures;
        }
        if (known.isDone && item->phase != ItemPhase::Done) {
            item->phase = ItemPhase::Done;
            ++step.done;
        }
    }
    entry.chainLeft = this->d->remainingChain(entry);
}

void PoolScheduler::cancelJob(const JobId &job, TimePoint now, WallTime wallNow)
{
    if (JobEntry *entry = this->d->findJob(job)) {
        this->d->finishJob(*entry, JobState::Cancelled, now, wallNow);
    }
}

std::vector<JobId> PoolScheduler::removeJobsEndedBefore(WallTime bound)
{
    std::vector<JobId> forgotten;
    for (const auto &[id, entry] : this->d->jobs) {
        if (!entry.isOpen() && entry.endedAt < bound && !this->d->changed.contains(id)) {
            forgotten.push_back(id);
        }
    }
    for (const JobId &id : forgotten) {
        this->d->placeable.erase(this->d->findJob(id));
        this->d->jobs.erase(id);
    }
    return forgotten;
}

void PoolScheduler::onReport(const ExecutorKey &key, const ExecutorReport &report, TimePoint sentAt, TimePoint now, WallTime wallNow)
{
    Executor *executor = this->d->find(key);
    if (executor == nullptr) {
        return;
    }
    if (report.outcome != OrderOutcome::Done) {
        if (executor->failingSince == TimePoint{}) {
            executor->failingSince = now;
        }
        if (report.outcome == OrderOutcome::OtherBoot) {
            this->d->endLife(*executor, now, "another boot answers at its address");
        }
        return;
    }
    if (report.incarnation != 0 && report.incarnation != key.incarnation) {
        this->d->endLife(*executor, now, "the executor has started anew");
        return;
    }
    executor->failingSince = TimePoint{};
    if (!executor->isContacted) {
        executor->isContacted = true;
        this->d->renewalsWanted.insert(key);
    }
    executor->acknowledgedEnd = executor->sentEnd;
    this->d->noteClock(*executor, report.clock, now);
    for (const ReportedEnd &end : report.ended) {
        if (end.number > executor->processedEnd) {
            this->d->endRun(*executor, end, now, wallNow);
            executor->processedEnd = end.number;
        }
    }
    for (auto &[id, run] : executor->runs) {
        run.isListed = false;
    }
    std::map<ItemId, std::pair<std::int64_t, TimePoint>> orphans;
    for (const ReportedRun &reported : report.running) {
        Item *item = this->d->findItem(reported.item);
        if (item == nullptr) {
            orphans.try_emplace(reported.item, reported.run, TimePoint{});
            continue;
        }
        const auto known = executor->runs.find(reported.item);
        const bool isAdopted = known == executor->runs.end();
        Run &run = isAdopted ? this->d->adopt(*executor, reported.item, reported.run, now) : known->second;
        if (isAdopted) {
            run.adoptedAt = now;
            // Whoever started it may have given it the longest lease.
            executor->leaseEnd
                = std::max(executor->leaseEnd, after(now, this->d->settings.maxLeaseLength * (1.0 + this->d->settings.clockDrift) + leaseRounding));
        }
        run.number = std::max(run.number, reported.run);
        run.isListed = true;
        run.percent = reported.percent;
        run.load = reported.load;
        if (run.phase == RunPhase::Starting || run.phase == RunPhase::Unsure) {
            run.phase = RunPhase::Running;
            run.startedAt = run.startedAt == TimePoint{} ? now : run.startedAt;
        }
        if (!reported.checkpoint.empty()) {
            item->checkpoint = reported.checkpoint;
        }
        JobEntry &entry = *this->d->findJob(reported.item.job);
        const bool isNeedless = !entry.isOpen() || item->phase == ItemPhase::Done
            || (item->where.size() > 1 && item->where.front() != key && !this->d->stepOf(reported.item).isSpeculative);
        if (isNeedless) {
            this->d->requestStop(*executor, run, "not needed");
        }
        this->d->noteBegun(entry, now);
    }
    for (auto &[id, orphan] : orphans) {
        const auto before = executor->orphans.find(id);
        orphan.second = before != executor->orphans.end() ? before->second.second : TimePoint{};
    }
    executor->orphans = std::move(orphans);
    for (auto run = executor->runs.begin(); run != executor->runs.end();) {
        const auto current = run++;
        Run &state = current->second;
        if (state.isListed || sentAt <= state.settledAt) {
            continue;
        }
        // Neither running nor ended: an order that got no answer has not arrived.
        if (state.phase == RunPhase::Unsure) {
            this->d->requestStop(*executor, state, "the start got no answer");
        } else if (state.phase == RunPhase::Stopping && state.isStopConfirmed) {
            this->d->note("run_lost", state.item, *executor, state.number, "it never started");
            this->d->release(*executor, current);
        }
    }
}

void PoolScheduler::onStarted(const ExecutorKey &key, const StartRun &order, const OrderReply &reply, TimePoint sentAt, TimePoint now)
{
    Run *run = this->d->settle(key, order.item, order.run, reply, now);
    if (run == nullptr) {
        return;
    }
    Executor *executor = this->d->find(key);
    run->settledAt = now;
    switch (reply.outcome) {
    case OrderOutcome::Done:
        if (run->phase == RunPhase::Starting) {
            run->phase = RunPhase::Running;
        }
        run->startedAt = sentAt;
        this->d->noteBegun(*this->d->findJob(order.item.job), now);
        return;
    case OrderOutcome::Unknown:
        if (run->phase == RunPhase::Starting) {
            run->phase = RunPhase::Unsure;
        }
        executor->avoidedUntil = std::max(executor->avoidedUntil, after(now, milliseconds(500)));
        this->d->note("start_unanswered", order.item, *executor, order.run, "may run");
        return;
    case OrderOutcome::Stale:
    case OrderOutcome::Late:
    case OrderOutcome::NoRoom:
    case OrderOutcome::NoPass:
    case OrderOutcome::Fenced:
    case OrderOutcome::OtherBoot:
    case OrderOutcome::Invalid:
    case OrderOutcome::Unhealthy:
    case OrderOutcome::NotSent:
        break;
    }
    const milliseconds pause = reply.outcome == OrderOutcome::Unhealthy || reply.outcome == OrderOutcome::NotSent ? milliseconds(1000) : milliseconds(100);
    executor->avoidedUntil = std::max(executor->avoidedUntil, after(now, pause));
    this->d->note("start_refused", order.item, *executor, order.run, std::string(toString(reply.outcome)));
    this->d->release(*executor, executor->runs.find(order.item));
}

void PoolScheduler::onStopped(const ExecutorKey &key, const StopRun &order, const OrderReply &reply, TimePoint now)
{
    Run *run = this->d->settle(key, order.item, order.run, reply, now);
    if (run != nullptr && reply.outcome == OrderOutcome::Done) {
        run->isStopConfirmed = true;
        run->settledAt = now;
    }
}

void PoolScheduler::onPolicyAnswer(const ItemId &step, const PolicyAnswer &answer, TimePoint now)
{
    JobEntry *entry = this->d->findJob(step.job);
    if (entry == nullptr || static_cast<std::size_t>(step.occurrence) >= entry->occurrences.size()) {
        return;
    }
    OccurrenceState &occurrence = entry->occurrences[static_cast<std::size_t>(step.occurrence)];
    if (!occurrence.isOpen || static_cast<std::size_t>(step.step) >= occurrence.steps.size()) {
        return;
    }
    StepState &state = occurrence.steps[static_cast<std::size_t>(step.step)];
    state.isPolicyAsked = false;
    state.passes.clear();
    for (const PlacementPass &pass : answer.passes) {
        state.passes[pass.executor] = pass.pass;
    }
    state.passesUntil = after(now, answer.validity);
    this->d->wantPlacement(*entry);
}

std::vector<ExecutorKey> PoolScheduler::executors() const
{
    std::vector<ExecutorKey> keys;
    for (const auto &[key, executor] : this->d->executors) {
        keys.push_back(key);
    }
    return keys;
}

bool PoolScheduler::hasExecutor(const ExecutorKey &executor) const
{
    return this->d->executors.contains(executor);
}

bool PoolScheduler::takeExecutorSetChanged()
{
    return std::exchange(this->d->isExecutorSetChanged, false);
}

std::vector<ExecutorKey> PoolScheduler::takePendingRenewals()
{
    std::vector<ExecutorKey> wanted(this->d->renewalsWanted.begin(), this->d->renewalsWanted.end());
    this->d->renewalsWanted.clear();
    return wanted;
}

std::vector<ExecutorKey> PoolScheduler::takeUnrecordedExecutors()
{
    std::vector<ExecutorKey> used;
    for (auto &[key, executor] : this->d->executors) {
        if (executor.isListed && !executor.isAnnounced) {
            executor.isAnnounced = true;
            used.push_back(key);
        }
    }
    return used;
}

void PoolScheduler::markRecorded(const ExecutorKey &executor)
{
    if (Executor *known = this->d->find(executor)) {
        known->isRecorded = true;
    }
}

std::vector<ExecutorKey> PoolScheduler::takeEndedExecutors()
{
    return std::exchange(this->d->forgotten, {});
}

std::vector<JobProgress> PoolScheduler::takeChangedJobs()
{
    std::vector<JobProgress> result;
    for (const JobId &id : this->d->changed) {
        const JobEntry *entry = this->d->findJob(id);
        if (entry == nullptr) {
            continue;
        }
        JobProgress progress{id, entry->job.queue, entry->job.service, entry->state, entry->isAnnounced, entry->endedAt, {}};
        for (std::size_t occurrence = 0; entry->isOpen() && occurrence < entry->occurrences.size(); ++occurrence) {
            const auto &steps = entry->occurrences[occurrence].steps;
            for (std::size_t step = 0; step < steps.size(); ++step) {
                for (std::size_t index = 0; index < steps[step].items.size(); ++index) {
                    const Item &item = steps[step].items[index];
                    if (item.phase == ItemPhase::Done || item.failures > 0) {
                        progress.items.push_back(ItemProgress{static_cast<std::int32_t>(occurrence), static_cast<std::int32_t>(step),
                            static_cast<std::int32_t>(index), item.phase == ItemPhase::Done, item.failures, item.failedRuns});
                    }
                }
            }
        }
        result.push_back(std::move(progress));
    }
    this->d->changed.clear();
    this->d->isUrgent = false;
    for (const JobId &id : this->d->announced) {
        if (JobEntry *entry = this->d->findJob(id)) {
            entry->isAnnouncementCollected = true;
        }
    }
    for (auto &[key, executor] : this->d->executors) {
        executor.collectedEnd = executor.processedEnd;
    }
    return result;
}

void PoolScheduler::markPersisted()
{
    for (auto &[key, executor] : this->d->executors) {
        if (executor.persistedEnd != executor.collectedEnd) {
            executor.persistedEnd = executor.collectedEnd;
            this->d->renewalsWanted.insert(key);
        }
    }
    std::erase_if(this->d->announced, [this](const JobId &id) {
        JobEntry *entry = this->d->findJob(id);
        const bool isSettled = entry == nullptr || entry->isAnnouncementCollected;
        if (entry != nullptr && isSettled) {
            entry->mayStart = true;
            this->d->wantPlacement(*entry);
        }
        return isSettled;
    });
}

bool PoolScheduler::hasChanges() const
{
    return !this->d->changed.empty();
}

bool PoolScheduler::hasUnpersistedEnds(const ExecutorKey &executor) const
{
    const Executor *known = this->d->find(executor);
    return known != nullptr && known->persistedEnd < known->processedEnd;
}

bool PoolScheduler::hasUrgentChange() const
{
    return this->d->isUrgent;
}

PoolSummary PoolScheduler::summary() const
{
    PoolSummary summary;
    summary.jobs = this->d->open.size();
    for (const auto &[key, executor] : this->d->executors) {
        if (executor.isListed && !executor.info.isDraining) {
            ++summary.executors;
            summary.capacity += executor.info.capacity;
        }
        summary.runs += executor.runs.size();
        summary.used += executor.used;
    }
    return summary;
}

}
