// Decision of a process whether to own pools.
#include <mangocourse/ownerchoice.h>

#include <algorithm>

namespace MangoCourse {

namespace {

// This many stronger owners suffice without this process; with fewer owners, one failure would interrupt too many pools at once.
constexpr std::ptrdiff_t sufficientStrongerOwners = 3;
// An owner is stronger if its share is at least this many times that of this process.
constexpr std::int32_t strongerShareRatio = 2;

}

namespace {

std::ptrdiff_t countStrongerOwners(const OwnerView &view)
{
    return std::count_if(view.otherShares.begin(), view.otherShares.end(), [&view](std::int32_t share) {
        return share > 0 && view.ownShare > 0 && share >= strongerShareRatio * view.ownShare;
    });
}

}

bool isOwnerNeeded(const OwnerView &view)
{
    return countStrongerOwners(view) < sufficientStrongerOwners;
}

OwnerAction chooseOwnerAction(const OwnerView &view)
{
    const bool isNeeded = isOwnerNeeded(view);
    if (view.isMember) {
        const bool hasStrongerOwner = countStrongerOwners(view) > 0 && !view.hasRejoined;
        return isNeeded && !hasStrongerOwner ? OwnerAction::Stay : OwnerAction::Leave;
    }
    return isNeeded && view.neededFor >= view.joinDelay ? OwnerAction::Join : OwnerAction::StandBy;
}

}
