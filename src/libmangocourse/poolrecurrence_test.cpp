// Tests of the pool scheduler with jobs that have times, after a takeover.
#include "poolscheduler_test.h"

namespace MangoCourse {
namespace {

class PoolRecurrenceTest : public PoolSchedulerTest
{
protected:
    // Takes over a job whose only occurrence is due after the given time, by this owner's clock, and has no stored end yet.
    void takeOverJob(std::chrono::milliseconds dueIn)
    {
        this->scheduler = this->makeScheduler(2, 100'000, this->now);
        this->scheduler->setPreviousExecutors({{ExecutorKey{ExecutorId{"one"}, 100}, location("one")}});
        this->setDiscovered({executor("one"), executor("two")});
        AcceptedJob accepted = this->job("timed");
        accepted.spec.recurrence = Recurrence{1, this->wall + dueIn, 1s};
        const JobProgress storedProgress{accepted.id, accepted.queue, accepted.service, JobState::Running, true, {}, {}};
        this->add(accepted, &storedProgress);
    }

    const ItemId item{JobId{"timed"}, 0, 0, 0};
};

TEST_F(PoolRecurrenceTest, EndReportedBeforeTheFirstPlanCounts)
{
    this->takeOverJob(-1s);
    this->report("one", {}, {ReportedEnd{1, this->item, 7, RunEnd::Done, {}}});
    this->report("two");
    EXPECT_TRUE(this->plan().starts.empty());
}

TEST_F(PoolRecurrenceTest, RunReportedBeforeTheFirstPlanIsAdopted)
{
    this->takeOverJob(-1s);
    this->report("one", {ReportedRun{this->item, 7, {}, 100, 0}});
    this->report("two");
    const SchedulerOrders orders = this->plan();
    EXPECT_TRUE(orders.starts.empty());
    EXPECT_TRUE(orders.stops.empty());
}

TEST_F(PoolRecurrenceTest, EndCountsThatAnOwnerWithAFasterClockStarted)
{
    this->takeOverJob(1s);
    this->report("one", {}, {ReportedEnd{1, this->item, 7, RunEnd::Done, {}}});
    this->report("two");
    this->plan();
    this->advance(2s);
    EXPECT_TRUE(this->plan().starts.empty());
}

TEST_F(PoolRecurrenceTest, RunIsAdoptedThatAnOwnerWithAFasterClockStarted)
{
    this->takeOverJob(1s);
    this->report("one", {ReportedRun{this->item, 7, {}, 100, 0}});
    this->report("two");
    EXPECT_TRUE(this->plan().stops.empty());
    this->advance(1200ms);
    this->report("one", {ReportedRun{this->item, 7, {}, 100, 0}});
    EXPECT_TRUE(this->plan().starts.empty());
}

}
}
