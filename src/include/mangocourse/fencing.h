// Fencing tokens of the calls to executors.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>

#include <mangocourse/execution.h>

namespace MangoCourse {

// Number of fencing tokens that each owner can use. The tokens of a later owner, whose ownership token is higher, are higher than all of them.
inline constexpr std::int64_t fencingTokensPerOwner = std::int64_t(1) << 28;

// Returns the ownership token of the owner that uses the fencing token.
constexpr std::int64_t ownershipTokenOf(std::int64_t fencingToken)
{
    return fencingToken / fencingTokensPerOwner;
}

// The fencing tokens of one owner, by executor id. An executor carries out no call with a lower token than it has seen, and its next incarnation has seen
// none. An owner therefore raises the token once it has sent a call that must not follow later ones: if a later call reaches the next incarnation first,
// the earlier one is refused there. Not thread-safe.
class FencingTokens
{
public:
    explicit FencingTokens(std::int64_t ownershipToken)
        : first(ownershipToken * fencingTokensPerOwner)
    {
    }

    // Returns the token of a call to the executor that is sent now.
    std::int64_t current(const ExecutorId &executor) const
    {
        const auto raised = this->raises.find(executor);
        return this->first + (raised == this->raises.end() ? 0 : raised->second);
    }
    // Makes the later calls to all incarnations of the executor have a higher token.
    void raise(const ExecutorId &executor)
    {
        std::int64_t &count = this->raises[executor];
        count = std::min(count + 1, fencingTokensPerOwner - 1);
    }

private:
    std::int64_t first = 0;
    std::map<ExecutorId, std::int64_t> raises;
};

}
