// Membership in one of the store's groups, which deal partitions out to their members.
#pragma once

#include <functional>

#include <mangocourse/bootclock.h>

#include "eventlog.h"
#include "ports.h"

namespace MangoCourse {

// One answer to a join.
struct MembershipConfirmation {
    Membership membership;
    // The group changed while the membership may have lapsed, so a partition may have been elsewhere and come back.
    bool isUncertain = false;
};

class GroupMember
{
public:
    struct Handlers {
        std::function<void(const MembershipConfirmation &confirmation)> confirmed;
        std::function<void(bool isReachable)> contact;
    };

    // A member that is silent for `silenceLimit` loses its partitions.
    GroupMember(net::io_context &context, RecordStore &store, EventLog &log, Group group, std::chrono::milliseconds silenceLimit, Handlers handlers);

    // Keeps the membership until stop(). May be run again.
    net::awaitable<void> run();
    void stop();
    // Gives the membership up; true where the store confirmed it.
    net::awaitable<bool> leave();

    std::int64_t generation() const;
    // The latest time at which this process is known to have been a member.
    TimePoint confirmedAt() const;
    // No partition is given to another member before this.
    TimePoint confirmedUntil() const;

private:
    net::awaitable<void> leaveEarlierLife();
    void noteConfirmed(Membership membership, TimePoint sentAt);

    net::io_context &context;
    RecordStore &store;
    EventLog &log;
    Group group;
    std::chrono::milliseconds silenceLimit;
    Handlers handlers;
    std::int64_t knownGeneration = 0;
    TimePoint lastConfirmed{};
    bool isStopped = false;
};

}
