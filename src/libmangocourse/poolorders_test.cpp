// Tests of the bound on orders under way. A plan of a pool without it places all work that fits, and each order takes memory until it is answered.
#include "poolscheduler_test.h"

namespace MangoCourse {
namespace {

class PoolOrdersTest : public PoolSchedulerTest
{
protected:
    static constexpr std::size_t maxOrders = 40;

    void SetUp() override
    {
        PoolSchedulerTest::SetUp();
        this->budget = *OrderBudget::create(maxOrders);
        this->scheduler->setOrderBudget(this->budget);
        this->setDiscovered({executor("one"), executor("two"), executor("three")});
        this->reportRunning();
    }
    void addItems(const std::string &name, int count, bool isGang = false)
    {
        StepSpec step;
        step.count = count;
        step.isGang = isGang;
        step.resources = Resources{100, 10, 0};
        step.estimate = 1000ms;
        this->add(this->job(name, step));
    }
    void reportRunning()
    {
        for (const char *name : {"one", "two", "three"}) {
            this->report(name, this->running[name]);
        }
    }
    // Plans until nothing is held back, answers all orders after each plan, and returns the most that were under way at once.
    std::size_t startAll()
    {
        std::size_t most = 0;
        do {
            SchedulerOrders planned = this->plan();
            most = std::max(most, this->budget->used());
            for (const StartOrder &order : planned.starts) {
                this->answer(order, OrderOutcome::Done);
                this->running[order.executor.id.value].push_back(ReportedRun{order.run.item, order.run.run, {}, 100, 0});
            }
            planned = SchedulerOrders{};
            this->advance(10ms);
            this->reportRunning();
        } while (this->scheduler->areOrdersHeld());
        return most;
    }
    std::size_t runs() const
    {
        return this->running.at("one").size() + this->running.at("two").size() + this->running.at("three").size();
    }

    std::shared_ptr<OrderBudget> budget;
    std::map<std::string, std::vector<ReportedRun>> running;
};

// Guards against an owner that exceeds its memory as soon as executors appear for a large backlog (review/14).
TEST_F(PoolOrdersTest, StartsUnderWayAreBoundedAndAllItemsStart)
{
    this->addItems("a", 400);
    this->addItems("b", 400);
    const std::size_t most = this->startAll();
    EXPECT_LE(most, maxOrders);
    EXPECT_GT(most, maxOrders / 2) << "the budget is used";
    EXPECT_EQ(this->runs(), 800U);
    EXPECT_EQ(this->budget->used(), 0U);
}

// Guards against orders that wait in front of the connections of one executor, while others are idle.
TEST_F(PoolOrdersTest, StartsUnderWayToOneExecutorAreBounded)
{
    this->scheduler = this->makeScheduler(1, 0, TimePoint{});
    this->setDiscovered({executor("one")});
    this->report("one");
    this->addItems("a", 400);
    const SchedulerOrders planned = this->plan();
    EXPECT_FALSE(planned.starts.empty());
    EXPECT_LE(planned.starts.size(), SchedulerSettings{}.maxOrdersPerExecutor);
    EXPECT_TRUE(this->scheduler->areOrdersHeld());
}

// Guards against stops without a bound when all jobs are cancelled at once, and against stops that wait behind starts.
TEST_F(PoolOrdersTest, StopsOfCancelledJobsAreBoundedAndGoFirst)
{
    this->addItems("a", 400);
    this->startAll();
    this->addItems("b", 400);
    const SchedulerOrders starts = this->plan();
    EXPECT_FALSE(starts.starts.empty());
    this->scheduler->cancelJob(JobId{"a"}, this->now, this->wall);
    std::set<ItemId> stopped;
    for (int plans = 0; plans < 400 && stopped.size() < 400; ++plans) {
        SchedulerOrders planned = this->plan();
        ASSERT_FALSE(planned.stops.empty()) << "starts take all places";
        EXPECT_LE(this->budget->used(), maxOrders);
        for (const StopOrder &stop : planned.stops) {
            stopped.insert(stop.run.item);
            this->scheduler->onStopped(
                ExecutorKey{stop.executor.id, stop.executor.incarnation}, stop.run, OrderReply{OrderOutcome::Done, std::nullopt}, this->now);
        }
        planned = SchedulerOrders{};
        this->advance(10ms);
    }
    EXPECT_EQ(stopped.size(), 400U);
}

// Guards against a gang that can never start because it has more members than orders may be under way.
TEST_F(PoolOrdersTest, MembersOfAGangStartTogetherWhateverTheirNumber)
{
    this->addItems("gang", 100, true);
    EXPECT_EQ(this->plan().starts.size(), 100U);
}

// Guards against work that waits for a place of its order and is logged as if nothing hindered it.
TEST_F(PoolOrdersTest, WorkThatWaitsForAPlaceIsNamed)
{
    this->addItems("a", 400);
    const SchedulerOrders underWay = this->plan();
    EXPECT_FALSE(underWay.starts.empty());
    this->scheduler->cancelJob(JobId{"a"}, this->now, this->wall);
    this->addItems("b", 1);
    this->plan();
    this->scheduler->reviewWaiting(this->now, this->wall);
    this->advance(1000ms);
    this->plan();
    const WaitingReview found = this->scheduler->reviewWaiting(this->now, this->wall);
    ASSERT_FALSE(found.items.empty());
    EXPECT_EQ(toString(found.items[0].reason), toString(WaitReason::OrdersHeld));
}

// Guards against a pool that gets no place because those of the process are taken by another pool, and that is not planned again.
TEST_F(PoolOrdersTest, HeldOrdersAreTriedAgainSoon)
{
    std::vector<OrderBudget::Place> ofOtherPool;
    while (this->budget->hasRoom(OrderKind::Other)) {
        ofOtherPool.push_back(this->budget->take());
    }
    this->addItems("a", 1);
    EXPECT_TRUE(this->plan().starts.empty());
    EXPECT_TRUE(this->scheduler->areOrdersHeld());
    EXPECT_LE(this->scheduler->nextWakeup(this->now, this->wall) - this->now, 20ms);
    ofOtherPool.clear();
    EXPECT_EQ(this->plan().starts.size(), 1U);
}

}
}
