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
    // The other processes that own something.
    std::vector<std::int32_t> otherShares;
    // For how long nobody else has been seen to own anything.
    std::chrono::milliseconds vacantFor{};
    // How long this process leaves a vacancy to stronger ones.
    std::chrono::milliseconds vacancyDelay{};
};

enum class OwnerMove {
    Join,
    Stay,
    Leave,
    StandBy,
};

// Answers the load of a queue's burst, which one owner carries: starts on a machine with a small share would wait for its processor. A
// process stands by while enough owners have at least twice its share, and takes part as soon as they are too few.
OwnerMove chooseOwnerMove(const OwnerView &view);

}
