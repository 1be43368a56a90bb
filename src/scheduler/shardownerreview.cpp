// Review of waiting work by the owner of a partition, for its log, its metrics and the state dump.
#include "shardowner_pvt.h"

#include <algorithm>

#include "quotalog.h"
#include "waitinglog.h"

namespace MangoCourse {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds reviewInterval{500};
// A job without a service is reported once it has waited this long, then at intervals that double up to the given number of times.
constexpr milliseconds firstUnassignedLine{1000};
constexpr int maxIntervalDoublings = 5;
constexpr std::size_t maxUnassignedLines = 3;
// A takeover that takes longer than this is reported at this interval.
constexpr milliseconds takeoverLineInterval{2000};

}

bool ShardOwner::Private::isUnassigned(const JobId &job) const
{
    const auto known = this->progress.find(job);
    const bool hasEnded = known != this->progress.end() && isFinal(known->second.state);
    return !hasEnded && !this->cancelled.contains(job);
}

std::vector<PoolWaiting> ShardOwner::waiting() const
{
    std::vector<PoolWaiting> result;
    for (const auto &[service, pool] : this->d->pools) {
        result.push_back(pool->waiting(bootNow()));
    }
    return result;
}

std::size_t ShardOwner::unassignedJobs() const
{
    return static_cast<std::size_t>(std::count_if(this->d->unassignedJobs.begin(), this->d->unassignedJobs.end(), [this](const auto &entry) {
        return this->d->isUnassigned(entry.first);
    }));
}

void ShardOwner::Tasks::reviewUnassignedJobs(UnassignedWatch &watch)
{
    std::erase_if(watch, [this](const auto &known) {
        return !this->state.unassignedJobs.contains(known.first);
    });
    const TimePoint now = bootNow();
    std::size_t lines = 0;
    for (const auto &[id, job] : this->state.unassignedJobs) {
        const auto age = std::chrono::duration_cast<milliseconds>(wallNow() - job.acceptedAt);
        auto &[nextLineAt, count] = watch[id];
        if (age < firstUnassignedLine || nextLineAt > now || lines == maxUnassignedLines || !this->state.isUnassigned(id)) {
            continue;
        }
        ++lines;
        nextLineAt = now + firstUnassignedLine * (1 << std::min(count++, maxIntervalDoublings));
        this->state.owner.log.emit("work_waiting",
            {{"job", id.value}, {"queue", job.queue.value}, {"service", job.service.value}, {"token", this->state.token},
                {"reason", toString(WaitReason::Unassigned)}, {"accepted_ms", std::int64_t(age.count())}});
    }
}

net::awaitable<void> ShardOwner::Tasks::reviewWaiting()
{
    const TimePoint startedAt = bootNow();
    TimePoint takeoverLineAt = startedAt + takeoverLineInterval;
    UnassignedWatch unassigned;
    while (!this->isEnded()) {
        co_await sleepFor(this->state.owner.context, reviewInterval);
        const TimePoint now = bootNow();
        if (!this->state.isLoaded && !this->isEnded() && now >= takeoverLineAt) {
            takeoverLineAt = now + takeoverLineInterval;
            this->state.owner.log.emit("takeover_delayed",
                {{"partition", std::int64_t(this->state.partition)}, {"token", this->state.token}, {"reason", this->state.awaited},
                    {"age_ms", std::int64_t(std::chrono::duration_cast<milliseconds>(now - startedAt).count())}});
        }
        if (!this->state.isLoaded || this->isEnded()) {
            continue;
        }
        for (const auto &[service, pool] : this->state.pools) {
            logReview(this->state.owner.log, service, this->state.token, pool->reviewWaiting(now, wallNow()));
            for (const AccountQuota &quota : pool->takeWaitingQuotas(now)) {
                logQuotaWaiting(this->state.owner.log, service, this->state.token, quota);
            }
        }
        this->reviewUnassignedJobs(unassigned);
    }
}

}
