// The two clocks of the scheduler's duties.
#pragma once

#include <mangocourse/bootclock.h>
#include <mangocourse/job.h>

namespace MangoCourse {

// The time of day, for what is stored and compared between processes.
inline WallTime wallNow()
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

// The clock that goes on while the machine is suspended, for leases and terms.
inline TimePoint bootNow()
{
    return BootClock().now();
}

}
