// Tests of the bound on orders under way.
#include <mangocourse/orderbudget.h>

#include <gtest/gtest.h>

#include <vector>

namespace MangoCourse {
namespace {

TEST(OrderBudget, LimitMustBePositive)
{
    const auto budget = OrderBudget::create(0);
    ASSERT_FALSE(budget);
    EXPECT_EQ(budget.error().code, ErrorCode::InvalidArgument);
}

// Guards against stops of cancelled work that wait behind starts.
TEST(OrderBudget, StartsLeavePlacesForOtherOrders)
{
    const std::shared_ptr<OrderBudget> budget = *OrderBudget::create(8);
    std::vector<OrderBudget::Place> places;
    while (budget->hasRoom(OrderKind::Start)) {
        places.push_back(budget->take());
    }
    EXPECT_EQ(budget->used(), 6U);
    while (budget->hasRoom(OrderKind::Other)) {
        places.push_back(budget->take());
    }
    EXPECT_EQ(budget->used(), 8U);
    places.clear();
    EXPECT_EQ(budget->used(), 0U);
}

// Guards against one executor, or one pool, that takes more than the process may have under way.
TEST(OrderBudget, PlacesCountAgainstTheParent)
{
    const std::shared_ptr<OrderBudget> process = *OrderBudget::create(3);
    const std::shared_ptr<OrderBudget> one = *OrderBudget::create(8, process);
    const std::shared_ptr<OrderBudget> two = *OrderBudget::create(8, process);
    OrderBudget::Place first = one->take();
    const OrderBudget::Place copy = first;
    const OrderBudget::Place second = two->take();
    EXPECT_EQ(process->used(), 2U);
    const OrderBudget::Place third = one->take();
    EXPECT_FALSE(two->hasRoom(OrderKind::Other)) << "the process has no place left";
    first.reset();
    EXPECT_EQ(process->used(), 3U) << "a copy holds the place";
}

// Guards against a place that is given back to an object which is gone.
TEST(OrderBudget, PlaceOutlivesTheBudget)
{
    const std::shared_ptr<OrderBudget> process = *OrderBudget::create(3);
    OrderBudget::Place place = (*OrderBudget::create(1, process))->take();
    EXPECT_EQ(process->used(), 1U);
    place.reset();
    EXPECT_EQ(process->used(), 0U);
}

}
}
