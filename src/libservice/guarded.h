// A value that one duty changes and others read, and a signal that wakes coroutines when it did.
#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

#include "asiotypes.h"

namespace MangoCourse {

// Safe for concurrent use. Readers and the one writer work under the lock, so that big states are never copied.
template<typename T>
class Guarded
{
public:
    // Calls the reader with the value and returns its result; the result must not refer into the value.
    template<typename Reader>
    auto read(Reader reader) const
    {
        const std::scoped_lock lock(this->mutex);
        return reader(static_cast<const T &>(this->value));
    }

    // Calls the writer with the value, then the listeners on this thread, without the lock.
    template<typename Writer>
    void write(Writer writer)
    {
        {
            const std::scoped_lock lock(this->mutex);
            writer(this->value);
        }
        for (const auto &listener : this->listeners) {
            listener();
        }
    }

    // Adds a listener. Only before the duties start.
    void onChange(std::function<void()> listener)
    {
        this->listeners.push_back(std::move(listener));
    }

private:
    mutable std::mutex mutex;
    T value;
    std::vector<std::function<void()>> listeners;
};

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
        ErrorCodeSystem error;
        auto deadline = std::make_shared<net::steady_timer>(this->context, limit);
        // The shared timer wakes all waiters at once; each waiter's own deadline cancels it, and the others check and wait again.
        deadline->async_wait([shared = this->timer](ErrorCodeSystem fired) {
            if (!fired) {
                shared->cancel();
            }
        });
        co_await this->timer->async_wait(into(error));
        deadline->cancel();
    }

private:
    net::io_context &context;
    std::shared_ptr<net::steady_timer> timer;
};

}
