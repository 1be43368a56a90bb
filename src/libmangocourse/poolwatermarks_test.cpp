// Tests of the pool scheduler with watermarks that lag behind the current time.
#include "poolscheduler_test.h"

namespace MangoCourse {
namespace {

// The default propagation limits of 3 s for cancellations and 2 s for draining, less half a second for the delivery of an order.
constexpr std::chrono::milliseconds maxRequestAge{2500};
constexpr std::chrono::milliseconds maxExecutorAge{1500};

TEST_F(PoolSchedulerTest, NothingStartsWhileTheRequestWatermarkIsTooOld)
{
    this->setDiscovered({executor("one")});
    this->report("one");
    this->add(this->job("a"));
    this->requestWatermark = this->now - maxRequestAge - 1ms;
    EXPECT_TRUE(this->plan().starts.empty());
    this->requestWatermark = this->now - maxRequestAge;
    EXPECT_EQ(this->plan().starts.size(), 1U);
}

TEST_F(PoolSchedulerTest, NothingStartsWhileTheExecutorWatermarkIsTooOld)
{
    this->setDiscovered({executor("one")});
    this->report("one");
    this->add(this->job("a"));
    this->executorWatermark = this->now - maxExecutorAge - 1ms;
    EXPECT_TRUE(this->plan().starts.empty());
    this->executorWatermark = this->now - maxExecutorAge;
    EXPECT_EQ(this->plan().starts.size(), 1U);
}

TEST_F(PoolSchedulerTest, QueuedStartOfACancelledJobIsNotSent)
{
    this->setDiscovered({executor("one")});
    this->report("one");
    this->add(this->job("a"));
    const SchedulerOrders orders = this->plan();
    ASSERT_EQ(orders.starts.size(), 1U);
    EXPECT_TRUE(this->scheduler->confirmStart(orders.starts[0], this->watermarks(), this->now));
    this->scheduler->cancelJob(JobId{"a"}, this->now, this->wall);
    EXPECT_FALSE(this->scheduler->confirmStart(orders.starts[0], this->watermarks(), this->now));
    EXPECT_EQ(this->scheduler->summary().runs, 0U);
    EXPECT_TRUE(this->plan().stops.empty());
}

TEST_F(PoolSchedulerTest, QueuedStartOnADrainingExecutorIsNotSent)
{
    this->setDiscovered({executor("one")});
    this->report("one");
    this->add(this->job("a"));
    const SchedulerOrders orders = this->plan();
    ASSERT_EQ(orders.starts.size(), 1U);
    ExecutorInfo leaving = executor("one");
    leaving.isDraining = true;
    this->setDiscovered({leaving});
    EXPECT_FALSE(this->scheduler->confirmStart(orders.starts[0], this->watermarks(), this->now));
    EXPECT_EQ(this->scheduler->summary().runs, 0U);
}

TEST_F(PoolSchedulerTest, QueuedStartIsPlacedAgainOnceTheWatermarksAreTooOld)
{
    this->setDiscovered({executor("one")});
    this->report("one");
    this->add(this->job("a"));
    const SchedulerOrders orders = this->plan();
    ASSERT_EQ(orders.starts.size(), 1U);
    this->requestWatermark = this->now;
    this->advance(maxRequestAge + 1ms);
    EXPECT_FALSE(this->scheduler->confirmStart(orders.starts[0], this->watermarks(), this->now));
    EXPECT_TRUE(this->plan().starts.empty());
    this->requestWatermark = this->now;
    const SchedulerOrders again = this->plan();
    ASSERT_EQ(again.starts.size(), 1U);
    EXPECT_GT(again.starts[0].run.run, orders.starts[0].run.run);
}

TEST_F(PoolSchedulerTest, QueuedStartOfAGangMemberIsSentDespiteOldWatermarks)
{
    this->setDiscovered({executor("one"), executor("two")});
    this->report("one");
    this->report("two");
    StepSpec step;
    step.count = 2;
    step.isGang = true;
    step.resources = Resources{60000, gigabyte, 0};
    step.estimate = 1000ms;
    this->add(this->job("a", step));
    const SchedulerOrders orders = this->plan();
    ASSERT_EQ(orders.starts.size(), 2U);
    this->requestWatermark = this->now;
    this->advance(maxRequestAge + 1ms);
    EXPECT_TRUE(this->scheduler->confirmStart(orders.starts[1], this->watermarks(), this->now));
    this->scheduler->cancelJob(JobId{"a"}, this->now, this->wall);
    EXPECT_FALSE(this->scheduler->confirmStart(orders.starts[1], this->watermarks(), this->now));
}

TEST_F(PoolSchedulerTest, HeldAndResumedStartsAreReportedOnce)
{
    std::vector<std::string> events;
    this->scheduler->setObserver([&events](const SchedulerEvent &event) {
        events.emplace_back(event.event);
    });
    this->setDiscovered({executor("one")});
    this->report("one");
    this->add(this->job("a"));
    this->requestWatermark = this->now - 10s;
    this->plan();
    this->plan();
    EXPECT_EQ(events, std::vector<std::string>{"starts_held"});
    this->requestWatermark.reset();
    this->plan();
    EXPECT_EQ(std::count(events.begin(), events.end(), "starts_held"), 1);
    EXPECT_EQ(std::count(events.begin(), events.end(), "starts_resumed"), 1);
}

}
}
