// Which processes own pools.
#include <mangocourse/ownerchoice.h>

#include <algorithm>

namespace MangoCourse {

namespace {

// So many stronger owners carry the pools without this process; with fewer, each failure would stop too many pools at once.
constexpr std::ptrdiff_t enoughOwners = 3;
// An owner with this many times the share is stronger.
constexpr std::int32_t strongerFactor = 2;

}

namespace {

std::ptrdiff_t strongerOwners(const OwnerView &view)
{
    return std::count_if(view.otherShares.begin(), view.otherShares.end(), [&view](std::int32_t share) {
        return share > 0 && view.ownShare > 0 && share >= strongerFactor * view.ownShare;
    });
}

}

bool isOwnerNeeded(const OwnerView &view)
{
    return strongerOwners(view) < enoughOwners;
}

OwnerAction chooseOwnerAction(const OwnerView &view)
{
    const bool isNeeded = isOwnerNeeded(view);
    if (view.isMember) {
        const bool isOutdone = strongerOwners(view) > 0 && !view.hasRejoined;
        return isNeeded && !isOutdone ? OwnerAction::Stay : OwnerAction::Leave;
    }
    return isNeeded && view.neededFor >= view.joinDelay ? OwnerAction::Join : OwnerAction::StandBy;
}

}
