// Tests of single decisions on the admission of jobs, and of the learned run times behind them.
#include <mangocourse/admission.h>

#include <mangocourse/limits.h>

#include <gtest/gtest.h>

namespace MangoCourse {
namespace {

using namespace std::chrono_literals;

class AdmissionTest : public testing::Test
{
protected:
    void SetUp() override
    {
        this->load.service = ServiceId{"desk"};
        this->load.token = 3;
        this->load.number = 1;
        this->load.isQueueing = true;
        this->load.queueingFor = 500ms;
        this->load.capacity = Resources{100'000, 400'000, 0};
        // 10 s of work.
        this->load.workAhead[1] = 850'000;
        this->demand.id = JobId{"00000000000000aa"};
        this->demand.queue = QueueId{"counter"};
        this->demand.service = ServiceId{"desk"};
        this->demand.priority = 1;
        this->demand.work = WorkAmount{4000, 1000};
        this->demand.firstSteps = Resources{4000, 1000, 0};
        this->demand.chain = 1s;
        this->demand.objective = 2s;
    }

    AdmissionDecision decide()
    {
        return this->control.decide(this->demand, this->now);
    }

    PoolLoad load;
    JobDemand demand;
    AdmissionControl control;
    TimePoint now{100s};
};

// Guards against refusals that nothing supports: without a current view nobody knows whether the pool queues.
TEST_F(AdmissionTest, SubmissionsAreAcceptedWithoutACurrentView)
{
    EXPECT_EQ(this->decide().reason, AdmissionReason::NoView);
    this->control.setCurrentAsOf(this->now);
    EXPECT_EQ(this->decide().reason, AdmissionReason::NoQueueing);
    this->control.setLoad(this->load, this->now);
    EXPECT_EQ(this->decide().reason, AdmissionReason::Late);
    this->now += maxLoadAge;
    EXPECT_FALSE(this->decide().isAdmitted);
    this->now += 1ms;
    EXPECT_EQ(this->decide().reason, AdmissionReason::OldView);
    EXPECT_TRUE(this->decide().isAdmitted);
}

// Guards against a cut-off owner whose late records would replace those of its successor.
TEST_F(AdmissionTest, LoadOfAnEarlierOwnerIsIgnored)
{
    this->control.setCurrentAsOf(this->now);
    this->control.setLoad(this->load, this->now);
    PoolLoad other = this->load;
    other.isQueueing = false;
    other.token = 2;
    other.number = 99;
    this->control.setLoad(other, this->now);
    EXPECT_FALSE(this->decide().isAdmitted);
    other.token = 4;
    other.number = 1;
    this->control.setLoad(other, this->now);
    EXPECT_EQ(this->decide().reason, AdmissionReason::NoQueueing);
    this->control.setLoad(this->load, this->now);
    EXPECT_TRUE(this->decide().isAdmitted);
}

// Guards against the refusal of jobs that the pool can serve, or must take.
TEST_F(AdmissionTest, JobsWithRoomOrMorePriorityOrWithoutAnEndAreAdmitted)
{
    this->control.setLoad(this->load, this->now);
    EXPECT_FALSE(this->decide().isAdmitted);
    this->demand.priority = 0;
    EXPECT_EQ(this->decide().reason, AdmissionReason::InTime);
    this->demand.priority = 1;
    this->demand.isExempt = true;
    EXPECT_EQ(this->decide().reason, AdmissionReason::Exempt);
    this->demand.isExempt = false;
    // The load that follows contains the job that was admitted.
    this->now += 100ms;
    ++this->load.number;
    this->load.free = Resources{5000, 5000, 0};
    this->control.setLoad(this->load, this->now);
    EXPECT_EQ(this->decide().reason, AdmissionReason::Room);
    this->demand.firstSteps = Resources{4000, 1000, 0};
    EXPECT_EQ(this->decide().reason, AdmissionReason::Late) << "the first job has taken the room";
    ++this->load.number;
    this->load.queueingFor = 50ms;
    this->control.setLoad(this->load, this->now);
    EXPECT_EQ(this->decide().reason, AdmissionReason::JustBegun);
}

// Guards against an overshoot between two views.
TEST_F(AdmissionTest, AdmittedJobsCountUntilTheNextView)
{
    this->load.workAhead[1] = 0;
    this->control.setLoad(this->load, this->now);
    int admitted = 0;
    while (admitted < 1000 && this->decide().isAdmitted) {
        ++admitted;
    }
    // The pool does 85 core-ms of work per ms, so 2 s hold 42 jobs.
    EXPECT_EQ(admitted, 42);
    ++this->load.number;
    this->control.setLoad(this->load, this->now + 300ms);
    this->now += 300ms;
    EXPECT_TRUE(this->decide().isAdmitted);
}

// Guards against accounts that crowd out the others: their jobs run behind all work, also that of lower priority.
TEST_F(AdmissionTest, AccountsBeyondTheirRateAreRefusedFirst)
{
    this->load.workAhead = {{1, 0}, {5, 850'000}};
    this->load.accountsBeyondRate = {AccountId{"greedy"}};
    this->control.setLoad(this->load, this->now);
    EXPECT_TRUE(this->decide().isAdmitted);
    this->demand.account = AccountId{"greedy"};
    EXPECT_EQ(this->decide().reason, AdmissionReason::BeyondRate);
}

// Guards against pools that are full by memory while half of their CPU is free.
TEST_F(AdmissionTest, WorkIsCountedByTheScarceResource)
{
    this->load.workAhead[1] = 0;
    this->load.isMemoryScarce = true;
    this->demand.work = WorkAmount{4000, 800'000};
    this->control.setLoad(this->load, this->now);
    // 800,000 MB x s of 400,000 MB take 2 s, and more with the gaps.
    EXPECT_EQ(this->decide().expectedEnd.count(), 2352);
    EXPECT_FALSE(this->decide().isAdmitted);
}

// Guards against callers that return at the same time, or that never return.
TEST_F(AdmissionTest, RetryDelaysAreWholeSecondsSpreadByJob)
{
    // The excess is small, and callers that come back within 3 s can still be in time.
    this->load.workAhead[1] = 510'000;
    this->demand.objective = 6s;
    this->control.setLoad(this->load, this->now);
    std::map<std::int64_t, int> delays;
    for (int number = 0; number < 300; ++number) {
        this->demand.id = JobId{"job-" + std::to_string(number)};
        const AdmissionDecision first = this->decide();
        EXPECT_EQ(first.retryAfter, this->decide().retryAfter);
        ++delays[first.retryAfter.count()];
    }
    ASSERT_EQ(delays.size(), 3U);
    for (const std::int64_t seconds : {1000, 2000, 3000}) {
        EXPECT_GT(delays[seconds], 60) << seconds;
    }
    this->load.workAhead[1] = maxReportedWork;
    ++this->load.number;
    this->control.setLoad(this->load, this->now);
    EXPECT_EQ(this->decide().retryAfter, 10s);
}

TEST(RunTimeEstimates, LearnMeanAndQuantilesOfEachShape)
{
    RunTimeEstimates estimates;
    const QueueId queue{"counter"};
    StepSpec small;
    small.estimate = 100ms;
    StepSpec large = small;
    large.image = "other";
    EXPECT_EQ(estimates.expected(queue, small), 100ms);
    EXPECT_FALSE(estimates.quantile(queue, small, 0.5));
    for (int run = 1; run <= 1000; ++run) {
        estimates.add(queue, small, std::chrono::milliseconds(100 + run % 200));
        estimates.add(queue, large, 400ms);
    }
    EXPECT_NEAR(static_cast<double>(estimates.expected(queue, small).count()), 200, 60);
    EXPECT_NEAR(static_cast<double>(estimates.expected(queue, large).count()), 400, 5);
    EXPECT_NEAR(static_cast<double>(estimates.quantile(queue, small, 0.5)->count()), 200, 20);
    EXPECT_NEAR(static_cast<double>(estimates.quantile(queue, small, 0.95)->count()), 290, 30);
    // A successor goes on with what is published, until it has learned itself.
    RunTimeEstimates successor;
    successor.seed(estimates.ratios());
    EXPECT_EQ(successor.ratios(), estimates.ratios());
    EXPECT_NEAR(successor.queueRatio(queue), 3.0, 0.5);
    for (int run = 0; run < 200; ++run) {
        successor.add(queue, small, 100ms);
    }
    EXPECT_NEAR(successor.queueRatio(queue), 1.0, 0.1);
}

}
}
