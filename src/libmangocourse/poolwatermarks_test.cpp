// What the pool scheduler starts while it knows what others have stored only up to some time ago.
#include "poolscheduler_test.h"

namespace MangoCourse {
namespace {

// With the default bounds: 3 s for cancellations, 2 s for draining, each less the half second that an order may take.
constexpr std::chrono::milliseconds oldestRequests{2500};
constexpr std::chrono::milliseconds oldestExecutors{1500};

TEST_F(PoolSchedulerTest, NothingStartsWhileAnOlderCancellationMayBeUnknown)
{
    this->list({executor("one")});
    this->report("one");
    this->add(this->job("a"));
    this->requestWatermark = this->now - oldestRequests - 1ms;
    EXPECT_TRUE(this->plan().starts.empty());
    this->requestWatermark = this->now - oldestRequests;
    EXPECT_EQ(this->plan().starts.size(), 1U);
}

TEST_F(PoolSchedulerTest, NothingStartsWhileAnExecutorMayHaveReportedLongAgoThatItDrains)
{
    this->list({executor("one")});
    this->report("one");
    this->add(this->job("a"));
    this->executorWatermark = this->now - oldestExecutors - 1ms;
    EXPECT_TRUE(this->plan().starts.empty());
    this->executorWatermark = this->now - oldestExecutors;
    EXPECT_EQ(this->plan().starts.size(), 1U);
}

TEST_F(PoolSchedulerTest, AnOrderThatWaitedUntilItsJobWasCancelledIsNotSent)
{
    this->list({executor("one")});
    this->report("one");
    this->add(this->job("a"));
    const SchedulerOrders orders = this->plan();
    ASSERT_EQ(orders.starts.size(), 1U);
    EXPECT_TRUE(this->scheduler->confirmStart(orders.starts[0], this->view(), this->now));
    this->scheduler->cancelJob(JobId{"a"}, this->now, this->wall);
    EXPECT_FALSE(this->scheduler->confirmStart(orders.starts[0], this->view(), this->now));
    EXPECT_EQ(this->scheduler->summary().runs, 0U);
    EXPECT_TRUE(this->plan().stops.empty());
}

TEST_F(PoolSchedulerTest, AnOrderThatWaitedUntilItsExecutorDrainedIsNotSent)
{
    this->list({executor("one")});
    this->report("one");
    this->add(this->job("a"));
    const SchedulerOrders orders = this->plan();
    ASSERT_EQ(orders.starts.size(), 1U);
    ExecutorInfo leaving = executor("one");
    leaving.isDraining = true;
    this->list({leaving});
    EXPECT_FALSE(this->scheduler->confirmStart(orders.starts[0], this->view(), this->now));
    EXPECT_EQ(this->scheduler->summary().runs, 0U);
}

TEST_F(PoolSchedulerTest, AnOrderThatWaitedUntilTheViewWasOldIsPlacedAnew)
{
    this->list({executor("one")});
    this->report("one");
    this->add(this->job("a"));
    const SchedulerOrders orders = this->plan();
    ASSERT_EQ(orders.starts.size(), 1U);
    this->requestWatermark = this->now;
    this->advance(oldestRequests + 1ms);
    EXPECT_FALSE(this->scheduler->confirmStart(orders.starts[0], this->view(), this->now));
    EXPECT_TRUE(this->plan().starts.empty());
    this->requestWatermark = this->now;
    const SchedulerOrders again = this->plan();
    ASSERT_EQ(again.starts.size(), 1U);
    EXPECT_GT(again.starts[0].run.run, orders.starts[0].run.run);
}

TEST_F(PoolSchedulerTest, AMemberOfAGangThatIsOnItsWayFollowsTheOthers)
{
    this->list({executor("one"), executor("two")});
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
    this->advance(oldestRequests + 1ms);
    EXPECT_TRUE(this->scheduler->confirmStart(orders.starts[1], this->view(), this->now));
    this->scheduler->cancelJob(JobId{"a"}, this->now, this->wall);
    EXPECT_FALSE(this->scheduler->confirmStart(orders.starts[1], this->view(), this->now));
}

TEST_F(PoolSchedulerTest, HeldStartsAreToldOnceAndSoIsThatTheyGoOn)
{
    std::vector<std::string> events;
    this->scheduler->setObserver([&events](const SchedulerEvent &event) {
        events.emplace_back(event.event);
    });
    this->list({executor("one")});
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
