// Decision of a process whether to own pools.
#include <mangocourse/ownerchoice.h>

#include <algorithm>

namespace MangoCourse {

namespace {

// This many stronger owners suffice without this process. The store deals partitions evenly among all members, so weak ones that join take busy pools
// from strong owners; with a single strong owner, its failure would interrupt all pools at once.
constexpr std::ptrdiff_t sufficientStrongerOwners = 2;
// An owner is stronger if its share is at least this many times that of this process.
constexpr std::int32_t strongerShareRatio = 2;
// A weak owner makes room for stronger processes after this time, which doubles with each time that it was in vain. A handover interrupts its pools for
// some 100 ms.
constexpr std::chrono::milliseconds firstYieldDelay{4000};
constexpr std::chrono::milliseconds maxYieldDelay{60'000};
// A stronger process that was seen to own pools this recently can plan as well. Owners are looked up about once a second.
constexpr std::chrono::milliseconds maxStrongerOwnerAge{2500};

std::ptrdiff_t countStrongerOwners(const OwnerView &view)
{
    return std::count_if(view.otherShares.begin(), view.otherShares.end(), [&view](std::int32_t share) {
        return share > 0 && view.ownShare > 0 && share >= strongerShareRatio * view.ownShare;
    });
}

std::chrono::milliseconds yieldDelay(std::int32_t resignations)
{
    constexpr std::int32_t maxDoublings = 4;
    return std::min(firstYieldDelay * (1 << std::clamp(resignations, 0, maxDoublings)), maxYieldDelay);
}

}

bool hasStrongerOwner(const OwnerView &view)
{
    return countStrongerOwners(view) > 0;
}

bool isOwnerNeeded(const OwnerView &view)
{
    return countStrongerOwners(view) < sufficientStrongerOwners;
}

OwnerAction chooseOwnerAction(const OwnerView &view)
{
    const bool isNeeded = isOwnerNeeded(view);
    if (view.isMember) {
        const bool yieldsToNewcomer = hasStrongerOwner(view) && !view.hasRejoined;
        const bool isYieldDue = view.hasSeenStrongerOwner && view.memberFor >= yieldDelay(view.resignations);
        return isNeeded && !yieldsToNewcomer && !isYieldDue ? OwnerAction::Stay : OwnerAction::Leave;
    }
    return isNeeded && view.neededFor >= view.joinDelay ? OwnerAction::Join : OwnerAction::StandBy;
}

bool shouldResignAsPlanner(const PlannerView &view)
{
    const bool hasStrongerProcess = view.strongerOwnerSeenFor && *view.strongerOwnerSeenFor <= maxStrongerOwnerAge;
    return hasStrongerProcess && view.planningFor >= yieldDelay(view.resignations);
}

bool shouldJoinPlanners(const PlannerView &view)
{
    const bool hasStrongerProcess = view.strongerOwnerSeenFor && *view.strongerOwnerSeenFor <= maxStrongerOwnerAge;
    return !hasStrongerProcess || view.vacantFor >= view.joinDelay;
}

}
