// Keeps the membership in the group of owners and starts and stops owners as partitions come and go.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>

#include <mangocourse/ownerchoice.h>

#include "event.h"
#include "groupmember.h"
#include "shardowner.h"

namespace MangoCourse {

class Ownership
{
public:
    Ownership(OwnerContext owner, std::function<void(bool isReachable)> contact);

    // Stands by or owns, by what the machine can carry, until retire().
    net::awaitable<void> run();
    // Hands everything over and leaves the group.
    net::awaitable<void> retire();

    void setConfig(std::shared_ptr<const FleetConfig> config);
    void setExecutors(const std::vector<ExecutorInfo> &executors, TimePoint asOf);
    void setEvacuations(const EvacuationList &list);
    // Its machines get no long-running work that can go elsewhere until they have been maintained.
    void addWave(const MaintenanceWave &wave);
    // Tells that the evacuations so far are known: an owner that did not know them might place work there.
    void notePlanKnown();
    const EvacuationList &evacuations() const;
    // Returns true where some owned partition has a pool.
    bool ownsPools() const;
    const std::map<std::int32_t, std::shared_ptr<ShardOwner>> &shards() const;

private:
    void apply(const MembershipConfirmation &confirmation);
    // Joins or leaves the owners where that is better for the pools.
    net::awaitable<void> review();
    OwnerView view(const std::vector<PartitionHolder> &holders);
    void join();
    // Hands over what is owned and leaves the group.
    net::awaitable<void> resign();
    void setTerms();

    OwnerContext owner;
    GroupMember member;
    std::map<std::int32_t, std::shared_ptr<ShardOwner>> owned;
    std::shared_ptr<const FleetConfig> config;
    std::vector<ExecutorInfo> executors;
    TimePoint executorWatermark{};
    EvacuationList knownEvacuations;
    // Machines of all waves, and when each was asked for.
    std::map<MachineId, WallTime> due;
    std::set<WaveId> waves;
    bool isPlanKnown = false;
    bool isRetired = false;
    // The membership is being kept.
    bool isMember = false;
    // Since when too few stronger processes have been seen to own pools.
    std::optional<TimePoint> neededSince;
    // It left the owners to stronger processes, and has not seen enough of them since.
    bool hasResigned = false;
    Event memberStopped;
    std::function<void(bool isReachable)> contact;
};

}
