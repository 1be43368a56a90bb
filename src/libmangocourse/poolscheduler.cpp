// Event handling of the pool scheduler: what executors, callers and discovery report.
#include "poolscheduler_pvt.h"

#include <algorithm>

namespace MangoCourse {

namespace {

using std::chrono::milliseconds;

// Weight of one observation in smoothed figures.
constexpr double smoothing = 0.2;
// An executor on which this many distinct jobs failed in a row is avoided for a while.
constexpr std::size_t suspiciousFailures = 2;
constexpr milliseconds avoidance{5000};
constexpr milliseconds leaseRounding{60};

template<typename T>
TimePoint after(TimePoint start, T span)
{
    return start + std::chrono::duration_cast<Duration>(span);
}

}

WallTime dueTime(const JobSpec &spec, std::size_t occurrence)
{
    if (spec.recurrence.count == 0) {
        return WallTime{};
    }
    return spec.recurrence.first + static_cast<std::int64_t>(occurrence) * spec.recurrence.interval;
}

Executor *PoolScheduler::Private::find(const ExecutorKey &key)
{
    const auto found = this->executors.find(key);
    return found == this->executors.end() ? nullptr : &found->second;
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

const StepSpec &PoolScheduler::Private::stepOf(const ItemId &id)
{
    return this->jobs.at(id.job).job.spec.steps[static_cast<std::size_t>(id.step)];
}

void PoolScheduler::Private::touch(JobEntry &entry)
{
    this->changed.insert(entry.job.id);
}

void PoolScheduler::Private::note(const char *event, const ItemId &item, const Executor &executor, std::int64_t run, std::string outcome)
{
    if (this->observer) {
        this->observer(SchedulerEvent{event, item, executor.info.id, run, std::move(outcome)});
    }
}

void PoolScheduler::Private::openOccurrence(JobEntry &entry, std::size_t number, TimePoint now)
{
    OccurrenceState &occurrence = entry.occurrences[number];
    if (occurrence.isOpen) {
        return;
    }
    occurrence.isOpen = true;
    occurrence.steps.resize(entry.job.spec.steps.size());
    for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
        occurrence.steps[step].items.resize(static_cast<std::size_t>(entry.job.spec.steps[step].count));
        for (Item &item : occurrence.steps[step].items) {
            item.lastRun = this->runBase;
            item.waitingSince = now;
        }
    }
}

void PoolScheduler::Private::readQueue(JobEntry &entry)
{
    const auto found = this->queues.find(entry.job.queue);
    if (found == this->queues.end()) {
        return;
    }
    const QueueConfig &queue = found->second;
    entry.priority = queue.priority;
    entry.attempts = std::max(1, queue.attempts);
    entry.hasPolicy = queue.policy.has_value();
    const auto chain = this->remainingChain(entry);
    const auto objective = milliseconds(static_cast<std::int64_t>(queue.slackFactor * static_cast<double>(chain.count()))) + queue.targetLatency;
    entry.objective = after(entry.addedAt, objective);
}

void PoolScheduler::Private::noteClock(Executor &executor, const std::optional<milliseconds> &clock, TimePoint now)
{
    if (clock) {
        executor.clock = clock;
        executor.clockAt = now;
    }
}

Run &PoolScheduler::Private::adopt(Executor &executor, const ItemId &id, std::int64_t number, TimePoint now)
{
    Item *item = this->findItem(id);
    const StepSpec &spec = this->stepOf(id);
    Run &run = executor.runs[id];
    run.item = id;
    run.number = number;
    run.phase = RunPhase::Running;
    run.startedAt = now;
    run.settledAt = now;
    run.room = spec.room;
    if (spec.isFiller) {
        run.room.cpu = 0;
    }
    run.isFiller = spec.isFiller;
    run.isLongRunning = spec.isLongRunning;
    run.tailTarget = spec.tailTarget;
    run.expected = spec.estimate;
    executor.used += run.room;
    item->lastRun = std::max(item->lastRun, number);
    item->where.push_back(executor.key());
    if (item->phase == ItemPhase::Waiting) {
        item->phase = ItemPhase::Active;
    }
    return run;
}

void PoolScheduler::Private::release(Executor &executor, std::map<ItemId, Run>::iterator run, TimePoint now)
{
    const ItemId id = run->first;
    executor.used -= run->second.room;
    executor.runs.erase(run);
    Item *item = this->findItem(id);
    if (item == nullptr) {
        return;
    }
    std::erase(item->where, executor.key());
    if (item->where.empty() && item->phase == ItemPhase::Active) {
        item->phase = ItemPhase::Waiting;
        item->waitingSince = now;
    }
}

void PoolScheduler::Private::requestStop(Executor &executor, Run &run, const char *reason)
{
    if (run.phase == RunPhase::Stopping) {
        return;
    }
    run.phase = RunPhase::Stopping;
    run.isStopConfirmed = false;
    run.stopSentAt = TimePoint{};
    this->note("stop_requested", run.item, executor, run.number, reason);
}

void PoolScheduler::Private::stopOthers(const ItemId &id, const Executor &except, const char *reason)
{
    const Item *item = this->findItem(id);
    if (item == nullptr) {
        return;
    }
    for (const ExecutorKey &key : item->where) {
        if (key == except.key()) {
            continue;
        }
        if (Executor *other = this->find(key)) {
            this->requestStop(*other, other->runs.at(id), reason);
        }
    }
}

void PoolScheduler::Private::learnTime(Executor &executor, const Run &run, TimePoint now)
{
    if (run.isLongRunning || run.expected.count() <= 0 || run.startedAt == TimePoint{}) {
        return;
    }
    const double actual = std::chrono::duration<double, std::milli>(now - run.startedAt).count();
    const double ratio = std::clamp(actual / static_cast<double>(run.expected.count()), 0.1, 20.0);
    double &queueRatio = this->timeRatio.try_emplace(this->jobs.at(run.item.job).job.queue, 1.0).first->second;
    executor.slowness += smoothing * (ratio / std::max(queueRatio, 0.1) - executor.slowness);
    queueRatio += smoothing * (std::min(ratio, 4.0) - queueRatio);
}

void PoolScheduler::Private::finishJob(JobEntry &entry, JobState state, WallTime wallNow)
{
    if (!entry.isOpen()) {
        return;
    }
    entry.state = state;
    entry.endedAt = wallNow;
    this->open.erase(entry.job.id);
    this->touch(entry);
    this->isUrgent = true;
    for (auto &[key, executor] : this->executors) {
        const auto first = executor.runs.lower_bound(ItemId{entry.job.id, 0, 0, 0});
        for (auto run = first; run != executor.runs.end() && run->first.job == entry.job.id; ++run) {
            this->requestStop(executor, run->second, state == JobState::Cancelled ? "job cancelled" : "job ended");
        }
    }
}

void PoolScheduler::Private::noteBegun(JobEntry &entry)
{
    if (!entry.hasRun && entry.isOpen()) {
        entry.hasRun = true;
        entry.state = JobState::Running;
        this->touch(entry);
    }
}

void PoolScheduler::Private::checkCompleted(JobEntry &entry, WallTime wallNow)
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
    this->finishJob(entry, JobState::Completed, wallNow);
}

void PoolScheduler::Private::finishItem(Executor &executor, const ReportedEnd &end, TimePoint now, WallTime wallNow)
{
    executor.failedJobs.clear();
    JobEntry &entry = *this->findJob(end.item.job);
    StepState &step = entry.occurrences[static_cast<std::size_t>(end.item.occurrence)].steps[static_cast<std::size_t>(end.item.step)];
    const StepSpec &spec = entry.job.spec.steps[static_cast<std::size_t>(end.item.step)];
    this->touch(entry);
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
            this->stopOthers(id, executor, "another copy is done");
        }
    }
    if (entry.isOpen()) {
        this->checkCompleted(entry, wallNow);
    }
    (void)now;
}

void PoolScheduler::Private::failItem(Executor &executor, const ReportedEnd &end, TimePoint now, WallTime wallNow)
{
    executor.failedJobs.insert(end.item.job);
    if (executor.failedJobs.size() >= suspiciousFailures) {
        executor.avoidedUntil = after(now, avoidance);
        this->note("executor_avoided", end.item, executor, end.run, "several jobs failed in a row");
    }
    JobEntry &entry = *this->findJob(end.item.job);
    const StepSpec &spec = entry.job.spec.steps[static_cast<std::size_t>(end.item.step)];
    Item &item = *this->findItem(end.item);
    item.failedOn = executor.info.id;
    this->touch(entry);
    if (spec.isLongRunning || item.phase == ItemPhase::Done) {
        return;
    }
    // An end that was not acknowledged is listed again to the next owner.
    if (end.run <= item.countedRun) {
        return;
    }
    item.countedRun = end.run;
    ++item.failures;
    std::int32_t failures = item.failures;
    if (spec.isGang) {
        StepState &step = entry.occurrences[static_cast<std::size_t>(end.item.occurrence)].steps[static_cast<std::size_t>(end.item.step)];
        failures = ++step.gangFailures;
    }
    if (failures >= entry.attempts) {
        item.phase = ItemPhase::Failed;
        this->finishJob(entry, JobState::Failed, wallNow);
    }
}

void PoolScheduler::Private::endRun(Executor &executor, const ReportedEnd &end, TimePoint now, WallTime wallNow)
{
    Item *item = this->findItem(end.item);
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
        this->learnTime(executor, run->second, now);
    }
    static constexpr const char *names[] = {"done", "failed", "stopped", "lapsed", "broken", "alone"};
    this->note("run_ended", end.item, executor, end.run, names[static_cast<int>(end.end)]);
    if (isKnown) {
        this->release(executor, run, now);
    }
    if (end.end == RunEnd::Done) {
        this->finishItem(executor, end, now, wallNow);
    } else if (end.end == RunEnd::Failed) {
        this->failItem(executor, end, now, wallNow);
    }
}

void PoolScheduler::Private::dropExecutor(Executor &executor, TimePoint now, const char *reason)
{
    while (!executor.runs.empty()) {
        const auto run = executor.runs.begin();
        this->note("run_lost", run->first, executor, run->second.number, reason);
        this->release(executor, run, now);
    }
}

PoolScheduler::PoolScheduler(std::unique_ptr<Private> impl)
    : d(std::move(impl))
{
}

PoolScheduler::~PoolScheduler() = default;

Result<std::unique_ptr<PoolScheduler>> PoolScheduler::create(
    ServiceId service, SchedulerSettings settings, std::int64_t token, std::int64_t runBase, TimePoint clearAt)
{
    if (settings.leaseLength <= milliseconds::zero() || settings.longestLease < settings.leaseLength) {
        return makeError(ErrorCode::InvalidArgument, "must be positive and at most the longest lease", "leaseLength");
    }
    auto impl = std::make_unique<Private>();
    impl->service = std::move(service);
    impl->settings = settings;
    impl->token = token;
    impl->runBase = runBase;
    impl->clearAt = clearAt;
    return std::unique_ptr<PoolScheduler>(new PoolScheduler(std::move(impl)));
}

void PoolScheduler::setObserver(std::function<void(const SchedulerEvent &)> observer)
{
    this->d->observer = std::move(observer);
}

void PoolScheduler::setToken(std::int64_t token)
{
    this->d->token = token;
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
        const bool isEnded = includesLife(this->d->evacuations.ended, info.id, info.born);
        if (info.service != this->d->service || isEnded) {
            continue;
        }
        const ExecutorKey key{info.id, info.born};
        Executor &executor = this->d->executors[key];
        executor.info = info;
        executor.isListed = true;
    }
    // A machine has one life at a time, so a newer one proves that the older is over.
    for (auto &[key, executor] : this->d->executors) {
        if (executor.isListed) {
            continue;
        }
        const bool isSucceeded = std::any_of(executors.begin(), executors.end(), [&executor = executor](const ExecutorInfo &info) {
            return info.born > executor.info.born && (info.id == executor.info.id || (!info.machine.isEmpty() && info.machine == executor.info.machine));
        });
        if (isSucceeded) {
            this->d->dropExecutor(executor, now, "the machine has started anew");
        }
    }
    std::erase_if(this->d->earlier, [this, &executors](const auto &entry) {
        const auto &[key, machine] = entry;
        const bool isEnded = includesLife(this->d->evacuations.ended, key.id, key.born);
        const bool isOver = isEnded || std::any_of(executors.begin(), executors.end(), [&key = key, &machine = machine](const ExecutorInfo &info) {
            const bool isSameMachine = info.id == key.id || (!machine.isEmpty() && info.machine == machine);
            return isSameMachine && info.born > key.born;
        });
        if (isOver && !this->d->executors.contains(key)) {
            this->d->forgotten.push_back(key);
        }
        return isOver;
    });
    std::erase_if(this->d->executors, [this, now](const auto &entry) {
        const Executor &executor = entry.second;
        // What an earlier owner gave a silent executor ends only with the longest lease.
        const bool isClear = executor.isContacted || now >= this->d->clearAt;
        const bool isOver = !executor.isListed && executor.runs.empty() && executor.leaseEnd < now && isClear;
        if (isOver && executor.isRecorded) {
            this->d->forgotten.push_back(entry.first);
        }
        return isOver;
    });
    if (now >= this->d->clearAt) {
        for (const auto &[key, machine] : std::exchange(this->d->earlier, {})) {
            const bool isNoted = std::find(this->d->forgotten.begin(), this->d->forgotten.end(), key) != this->d->forgotten.end();
            if (!isNoted && !this->d->executors.contains(key)) {
                this->d->forgotten.push_back(key);
            }
        }
    }
}

void PoolScheduler::setEarlierExecutors(const std::map<ExecutorKey, MachineId> &used)
{
    this->d->earlier = used;
}

void PoolScheduler::setEvacuations(const EvacuationList &list, TimePoint now)
{
    this->d->evacuations = list;
    for (auto &[key, executor] : this->d->executors) {
        if (includesLife(list.ended, key.id, key.born)) {
            this->d->dropExecutor(executor, now, "its machine was ordered away");
            executor.isListed = false;
        }
    }
    std::erase_if(this->d->earlier, [this, &list](const auto &entry) {
        const bool isEnded = includesLife(list.ended, entry.first.id, entry.first.born);
        if (isEnded && !this->d->executors.contains(entry.first)) {
            this->d->forgotten.push_back(entry.first);
        }
        return isEnded;
    });
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
    this->d->noteArrival(entry, now);
    if (job.spec.recurrence.count == 0) {
        this->d->openOccurrence(entry, 0, now);
    }
    this->d->readQueue(entry);
    if (progress == nullptr) {
        this->d->touch(entry);
        return;
    }
    entry.state = progress->state;
    entry.hasRun = progress->state != JobState::Queued;
    entry.isInherited = progress->mayHaveBegun;
    entry.isAnnounced = progress->mayHaveBegun;
    entry.mayStart = progress->mayHaveBegun;
    for (const ItemProgress &known : progress->items) {
        if (known.occurrence < 0 || static_cast<std::size_t>(known.occurrence) >= entry.occurrences.size()) {
            continue;
        }
        this->d->openOccurrence(entry, static_cast<std::size_t>(known.occurrence), now);
        Item *item = this->d->findItem(ItemId{job.id, known.occurrence, known.step, known.index});
        if (item == nullptr) {
            continue;
        }
        item->failures = known.failures;
        item->countedRun = known.countedRun;
        item->lastRun = std::max(item->lastRun, known.countedRun);
        StepState &step = entry.occurrences[static_cast<std::size_t>(known.occurrence)].steps[static_cast<std::size_t>(known.step)];
        if (entry.job.spec.steps[static_cast<std::size_t>(known.step)].isGang) {
            step.gangFailures += known.failures;
        }
        if (known.isDone && item->phase != ItemPhase::Done) {
            item->phase = ItemPhase::Done;
            ++step.done;
        }
    }
}

void PoolScheduler::cancelJob(const JobId &job, WallTime wallNow)
{
    if (JobEntry *entry = this->d->findJob(job)) {
        this->d->finishJob(*entry, JobState::Cancelled, wallNow);
    }
}

bool PoolScheduler::hasJob(const JobId &job) const
{
    return this->d->jobs.contains(job);
}

std::vector<JobId> PoolScheduler::forgetJobsBefore(WallTime bound)
{
    std::vector<JobId> forgotten;
    for (const auto &[id, entry] : this->d->jobs) {
        if (!entry.isOpen() && entry.endedAt < bound && !this->d->changed.contains(id)) {
            forgotten.push_back(id);
        }
    }
    for (const JobId &id : forgotten) {
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
            this->d->dropExecutor(*executor, now, "another boot answers at its address");
            executor->isListed = false;
        }
        return;
    }
    if (report.born != 0 && report.born != key.born) {
        this->d->dropExecutor(*executor, now, "the executor has started anew");
        executor->isListed = false;
        return;
    }
    executor->failingSince = TimePoint{};
    executor->isContacted = true;
    executor->lastReportAt = now;
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
            // Whoever started it may have given it the longest lease.
            executor->leaseEnd
                = std::max(executor->leaseEnd, after(now, this->d->settings.longestLease * (1.0 + this->d->settings.clockDrift) + leaseRounding));
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
        this->d->noteBegun(entry);
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
            this->d->release(*executor, current, now);
        }
    }
}

void PoolScheduler::onStarted(const ExecutorKey &key, const StartRun &order, const OrderReply &reply, TimePoint sentAt, TimePoint now)
{
    Executor *executor = this->d->find(key);
    if (executor == nullptr) {
        return;
    }
    this->d->noteClock(*executor, reply.clock, now);
    const auto found = executor->runs.find(order.item);
    if (found == executor->runs.end() || found->second.number != order.run) {
        return;
    }
    Run &run = found->second;
    run.settledAt = now;
    switch (reply.outcome) {
    case OrderOutcome::Done: {
        if (run.phase == RunPhase::Starting) {
            run.phase = RunPhase::Running;
        }
        run.startedAt = sentAt;
        JobEntry &entry = *this->d->findJob(order.item.job);
        this->d->noteBegun(entry);
        return;
    }
    case OrderOutcome::Unknown:
        if (run.phase == RunPhase::Starting) {
            run.phase = RunPhase::Unsure;
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
    this->d->note("start_refused", order.item, *executor, order.run, std::to_string(static_cast<int>(reply.outcome)));
    this->d->release(*executor, found, now);
}

void PoolScheduler::onStopped(const ExecutorKey &key, const StopRun &order, const OrderReply &reply, TimePoint sentAt, TimePoint now)
{
    Executor *executor = this->d->find(key);
    if (executor == nullptr) {
        return;
    }
    this->d->noteClock(*executor, reply.clock, now);
    const auto found = executor->runs.find(order.item);
    if (found == executor->runs.end() || found->second.number != order.run) {
        return;
    }
    if (reply.outcome == OrderOutcome::Done) {
        found->second.isStopConfirmed = true;
        found->second.settledAt = now;
    }
    (void)sentAt;
}

void PoolScheduler::onPolicy(const ItemId &step, const PolicyAnswer &answer, TimePoint now)
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
}

std::vector<ExecutorKey> PoolScheduler::executors() const
{
    std::vector<ExecutorKey> keys;
    for (const auto &[key, executor] : this->d->executors) {
        keys.push_back(key);
    }
    return keys;
}

std::vector<ExecutorKey> PoolScheduler::takeNewlyUsed()
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

std::vector<ExecutorKey> PoolScheduler::takeForgotten()
{
    return std::exchange(this->d->forgotten, {});
}

std::vector<JobProgress> PoolScheduler::takeChanged()
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
                            static_cast<std::int32_t>(index), item.phase == ItemPhase::Done, item.failures, item.countedRun});
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
        executor.persistedEnd = executor.collectedEnd;
    }
    std::erase_if(this->d->announced, [this](const JobId &id) {
        JobEntry *entry = this->d->findJob(id);
        const bool isSettled = entry == nullptr || entry->isAnnouncementCollected;
        if (entry != nullptr && isSettled) {
            entry->mayStart = true;
        }
        return isSettled;
    });
}

bool PoolScheduler::hasChanges() const
{
    return !this->d->changed.empty();
}

bool PoolScheduler::hasUnsavedEnds(const ExecutorKey &executor) const
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
