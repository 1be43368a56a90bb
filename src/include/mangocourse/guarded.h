// A mutex-protected value with change listeners.
#pragma once

#include <functional>
#include <mutex>
#include <vector>

namespace MangoCourse {

// Safe for concurrent use once the listeners are registered. Readers and the single writer work under the lock, so that large states are never
// copied.
template<typename T>
class Guarded
{
public:
    // Calls the reader with the value and returns its result, which must not refer to the value.
    template<typename Reader>
    auto read(Reader reader) const
    {
        const std::scoped_lock lock(this->mutex);
        return reader(static_cast<const T &>(this->value));
    }

    // Calls the writer with the value under the lock, then the listeners on this thread without the lock.
    template<typename Writer>
    void write(Writer writer)
    {
        {
            const std::scoped_lock lock(this->mutex);
            writer(this->value);
        }
        this->notify();
    }

    // Calls the listeners without a change of the value, for a change of data that is published together with it.
    void notify() const
    {
        for (const auto &listener : this->listeners) {
            listener();
        }
    }

    // Adds a listener. Not synchronized: must be called before other threads use the object.
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
