// Membership and what follows from it.
#include "ownership.h"

#include <algorithm>

#include "clocks.h"

namespace MangoCourse {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds startCheck{100};
// How often a process that stands by looks at the owners, and one whose machine is small while it owns.
constexpr milliseconds standByInterval{800};
constexpr milliseconds vacancyInterval{150};
constexpr milliseconds memberInterval{2000};
// The join under way when a membership ends is waited for, so that it cannot come after the leaving.
constexpr milliseconds lastJoinWait{1000};

}

Ownership::Ownership(OwnerContext owner, std::function<void(bool isReachable)> contact)
    : owner(owner)
    , member(owner.context, owner.store, owner.log, Group::Owners, owner.settings.membershipTimeout(),
          GroupMember::Handlers{[this](const MembershipConfirmation &confirmation) {
                                    this->apply(confirmation);
                                },
              contact})
    , memberStopped(owner.context)
    , contact(std::move(contact))
{
}

void Ownership::setTerms()
{
    const TimePoint confirmedAt = this->member.confirmedAt();
    for (auto &[partition, shard] : this->owned) {
        shard->setTerm(OwnershipTerm{confirmedAt, confirmedAt + this->owner.settings.scheduler.maxLeaseLength});
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
                {{"partition", std::int64_t(shard->first)}, {"token", shard->second->token()}, {"generation", generation}}, EventPriority::Essential);
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
        shard->setExecutors(this->executors, this->executorWatermark);
        shard->setEvacuations(this->knownEvacuations);
        shard->setUpcomingMaintenance(this->due);
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
    while (!this->isRetired) {
        co_await this->review();
    }
}

net::awaitable<void> Ownership::review()
{
    const NodeSettings &settings = this->owner.settings;
    if (this->isMember && settings.hasAmpleShare()) {
        co_await sleepFor(this->owner.context, memberInterval);
        co_return;
    }
    const Result<std::vector<PartitionHolder>> holders = co_await this->owner.store.holders(Group::Owners);
    this->contact(holders.has_value());
    if (!holders) {
        this->owner.log.emit("owners_unknown", {{"reason", describe(holders.error())}});
        co_await sleepFor(this->owner.context, this->isMember ? memberInterval : vacancyInterval);
        co_return;
    }
    const OwnerAction move = chooseOwnerAction(this->view(*holders));
    if (this->isRetired) {
        co_return;
    }
    if (move == OwnerAction::Join) {
        this->join();
    } else if (move == OwnerAction::Leave) {
        this->hasResigned = true;
        co_await this->resign();
    }
    const bool isWaiting = !this->isMember && this->neededSince;
    co_await sleepFor(this->owner.context, this->isMember ? memberInterval : (isWaiting ? vacancyInterval : standByInterval));
}

OwnerView Ownership::view(const std::vector<PartitionHolder> &holders)
{
    const NodeSettings &settings = this->owner.settings;
    OwnerView view{settings.cpuMillicores, this->isMember, this->isMember && this->hasResigned, {}, {}, settings.dutyDelay()};
    for (const PartitionHolder &holder : holders) {
        if (holder.process != settings.name.value) {
            view.otherShares.push_back(holder.cpuMillicores);
        }
    }
    if (isOwnerNeeded(view)) {
        this->neededSince = this->neededSince.value_or(bootNow());
        view.neededFor = std::chrono::duration_cast<milliseconds>(bootNow() - *this->neededSince);
    } else {
        this->neededSince.reset();
        this->hasResigned = false;
    }
    return view;
}

void Ownership::join()
{
    this->isMember = true;
    this->owner.log.emit("owners_joined", {{"share", std::int64_t(this->owner.settings.cpuMillicores)}}, EventPriority::Essential);
    net::co_spawn(
        this->owner.context,
        [this]() -> net::awaitable<void> {
            co_await this->member.run();
            this->isMember = false;
            this->memberStopped.notify();
        },
        net::detached);
}

net::awaitable<void> Ownership::resign()
{
    this->member.stop();
    const TimePoint latest = bootNow() + lastJoinWait;
    while (this->isMember && bootNow() < latest) {
        co_await this->memberStopped.waitFor(lastJoinWait);
    }
    for (auto &[partition, shard] : this->owned) {
        co_await shard->handOver();
    }
    this->owned.clear();
    co_await this->member.leave();
    this->neededSince.reset();
}

net::awaitable<void> Ownership::retire()
{
    this->isRetired = true;
    co_await this->resign();
}

void Ownership::setConfig(std::shared_ptr<const FleetConfig> config)
{
    this->config = std::move(config);
    for (auto &[partition, shard] : this->owned) {
        shard->setConfig(this->config);
    }
}

void Ownership::setExecutors(const std::vector<ExecutorInfo> &executors, TimePoint asOf)
{
    this->executors = executors;
    this->executorWatermark = asOf;
    for (auto &[partition, shard] : this->owned) {
        shard->setExecutors(executors, asOf);
    }
}

void Ownership::setEvacuations(const EvacuationList &list)
{
    this->knownEvacuations = list;
    for (auto &[partition, shard] : this->owned) {
        shard->setEvacuations(list);
    }
}

void Ownership::addWave(const MaintenanceWave &wave)
{
    if (!this->waves.insert(wave.id).second) {
        return;
    }
    const WallTime now = wallNow();
    for (const MachineId &machine : wave.machines) {
        this->due[machine] = now;
    }
    for (auto &[partition, shard] : this->owned) {
        shard->setUpcomingMaintenance(this->due);
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
