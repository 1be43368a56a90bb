// Records of a partition's owner: state at the takeover, progress, use of executors, and expiry.
#include "shardowner_pvt.h"

#include <algorithm>
#include <charconv>

namespace MangoCourse {

namespace {

using std::chrono::milliseconds;

constexpr const char *producerName = "owner";
// A record whose append the store has refused as invalid this many times in a row is given up.
constexpr int maxRefusals = 10;
// Changes without an urgent reader are collected for this long before they are persisted.
constexpr milliseconds persistBatchDelay{30};
constexpr milliseconds persistPollInterval{5};
// No further record is added to an append of this size, which is well below the store's limit.
constexpr std::size_t maxAppendBytes = 1024 * 1024;
// Runs of an earlier owner may outlast the lease limit by this much because of slow clocks and rounding.
constexpr milliseconds previousLeasesMargin{350};
constexpr milliseconds silenceInterval{500};
constexpr milliseconds expiryInterval{2500};
// Submissions of final jobs are kept for this long, because a gateway reads the job states first and the submissions afterwards. It has finished
// both reads within this time.
constexpr milliseconds submissionRetention{5000};
// Size of the range of run numbers that is reserved for each owner.
constexpr std::int64_t maxRunsPerOwner = 100'000;
constexpr std::int64_t maxTakeovers = 1'000'000'000;

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
        case KeyKind::Seal:
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
        if (key.kind != KeyKind::Executor) {
            continue;
        }
        if (record.value.empty()) {
            // The last record of the key remains.
            newlyRecorded.erase(key.executor);
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
