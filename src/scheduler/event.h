// Wake-up event for coroutines of one io_context.
#pragma once

#include <chrono>

#include "asiotypes.h"

namespace MangoCourse {

// notify() wakes all waiting coroutines. A notification without a waiter is kept for the next wait.
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

    // Returns when notified or after the timeout.
    net::awaitable<void> waitFor(std::chrono::milliseconds timeout)
    {
        if (!this->isSet) {
            SystemErrorCode ignored;
            this->timer.expires_after(timeout);
            co_await this->timer.async_wait(captureError(ignored));
        }
        this->isSet = false;
    }

private:
    net::steady_timer timer;
    bool isSet = false;
};

inline net::awaitable<void> sleepFor(net::io_context &context, std::chrono::milliseconds duration)
{
    SystemErrorCode ignored;
    net::steady_timer timer(context, duration);
    co_await timer.async_wait(captureError(ignored));
}

}
