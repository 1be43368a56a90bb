// Coroutines of a partition's owner: takeover, reading of requests, planning, orders and lease renewals.
#include "shardowner_pvt.h"

#include <algorithm>

#include "planningduty.h"
#include "relaycodec.h"

namespace MangoCourse {

namespace {

using std::chrono::milliseconds;

// Without new records the watermark is up to two poll timeouts old. This has to stay well below the age at which starts are withheld.
constexpr milliseconds jobsPollTimeout{500};
// Gateways need the appender's address only while the store is slow for them, so its record need not be stored at once.
constexpr milliseconds minAppenderRetryDelay{500};
constexpr milliseconds maxAppenderRetryDelay{8000};
// Events that arrive within this time are handled by one plan.
constexpr milliseconds minPlanDelay{2};
// After a plan the owner pauses for this multiple of the planning time, up to maxPlanDelay.
constexpr int planRestFactor = 3;
constexpr milliseconds maxPlanDelay{40};
constexpr milliseconds renewalDelay{10};
constexpr milliseconds acknowledgementDelay{50};
// Maximum time to wait until reported ends can be acknowledged before the executor is asked again.
constexpr milliseconds maxAcknowledgementWait{400};
constexpr milliseconds idleRenewalInterval{3000};

std::int64_t elapsedMs(TimePoint since, TimePoint now)
{
    return std::chrono::duration_cast<milliseconds>(now - since).count();
}

}

net::awaitable<void> ShardOwner::Tasks::run()
{
    this->state.owner.log.emit(
        "takeover_started", {{"partition", std::int64_t(this->state.partition)}, {"token", this->state.token}}, EventPriority::Essential);
    this->spawn([self = this->self, &sharedState = this->state]() -> net::awaitable<void> {
        Tasks tasks{self, sharedState};
        co_await tasks.reviewWaiting();
    });
    while (!this->isEnded()) {
        const bool isLoaded = co_await this->load();
        if (isLoaded) {
            break;
        }
        co_await sleepFor(this->state.owner.context, retryDelay);
    }
    if (this->state.owner.quotas) {
        this->spawn([self = this->self, &sharedState = this->state]() -> net::awaitable<void> {
            Tasks tasks{self, sharedState};
            co_await tasks.findPlanEnd();
        });
    }
    this->state.awaited = "there is no configuration";
    while (!this->isEnded() && !this->state.config) {
        co_await sleepFor(this->state.owner.context, retryDelay);
    }
    this->state.awaited = "the jobs are not read";
    Private *state = &this->state;
    state->jobsReader = std::make_unique<StreamReader>(this->state.owner.context, this->state.owner.store, Stream::Jobs, this->state.partition,
        StreamReader::Handlers{[] {
                               },
            [state](const StoredRecord &record) {
                state->applyJobRecord(record);
            }});
    while (!this->isEnded()) {
        const Result<void> read = co_await state->jobsReader->follow(milliseconds::zero());
        if (read) {
            break;
        }
        co_await sleepFor(this->state.owner.context, retryDelay);
    }
    if (this->isEnded()) {
        co_return;
    }
    this->state.isLoaded = true;
    // Pools without jobs are contacted too, to find work that an earlier owner started there.
    for (const auto &[service, serviceConfig] : this->state.config->services) {
        if (!serviceConfig.isStandby && partitionOf(service, this->state.owner.settings.partitions) == this->state.partition) {
            this->state.findOrCreatePool(service);
        }
    }
    this->state.owner.log.emit("takeover_done",
        {{"partition", std::int64_t(this->state.partition)}, {"token", this->state.token}, {"pools", std::int64_t(this->state.pools.size())},
            {"known_jobs", std::int64_t(this->state.progress.size())}},
        EventPriority::Essential);
    const auto self = this->self;
    Private &sharedState = this->state;
    this->spawn([self, &sharedState]() -> net::awaitable<void> {
        Tasks tasks{self, sharedState};
        co_await tasks.recordAppender();
    });
    this->spawn([self, &sharedState]() -> net::awaitable<void> {
        Tasks tasks{self, sharedState};
        co_await tasks.followJobs();
    });
    this->spawn([self, &sharedState]() -> net::awaitable<void> {
        Tasks tasks{self, sharedState};
        co_await tasks.persist();
    });
    this->spawn([self, &sharedState]() -> net::awaitable<void> {
        Tasks tasks{self, sharedState};
        co_await tasks.expireJobs();
    });
    this->spawn([self, &sharedState]() -> net::awaitable<void> {
        Tasks tasks{self, sharedState};
        co_await tasks.recordSilence();
    });
    this->spawn([self, &sharedState]() -> net::awaitable<void> {
        Tasks tasks{self, sharedState};
        co_await tasks.settleHeldJobs();
    });
    if (this->state.owner.placements) {
        this->spawn([self, &sharedState]() -> net::awaitable<void> {
            Tasks tasks{self, sharedState};
            co_await tasks.maintainPlacements();
        });
    }
    co_await this->plan();
}

net::awaitable<void> ShardOwner::Tasks::recordAppender()
{
    const NodeSettings &settings = this->state.owner.settings;
    SystemErrorCode error;
    const auto host = net::ip::make_address(settings.admin.host, error);
    if (settings.admin.port == 0 || error || host.is_unspecified()) {
        co_return;
    }
    const std::string key = appenderKey(this->state.partition);
    const std::string value = encodeAppenderAddress(AppenderAddress{settings.name, settings.admin, this->state.token});
    // The store keeps only the newest record of a key, so the record of an earlier owner must not follow this one.
    const ProducerStamp stamp{key, this->state.token, 0};
    milliseconds delay = minAppenderRetryDelay;
    while (!this->isEnded()) {
        std::vector<StoredRecord> records{StoredRecord{key, value, -1}};
        const Result<void> appended = co_await this->state.owner.store.append(Stream::Plan, appenderPartition, std::move(records), stamp, appendTimeout);
        // A conflict or a refusal is not temporary, and without the record gateways append to the store.
        const bool isFinal = appended || (provesNotDone(appended.error().code) && appended.error().code != ErrorCode::Unavailable);
        this->state.owner.log.emit("appender_recorded",
            {{"partition", std::int64_t(this->state.partition)}, {"token", this->state.token}, {"endpoint", toString(settings.admin)},
                {"durable", appended.has_value()}, {"error", appended ? std::string() : describe(appended.error())}},
            EventPriority::Essential);
        if (isFinal) {
            co_return;
        }
        co_await sleepFor(this->state.owner.context, delay);
        delay = std::min(2 * delay, maxAppenderRetryDelay);
    }
}

net::awaitable<void> ShardOwner::Tasks::findPlanEnd()
{
    while (!this->isEnded()) {
        const std::int64_t position = this->state.owner.quotas->position();
        if (position >= 0) {
            const Result<StreamBatch> batch = co_await this->state.owner.store.read(Stream::Plan, plannerPartition, position, milliseconds::zero());
            if (batch) {
                this->state.planEndAtTakeover = batch->end;
                this->self->updateDivisions();
                co_return;
            }
        }
        co_await sleepFor(this->state.owner.context, retryDelay);
    }
}

net::awaitable<void> ShardOwner::Tasks::followJobs()
{
    // Records stored during the takeover, or while the store was unavailable, are read without waiting for more.
    milliseconds wait{};
    while (!this->isEnded()) {
        const Result<void> read = co_await this->state.jobsReader->follow(wait);
        wait = read ? jobsPollTimeout : milliseconds::zero();
        if (!read) {
            co_await sleepFor(this->state.owner.context, retryDelay);
        }
        this->state.planRequested.notify();
    }
}

void ShardOwner::Tasks::startRenewals(PoolScheduler *pool)
{
    for (const ExecutorKey &key : pool->executors()) {
        if (this->state.renewalEvents.contains(key)) {
            continue;
        }
        const auto renewalRequested = std::make_shared<Event>(this->state.owner.context);
        this->state.renewalEvents.emplace(key, renewalRequested);
        this->spawn([self = this->self, &sharedState = this->state, pool, key, renewalRequested]() -> net::awaitable<void> {
            Tasks tasks{self, sharedState};
            co_await tasks.renewLeases(pool, key, renewalRequested);
        });
    }
}

void ShardOwner::Tasks::wakeRenewals()
{
    for (auto &[service, pool] : this->state.pools) {
        for (const ExecutorKey &key : pool->takePendingRenewals()) {
            const auto found = this->state.renewalEvents.find(key);
            if (found != this->state.renewalEvents.end()) {
                found->second->notify();
            }
        }
    }
}

net::awaitable<void> ShardOwner::Tasks::plan()
{
    while (!this->isEnded()) {
        const TimePoint now = bootNow();
        TimePoint wakeup = now + milliseconds(500);
        for (auto &[service, pool] : this->state.pools) {
            this->recordExecutorUse(service, *pool);
            if (pool->takeExecutorSetChanged()) {
                this->startRenewals(pool.get());
            }
            this->dispatch(pool.get(), pool->plan(now, wallNow(), this->state.term, this->state.watermarks()));
            wakeup = std::min(wakeup, pool->nextWakeup(now, wallNow()));
            if (this->state.owner.policyWanted != nullptr && pool->mayNeedPolicy()) {
                this->state.owner.policyWanted->notify();
            }
        }
        if (this->state.hasChanges()) {
            this->state.persistRequested.notify();
        }
        this->wakeRenewals();
        // Limits the share of CPU time that planning takes, so that renewals, replies and the membership are not starved.
        const auto rest = std::chrono::duration_cast<milliseconds>(planRestFactor * (bootNow() - now));
        co_await sleepFor(this->state.owner.context, std::clamp(rest, minPlanDelay, maxPlanDelay));
        const auto wait = std::chrono::duration_cast<milliseconds>(wakeup - bootNow());
        co_await this->state.planRequested.waitFor(std::max(milliseconds(1), wait));
    }
}

void ShardOwner::Tasks::dispatch(PoolScheduler *pool, SchedulerOrders orders)
{
    const auto sendAll = [this, pool](auto &list) {
        for (auto &order : list) {
            this->spawn([self = this->self, &sharedState = this->state, pool, order = std::move(order)]() mutable -> net::awaitable<void> {
                Tasks tasks{self, sharedState};
                co_await tasks.send(pool, std::move(order));
            });
        }
    };
    sendAll(orders.stops);
    sendAll(orders.starts);
    sendAll(orders.paces);
}

net::awaitable<void> ShardOwner::Tasks::send(PoolScheduler *pool, StartOrder order)
{
    const ExecutorKey key{order.executor.id, order.executor.incarnation};
    const TimePoint sentAt = bootNow();
    // The owner may have been stopped or fenced off while this coroutine waited to run.
    if (this->isEnded()) {
        co_return;
    }
    if (!pool->confirmStart(order, this->state.watermarks(), sentAt)) {
        order.place.reset();
        this->state.planRequested.notify();
        co_return;
    }
    SendCondition maySend = [self = this->self, &sharedState = this->state, pool, key](TimePoint connectionOpenedAt) {
        const bool hasEnded = sharedState.isStopped || sharedState.isFenced;
        if (hasEnded || !pool->isIncarnationUp(key)) {
            return SendVerdict::Withhold;
        }
        return pool->mayStartOver(key, connectionOpenedAt) ? SendVerdict::Send : SendVerdict::Identify;
    };
    const OrderReply reply = co_await this->state.owner.executors.start(order.executor, order.run, std::move(maySend));
    this->checkFence(*pool, key.id, order.run.token, reply.outcome);
    this->state.owner.log.emit("run_start",
        {{"job", order.run.item.job.value}, {"occurrence", std::int64_t(order.run.item.occurrence)}, {"step", std::int64_t(order.run.item.step)},
            {"index", std::int64_t(order.run.item.index)}, {"run", order.run.run}, {"executor", order.executor.id.value}, {"token", order.run.token},
            {"outcome", toString(reply.outcome)}, {"repeat_outcome", reply.repeatOutcome ? toString(*reply.repeatOutcome) : ""},
            {"view_age_ms", elapsedMs(order.watermarks.requestWatermark, order.decidedAt)}, {"order_wait_ms", elapsedMs(order.decidedAt, sentAt)},
            {"repeat", order.isRepeat}});
    pool->onStarted(key, order.run, reply, sentAt, bootNow());
    this->wakeRenewals();
    if (reply.outcome != OrderOutcome::Done) {
        this->state.planRequested.notify();
    }
    this->endOrder(*pool, order.place);
}

net::awaitable<void> ShardOwner::Tasks::send(PoolScheduler *pool, StopOrder order)
{
    const ExecutorKey key{order.executor.id, order.executor.incarnation};
    const OrderReply reply = co_await this->state.owner.executors.stop(order.executor, order.run);
    this->checkFence(*pool, key.id, order.run.token, reply.outcome);
    pool->onStopped(key, order.run, reply, bootNow());
    this->endOrder(*pool, order.place);
}

net::awaitable<void> ShardOwner::Tasks::send(PoolScheduler *pool, PaceOrder order)
{
    const ExecutorKey key{order.executor.id, order.executor.incarnation};
    const OrderReply reply = co_await this->state.owner.executors.pace(order.executor, order.run);
    this->checkFence(*pool, key.id, order.run.token, reply.outcome);
    this->state.owner.log.emit("run_paced",
        {{"job", order.run.item.job.value}, {"index", std::int64_t(order.run.item.index)}, {"executor", order.executor.id.value},
            {"percent", std::int64_t(order.run.percent)}, {"outcome", toString(reply.outcome)}});
    pool->onPaced(key, order, reply, bootNow());
    this->endOrder(*pool, order.place);
}

void ShardOwner::Tasks::endOrder(const PoolScheduler &pool, OrderBudget::Place &place)
{
    place.reset();
    if (pool.areOrdersHeld()) {
        this->state.planRequested.notify();
    }
}

void ShardOwner::Tasks::checkFence(const PoolScheduler &pool, const ExecutorId &executor, std::int64_t fencingToken, OrderOutcome outcome)
{
    if (outcome != OrderOutcome::Fenced) {
        return;
    }
    if (pool.isOvertaken(executor, fencingToken)) {
        this->state.owner.log.emit("call_overtaken",
            {{"executor", executor.value}, {"call_token", fencingToken}, {"partition", std::int64_t(this->state.partition)}, {"token", this->state.token}});
        return;
    }
    this->state.markFenced("executor");
}

net::awaitable<void> ShardOwner::Tasks::renewLeases(PoolScheduler *pool, ExecutorKey key, std::shared_ptr<Event> renewalRequested)
{
    std::optional<ExecutorInfo> lastExecutor;
    while (!this->isEnded()) {
        const TimePoint sentAt = bootNow();
        const std::optional<RenewalPlan> plan = pool->renewal(key, sentAt, this->state.term.expiresAt);
        if (!plan) {
            if (!pool->hasExecutor(key)) {
                break;
            }
            co_await renewalRequested->waitFor(idleRenewalInterval);
            continue;
        }
        lastExecutor = plan->executor;
        const ExecutorReport report = co_await this->state.owner.executors.renew(plan->executor, plan->renewal);
        this->checkFence(*pool, key.id, plan->renewal.token, report.outcome);
        if (this->isEnded()) {
            break;
        }
        if (report.outcome == OrderOutcome::Fenced) {
            pool->onReport(key, report, sentAt, bootNow(), wallNow());
            co_await sleepFor(this->state.owner.context, renewalDelay);
            continue;
        }
        pool->onReport(key, report, sentAt, bootNow(), wallNow());
        this->state.planRequested.notify();
        // Ends that come soon after one another are acknowledged together, as each acknowledgement takes a call.
        const bool hasEndsAndWork = !report.ended.empty() && !report.running.empty();
        const milliseconds nextDelay = hasEndsAndWork ? acknowledgementDelay : renewalDelay;
        co_await sleepFor(this->state.owner.context, report.outcome == OrderOutcome::Done ? nextDelay : plan->retryDelay);
        const TimePoint deadline = bootNow() + maxAcknowledgementWait;
        while (!this->isEnded() && pool->hasUnacknowledgeableEnds(key, bootNow()) && bootNow() < deadline) {
            co_await renewalRequested->waitFor(maxAcknowledgementWait);
        }
    }
    if (lastExecutor) {
        this->state.owner.executors.closeConnections(*lastExecutor);
    }
    this->state.renewalEvents.erase(key);
    for (auto &[service, other] : this->state.pools) {
        if (!this->isEnded() && other.get() != pool && other->hasExecutor(key)) {
            this->startRenewals(other.get());
        }
    }
}

}
