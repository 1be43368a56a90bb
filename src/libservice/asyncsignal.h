// A signal that wakes coroutines from any thread.
#pragma once

#include <chrono>
#include <memory>

#include "asiotypes.h"

namespace MangoCourse {

// Wakes coroutines of one io_context; notify() may be called from any thread.
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

    // Returns at the next notify() or after the limit, whichever is first.
    net::awaitable<void> wait(std::chrono::milliseconds limit)
    {
        SystemErrorCode error;
        auto deadline = std::make_shared<net::steady_timer>(this->context, limit);
        // The shared timer wakes all waiters at once; each waiter's own deadline cancels it, and the others check and wait again.
        deadline->async_wait([shared = this->timer](SystemErrorCode fired) {
            if (!fired) {
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
