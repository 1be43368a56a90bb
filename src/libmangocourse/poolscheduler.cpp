// Jobs of the pool scheduler, reports and replies of executors, and queries of its state.
#include "poolscheduler_pvt.h"

#include <algorithm>

namespace MangoCourse {

using std::chrono::milliseconds;

PoolScheduler::PoolScheduler(std::unique_ptr<Private> impl)
    : d(std::move(impl))
{
}

PoolScheduler::~PoolScheduler() = default;

Result<std::unique_ptr<PoolScheduler>> PoolScheduler::create(
    ServiceId service, SchedulerSettings settings, std::int64_t ownershipToken, std::int64_t runNumberBase, TimePoint previousLeasesExpireAt)
{
    return create(std::move(service), settings, std::make_shared<FencingTokens>(ownershipToken), runNumberBase, previousLeasesExpireAt);
}

Result<std::unique_ptr<PoolScheduler>> PoolScheduler::create(
    ServiceId service, SchedulerSettings settings, std::shared_ptr<FencingTokens> tokens, std::int64_t runNumberBase, TimePoint previousLeasesExpireAt)
{
    if (!tokens) {
        return makeError(ErrorCode::InvalidArgument, "must be given", "tokens");
    }
    if (settings.leaseLength <= milliseconds::zero() || settings.maxLeaseLength < settings.leaseLength) {
        return makeError(ErrorCode::InvalidArgument, "must be positive and at most maxLeaseLength", "leaseLength");
    }
    auto impl = std::make_unique<Private>(std::move(service));
    impl->settings = settings;
    impl->tokens = std::move(tokens);
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
    for (const JobId &id : this->d->openJobs) {
        JobEntry &entry = *this->d->findJob(id);
        if (entry.durationRatio == nullptr) {
            // The job arrived before the configuration of its queue.
            this->d->applyTerms(entry);
        }
    }
    this->d->updatePolicies();
    if (this->d->quota.setConfig(config)) {
        this->d->startCounting();
    }
    this->d->updateWeights(config);
}

void PoolScheduler::addJob(const AcceptedJob &job, const JobProgress *progress, TimePoint now, WallTime wallNow)
{
    if (this->d->jobs.contains(job.id)) {
        return;
    }
    JobEntry &entry = this->d->jobs[job.id];
    entry.job = job;
    if (progress != nullptr && !progress->account.isEmpty()) {
        // The previous version moves submissions without their account.
        entry.job.account = progress->account;
    }
    entry.accountUse = this->d->quota.find(entry.job.account);
    entry.share = &this->d->shares.entry(entry.job.account);
    this->d->unmarkedJobs.push_back(&entry);
    const auto age = std::max(milliseconds::zero(), wallNow - job.acceptedAt);
    entry.addedAt = now - std::chrono::duration_cast<Duration>(age);
    entry.occurrences.resize(static_cast<std::size_t>(job.spec.occurrences()));
    if (progress != nullptr && isFinal(progress->state)) {
        entry.state = progress->state;
        entry.endedAt = progress->endedAt;
        return;
    }
    this->d->openJobs.insert(job.id);
    this->d->shares.addOpenJob(*entry.share);
    this->d->markPlaceable(entry);
    this->d->recordArrival(entry, now);
    if (job.spec.recurrence.count == 0) {
        this->d->openOccurrence(entry, 0);
    }
    entry.remainingCriticalPath = this->d->computeCriticalPath(entry);
    entry.isSubmittedWithTerms = job.terms.has_value();
    if (progress != nullptr && !entry.job.terms) {
        entry.job.terms = progress->terms;
    }
    this->d->applyTerms(entry);
    if (progress == nullptr) {
        this->d->markChanged(entry);
        return;
    }
    entry.state = progress->state;
    entry.hasStarted = progress->state != JobState::Queued;
    entry.isInherited = progress->mayHaveStarted;
    entry.hasStartIntent = progress->mayHaveStarted;
    entry.mayStart = progress->mayHaveStarted;
    if (progress->mayHaveStarted && progress->service != job.service) {
        // The next owner looks for the job's runs on the executors of the stored service.
        entry.mayStart = false;
        entry.earlierService = progress->service;
    }
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
        std::sort(item->failedRuns.begin(), item->failedRuns.end());
        for (const std::int64_t run : known.failedRuns) {
            item->lastRun = std::max(item->lastRun, run);
        }
        StepState &step = entry.occurrences[static_cast<std::size_t>(known.occurrence)].steps[static_cast<std::size_t>(known.step)];
        if (known.isDone && item->phase != ItemPhase::Done) {
            item->phase = ItemPhase::Done;
            ++step.done;
        }
    }
    entry.remainingCriticalPath = this->d->computeCriticalPath(entry);
}

bool PoolScheduler::hasJob(const JobId &job) const
{
    return this->d->jobs.contains(job);
}

void PoolScheduler::cancelJob(const JobId &job, TimePoint now, WallTime wallNow)
{
    if (JobEntry *entry = this->d->findJob(job)) {
        this->d->finishJob(*entry, JobState::Cancelled, now, wallNow);
    }
}

std::vector<JobId> PoolScheduler::removeJobsEndedBefore(WallTime bound)
{
    this->d->markJobsBeyondRate();
    std::vector<JobId> removed;
    for (const auto &[id, entry] : this->d->jobs) {
        if (!entry.isOpen() && entry.endedAt < bound && !this->d->changedJobs.contains(id)) {
            removed.push_back(id);
        }
    }
    for (const JobId &id : removed) {
        this->d->placeable.erase(this->d->findJob(id));
        this->d->jobs.erase(id);
    }
    return removed;
}

void PoolScheduler::onReport(const ExecutorKey &key, const ExecutorReport &report, TimePoint sentAt, TimePoint now, WallTime wallNow)
{
    Executor *executor = this->d->find(key);
    const bool isOwnReport = report.outcome == OrderOutcome::Done && (report.incarnation == 0 || report.incarnation == key.incarnation);
    if (!isOwnReport) {
        this->d->recordStrayLease(key, report.outcome, now);
    }
    if (executor == nullptr || report.outcome == OrderOutcome::Fenced) {
        // The executor is up. A renewal that it has refused now may have extended a lease before a later call overtook it.
        return;
    }
    if (report.outcome != OrderOutcome::Done) {
        if (executor->failingSince == TimePoint{}) {
            executor->failingSince = now;
            this->d->noteUnreachable(*executor, report.outcome, now);
        }
        if (report.outcome == OrderOutcome::OtherBoot) {
            this->d->endIncarnation(*executor, now, false, "another executor answers at its address");
        }
        return;
    }
    if (report.incarnation != 0 && report.incarnation != key.incarnation) {
        this->d->endIncarnation(*executor, now, true, "the executor has restarted");
        for (const ReportedRun &reported : report.running) {
            this->d->holdForNextIncarnation(ExecutorKey{key.id, report.incarnation}, reported.item, reported.run, now, now);
        }
        for (const ReportedEnd &end : report.ended) {
            this->d->holdForNextIncarnation(ExecutorKey{key.id, report.incarnation}, end.item, end.run, now, now);
        }
        return;
    }
    this->d->noteReachable(*executor, now);
    executor->failingSince = TimePoint{};
    if (executor->isSilenceRecorded && !executor->hasAnsweredSinceSilence) {
        executor->hasAnsweredSinceSilence = true;
        executor->isRecordRequested = false;
        executor->isRecorded = false;
    }
    if (!executor->hasAnswered()) {
        executor->history = HistoryKnowledge::Partial;
        this->d->pendingRenewals.insert(key);
        this->d->noteStrayLeaseOfPreviousOwner(*executor, report, now);
    }
    if (report.isComplete) {
        executor->historyKnownAt = executor->isHistoryKnown() ? executor->historyKnownAt : now;
        executor->history = HistoryKnowledge::Known;
    }
    executor->hasUnreadEnds = report.hasMoreEnds;
    if (sentAt >= executor->withheldAt) {
        executor->withheldAt = TimePoint{};
    }
    executor->upAt = std::max(executor->upAt, sentAt);
    if (report.hasAcknowledged) {
        executor->acknowledgedEnd = std::max(executor->acknowledgedEnd, executor->sentEnd);
    }
    this->d->recordClock(*executor, report.clock, now);
    for (const ReportedEnd &end : report.ended) {
        if (end.number > executor->processedEnd) {
            this->d->handleRunEnd(*executor, end, now, wallNow);
            executor->processedEnd = end.number;
        }
    }
    if (executor->hasEnded) {
        // The report was on its way when the incarnation ended. Only the ends in it still count.
        return;
    }
    for (auto &[id, run] : executor->runs) {
        run.isListed = false;
    }
    std::map<ItemId, std::pair<std::int64_t, TimePoint>> orphans;
    for (const ReportedRun &reported : report.running) {
        Item *item = this->d->findReportedItem(reported.item);
        if (item == nullptr) {
            orphans.try_emplace(reported.item, reported.run, TimePoint{});
            continue;
        }
        const auto known = executor->runs.find(reported.item);
        const bool isAdopted = known == executor->runs.end();
        Run &run = isAdopted ? this->d->addRun(*executor, reported.item, reported.run, now) : known->second;
        if (isAdopted) {
            // Answers to orders that were sent before may still come.
            run.clockBeforeOrders = milliseconds::zero();
            run.adoptedAt = now;
            run.isConfirmed = true;
            // The owner that started the run may have given it a lease of maximum length.
            executor->leaseEnd = std::max(executor->leaseEnd, after(this->d->longestLeaseEnd(now), adoptedLeaseMargin));
        }
        run.isConfirmed = run.isConfirmed || (!run.isStartInFlight && sentAt >= run.orderResolvedAt);
        run.number = std::max(run.number, reported.run);
        run.isListed = true;
        run.seenAt = now;
        run.percent = reported.percent;
        run.load = reported.load;
        if (run.phase == RunPhase::Starting || run.phase == RunPhase::Unacknowledged) {
            run.phase = RunPhase::Running;
            run.startedAt = run.startedAt == TimePoint{} ? now : run.startedAt;
        }
        if (!reported.checkpoint.empty()) {
            item->checkpoint = reported.checkpoint;
        }
        JobEntry &entry = *this->d->findJob(reported.item.job);
        const bool isRedundant = !entry.isOpen() || item->phase == ItemPhase::Done
            || (item->runningOn.size() > 1 && item->runningOn.front() != key && !this->d->stepOf(reported.item).isSpeculative);
        if (isRedundant) {
            this->d->requestStop(*executor, run, "the run is redundant");
        }
        this->d->markStarted(entry, now);
    }
    for (auto &[id, orphan] : orphans) {
        const auto before = executor->orphans.find(id);
        orphan.second = before != executor->orphans.end() ? before->second.second : TimePoint{};
    }
    executor->orphans = std::move(orphans);
    // A report lists a limited number of ends, so only one without ends is known to be complete.
    const bool listsEverything = report.isComplete && report.ended.empty();
    for (auto run = executor->runs.begin(); run != executor->runs.end();) {
        const auto current = run++;
        Run &state = current->second;
        if (state.isListed || sentAt <= state.orderResolvedAt) {
            continue;
        }
        // The run is neither running nor ended, so the order that got no reply has not been carried out so far.
        if (state.phase == RunPhase::Unacknowledged) {
            this->d->requestStop(*executor, state, "the start order got no reply");
        } else if (state.phase == RunPhase::Stopping && ((state.isStopConfirmed && report.isComplete) || (listsEverything && sentAt > state.startableUntil))) {
            this->d->emitEvent("run_lost", state.item, *executor, state.number, "it never started");
            executor->acknowledgeableFrom = std::max(executor->acknowledgeableFrom, after(now, maxCallDuration));
            this->d->removeRun(*executor, current, "it never started", now);
        } else if (state.phase == RunPhase::Running && state.isLongRunning && listsEverything) {
            // A run that lasts restarts however it ended. A finite one may have ended done, so it is left to the check for stalls.
            this->d->emitEvent("run_lost", state.item, *executor, state.number, "its executor no longer knows it");
            this->d->removeRun(*executor, current, "its executor no longer knows it", now);
        }
    }
}

void PoolScheduler::onStarted(const ExecutorKey &key, const StartRun &order, const OrderReply &lastReply, TimePoint sentAt, TimePoint now)
{
    OrderReply reply = lastReply;
    if (reply.outcome == OrderOutcome::Fenced && reply.repeatOutcome && this->isOvertaken(key.id, order.token)) {
        // Only the repeat was refused. The first attempt may have been carried out before the later call.
        reply.outcome = OrderOutcome::Unknown;
    }
    Run *run = this->d->resolveOrder(key, order.item, order.run, reply, now);
    if (UnsettledStart *unsettled = this->d->findUnsettledStart(key, order)) {
        unsettled->isInFlight = false;
        unsettled->carriedOutUntil = std::max(unsettled->carriedOutUntil, after(now, maxCallDuration));
    }
    if (const Executor *sentTo = this->d->find(key); sentTo == nullptr || Private::mayBeFromNextIncarnation(*sentTo, reply, now)) {
        this->d->recordStrayLease(key, reply.outcome, now);
    }
    if (run == nullptr) {
        this->d->settleStart(key, order, reply, now);
        return;
    }
    Executor *executor = this->d->find(key);
    run->orderResolvedAt = now;
    run->isStartInFlight = false;
    if (executor->acknowledgedEnd < executor->persistedEnd) {
        this->d->pendingRenewals.insert(key);
    }
    switch (reply.outcome) {
    case OrderOutcome::Done:
        if (run->phase == RunPhase::Starting) {
            run->phase = RunPhase::Running;
        }
        run->startedAt = sentAt;
        run->isConfirmed = run->isConfirmed || !Private::mayBeFromNextIncarnation(*executor, reply, now);
        this->d->markStarted(*this->d->findJob(order.item.job), now);
        return;
    case OrderOutcome::Unknown:
        if (run->phase == RunPhase::Starting) {
            run->phase = RunPhase::Unacknowledged;
        }
        run->isStartUnanswered = true;
        executor->avoidedUntil = std::max(executor->avoidedUntil, after(now, milliseconds(500)));
        this->d->emitEvent("start_unanswered", order.item, *executor, order.run, "an attempt got no reply, the item may run");
        return;
    case OrderOutcome::OtherBoot:
        this->d->endIncarnation(*executor, now, false, "another executor answers at its address");
        this->d->forgetUnsettledStart(key, order, now);
        return;
    case OrderOutcome::Stale:
    case OrderOutcome::Late:
    case OrderOutcome::NoRoom:
    case OrderOutcome::NoPass:
    case OrderOutcome::Fenced:
    case OrderOutcome::Invalid:
    case OrderOutcome::Unhealthy:
    case OrderOutcome::NotSent:
    case OrderOutcome::Withheld:
        break;
    }
    if (run->isListed) {
        // The executor's own list outweighs its reply.
        return;
    }
    if (reply.outcome == OrderOutcome::Withheld) {
        executor->withheldAt = now;
        this->d->pendingRenewals.insert(key);
        this->d->emitEvent("start_withheld", order.item, *executor, order.run, "no connection is known to lead to the incarnation");
        this->d->removeRun(*executor, executor->runs.find(order.item), "its start was not sent", now);
        return;
    }
    const milliseconds pause = reply.outcome == OrderOutcome::Unhealthy || reply.outcome == OrderOutcome::NotSent ? milliseconds(1000) : milliseconds(100);
    executor->avoidedUntil = std::max(executor->avoidedUntil, after(now, pause));
    if (reply.outcome == OrderOutcome::NoPass) {
        // The pass may be of an earlier life of the executor.
        this->d->dropPass(order.item, key.id);
    }
    this->d->emitEvent("start_refused", order.item, *executor, order.run, std::string(toString(reply.outcome)));
    this->d->removeRun(*executor, executor->runs.find(order.item), toString(reply.outcome), now);
}

void PoolScheduler::onStopped(const ExecutorKey &key, const StopRun &order, const OrderReply &reply, TimePoint now)
{
    Run *run = this->d->resolveOrder(key, order.item, order.run, reply, now);
    if (run != nullptr && reply.outcome == OrderOutcome::Done) {
        run->isStopConfirmed = true;
        run->orderResolvedAt = now;
    } else if (run != nullptr && reply.outcome == OrderOutcome::Fenced) {
        // A later call has overtaken the order, so that it is sent again at once.
        run->stopSentAt = TimePoint{};
    }
}

void PoolScheduler::onPaced(const ExecutorKey &key, const PaceOrder &order, const OrderReply &reply, TimePoint now)
{
    Run *run = this->d->resolveOrder(key, order.run.item, order.run.run, reply, now);
    if (reply.outcome == OrderOutcome::OtherBoot) {
        if (Executor *executor = this->d->find(key)) {
            this->d->endIncarnation(*executor, now, false, "another executor answers at its address");
        }
        return;
    }
    if (run != nullptr && reply.outcome != OrderOutcome::Done && run->pacePercent == order.run.percent) {
        run->pacePercent = order.previousPercent;
    }
}

std::vector<JobProgress> PoolScheduler::takeChangedJobs()
{
    std::vector<JobProgress> result;
    for (const JobId &id : this->d->changedJobs) {
        const JobEntry *entry = this->d->findJob(id);
        if (entry == nullptr) {
            continue;
        }
        JobProgress progress{id, entry->job.queue, entry->earlierService.value_or(entry->job.service), entry->state, entry->hasStartIntent, entry->endedAt, {}};
        progress.account = entry->job.account;
        if (!progress.account.isEmpty()) {
            // Records with an account always have the terms.
            progress.terms = entry->job.terms.value_or(JobTerms{});
        } else if (entry->isOpen() && !entry->isSubmittedWithTerms) {
            progress.terms = entry->job.terms;
        }
        for (const StepSpec &step : entry->job.spec.steps) {
            progress.itemsOfSteps.push_back(step.count);
        }
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
    this->d->changedJobs.clear();
    this->d->isUrgent = false;
    for (const JobId &id : this->d->unpersistedStartIntents) {
        if (JobEntry *entry = this->d->findJob(id)) {
            entry->isStartIntentCollected = true;
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
            this->d->pendingRenewals.insert(key);
        }
    }
    std::erase_if(this->d->unpersistedStartIntents, [this](const JobId &id) {
        JobEntry *entry = this->d->findJob(id);
        const bool isSettled = entry == nullptr || entry->isStartIntentCollected;
        if (entry != nullptr && isSettled) {
            entry->mayStart = true;
            this->d->markPlaceable(*entry);
        }
        return isSettled;
    });
}

bool PoolScheduler::hasChanges() const
{
    return !this->d->changedJobs.empty();
}

bool PoolScheduler::hasUnacknowledgeableEnds(const ExecutorKey &executor, TimePoint now) const
{
    const Executor *known = this->d->find(executor);
    if (known == nullptr) {
        return false;
    }
    const bool areEndsPersisted = known->persistedEnd >= known->processedEnd;
    return !areEndsPersisted || (known->acknowledgedEnd < known->persistedEnd && !this->d->canAcknowledge(*known, now));
}

bool PoolScheduler::hasUrgentChange() const
{
    return this->d->isUrgent;
}

PoolSummary PoolScheduler::summary() const
{
    PoolSummary summary;
    summary.jobs = this->d->openJobs.size();
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
