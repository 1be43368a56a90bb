// Membership and what follows from it.
#include "ownership.h"

#include <algorithm>

#include "clocks.h"
#include "event.h"

namespace MangoCourse {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds joinInterval{200};
constexpr milliseconds joinRetry{100};
// A silent member loses its partitions after this long.
constexpr milliseconds wantedMembership{1200};

}

Ownership::Ownership(OwnerContext owner, Handlers handlers)
    : owner(owner)
    , handlers(std::move(handlers))
{
}

milliseconds Ownership::membershipTime() const
{
    return std::max(wantedMembership, this->owner.settings.shortestMembership);
}

void Ownership::setTerms(TimePoint sentAt)
{
    this->confirmedAt = std::max(this->confirmedAt, sentAt);
    for (auto &[partition, shard] : this->owned) {
        shard->setTerm(OwnershipTerm{this->confirmedAt, this->confirmedAt + this->owner.settings.scheduler.longestLease});
    }
}

void Ownership::apply(const Membership &membership, TimePoint sentAt)
{
    const milliseconds allowed = this->membershipTime();
    const bool hadGap = this->confirmedAt != TimePoint{} && sentAt - this->confirmedAt > allowed;
    const bool hasChanged = membership.generation != this->generation;
    // After a gap in which the group changed, a partition may have been elsewhere and come back.
    const bool isUncertain = hadGap && hasChanged;
    this->generation = membership.generation;
    std::set<std::int32_t> wanted;
    bool plans = false;
    for (const OwnedPartition &part : membership.owned) {
        if (part.stream == Stream::Jobs) {
            wanted.insert(part.partition);
        } else if (part.stream == Stream::Plan && part.partition == 0) {
            plans = true;
        }
    }
    for (auto shard = this->owned.begin(); shard != this->owned.end();) {
        const bool isLost = !wanted.contains(shard->first);
        if (isLost || isUncertain || shard->second->isSuperseded()) {
            this->owner.log.emit(isLost ? "ownership_lost" : "ownership_renewed",
                {{"partition", std::int64_t(shard->first)}, {"token", shard->second->token()}, {"generation", membership.generation}}, EventWeight::Essential);
            shard->second->stop();
            shard = this->owned.erase(shard);
        } else {
            ++shard;
        }
    }
    for (const std::int32_t partition : wanted) {
        if (this->owned.contains(partition)) {
            continue;
        }
        const auto shard = ShardOwner::create(this->owner, partition, membership.generation);
        this->owned.emplace(partition, shard);
        shard->setConfig(this->config);
        shard->setExecutors(this->executors);
        shard->setEvacuations(this->knownEvacuations);
        shard->start();
    }
    this->setTerms(sentAt);
    if (plans && (this->planning == 0 || isUncertain)) {
        this->planning = membership.generation;
        this->handlers.planning(this->planning);
    } else if (!plans && this->planning != 0) {
        this->planning = 0;
        this->handlers.planning(0);
    }
}

net::awaitable<void> Ownership::leaveEarlierLife()
{
    // Under the same name and generation the token of the process's earlier life would be used again.
    while (!this->isRetired) {
        const Result<void> left = co_await this->owner.store.leave();
        if (left || left.error().code == ErrorCode::Refused || left.error().code == ErrorCode::Conflict) {
            co_return;
        }
        co_await sleepFor(this->owner.context, joinRetry);
    }
}

net::awaitable<void> Ownership::run()
{
    co_await this->leaveEarlierLife();
    while (!this->isRetired) {
        if (!this->config || !this->isPlanKnown) {
            // Such a member could not serve what it is given.
            co_await sleepFor(this->owner.context, joinRetry);
            continue;
        }
        const TimePoint sentAt = bootNow();
        const Result<Membership> joined = co_await this->owner.store.join(this->generation, this->membershipTime());
        if (this->isRetired) {
            break;
        }
        if (joined) {
            this->apply(*joined, sentAt);
        }
        this->handlers.contact(joined.has_value());
        if (!joined) {
            this->owner.log.emit("join_failed", {{"reason", describe(joined.error())}, {"generation", this->generation}});
        }
        co_await sleepFor(this->owner.context, joined ? joinInterval : joinRetry);
    }
}

net::awaitable<void> Ownership::retire()
{
    this->isRetired = true;
    if (this->planning != 0) {
        this->planning = 0;
        this->handlers.planning(0);
    }
    for (auto &[partition, shard] : this->owned) {
        co_await shard->handOver();
    }
    this->owned.clear();
    const Result<void> left = co_await this->owner.store.leave();
    this->owner.log.emit("left_group", {{"generation", this->generation}, {"confirmed", left.has_value()}}, EventWeight::Essential);
}

void Ownership::setConfig(std::shared_ptr<const FleetConfig> config)
{
    this->config = std::move(config);
    for (auto &[partition, shard] : this->owned) {
        shard->setConfig(this->config);
    }
}

void Ownership::setExecutors(const std::vector<ExecutorInfo> &executors)
{
    this->executors = executors;
    for (auto &[partition, shard] : this->owned) {
        shard->setExecutors(executors);
    }
}

void Ownership::setEvacuations(const EvacuationList &list)
{
    this->knownEvacuations = list;
    for (auto &[partition, shard] : this->owned) {
        shard->setEvacuations(list);
    }
}

void Ownership::notePlanKnown()
{
    this->isPlanKnown = true;
}

const EvacuationList &Ownership::evacuations() const
{
    return this->knownEvacuations;
}

bool Ownership::ownsPools() const
{
    return std::any_of(this->owned.begin(), this->owned.end(), [](const auto &entry) {
        return !entry.second->summaries().empty();
    });
}

std::int64_t Ownership::planningToken() const
{
    return this->planning;
}

TimePoint Ownership::planningUntil() const
{
    return this->confirmedAt + this->membershipTime();
}

const std::map<std::int32_t, std::shared_ptr<ShardOwner>> &Ownership::shards() const
{
    return this->owned;
}

}
