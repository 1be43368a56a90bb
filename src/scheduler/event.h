// A wake-up for coroutines of one io_context.
#pragma once

#include <chrono>

#include "asiotypes.h"

namespace MangoCourse {

// notify() wakes all that wait; one that comes before the wait is not lost.
class Event
{
public:
    explicit Event(net::io_context &context)
        : timer(context)
    {
    }

    void notify()
    {
        this->isSet = true;
        this->timer.cancel();
    }

    // Returns when notified, or when the time is over.
    net::awaitable<void> waitFor(std::chrono::milliseconds limit)
    {
        if (!this->isSet) {
            SystemErrorCode ignored;
            this->timer.expires_after(limit);
            co_await this->timer.async_wait(captureError(ignored));
        }
        this->isSet = false;
    }

private:
    net::steady_timer timer;
    bool isSet = false;
};

// Sleeps for the time given.
inline net::awaitable<void> sleepFor(net::io_context &context, std::chrono::milliseconds time)
{
    SystemErrorCode ignored;
    net::steady_timer timer(context, time);
    co_await timer.async_wait(captureError(ignored));
}

}
