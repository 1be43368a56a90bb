// The executors of a pool: discovery, evacuations, and what is stored about their use.
#include "poolscheduler_pvt.h"

#include <algorithm>

namespace MangoCourse {

using std::chrono::milliseconds;

namespace {

// Time without an answer after which an executor counts as silent.
constexpr milliseconds minSilence{500};

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
            // An executor is recorded before its first run, so one that appears later without a record holds none of a previous owner, unless it
            // carried out an order to an earlier incarnation.
            const auto recorded = this->d->executorsOfPreviousOwners.lower_bound(ExecutorKey{key.id, 0});
            const bool wasRecorded = recorded != this->d->executorsOfPreviousOwners.end() && recorded->id == key.id && *recorded <= key;
            executor.mayHoldPreviousRuns = !this->d->hasExecutorList || wasRecorded;
            const auto previous = this->d->previousExecutors.find(key);
            const bool isPrevious = previous != this->d->previousExecutors.end();
            executor.previousRunsEndAt = isPrevious ? previous->second.runsEndAt : this->d->previousLeasesExpireAt;
            executor.isSilenceRecorded = isPrevious && previous->second.isSilenceRecorded;
            executor.isRecordRequested = executor.isSilenceRecorded;
            if (wasRecorded && *recorded < key) {
                // A call of a previous owner to the earlier incarnation may reach this one, which measures the lease in it by another clock.
                executor.mayHoldStrayRuns = true;
                executor.previousRunsEndAt = after(this->d->previousLeasesExpireAt, maxCallDuration);
                executor.leaseEnd = executor.previousRunsEndAt;
            }
            if (const auto stray = this->d->strayLeaseEnds.find(key.id); stray != this->d->strayLeaseEnds.end()) {
                executor.leaseEnd = std::max(executor.leaseEnd, stray->second);
            }
            if (recorded != this->d->executorsOfPreviousOwners.end() && recorded->id == key.id) {
                executor.acknowledgeableFrom = this->d->previousCallsEndAt();
            }
            this->d->isExecutorSetChanged = true;
            this->d->pendingRenewals.insert(key);
        }
        if (executor.isIndexed && executor.indexedLabels != info.labels) {
            this->d->index.remove(executor);
        }
        executor.info = info;
        executor.isListed = !executor.hasEnded;
        // The executor is in use again, so its stored record must not be deleted.
        std::erase(this->d->endedExecutors, key);
    }
    this->d->hasExecutorList = this->d->hasExecutorList || !executors.empty();
    // A machine runs one incarnation at a time, so a newer one proves that the older one has ended.
    for (auto &[key, executor] : this->d->executors) {
        if (executor.isListed) {
            continue;
        }
        bool hasSuccessor = false;
        bool isIdInUse = false;
        for (const ExecutorInfo &info : executors) {
            const bool isSameId = info.id == executor.info.id;
            const bool isNewer = info.incarnation > executor.info.incarnation;
            hasSuccessor = hasSuccessor || (isNewer && (isSameId || (!info.machine.isEmpty() && info.machine == executor.info.machine)));
            isIdInUse = isIdInUse || (isNewer && isSameId);
        }
        if (hasSuccessor) {
            this->d->endIncarnation(executor, now, isIdInUse, "a newer incarnation runs on the machine");
        }
    }
    this->d->assignUnsettledStarts(now);
    std::erase_if(this->d->previousExecutors, [this, &executors](const auto &entry) {
        const auto &[key, previous] = entry;
        const MachineId &machine = previous.machine;
        const bool isEnded = includesIncarnation(this->d->evacuations.ended, key.id, key.incarnation);
        const bool isOver = isEnded || std::any_of(executors.begin(), executors.end(), [&key = key, &machine](const ExecutorInfo &info) {
            const bool isSameMachine = info.id == key.id || (!machine.isEmpty() && info.machine == machine);
            return isSameMachine && info.incarnation > key.incarnation;
        });
        if (isOver && !this->d->executors.contains(key)) {
            this->d->endedExecutors.push_back(key);
        }
        return isOver;
    });
    for (auto known = this->d->executors.begin(); known != this->d->executors.end();) {
        Executor &executor = known->second;
        // A previous owner may have given an executor that does not answer a lease of maximum length.
        const bool arePreviousLeasesOver = executor.isHistoryKnown() || now >= executor.previousRunsEndAt;
        const bool isOver = !executor.isListed && executor.runs.empty() && executor.leaseEnd < now && arePreviousLeasesOver;
        if (!isOver) {
            ++known;
            continue;
        }
        if (executor.isRecorded || executor.isSilenceRecorded) {
            this->d->endedExecutors.push_back(known->first);
        }
        this->d->tokens->raise(known->first.id);
        this->d->index.remove(executor);
        this->d->isExecutorSetChanged = true;
        // Makes the caller end its renewal loop for the executor.
        this->d->pendingRenewals.insert(known->first);
        known = this->d->executors.erase(known);
    }
    std::erase_if(this->d->previousExecutors, [this, now](const auto &entry) {
        const auto &[key, previous] = entry;
        if (now < previous.runsEndAt) {
            return false;
        }
        const bool isAlreadyEnded = std::find(this->d->endedExecutors.begin(), this->d->endedExecutors.end(), key) != this->d->endedExecutors.end();
        if (!isAlreadyEnded && !this->d->executors.contains(key)) {
            this->d->endedExecutors.push_back(key);
        }
        return true;
    });
}

void PoolScheduler::setPreviousExecutors(const std::map<ExecutorKey, ExecutorLocation> &used)
{
    this->d->previousExecutors.clear();
    for (const auto &[key, location] : used) {
        if (location.service == this->d->service) {
            const TimePoint runsEndAt = this->d->previousLeasesExpireAt - std::chrono::duration_cast<Duration>(location.silence);
            this->d->previousExecutors.emplace(key, PreviousExecutor{location.machine, runsEndAt, location.silence > milliseconds::zero()});
            this->d->executorsOfPreviousOwners.insert(key);
        }
    }
}

void PoolScheduler::setEvacuations(const EvacuationList &list, TimePoint now)
{
    this->d->evacuations = list;
    for (auto &[key, executor] : this->d->executors) {
        // The list names an ended incarnation many times; its items are held from the first time.
        if (!executor.hasEnded && includesIncarnation(list.ended, key.id, key.incarnation)) {
            this->d->endIncarnation(executor, now, true, "the machine was ordered to move or into maintenance");
        }
    }
    std::erase_if(this->d->previousExecutors, [this, &list](const auto &entry) {
        const bool isEnded = includesIncarnation(list.ended, entry.first.id, entry.first.incarnation);
        if (isEnded && !this->d->executors.contains(entry.first)) {
            this->d->endedExecutors.push_back(entry.first);
        }
        return isEnded;
    });
}

void PoolScheduler::setUpcomingMaintenance(std::map<MachineId, WallTime> due)
{
    this->d->upcomingMaintenance = std::move(due);
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
    std::vector<ExecutorKey> wanted(this->d->pendingRenewals.begin(), this->d->pendingRenewals.end());
    this->d->pendingRenewals.clear();
    return wanted;
}

std::vector<ExecutorKey> PoolScheduler::takeUnrecordedExecutors()
{
    std::vector<ExecutorKey> used;
    for (auto &[key, executor] : this->d->executors) {
        const bool isUsed = executor.isListed || executor.isSilenceRecorded;
        if (isUsed && !executor.isRecordRequested) {
            executor.isRecordRequested = true;
            used.push_back(key);
        }
    }
    return used;
}

void PoolScheduler::markRecorded(const ExecutorKey &executor)
{
    if (Executor *known = this->d->find(executor)) {
        known->isRecorded = true;
        if (std::exchange(known->isSilenceRecorded, false)) {
            // Its leases can be extended again.
            this->d->pendingRenewals.insert(executor);
        }
    }
}

std::vector<std::pair<ExecutorKey, TimePoint>> PoolScheduler::takeSilentExecutors(TimePoint now)
{
    std::vector<std::pair<ExecutorKey, TimePoint>> silent;
    for (auto &[key, executor] : this->d->executors) {
        const bool isSilent = executor.failingSince != TimePoint{} && now - executor.failingSince >= minSilence;
        if (!isSilent || executor.hasEnded || !(executor.hasAnswered() || executor.mayHoldPreviousRuns)) {
            continue;
        }
        executor.isSilenceRecorded = true;
        executor.hasAnsweredSinceSilence = false;
        executor.isRecordRequested = true;
        executor.isRecorded = false;
        silent.emplace_back(key, executor.isHistoryKnown() ? executor.leaseEnd : std::max(executor.leaseEnd, executor.previousRunsEndAt));
    }
    for (auto &[key, previous] : this->d->previousExecutors) {
        if (!this->d->executors.contains(key)) {
            previous.isSilenceRecorded = true;
            silent.emplace_back(key, previous.runsEndAt);
        }
    }
    return silent;
}

std::vector<ExecutorKey> PoolScheduler::takeEndedExecutors()
{
    return std::exchange(this->d->endedExecutors, {});
}
}
