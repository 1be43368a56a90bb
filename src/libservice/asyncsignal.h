// Condition-variable-like signal for coroutines that can be notified from any thread.
#pragma once

#include <chrono>
#include <memory>

#include "asiotypes.h"

namespace MangoCourse {

// Wakes all waiting coroutines of one io_context. notify() is thread-safe; wait() runs on the io_context. Wake-ups may be spurious.
class AsyncSignal
{
public:
    explicit AsyncSignal(net::io_context &context)
        : context(context)
        , timer(std::make_shared<net::steady_timer>(context, net::steady_timer::time_point::max()))
    {
    }

    void notify()
    {
        net::post(this->context, [shared = this->timer] {
            shared->cancel();
        });
    }

    // Returns at the next notify(), after the timeout, or when another waiter's timeout expires. Callers check their condition again.
    net::awaitable<void> wait(std::chrono::milliseconds timeout)
    {
        SystemErrorCode error;
        auto deadline = std::make_shared<net::steady_timer>(this->context, timeout);
        // Cancelling the shared timer wakes all waiters. A waiter's own deadline cancels it too; the other waiters check and wait again.
        deadline->async_wait([shared = this->timer](SystemErrorCode cancelled) {
            if (!cancelled) {
                shared->cancel();
            }
        });
        co_await this->timer->async_wait(captureError(error));
        deadline->cancel();
    }

private:
    net::io_context &context;
    std::shared_ptr<net::steady_timer> timer;
};

}
