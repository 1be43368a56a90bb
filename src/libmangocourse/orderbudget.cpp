#include <mangocourse/orderbudget.h>

namespace MangoCourse {

namespace {

// Starts leave one place in this many free.
constexpr std::size_t reservedPart = 4;

}

OrderBudget::OrderBudget(std::size_t limit, std::shared_ptr<OrderBudget> parent)
    : maxOrders(limit)
    , parent(std::move(parent))
{
}

Result<std::shared_ptr<OrderBudget>> OrderBudget::create(std::size_t limit, std::shared_ptr<OrderBudget> parent)
{
    if (limit == 0) {
        return makeError(ErrorCode::InvalidArgument, "must be positive", "limit");
    }
    return std::shared_ptr<OrderBudget>(new OrderBudget(limit, std::move(parent)));
}

bool OrderBudget::hasRoom(OrderKind kind) const
{
    const std::size_t reserved = kind == OrderKind::Start ? this->maxOrders / reservedPart : 0;
    return this->usedCount + reserved < this->maxOrders && (!this->parent || this->parent->hasRoom(kind));
}

OrderBudget::Place OrderBudget::take()
{
    ++this->usedCount;
    const Place parentPlace = this->parent ? this->parent->take() : nullptr;
    return Place(this, [self = this->shared_from_this(), parentPlace](const OrderBudget *) {
        --self->usedCount;
    });
}

std::size_t OrderBudget::limit() const
{
    return this->maxOrders;
}

std::size_t OrderBudget::used() const
{
    return this->usedCount;
}

}
