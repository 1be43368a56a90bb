// Tests that accepted work does not wait although there is room for it.
#include "poolscheduler_test.h"

namespace MangoCourse {
namespace {

TEST_F(PoolSchedulerTest, JobThatArrivesBeforeItsQueuesConfigurationGetsThePassesOfItsQueue)
{
    QueueConfig guarded = this->config.queues.front();
    guarded.id = QueueId{"guarded"};
    guarded.policy.emplace();
    AcceptedJob early = this->job("a");
    early.queue = guarded.id;
    this->setDiscovered({executor("one")});
    this->report("one");
    this->add(early);
    this->config.queues.push_back(guarded);
    this->scheduler->setConfig(this->config);
    EXPECT_EQ(this->scheduler->takePolicyRequests(this->now).size(), 1U);
    EXPECT_TRUE(this->plan().starts.empty());
}

}
}
