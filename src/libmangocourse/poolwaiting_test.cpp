// Tests of the review of waiting work: each reason is told apart.
#include "poolscheduler_test.h"

namespace MangoCourse {
namespace {

class PoolWaitingTest : public PoolSchedulerTest
{
protected:
    WaitingReview review()
    {
        return this->scheduler->reviewWaiting(this->now, this->wall);
    }

    // Plans and reviews until the work has waited long enough for a line.
    WaitingReview waitAndReview()
    {
        this->plan();
        this->review();
        this->advance(1000ms);
        this->plan();
        return this->review();
    }

    // Returns the only line of a review after the work has waited.
    WaitingItem waitForLine()
    {
        const WaitingReview found = this->waitAndReview();
        EXPECT_EQ(found.items.size(), 1U);
        return found.items.empty() ? WaitingItem{} : found.items.front();
    }

    // Adds executors that are ready for work.
    void addExecutors(const std::vector<std::string> &names)
    {
        std::vector<ExecutorInfo> infos;
        for (const std::string &name : names) {
            infos.push_back(executor(name));
        }
        this->setDiscovered(infos);
        for (const std::string &name : names) {
            this->report(name);
        }
    }

    void failRenewal(const std::string &name)
    {
        this->scheduler->onReport(ExecutorKey{ExecutorId{name}, 100}, ExecutorReport{}, this->now, this->now, this->wall);
    }

    static StepSpec demanding(Resources resources)
    {
        StepSpec step;
        step.resources = resources;
        step.estimate = 1000ms;
        return step;
    }

    static std::int32_t count(const WaitingItem &line, ExecutorUsability usability)
    {
        return line.executors.at(static_cast<std::size_t>(usability));
    }
    static std::int32_t count(const WaitingItem &line, PlacementObstacle obstacle)
    {
        return line.obstacles.at(static_cast<std::size_t>(obstacle));
    }
};

TEST_F(PoolWaitingTest, WorkThatStartsAtOnceGivesNoLine)
{
    this->addExecutors({"one"});
    this->add(this->job("a"));
    EXPECT_EQ(this->planAndConfirm().starts.size(), 1U);
    this->review();
    this->advance(1000ms);
    this->report("one", {ReportedRun{ItemId{JobId{"a"}, 0, 0, 0}, 1, {}, 100, 0}});
    const WaitingReview found = this->review();
    EXPECT_TRUE(found.items.empty());
    EXPECT_TRUE(found.runs.empty());
}

TEST_F(PoolWaitingTest, NoPlan)
{
    this->addExecutors({"one"});
    this->add(this->job("a"));
    this->review();
    this->advance(1000ms);
    const WaitingReview found = this->review();
    ASSERT_EQ(found.items.size(), 1U);
    EXPECT_EQ(found.items[0].reason, WaitReason::NoPlan);
    EXPECT_EQ(found.items[0].age, 1000ms);
}

TEST_F(PoolWaitingTest, GapBetweenTwoPlansIsTold)
{
    this->addExecutors({"one"});
    this->add(this->job("a", demanding(Resources{65000, gigabyte, 0})));
    this->plan();
    this->advance(3000ms);
    this->plan();
    const WaitingReview found = this->review();
    ASSERT_EQ(found.items.size(), 1U);
    EXPECT_EQ(found.items[0].planGap, 3000ms);
}

TEST_F(PoolWaitingTest, ShortTermStopsThePlanEarly)
{
    this->addExecutors({"one"});
    this->add(this->job("a"));
    this->advance(1000ms);
    this->scheduler->plan(this->now, this->wall, OwnershipTerm{this->now, this->now + 399ms}, this->watermarks());
    const WaitingReview found = this->review();
    ASSERT_EQ(found.items.size(), 1U);
    EXPECT_EQ(found.items[0].reason, WaitReason::ShortTerm);
    EXPECT_EQ(found.items[0].termLeft, 399ms);
}

TEST_F(PoolWaitingTest, OldWatermarksStopThePlanEarly)
{
    this->addExecutors({"one"});
    this->add(this->job("a"));
    this->requestWatermark = this->now - 10s;
    const WaitingItem line = this->waitForLine();
    EXPECT_EQ(line.reason, WaitReason::OldWatermarks);
    EXPECT_EQ(line.requestsAge, 11s);
    EXPECT_EQ(line.executorsAge, 0ms);
    EXPECT_EQ(count(line, PlacementObstacle::None), 1);
}

TEST_F(PoolWaitingTest, IntentThatIsNotDurable)
{
    this->addExecutors({"one"});
    this->add(this->job("a"));
    this->planOnce();
    this->advance(1000ms);
    this->planOnce();
    const WaitingReview found = this->review();
    ASSERT_EQ(found.items.size(), 1U);
    EXPECT_EQ(found.items[0].reason, WaitReason::IntentNotDurable);
}

TEST_F(PoolWaitingTest, PreviousExecutorsThatWereNotAskedAreNamed)
{
    this->scheduler = this->makeScheduler(2, 100'000, this->now + 6s);
    this->scheduler->setPreviousExecutors({{ExecutorKey{ExecutorId{"one"}, 100}, location("one")}, {ExecutorKey{ExecutorId{"gone"}, 100}, location("gone")}});
    this->setDiscovered({executor("one"), executor("two")});
    this->report("two");
    this->addStartedJob("a");
    const WaitingItem line = this->waitForLine();
    EXPECT_EQ(line.reason, WaitReason::PreviousRuns);
    EXPECT_EQ(line.waitsFor, "one, gone");
    EXPECT_EQ(count(line, ExecutorUsability::NeverContacted), 1);
    EXPECT_EQ(count(line, ExecutorUsability::Usable), 1);
}

TEST_F(PoolWaitingTest, LostRunThatMayBeActive)
{
    this->addExecutors({"one", "two"});
    this->add(this->job("a"));
    const SchedulerOrders orders = this->planAndConfirm();
    ASSERT_EQ(orders.starts.size(), 1U);
    this->confirmedAt = this->now;
    this->advance(1000ms);
    // Discovery lists a newer incarnation.
    this->setDiscovered({executor(orders.starts[0].executor.id.value, 200), executor(orders.starts[0].executor.id.value == "one" ? "two" : "one")});
    const WaitingItem line = this->waitForLine();
    EXPECT_EQ(line.reason, WaitReason::PossiblyActive);
    EXPECT_EQ(line.confirmedAge, 2000ms);
}

TEST_F(PoolWaitingTest, GangWithAMemberThatStillRuns)
{
    this->addExecutors({"one", "two"});
    StepSpec step = demanding(Resources{60000, gigabyte, 0});
    step.count = 2;
    step.isGang = true;
    this->add(this->job("a", step));
    const SchedulerOrders orders = this->planAndConfirm();
    ASSERT_EQ(orders.starts.size(), 2U);
    const StartOrder &first = orders.starts[0];
    this->report(first.executor.id.value, {}, {ReportedEnd{1, first.run.item, first.run.run, RunEnd::Stopped, {}}});
    EXPECT_EQ(this->waitForLine().reason, WaitReason::GangIncomplete);
}

TEST_F(PoolWaitingTest, GangForWhoseMembersThereIsNotEnoughRoom)
{
    this->addExecutors({"one"});
    StepSpec step = demanding(Resources{60000, gigabyte, 0});
    step.count = 2;
    step.isGang = true;
    this->add(this->job("a", step));
    const WaitingItem line = this->waitForLine();
    EXPECT_EQ(line.reason, WaitReason::NoRoom);
    EXPECT_EQ(count(line, PlacementObstacle::None), 1);
}

TEST_F(PoolWaitingTest, PolicyWithoutAnAnswerAndWithoutAPass)
{
    this->config.queues[0].policy.emplace();
    this->scheduler = this->makeScheduler(1, 0, TimePoint{});
    this->addExecutors({"one", "two"});
    this->add(this->job("a"));
    EXPECT_EQ(this->waitForLine().reason, WaitReason::PolicyUnanswered);
    this->scheduler->onPolicyAnswer(ItemId{JobId{"a"}, 0, 0, 0}, PolicyAnswer{{PlacementPass{ExecutorId{"other"}, "pass"}}, 60s}, this->now);
    const WaitingItem line = this->waitForLine();
    EXPECT_EQ(line.reason, WaitReason::NoPass);
    EXPECT_EQ(count(line, PlacementObstacle::Pass), 2);
}

TEST_F(PoolWaitingTest, NoListedExecutor)
{
    this->add(this->job("a"));
    EXPECT_EQ(this->waitForLine().reason, WaitReason::NoExecutor);
}

TEST_F(PoolWaitingTest, EachCauseOfUnusabilityIsCounted)
{
    this->addExecutors({"one", "two", "three"});
    this->add(this->job("first", demanding(Resources{64000, gigabyte, 0})));
    const SchedulerOrders orders = this->plan();
    ASSERT_EQ(orders.starts.size(), 1U);
    const std::string refusing = orders.starts[0].executor.id.value;
    std::vector<ExecutorInfo> infos;
    for (const char *name : {"one", "two", "three", "draining", "evacuated", "silent", "clockless"}) {
        infos.push_back(executor(name));
        infos.back().isDraining = infos.back().id.value == "draining";
    }
    this->setDiscovered(infos);
    for (const char *name : {"draining", "evacuated"}) {
        this->report(name);
    }
    infos.push_back(executor("unrecorded"));
    this->scheduler->setExecutors(infos, this->now);
    this->report("unrecorded");
    ExecutorReport clockless;
    clockless.outcome = OrderOutcome::Done;
    clockless.incarnation = 100;
    this->scheduler->onReport(ExecutorKey{ExecutorId{"clockless"}, 100}, clockless, this->now, this->now, this->wall);
    this->scheduler->setEvacuations(EvacuationList{1, {{ExecutorId{"evacuated"}, 0}}, {}}, this->now);
    for (const std::string name : {"one", "two", "three"}) {
        if (name != refusing) {
            this->failRenewal(name);
        }
    }
    this->add(this->job("second"));
    this->advance(1500ms);
    this->answer(orders.starts[0], OrderOutcome::Unhealthy);
    this->planOnce();
    const WaitingReview found = this->review();
    ASSERT_EQ(found.items.size(), 1U);
    const WaitingItem &line = found.items[0];
    EXPECT_EQ(line.item.job, JobId{"second"});
    EXPECT_EQ(line.reason, WaitReason::NoUsableExecutor);
    EXPECT_EQ(count(line, ExecutorUsability::Usable), 0);
    EXPECT_EQ(count(line, ExecutorUsability::Avoided), 1);
    EXPECT_EQ(count(line, ExecutorUsability::Failing), 2);
    EXPECT_EQ(line.failingFor, 1500ms);
    EXPECT_EQ(count(line, ExecutorUsability::Draining), 1);
    EXPECT_EQ(count(line, ExecutorUsability::Evacuated), 1);
    EXPECT_EQ(count(line, ExecutorUsability::NeverContacted), 1);
    EXPECT_EQ(count(line, ExecutorUsability::NoClock), 1);
    EXPECT_EQ(count(line, ExecutorUsability::NotRecorded), 1);
    const PoolWaiting totals = this->scheduler->waiting(this->now);
    EXPECT_EQ(totals.executors, line.executors);
    EXPECT_EQ(totals.jobs.at(static_cast<std::size_t>(WaitReason::NoUsableExecutor)), 1U);
}

TEST_F(PoolWaitingTest, RoomIsToldByResource)
{
    this->addExecutors({"one", "two"});
    this->add(this->job("a", demanding(Resources{65000, gigabyte, 0})));
    this->add(this->job("b", demanding(Resources{1000, 257 * gigabyte, 0})));
    this->add(this->job("c", demanding(Resources{1000, gigabyte, 1})));
    const WaitingReview found = this->waitAndReview();
    ASSERT_EQ(found.items.size(), 3U);
    for (const WaitingItem &line : found.items) {
        EXPECT_EQ(line.reason, WaitReason::NoRoom);
        const std::string &name = line.item.job.value;
        EXPECT_EQ(count(line, PlacementObstacle::Cpu), name == "a" ? 2 : 0);
        EXPECT_EQ(count(line, PlacementObstacle::Memory), name == "b" ? 2 : 0);
        EXPECT_EQ(count(line, PlacementObstacle::Accelerators), name == "c" ? 2 : 0);
    }
}

TEST_F(PoolWaitingTest, LabelAndLimitAreConstraints)
{
    this->addExecutors({"one", "two"});
    StepSpec labelled = demanding(Resources{1000, gigabyte, 0});
    labelled.requiredLabel = "b";
    this->add(this->job("a", labelled));
    const WaitingItem line = this->waitForLine();
    EXPECT_EQ(line.reason, WaitReason::Constraint);
    EXPECT_EQ(count(line, PlacementObstacle::Label), 2);
    this->scheduler->cancelJob(JobId{"a"}, this->now, this->wall);
    StepSpec spread = demanding(Resources{1000, gigabyte, 0});
    spread.count = 3;
    spread.perExecutorLimit = 1;
    spread.isLongRunning = true;
    this->add(this->job("b", spread));
    EXPECT_EQ(this->planAndConfirm().starts.size(), 2U);
    const WaitingItem limited = this->waitForLine();
    EXPECT_EQ(limited.reason, WaitReason::Constraint);
    EXPECT_EQ(count(limited, PlacementObstacle::PerExecutorLimit), 2);
}

TEST_F(PoolWaitingTest, RoomThatNoPlanHasUsedIsTold)
{
    this->addExecutors({"one"});
    StepSpec step = demanding(Resources{40000, gigabyte, 0});
    step.count = 2;
    this->add(this->job("a", step));
    const SchedulerOrders orders = this->planAndConfirm();
    ASSERT_EQ(orders.starts.size(), 1U);
    this->review();
    this->advance(999ms);
    this->plan();
    this->report("one", {}, {ReportedEnd{1, orders.starts[0].run.item, orders.starts[0].run.run, RunEnd::Done, {}}});
    this->advance(1ms);
    const WaitingReview found = this->review();
    ASSERT_EQ(found.items.size(), 1U);
    EXPECT_EQ(found.items[0].reason, WaitReason::NotTried);
    EXPECT_EQ(count(found.items[0], PlacementObstacle::None), 1);
}

TEST_F(PoolWaitingTest, UnlistedRunIsToldWithItsPhase)
{
    this->addExecutors({"one"});
    this->add(this->job("a"));
    const SchedulerOrders orders = this->plan();
    ASSERT_EQ(orders.starts.size(), 1U);
    this->advance(2500ms);
    WaitingReview found = this->review();
    ASSERT_EQ(found.runs.size(), 1U);
    EXPECT_EQ(found.runs[0].phase, "starting");
    EXPECT_EQ(found.runs[0].item, orders.starts[0].run.item);
    EXPECT_EQ(found.runs[0].executor, ExecutorId{"one"});
    EXPECT_EQ(found.runs[0].age, 2500ms);
    EXPECT_EQ(found.runs[0].reportAge, 2500ms);
    EXPECT_EQ(this->scheduler->waiting(this->now).jobs.at(static_cast<std::size_t>(WaitReason::RunUnlisted)), 1U);
    this->answer(orders.starts[0], OrderOutcome::Done);
    this->report("one");
    this->advance(1000ms);
    found = this->review();
    ASSERT_EQ(found.runs.size(), 1U);
    EXPECT_EQ(found.runs[0].phase, "running");
    EXPECT_EQ(found.runs[0].age, 3500ms);
    EXPECT_EQ(found.runs[0].reportAge, 1000ms);
    this->report("one", {ReportedRun{orders.starts[0].run.item, orders.starts[0].run.run, {}, 100, 0}});
    this->advance(2400ms);
    EXPECT_TRUE(this->review().runs.empty());
    EXPECT_EQ(this->scheduler->waiting(this->now).jobs.at(static_cast<std::size_t>(WaitReason::RunUnlisted)), 0U);
}

TEST_F(PoolWaitingTest, UnreachableAndReachableExecutorsAreToldOnce)
{
    std::vector<SchedulerEvent> events;
    this->scheduler->setObserver([&events](const SchedulerEvent &event) {
        events.push_back(event);
    });
    this->addExecutors({"one"});
    this->advance(200ms);
    this->failRenewal("one");
    this->advance(700ms);
    this->failRenewal("one");
    this->advance(300ms);
    this->report("one");
    this->report("one");
    ASSERT_EQ(events.size(), 2U);
    EXPECT_STREQ(events[0].event, "executor_unreachable");
    EXPECT_EQ(events[0].executor, ExecutorId{"one"});
    EXPECT_EQ(events[0].outcome, "unknown");
    EXPECT_EQ(events[0].lasted, 200ms);
    EXPECT_STREQ(events[1].event, "executor_reachable");
    EXPECT_EQ(events[1].lasted, 1000ms);
}

TEST_F(PoolWaitingTest, LinesAboutOneItemBecomeRarer)
{
    this->add(this->job("a"));
    std::vector<std::chrono::milliseconds> ages;
    for (int step = 0; step < 200; ++step) {
        this->plan();
        for (const WaitingItem &line : this->review().items) {
            ages.push_back(line.age);
        }
        this->advance(500ms);
    }
    EXPECT_EQ(ages, (std::vector<std::chrono::milliseconds>{1s, 2s, 4s, 8s, 16s, 32s, 64s, 96s}));
}

TEST_F(PoolWaitingTest, LinesOfOneReviewAreBoundedAndRoomComesLast)
{
    this->addExecutors({"one"});
    for (int number = 0; number < 20; ++number) {
        this->add(this->job("room-" + std::to_string(number), demanding(Resources{65000, gigabyte, 0})));
    }
    StepSpec labelled = demanding(Resources{1000, gigabyte, 0});
    labelled.requiredLabel = "b";
    this->add(this->job("label", labelled));
    const WaitingReview found = this->waitAndReview();
    ASSERT_EQ(found.items.size(), 3U);
    EXPECT_EQ(found.items[0].item.job, JobId{"label"});
    EXPECT_EQ(found.items[1].reason, WaitReason::NoRoom);
    const PoolWaiting totals = this->scheduler->waiting(this->now);
    EXPECT_EQ(totals.jobs.at(static_cast<std::size_t>(WaitReason::Unexamined)), 5U);
    EXPECT_EQ(totals.jobs.at(static_cast<std::size_t>(WaitReason::NoRoom)), 15U);
}

}
}
