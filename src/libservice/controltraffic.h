// Bytes that this process has sent and received for control: operators, peers, the platform. Callers' traffic is not in it.
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

// Returns the process's counters.
inline ControlTraffic &controlTraffic()
{
    static ControlTraffic traffic;
    return traffic;
}

}
