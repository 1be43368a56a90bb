// Monotonic time, local to one process, with a virtual clock for tests.
#pragma once

#include <chrono>
#include <concepts>

namespace MangoCourse {

using Duration = std::chrono::microseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

// A source of monotonic time. Times of different processes must not be compared.
template<typename T>
concept Clock = requires(const T clock)
{
    {
        clock.now()
        } -> std::same_as<TimePoint>;
};

// The monotonic clock of the operating system; it may stop while the instance is suspended.
class SteadyClock
{
public:
    TimePoint now() const
    {
        return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
    }
};

// A clock that moves only through advance().
class VirtualClock
{
public:
    TimePoint now() const
    {
        return this->current;
    }
    void advance(Duration step)
    {
        this->current += step;
    }

private:
    TimePoint current{};
};

}
