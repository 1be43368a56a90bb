// The pool scheduler on a virtual clock, against hand-written reports.
#include <mangocourse/poolscheduler.h>

#include <gtest/gtest.h>

#include <algorithm>

namespace MangoCourse {
namespace {

using namespace std::chrono_literals;

constexpr std::int64_t gigabyte = 1024;

class PoolSchedulerTest : public testing::Test
{
protected:
    void SetUp() override
    {
        this->config.revision = 1;
        QueueConfig queue;
        queue.id = QueueId{"counter"};
        queue.service = ServiceId{"desk"};
        queue.attempts = 2;
        queue.slackFactor = 1.6;
        queue.targetLatency = 600ms;
        this->config.queues.push_back(queue);
        this->config.services.emplace(ServiceId{"desk"}, ServiceConfig{ServiceId{"desk"}, {}, 64, true, false});
        this->scheduler = this->makeScheduler(1, 0, TimePoint{});
    }

    std::unique_ptr<PoolScheduler> makeScheduler(std::int64_t token, std::int64_t runBase, TimePoint clearAt)
    {
        auto made = PoolScheduler::create(ServiceId{"desk"}, SchedulerSettings{}, token, runBase, clearAt);
        (*made)->setConfig(this->config);
        return std::move(*made);
    }

    static ExecutorInfo executor(const std::string &name, std::int64_t born = 100)
    {
        ExecutorInfo info;
        info.id = ExecutorId{name};
        info.machine = MachineId{"machine-" + name};
        info.service = ServiceId{"desk"};
        info.born = born;
        info.capacity = Room{64000, 256 * gigabyte, 0};
        info.labels = {"a", "rack-1"};
        return info;
    }

    static ExecutorPlace place(const std::string &name)
    {
        return ExecutorPlace{MachineId{"machine-" + name}, ServiceId{"desk"}};
    }

    void list(const std::vector<ExecutorInfo> &infos)
    {
        this->scheduler->setExecutors(infos, this->now);
        for (const ExecutorKey &key : this->scheduler->takeNewlyUsed()) {
            this->scheduler->markRecorded(key);
        }
    }

    void report(const std::string &name, std::vector<ReportedRun> running = {}, std::vector<ReportedEnd> ended = {}, std::int64_t born = 100)
    {
        ExecutorReport report;
        report.outcome = OrderOutcome::Done;
        report.clock = std::chrono::duration_cast<std::chrono::milliseconds>(this->now.time_since_epoch());
        report.born = born;
        report.running = std::move(running);
        report.ended = std::move(ended);
        this->scheduler->onReport(ExecutorKey{ExecutorId{name}, born}, report, this->now, this->now, this->wall);
    }

    AcceptedJob job(const std::string &name, StepSpec step = {}) const
    {
        if (step.room == Room{}) {
            step.room = Room{4000, gigabyte, 0};
            step.estimate = 1000ms;
        }
        return AcceptedJob{JobId{name}, QueueId{"counter"}, ServiceId{"desk"}, this->wall, JobSpec{"work", {step}, {}}};
    }

    void add(const AcceptedJob &accepted, const JobProgress *progress = nullptr)
    {
        this->scheduler->addJob(accepted, progress, this->now, this->wall);
    }

    // Adds a job that an earlier owner began.
    void addBegun(const std::string &name)
    {
        const JobProgress begun{JobId{name}, QueueId{"counter"}, ServiceId{"desk"}, JobState::Running, true, {}, {}};
        this->add(this->job(name), &begun);
    }

    SchedulerOrders planOnce()
    {
        return this->scheduler->plan(this->now, this->wall, OwnershipTerm{this->confirmedAt.value_or(this->now), this->now + 6s});
    }

    // Plans, makes what was announced durable, and plans again.
    SchedulerOrders plan()
    {
        SchedulerOrders orders = this->planOnce();
        for (JobProgress &progress : this->scheduler->takeChanged()) {
            this->saved[progress.id] = std::move(progress);
        }
        this->scheduler->markPersisted();
        SchedulerOrders more = this->planOnce();
        orders.starts.insert(orders.starts.end(), more.starts.begin(), more.starts.end());
        orders.stops.insert(orders.stops.end(), more.stops.begin(), more.stops.end());
        return orders;
    }

    // Plans and answers every start with success.
    SchedulerOrders planAndConfirm()
    {
        SchedulerOrders orders = this->plan();
        for (const StartOrder &order : orders.starts) {
            this->answer(order, OrderOutcome::Done);
        }
        return orders;
    }

    void answer(const StartOrder &order, OrderOutcome outcome)
    {
        this->scheduler->onStarted(ExecutorKey{order.executor.id, order.executor.born}, order.run, OrderReply{outcome, std::nullopt}, this->now, this->now);
    }

    void advance(std::chrono::milliseconds time)
    {
        this->now += time;
        this->wall += time;
    }

    std::optional<RenewalPlan> renewal(const std::string &name, std::int64_t born = 100)
    {
        return this->scheduler->renewal(ExecutorKey{ExecutorId{name}, born}, this->now, this->now + 6s);
    }

    FleetConfig config;
    std::unique_ptr<PoolScheduler> scheduler;
    std::map<JobId, JobProgress> saved;
    // The last confirmation of the ownership; now, where none is set.
    std::optional<TimePoint> confirmedAt;
    TimePoint now{100s};
    WallTime wall{1'000'000s};
};

TEST_F(PoolSchedulerTest, StartsNothingOnAnExecutorThatHasNotAnswered)
{
    this->list({executor("one")});
    this->add(this->job("a"));
    EXPECT_TRUE(this->plan().starts.empty());
    this->report("one");
    EXPECT_EQ(this->plan().starts.size(), 1U);
}

TEST_F(PoolSchedulerTest, FirstRunIsNumberOneAndTheNextIsHigher)
{
    this->list({executor("one"), executor("two")});
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

TEST_F(PoolSchedulerTest, AdoptedRunsAreNotTakenAsLapsed)
{
    this->scheduler = this->makeScheduler(2, 100'000, this->now + 6s);
    this->list({executor("one"), executor("two")});
    this->scheduler->setEarlierExecutors({{ExecutorKey{ExecutorId{"one"}, 100}, place("one")}});
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
    this->scheduler->setEarlierExecutors({{ExecutorKey{ExecutorId{"one"}, 100}, place("one")}});
    this->list({executor("one"), executor("two")});
    this->report("two");
    this->addBegun("a");
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
    this->scheduler->setEarlierExecutors({
        {ExecutorKey{ExecutorId{"one"}, 100}, place("one")},
        {ExecutorKey{ExecutorId{"other"}, 100}, ExecutorPlace{MachineId{"machine-other"}, ServiceId{"shop"}}},
    });
    this->list({executor("one"), other});
    this->report("one");
    this->addBegun("a");
    EXPECT_EQ(this->plan().starts.size(), 1U);
    this->advance(7s);
    this->list({executor("one"), other});
    EXPECT_TRUE(this->scheduler->takeForgotten().empty());
}

TEST_F(PoolSchedulerTest, ASpeculativeItemOnASilentExecutorGetsASecondRunAtOnce)
{
    this->list({executor("one"), executor("two")});
    this->report("one");
    this->report("two");
    StepSpec step;
    step.room = Room{4000, gigabyte, 0};
    step.estimate = 1000ms;
    this->add(this->job("plain", step));
    step.isSpeculative = true;
    this->add(this->job("twice", step));
    const SchedulerOrders first = this->planAndConfirm();
    ASSERT_EQ(first.starts.size(), 2U);
    const std::string holder = first.starts[0].executor.id.value;
    ASSERT_EQ(first.starts[1].executor.id.value, holder);
    ExecutorReport silence;
    silence.outcome = OrderOutcome::Unknown;
    this->scheduler->onReport(ExecutorKey{ExecutorId{holder}, 100}, silence, this->now, this->now, this->wall);
    this->advance(300ms);
    const SchedulerOrders second = this->planAndConfirm();
    ASSERT_EQ(second.starts.size(), 1U);
    EXPECT_EQ(second.starts[0].run.item.job, JobId{"twice"});
    EXPECT_NE(second.starts[0].executor.id.value, holder);
    EXPECT_GT(second.starts[0].run.run, first.starts[0].run.run);
    EXPECT_TRUE(this->plan().starts.empty());
}

TEST_F(PoolSchedulerTest, SpeculativeItemsOfAnEarlierOwnerAreNotWaitedFor)
{
    this->scheduler = this->makeScheduler(2, 100'000, this->now + 6s);
    this->scheduler->setEarlierExecutors({{ExecutorKey{ExecutorId{"one"}, 100}, place("one")}});
    this->list({executor("one"), executor("two")});
    this->report("two");
    StepSpec step;
    step.room = Room{4000, gigabyte, 0};
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
    this->scheduler->setEarlierExecutors({{ExecutorKey{ExecutorId{"one"}, 100}, place("one")}});
    this->list({executor("one"), executor("two")});
    this->report("two");
    const JobProgress begun{JobId{"a"}, QueueId{"counter"}, ServiceId{"desk"}, JobState::Running, true, {}, {}};
    this->add(this->job("a"), &begun);
    this->add(this->job("b"));
    const SchedulerOrders orders = this->plan();
    ASSERT_EQ(orders.starts.size(), 1U);
    EXPECT_EQ(orders.starts[0].run.item.job.value, "b");
}

TEST_F(PoolSchedulerTest, NothingStartsBeforeItIsDurableThatTheJobMayHaveBegun)
{
    this->list({executor("one")});
    this->report("one");
    this->add(this->job("a"));
    EXPECT_TRUE(this->planOnce().starts.empty());
    EXPECT_TRUE(this->scheduler->hasUrgentChange());
    const auto changed = this->scheduler->takeChanged();
    ASSERT_EQ(changed.size(), 1U);
    EXPECT_TRUE(changed[0].mayHaveBegun);
    EXPECT_EQ(changed[0].state, JobState::Queued);
    EXPECT_TRUE(this->planOnce().starts.empty());
    this->scheduler->markPersisted();
    EXPECT_EQ(this->planOnce().starts.size(), 1U);
}

TEST_F(PoolSchedulerTest, SilentExecutorsWorkRestartsOnlyAfterItsLease)
{
    this->list({executor("one"), executor("two")});
    this->report("one");
    this->add(this->job("a"));
    const SchedulerOrders first = this->planAndConfirm();
    ASSERT_EQ(first.starts.size(), 1U);
    this->report("two");
    ExecutorReport silence;
    this->scheduler->onReport(ExecutorKey{ExecutorId{"one"}, 100}, silence, this->now, this->now, this->wall);
    this->advance(3400ms);
    EXPECT_TRUE(this->plan().starts.empty());
    this->advance(400ms);
    const SchedulerOrders again = this->plan();
    ASSERT_EQ(again.starts.size(), 1U);
    EXPECT_EQ(again.starts[0].executor.id.value, "two");
}

TEST_F(PoolSchedulerTest, LeaseOfASilentExecutorIsNotExtended)
{
    this->list({executor("one")});
    this->report("one");
    this->add(this->job("a"));
    ASSERT_EQ(this->planAndConfirm().starts.size(), 1U);
    for (int tries = 0; tries < 9; ++tries) {
        this->advance(500ms);
        ASSERT_TRUE(this->renewal("one"));
        EXPECT_EQ(this->renewal("one")->renewal.until.has_value(), tries == 0);
        this->scheduler->onReport(ExecutorKey{ExecutorId{"one"}, 100}, ExecutorReport{}, this->now, this->now, this->wall);
    }
    this->list({executor("one"), executor("two")});
    this->report("two");
    EXPECT_EQ(this->plan().starts.size(), 1U);
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

TEST_F(PoolSchedulerTest, ItemsOnASilentExecutorCountAsAway)
{
    StepSpec step;
    step.count = 2;
    step.room = Room{4000, gigabyte, 0};
    step.isLongRunning = true;
    step.perExecutorLimit = 1;
    step.availabilityBudget = 1;
    this->list({executor("one"), executor("two")});
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
    this->list({executor("one"), executor("two")});
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

TEST_F(PoolSchedulerTest, CancelledJobIsStoppedAndNeverStartsAgain)
{
    this->list({executor("one")});
    this->report("one");
    this->add(this->job("a"));
    const SchedulerOrders first = this->planAndConfirm();
    this->scheduler->cancelJob(JobId{"a"}, this->now, this->wall);
    EXPECT_EQ(this->plan().stops.size(), 1U);
    this->report("one", {}, {ReportedEnd{1, first.starts[0].run.item, 1, RunEnd::Stopped, {}}});
    EXPECT_TRUE(this->plan().starts.empty());
    EXPECT_EQ(this->saved.at(JobId{"a"}).state, JobState::Cancelled);
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

TEST_F(PoolSchedulerTest, ALaterLifeUnderTheSameIdGetsWorkAgain)
{
    this->scheduler->setEvacuations(EvacuationList{1, {{ExecutorId{"one"}, 100}}, {}}, this->now);
    this->list({executor("one", 100)});
    this->report("one");
    this->add(this->job("a"));
    EXPECT_TRUE(this->plan().starts.empty());
    this->list({executor("one", 200)});
    this->report("one", {}, {}, 200);
    EXPECT_EQ(this->plan().starts.size(), 1U);
}

TEST_F(PoolSchedulerTest, SilentExecutorsOfAnEarlierOwnerAreForgottenOnlyOnceTheyAreClear)
{
    this->scheduler = this->makeScheduler(2, 100'000, this->now + 6s);
    this->scheduler->setEarlierExecutors({{ExecutorKey{ExecutorId{"one"}, 100}, place("one")}});
    this->list({executor("one"), executor("two")});
    this->report("two");
    this->advance(3s);
    this->list({executor("two")});
    EXPECT_TRUE(this->scheduler->takeForgotten().empty());
    this->addBegun("a");
    EXPECT_TRUE(this->plan().starts.empty());
    this->advance(3100ms);
    this->list({executor("two")});
    EXPECT_EQ(this->scheduler->takeForgotten().size(), 1U);
}

TEST_F(PoolSchedulerTest, AnEarlierLifeOfAMachineThatStartedAnewNeedNotBeWaitedFor)
{
    this->scheduler = this->makeScheduler(2, 100'000, this->now + 6s);
    this->scheduler->setEarlierExecutors({{ExecutorKey{ExecutorId{"old"}, 100}, place("one")}});
    this->list({executor("one", 200), executor("two")});
    this->report("two");
    this->report("one", {}, {}, 200);
    this->addBegun("a");
    EXPECT_EQ(this->plan().starts.size(), 1U);
}

TEST_F(PoolSchedulerTest, ALifeThatAnOrderEndedNeedNotBeWaitedFor)
{
    this->scheduler = this->makeScheduler(2, 100'000, this->now + 6s);
    this->scheduler->setEarlierExecutors({{ExecutorKey{ExecutorId{"one"}, 100}, place("one")}});
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
    const JobProgress saved = this->scheduler->takeChanged().back();
    this->scheduler = this->makeScheduler(2, 100'000, this->now);
    this->add(this->job("a"), &saved);
    this->list({executor("one"), executor("two")});
    this->report("one", {}, name == "one" ? std::vector{failure} : std::vector<ReportedEnd>{});
    this->report("two", {}, name == "two" ? std::vector{failure} : std::vector<ReportedEnd>{});
    EXPECT_EQ(this->plan().starts.size(), 1U);
}

TEST_F(PoolSchedulerTest, WorkThatStandsStillIsTakenElsewhereAFewTimes)
{
    this->list({executor("one"), executor("two")});
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

TEST_F(PoolSchedulerTest, FailuresThatAreListedOutOfOrderAllCount)
{
    this->scheduler = this->makeScheduler(2, 100'000, this->now);
    this->addBegun("a");
    this->list({executor("one"), executor("two")});
    const ItemId item{JobId{"a"}, 0, 0, 0};
    this->report("one", {}, {ReportedEnd{1, item, 2, RunEnd::Failed, {}}});
    this->report("two", {}, {ReportedEnd{1, item, 1, RunEnd::Failed, {}}});
    EXPECT_TRUE(this->plan().starts.empty());
    EXPECT_EQ(this->saved.at(JobId{"a"}).state, JobState::Failed);
}

TEST_F(PoolSchedulerTest, EndsAreAcknowledgedOnlyOnceTheyAreDurable)
{
    this->list({executor("one")});
    this->report("one");
    this->add(this->job("a"));
    const SchedulerOrders first = this->planAndConfirm();
    this->report("one", {}, {ReportedEnd{1, first.starts[0].run.item, 1, RunEnd::Done, {}}});
    const auto changed = this->scheduler->takeChanged();
    ASSERT_EQ(changed.size(), 1U);
    EXPECT_EQ(changed[0].state, JobState::Completed);
    EXPECT_FALSE(this->renewal("one"));
    this->scheduler->markPersisted();
    ASSERT_TRUE(this->renewal("one"));
    EXPECT_EQ(this->renewal("one")->renewal.lastSeen, 1);
}

TEST_F(PoolSchedulerTest, AttemptsAreBounded)
{
    this->list({executor("one"), executor("two")});
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
    EXPECT_EQ(this->saved.at(JobId{"a"}).state, JobState::Failed);
}

TEST_F(PoolSchedulerTest, AnExecutorThatReturnsBeforeItsRecordIsDeletedKeepsIt)
{
    this->list({executor("one"), executor("two")});
    this->report("one");
    this->advance(1s);
    this->list({executor("two")});
    this->list({executor("one"), executor("two")});
    EXPECT_TRUE(this->scheduler->takeForgotten().empty());
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

TEST_F(PoolSchedulerTest, LongRunningItemsShareFewMachines)
{
    StepSpec step;
    step.count = 4;
    step.room = Room{4000, gigabyte, 0};
    step.isLongRunning = true;
    std::vector<ExecutorInfo> infos;
    for (int index = 0; index < 8; ++index) {
        infos.push_back(executor("e" + std::to_string(index)));
    }
    this->list(infos);
    for (const ExecutorInfo &info : infos) {
        this->report(info.id.value);
    }
    this->add(this->job("a", step));
    this->add(this->job("b", step));
    std::map<std::string, int> perMachine;
    const SchedulerOrders orders = this->planAndConfirm();
    ASSERT_EQ(orders.starts.size(), 8U);
    for (const StartOrder &order : orders.starts) {
        ++perMachine[order.executor.id.value];
    }
    EXPECT_EQ(perMachine.size(), 2U);
    for (const auto &[name, items] : perMachine) {
        EXPECT_EQ(items, 4) << name;
    }
}

TEST_F(PoolSchedulerTest, ANewOwnerInterruptsNothingWhileAnEarlierOwnersStopsMayBeUnderWay)
{
    StepSpec step;
    step.count = 2;
    step.room = Room{4000, gigabyte, 0};
    step.isLongRunning = true;
    step.availabilityBudget = 1;
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
    this->advance(SchedulerSettings{}.stopTime + 500ms);
    reportBoth();
    EXPECT_EQ(this->plan().stops.size(), 1U);
}

TEST_F(PoolSchedulerTest, AvailabilityBudgetHoldsWhileMachinesAreEmptied)
{
    StepSpec step;
    step.count = 2;
    step.room = Room{4000, gigabyte, 0};
    step.isLongRunning = true;
    step.perExecutorLimit = 1;
    step.availabilityBudget = 1;
    this->list({executor("one"), executor("two"), executor("three")});
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

}
}
