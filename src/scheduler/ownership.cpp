// Membership in the owners' group and its consequences.
#include "ownership.h"

#include <algorithm>

#include "clocks.h"

namespace MangoCourse {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds startPollInterval{100};
// Intervals at which the owners are checked: by a process on standby, by one that is needed or that failed to read the owners, and by a member with
// a small CPU share.
constexpr milliseconds standbyPollInterval{800};
constexpr milliseconds vacancyPollInterval{150};
constexpr milliseconds memberPollInterval{2000};
// A join in progress when the membership ends is awaited for up to this long, so that it cannot take effect after the leave.
constexpr milliseconds maxPendingJoinWait{1000};

}

Ownership::Ownership(OwnerContext owner, std::function<void(bool isReachable)> onStoreContact)
    : owner(owner)
    , member(owner.context, owner.store, owner.log, Group::Owners, owner.settings.membershipTimeout(),
          GroupMember::Handlers{[this](const MembershipConfirmation &confirmation) {
                                    this->apply(confirmation);
                                },
              [this](bool isReachable) {
                  this->onStoreContact(isReachable);
              }})
    , memberStopped(owner.context)
    , onStoreContact(std::move(onStoreContact))
{
}

void Ownership::updateTerms()
{
    const TimePoint confirmedAt = this->member.confirmedAt();
    for (auto &[partition, shard] : this->owned) {
        shard->setTerm(OwnershipTerm{confirmedAt, confirmedAt + this->owner.settings.scheduler.maxLeaseLength});
    }
}

void Ownership::apply(const MembershipConfirmation &confirmation)
{
    const std::int64_t generation = confirmation.membership.generation;
    std::set<std::int32_t> assigned;
    for (const OwnedPartition &ownedPartition : confirmation.membership.owned) {
        if (ownedPartition.stream == Stream::Jobs) {
            assigned.insert(ownedPartition.partition);
        }
    }
    for (auto shard = this->owned.begin(); shard != this->owned.end();) {
        const bool isLost = !assigned.contains(shard->first);
        if (isLost || confirmation.reassigned.contains(OwnedPartition{Stream::Jobs, shard->first}) || shard->second->isSuperseded()) {
            this->owner.log.emit(isLost ? "ownership_lost" : "ownership_renewed",
                {{"partition", std::int64_t(shard->first)}, {"token", shard->second->token()}, {"generation", generation}}, EventPriority::Essential);
            shard->second->stop();
            shard = this->owned.erase(shard);
        } else {
            ++shard;
        }
    }
    for (const std::int32_t partition : assigned) {
        if (this->owned.contains(partition)) {
            continue;
        }
        const auto shard = ShardOwner::create(this->owner, partition, generation);
        this->owned.emplace(partition, shard);
        shard->setConfig(this->config);
        shard->setExecutors(this->executors, this->executorWatermark);
        shard->setEvacuations(this->knownEvacuations);
        shard->setUpcomingMaintenance(this->dueMachines);
        shard->start();
    }
    this->updateTerms();
}

net::awaitable<void> Ownership::run()
{
    // Without a configuration and the current plan a member could not serve its partitions.
    while (!this->isShuttingDown && (!this->config || !this->isPlanKnown)) {
        co_await sleepFor(this->owner.context, startPollInterval);
    }
    while (!this->isShuttingDown) {
        co_await this->reviewMembership();
    }
}

net::awaitable<void> Ownership::reviewMembership()
{
    const NodeSettings &settings = this->owner.settings;
    if (this->isMember && settings.hasSufficientCpu()) {
        co_await sleepFor(this->owner.context, memberPollInterval);
        co_return;
    }
    const Result<std::vector<PartitionHolder>> holders = co_await this->owner.store.holders(Group::Owners);
    this->onStoreContact(holders.has_value());
    if (!holders) {
        this->owner.log.emit("owners_unknown", {{"reason", describe(holders.error())}});
        co_await sleepFor(this->owner.context, this->isMember ? memberPollInterval : vacancyPollInterval);
        co_return;
    }
    const OwnerAction action = chooseOwnerAction(this->makeView(*holders));
    if (this->isShuttingDown) {
        co_return;
    }
    if (action == OwnerAction::Join) {
        this->join();
    } else if (action == OwnerAction::Leave) {
        this->hasResigned = true;
        ++this->resignations;
        this->owner.log.emit("owners_resigned", {{"share", std::int64_t(this->owner.settings.cpuMillicores)}, {"times", std::int64_t(this->resignations)}},
            EventPriority::Essential);
        co_await this->resign();
    }
    const bool isWaiting = !this->isMember && this->neededSince;
    co_await sleepFor(this->owner.context, this->isMember ? memberPollInterval : (isWaiting ? vacancyPollInterval : standbyPollInterval));
}

OwnerView Ownership::makeView(const std::vector<PartitionHolder> &holders)
{
    const NodeSettings &settings = this->owner.settings;
    OwnerView view{settings.cpuMillicores, this->isMember, this->isMember && this->hasResigned, {}, {}, settings.takeoverDelay()};
    for (const PartitionHolder &holder : holders) {
        if (holder.process != settings.name.value) {
            view.otherShares.push_back(holder.cpuMillicores);
        }
    }
    if (hasStrongerOwner(view)) {
        this->strongerOwnerSeenAt = bootNow();
    }
    view.hasSeenStrongerOwner = this->strongerOwnerSeenAt.has_value();
    if (isOwnerNeeded(view)) {
        this->neededSince = this->neededSince.value_or(bootNow());
        view.neededFor = std::chrono::duration_cast<milliseconds>(bootNow() - *this->neededSince);
    } else {
        this->neededSince.reset();
        this->hasResigned = false;
        this->resignations = 0;
    }
    view.resignations = this->resignations;
    view.memberFor = std::chrono::duration_cast<milliseconds>(this->isMember ? bootNow() - this->joinedAt : Duration{});
    return view;
}

void Ownership::join()
{
    this->isMember = true;
    this->joinedAt = bootNow();
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
    const TimePoint deadline = bootNow() + maxPendingJoinWait;
    while (this->isMember && bootNow() < deadline) {
        co_await this->memberStopped.waitFor(maxPendingJoinWait);
    }
    for (auto &[partition, shard] : this->owned) {
        co_await shard->handOver();
    }
    this->owned.clear();
    co_await this->member.leave();
    this->neededSince.reset();
}

net::awaitable<void> Ownership::shutDown()
{
    this->isShuttingDown = true;
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

void Ownership::updateDivisions()
{
    for (auto &[partition, shard] : this->owned) {
        shard->updateDivisions();
    }
}

void Ownership::addWave(const MaintenanceWave &wave)
{
    if (!this->waves.insert(wave.id).second) {
        return;
    }
    const WallTime now = wallNow();
    for (const MachineId &machine : wave.machines) {
        this->dueMachines[machine] = now;
    }
    for (auto &[partition, shard] : this->owned) {
        shard->setUpcomingMaintenance(this->dueMachines);
    }
}

void Ownership::markPlanKnown()
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

std::optional<TimePoint> Ownership::lastStrongerOwner() const
{
    return this->strongerOwnerSeenAt;
}

}
