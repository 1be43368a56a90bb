// Time as the decisions see it: monotonic, local to a process, replaceable in tests.
#pragma once

#include <chrono>
#include <concepts>

namespace MangoCourse {

using Duration = std::chrono::microseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

// A source of monotonic time. Times of two processes are never compared.
template<typename T>
concept Clock = requires(const T clock)
{
    {
        clock.now()
        } -> std::same_as<TimePoint>;
};

// The machine's monotonic clock.
class SteadyClock
{
public:
    TimePoint now() const
    {
        return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
    }
};

// A clock that moves only when told to.
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
