// A monotonic clock that goes on counting while the machine is suspended.
#pragma once

#include <ctime>

#include <mangocourse/clock.h>

namespace MangoCourse {

// Leases are judged with this clock: after a suspension the time that passed must count against them.
class BootClock
{
public:
    TimePoint now() const
    {
        timespec value{};
        clock_gettime(CLOCK_BOOTTIME, &value);
        return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::seconds(value.tv_sec) + std::chrono::nanoseconds(value.tv_nsec)));
    }
};

}
