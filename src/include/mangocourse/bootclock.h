// A monotonic clock that keeps counting while the instance is suspended.
#pragma once

#include <ctime>

#include <mangocourse/clock.h>

namespace MangoCourse {

// Used for leases, so that the time of a suspension counts towards their expiry.
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
