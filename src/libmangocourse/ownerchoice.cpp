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

OwnerMove chooseOwnerMove(const OwnerView &view)
{
    if (view.otherShares.empty() && !view.isMember) {
        return view.vacantFor < view.vacancyDelay ? OwnerMove::StandBy : OwnerMove::Join;
    }
    const auto stronger = std::count_if(view.otherShares.begin(), view.otherShares.end(), [&view](std::int32_t share) {
        return share > 0 && view.ownShare > 0 && share >= strongerFactor * view.ownShare;
    });
    const bool isNeeded = stronger < enoughOwners;
    if (view.isMember) {
        return isNeeded ? OwnerMove::Stay : OwnerMove::Leave;
    }
    return isNeeded ? OwnerMove::Join : OwnerMove::StandBy;
}

}
