// The owner of one partition.
#include "shardowner.h"

#include <algorithm>
#include <map>

#include "event.h"
#include "recordcodec.h"
#include "streamreader.h"

namespace MangoCourse {

namespace {

using std::chrono::milliseconds;

constexpr const char *producerName = "owner";
constexpr const char *unknownMachine = "?";
constexpr milliseconds appendLimit{1200};
constexpr milliseconds retryPause{80};
// Progress that nobody waits for gathers this long.
constexpr milliseconds persistInterval{30};
constexpr milliseconds persistTurn{5};
constexpr milliseconds tailWait{2000};
// Events that come together are planned for together.
constexpr milliseconds planPause{2};
constexpr milliseconds renewalPause{10};
// Longest wait for ends to become durable before an executor is asked again.
constexpr milliseconds unsavedPatience{400};
constexpr milliseconds renewalRetry{150};
constexpr milliseconds idleCheck{1000};
// What an earlier owner may have started beyond its horizon through slow clocks and rounding.
constexpr milliseconds clearMargin{350};
// Run numbers of one owner stay within this span.
constexpr std::int64_t runSpan = 100'000;

WallTime wallNow()
{
    return std::chrono::time_point_cast<milliseconds>(std::chrono::system_clock::now());
}

TimePoint bootNow()
{
    return BootClock().now();
}

}

class ShardOwner::Private
{
public:
    explicit Private(const OwnerContext &owner, std::int32_t partition, std::int64_t token)
        : owner(owner)
        , partition(partition)
        , token(token)
        , planWanted(owner.context)
        , persistWanted(owner.context)
        , renewWanted(owner.context)
    {
    }

    OwnerContext owner;
    std::int32_t partition;
    std::int64_t token;
    std::int64_t sequence = 0;
    std::int64_t runBase = 0;
    bool isFirstOwner = true;
    bool isStopped = false;
    bool isFenced = false;
    bool isLoaded = false;
    OwnershipTerm term;
    TimePoint clearAt{};
    std::shared_ptr<const FleetConfig> config;
    std::vector<ExecutorInfo> executors;
    EvacuationList evacuations;
    // Executor lives whose use is durable, with their machines.
    std::map<ExecutorKey, MachineId> recorded;
    std::map<ServiceId, std::unique_ptr<PoolScheduler>> pools;
    std::map<JobId, AcceptedJob> unplaced;
    std::map<JobId, JobProgress> progress;
    std::set<JobId> cancelled;
    std::map<ExecutorKey, std::shared_ptr<Event>> renewing;
    std::vector<StoredRecord> extraRecords;
    bool isPersisting = false;
    Event planWanted;
    Event persistWanted;
    Event renewWanted;

    PoolScheduler *poolOf(const ServiceId &service);
    void addJob(const AcceptedJob &job);
    void applyJobRecord(const StoredRecord &record);
    void cancelKnown(const JobId &job);
    void fence(const char *by);
    void observe(const SchedulerEvent &event);
    bool hasChanges() const;
};

PoolScheduler *ShardOwner::Private::poolOf(const ServiceId &service)
{
    const auto found = this->pools.find(service);
    if (found != this->pools.end()) {
        return found->second.get();
    }
    if (!this->config || !this->config->services.contains(service)) {
        return nullptr;
    }
    Result<std::unique_ptr<PoolScheduler>> pool = PoolScheduler::create(service, this->owner.settings.scheduler, this->token, this->runBase, this->clearAt);
    if (!pool) {
        this->owner.log.emit("pool_failed", {{"service", service.value}, {"reason", describe(pool.error())}}, EventWeight::Essential);
        return nullptr;
    }
    PoolScheduler *raw = pool->get();
    raw->setObserver([this](const SchedulerEvent &event) {
        this->observe(event);
    });
    raw->setConfig(*this->config);
    raw->setEarlierExecutors(this->recorded);
    raw->setEvacuations(this->evacuations, bootNow());
    raw->setExecutors(this->executors, bootNow());
    this->pools.emplace(service, std::move(*pool));
    return raw;
}

void ShardOwner::Private::observe(const SchedulerEvent &event)
{
    this->owner.log.emit(event.event,
        {{"job", event.item.job.value}, {"occurrence", std::int64_t(event.item.occurrence)}, {"step", std::int64_t(event.item.step)},
            {"index", std::int64_t(event.item.index)}, {"run", event.run}, {"executor", event.executor.value}, {"token", this->token},
            {"outcome", event.outcome}});
}

void ShardOwner::Private::addJob(const AcceptedJob &job)
{
    ServiceId service = job.service;
    if (this->config && !this->config->services.contains(service)) {
        const QueueConfig *queue = this->config->find(job.queue);
        service = queue != nullptr ? queue->service : service;
    }
    PoolScheduler *pool = this->poolOf(service);
    if (pool == nullptr) {
        this->unplaced.emplace(job.id, job);
        return;
    }
    const auto known = this->progress.find(job.id);
    pool->addJob(job, known == this->progress.end() ? nullptr : &known->second, bootNow(), wallNow());
    if (this->cancelled.contains(job.id)) {
        pool->cancelJob(job.id, wallNow());
    }
}

void ShardOwner::Private::cancelKnown(const JobId &job)
{
    this->cancelled.insert(job);
    for (auto &[service, pool] : this->pools) {
        pool->cancelJob(job, wallNow());
    }
}

void ShardOwner::Private::applyJobRecord(const StoredRecord &record)
{
    const ParsedKey key = parseKey(record.key);
    if (record.value.empty()) {
        return;
    }
    if (key.kind == KeyKind::Cancellation) {
        this->cancelKnown(key.job);
        return;
    }
    Result<AcceptedJob> job = decodeAcceptedJob(key.job, record.value);
    if (!job) {
        this->owner.log.emit("job_unreadable", {{"job", key.job.value}, {"reason", describe(job.error())}}, EventWeight::Essential);
        return;
    }
    this->addJob(*job);
}

void ShardOwner::Private::fence(const char *by)
{
    if (this->isFenced) {
        return;
    }
    this->isFenced = true;
    this->owner.log.emit(
        "ownership_superseded", {{"partition", std::int64_t(this->partition)}, {"token", this->token}, {"seen_by", by}}, EventWeight::Essential);
}

bool ShardOwner::Private::hasChanges() const
{
    return !this->extraRecords.empty() || std::any_of(this->pools.begin(), this->pools.end(), [](const auto &entry) {
        return entry.second->hasChanges();
    });
}

namespace {

// The coroutines of one owner. Each holds the owner alive and ends soon after it was stopped.
template<typename State>
struct OwnerLoops {
    std::shared_ptr<ShardOwner> self;
    State &state;

    bool isOver() const
    {
        return this->state.isStopped || this->state.isFenced;
    }

    // Repeats the call until the store answers; false where the ownership ended meanwhile.
    net::awaitable<bool> appendUntilDurable(std::vector<StoredRecord> records)
    {
        while (!this->state.isStopped) {
            const ProducerStamp stamp{producerName, this->state.token, this->state.sequence};
            Result<void> appended = co_await this->state.owner.store.append(Stream::Progress, this->state.partition, records, stamp, appendLimit);
            if (appended) {
                ++this->state.sequence;
                co_return true;
            }
            if (appended.error().code == ErrorCode::Conflict) {
                this->state.fence(appended.error().message.c_str());
                co_return false;
            }
            this->state.owner.log.emit("progress_delayed",
                {{"partition", std::int64_t(this->state.partition)}, {"token", this->state.token}, {"reason", describe(appended.error())}},
                EventWeight::Essential);
            co_await sleepFor(this->state.owner.context, retryPause);
        }
        co_return false;
    }

    // An empty value would delete the record.
    std::string machineName(const ExecutorKey &key) const
    {
        for (const ExecutorInfo &info : this->state.executors) {
            if (info.id == key.id && !info.machine.isEmpty()) {
                return info.machine.value;
            }
        }
        return unknownMachine;
    }

    net::awaitable<bool> load();
    net::awaitable<void> run();
    net::awaitable<void> tail(std::shared_ptr<StreamReader> reader);
    net::awaitable<void> plan();
    net::awaitable<void> persist();
    net::awaitable<bool> persistOnce();
    net::awaitable<void> renew(PoolScheduler *pool, ExecutorKey key, std::shared_ptr<Event> wanted);
    net::awaitable<void> send(PoolScheduler *pool, StartOrder order);
    net::awaitable<void> send(PoolScheduler *pool, StopOrder order);
    net::awaitable<void> send(PoolScheduler *pool, PaceOrder order);
    net::awaitable<void> ask(PoolScheduler *pool, PolicyQuestion question);
    void dispatch(PoolScheduler *pool, SchedulerOrders orders);
    void watchExecutors();
    template<typename Coroutine>
    void spawn(Coroutine coroutine)
    {
        net::co_spawn(this->state.owner.context, std::move(coroutine), net::detached);
    }
};

template<typename State>
net::awaitable<bool> OwnerLoops<State>::load()
{
    // An empty append sets the epoch: from here on no earlier owner changes the progress.
    std::vector<StoredRecord> none;
    const bool isFenceSet = co_await this->appendUntilDurable(none);
    if (!isFenceSet) {
        co_return false;
    }
    Result<StreamBatch> batch = co_await this->state.owner.store.newest(Stream::Progress, this->state.partition);
    if (!batch) {
        co_return false;
    }
    std::int64_t takeovers = 0;
    for (const StoredRecord &record : batch->records) {
        const ParsedKey key = parseKey(record.key);
        switch (key.kind) {
        case KeyKind::Owner:
            takeovers = std::atoll(record.value.c_str());
            break;
        case KeyKind::Executor:
            this->state.recorded[key.executor] = MachineId{record.value};
            break;
        case KeyKind::Job:
            if (Result<JobProgress> progress = decodeProgress(key.job, record.value)) {
                this->state.progress[key.job] = std::move(*progress);
            }
            break;
        case KeyKind::Cancellation:
            break;
        }
    }
    this->state.runBase = takeovers * runSpan;
    this->state.clearAt = takeovers == 0 ? TimePoint{} : bootNow() + this->state.owner.settings.scheduler.longestLease + clearMargin;
    std::vector<StoredRecord> mark{StoredRecord{ownerKey, std::to_string(takeovers + 1), -1}};
    const bool isMarked = co_await this->appendUntilDurable(std::move(mark));
    co_return isMarked;
}

template<typename State>
net::awaitable<void> OwnerLoops<State>::run()
{
    this->state.owner.log.emit("takeover_started", {{"partition", std::int64_t(this->state.partition)}, {"token", this->state.token}}, EventWeight::Essential);
    while (!this->isOver()) {
        const bool isLoaded = co_await this->load();
        if (isLoaded) {
            break;
        }
        co_await sleepFor(this->state.owner.context, retryPause);
    }
    while (!this->isOver() && !this->state.config) {
        co_await sleepFor(this->state.owner.context, retryPause);
    }
    State *state = &this->state;
    const auto reader = std::make_shared<StreamReader>(this->state.owner.context, this->state.owner.store, Stream::Jobs, this->state.partition,
        StreamReader::Handlers{[] {
                               },
            [state](const StoredRecord &record) {
                state->applyJobRecord(record);
            }});
    while (!this->isOver()) {
        const Result<void> read = co_await reader->follow(milliseconds::zero());
        if (read) {
            break;
        }
        co_await sleepFor(this->state.owner.context, retryPause);
    }
    if (this->isOver()) {
        co_return;
    }
    this->state.isLoaded = true;
    // Pools without jobs are contacted too, so that an earlier owner's work there is found.
    for (const auto &[service, known] : this->state.config->services) {
        if (!known.isStandby && partitionOf(service, this->state.owner.settings.partitions) == this->state.partition) {
            this->state.poolOf(service);
        }
    }
    this->state.owner.log.emit("takeover_done",
        {{"partition", std::int64_t(this->state.partition)}, {"token", this->state.token}, {"pools", std::int64_t(this->state.pools.size())},
            {"known_jobs", std::int64_t(this->state.progress.size())}},
        EventWeight::Essential);
    const auto self = this->self;
    State &owned = this->state;
    this->spawn([self, &owned, reader]() -> net::awaitable<void> {
        OwnerLoops loops{self, owned};
        co_await loops.tail(reader);
    });
    this->spawn([self, &owned]() -> net::awaitable<void> {
        OwnerLoops loops{self, owned};
        co_await loops.persist();
    });
    co_await this->plan();
}

template<typename State>
net::awaitable<void> OwnerLoops<State>::tail(std::shared_ptr<StreamReader> reader)
{
    while (!this->isOver()) {
        const Result<void> read = co_await reader->follow(tailWait);
        if (!read) {
            co_await sleepFor(this->state.owner.context, retryPause);
        }
        this->state.planWanted.notify();
    }
}

template<typename State>
void OwnerLoops<State>::watchExecutors()
{
    for (auto &[service, pool] : this->state.pools) {
        const std::vector<ExecutorKey> keys = pool->executors();
        for (const ExecutorKey &key : keys) {
            if (this->state.renewing.contains(key)) {
                continue;
            }
            const auto wanted = std::make_shared<Event>(this->state.owner.context);
            this->state.renewing.emplace(key, wanted);
            this->spawn([self = this->self, &owned = this->state, raw = pool.get(), key, wanted]() -> net::awaitable<void> {
                OwnerLoops loops{self, owned};
                co_await loops.renew(raw, key, wanted);
            });
        }
    }
}

template<typename State>
net::awaitable<void> OwnerLoops<State>::plan()
{
    while (!this->isOver()) {
        const TimePoint now = bootNow();
        TimePoint wakeup = now + milliseconds(500);
        for (auto &[service, pool] : this->state.pools) {
            const std::vector<ExecutorKey> used = pool->takeNewlyUsed();
            for (const ExecutorKey &key : used) {
                if (this->state.recorded.contains(key)) {
                    pool->markRecorded(key);
                } else {
                    this->state.extraRecords.push_back(StoredRecord{executorKeyName(key), this->machineName(key), -1});
                }
            }
            for (const ExecutorKey &key : pool->takeForgotten()) {
                this->state.recorded.erase(key);
                this->state.extraRecords.push_back(StoredRecord{executorKeyName(key), {}, -1});
            }
        }
        this->watchExecutors();
        for (auto &[service, pool] : this->state.pools) {
            this->dispatch(pool.get(), pool->plan(now, wallNow(), this->state.term));
            wakeup = std::min(wakeup, pool->nextWakeup(now, wallNow()));
            if (this->state.owner.policy != nullptr) {
                for (PolicyQuestion &question : pool->policyQuestions(now)) {
                    this->spawn([self = this->self, &owned = this->state, raw = pool.get(), question]() -> net::awaitable<void> {
                        OwnerLoops loops{self, owned};
                        co_await loops.ask(raw, question);
                    });
                }
            }
        }
        if (this->state.hasChanges()) {
            this->state.persistWanted.notify();
        }
        for (auto &[key, wanted] : this->state.renewing) {
            wanted->notify();
        }
        co_await sleepFor(this->state.owner.context, planPause);
        const auto wait = std::chrono::duration_cast<milliseconds>(wakeup - bootNow());
        co_await this->state.planWanted.waitFor(std::max(milliseconds(1), wait));
    }
}

template<typename State>
void OwnerLoops<State>::dispatch(PoolScheduler *pool, SchedulerOrders orders)
{
    const auto sendAll = [this, pool](auto &list) {
        for (auto &order : list) {
            this->spawn([self = this->self, &owned = this->state, pool, order = std::move(order)]() mutable -> net::awaitable<void> {
                OwnerLoops loops{self, owned};
                co_await loops.send(pool, std::move(order));
            });
        }
    };
    sendAll(orders.stops);
    sendAll(orders.starts);
    sendAll(orders.paces);
}

template<typename State>
net::awaitable<void> OwnerLoops<State>::send(PoolScheduler *pool, StartOrder order)
{
    const ExecutorKey key{order.executor.id, order.executor.born};
    const TimePoint sentAt = bootNow();
    const OrderReply reply = co_await this->state.owner.executors.start(order.executor, order.run);
    if (reply.outcome == OrderOutcome::Fenced) {
        this->state.fence("executor");
    }
    this->state.owner.log.emit("run_start",
        {{"job", order.run.item.job.value}, {"occurrence", std::int64_t(order.run.item.occurrence)}, {"step", std::int64_t(order.run.item.step)},
            {"index", std::int64_t(order.run.item.index)}, {"run", order.run.run}, {"executor", order.executor.id.value}, {"token", order.run.token},
            {"outcome", toString(reply.outcome)}});
    pool->onStarted(key, order.run, reply, sentAt, bootNow());
    if (reply.outcome != OrderOutcome::Done) {
        this->state.planWanted.notify();
    }
}

template<typename State>
net::awaitable<void> OwnerLoops<State>::send(PoolScheduler *pool, StopOrder order)
{
    const ExecutorKey key{order.executor.id, order.executor.born};
    const TimePoint sentAt = bootNow();
    const OrderReply reply = co_await this->state.owner.executors.stop(order.executor, order.run);
    if (reply.outcome == OrderOutcome::Fenced) {
        this->state.fence("executor");
    }
    pool->onStopped(key, order.run, reply, sentAt, bootNow());
}

template<typename State>
net::awaitable<void> OwnerLoops<State>::send(PoolScheduler *pool, PaceOrder order)
{
    (void)pool;
    const OrderReply reply = co_await this->state.owner.executors.pace(order.executor, order.run);
    if (reply.outcome == OrderOutcome::Fenced) {
        this->state.fence("executor");
    }
    this->state.owner.log.emit("run_paced",
        {{"job", order.run.item.job.value}, {"index", std::int64_t(order.run.item.index)}, {"executor", order.executor.id.value},
            {"percent", std::int64_t(order.run.percent)}, {"outcome", toString(reply.outcome)}});
}

template<typename State>
net::awaitable<void> OwnerLoops<State>::ask(PoolScheduler *pool, PolicyQuestion question)
{
    Result<PolicyAnswer> answer = co_await this->state.owner.policy->advise(question.step, question.executors);
    if (!answer) {
        this->state.owner.log.emit("policy_failed", {{"job", question.step.job.value}, {"reason", describe(answer.error())}}, EventWeight::Essential);
        co_await sleepFor(this->state.owner.context, retryPause);
        answer = PolicyAnswer{};
    }
    pool->onPolicy(question.step, *answer, bootNow());
    this->state.planWanted.notify();
}

template<typename State>
net::awaitable<void> OwnerLoops<State>::renew(PoolScheduler *pool, ExecutorKey key, std::shared_ptr<Event> wanted)
{
    while (!this->isOver()) {
        const TimePoint sentAt = bootNow();
        const std::optional<RenewalPlan> plan = pool->renewal(key, sentAt, this->state.term.horizon);
        if (!plan) {
            const std::vector<ExecutorKey> known = pool->executors();
            if (std::find(known.begin(), known.end(), key) == known.end()) {
                break;
            }
            co_await wanted->waitFor(idleCheck);
            continue;
        }
        const ExecutorReport report = co_await this->state.owner.executors.renew(plan->executor, plan->renewal);
        if (report.outcome == OrderOutcome::Fenced) {
            this->state.fence("executor");
            break;
        }
        if (this->isOver()) {
            break;
        }
        pool->onReport(key, report, sentAt, bootNow(), wallNow());
        this->state.planWanted.notify();
        co_await sleepFor(this->state.owner.context, report.outcome == OrderOutcome::Done ? renewalPause : renewalRetry);
        const TimePoint patience = bootNow() + unsavedPatience;
        while (!this->isOver() && pool->hasUnsavedEnds(key) && bootNow() < patience) {
            co_await wanted->waitFor(unsavedPatience);
        }
    }
    this->state.renewing.erase(key);
}

template<typename State>
net::awaitable<bool> OwnerLoops<State>::persistOnce()
{
    // Two appends under way would carry the same sequence, and the store would take the second for a repeat of the first.
    while (this->state.isPersisting) {
        co_await sleepFor(this->state.owner.context, persistTurn);
    }
    this->state.isPersisting = true;
    std::vector<StoredRecord> records = std::move(this->state.extraRecords);
    this->state.extraRecords.clear();
    std::vector<ExecutorKey> newlyRecorded;
    for (const StoredRecord &record : records) {
        if (!record.value.empty()) {
            newlyRecorded.push_back(parseKey(record.key).executor);
        }
    }
    for (auto &[service, pool] : this->state.pools) {
        for (const JobProgress &progress : pool->takeChanged()) {
            records.push_back(StoredRecord{progress.id.value, encodeProgress(progress), -1});
            if (isFinal(progress.state)) {
                this->state.owner.log.emit("job_ended",
                    {{"job", progress.id.value}, {"queue", progress.queue.value}, {"state", toString(progress.state)}, {"token", this->state.token}});
            }
        }
    }
    if (records.empty()) {
        this->state.isPersisting = false;
        co_return true;
    }
    const bool isDurable = co_await this->appendUntilDurable(std::move(records));
    if (isDurable) {
        for (const ExecutorKey &key : newlyRecorded) {
            this->state.recorded[key] = MachineId{this->machineName(key)};
        }
        for (auto &[service, pool] : this->state.pools) {
            pool->markPersisted();
            for (const ExecutorKey &key : newlyRecorded) {
                pool->markRecorded(key);
            }
        }
        this->state.planWanted.notify();
        for (auto &[key, wanted] : this->state.renewing) {
            wanted->notify();
        }
    }
    this->state.isPersisting = false;
    co_return isDurable;
}

template<typename State>
net::awaitable<void> OwnerLoops<State>::persist()
{
    while (!this->isOver()) {
        co_await this->state.persistWanted.waitFor(milliseconds(1000));
        const bool isUrgent = !this->state.extraRecords.empty() || std::any_of(this->state.pools.begin(), this->state.pools.end(), [](const auto &entry) {
            return entry.second->hasUrgentChange();
        });
        if (!isUrgent) {
            co_await sleepFor(this->state.owner.context, persistInterval);
        }
        if (this->isOver()) {
            break;
        }
        co_await this->persistOnce();
    }
}

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
            OwnerLoops<Private> loops{self, *self->d};
            co_await loops.run();
        },
        net::detached);
}

void ShardOwner::stop()
{
    this->d->isStopped = true;
    this->d->planWanted.notify();
    this->d->persistWanted.notify();
    for (auto &[key, wanted] : this->d->renewing) {
        wanted->notify();
    }
}

net::awaitable<void> ShardOwner::handOver()
{
    if (this->d->isLoaded && !this->d->isFenced) {
        OwnerLoops<Private> loops{this->shared_from_this(), *this->d};
        co_await loops.persistOnce();
    }
    this->stop();
}

void ShardOwner::setTerm(const OwnershipTerm &term)
{
    this->d->term = term;
    this->d->planWanted.notify();
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
    for (const auto &[service, known] : this->d->config->services) {
        if (!known.isStandby && partitionOf(service, this->d->owner.settings.partitions) == this->d->partition) {
            this->d->poolOf(service);
        }
    }
    const std::map<JobId, AcceptedJob> unplaced = std::move(this->d->unplaced);
    this->d->unplaced.clear();
    for (const auto &[id, job] : unplaced) {
        this->d->addJob(job);
    }
    this->d->planWanted.notify();
}

void ShardOwner::setExecutors(const std::vector<ExecutorInfo> &executors)
{
    this->d->executors = executors;
    for (auto &[service, pool] : this->d->pools) {
        pool->setExecutors(executors, bootNow());
    }
    this->d->planWanted.notify();
}

void ShardOwner::setEvacuations(const EvacuationList &list)
{
    this->d->evacuations = list;
    for (auto &[service, pool] : this->d->pools) {
        pool->setEvacuations(list, bootNow());
    }
    this->d->planWanted.notify();
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

std::vector<PoolReport> ShardOwner::reports() const
{
    std::vector<PoolReport> reports;
    if (!this->isActive()) {
        return reports;
    }
    for (const auto &[service, pool] : this->d->pools) {
        PoolReport report = pool->report(bootNow());
        report.token = this->d->token;
        report.evacuationsSeen = this->d->evacuations.number;
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
