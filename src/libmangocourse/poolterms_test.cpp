// Tests that what a job was accepted under outlasts its queue: attempts, priority, objective and placement policy.
#include "poolscheduler_test.h"

namespace MangoCourse {
namespace {

class PoolTermsTest : public PoolSchedulerTest
{
protected:
    // Makes a new owner that knows another configuration, in which the job's queue is missing or changed.
    void takeOver(const FleetConfig &known)
    {
        this->config = known;
        this->scheduler = this->makeScheduler(2, 100'000, this->now);
        this->setDiscovered({executor("one")});
        this->report("one");
    }
    FleetConfig withoutQueue() const
    {
        FleetConfig changed = this->config;
        changed.queues.front().id = QueueId{"counter-2"};
        return changed;
    }
    AcceptedJob jobWithTerms(const std::string &name, const JobTerms &terms) const
    {
        AcceptedJob accepted = this->job(name);
        accepted.terms = terms;
        return accepted;
    }
    JobState stateOf(const std::string &name)
    {
        for (JobProgress &progress : this->scheduler->takeChangedJobs()) {
            this->savedProgress[progress.id] = std::move(progress);
        }
        this->scheduler->markPersisted();
        return this->savedProgress.at(JobId{name}).state;
    }
    // Lets the only run that is planned now fail.
    void failOnce(std::int64_t number)
    {
        const SchedulerOrders orders = this->planAndConfirm();
        ASSERT_EQ(orders.starts.size(), 1U) << number;
        this->report("one", {}, {ReportedEnd{number, orders.starts[0].run.item, orders.starts[0].run.run, RunEnd::Failed, {}}});
    }
};

TEST_F(PoolTermsTest, FailedRunOfAJobWhoseQueueIsGoneIsRepeatedAsOftenAsItWasAccepted)
{
    this->takeOver(this->withoutQueue());
    this->add(this->jobWithTerms("a", JobTerms{0, 3}));
    this->failOnce(1);
    EXPECT_EQ(this->stateOf("a"), JobState::Running);
    this->advance(1s);
    this->failOnce(2);
    EXPECT_EQ(this->stateOf("a"), JobState::Running);
    this->advance(1s);
    this->failOnce(3);
    EXPECT_EQ(this->stateOf("a"), JobState::Failed);
}

TEST_F(PoolTermsTest, ChangedQueueLeavesTheTermsOfItsJobs)
{
    FleetConfig changed = this->config;
    changed.queues.front().attempts = 1;
    this->takeOver(changed);
    this->add(this->jobWithTerms("a", JobTerms{0, 2}));
    this->failOnce(1);
    EXPECT_EQ(this->stateOf("a"), JobState::Running);
}

TEST_F(PoolTermsTest, JobWhoseQueueIsGoneStillNeedsPasses)
{
    this->takeOver(this->withoutQueue());
    JobTerms terms;
    terms.hasPolicy = true;
    this->add(this->jobWithTerms("a", terms));
    EXPECT_TRUE(this->plan().starts.empty());
    EXPECT_EQ(takePolicyRequests(*this->scheduler, this->now).size(), 1U);
}

TEST_F(PoolTermsTest, UrgentJobWhoseQueueIsGoneGoesFirst)
{
    this->takeOver(this->withoutQueue());
    StepSpec step;
    step.resources = Resources{64000, gigabyte, 0};
    step.estimate = 1000ms;
    for (const auto &[name, priority] : {std::pair("a", 5), std::pair("b", 1)}) {
        AcceptedJob accepted = this->job(name, step);
        accepted.terms = JobTerms{priority, 1, 1.6, 600ms, false};
        this->add(accepted);
    }
    const SchedulerOrders orders = this->plan();
    ASSERT_EQ(orders.starts.size(), 1U);
    EXPECT_EQ(orders.starts[0].run.item.job, JobId{"b"});
}

// Submissions of earlier versions have no terms, so the owner that still knows the queue keeps them with the progress.
TEST_F(PoolTermsTest, TermsOfAnEarlierVersionsJobAreKeptWithItsProgress)
{
    this->setDiscovered({executor("one")});
    this->report("one");
    this->add(this->job("a"));
    this->plan();
    const JobProgress saved = this->savedProgress.at(JobId{"a"});
    ASSERT_TRUE(saved.terms);
    EXPECT_EQ(saved.terms->attempts, 2);
    this->takeOver(this->withoutQueue());
    this->add(this->job("a"), &saved);
    this->failOnce(1);
    EXPECT_EQ(this->stateOf("a"), JobState::Running);
}

// Guards against states without the terms, which the previous version cannot read beside an account, and against states that lose the account with the
// deletion of the submission.
TEST_F(PoolTermsTest, StatesOfAnAccountsJobHaveTheAccountAndTheTermsToTheEnd)
{
    this->setDiscovered({executor("one")});
    this->report("one");
    AcceptedJob accepted = this->jobWithTerms("a", JobTerms{0, 1});
    accepted.account = AccountId{"north"};
    this->add(accepted);
    this->failOnce(1);
    EXPECT_EQ(this->stateOf("a"), JobState::Failed);
    const JobProgress final = this->savedProgress.at(JobId{"a"});
    EXPECT_EQ(final.account, accepted.account);
    EXPECT_EQ(final.terms, accepted.terms);
    // A submission that the previous version has moved lacks the account.
    JobProgress open = final;
    open.state = JobState::Running;
    this->takeOver(this->config);
    this->add(this->jobWithTerms("a", JobTerms{0, 2}), &open);
    this->stateOf("a");
    this->failOnce(2);
    this->stateOf("a");
    EXPECT_EQ(this->savedProgress.at(JobId{"a"}).account, accepted.account);
}

}
}
