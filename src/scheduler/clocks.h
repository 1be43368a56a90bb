// The clocks that the scheduler uses.
#pragma once

#include <mangocourse/bootclock.h>
#include <mangocourse/job.h>

namespace MangoCourse {

// Time of day, for values that are stored or compared between processes.
inline WallTime wallNow()
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

// Clock that includes the time for which the machine is suspended, for leases and terms.
inline TimePoint bootNow()
{
    return BootClock().now();
}

}
