// Tests of the pool scheduler: starts, stops, leases and placement.
#include "poolscheduler_test.h"

namespace MangoCourse {
namespace {

TEST_F(PoolSchedulerTest, StartsNothingOnAnExecutorThatHasNotAnswered)
{
    this->setDiscovered({executor("one")});
    this->add(this->job("a"));
    EXPECT_TRUE(this->plan().starts.empty());
    this->report("one");
    EXPECT_EQ(this->plan().starts.size(), 1U);
}

TEST_F(PoolSchedulerTest, FirstRunIsNumberOneAndTheNextIsHigher)
{
    this->setDiscovered({executor("one"), executor("two")});
    this->report("one");
    this->report("two");
    this->add(this->job("a"));
    const SchedulerOrders first = this->planAndConfirm();
    ASSERT_EQ(first.starts.size(), 1U);
    EXPECT_EQ(first.starts[0].run.run, 1);
    const std::string name = first.starts[0].executor.id.value;
    this->report(name, {}, {ReportedEnd{1, first.starts[0].run.item, 1, RunEnd::Failed, {}}});
    const SchedulerOrders second = this->planAndConfirm();
    ASSERT_EQ(second.starts.size(), 1U);
    EXPECT_EQ(second.starts[0].run.run, 2);
    EXPECT_NE(second.starts[0].executor.id.value, name);
}

TEST_F(PoolSchedulerTest, SpeculativeItemOnAnUnresponsiveExecutorGetsASecondRun)
{
    this->setDiscovered({executor("one"), executor("two")});
    this->report("one");
    this->report("two");
    StepSpec step;
    step.resources = Resources{4000, gigabyte, 0};
    step.estimate = 1000ms;
    this->add(this->job("plain", step));
    step.isSpeculative = true;
    this->add(this->job("twice", step));
    const SchedulerOrders first = this->planAndConfirm();
    ASSERT_EQ(first.starts.size(), 2U);
    const std::string holder = first.starts[0].executor.id.value;
    ASSERT_EQ(first.starts[1].executor.id.value, holder);
    ExecutorReport noReply;
    noReply.outcome = OrderOutcome::Unknown;
    this->scheduler->onReport(ExecutorKey{ExecutorId{holder}, 100}, noReply, this->now, this->now, this->wall);
    this->advance(300ms);
    const SchedulerOrders second = this->planAndConfirm();
    ASSERT_EQ(second.starts.size(), 1U);
    EXPECT_EQ(second.starts[0].run.item.job, JobId{"twice"});
    EXPECT_NE(second.starts[0].executor.id.value, holder);
    EXPECT_GT(second.starts[0].run.run, first.starts[0].run.run);
    EXPECT_TRUE(this->plan().starts.empty());
}

TEST_F(PoolSchedulerTest, RefusalOfARepeatedOrderDoesNotRepeatARunThatItsExecutorLists)
{
    this->setDiscovered({executor("one"), executor("two")});
    this->report("one");
    this->report("two");
    this->add(this->job("a"));
    const SchedulerOrders orders = this->plan();
    ASSERT_EQ(orders.starts.size(), 1U);
    const StartOrder &order = orders.starts[0];
    this->advance(50ms);
    this->report(order.executor.id.value, {ReportedRun{order.run.item, order.run.run, {}, 100, 0}});
    this->answer(order, OrderOutcome::Unhealthy);
    EXPECT_TRUE(this->plan().starts.empty());
}

TEST_F(PoolSchedulerTest, NothingStartsBeforeTheStartIntentIsDurable)
{
    this->setDiscovered({executor("one")});
    this->report("one");
    this->add(this->job("a"));
    EXPECT_TRUE(this->planOnce().starts.empty());
    EXPECT_TRUE(this->scheduler->hasUrgentChange());
    const auto changed = this->scheduler->takeChangedJobs();
    ASSERT_EQ(changed.size(), 1U);
    EXPECT_TRUE(changed[0].mayHaveStarted);
    EXPECT_EQ(changed[0].state, JobState::Queued);
    EXPECT_TRUE(this->planOnce().starts.empty());
    this->scheduler->markPersisted();
    EXPECT_EQ(this->planOnce().starts.size(), 1U);
}

TEST_F(PoolSchedulerTest, WorkOfAnUnresponsiveExecutorRestartsOnlyAfterLeaseExpiry)
{
    this->setDiscovered({executor("one"), executor("two")});
    this->report("one");
    this->add(this->job("a"));
    const SchedulerOrders first = this->planAndConfirm();
    ASSERT_EQ(first.starts.size(), 1U);
    this->report("two");
    ExecutorReport noReply;
    this->scheduler->onReport(ExecutorKey{ExecutorId{"one"}, 100}, noReply, this->now, this->now, this->wall);
    this->advance(3400ms);
    EXPECT_TRUE(this->plan().starts.empty());
    this->advance(400ms);
    const SchedulerOrders again = this->plan();
    ASSERT_EQ(again.starts.size(), 1U);
    EXPECT_EQ(again.starts[0].executor.id.value, "two");
}

TEST_F(PoolSchedulerTest, LeaseOfAnUnresponsiveExecutorIsNotExtended)
{
    this->setDiscovered({executor("one")});
    this->report("one");
    this->add(this->job("a"));
    ASSERT_EQ(this->planAndConfirm().starts.size(), 1U);
    for (int tries = 0; tries < 9; ++tries) {
        this->advance(500ms);
        ASSERT_TRUE(this->renewal("one"));
        EXPECT_EQ(this->renewal("one")->renewal.until.has_value(), tries == 0);
        this->scheduler->onReport(ExecutorKey{ExecutorId{"one"}, 100}, ExecutorReport{}, this->now, this->now, this->wall);
    }
    this->setDiscovered({executor("one"), executor("two")});
    this->report("two");
    EXPECT_EQ(this->plan().starts.size(), 1U);
}

TEST_F(PoolSchedulerTest, ItemsOnAnUnresponsiveExecutorCountAsUnavailable)
{
    StepSpec step;
    step.count = 2;
    step.resources = Resources{4000, gigabyte, 0};
    step.isLongRunning = true;
    step.perExecutorLimit = 1;
    step.disruptionBudget = 1;
    this->setDiscovered({executor("one"), executor("two")});
    this->report("one");
    this->report("two");
    this->add(this->job("a", step));
    for (const StartOrder &order : this->planAndConfirm().starts) {
        this->report(order.executor.id.value, {ReportedRun{order.run.item, order.run.run, {}, 100, 0}});
    }
    this->scheduler->onReport(ExecutorKey{ExecutorId{"two"}, 100}, ExecutorReport{}, this->now, this->now, this->wall);
    this->scheduler->setEvacuations(EvacuationList{1, {{ExecutorId{"one"}, 100}}, {}}, this->now);
    EXPECT_TRUE(this->plan().stops.empty());
}

TEST_F(PoolSchedulerTest, UnansweredStartIsStoppedBeforeTheItemRunsElsewhere)
{
    this->setDiscovered({executor("one"), executor("two")});
    this->report("one");
    this->add(this->job("a"));
    const SchedulerOrders first = this->plan();
    ASSERT_EQ(first.starts.size(), 1U);
    this->report("two");
    this->answer(first.starts[0], OrderOutcome::Unknown);
    this->advance(100ms);
    EXPECT_TRUE(this->plan().starts.empty());
    this->report("one");
    const SchedulerOrders stopping = this->plan();
    ASSERT_EQ(stopping.stops.size(), 1U);
    EXPECT_TRUE(stopping.starts.empty());
    this->scheduler->onStopped(ExecutorKey{ExecutorId{"one"}, 100}, stopping.stops[0].run, OrderReply{OrderOutcome::Done, {}}, this->now);
    this->advance(10ms);
    this->report("one");
    EXPECT_EQ(this->plan().starts.size(), 1U);
}

TEST_F(PoolSchedulerTest, UnansweredStartOnAnEndedIncarnationRestartsOnlyOnceOwnershipIsConfirmed)
{
    this->setDiscovered({executor("one"), executor("two")});
    this->report("one");
    this->report("two");
    this->add(this->job("a"));
    const SchedulerOrders first = this->plan();
    ASSERT_EQ(first.starts.size(), 1U);
    // Another owner may have acknowledged the end of the run between the first attempt of the order and its repeat.
    this->confirmedAt = this->now;
    this->advance(1s);
    this->answer(first.starts[0], OrderOutcome::OtherBoot);
    EXPECT_TRUE(this->plan().starts.empty());
    this->confirmedAt = this->now;
    EXPECT_EQ(this->plan().starts.size(), 1U);
}

TEST_F(PoolSchedulerTest, UnansweredStartIsNotGivenUpWhileItsEndMayBeUnlisted)
{
    this->setDiscovered({executor("one"), executor("two")});
    this->report("one");
    this->report("two");
    this->add(this->job("a"));
    const SchedulerOrders first = this->plan();
    ASSERT_EQ(first.starts.size(), 1U);
    const ExecutorKey key{first.starts[0].executor.id, 100};
    this->answer(first.starts[0], OrderOutcome::Unknown);
    this->advance(10ms);
    this->report(key.id.value);
    const SchedulerOrders stopping = this->plan();
    ASSERT_EQ(stopping.stops.size(), 1U);
    this->scheduler->onStopped(key, stopping.stops[0].run, OrderReply{OrderOutcome::Done, {}}, this->now);
    this->advance(10ms);
    ExecutorReport partial;
    partial.outcome = OrderOutcome::Done;
    partial.isComplete = false;
    this->scheduler->onReport(key, partial, this->now, this->now, this->wall);
    EXPECT_TRUE(this->plan().starts.empty());
    this->report(key.id.value, {}, {ReportedEnd{1, first.starts[0].run.item, 1, RunEnd::Done, {}}});
    EXPECT_TRUE(this->plan().starts.empty());
    EXPECT_EQ(this->savedProgress.at(JobId{"a"}).state, JobState::Completed);
}

TEST_F(PoolSchedulerTest, CancelledJobIsStoppedAndNeverStartsAgain)
{
    this->setDiscovered({executor("one")});
    this->report("one");
    this->add(this->job("a"));
    const SchedulerOrders first = this->planAndConfirm();
    this->scheduler->cancelJob(JobId{"a"}, this->now, this->wall);
    EXPECT_EQ(this->plan().stops.size(), 1U);
    this->report("one", {}, {ReportedEnd{1, first.starts[0].run.item, 1, RunEnd::Stopped, {}}});
    EXPECT_TRUE(this->plan().starts.empty());
    EXPECT_EQ(this->savedProgress.at(JobId{"a"}).state, JobState::Cancelled);
}

TEST_F(PoolSchedulerTest, NewIncarnationOfAnEvacuatedExecutorGetsWork)
{
    this->scheduler->setEvacuations(EvacuationList{1, {{ExecutorId{"one"}, 100}}, {}}, this->now);
    this->setDiscovered({executor("one", 100)});
    this->report("one");
    this->add(this->job("a"));
    EXPECT_TRUE(this->plan().starts.empty());
    this->setDiscovered({executor("one", 200)});
    this->report("one", {}, {}, 200);
    EXPECT_EQ(this->plan().starts.size(), 1U);
}

TEST_F(PoolSchedulerTest, StalledItemIsRestartedElsewhereAtMostTwice)
{
    this->setDiscovered({executor("one"), executor("two")});
    this->report("one");
    this->report("two");
    this->add(this->job("a"));
    std::int64_t ends = 0;
    std::string last;
    std::size_t stops = 0;
    for (int round = 0; round < 4; ++round) {
        const SchedulerOrders started = this->planAndConfirm();
        if (started.starts.empty()) {
            break;
        }
        const StartOrder &start = started.starts[0];
        EXPECT_NE(start.executor.id.value, last);
        last = start.executor.id.value;
        for (int second = 0; second < 9; ++second) {
            this->advance(1s);
            this->renewal(last);
            this->report("one", last == "one" ? std::vector{ReportedRun{start.run.item, start.run.run, {}, 3, 0}} : std::vector<ReportedRun>{});
            this->report("two", last == "two" ? std::vector{ReportedRun{start.run.item, start.run.run, {}, 3, 0}} : std::vector<ReportedRun>{});
            const SchedulerOrders orders = this->plan();
            if (!orders.stops.empty()) {
                ++stops;
                this->report(last, {}, {ReportedEnd{++ends, start.run.item, start.run.run, RunEnd::Stopped, {}}});
                break;
            }
        }
    }
    EXPECT_EQ(stops, 2U);
}

TEST_F(PoolSchedulerTest, FailuresReportedOutOfOrderAllCount)
{
    this->scheduler = this->makeScheduler(2, 100'000, this->now);
    this->addStartedJob("a");
    this->setDiscovered({executor("one"), executor("two")});
    const ItemId item{JobId{"a"}, 0, 0, 0};
    this->report("one", {}, {ReportedEnd{1, item, 2, RunEnd::Failed, {}}});
    this->report("two", {}, {ReportedEnd{1, item, 1, RunEnd::Failed, {}}});
    EXPECT_TRUE(this->plan().starts.empty());
    EXPECT_EQ(this->savedProgress.at(JobId{"a"}).state, JobState::Failed);
}

TEST_F(PoolSchedulerTest, WorkOfTheLargestJobsDoesNotOverflowThePoolsReport)
{
    StepSpec step;
    step.count = 50'000;
    step.resources = Resources{1'000'000'000, 1, 0};
    step.estimate = 24h * 366;
    for (const char *name : {"a", "b"}) {
        const AcceptedJob accepted = this->job(name, step);
        ASSERT_TRUE(validate(accepted.spec));
        this->add(accepted);
    }
    step.isLongRunning = true;
    this->add(this->job("c", step));
    const PoolReport report = this->scheduler->report(this->now);
    EXPECT_EQ(report.backlog, 1'000'000'000'000'000);
    EXPECT_EQ(report.inflow, 1'000'000'000'000'000);
    EXPECT_EQ(report.longRunningCpu, 50'000'000'000'000);
    EXPECT_EQ(report.readyCpu, 100'000'000'000'000);
    this->setDiscovered({this->executor("one")});
    this->report("one");
    EXPECT_TRUE(this->planOnce().starts.empty());
}

TEST_F(PoolSchedulerTest, EndedRunsAreAcknowledgedOnlyOnceDurable)
{
    this->setDiscovered({executor("one")});
    this->report("one");
    this->add(this->job("a"));
    const SchedulerOrders first = this->planAndConfirm();
    this->report("one", {}, {ReportedEnd{1, first.starts[0].run.item, 1, RunEnd::Done, {}}});
    const auto changed = this->scheduler->takeChangedJobs();
    ASSERT_EQ(changed.size(), 1U);
    EXPECT_EQ(changed[0].state, JobState::Completed);
    EXPECT_FALSE(this->renewal("one"));
    this->scheduler->markPersisted();
    ASSERT_TRUE(this->renewal("one"));
    EXPECT_EQ(this->renewal("one")->renewal.acknowledgedEnd, 1);
}

TEST_F(PoolSchedulerTest, AttemptsAreBounded)
{
    this->setDiscovered({executor("one"), executor("two")});
    this->report("one");
    this->report("two");
    this->add(this->job("a"));
    std::int64_t ends = 0;
    for (int attempt = 1; attempt <= 2; ++attempt) {
        const SchedulerOrders orders = this->planAndConfirm();
        ASSERT_EQ(orders.starts.size(), 1U);
        this->report(orders.starts[0].executor.id.value, {}, {ReportedEnd{++ends, orders.starts[0].run.item, attempt, RunEnd::Failed, {}}});
    }
    EXPECT_TRUE(this->plan().starts.empty());
    EXPECT_EQ(this->savedProgress.at(JobId{"a"}).state, JobState::Failed);
}

TEST_F(PoolSchedulerTest, LongRunningItemsArePackedOntoFewMachines)
{
    StepSpec step;
    step.count = 4;
    step.resources = Resources{4000, gigabyte, 0};
    step.isLongRunning = true;
    std::vector<ExecutorInfo> infos;
    for (int index = 0; index < 8; ++index) {
        infos.push_back(executor("e" + std::to_string(index)));
    }
    this->setDiscovered(infos);
    for (const ExecutorInfo &info : infos) {
        this->report(info.id.value);
    }
    this->add(this->job("a", step));
    this->add(this->job("b", step));
    std::map<std::string, int> itemsPerMachine;
    const SchedulerOrders orders = this->planAndConfirm();
    ASSERT_EQ(orders.starts.size(), 8U);
    for (const StartOrder &order : orders.starts) {
        ++itemsPerMachine[order.executor.id.value];
    }
    EXPECT_EQ(itemsPerMachine.size(), 2U);
    for (const auto &[name, items] : itemsPerMachine) {
        EXPECT_EQ(items, 4) << name;
    }
}

TEST_F(PoolSchedulerTest, DisruptionBudgetHoldsDuringEvacuation)
{
    StepSpec step;
    step.count = 2;
    step.resources = Resources{4000, gigabyte, 0};
    step.isLongRunning = true;
    step.perExecutorLimit = 1;
    step.disruptionBudget = 1;
    this->setDiscovered({executor("one"), executor("two"), executor("three")});
    this->report("one");
    this->report("two");
    this->add(this->job("a", step));
    const SchedulerOrders first = this->planAndConfirm();
    ASSERT_EQ(first.starts.size(), 2U);
    this->report("three");
    for (const StartOrder &order : first.starts) {
        this->report(order.executor.id.value, {ReportedRun{order.run.item, order.run.run, {}, 100, 0}});
    }
    this->scheduler->setEvacuations(EvacuationList{1, {{ExecutorId{"one"}, 100}, {ExecutorId{"two"}, 0}}, {}}, this->now);
    EXPECT_EQ(this->plan().stops.size(), 1U);
    this->advance(50ms);
    EXPECT_TRUE(this->plan().stops.empty());
}

// During a maintenance wave over half of the pool, an item placed on a machine of the wave has to move twice.
TEST_F(PoolSchedulerTest, LongRunningItemsAvoidMachinesWithUpcomingMaintenance)
{
    StepSpec step;
    step.count = 2;
    step.resources = Resources{4000, gigabyte, 0};
    step.isLongRunning = true;
    const auto bootTimeMs = std::chrono::duration_cast<std::chrono::milliseconds>(this->wall.time_since_epoch()).count();
    this->setDiscovered({executor("due"), executor("free"), executor("renewed", bootTimeMs + 1)});
    this->report("due");
    this->report("free");
    this->report("renewed", {}, {}, bootTimeMs + 1);
    this->scheduler->setUpcomingMaintenance({{MachineId{"machine-due"}, this->wall}, {MachineId{"machine-renewed"}, this->wall}});
    this->add(this->job("a", step));
    this->add(this->job("b", step));
    this->add(this->job("c", step));
    for (const StartOrder &order : this->planAndConfirm().starts) {
        EXPECT_NE(order.executor.id.value, "due");
    }
}

TEST_F(PoolSchedulerTest, LongRunningItemsUseAMachineWithUpcomingMaintenanceIfThereIsNoOther)
{
    StepSpec step;
    step.resources = Resources{4000, gigabyte, 0};
    step.isLongRunning = true;
    this->setDiscovered({executor("due")});
    this->report("due");
    this->scheduler->setUpcomingMaintenance({{MachineId{"machine-due"}, this->wall}});
    this->add(this->job("a", step));
    EXPECT_EQ(this->plan().starts.size(), 1U);
}

}
}
