// Maintains the membership in the owners' group, and starts and stops owners as partitions are assigned and revoked.
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
    Ownership(OwnerContext owner, std::function<void(bool isReachable)> onStoreContact);

    // Owns partitions or stands by, depending on the CPU share of this process, until shutDown().
    net::awaitable<void> run();
    // Hands over all partitions and leaves the group.
    net::awaitable<void> shutDown();

    void setConfig(std::shared_ptr<const FleetConfig> config);
    void setExecutors(const std::vector<ExecutorInfo> &executors, TimePoint asOf);
    void setEvacuations(const EvacuationList &list);
    // Passes on what the feed of the divisions has read.
    void updateDivisions();
    // Marks the wave's machines: until they have been maintained they get no long-running work that can be placed elsewhere.
    void addWave(const MaintenanceWave &wave);
    // Signals that the current evacuations are known. An owner that did not know them could place work on machines that are being evacuated.
    void markPlanKnown();
    const EvacuationList &evacuations() const;
    // Returns true if any owned partition has a pool.
    bool ownsPools() const;
    const std::map<std::int32_t, std::shared_ptr<ShardOwner>> &shards() const;
    // Returns the last time at which a process with a larger CPU share was seen to own pools.
    std::optional<TimePoint> lastStrongerOwner() const;

private:
    void apply(const MembershipConfirmation &confirmation);
    // Joins or leaves the owners' group if that improves the distribution of the pools.
    net::awaitable<void> reviewMembership();
    OwnerView makeView(const std::vector<PartitionHolder> &holders);
    void join();
    // Hands over all partitions and leaves the group.
    net::awaitable<void> resign();
    void updateTerms();

    OwnerContext owner;
    GroupMember member;
    std::map<std::int32_t, std::shared_ptr<ShardOwner>> owned;
    std::shared_ptr<const FleetConfig> config;
    std::vector<ExecutorInfo> executors;
    TimePoint executorWatermark{};
    EvacuationList knownEvacuations;
    // Machines of all known waves, with the time at which each wave was first seen.
    std::map<MachineId, WallTime> dueMachines;
    std::set<WaveId> waves;
    bool isPlanKnown = false;
    bool isShuttingDown = false;
    // True while the membership is being renewed.
    bool isMember = false;
    // Time since which too few processes with a larger CPU share have been seen to own pools.
    std::optional<TimePoint> neededSince;
    // True after this process has left the group in favour of processes with a larger share, until enough of them have been seen to own pools.
    bool hasResigned = false;
    // Number of times that it has left in a row without such owners appearing.
    std::int32_t resignations = 0;
    // Last time at which a stronger owner was seen.
    std::optional<TimePoint> strongerOwnerSeenAt;
    TimePoint joinedAt{};
    Event memberStopped;
    std::function<void(bool isReachable)> onStoreContact;
};

}
