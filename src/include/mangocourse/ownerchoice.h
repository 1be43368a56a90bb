// Decides whether a process owns pools, by the CPU share of its machine.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace MangoCourse {

// Input of the decision. Shares are in thousandths of a core; 0 if a process does not publish its share. An owner is stronger than this process
// if it has at least twice its share.
struct OwnerView {
    std::int32_t ownShare = 0;
    bool isMember = false;
    // The process left the owners once and rejoined because too few stronger owners remained.
    bool hasRejoined = false;
    // Shares of the other current owners.
    std::vector<std::int32_t> otherShares;
    // How long there have been too few stronger owners, and the delay before this process joins, which lets stronger processes join first.
    std::chrono::milliseconds neededFor{};
    std::chrono::milliseconds joinDelay{};
    // How long this process has been a member, and how often it has left the owners to make room for stronger ones since it last saw enough of them.
    std::chrono::milliseconds memberFor{};
    std::int32_t resignations = 0;
    // A stronger owner has been seen since this process started.
    bool hasSeenStrongerOwner = false;
};

// Returns true if the view has an owner that is stronger than this process.
bool hasStrongerOwner(const OwnerView &view);

// Returns true if there are too few stronger owners without this process.
bool isOwnerNeeded(const OwnerView &view);

enum class OwnerAction {
    Join,
    Stay,
    Leave,
    StandBy,
};

// Returns the membership change of this process. One owner handles a whole burst of a queue, so on a machine with a small CPU share
// starts would wait for the CPU. A process stands by while there are enough stronger owners, and joins once there have been too few of
// them for `joinDelay`. When all processes restart at once, weak owners may join before the strong ones; so an owner leaves
// as soon as one stronger owner exists, because only then does the store reassign its pools to the stronger owners. If too few stronger
// owners remain, it rejoins. A stronger process that owns nothing is not among the owners, although it may have come back and wait for pools; so
// a weak owner that knows of stronger processes leaves again after a while, each time later.
OwnerAction chooseOwnerAction(const OwnerView &view);

// What a process knows that plans the fleet or may do so. One process plans at a time, and on a machine with a small CPU share its reports are out of
// date when a burst begins.
struct PlannerView {
    // Time since a process with a larger share was last seen to own pools; nothing if none has been seen.
    std::optional<std::chrono::milliseconds> strongerOwnerSeenFor;
    // How long this process has planned, and how often it has resigned as the planner.
    std::chrono::milliseconds planningFor{};
    std::int32_t resignations = 0;
    // How long nobody has planned, and the time for which a vacancy is left to stronger processes.
    std::chrono::milliseconds vacantFor{};
    std::chrono::milliseconds joinDelay{};
};

// Returns true if the planner makes room for a stronger process.
bool shouldResignAsPlanner(const PlannerView &view);
// Returns true if the process offers itself as the planner while nobody plans.
bool shouldJoinPlanners(const PlannerView &view);

}
