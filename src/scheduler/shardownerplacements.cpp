// Jobs of queues that have moved: held and void submissions, cancellations that follow them, and the placements themselves.
#include "shardowner_pvt.h"

#include <algorithm>

namespace MangoCourse {

namespace {

using std::chrono::milliseconds;

// A process that has not read the newest configuration may store jobs of a queue in its previous partition for this long.
constexpr std::chrono::seconds placementRetention{120};
constexpr milliseconds placementReviewInterval{5000};
constexpr milliseconds heldJobsInterval{250};
constexpr milliseconds placementTimeout{2000};

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

}
