// A bounded ring between duties: a full ring refuses, it never blocks and never drops silently.
#pragma once

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>

#include <boost/lockfree/spsc_queue.hpp>

namespace MangoCourse {

// One producer thread, one consumer thread, no locks.
template<typename T>
class SpscRing
{
public:
    explicit SpscRing(std::size_t capacity)
        : queue(capacity)
    {
    }

    // Returns false where the ring is full; the caller then refuses the work as not run.
    [[nodiscard]] bool tryPush(T item)
    {
        return this->queue.push(std::move(item));
    }

    // Returns the oldest item, or nothing where the ring is empty.
    std::optional<T> tryPop()
    {
        T item;
        if (!this->queue.pop(item)) {
            return std::nullopt;
        }
        return item;
    }

private:
    boost::lockfree::spsc_queue<T> queue;
};

// The same contract for several producers, as the appender's ring has one per server thread; its consumer may wait.
template<typename T>
class MpscRing
{
public:
    explicit MpscRing(std::size_t capacity)
        : capacity(capacity)
    {
    }

    // Returns false where the ring is full.
    [[nodiscard]] bool tryPush(T item)
    {
        const std::scoped_lock lock(this->mutex);
        if (this->items.size() >= this->capacity) {
            return false;
        }
        this->items.push_back(std::move(item));
        this->filled.notify_one();
        return true;
    }

    // Waits up to the limit until there is an item; it stays in the ring.
    void waitForItem(std::chrono::milliseconds limit)
    {
        std::unique_lock lock(this->mutex);
        this->filled.wait_for(lock, limit, [this] {
            return !this->items.empty();
        });
    }

    // Returns the oldest item, or nothing where the ring is empty.
    std::optional<T> tryPop()
    {
        const std::scoped_lock lock(this->mutex);
        if (this->items.empty()) {
            return std::nullopt;
        }
        std::optional<T> item(std::move(this->items.front()));
        this->items.pop_front();
        return item;
    }

private:
    std::mutex mutex;
    std::condition_variable filled;
    std::deque<T> items;
    std::size_t capacity;
};

}
