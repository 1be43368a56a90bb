// Decides which processes own pools: those whose machines have the processor time for it.
#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

namespace MangoCourse {

// What a process knows when it decides whether to be an owner. Shares are in thousandths of a core; 0 where a process does not say.
struct OwnerView {
    std::int32_t ownShare = 0;
    bool isMember = false;
    // It has been an owner, left, and found that too few stronger ones remained.
    bool hasRejoined = false;
    // The other processes that own something.
    std::vector<std::int32_t> otherShares;
    // For how long this process has seen too few stronger owners, and how long it leaves the matter to them.
    std::chrono::milliseconds neededFor{};
    std::chrono::milliseconds joinDelay{};
};

// Returns true where so few stronger processes own pools that this one should.
bool isOwnerNeeded(const OwnerView &view);

enum class OwnerAction {
    Join,
    Stay,
    Leave,
    StandBy,
};

// Answers the load of a queue's burst, which one owner carries: starts on a machine with a small share would wait for its processor. A
// process stands by while enough owners have at least twice its share, and takes part once they have been too few for a while. After a
// loss of all processes a strong one may see only weak owners and the other way round, so an owner leaves as soon as one is stronger: only
// then does the store deal the pools to the strong ones. It does so once; where few strong ones remain, it stays after its return.
OwnerAction chooseOwnerAction(const OwnerView &view);

}
