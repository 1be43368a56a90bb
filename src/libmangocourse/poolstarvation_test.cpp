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
    EXPECT_EQ(takePolicyRequests(*this->scheduler, this->now).size(), 1U);
    EXPECT_TRUE(this->plan().starts.empty());
}

TEST_F(PoolSchedulerTest, PolicyIsAskedAgainWhenNoneOfTheExecutorsWithAPassIsLeft)
{
    this->config.queues.front().policy.emplace();
    this->scheduler->setConfig(this->config);
    this->setDiscovered({executor("one")});
    this->report("one");
    this->add(this->job("a"));
    std::vector<PolicyRequest> requests = takePolicyRequests(*this->scheduler, this->now);
    ASSERT_EQ(requests.size(), 1U);
    this->scheduler->onPolicyAnswer(requests[0].step, PolicyAnswer{{PlacementPass{ExecutorId{"one"}, "pass"}}, 60s}, this->now);
    this->setDiscovered({executor("two")});
    this->report("two");
    this->plan();
    requests = takePolicyRequests(*this->scheduler, this->now);
    ASSERT_EQ(requests.size(), 1U);
    EXPECT_EQ(requests[0].executors, std::vector<ExecutorId>{ExecutorId{"two"}});
}

TEST_F(PoolSchedulerTest, PolicyIsNotAskedBeforeAnExecutorIsUsable)
{
    this->config.queues.front().policy.emplace();
    this->scheduler->setConfig(this->config);
    this->setDiscovered({executor("one")});
    this->add(this->job("a"));
    EXPECT_TRUE(takePolicyRequests(*this->scheduler, this->now).empty());
    this->report("one");
    EXPECT_EQ(takePolicyRequests(*this->scheduler, this->now).size(), 1U);
}

TEST_F(PoolSchedulerTest, PolicyIsAskedForEveryExecutorOfALargePoolInTurn)
{
    this->config.queues.front().policy.emplace();
    this->scheduler->setConfig(this->config);
    std::vector<ExecutorInfo> infos;
    for (int number = 100; number < 250; ++number) {
        infos.push_back(executor("x" + std::to_string(number)));
    }
    this->setDiscovered(infos);
    for (const ExecutorInfo &info : infos) {
        this->report(info.id.value);
    }
    this->add(this->job("a"));
    std::set<ExecutorId> asked;
    for (int round = 0; round < 2; ++round) {
        for (const PolicyRequest &request : takePolicyRequests(*this->scheduler, this->now)) {
            EXPECT_LE(request.executors.size(), 100U);
            asked.insert(request.executors.begin(), request.executors.end());
            this->scheduler->onPolicyAnswer(request.step, PolicyAnswer{{}, 60s}, this->now);
        }
    }
    EXPECT_EQ(asked.size(), infos.size());
    EXPECT_TRUE(takePolicyRequests(*this->scheduler, this->now).empty());
}

TEST_F(PoolSchedulerTest, PolicyIsAskedAgainAfterAnExecutorRejectedItsPass)
{
    this->config.queues.front().policy.emplace();
    this->scheduler->setConfig(this->config);
    this->setDiscovered({executor("one")});
    this->report("one");
    this->add(this->job("a"));
    const std::vector<PolicyRequest> requests = takePolicyRequests(*this->scheduler, this->now);
    ASSERT_EQ(requests.size(), 1U);
    this->scheduler->onPolicyAnswer(requests[0].step, PolicyAnswer{{PlacementPass{ExecutorId{"one"}, "old"}}, 60s}, this->now);
    const SchedulerOrders orders = this->plan();
    ASSERT_EQ(orders.starts.size(), 1U);
    this->answer(orders.starts[0], OrderOutcome::NoPass);
    this->advance(1s);
    this->plan();
    EXPECT_EQ(takePolicyRequests(*this->scheduler, this->now).size(), 1U);
}

TEST_F(PoolSchedulerTest, SecondCopyWithoutAPlaceDoesNotHoldUpTheLaterItemsOfItsStep)
{
    StepSpec step;
    step.count = 2;
    step.resources = Resources{40000, gigabyte, 0};
    step.estimate = 1000ms;
    step.isSpeculative = true;
    this->setDiscovered({executor("one")});
    this->report("one");
    this->add(this->job("a", step));
    const SchedulerOrders first = this->planAndConfirm();
    ASSERT_EQ(first.starts.size(), 1U);
    ExecutorInfo larger = executor("one");
    larger.capacity.cpu = 128000;
    this->advance(3s);
    this->setDiscovered({larger});
    this->report("one", {ReportedRun{first.starts[0].run.item, first.starts[0].run.run, {}, 100, 0}});
    const SchedulerOrders second = this->plan();
    ASSERT_EQ(second.starts.size(), 1U);
    EXPECT_EQ(second.starts[0].run.item.index, 1);
}

TEST_F(PoolSchedulerTest, LastingRunThatItsExecutorNoLongerKnowsIsRestarted)
{
    StepSpec step;
    step.resources = Resources{4000, gigabyte, 0};
    step.isLongRunning = true;
    this->setDiscovered({executor("one")});
    this->report("one");
    this->add(this->job("a", step));
    const SchedulerOrders first = this->planAndConfirm();
    ASSERT_EQ(first.starts.size(), 1U);
    this->advance(100ms);
    this->report("one", {ReportedRun{first.starts[0].run.item, first.starts[0].run.run, {}, 100, 0}});
    std::size_t restarts = 0;
    for (int round = 0; round < 10; ++round) {
        this->advance(1s);
        this->renewal("one");
        this->report("one");
        restarts += this->plan().starts.size();
    }
    EXPECT_GT(restarts, 0U);
}

// Its end may have been done and acknowledged; see docs/incidents/0004-acknowledged-by-the-next-life.md.
TEST_F(PoolSchedulerTest, FiniteRunThatItsExecutorNoLongerKnowsIsNotRestartedAtOnce)
{
    this->setDiscovered({executor("one"), executor("two")});
    this->report("one");
    this->report("two");
    this->add(this->job("a"));
    const SchedulerOrders first = this->planAndConfirm();
    ASSERT_EQ(first.starts.size(), 1U);
    const std::string holder = first.starts[0].executor.id.value;
    this->advance(100ms);
    this->report(holder, {ReportedRun{first.starts[0].run.item, first.starts[0].run.run, {}, 100, 0}});
    this->advance(1s);
    this->renewal(holder);
    this->report(holder);
    EXPECT_TRUE(this->plan().starts.empty());
}

TEST_F(PoolSchedulerTest, NewExecutorsThatKeepArrivingDoNotHoldUpInheritedWork)
{
    this->scheduler = this->makeScheduler(2, 100'000, this->now + 6s);
    this->scheduler->setPreviousExecutors({{ExecutorKey{ExecutorId{"one"}, 100}, location("one")}});
    std::vector<ExecutorInfo> infos{executor("one")};
    this->setDiscovered(infos);
    this->report("one");
    this->addStartedJob("a");
    std::size_t starts = 0;
    for (int round = 0; round < 40; ++round) {
        // Each arrival answers only after the next one is listed.
        infos.push_back(executor("new" + std::to_string(round)));
        this->setDiscovered(infos);
        if (round > 0) {
            this->report("new" + std::to_string(round - 1));
        }
        starts += this->plan().starts.size();
        this->advance(500ms);
    }
    EXPECT_GT(starts, 0U);
}

TEST_F(PoolSchedulerTest, UnansweredStartWhoseStopIsNeverCarriedOutEndsWithItsLease)
{
    this->setDiscovered({executor("one"), executor("two")});
    this->report("one");
    this->add(this->job("a"));
    const SchedulerOrders first = this->plan();
    ASSERT_EQ(first.starts.size(), 1U);
    this->answer(first.starts[0], OrderOutcome::Unknown);
    std::size_t restarts = 0;
    for (int round = 0; round < 40; ++round) {
        this->advance(300ms);
        ASSERT_TRUE(this->renewal("one") || restarts > 0);
        this->report("one");
        this->report("two");
        const SchedulerOrders orders = this->plan();
        restarts += orders.starts.size();
        for (const StopOrder &order : orders.stops) {
            this->scheduler->onStopped(ExecutorKey{ExecutorId{"one"}, 100}, order.run, OrderReply{OrderOutcome::Unhealthy, {}}, this->now);
        }
    }
    EXPECT_EQ(restarts, 1U);
}

TEST_F(PoolSchedulerTest, FailedQuestionToThePolicyKeepsValidPasses)
{
    this->config.queues.front().policy.emplace();
    this->scheduler->setConfig(this->config);
    this->setDiscovered({executor("one"), executor("two")});
    this->report("one");
    this->add(this->job("a"));
    std::vector<PolicyRequest> requests = takePolicyRequests(*this->scheduler, this->now);
    ASSERT_EQ(requests.size(), 1U);
    this->scheduler->onPolicyAnswer(requests[0].step, PolicyAnswer{{PlacementPass{ExecutorId{"one"}, "pass"}}, 60s}, this->now);
    ExecutorReport failed;
    failed.outcome = OrderOutcome::Unhealthy;
    this->scheduler->onReport(ExecutorKey{ExecutorId{"one"}, 100}, failed, this->now, this->now, this->wall);
    this->report("two");
    requests = takePolicyRequests(*this->scheduler, this->now);
    ASSERT_EQ(requests.size(), 1U);
    this->scheduler->onPolicyAnswer(requests[0].step, PolicyAnswer{}, this->now);
    this->advance(100ms);
    this->report("one");
    EXPECT_EQ(this->plan().starts.size(), 1U);
}

TEST_F(PoolSchedulerTest, PolicyIsAskedAboutOthersWhenThoseWithAPassAreAtTheirLimit)
{
    const std::string near = "x100";
    const std::string far = "x240";
    this->config.queues.front().policy.emplace();
    this->scheduler->setConfig(this->config);
    std::vector<ExecutorInfo> infos;
    for (int number = 100; number < 250; ++number) {
        infos.push_back(executor("x" + std::to_string(number)));
    }
    this->setDiscovered(infos);
    for (const ExecutorInfo &info : infos) {
        this->report(info.id.value);
    }
    StepSpec step;
    step.count = 2;
    step.perExecutorLimit = 1;
    step.isLongRunning = true;
    step.resources = Resources{4000, gigabyte, 0};
    this->add(this->job("a", step));
    std::size_t starts = 0;
    for (int round = 0; round < 30; ++round) {
        starts += this->planAndConfirm().starts.size();
        for (const PolicyRequest &request : takePolicyRequests(*this->scheduler, this->now)) {
            PolicyAnswer answer{{}, 60s};
            for (const ExecutorId &id : request.executors) {
                if (id.value == near || id.value == far) {
                    answer.passes.push_back(PlacementPass{id, "pass"});
                }
            }
            this->scheduler->onPolicyAnswer(request.step, answer, this->now);
        }
        this->advance(100ms);
    }
    EXPECT_EQ(starts, 2U);
}

// Guards against work that waits for 3 s beside the only executors with room, because a run has stood still there.
TEST_F(PoolSchedulerTest, ExecutorOnWhichARunStoodStillTakesOthersOneAtATime)
{
    this->setDiscovered({executor("one")});
    this->report("one");
    this->add(this->job("still"));
    const SchedulerOrders first = this->planAndConfirm();
    ASSERT_EQ(first.starts.size(), 1U);
    const ReportedRun run{first.starts[0].run.item, first.starts[0].run.run, {}, 100, 0};
    for (int count = 0; count < 60; ++count) {
        this->advance(100ms);
        this->renewal("one");
        this->report("one", {run});
        if (!this->plan().stops.empty()) {
            break;
        }
    }
    this->report("one", {}, {ReportedEnd{1, run.item, run.run, RunEnd::Stopped, {}}});
    for (const char *name : {"b", "c", "d"}) {
        this->add(this->job(name));
    }
    EXPECT_TRUE(this->planAndConfirm().starts.empty());
    this->advance(1100ms);
    this->report("one");
    EXPECT_EQ(this->planAndConfirm().starts.size(), 1U);
    this->advance(100ms);
    this->report("one");
    EXPECT_TRUE(this->planAndConfirm().starts.empty()) << "one at a time";
    this->advance(800ms);
    this->report("one");
    EXPECT_EQ(this->planAndConfirm().starts.size(), 1U);
}

// Guards against a best-effort item that keeps its speed since the order to slow it down was lost.
TEST_F(PoolSchedulerTest, PaceOrderThatWasNotCarriedOutIsGivenAgain)
{
    this->setDiscovered({executor("one")});
    this->report("one");
    StepSpec serving;
    serving.resources = Resources{4000, gigabyte, 0};
    serving.isLongRunning = true;
    serving.tailLatencyTarget = 100ms;
    StepSpec filling = serving;
    filling.tailLatencyTarget = 0ms;
    filling.isBestEffort = true;
    this->add(this->job("serving", serving));
    this->add(this->job("filling", filling));
    std::map<std::string, ReportedRun> runs;
    for (const StartOrder &order : this->planAndConfirm().starts) {
        runs[order.run.item.job.value] = ReportedRun{order.run.item, order.run.run, {}, 100, 0};
    }
    ASSERT_EQ(runs.size(), 2U);
    // The serving item is over its target.
    runs["serving"].load = 150;
    for (const OrderOutcome outcome : {OrderOutcome::Unknown, OrderOutcome::NotSent, OrderOutcome::Done}) {
        this->advance(1s);
        this->renewal("one");
        this->report("one", {runs["serving"], runs["filling"]});
        const SchedulerOrders orders = this->planOnce();
        ASSERT_EQ(orders.paces.size(), 1U) << toString(outcome);
        EXPECT_EQ(orders.paces[0].run.percent, 50) << toString(outcome);
        const ExecutorKey key{ExecutorId{"one"}, 100};
        this->scheduler->onPaced(key, orders.paces[0], OrderReply{outcome, std::nullopt}, this->now);
    }
    this->advance(1s);
    this->report("one", {runs["serving"], runs["filling"]});
    EXPECT_EQ(this->planOnce().paces.at(0).run.percent, 25);
}

}
}
