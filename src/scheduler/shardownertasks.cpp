// The coroutines of a partition's owner: taking over, following, planning, orders, renewals, progress.
#include "shardowner_pvt.h"

#include <algorithm>

namespace MangoCourse {

namespace {

using std::chrono::milliseconds;

constexpr const char *producerName = "owner";
constexpr milliseconds appendLimit{1200};
constexpr milliseconds retryPause{80};
// Progress that nobody waits for gathers this long.
constexpr milliseconds persistInterval{30};
constexpr milliseconds persistTurn{5};
// While nothing comes the view is up to two waits old, which has to stay well under the age at which starts are held up.
constexpr milliseconds tailWait{500};
// Events that come together are planned for together.
constexpr milliseconds planPause{2};
// After a plan the owner rests this many times as long as it took, up to the bound.
constexpr int planRest = 3;
constexpr milliseconds longestPlanPause{40};
constexpr milliseconds renewalPause{10};
// Longest wait for ends to become durable before an executor is asked again.
constexpr milliseconds unsavedPatience{400};
constexpr milliseconds renewalRetry{150};
constexpr milliseconds idleCheck{3000};
// What an earlier owner may have started beyond its horizon through slow clocks and rounding.
constexpr milliseconds clearMargin{350};
constexpr milliseconds expiryInterval{2500};
// A gateway looks into the states first and into the submissions then: within this time it has done both.
constexpr milliseconds submissionMemory{5000};
// Submissions may be repeated, or carried out late by the store, for this long after the state is asked for no more.
constexpr milliseconds expiryMargin{60'000};
// Run numbers of one owner stay within this span.
constexpr std::int64_t runSpan = 100'000;

std::int64_t age(TimePoint since, TimePoint now)
{
    return std::chrono::duration_cast<milliseconds>(now - since).count();
}

}

net::awaitable<bool> ShardOwner::Loops::appendUntilDurable(std::vector<StoredRecord> records)
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
            {{"partition", std::int64_t(this->state.partition)}, {"token", this->state.token}, {"reason", describe(appended.error())}}, EventPriority::Essential);
        co_await sleepFor(this->state.owner.context, retryPause);
    }
    co_return false;
}

ExecutorLocation ShardOwner::Loops::placeOf(const ExecutorKey &key, const ServiceId &service) const
{
    const auto &known = this->state.executors;
    const auto info = std::find_if(known.begin(), known.end(), [&key](const ExecutorInfo &one) {
        return one.id == key.id && one.incarnation == key.incarnation;
    });
    return ExecutorLocation{info == known.end() ? MachineId{} : info->machine, service};
}

net::awaitable<bool> ShardOwner::Loops::load()
{
    // An empty append sets the epoch: from here on no earlier owner changes the progress.
    std::vector<StoredRecord> none;
    const bool isFenceSet = co_await this->appendUntilDurable(none);
    if (!isFenceSet) {
        co_return false;
    }
    Result<StreamBatch> batch = co_await this->state.owner.store.readSnapshot(Stream::Progress, this->state.partition);
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
            if (Result<ExecutorLocation> place = decodeExecutorPlace(record.value)) {
                this->state.recorded[key.executor] = std::move(*place);
            } else {
                this->state.owner.log.emit(
                    "executor_unreadable", {{"executor", key.executor.id.value}, {"reason", describe(place.error())}}, EventPriority::Essential);
            }
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
    this->state.runNumberBase = takeovers * runSpan;
    this->state.previousLeasesExpireAt = takeovers == 0 ? TimePoint{} : bootNow() + this->state.owner.settings.scheduler.maxLeaseLength + clearMargin;
    std::vector<StoredRecord> mark{StoredRecord{ownerKey, std::to_string(takeovers + 1), -1}};
    const bool isMarked = co_await this->appendUntilDurable(std::move(mark));
    co_return isMarked;
}

net::awaitable<void> ShardOwner::Loops::run()
{
    this->state.owner.log.emit("takeover_started", {{"partition", std::int64_t(this->state.partition)}, {"token", this->state.token}}, EventPriority::Essential);
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
    Private *state = &this->state;
    state->callers = std::make_unique<StreamReader>(this->state.owner.context, this->state.owner.store, Stream::Jobs, this->state.partition,
        StreamReader::Handlers{[] {
                               },
            [state](const StoredRecord &record) {
                state->applyJobRecord(record);
            }});
    while (!this->isOver()) {
        const Result<void> read = co_await state->callers->follow(milliseconds::zero());
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
        EventPriority::Essential);
    const auto self = this->self;
    Private &owned = this->state;
    this->spawn([self, &owned]() -> net::awaitable<void> {
        Loops loops{self, owned};
        co_await loops.tail();
    });
    this->spawn([self, &owned]() -> net::awaitable<void> {
        Loops loops{self, owned};
        co_await loops.persist();
    });
    this->spawn([self, &owned]() -> net::awaitable<void> {
        Loops loops{self, owned};
        co_await loops.expireJobs();
    });
    co_await this->plan();
}

net::awaitable<void> ShardOwner::Loops::tail()
{
    // What was stored during the takeover, or while the store was away, is asked for without waiting for more.
    milliseconds wait{};
    while (!this->isOver()) {
        const Result<void> read = co_await this->state.callers->follow(wait);
        wait = read ? tailWait : milliseconds::zero();
        if (!read) {
            co_await sleepFor(this->state.owner.context, retryPause);
        }
        this->state.planWanted.notify();
    }
}

void ShardOwner::Loops::watchExecutors(PoolScheduler *pool)
{
    for (const ExecutorKey &key : pool->executors()) {
        if (this->state.renewing.contains(key)) {
            continue;
        }
        const auto wanted = std::make_shared<Event>(this->state.owner.context);
        this->state.renewing.emplace(key, wanted);
        this->spawn([self = this->self, &owned = this->state, pool, key, wanted]() -> net::awaitable<void> {
            Loops loops{self, owned};
            co_await loops.renew(pool, key, wanted);
        });
    }
}

void ShardOwner::Loops::wakeRenewals()
{
    for (auto &[service, pool] : this->state.pools) {
        for (const ExecutorKey &key : pool->takePendingRenewals()) {
            const auto renewing = this->state.renewing.find(key);
            if (renewing != this->state.renewing.end()) {
                renewing->second->notify();
            }
        }
    }
}

void ShardOwner::Loops::noteUse(const ServiceId &service, PoolScheduler &pool)
{
    for (const ExecutorKey &key : pool.takeUnrecordedExecutors()) {
        if (this->state.recorded.contains(key)) {
            pool.markRecorded(key);
        } else {
            this->state.extraRecords.push_back(StoredRecord{executorKeyName(key), encodeExecutorPlace(this->placeOf(key, service)), -1});
        }
    }
    for (const ExecutorKey &key : pool.takeEndedExecutors()) {
        this->state.recorded.erase(key);
        this->state.extraRecords.push_back(StoredRecord{executorKeyName(key), {}, -1});
    }
}

void ShardOwner::Loops::askPolicies(PoolScheduler *pool, TimePoint now)
{
    if (this->state.owner.policy == nullptr) {
        return;
    }
    for (PolicyRequest &question : pool->takePolicyRequests(now)) {
        this->spawn([self = this->self, &owned = this->state, pool, question]() -> net::awaitable<void> {
            Loops loops{self, owned};
            co_await loops.ask(pool, question);
        });
    }
}

net::awaitable<void> ShardOwner::Loops::plan()
{
    while (!this->isOver()) {
        const TimePoint now = bootNow();
        TimePoint wakeup = now + milliseconds(500);
        for (auto &[service, pool] : this->state.pools) {
            this->noteUse(service, *pool);
            if (pool->takeExecutorSetChanged()) {
                this->watchExecutors(pool.get());
            }
            this->dispatch(pool.get(), pool->plan(now, wallNow(), this->state.term, this->state.view()));
            wakeup = std::min(wakeup, pool->nextWakeup(now, wallNow()));
            this->askPolicies(pool.get(), now);
        }
        if (this->state.hasChanges()) {
            this->state.persistWanted.notify();
        }
        this->wakeRenewals();
        // A plan takes at most its share of the processor, so that renewals, answers and the membership keep theirs.
        const auto rest = std::chrono::duration_cast<milliseconds>(planRest * (bootNow() - now));
        co_await sleepFor(this->state.owner.context, std::clamp(rest, planPause, longestPlanPause));
        const auto wait = std::chrono::duration_cast<milliseconds>(wakeup - bootNow());
        co_await this->state.planWanted.waitFor(std::max(milliseconds(1), wait));
    }
}

void ShardOwner::Loops::dispatch(PoolScheduler *pool, SchedulerOrders orders)
{
    const auto sendAll = [this, pool](auto &list) {
        for (auto &order : list) {
            this->spawn([self = this->self, &owned = this->state, pool, order = std::move(order)]() mutable -> net::awaitable<void> {
                Loops loops{self, owned};
                co_await loops.send(pool, std::move(order));
            });
        }
    };
    sendAll(orders.stops);
    sendAll(orders.starts);
    sendAll(orders.paces);
}

net::awaitable<void> ShardOwner::Loops::send(PoolScheduler *pool, StartOrder order)
{
    const ExecutorKey key{order.executor.id, order.executor.incarnation};
    const TimePoint sentAt = bootNow();
    // The order may have waited for its turn on the processor.
    if (this->isOver()) {
        co_return;
    }
    if (!pool->confirmStart(order, this->state.view(), sentAt)) {
        this->state.planWanted.notify();
        co_return;
    }
    const OrderReply reply = co_await this->state.owner.executors.start(order.executor, order.run);
    if (reply.outcome == OrderOutcome::Fenced) {
        this->state.fence("executor");
    }
    this->state.owner.log.emit("run_start",
        {{"job", order.run.item.job.value}, {"occurrence", std::int64_t(order.run.item.occurrence)}, {"step", std::int64_t(order.run.item.step)},
            {"index", std::int64_t(order.run.item.index)}, {"run", order.run.run}, {"executor", order.executor.id.value}, {"token", order.run.token},
            {"outcome", toString(reply.outcome)}, {"view_age_ms", age(order.view.requestWatermark, order.decidedAt)},
            {"order_wait_ms", age(order.decidedAt, sentAt)}});
    pool->onStarted(key, order.run, reply, sentAt, bootNow());
    if (reply.outcome != OrderOutcome::Done) {
        this->state.planWanted.notify();
    }
}

net::awaitable<void> ShardOwner::Loops::send(PoolScheduler *pool, StopOrder order)
{
    const ExecutorKey key{order.executor.id, order.executor.incarnation};
    const OrderReply reply = co_await this->state.owner.executors.stop(order.executor, order.run);
    if (reply.outcome == OrderOutcome::Fenced) {
        this->state.fence("executor");
    }
    pool->onStopped(key, order.run, reply, bootNow());
}

net::awaitable<void> ShardOwner::Loops::send(PoolScheduler *pool, PaceOrder order)
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

net::awaitable<void> ShardOwner::Loops::ask(PoolScheduler *pool, PolicyRequest question)
{
    Result<PolicyAnswer> answer = co_await this->state.owner.policy->advise(question.step, question.executors);
    if (!answer) {
        this->state.owner.log.emit("policy_failed", {{"job", question.step.job.value}, {"reason", describe(answer.error())}}, EventPriority::Essential);
        co_await sleepFor(this->state.owner.context, retryPause);
        answer = PolicyAnswer{};
    }
    pool->onPolicyAnswer(question.step, *answer, bootNow());
    this->state.planWanted.notify();
}

net::awaitable<void> ShardOwner::Loops::renew(PoolScheduler *pool, ExecutorKey key, std::shared_ptr<Event> wanted)
{
    std::optional<ExecutorInfo> called;
    while (!this->isOver()) {
        const TimePoint sentAt = bootNow();
        const std::optional<RenewalPlan> plan = pool->renewal(key, sentAt, this->state.term.horizon);
        if (!plan) {
            if (!pool->hasExecutor(key)) {
                break;
            }
            co_await wanted->waitFor(idleCheck);
            continue;
        }
        called = plan->executor;
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
        while (!this->isOver() && pool->hasUnpersistedEnds(key) && bootNow() < patience) {
            co_await wanted->waitFor(unsavedPatience);
        }
    }
    if (called) {
        this->state.owner.executors.closeConnections(*called);
    }
    this->state.renewing.erase(key);
}

net::awaitable<bool> ShardOwner::Loops::persistOnce()
{
    // Two appends under way would carry the same sequence, and the store would take the second for a repeat of the first.
    while (this->state.isPersisting) {
        co_await sleepFor(this->state.owner.context, persistTurn);
    }
    this->state.isPersisting = true;
    std::vector<StoredRecord> records = std::move(this->state.extraRecords);
    this->state.extraRecords.clear();
    std::map<ExecutorKey, ExecutorLocation> newlyRecorded;
    for (const StoredRecord &record : records) {
        const ParsedKey key = parseKey(record.key);
        if (key.kind != KeyKind::Executor || record.value.empty()) {
            continue;
        }
        if (const Result<ExecutorLocation> place = decodeExecutorPlace(record.value)) {
            newlyRecorded.emplace(key.executor, *place);
        }
    }
    std::vector<JobId> final;
    for (auto &[service, pool] : this->state.pools) {
        for (const JobProgress &progress : pool->takeChangedJobs()) {
            records.push_back(StoredRecord{progress.id.value, encodeProgress(progress), -1});
            if (isFinal(progress.state)) {
                final.push_back(progress.id);
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
        for (const auto &[key, place] : newlyRecorded) {
            this->state.recorded[key] = place;
        }
        for (JobId &id : final) {
            this->state.finished.emplace_back(bootNow(), std::move(id));
        }
        for (auto &[service, pool] : this->state.pools) {
            pool->markPersisted();
            for (const auto &[key, place] : newlyRecorded) {
                pool->markRecorded(key);
            }
        }
        this->state.planWanted.notify();
        this->wakeRenewals();
    }
    this->state.isPersisting = false;
    co_return isDurable;
}

net::awaitable<void> ShardOwner::Loops::deleteSubmissions(std::vector<JobId> ids)
{
    std::vector<StoredRecord> deleted;
    for (const JobId &id : ids) {
        deleted.push_back(StoredRecord{id.value, {}, -1});
        deleted.push_back(StoredRecord{cancellationKey(id), {}, -1});
    }
    bool isDeleted = deleted.empty();
    while (!isDeleted && !this->isOver()) {
        const Result<void> appended = co_await this->state.owner.store.append(Stream::Jobs, this->state.partition, deleted, std::nullopt, appendLimit);
        isDeleted = appended.has_value();
        if (!isDeleted) {
            this->state.owner.log.emit("deletion_delayed", {{"partition", std::int64_t(this->state.partition)}, {"reason", describe(appended.error())}});
            co_await sleepFor(this->state.owner.context, retryPause);
        }
    }
}

net::awaitable<void> ShardOwner::Loops::expireJobs()
{
    while (!this->isOver()) {
        co_await sleepFor(this->state.owner.context, expiryInterval);
        std::vector<JobId> final;
        const TimePoint before = bootNow() - submissionMemory;
        while (!this->state.finished.empty() && this->state.finished.front().first < before) {
            final.push_back(std::move(this->state.finished.front().second));
            this->state.finished.pop_front();
        }
        const WallTime bound = wallNow() - this->state.owner.settings.statusRetention - expiryMargin;
        std::vector<JobId> expired;
        for (auto &[service, pool] : this->state.pools) {
            const std::vector<JobId> ids = pool->removeJobsEndedBefore(bound);
            expired.insert(expired.end(), ids.begin(), ids.end());
        }
        // Those that expire again: a repeat of the submission may have been stored since.
        final.insert(final.end(), expired.begin(), expired.end());
        co_await this->deleteSubmissions(std::move(final));
        // The state goes last: without the submission it can do no harm, the other way round the job would run again.
        for (const JobId &id : expired) {
            this->state.extraRecords.push_back(StoredRecord{id.value, {}, -1});
            this->state.progress.erase(id);
            this->state.cancelled.erase(id);
        }
    }
}

net::awaitable<void> ShardOwner::Loops::persist()
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
