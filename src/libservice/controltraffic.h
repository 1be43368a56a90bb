// Counts the bytes of control traffic of this process: with operators, peers and the platform. Callers' traffic is not counted.
#pragma once

#include <atomic>
#include <cstdint>

namespace MangoCourse {

struct ControlTraffic {
    std::atomic<std::uint64_t> received{0};
    std::atomic<std::uint64_t> sent{0};

    std::uint64_t total() const
    {
        return this->received + this->sent;
    }
};

// Returns the counters of this process.
inline ControlTraffic &controlTraffic()
{
    static ControlTraffic traffic;
    return traffic;
}

}
