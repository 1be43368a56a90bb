// Owner of one partition: state and calls from the rest of the process.
#include "shardowner_pvt.h"

#include <algorithm>

#include "clocks.h"
#include "waitinglog.h"

namespace MangoCourse {

namespace {

// Longer than a gateway takes from its search for a job to the end of its append.
constexpr std::chrono::milliseconds heldJobTime{4000};
// Between the clocks of two processes.
constexpr std::chrono::milliseconds maxClockDifference{10'000};

}

PoolWatermarks ShardOwner::Private::watermarks() const
{
    return PoolWatermarks{this->jobsReader->currentAsOf(), this->executorWatermark};
}

std::map<ExecutorKey, ExecutorLocation> ShardOwner::Private::previousExecutorsOf(const ServiceId &service) const
{
    // Jobs of a service that the configuration has dropped go on in the pool that their queue has now.
    std::set<ServiceId> startedIn{service};
    for (const auto &[id, known] : this->progress) {
        const QueueConfig *queue = this->config->find(known.queue);
        const bool hasMoved = queue != nullptr && queue->service == service && !this->config->services.contains(known.service);
        if (hasMoved && known.mayHaveStarted && !isFinal(known.state)) {
            startedIn.insert(known.service);
        }
    }
    std::map<ExecutorKey, ExecutorLocation> executors;
    for (const auto &[key, location] : this->previousExecutors) {
        if (startedIn.contains(location.service)) {
            executors.emplace(key, location).first->second.service = service;
        }
    }
    return executors;
}

PoolScheduler *ShardOwner::Private::findOrCreatePool(const ServiceId &service)
{
    const auto found = this->pools.find(service);
    if (found != this->pools.end()) {
        return found->second.get();
    }
    if (!this->config || !this->config->services.contains(service)) {
        return nullptr;
    }
    Result<std::unique_ptr<PoolScheduler>> pool
        = PoolScheduler::create(service, this->owner.settings.scheduler, this->fencingTokens, this->runNumberBase, this->previousLeasesExpireAt);
    if (!pool) {
        this->owner.log.emit("pool_failed", {{"service", service.value}, {"reason", describe(pool.error())}}, EventPriority::Essential);
        return nullptr;
    }
    PoolScheduler *raw = pool->get();
    raw->setObserver([this](const SchedulerEvent &event) {
        this->logSchedulerEvent(event);
    });
    raw->setOrderBudget(this->owner.orderBudget);
    raw->setConfig(*this->config);
    raw->setPreviousExecutors(this->previousExecutorsOf(service));
    raw->setEvacuations(this->evacuations, bootNow());
    raw->setUpcomingMaintenance(this->dueMachines);
    raw->setExecutors(this->executors, bootNow());
    if (this->divisions) {
        raw->setDivisions(this->divisions);
    }
    this->pools.emplace(service, std::move(*pool));
    return raw;
}

void ShardOwner::Private::logSchedulerEvent(const SchedulerEvent &event)
{
    if (event.item.job.isEmpty() && !event.executor.isEmpty()) {
        logExecutorEvent(this->owner.log, this->token, event);
        return;
    }
    this->owner.log.emit(event.event,
        {{"job", event.item.job.value}, {"occurrence", std::int64_t(event.item.occurrence)}, {"step", std::int64_t(event.item.step)},
            {"index", std::int64_t(event.item.index)}, {"run", event.run}, {"executor", event.executor.value}, {"token", this->token},
            {"outcome", event.outcome}});
}

bool ShardOwner::Private::mayBeStoredElsewhere(const AcceptedJob &job) const
{
    const QueueConfig *queue = this->config ? this->config->find(job.queue) : nullptr;
    const bool hasMoved = queue != nullptr && partitionOf(queue->service, this->owner.settings.partitions) != this->partition;
    return hasMoved && wallNow() - job.acceptedAt < heldJobTime + maxClockDifference;
}

void ShardOwner::Private::addJob(const AcceptedJob &job, std::int64_t offset)
{
    this->queueOfJob.emplace(job.id, job.queue);
    const bool isAssigned = this->findPoolOf(job.id) != nullptr;
    const bool livesHere = isAssigned || this->progress.contains(job.id) || this->unassignedJobs.contains(job.id);
    if (!livesHere && job.placement && this->seals.isSealed(*job.placement, offset)) {
        const bool isNew = this->voidJobs.insert_or_assign(job.id, job).second;
        if (isNew) {
            this->owner.log.emit("job_void",
                {{"job", job.id.value}, {"queue", job.queue.value}, {"partition", std::int64_t(this->partition)}, {"token", this->token},
                    {"revision", job.placement->revision}, {"offset", offset}},
                EventPriority::Essential);
        }
        return;
    }
    this->voidJobs.erase(job.id);
    if (!livesHere && !job.placement && this->mayBeStoredElsewhere(job)) {
        const bool isNew = this->heldJobs.try_emplace(job.id, bootNow() + heldJobTime, job).second;
        if (isNew) {
            this->owner.log.emit("job_held",
                {{"job", job.id.value}, {"queue", job.queue.value}, {"partition", std::int64_t(this->partition)}, {"token", this->token},
                    {"reason", "its queue has moved, another gateway may store it in the new partition"}},
                EventPriority::Essential);
        }
        return;
    }
    this->assignJob(job);
}

void ShardOwner::Private::assignJob(const AcceptedJob &job)
{
    // A repeated submission may be stored under another service, if the job's queue has moved since. Its runs and their ends are in the first pool.
    const bool isAssigned = std::any_of(this->pools.begin(), this->pools.end(), [&job](const auto &entry) {
        return entry.second->hasJob(job.id);
    });
    if (isAssigned) {
        return;
    }
    const auto known = this->progress.find(job.id);
    AcceptedJob assigned = job;
    assigned.service = known == this->progress.end() ? job.service : known->second.service;
    if (this->config && !this->config->services.contains(assigned.service)) {
        // The pool of a service has one owner, which is that of its partition.
        const QueueConfig *queue = this->config->find(job.queue);
        const bool isOwnService = queue != nullptr && partitionOf(queue->service, this->owner.settings.partitions) == this->partition;
        assigned.service = isOwnService ? queue->service : assigned.service;
    }
    PoolScheduler *pool = this->findOrCreatePool(assigned.service);
    if (pool == nullptr) {
        this->unassignedJobs.emplace(job.id, job);
        return;
    }
    pool->addJob(assigned, known == this->progress.end() ? nullptr : &known->second, bootNow(), wallNow());
    if (known != this->progress.end() && isFinal(known->second.state)) {
        this->finalJobs.emplace_back(bootNow(), job.id);
    }
    if (this->cancelled.contains(job.id)) {
        pool->cancelJob(job.id, bootNow(), wallNow());
    }
}

void ShardOwner::Private::applyCancellation(const JobId &job)
{
    this->cancelled.insert(job);
    for (auto &[service, pool] : this->pools) {
        pool->cancelJob(job, bootNow(), wallNow());
    }
}

void ShardOwner::Private::applyJobRecord(const StoredRecord &record)
{
    const ParsedKey key = parseKey(record.key);
    this->seals.apply(record);
    if (record.value.empty() || key.kind == KeyKind::Seal) {
        return;
    }
    if (key.kind == KeyKind::Cancellation) {
        this->applyCancellation(key.job);
        return;
    }
    Result<AcceptedJob> job = decodeAcceptedJob(key.job, record.value);
    if (!job) {
        this->owner.log.emit("job_unreadable", {{"job", record.key}, {"offset", record.offset}, {"reason", describe(job.error())}}, EventPriority::Essential);
        return;
    }
    this->addJob(*job, record.offset);
}

void ShardOwner::Private::markFenced(const char *source)
{
    if (this->isFenced) {
        return;
    }
    this->isFenced = true;
    this->owner.log.emit(
        "ownership_superseded", {{"partition", std::int64_t(this->partition)}, {"token", this->token}, {"seen_by", source}}, EventPriority::Essential);
}

bool ShardOwner::Private::hasChanges() const
{
    return !this->pendingRecords.empty() || std::any_of(this->pools.begin(), this->pools.end(), [](const auto &entry) {
        return entry.second->hasChanges();
    });
}

ShardOwner::ShardOwner(std::unique_ptr<Private> impl)
    : d(std::move(impl))
{
}

ShardOwner::~ShardOwner() = default;

std::shared_ptr<ShardOwner> ShardOwner::create(const OwnerContext &owner, std::int32_t partition, std::int64_t token)
{
    return std::shared_ptr<ShardOwner>(new ShardOwner(std::make_unique<Private>(owner, partition, token)));
}

void ShardOwner::start()
{
    net::co_spawn(
        this->d->owner.context,
        [self = this->shared_from_this()]() -> net::awaitable<void> {
            Tasks tasks{self, *self->d};
            co_await tasks.run();
        },
        net::detached);
}

void ShardOwner::stop()
{
    this->d->isStopped = true;
    this->d->planRequested.notify();
    this->d->persistRequested.notify();
    for (auto &[key, renewalRequested] : this->d->renewalEvents) {
        renewalRequested->notify();
    }
}

net::awaitable<void> ShardOwner::handOver()
{
    if (this->d->isLoaded && !this->d->isFenced) {
        Tasks tasks{this->shared_from_this(), *this->d};
        tasks.queueSilence();
        co_await tasks.persistOnce();
    }
    this->stop();
}

void ShardOwner::setTerm(const OwnershipTerm &term)
{
    this->d->term = term;
    this->d->planRequested.notify();
}

void ShardOwner::setConfig(std::shared_ptr<const FleetConfig> config)
{
    this->d->config = std::move(config);
    for (auto &[service, pool] : this->d->pools) {
        pool->setConfig(*this->d->config);
    }
    if (!this->d->isLoaded) {
        return;
    }
    for (const auto &[service, serviceConfig] : this->d->config->services) {
        if (!serviceConfig.isStandby && partitionOf(service, this->d->owner.settings.partitions) == this->d->partition) {
            this->d->findOrCreatePool(service);
        }
    }
    const std::map<JobId, AcceptedJob> unassignedJobs = std::move(this->d->unassignedJobs);
    this->d->unassignedJobs.clear();
    for (const auto &[id, job] : unassignedJobs) {
        this->d->addJob(job, -1);
    }
    this->d->planRequested.notify();
}

void ShardOwner::setExecutors(const std::vector<ExecutorInfo> &executors, TimePoint asOf)
{
    this->d->executors = executors;
    this->d->executorWatermark = asOf;
    for (auto &[service, pool] : this->d->pools) {
        pool->setExecutors(executors, bootNow());
    }
    this->d->planRequested.notify();
}

void ShardOwner::setEvacuations(const EvacuationList &list)
{
    this->d->evacuations = list;
    for (auto &[service, pool] : this->d->pools) {
        pool->setEvacuations(list, bootNow());
    }
    this->d->planRequested.notify();
}

void ShardOwner::updateDivisions()
{
    const std::shared_ptr<const QuotaFeed> &quotas = this->d->owner.quotas;
    const bool isCurrent = quotas && this->d->planEndAtTakeover && quotas->position() >= *this->d->planEndAtTakeover;
    if (!isCurrent || quotas->divisions() == this->d->divisions) {
        return;
    }
    this->d->divisions = quotas->divisions();
    for (auto &[service, pool] : this->d->pools) {
        pool->setDivisions(this->d->divisions);
    }
    this->d->planRequested.notify();
}

std::vector<std::vector<AccountQuota>> ShardOwner::accountQuotas() const
{
    std::vector<std::vector<AccountQuota>> result;
    for (const auto &[service, pool] : this->d->pools) {
        result.push_back(pool->accountQuotas(bootNow()));
    }
    return result;
}

void ShardOwner::setUpcomingMaintenance(const std::map<MachineId, WallTime> &dueMachines)
{
    this->d->dueMachines = dueMachines;
    for (auto &[service, pool] : this->d->pools) {
        pool->setUpcomingMaintenance(dueMachines);
    }
}

bool ShardOwner::isSuperseded() const
{
    return this->d->isFenced;
}

bool ShardOwner::isActive() const
{
    return this->d->isLoaded && !this->d->isStopped && !this->d->isFenced;
}

std::int64_t ShardOwner::token() const
{
    return this->d->token;
}

PoolScheduler *ShardOwner::Private::findPoolOf(const JobId &job)
{
    const auto found = std::find_if(this->pools.begin(), this->pools.end(), [&job](const auto &entry) {
        return entry.second->hasJob(job);
    });
    return found == this->pools.end() ? nullptr : found->second.get();
}

bool ShardOwner::mayNeedPolicy() const
{
    return this->isActive() && std::any_of(this->d->pools.begin(), this->d->pools.end(), [](const auto &entry) {
        return entry.second->mayNeedPolicy();
    });
}

std::vector<QueuePolicyNeeds> ShardOwner::policyNeeds()
{
    std::vector<QueuePolicyNeeds> needs;
    if (!this->isActive()) {
        return needs;
    }
    for (auto &[service, pool] : this->d->pools) {
        for (QueuePolicyNeeds &queue : pool->policyNeeds(bootNow())) {
            needs.push_back(std::move(queue));
        }
    }
    return needs;
}

std::optional<PolicyRequest> ShardOwner::takePolicyRequest(const ItemId &step)
{
    PoolScheduler *pool = this->isActive() ? this->d->findPoolOf(step.job) : nullptr;
    return pool == nullptr ? std::nullopt : pool->takePolicyRequest(step, bootNow());
}

void ShardOwner::onPolicyAnswer(const ItemId &step, const PolicyAnswer &answer)
{
    if (PoolScheduler *pool = this->d->findPoolOf(step.job)) {
        pool->onPolicyAnswer(step, answer, bootNow());
        this->d->planRequested.notify();
    }
}

void ShardOwner::onPolicyFailure(const ItemId &step, PolicyOutcome outcome)
{
    if (PoolScheduler *pool = this->d->findPoolOf(step.job)) {
        pool->onPolicyFailure(step, outcome, bootNow());
    }
}

std::vector<PoolReport> ShardOwner::reports() const
{
    std::vector<PoolReport> reports;
    if (!this->isActive()) {
        return reports;
    }
    for (const auto &[service, pool] : this->d->pools) {
        PoolReport report = pool->report(bootNow());
        report.token = this->d->token;
        report.appliedEvacuationNumber = this->d->evacuations.number;
        reports.push_back(std::move(report));
    }
    return reports;
}

std::vector<std::pair<ServiceId, PoolSummary>> ShardOwner::summaries() const
{
    std::vector<std::pair<ServiceId, PoolSummary>> result;
    for (const auto &[service, pool] : this->d->pools) {
        result.emplace_back(service, pool->summary());
    }
    return result;
}

}
