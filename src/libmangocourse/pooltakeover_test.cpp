// The pool scheduler after a change of its owner, and what is left of lives that are over.
#include "poolscheduler_test.h"

namespace MangoCourse {
namespace {

TEST_F(PoolSchedulerTest, AdoptedRunsAreNotTakenAsLapsed)
{
    this->scheduler = this->makeScheduler(2, 100'000, this->now + 6s);
    this->list({executor("one"), executor("two")});
    this->scheduler->setPreviousExecutors({{ExecutorKey{ExecutorId{"one"}, 100}, place("one")}});
    this->addBegun("a");
    this->report("two");
    this->report("one", {ReportedRun{ItemId{JobId{"a"}, 0, 0, 0}, 7, {}, 100, 0}});
    EXPECT_TRUE(this->plan().starts.empty());
    this->advance(2s);
    EXPECT_TRUE(this->plan().starts.empty());
}

TEST_F(PoolSchedulerTest, AnEarlierOwnersWorkOnASilentExecutorIsWaitedOut)
{
    this->scheduler = this->makeScheduler(2, 100'000, this->now + 6s);
    this->scheduler->setPreviousExecutors({{ExecutorKey{ExecutorId{"one"}, 100}, place("one")}});
    this->list({executor("one"), executor("two")});
    this->report("two");
    this->addBegun("a");
    EXPECT_TRUE(this->plan().starts.empty());
    // The silent executor's call times out.
    this->scheduler->onReport(ExecutorKey{ExecutorId{"one"}, 100}, ExecutorReport{}, this->now, this->now, this->wall);
    EXPECT_TRUE(this->plan().starts.empty());
    this->advance(5s);
    EXPECT_TRUE(this->plan().starts.empty());
    this->advance(1100ms);
    const SchedulerOrders orders = this->plan();
    ASSERT_EQ(orders.starts.size(), 1U);
    EXPECT_EQ(orders.starts[0].run.run, 100'001);
}

TEST_F(PoolSchedulerTest, ExecutorsOfAnotherPoolAreNeitherWaitedForNorForgotten)
{
    this->scheduler = this->makeScheduler(2, 100'000, this->now + 6s);
    ExecutorInfo other = executor("other");
    other.service = ServiceId{"shop"};
    this->scheduler->setPreviousExecutors({
        {ExecutorKey{ExecutorId{"one"}, 100}, place("one")},
        {ExecutorKey{ExecutorId{"other"}, 100}, ExecutorLocation{MachineId{"machine-other"}, ServiceId{"shop"}}},
    });
    this->list({executor("one"), other});
    this->report("one");
    this->addBegun("a");
    EXPECT_EQ(this->plan().starts.size(), 1U);
    this->advance(7s);
    this->list({executor("one"), other});
    EXPECT_TRUE(this->scheduler->takeEndedExecutors().empty());
}

TEST_F(PoolSchedulerTest, SpeculativeItemsOfAnEarlierOwnerAreNotWaitedFor)
{
    this->scheduler = this->makeScheduler(2, 100'000, this->now + 6s);
    this->scheduler->setPreviousExecutors({{ExecutorKey{ExecutorId{"one"}, 100}, place("one")}});
    this->list({executor("one"), executor("two")});
    this->report("two");
    StepSpec step;
    step.resources = Resources{4000, gigabyte, 0};
    step.estimate = 1000ms;
    step.isSpeculative = true;
    const JobProgress begun{JobId{"twice"}, QueueId{"counter"}, ServiceId{"desk"}, JobState::Running, true, {}, {}};
    this->add(this->job("twice", step), &begun);
    this->addBegun("plain");
    const SchedulerOrders orders = this->plan();
    ASSERT_EQ(orders.starts.size(), 1U);
    EXPECT_EQ(orders.starts[0].run.item.job, JobId{"twice"});
}

TEST_F(PoolSchedulerTest, JobsThatNobodyBeganNeedNotWaitForAnEarlierOwnersWork)
{
    this->scheduler = this->makeScheduler(2, 100'000, this->now + 6s);
    this->scheduler->setPreviousExecutors({{ExecutorKey{ExecutorId{"one"}, 100}, place("one")}});
    this->list({executor("one"), executor("two")});
    this->report("two");
    const JobProgress begun{JobId{"a"}, QueueId{"counter"}, ServiceId{"desk"}, JobState::Running, true, {}, {}};
    this->add(this->job("a"), &begun);
    this->add(this->job("b"));
    const SchedulerOrders orders = this->plan();
    ASSERT_EQ(orders.starts.size(), 1U);
    EXPECT_EQ(orders.starts[0].run.item.job.value, "b");
}

TEST_F(PoolSchedulerTest, LeaseCountsAsOverOnlyOnceTheOwnershipIsConfirmedAfterIt)
{
    this->list({executor("one")});
    this->report("one");
    this->add(this->job("a"));
    ASSERT_EQ(this->planAndConfirm().starts.size(), 1U);
    this->list({executor("one"), executor("two")});
    this->report("two");
    this->confirmedAt = this->now + 1s;
    this->advance(4500ms);
    EXPECT_TRUE(this->plan().starts.empty());
    this->confirmedAt = this->now;
    EXPECT_EQ(this->plan().starts.size(), 1U);
}

TEST_F(PoolSchedulerTest, RunsOfEndedJobsAreStoppedWhereverTheyAreFound)
{
    const JobProgress ended{JobId{"a"}, QueueId{"counter"}, ServiceId{"desk"}, JobState::Cancelled, true, this->wall, {}};
    this->add(this->job("a"), &ended);
    this->list({executor("one")});
    this->report("one", {ReportedRun{ItemId{JobId{"a"}, 0, 0, 0}, 3, {}, 100, 0}, ReportedRun{ItemId{JobId{"unknown"}, 0, 0, 0}, 1, {}, 100, 0}});
    const SchedulerOrders orders = this->plan();
    ASSERT_EQ(orders.stops.size(), 2U);
    EXPECT_EQ(orders.stops[0].run.run, 3);
    EXPECT_TRUE(this->renewal("one"));
    this->report("one");
    EXPECT_TRUE(this->plan().stops.empty());
}

TEST_F(PoolSchedulerTest, SilentExecutorsOfAnEarlierOwnerAreForgottenOnlyOnceTheyAreClear)
{
    this->scheduler = this->makeScheduler(2, 100'000, this->now + 6s);
    this->scheduler->setPreviousExecutors({{ExecutorKey{ExecutorId{"one"}, 100}, place("one")}});
    this->list({executor("one"), executor("two")});
    this->report("two");
    this->advance(3s);
    this->list({executor("two")});
    EXPECT_TRUE(this->scheduler->takeEndedExecutors().empty());
    this->addBegun("a");
    EXPECT_TRUE(this->plan().starts.empty());
    this->advance(3100ms);
    this->list({executor("two")});
    EXPECT_EQ(this->scheduler->takeEndedExecutors().size(), 1U);
}

TEST_F(PoolSchedulerTest, AnEarlierLifeOfAMachineThatStartedAnewNeedNotBeWaitedFor)
{
    this->scheduler = this->makeScheduler(2, 100'000, this->now + 6s);
    this->scheduler->setPreviousExecutors({{ExecutorKey{ExecutorId{"old"}, 100}, place("one")}});
    this->list({executor("one", 200), executor("two")});
    this->report("two");
    this->report("one", {}, {}, 200);
    this->addBegun("a");
    EXPECT_EQ(this->plan().starts.size(), 1U);
}

TEST_F(PoolSchedulerTest, ALifeThatAnOrderEndedNeedNotBeWaitedFor)
{
    this->scheduler = this->makeScheduler(2, 100'000, this->now + 6s);
    this->scheduler->setPreviousExecutors({{ExecutorKey{ExecutorId{"one"}, 100}, place("one")}});
    this->scheduler->setEvacuations(EvacuationList{1, {}, {{ExecutorId{"one"}, 100}}}, this->now);
    this->list({executor("one"), executor("two")});
    this->report("two");
    this->addBegun("a");
    const SchedulerOrders orders = this->plan();
    ASSERT_EQ(orders.starts.size(), 1U);
    EXPECT_EQ(orders.starts[0].executor.id.value, "two");
}

TEST_F(PoolSchedulerTest, AFailureThatIsListedAgainToTheNextOwnerCountsOnce)
{
    this->list({executor("one"), executor("two")});
    this->report("one");
    this->report("two");
    this->add(this->job("a"));
    const SchedulerOrders first = this->planAndConfirm();
    const std::string name = first.starts[0].executor.id.value;
    const ReportedEnd failure{1, first.starts[0].run.item, 1, RunEnd::Failed, {}};
    this->report(name, {}, {failure});
    const JobProgress saved = this->scheduler->takeChangedJobs().back();
    this->scheduler = this->makeScheduler(2, 100'000, this->now);
    this->add(this->job("a"), &saved);
    this->list({executor("one"), executor("two")});
    this->report("one", {}, name == "one" ? std::vector{failure} : std::vector<ReportedEnd>{});
    this->report("two", {}, name == "two" ? std::vector{failure} : std::vector<ReportedEnd>{});
    EXPECT_EQ(this->plan().starts.size(), 1U);
}

TEST_F(PoolSchedulerTest, AnExecutorThatReturnsBeforeItsRecordIsDeletedKeepsIt)
{
    this->list({executor("one"), executor("two")});
    this->report("one");
    this->advance(1s);
    this->list({executor("two")});
    this->list({executor("one"), executor("two")});
    EXPECT_TRUE(this->scheduler->takeEndedExecutors().empty());
}

TEST_F(PoolSchedulerTest, WorkOfALifeThatIsOverRestartsOnlyOnceTheOwnershipIsConfirmedAfterIt)
{
    this->list({executor("one"), executor("two")});
    this->report("one");
    this->report("two");
    this->add(this->job("a"));
    const SchedulerOrders first = this->planAndConfirm();
    ASSERT_EQ(first.starts.size(), 1U);
    const std::string holder = first.starts[0].executor.id.value;
    const std::string other = holder == "one" ? "two" : "one";
    // A successor may have acknowledged the end of the run before the machine started anew.
    this->confirmedAt = this->now;
    this->advance(2s);
    this->list({executor(holder, 200), executor(other)});
    EXPECT_TRUE(this->plan().starts.empty());
    this->confirmedAt = this->now;
    EXPECT_EQ(this->plan().starts.size(), 1U);
}

TEST_F(PoolSchedulerTest, ANewOwnerInterruptsNothingWhileAnEarlierOwnersStopsMayBeUnderWay)
{
    StepSpec step;
    step.count = 2;
    step.resources = Resources{4000, gigabyte, 0};
    step.isLongRunning = true;
    step.disruptionBudget = 1;
    this->scheduler = this->makeScheduler(2, 100'000, this->now + 6s);
    this->list({executor("one"), executor("two"), executor("three")});
    const JobProgress begun{JobId{"a"}, QueueId{"counter"}, ServiceId{"desk"}, JobState::Running, true, {}, {}};
    this->add(this->job("a", step), &begun);
    const auto reportBoth = [this] {
        this->report("one", {ReportedRun{ItemId{JobId{"a"}, 0, 0, 0}, 1, {}, 100, 0}});
        this->report("two", {ReportedRun{ItemId{JobId{"a"}, 0, 0, 1}, 1, {}, 100, 0}});
        this->report("three");
    };
    reportBoth();
    this->scheduler->setEvacuations(EvacuationList{1, {{ExecutorId{"one"}, 100}}, {}}, this->now);
    // The earlier owner may just have stopped the item on the other executor, which lists it until it has ended.
    EXPECT_TRUE(this->plan().stops.empty());
    this->advance(SchedulerSettings{}.maxStopDuration + 500ms);
    reportBoth();
    EXPECT_EQ(this->plan().stops.size(), 1U);
}

// A slow takeover outlasts all leases; the ends of finished runs wait on their executors all the same.
TEST_F(PoolSchedulerTest, PastAllLeasesAnExecutorThatWasNotAskedYetHoldsInheritedWorkUp)
{
    this->scheduler = this->makeScheduler(2, 100'000, this->now);
    this->list({executor("one"), executor("two")});
    this->report("two");
    this->addBegun("a");
    this->advance(1s);
    EXPECT_TRUE(this->plan().starts.empty());
    this->report("one", {}, {ReportedEnd{1, ItemId{JobId{"a"}, 0, 0, 0}, 1, RunEnd::Done, {}}});
    EXPECT_TRUE(this->plan().starts.empty());
    EXPECT_EQ(this->saved.at(JobId{"a"}).state, JobState::Completed);
}

TEST_F(PoolSchedulerTest, PastAllLeasesAnExecutorThatDoesNotAnswerIsNotWaitedFor)
{
    this->scheduler = this->makeScheduler(2, 100'000, this->now);
    this->list({executor("one"), executor("two")});
    this->report("two");
    this->addBegun("a");
    this->advance(1s);
    this->scheduler->onReport(ExecutorKey{ExecutorId{"one"}, 100}, ExecutorReport{}, this->now, this->now, this->wall);
    EXPECT_EQ(this->plan().starts.size(), 1U);
}

// Found by the fault soak: the next life under the same id took the acknowledgement for its own ends and forgot them; their items ran again.
TEST_F(PoolSchedulerTest, ALifeThatIsOverIsNotRenewedAtTheAddressOfTheNext)
{
    this->list({executor("one")});
    this->report("one");
    this->add(this->job("a"));
    const SchedulerOrders first = this->planAndConfirm();
    ASSERT_EQ(first.starts.size(), 1U);
    this->report("one", {}, {ReportedEnd{1, first.starts[0].run.item, first.starts[0].run.run, RunEnd::Done, {}}});
    this->plan();
    EXPECT_TRUE(this->renewal("one"));
    this->list({executor("one", 200)});
    EXPECT_FALSE(this->renewal("one"));
}

TEST_F(PoolSchedulerTest, AReportOfAnotherLifeEndsTheRenewals)
{
    this->list({executor("one")});
    this->report("one");
    this->add(this->job("a"));
    const SchedulerOrders first = this->planAndConfirm();
    this->report("one", {}, {ReportedEnd{1, first.starts[0].run.item, first.starts[0].run.run, RunEnd::Done, {}}});
    this->plan();
    ExecutorReport other;
    other.outcome = OrderOutcome::Done;
    other.incarnation = 200;
    this->scheduler->onReport(ExecutorKey{ExecutorId{"one"}, 100}, other, this->now, this->now, this->wall);
    EXPECT_FALSE(this->renewal("one"));
}

}
}
