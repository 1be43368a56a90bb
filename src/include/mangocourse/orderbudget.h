// Bounds the orders to executors that are under way at the same time, and the memory that they take.
#pragma once

#include <cstddef>
#include <memory>

#include <mangocourse/error.h>

namespace MangoCourse {

enum class OrderKind {
    // Part of the budget is kept free of starts, so that stops and pace orders need not wait for them.
    Start,
    Other,
};

// What one order under way takes at most: its copies of the payload, the request with its body, the coroutine, and its part of a connection.
inline constexpr std::size_t orderMemory = 16 * 1024;

// A number of places for orders under way. Not thread-safe.
class OrderBudget : public std::enable_shared_from_this<OrderBudget>
{
public:
    // The place of one order, given back when the last copy is destroyed.
    using Place = std::shared_ptr<const OrderBudget>;

    // The places count against those of `parent`, too; nullptr if there is none. Returns InvalidArgument unless the limit is positive.
    static Result<std::shared_ptr<OrderBudget>> create(std::size_t limit, std::shared_ptr<OrderBudget> parent = nullptr);

    bool hasRoom(OrderKind kind) const;
    // Takes a place. Orders that have to be sent together may exceed the limit, so it is taken even if there is no room.
    Place take();

    std::size_t limit() const;
    std::size_t used() const;

private:
    OrderBudget(std::size_t limit, std::shared_ptr<OrderBudget> parent);

    std::size_t maxOrders;
    std::size_t usedCount = 0;
    std::shared_ptr<OrderBudget> parent;
};

}
