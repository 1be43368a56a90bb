// Membership in one of the store's groups, which assign partitions to their members.
#pragma once

#include <functional>
#include <optional>
#include <set>

#include <mangocourse/bootclock.h>

#include "eventlog.h"
#include "ports.h"

namespace MangoCourse {

// A successful join or renewal.
struct MembershipConfirmation {
    Membership membership;
    // The partitions that may have been another member's since the confirmation before.
    std::set<OwnedPartition> reassigned;
};

class GroupMember
{
public:
    struct Handlers {
        std::function<void(const MembershipConfirmation &confirmation)> onConfirmed;
        std::function<void(bool isReachable)> onStoreContact;
    };

    // A member that does not renew within `membershipTimeout` loses its partitions.
    GroupMember(net::io_context &context, RecordStore &store, EventLog &log, Group group, std::chrono::milliseconds membershipTimeout, Handlers handlers);

    // Joins and renews the membership until stop(). May be called again afterwards.
    net::awaitable<void> run();
    void stop();
    // Leaves the group. Returns true if the store confirmed it.
    net::awaitable<bool> leave();

    std::int64_t generation() const;
    // Returns the latest time at which this process is known to have been a member.
    TimePoint confirmedAt() const;
    // Returns the time before which the membership doesn't lapse, unless the store itself ends it in an outage. The store may reassign the partitions before.
    TimePoint confirmedUntil() const;

private:
    net::awaitable<void> leaveStaleMembership();
    net::awaitable<void> handleConfirmation(Membership membership, TimePoint sentAt);
    // Returns those of the partitions held so far that may have been another member's in between.
    net::awaitable<std::set<OwnedPartition>> findReassigned(Membership membership, bool hasGap);

    net::io_context &context;
    RecordStore &store;
    EventLog &log;
    Group group;
    std::chrono::milliseconds membershipTimeout;
    Handlers handlers;
    std::int64_t currentGeneration = 0;
    std::set<OwnedPartition> held;
    TimePoint lastConfirmedAt{};
    bool isStopped = false;
};

}
