// Tests of the pool scheduler with jobs that have times, after a takeover.
#include "poolscheduler_test.h"

namespace MangoCourse {
namespace {

class PoolRecurrenceTest : public PoolSchedulerTest
{
protected:
    // Takes over a job whose only occurrence was due a second ago and has no stored end yet.
    void takeOverDueJob()
    {
        this->scheduler = this->makeScheduler(2, 100'000, this->now);
        this->scheduler->setPreviousExecutors({{ExecutorKey{ExecutorId{"one"}, 100}, location("one")}});
        this->setDiscovered({executor("one"), executor("two")});
        AcceptedJob accepted = this->job("timed");
        accepted.spec.recurrence = Recurrence{1, this->wall - 1s, 1s};
        const JobProgress storedProgress{accepted.id, accepted.queue, accepted.service, JobState::Running, true, {}, {}};
        this->add(accepted, &storedProgress);
    }

    const ItemId item{JobId{"timed"}, 0, 0, 0};
};

TEST_F(PoolRecurrenceTest, EndReportedBeforeTheFirstPlanCounts)
{
    this->takeOverDueJob();
    this->report("one", {}, {ReportedEnd{1, this->item, 7, RunEnd::Done, {}}});
    this->report("two");
    EXPECT_TRUE(this->plan().starts.empty());
}

TEST_F(PoolRecurrenceTest, RunReportedBeforeTheFirstPlanIsAdopted)
{
    this->takeOverDueJob();
    this->report("one", {ReportedRun{this->item, 7, {}, 100, 0}});
    this->report("two");
    const SchedulerOrders orders = this->plan();
    EXPECT_TRUE(orders.starts.empty());
    EXPECT_TRUE(orders.stops.empty());
}

}
}
