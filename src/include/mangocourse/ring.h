// Bounded FIFO queues between threads. A push to a full queue fails; it neither blocks nor discards items.
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

// A lock-free queue for one producer thread and one consumer thread.
template<typename T>
class SpscRing
{
public:
    explicit SpscRing(std::size_t capacity)
        : queue(capacity)
    {
    }

    // Returns false when the ring is full; the caller then refuses the work as not run.
    [[nodiscard]] bool tryPush(T item)
    {
        return this->queue.push(std::move(item));
    }

    // Removes and returns the oldest item, or returns nothing when the ring is empty.
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

// A queue with the same contract for several producers, such as the server threads that feed the appender. Uses a mutex; the consumer may wait.
template<typename T>
class MpscRing
{
public:
    explicit MpscRing(std::size_t capacity)
        : capacity(capacity)
    {
    }

    // Returns false when the ring is full.
    [[nodiscard]] bool tryPush(T item)
    {
        const std::scoped_lock lock(this->mutex);
        if (this->items.size() >= this->capacity) {
            return false;
        }
        this->items.push_back(std::move(item));
        this->itemAdded.notify_one();
        return true;
    }

    // Waits until the ring holds an item or the limit has passed. Does not remove the item.
    void waitForItem(std::chrono::milliseconds limit)
    {
        std::unique_lock lock(this->mutex);
        this->itemAdded.wait_for(lock, limit, [this] {
            return !this->items.empty();
        });
    }

    // Removes and returns the oldest item, or returns nothing when the ring is empty.
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
    std::condition_variable itemAdded;
    std::deque<T> items;
    std::size_t capacity;
};

}
