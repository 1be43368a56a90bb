// A value that one duty changes and others read.
#pragma once

#include <functional>
#include <mutex>
#include <vector>

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
        this->notify();
    }

    // Calls the listeners although the value is as it was, for news that travels with it.
    void notify() const
    {
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

}
