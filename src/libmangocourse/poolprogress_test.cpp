// Random histories of pools, checked for work that could run and doesn't, and the single cases that they led to.
#include "poolhistoryworld_test.h"
#include "poolscheduler_test.h"

#include <gtest/gtest.h>

namespace MangoCourse {
namespace {

constexpr milliseconds plainLength{40'000};
constexpr milliseconds wideLength = 3 * faultPeriod;

std::string firstViolation(const History &history)
{
    std::vector<std::string> all = history.checker.violations;
    all.insert(all.end(), history.progressChecker.violations.begin(), history.progressChecker.violations.end());
    return all.empty() ? std::string() : all.front();
}

class PoolProgressTest : public PoolSchedulerTest
{
protected:
    // Answers renewals for `span`, plans in between, and returns the start orders. Every order is confirmed.
    std::vector<StartOrder> runFor(milliseconds span, const std::vector<std::string> &names)
    {
        std::vector<StartOrder> starts;
        for (milliseconds passed{}; passed < span; passed += planInterval) {
            this->advance(planInterval);
            for (const std::string &name : names) {
                if (this->renewal(name)) {
                    this->report(name, this->running[name]);
                }
            }
            for (const StartOrder &order : this->planAndConfirm().starts) {
                this->running[order.executor.id.value].push_back(ReportedRun{order.run.item, order.run.run, {}, 100, 0});
                starts.push_back(order);
            }
        }
        return starts;
    }
    void failRenewal(const std::string &name, OrderOutcome outcome)
    {
        ExecutorReport failed;
        failed.outcome = outcome;
        this->scheduler->onReport(ExecutorKey{ExecutorId{name}, 100}, failed, this->now, this->now, this->wall);
    }

    static constexpr milliseconds planInterval{100};
    std::map<std::string, std::vector<ReportedRun>> running;
};

TEST_F(PoolProgressTest, ExecutorThatLostItsRunsAfterAFailedRenewalIsUsedAgain)
{
    this->setDiscovered({executor("one")});
    this->report("one");
    this->add(this->job("a"));
    ASSERT_EQ(this->planAndConfirm().starts.size(), 1U);
    this->failRenewal("one", OrderOutcome::Unknown);
    // The lease ends, and with it the run.
    this->advance(7s);
    this->planOnce();
    EXPECT_EQ(this->runFor(longestWait, {"one"}).size(), 1U);
}

TEST_F(PoolProgressTest, ExecutorThatRefusedItsOnlyStartAsUnhealthyIsUsedAgain)
{
    this->setDiscovered({executor("one")});
    this->report("one");
    this->add(this->job("a"));
    const SchedulerOrders orders = this->plan();
    ASSERT_EQ(orders.starts.size(), 1U);
    this->failRenewal("one", OrderOutcome::Unhealthy);
    this->answer(orders.starts[0], OrderOutcome::Unhealthy);
    EXPECT_EQ(this->runFor(longestWait, {"one"}).size(), 1U);
}

TEST_F(PoolProgressTest, ExecutorOnWhichJobsFailedIsUsedIfNoOtherHasRoom)
{
    this->setDiscovered({executor("one")});
    this->report("one");
    std::int64_t ends = 0;
    for (const char *name : {"a", "b"}) {
        this->add(this->job(name));
        const SchedulerOrders orders = this->planAndConfirm();
        ASSERT_EQ(orders.starts.size(), 1U);
        this->report("one", {}, {ReportedEnd{++ends, orders.starts[0].run.item, orders.starts[0].run.run, RunEnd::Failed, {}}});
        this->scheduler->cancelJob(JobId{name}, this->now, this->wall);
    }
    this->add(this->job("c"));
    EXPECT_EQ(this->runFor(longestWait, {"one"}).size(), 1U);
}

TEST(PoolHistory, HopelessJobsInSeriesDoNotHoldUpOtherWork)
{
    for (const std::uint32_t seed : {1344U, 1419U}) {
        History history(seed, World::Wide);
        history.run(wideLength);
        history.settle();
        EXPECT_EQ(firstViolation(history), "") << "seed " << seed;
    }
}

TEST(PoolHistory, AllWorkEndsAfterTheLastFault)
{
    const std::uint32_t first = environmentValue("SEED", 1);
    const std::uint32_t count = environmentValue("HISTORIES", 60);
    for (std::uint32_t seed = first; seed < first + count; ++seed) {
        History history(seed);
        history.run(plainLength);
        history.settle();
        EXPECT_EQ(firstViolation(history), "") << "seed " << seed;
    }
}

TEST(PoolHistory, WaitingWorkRunsWhereThereIsRoom)
{
    const std::uint32_t first = environmentValue("SEED", 1);
    const std::uint32_t count = environmentValue("HISTORIES", 150);
    int completed = 0;
    int takeovers = 0;
    for (std::uint32_t seed = first; seed < first + count; ++seed) {
        History history(seed, World::Wide);
        history.run(wideLength);
        history.settle();
        EXPECT_EQ(firstViolation(history), "") << "seed " << seed;
        completed += history.completed;
        takeovers += history.takeovers;
    }
    // The histories are meaningful only if jobs complete despite the injected faults.
    EXPECT_GT(completed, static_cast<int>(count) * 10);
    EXPECT_GT(takeovers, static_cast<int>(count));
    std::printf("%u histories, %d jobs completed, %d takeovers\n", count, completed, takeovers);
}

TEST(PoolHistory, WaitingWorkRunsOnceIfARepeatedOrderIsRefusedAndTheFirstIsCarriedOut)
{
    const std::uint32_t first = environmentValue("SEED", 1);
    const std::uint32_t count = environmentValue("HISTORIES", 100);
    int completed = 0;
    for (std::uint32_t seed = first; seed < first + count; ++seed) {
        History history(seed, World::Wide, Connections::Breaking);
        history.run(wideLength);
        history.settle();
        EXPECT_EQ(firstViolation(history), "") << "seed " << seed;
        completed += history.completed;
    }
    EXPECT_GT(completed, static_cast<int>(count) * 10);
}

// Guards against work that waits for an order to an earlier incarnation which nobody settles any more.
TEST(PoolHistory, WaitingWorkRunsIfCallsReachTheNextIncarnation)
{
    const std::uint32_t first = environmentValue("SEED", 1);
    const std::uint32_t count = environmentValue("HISTORIES", 100);
    int completed = 0;
    for (std::uint32_t seed = first; seed < first + count; ++seed) {
        History history(seed, World::Wide, Connections::OutlivingRestarts);
        history.run(wideLength);
        history.settle();
        EXPECT_EQ(firstViolation(history), "") << "seed " << seed;
        completed += history.completed;
    }
    EXPECT_GT(completed, static_cast<int>(count) * 10);
}

// Guards against work that waits for ever because the places of its orders are not given back, or because one gang takes more than there are.
TEST(PoolHistory, WaitingWorkRunsIfFewOrdersAreUnderWay)
{
    const std::uint32_t first = environmentValue("SEED", 1);
    const std::uint32_t count = environmentValue("HISTORIES", 100);
    int completed = 0;
    for (std::uint32_t seed = first; seed < first + count; ++seed) {
        const Connections connections = seed % 2 == 0 ? Connections::Sound : Connections::OutlivingRestarts;
        History history(seed, World::Wide, connections, unlimitedEnds, 8 + seed % 8);
        history.run(wideLength);
        history.settle();
        EXPECT_EQ(firstViolation(history), "") << "seed " << seed;
        completed += history.completed;
    }
    EXPECT_GT(completed, static_cast<int>(count) * 10);
}

// Guards against work that waits for a page of ends which the executor never lists because nothing is acknowledged.
TEST(PoolHistory, WaitingWorkRunsIfExecutorsListTheirEndsInPages)
{
    const std::uint32_t first = environmentValue("SEED", 1);
    const std::uint32_t count = environmentValue("HISTORIES", 100);
    int completed = 0;
    for (std::uint32_t seed = first; seed < first + count; ++seed) {
        const Connections connections = seed % 2 == 0 ? Connections::Sound : Connections::OutlivingRestarts;
        History history(seed, World::Wide, connections, 2 + seed % 4);
        history.run(wideLength);
        history.settle();
        EXPECT_EQ(firstViolation(history), "") << "seed " << seed;
        completed += history.completed;
    }
    EXPECT_GT(completed, static_cast<int>(count) * 10);
}

TEST(PoolHistory, SeedsThatOnceFailedIfCallsReachTheNextIncarnation)
{
    // Guards against starts and acknowledgements that the next incarnation carries out; docs/incidents/0009 has the causes by seed.
    for (const std::uint32_t seed : {1158U, 3195U, 3642U, 71228U}) {
        History history(seed, World::Wide, Connections::OutlivingRestarts);
        history.run(wideLength);
        history.settle();
        EXPECT_EQ(firstViolation(history), "") << "seed " << seed;
    }
    History plain(23319, World::Plain, Connections::OutlivingRestarts);
    plain.run(plainLength);
    EXPECT_EQ(firstViolation(plain), "") << "seed 23319";
}

// Guards against starts of a superseded owner at an incarnation that the new owner has not called yet; docs/incidents/0020.
TEST(PoolHistory, SeedsThatFailIfCallsOfSupersededOwnersReachTheNextIncarnation)
{
    for (const std::uint32_t seed : {101149U, 101611U, 101766U, 137618U, 144142U, 181962U}) {
        History history(seed, World::Plain, Connections::OutlivingOwners);
        history.run(plainLength);
        EXPECT_EQ(firstViolation(history), "") << "seed " << seed;
    }
}

// Guards against runs of an owner that goes on after its successor has taken over, on executors that restart under their ids.
TEST(PoolHistory, NoPromiseIsBrokenIfCallsOfSupersededOwnersReachTheNextIncarnation)
{
    const std::uint32_t first = environmentValue("SEED", 1);
    const std::uint32_t count = environmentValue("HISTORIES", 60);
    int completed = 0;
    for (std::uint32_t seed = first; seed < first + count; ++seed) {
        History history(seed, World::Plain, Connections::OutlivingOwners);
        history.run(plainLength);
        EXPECT_EQ(firstViolation(history), "") << "seed " << seed;
        completed += history.completed;
    }
    EXPECT_GT(completed, static_cast<int>(count) * 10);
}

// Guards against work that waits because an owner that nobody confirms withholds its starts for longer than until its executors answer.
TEST(PoolHistory, WaitingWorkRunsIfStartsAreWithheldWhileTheOwnershipIsUnconfirmed)
{
    const std::uint32_t first = environmentValue("SEED", 1);
    const std::uint32_t count = environmentValue("HISTORIES", 100);
    int completed = 0;
    for (std::uint32_t seed = first; seed < first + count; ++seed) {
        History history(seed, World::Wide, Connections::OutlivingOwners);
        history.run(wideLength);
        history.settle();
        EXPECT_EQ(firstViolation(history), "") << "seed " << seed;
        completed += history.completed;
    }
    EXPECT_GT(completed, static_cast<int>(count) * 10);
}

// Guards against a gang that is given up after one attempt because several of its members have failed in it, also after a takeover.
TEST_F(PoolProgressTest, FailuresOfSeveralMembersInOneRunAreOneFailedAttemptOfTheGang)
{
    this->setDiscovered({executor("one"), executor("two")});
    this->report("one");
    this->report("two");
    StepSpec gang;
    gang.count = 2;
    gang.isGang = true;
    gang.resources = Resources{40000, gigabyte, 0};
    gang.estimate = 1000ms;
    this->add(this->job("gang", gang));
    std::map<std::string, std::int64_t> ends;
    const auto failAll = [this, &ends](const SchedulerOrders &orders) {
        for (const StartOrder &order : orders.starts) {
            const std::string holder = order.executor.id.value;
            this->report(holder, {}, {ReportedEnd{++ends[holder], order.run.item, order.run.run, RunEnd::Failed, {}}});
        }
    };
    const SchedulerOrders first = this->planAndConfirm();
    ASSERT_EQ(first.starts.size(), 2U);
    failAll(first);
    this->plan();
    EXPECT_EQ(this->savedProgress.at(JobId{"gang"}).state, JobState::Running) << "the queue allows two attempts";
    this->scheduler = this->makeScheduler(2, 100'000, TimePoint{});
    this->setDiscovered({executor("one"), executor("two")});
    this->report("one");
    this->report("two");
    this->add(this->job("gang", gang), &this->savedProgress.at(JobId{"gang"}));
    this->advance(600ms);
    const SchedulerOrders second = this->planAndConfirm();
    ASSERT_EQ(second.starts.size(), 2U);
    failAll(second);
    this->plan();
    EXPECT_EQ(this->savedProgress.at(JobId{"gang"}).state, JobState::Failed);
}

// Guards against executors that get one run at a time, each time of a job that fails everywhere, while other work waits.
TEST_F(PoolProgressTest, ItemsThatFailOnSeveralExecutorsDoNotCountAgainstThem)
{
    this->setDiscovered({executor("one"), executor("two")});
    this->report("one");
    this->report("two");
    std::map<std::string, std::int64_t> ends;
    for (const char *id : {"first", "second"}) {
        const AcceptedJob hopeless = this->job(id);
        this->add(hopeless);
        for (int attempt = 0; attempt < 2; ++attempt) {
            const SchedulerOrders orders = this->planAndConfirm();
            ASSERT_EQ(orders.starts.size(), 1U);
            const std::string holder = orders.starts[0].executor.id.value;
            this->report(holder, {}, {ReportedEnd{++ends[holder], orders.starts[0].run.item, orders.starts[0].run.run, RunEnd::Failed, {}}});
            this->advance(600ms);
        }
        this->scheduler->cancelJob(hopeless.id, this->now, this->wall);
    }
    EXPECT_EQ(ends.size(), 2U);
    this->report("one");
    this->report("two");
    StepSpec step;
    step.count = 4;
    step.resources = Resources{4000, gigabyte, 0};
    step.estimate = 1000ms;
    this->add(this->job("other", step));
    EXPECT_EQ(this->planAndConfirm().starts.size(), 4U);
}

// Tests with two executors on which hopeless jobs have failed.
class PoolTrialTest : public PoolProgressTest
{
protected:
    void SetUp() override
    {
        PoolProgressTest::SetUp();
        std::vector<ExecutorInfo> infos;
        for (const std::string &name : this->names) {
            infos.push_back(executor(name));
            infos.back().labels.push_back(name);
        }
        this->setDiscovered(infos);
        for (const std::string &name : this->names) {
            this->report(name);
            this->failTwoJobs(name);
        }
        this->advance(5s);
    }

    void failTwoJobs(const std::string &name)
    {
        for (std::int64_t number = 1; number <= 2; ++number) {
            AcceptedJob hopeless = this->job(name + std::to_string(number));
            hopeless.spec.steps[0].requiredLabel = name;
            this->add(hopeless);
            const SchedulerOrders orders = this->planAndConfirm();
            ASSERT_EQ(orders.starts.size(), 1U);
            this->report(name, {}, {ReportedEnd{number, orders.starts[0].run.item, orders.starts[0].run.run, RunEnd::Failed, {}}});
            this->scheduler->cancelJob(hopeless.id, this->now, this->wall);
            this->advance(600ms);
        }
        this->report(name);
    }

    static StepSpec step(std::int32_t count)
    {
        StepSpec step;
        step.count = count;
        step.resources = Resources{4000, gigabyte, 0};
        step.estimate = 1000ms;
        return step;
    }

    const std::vector<std::string> names{"one", "two"};
};

TEST_F(PoolTrialTest, GangStartsOnExecutorsOnWhichHopelessJobsFailed)
{
    StepSpec gang = step(4);
    gang.isGang = true;
    this->add(this->job("gang", gang));
    EXPECT_EQ(this->runFor(longestWait, this->names).size(), 4U);
}

TEST_F(PoolTrialTest, LastingItemsStartSoonOnExecutorsOnWhichHopelessJobsFailed)
{
    StepSpec lasting = step(14);
    lasting.isLongRunning = true;
    lasting.estimate = 0ms;
    this->add(this->job("lasting", lasting));
    EXPECT_EQ(this->runFor(longestWait, this->names).size(), 14U);
}

TEST_F(PoolTrialTest, GangThatFitsNowhereLeavesTheExecutorsToOtherJobs)
{
    StepSpec gang = step(40);
    gang.isGang = true;
    gang.estimate = 100ms;
    this->add(this->job("gang", gang));
    this->runFor(4s, {});
    this->add(this->job("small"));
    EXPECT_EQ(this->runFor(longestWait, this->names).size(), 1U);
}

}
}
