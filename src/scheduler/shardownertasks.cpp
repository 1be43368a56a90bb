// Coroutines of a partition's owner: takeover, reading of requests, planning, orders, lease renewals and persistence.
#include "shardowner_pvt.h"

#include <algorithm>
#include <charconv>

namespace MangoCourse {

namespace {

using std::chrono::milliseconds;

constexpr const char *producerName = "owner";
constexpr milliseconds appendTimeout{1200};
constexpr milliseconds retryDelay{80};
// A record whose append the store has refused as invalid this many times in a row is given up.
constexpr int maxRefusals = 10;
// Changes without an urgent reader are collected for this long before they are persisted.
constexpr milliseconds persistBatchDelay{30};
constexpr milliseconds persistPollInterval{5};
// No further record is added to an append of this size, which is well below the store's limit.
constexpr std::size_t maxAppendBytes = 1024 * 1024;
// Without new records the watermark is up to two poll timeouts old. This has to stay well below the age at which starts are withheld.
constexpr milliseconds jobsPollTimeout{500};
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
// Runs of an earlier owner may outlast the lease limit by this much because of slow clocks and rounding.
constexpr milliseconds previousLeasesMargin{350};
constexpr milliseconds silenceInterval{500};
constexpr milliseconds expiryInterval{2500};
// Submissions of final jobs are kept for this long, because a gateway reads the job states first and the submissions afterwards. It has finished
// both reads within this time.
constexpr milliseconds submissionRetention{5000};
// Final states are kept for this long after the status retention, because submissions may be repeated, or stored late, during this time.
constexpr milliseconds statusExpiryMargin{60'000};
// Size of the range of run numbers that is reserved for each owner.
constexpr std::int64_t maxRunsPerOwner = 100'000;
constexpr std::int64_t maxTakeovers = 1'000'000'000;
// A process that has not read the newest configuration may store jobs of a queue in its previous partition for this long.
constexpr std::chrono::seconds placementRetention{120};
constexpr milliseconds placementReviewInterval{5000};
constexpr milliseconds heldJobsInterval{250};
constexpr milliseconds placementTimeout{2000};

std::int64_t elapsedMs(TimePoint since, TimePoint now)
{
    return std::chrono::duration_cast<milliseconds>(now - since).count();
}

std::optional<std::int64_t> parseTakeovers(const std::string &text)
{
    std::int64_t takeovers = 0;
    const char *last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), last, takeovers);
    const bool isValid = error == std::errc{} && end == last && takeovers >= 0 && takeovers <= maxTakeovers;
    return isValid ? std::optional(takeovers) : std::nullopt;
}

std::vector<std::vector<StoredRecord>> splitIntoAppends(std::vector<StoredRecord> records)
{
    std::vector<std::vector<StoredRecord>> appends;
    std::size_t bytes = maxAppendBytes;
    for (StoredRecord &record : records) {
        if (bytes >= maxAppendBytes) {
            appends.emplace_back();
            bytes = 0;
        }
        bytes += record.key.size() + record.value.size();
        appends.back().push_back(std::move(record));
    }
    return appends;
}

}

void ShardOwner::Tasks::logUnstorable(const StoredRecord &record, const std::string &reason)
{
    this->state.owner.log.emit("progress_unstorable",
        {{"partition", std::int64_t(this->state.partition)}, {"token", this->state.token}, {"key", record.key}, {"bytes", std::int64_t(record.value.size())},
            {"reason", reason}},
        EventPriority::Essential);
}

void ShardOwner::Tasks::dropUnstorable(std::vector<StoredRecord> &records)
{
    std::erase_if(records, [this](const StoredRecord &record) {
        const bool isAccepted = this->state.owner.store.accepts(record);
        if (!isAccepted) {
            this->logUnstorable(record, "exceeds the store's limit for records");
        }
        return !isAccepted;
    });
}

net::awaitable<bool> ShardOwner::Tasks::appendUntilDurable(std::vector<StoredRecord> records)
{
    this->dropUnstorable(records);
    int refusals = 0;
    while (!this->state.isStopped) {
        const ProducerStamp stamp{producerName, this->state.token, this->state.sequence};
        Result<void> appended = co_await this->state.owner.store.append(Stream::Progress, this->state.partition, records, stamp, appendTimeout);
        if (appended) {
            ++this->state.sequence;
            co_return true;
        }
        if (appended.error().code == ErrorCode::Conflict) {
            this->state.markFenced(appended.error().message.c_str());
            co_return false;
        }
        this->state.owner.log.emit("progress_delayed",
            {{"partition", std::int64_t(this->state.partition)}, {"token", this->state.token}, {"reason", describe(appended.error())}},
            EventPriority::Essential);
        refusals = appended.error().code == ErrorCode::Refused ? refusals + 1 : 0;
        if (refusals >= maxRefusals && records.size() > 1) {
            // One of the records may be the reason. It must not hold up the others.
            const auto middle = records.begin() + static_cast<std::ptrdiff_t>(records.size() / 2);
            std::vector<StoredRecord> secondHalf(std::make_move_iterator(middle), std::make_move_iterator(records.end()));
            records.erase(middle, records.end());
            const bool isFirstDurable = co_await this->appendUntilDurable(std::move(records));
            if (!isFirstDurable) {
                co_return false;
            }
            const bool isSecondDurable = co_await this->appendUntilDurable(std::move(secondHalf));
            co_return isSecondDurable;
        }
        if (refusals >= maxRefusals && records.size() == 1) {
            this->logUnstorable(records.front(), describe(appended.error()));
            co_return true;
        }
        co_await sleepFor(this->state.owner.context, retryDelay);
    }
    co_return false;
}

ExecutorLocation ShardOwner::Tasks::findExecutorLocation(const ExecutorKey &key, const ServiceId &service) const
{
    const auto &executors = this->state.executors;
    const auto info = std::find_if(executors.begin(), executors.end(), [&key](const ExecutorInfo &candidate) {
        return candidate.id == key.id && candidate.incarnation == key.incarnation;
    });
    return ExecutorLocation{info == executors.end() ? MachineId{} : info->machine, service};
}

void ShardOwner::Tasks::logUnreadable(const StoredRecord &record, const std::string &reason)
{
    this->state.owner.log.emit("progress_unreadable",
        {{"partition", std::int64_t(this->state.partition)}, {"token", this->state.token}, {"key", record.key}, {"offset", record.offset}, {"reason", reason}},
        EventPriority::Essential);
}

net::awaitable<bool> ShardOwner::Tasks::load()
{
    // An empty append sets the epoch. From here on no earlier owner can change the progress.
    std::vector<StoredRecord> noRecords;
    const bool isFenceSet = co_await this->appendUntilDurable(noRecords);
    if (!isFenceSet) {
        co_return false;
    }
    this->state.awaited = "the progress is not read";
    Result<StreamBatch> batch = co_await this->state.owner.store.readSnapshot(Stream::Progress, this->state.partition);
    if (!batch) {
        co_return false;
    }
    std::int64_t takeovers = 0;
    for (const StoredRecord &record : batch->records) {
        const ParsedKey key = parseKey(record.key);
        switch (key.kind) {
        case KeyKind::Owner:
            if (const std::optional<std::int64_t> known = parseTakeovers(record.value)) {
                takeovers = *known;
            } else {
                // Each takeover had a token of its own, and all were lower.
                takeovers = std::min(this->state.token, maxTakeovers);
                this->logUnreadable(record, "is not a number of takeovers");
            }
            break;
        case KeyKind::Executor:
            if (Result<ExecutorLocation> location = decodeExecutorLocation(record.value)) {
                this->state.recordedExecutors[key.executor] = std::move(*location);
            } else {
                this->logUnreadable(record, describe(location.error()));
            }
            break;
        case KeyKind::Job:
            if (const Result<void> loaded = this->state.progressRecords.loadJob(key.job, record); !loaded) {
                this->logUnreadable(record, describe(loaded.error()));
            }
            break;
        case KeyKind::ProgressPart:
            if (const Result<void> loaded = this->state.progressRecords.loadPart(key, record); !loaded) {
                this->logUnreadable(record, describe(loaded.error()));
            }
            break;
        case KeyKind::Cancellation:
        case KeyKind::Unknown:
            this->logUnreadable(record, "has an unknown key");
            break;
        }
    }
    this->state.progress = this->state.progressRecords.takeLoaded(this->state.pendingRecords);
    this->state.runNumberBase = takeovers * maxRunsPerOwner;
    this->state.previousLeasesExpireAt = takeovers == 0 ? TimePoint{} : bootNow() + this->longestPreviousLease();
    this->state.takeover = takeovers + 1;
    this->state.awaited = "the owner's record is not durable";
    std::vector<StoredRecord> ownerRecords{StoredRecord{ownerKey, std::to_string(this->state.takeover), -1}};
    for (auto &[key, location] : this->state.recordedExecutors) {
        const bool isValid = location.silenceRecordedBy == takeovers && location.silence <= this->longestPreviousLease();
        location.silence = isValid ? location.silence : milliseconds::zero();
        location.silenceRecordedBy = isValid ? this->state.takeover : 0;
        if (isValid && location.silence > milliseconds::zero()) {
            ownerRecords.push_back(StoredRecord{executorRecordKey(key), encodeExecutorLocation(location), -1});
        }
    }
    this->state.previousExecutors = this->state.recordedExecutors;
    const bool isRecorded = co_await this->appendUntilDurable(std::move(ownerRecords));
    co_return isRecorded;
}

milliseconds ShardOwner::Tasks::longestPreviousLease() const
{
    return this->state.owner.settings.scheduler.maxLeaseLength + previousLeasesMargin;
}

void ShardOwner::Tasks::queueSilence()
{
    const TimePoint now = bootNow();
    for (auto &[service, pool] : this->state.pools) {
        for (const auto &[key, runsEndAt] : pool->takeSilentExecutors(now)) {
            const auto recorded = this->state.recordedExecutors.find(key);
            if (recorded == this->state.recordedExecutors.end()) {
                continue;
            }
            const milliseconds left = std::max(milliseconds::zero(), std::chrono::duration_cast<milliseconds>(runsEndAt - now));
            const milliseconds silence = std::max(milliseconds::zero(), this->longestPreviousLease() - left);
            ExecutorLocation &location = recorded->second;
            if (silence > location.silence) {
                location.silence = silence;
                location.silenceRecordedBy = this->state.takeover;
                this->state.pendingRecords.push_back(StoredRecord{executorRecordKey(key), encodeExecutorLocation(location), -1});
            }
        }
    }
}

net::awaitable<void> ShardOwner::Tasks::recordSilence()
{
    while (!this->isEnded()) {
        co_await sleepFor(this->state.owner.context, silenceInterval);
        if (this->isEnded()) {
            break;
        }
        this->queueSilence();
        if (!this->state.pendingRecords.empty()) {
            this->state.persistRequested.notify();
        }
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

void ShardOwner::Tasks::recordExecutorUse(const ServiceId &service, PoolScheduler &pool)
{
    for (const ExecutorKey &key : pool.takeUnrecordedExecutors()) {
        const auto recorded = this->state.recordedExecutors.find(key);
        if (recorded == this->state.recordedExecutors.end()) {
            this->state.pendingRecords.push_back(StoredRecord{executorRecordKey(key), encodeExecutorLocation(this->findExecutorLocation(key, service)), -1});
        } else if (recorded->second.silence > milliseconds::zero()) {
            recorded->second.silence = milliseconds::zero();
            recorded->second.silenceRecordedBy = 0;
            this->state.pendingRecords.push_back(StoredRecord{executorRecordKey(key), encodeExecutorLocation(recorded->second), -1});
        } else {
            pool.markRecorded(key);
        }
    }
    for (const ExecutorKey &key : pool.takeEndedExecutors()) {
        this->state.recordedExecutors.erase(key);
        this->state.pendingRecords.push_back(StoredRecord{executorRecordKey(key), {}, -1});
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
        this->state.planRequested.notify();
        co_return;
    }
    const OrderReply reply = co_await this->state.owner.executors.start(order.executor, order.run);
    this->checkFence(*pool, key.id, order.run.token, reply.outcome);
    this->state.owner.log.emit("run_start",
        {{"job", order.run.item.job.value}, {"occurrence", std::int64_t(order.run.item.occurrence)}, {"step", std::int64_t(order.run.item.step)},
            {"index", std::int64_t(order.run.item.index)}, {"run", order.run.run}, {"executor", order.executor.id.value}, {"token", order.run.token},
            {"outcome", toString(reply.outcome)}, {"repeat_outcome", reply.repeatOutcome ? toString(*reply.repeatOutcome) : ""},
            {"view_age_ms", elapsedMs(order.watermarks.requestWatermark, order.decidedAt)}, {"order_wait_ms", elapsedMs(order.decidedAt, sentAt)}});
    pool->onStarted(key, order.run, reply, sentAt, bootNow());
    this->wakeRenewals();
    if (reply.outcome != OrderOutcome::Done) {
        this->state.planRequested.notify();
    }
}

net::awaitable<void> ShardOwner::Tasks::send(PoolScheduler *pool, StopOrder order)
{
    const ExecutorKey key{order.executor.id, order.executor.incarnation};
    const OrderReply reply = co_await this->state.owner.executors.stop(order.executor, order.run);
    this->checkFence(*pool, key.id, order.run.token, reply.outcome);
    pool->onStopped(key, order.run, reply, bootNow());
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
}

void ShardOwner::Tasks::checkFence(const PoolScheduler &pool, const ExecutorId &executor, std::int64_t fencingToken, OrderOutcome outcome)
{
    if (outcome != OrderOutcome::Fenced) {
        return;
    }
    if (pool.isOvertaken(executor, fencingToken)) {
        this->state.owner.log.emit("call_overtaken",
            {{"executor", executor.value}, {"fencing_token", fencingToken}, {"partition", std::int64_t(this->state.partition)}, {"token", this->state.token}});
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
            // Nothing was done, and the executor is up.
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

net::awaitable<bool> ShardOwner::Tasks::persistOnce()
{
    // Two concurrent appends would use the same sequence number, and the store would treat the second as a repeat of the first.
    while (this->state.isPersisting) {
        co_await sleepFor(this->state.owner.context, persistPollInterval);
    }
    this->state.isPersisting = true;
    std::vector<StoredRecord> records = std::move(this->state.pendingRecords);
    this->state.pendingRecords.clear();
    std::map<ExecutorKey, ExecutorLocation> newlyRecorded;
    for (const StoredRecord &record : records) {
        const ParsedKey key = parseKey(record.key);
        if (key.kind != KeyKind::Executor || record.value.empty()) {
            continue;
        }
        if (const Result<ExecutorLocation> location = decodeExecutorLocation(record.value)) {
            newlyRecorded.insert_or_assign(key.executor, *location);
        }
    }
    std::vector<JobId> finalIds;
    for (auto &[service, pool] : this->state.pools) {
        for (const JobProgress &progress : pool->takeChangedJobs()) {
            std::vector<StoredRecord> changed = this->state.progressRecords.encode(progress);
            records.insert(records.end(), std::make_move_iterator(changed.begin()), std::make_move_iterator(changed.end()));
            if (isFinal(progress.state)) {
                finalIds.push_back(progress.id);
                this->state.owner.log.emit("job_ended",
                    {{"job", progress.id.value}, {"queue", progress.queue.value}, {"state", toString(progress.state)}, {"token", this->state.token}});
            }
        }
    }
    if (records.empty()) {
        // Ends that change no job need no record. All earlier changes are durable, as an append is repeated until it is or the ownership ends.
        if (!this->isEnded()) {
            for (auto &[service, pool] : this->state.pools) {
                pool->markPersisted();
            }
            this->wakeRenewals();
        }
        this->state.isPersisting = false;
        co_return true;
    }
    bool isDurable = true;
    for (std::vector<StoredRecord> &append : splitIntoAppends(std::move(records))) {
        isDurable = co_await this->appendUntilDurable(std::move(append));
        if (!isDurable) {
            break;
        }
    }
    if (isDurable) {
        // What has been queued for an executor meanwhile takes the place of what is durable now.
        for (const StoredRecord &record : this->state.pendingRecords) {
            newlyRecorded.erase(parseKey(record.key).executor);
        }
        std::erase_if(newlyRecorded, [](const auto &entry) {
            return entry.second.silence > milliseconds::zero();
        });
        for (const auto &[key, location] : newlyRecorded) {
            this->state.recordedExecutors[key] = location;
        }
        for (JobId &id : finalIds) {
            this->state.finalJobs.emplace_back(bootNow(), std::move(id));
        }
        for (auto &[service, pool] : this->state.pools) {
            pool->markPersisted();
            for (const auto &[key, location] : newlyRecorded) {
                pool->markRecorded(key);
            }
        }
        this->state.planRequested.notify();
        this->wakeRenewals();
    }
    this->state.isPersisting = false;
    co_return isDurable;
}

net::awaitable<void> ShardOwner::Tasks::deleteSubmissions(std::vector<JobId> ids)
{
    std::vector<StoredRecord> deleted;
    for (const JobId &id : ids) {
        deleted.push_back(StoredRecord{id.value, {}, -1});
        deleted.push_back(StoredRecord{cancellationKey(id), {}, -1});
    }
    for (const std::vector<StoredRecord> &append : splitIntoAppends(std::move(deleted))) {
        bool isDeleted = false;
        while (!isDeleted && !this->isEnded()) {
            const Result<void> appended = co_await this->state.owner.store.append(Stream::Jobs, this->state.partition, append, std::nullopt, appendTimeout);
            isDeleted = appended.has_value();
            if (!isDeleted) {
                this->state.owner.log.emit("deletion_delayed", {{"partition", std::int64_t(this->state.partition)}, {"reason", describe(appended.error())}});
                co_await sleepFor(this->state.owner.context, retryDelay);
            }
        }
    }
}

net::awaitable<void> ShardOwner::Tasks::expireJobs()
{
    while (!this->isEnded()) {
        co_await sleepFor(this->state.owner.context, expiryInterval);
        std::vector<JobId> finalIds;
        const TimePoint cutoff = bootNow() - submissionRetention;
        while (!this->state.finalJobs.empty() && this->state.finalJobs.front().first < cutoff) {
            finalIds.push_back(std::move(this->state.finalJobs.front().second));
            this->state.finalJobs.pop_front();
        }
        const WallTime expiryTime = wallNow() - this->state.owner.settings.statusRetention - statusExpiryMargin;
        std::vector<JobId> expired;
        for (auto &[service, pool] : this->state.pools) {
            const std::vector<JobId> ids = pool->removeJobsEndedBefore(expiryTime);
            expired.insert(expired.end(), ids.begin(), ids.end());
        }
        for (const auto &[id, progress] : this->state.progress) {
            // The submission of a job that ended under an earlier owner may be deleted, so that no pool has the job.
            const bool isInPool = std::any_of(this->state.pools.begin(), this->state.pools.end(), [&id = id](const auto &entry) {
                return entry.second->hasJob(id);
            });
            if (isFinal(progress.state) && progress.endedAt < expiryTime && !isInPool && !this->state.queueOfJob.contains(id)) {
                expired.push_back(id);
            }
        }
        for (JobId &id : this->takeStrayCancellations()) {
            finalIds.push_back(std::move(id));
        }
        // Submissions of expired jobs are deleted again, because a repeated submission may have been stored since.
        finalIds.insert(finalIds.end(), expired.begin(), expired.end());
        co_await this->deleteSubmissions(std::move(finalIds));
        // The state is deleted last: a state without its submission is harmless, but a submission without its state would run the job again.
        for (const JobId &id : expired) {
            this->state.queueOfJob.erase(id);
            this->state.pendingRecords.push_back(StoredRecord{id.value, {}, -1});
            this->state.progress.erase(id);
            this->state.cancelled.erase(id);
        }
    }
}

std::vector<JobId> ShardOwner::Tasks::takeStrayCancellations()
{
    std::vector<JobId> expired;
    const TimePoint now = bootNow();
    for (const JobId &id : this->state.cancelled) {
        const bool isKnown = this->state.progress.contains(id) || this->state.queueOfJob.contains(id) || this->state.findPoolOf(id) != nullptr;
        if (isKnown) {
            this->state.strayCancellations.erase(id);
        } else if (now - this->state.strayCancellations.try_emplace(id, now).first->second > this->state.owner.settings.statusRetention + statusExpiryMargin) {
            expired.push_back(id);
        }
    }
    for (const JobId &id : expired) {
        this->state.strayCancellations.erase(id);
        this->state.cancelled.erase(id);
    }
    return expired;
}

net::awaitable<Result<std::optional<std::int32_t>>> ShardOwner::Tasks::findElsewhere(AcceptedJob job)
{
    const QueueConfig *queue = this->state.config->find(job.queue);
    if (queue == nullptr) {
        co_return std::optional<std::int32_t>();
    }
    std::set<std::int32_t> partitions{partitionOf(queue->service, this->state.owner.settings.partitions)};
    if (this->state.owner.placements) {
        const std::set<std::int32_t> recorded = this->state.owner.placements->partitionsOf(*queue);
        partitions.insert(recorded.begin(), recorded.end());
    }
    partitions.erase(this->state.partition);
    for (const std::int32_t partition : partitions) {
        const Result<bool> isFound = co_await this->isStoredIn(job.id, partition);
        if (!isFound) {
            co_return tl::unexpected(isFound.error());
        }
        if (*isFound) {
            co_return std::optional<std::int32_t>(partition);
        }
    }
    co_return std::optional<std::int32_t>();
}

void ShardOwner::Tasks::logHeld(const AcceptedJob &job, const std::string &reason)
{
    this->state.owner.log.emit("job_held",
        {{"job", job.id.value}, {"queue", job.queue.value}, {"partition", std::int64_t(this->state.partition)}, {"token", this->state.token},
            {"reason", reason}});
}

net::awaitable<void> ShardOwner::Tasks::settle(AcceptedJob job)
{
    const Result<std::optional<std::int32_t>> found = co_await this->findElsewhere(job);
    if (this->isEnded()) {
        co_return;
    }
    if (!found) {
        this->logHeld(job, describe(found.error()));
        co_return;
    }
    if (*found && this->state.cancelled.contains(job.id)) {
        // The caller's cancellation is of the other record, too.
        std::vector<StoredRecord> cancellation{StoredRecord{cancellationKey(job.id), "1", -1}};
        const Result<void> appended = co_await this->state.owner.store.append(Stream::Jobs, **found, std::move(cancellation), std::nullopt, appendTimeout);
        if (!appended) {
            this->logHeld(job, describe(appended.error()));
            co_return;
        }
    }
    this->state.heldJobs.erase(job.id);
    this->state.owner.log.emit("job_settled",
        {{"job", job.id.value}, {"queue", job.queue.value}, {"partition", std::int64_t(this->state.partition)}, {"token", this->state.token},
            {"stored_in", std::int64_t(found->value_or(this->state.partition))}},
        EventPriority::Essential);
    if (*found) {
        std::vector<JobId> duplicates{job.id};
        co_await this->deleteSubmissions(std::move(duplicates));
        this->state.queueOfJob.erase(job.id);
    } else {
        this->state.assignJob(job);
        this->state.planRequested.notify();
    }
}

net::awaitable<void> ShardOwner::Tasks::settleHeldJobs()
{
    while (!this->isEnded()) {
        co_await sleepFor(this->state.owner.context, heldJobsInterval);
        std::vector<AcceptedJob> due;
        for (const auto &[id, held] : this->state.heldJobs) {
            if (held.first <= bootNow()) {
                due.push_back(held.second);
            }
        }
        for (const AcceptedJob &job : due) {
            if (!this->isEnded()) {
                co_await this->settle(job);
            }
        }
        const std::map<JobId, AcceptedJob> voidJobs = this->state.voidJobs;
        for (const auto &[id, job] : voidJobs) {
            if (!this->isEnded()) {
                co_await this->moveOn(job);
            }
        }
        if (!this->isEnded()) {
            co_await this->forwardCancellations();
        }
    }
}

void ShardOwner::Tasks::logMoved(const AcceptedJob &job, std::int32_t partition, const char *reason)
{
    this->state.owner.log.emit("job_moved",
        {{"job", job.id.value}, {"queue", job.queue.value}, {"partition", std::int64_t(this->state.partition)}, {"token", this->state.token},
            {"to", std::int64_t(partition)}, {"reason", reason}},
        EventPriority::Essential);
}

net::awaitable<Result<bool>> ShardOwner::Tasks::isStoredIn(JobId job, std::int32_t partition)
{
    // The submission of a job that has ended is deleted after its state has been stored.
    for (const Stream stream : {Stream::Jobs, Stream::Progress}) {
        Result<StreamBatch> batch = co_await this->state.owner.store.readSnapshot(stream, partition);
        if (!batch) {
            co_return tl::unexpected(batch.error());
        }
        const bool isFound = std::any_of(batch->records.begin(), batch->records.end(), [&job](const StoredRecord &record) {
            return record.key == job.value && !record.value.empty();
        });
        if (isFound) {
            co_return true;
        }
    }
    co_return false;
}

net::awaitable<Result<std::optional<bool>>> ShardOwner::Tasks::isInEarlierPlacement(JobId job, QueuePlacement placement)
{
    const JobPlacement sealed{addressOf(placement.host, placement.pathPrefix), placement.revision};
    Result<StreamBatch> submissions = co_await this->state.owner.store.readSnapshot(Stream::Jobs, placement.partition);
    if (!submissions) {
        co_return tl::unexpected(submissions.error());
    }
    PlacementSeals seals;
    for (const StoredRecord &record : submissions->records) {
        seals.apply(record);
    }
    if (!seals.isSealed(sealed)) {
        const auto deadline = std::chrono::steady_clock::now() + placementTimeout;
        co_await this->state.owner.placements->seal(placement.partition, sealed, deadline);
        co_return std::optional<bool>();
    }
    // A record after the seal is void there, too.
    const bool isSubmitted = std::any_of(submissions->records.begin(), submissions->records.end(), [&](const StoredRecord &record) {
        return record.key == job.value && !record.value.empty() && !seals.isSealed(sealed, record.offset);
    });
    if (isSubmitted) {
        co_return std::optional<bool>(true);
    }
    Result<StreamBatch> states = co_await this->state.owner.store.readSnapshot(Stream::Progress, placement.partition);
    if (!states) {
        co_return tl::unexpected(states.error());
    }
    co_return std::optional<bool>(std::any_of(states->records.begin(), states->records.end(), [&job](const StoredRecord &record) {
        return record.key == job.value && !record.value.empty();
    }));
}

net::awaitable<void> ShardOwner::Tasks::moveOn(AcceptedJob job)
{
    if (!this->state.owner.placements) {
        co_return;
    }
    const Result<void> refreshed = co_await this->state.owner.placements->refresh();
    if (!refreshed) {
        this->logHeld(job, describe(refreshed.error()));
        co_return;
    }
    const std::vector<QueuePlacement> history = this->state.owner.placements->historyOf(job.placement->address);
    std::int32_t place = this->state.partition;
    const char *reason = "no placement of its queue is left";
    bool isElsewhere = history.empty();
    for (std::size_t number = 0; number + 1 < history.size() && !isElsewhere; ++number) {
        if (history[number].partition == this->state.partition) {
            continue;
        }
        const Result<std::optional<bool>> found = co_await this->isInEarlierPlacement(job.id, history[number]);
        if (!found || !*found) {
            this->logHeld(job, found ? "an earlier placement was not sealed" : describe(found.error()));
            co_return;
        }
        isElsewhere = **found;
        place = isElsewhere ? history[number].partition : place;
        reason = "an earlier placement has the job";
    }
    if (!isElsewhere && history.back().partition != this->state.partition) {
        place = history.back().partition;
        const Result<bool> found = co_await this->isStoredIn(job.id, place);
        if (!found) {
            this->logHeld(job, describe(found.error()));
            co_return;
        }
        reason = *found ? "the current placement has the job" : "it was stored after its queue had moved";
        if (!*found) {
            const auto queue = std::find_if(this->state.config->queues.begin(), this->state.config->queues.end(), [&](const QueueConfig &candidate) {
                const bool isSameAddress = addressOf(candidate.host, candidate.pathPrefix) == job.placement->address;
                return isSameAddress && partitionOf(candidate.service, this->state.owner.settings.partitions) == place;
            });
            if (queue == this->state.config->queues.end()) {
                this->logHeld(job, "the configuration that moved its queue has not been read");
                co_return;
            }
            AcceptedJob moved = job;
            moved.queue = queue->id;
            moved.service = queue->service;
            moved.placement->revision = history.back().revision;
            std::vector<StoredRecord> records{StoredRecord{job.id.value, encodeAcceptedJob(moved), -1}};
            const Result<void> appended = co_await this->state.owner.store.append(Stream::Jobs, place, std::move(records), std::nullopt, appendTimeout);
            if (!appended) {
                this->logHeld(job, describe(appended.error()));
                co_return;
            }
        }
        isElsewhere = true;
    }
    if (this->isEnded() || this->state.voidJobs.erase(job.id) == 0) {
        co_return;
    }
    this->logMoved(job, place, isElsewhere ? reason : "its queue has moved back");
    if (!isElsewhere) {
        this->state.assignJob(job);
        this->state.planRequested.notify();
        co_return;
    }
    this->state.movedJobs[job.id] = place;
    co_await this->forwardCancellations();
    this->state.queueOfJob.erase(job.id);
    std::vector<JobId> removed{job.id};
    co_await this->deleteSubmissions(std::move(removed));
}

net::awaitable<void> ShardOwner::Tasks::forwardCancellations()
{
    const std::map<JobId, std::int32_t> movedJobs = this->state.movedJobs;
    for (const auto &[id, partition] : movedJobs) {
        if (!this->state.cancelled.contains(id) || partition == this->state.partition) {
            continue;
        }
        std::vector<StoredRecord> cancellation{StoredRecord{cancellationKey(id), "1", -1}};
        bool isForwarded = false;
        while (!isForwarded && !this->isEnded()) {
            const Result<void> appended = co_await this->state.owner.store.append(Stream::Jobs, partition, cancellation, std::nullopt, appendTimeout);
            isForwarded = appended.has_value();
            if (!isForwarded) {
                this->state.owner.log.emit(
                    "cancellation_delayed", {{"job", id.value}, {"to", std::int64_t(partition)}, {"reason", describe(appended.error())}});
                co_await sleepFor(this->state.owner.context, retryDelay);
            }
        }
        this->state.cancelled.erase(id);
    }
}

net::awaitable<void> ShardOwner::Tasks::maintainPlacements()
{
    while (!this->isEnded()) {
        const Result<void> read = co_await this->state.owner.placements->refresh();
        if (read && !this->isEnded()) {
            co_await this->reviewPlacements();
        }
        co_await sleepFor(this->state.owner.context, placementReviewInterval);
    }
}

net::awaitable<void> ShardOwner::Tasks::reviewPlacements()
{
    QueuePlacements &placements = *this->state.owner.placements;
    const std::int32_t partition = this->state.partition;
    const FleetConfig &config = *this->state.config;
    std::set<QueueId> used;
    for (const auto &[job, queue] : this->state.queueOfJob) {
        used.insert(queue);
    }
    const WallTime expiryTime = wallNow() - this->state.owner.settings.statusRetention - statusExpiryMargin;
    for (const auto &[job, progress] : this->state.progress) {
        if (!isFinal(progress.state) || progress.endedAt >= expiryTime) {
            used.insert(progress.queue);
        }
    }
    std::vector<QueuePlacement> missing;
    for (const QueueId &id : used) {
        const QueueConfig *queue = config.find(id);
        QueuePlacement placement{partition, id, queue == nullptr ? "" : queue->host, queue == nullptr ? "" : queue->pathPrefix};
        if (!placements.isKnown(placement)) {
            missing.push_back(std::move(placement));
        }
    }
    std::vector<QueuePlacement> unused;
    for (QueuePlacement &placement : placements.placementsIn(partition)) {
        const QueueConfig *queue = config.find(placement.queue);
        const bool isCurrent = queue != nullptr && partitionOf(queue->service, this->state.owner.settings.partitions) == partition;
        const std::string key = queuePlacementKey(placement);
        if (isCurrent || used.contains(placement.queue)) {
            this->state.unusedSince.erase(key);
        } else if (bootNow() - this->state.unusedSince.try_emplace(key, bootNow()).first->second > placementRetention) {
            this->state.unusedSince.erase(key);
            unused.push_back(std::move(placement));
        }
    }
    const auto deadline = std::chrono::steady_clock::now() + placementTimeout;
    const auto added = std::int64_t(missing.size());
    const auto removed = std::int64_t(unused.size());
    if (added + removed == 0) {
        co_return;
    }
    const bool isAdded = co_await placements.record(std::move(missing), deadline);
    const std::vector<QueuePlacement> removedPlacements = unused;
    const bool isRemoved = co_await placements.remove(std::move(unused), deadline);
    if (isRemoved) {
        co_await this->removeSeals(removedPlacements);
    }
    this->state.owner.log.emit(
        "placements_changed", {{"partition", std::int64_t(partition)}, {"added", added}, {"removed", removed}, {"durable", isAdded && isRemoved}});
}

net::awaitable<void> ShardOwner::Tasks::removeSeals(std::vector<QueuePlacement> removed)
{
    std::vector<StoredRecord> deleted;
    for (const QueuePlacement &placement : removed) {
        const std::string address = addressOf(placement.host, placement.pathPrefix);
        const std::vector<QueuePlacement> history = this->state.owner.placements->historyOf(address);
        const bool isUsedAgain = std::any_of(history.begin(), history.end(), [&placement](const QueuePlacement &other) {
            return other.partition == placement.partition;
        });
        for (const std::string &key : isUsedAgain ? std::vector<std::string>() : this->state.seals.keysOf(address)) {
            deleted.push_back(StoredRecord{key, {}, -1});
        }
    }
    if (deleted.empty()) {
        co_return;
    }
    const Result<void> appended = co_await this->state.owner.store.append(Stream::Jobs, this->state.partition, std::move(deleted), std::nullopt, appendTimeout);
    if (!appended) {
        this->state.owner.log.emit("deletion_delayed", {{"partition", std::int64_t(this->state.partition)}, {"reason", describe(appended.error())}});
    }
}

net::awaitable<void> ShardOwner::Tasks::persist()
{
    while (!this->isEnded()) {
        co_await this->state.persistRequested.waitFor(milliseconds(1000));
        const bool isUrgent = !this->state.pendingRecords.empty() || std::any_of(this->state.pools.begin(), this->state.pools.end(), [](const auto &entry) {
            return entry.second->hasUrgentChange();
        });
        if (!isUrgent) {
            co_await sleepFor(this->state.owner.context, persistBatchDelay);
        }
        if (this->isEnded()) {
            break;
        }
        co_await this->persistOnce();
    }
}

}
