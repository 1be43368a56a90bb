// Keeps the membership in the group of owners and starts and stops owners as partitions come and go.
#pragma once

#include <functional>
#include <map>
#include <memory>

#include "shardowner.h"

namespace MangoCourse {

class Ownership
{
public:
    struct Handlers {
        std::function<void(bool isReachable)> contact;
        // Called when the planning duty is gained, with its token, and when it is lost, with 0.
        std::function<void(std::int64_t token)> planning;
    };

    Ownership(OwnerContext owner, Handlers handlers);

    // Keeps the membership until retire().
    net::awaitable<void> run();
    // Hands everything over and leaves the group.
    net::awaitable<void> retire();

    void setConfig(std::shared_ptr<const FleetConfig> config);
    void setExecutors(const std::vector<ExecutorInfo> &executors);
    void setEvacuations(const EvacuationList &list);
    // Tells that the evacuations so far are known: an owner that did not know them might place work there.
    void notePlanKnown();
    const EvacuationList &evacuations() const;
    // Returns true where some owned partition has a pool.
    bool ownsPools() const;
    std::int64_t planningToken() const;
    // Until when the planning duty may act.
    TimePoint planningUntil() const;
    const std::map<std::int32_t, std::shared_ptr<ShardOwner>> &shards() const;

private:
    std::chrono::milliseconds membershipTime() const;
    net::awaitable<void> leaveEarlierLife();
    void apply(const Membership &membership, TimePoint sentAt);
    void setTerms(TimePoint sentAt);

    OwnerContext owner;
    Handlers handlers;
    std::map<std::int32_t, std::shared_ptr<ShardOwner>> owned;
    std::shared_ptr<const FleetConfig> config;
    std::vector<ExecutorInfo> executors;
    EvacuationList knownEvacuations;
    std::int64_t generation = 0;
    std::int64_t planning = 0;
    TimePoint confirmedAt{};
    bool isPlanKnown = false;
    bool isRetired = false;
};

}
