// Membership and what follows from it.
#include "ownership.h"

#include <algorithm>

#include "clocks.h"
#include "event.h"

namespace MangoCourse {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds startCheck{100};

}

Ownership::Ownership(OwnerContext owner, std::function<void(bool isReachable)> contact)
    : owner(owner)
    , member(owner.context, owner.store, owner.log, Group::Owners, owner.settings.membershipSilence(),
          GroupMember::Handlers{[this](const MembershipConfirmation &confirmation) {
                                    this->apply(confirmation);
                                },
              std::move(contact)})
{
}

void Ownership::setTerms()
{
    const TimePoint confirmedAt = this->member.confirmedAt();
    for (auto &[partition, shard] : this->owned) {
        shard->setTerm(OwnershipTerm{confirmedAt, confirmedAt + this->owner.settings.scheduler.longestLease});
    }
}

void Ownership::apply(const MembershipConfirmation &confirmation)
{
    const std::int64_t generation = confirmation.membership.generation;
    std::set<std::int32_t> wanted;
    for (const OwnedPartition &part : confirmation.membership.owned) {
        if (part.stream == Stream::Jobs) {
            wanted.insert(part.partition);
        }
    }
    for (auto shard = this->owned.begin(); shard != this->owned.end();) {
        const bool isLost = !wanted.contains(shard->first);
        if (isLost || confirmation.isUncertain || shard->second->isSuperseded()) {
            this->owner.log.emit(isLost ? "ownership_lost" : "ownership_renewed",
                {{"partition", std::int64_t(shard->first)}, {"token", shard->second->token()}, {"generation", generation}}, EventWeight::Essential);
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
        const auto shard = ShardOwner::create(this->owner, partition, generation);
        this->owned.emplace(partition, shard);
        shard->setConfig(this->config);
        shard->setExecutors(this->executors);
        shard->setEvacuations(this->knownEvacuations);
        shard->start();
    }
    this->setTerms();
}

net::awaitable<void> Ownership::run()
{
    // A member without these could not serve what it is given.
    while (!this->isRetired && (!this->config || !this->isPlanKnown)) {
        co_await sleepFor(this->owner.context, startCheck);
    }
    if (!this->isRetired) {
        co_await this->member.run();
    }
}

net::awaitable<void> Ownership::retire()
{
    this->isRetired = true;
    this->member.stop();
    for (auto &[partition, shard] : this->owned) {
        co_await shard->handOver();
    }
    this->owned.clear();
    co_await this->member.leave();
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

const std::map<std::int32_t, std::shared_ptr<ShardOwner>> &Ownership::shards() const
{
    return this->owned;
}

}
