// The planner of the machines on a virtual clock.
#include <mangocourse/fleetplanner.h>

#include <gtest/gtest.h>

#include <set>

namespace MangoCourse {
namespace {

using namespace std::chrono_literals;

class FleetPlannerTest : public testing::Test
{
protected:
    void SetUp() override
    {
        this->config.revision = 1;
        this->config.services.emplace(ServiceId{"desk"}, ServiceConfig{ServiceId{"desk"}, {}, 64, true, false});
        this->config.services.emplace(ServiceId{"shop"}, ServiceConfig{ServiceId{"shop"}, {}, 64, true, false});
        this->config.services.emplace(ServiceId{"parked"}, ServiceConfig{ServiceId{"parked"}, {}, 64, true, true});
        this->planner = std::move(*FleetPlanner::create(PlannerSettings{}, PlannerState{}));
        this->planner->setConfig(this->config);
    }

    void machine(const std::string &name, const std::string &pool, MachineState state = MachineState::Up)
    {
        MachineInfo info;
        info.id = MachineId{name};
        info.pool = ServiceId{pool};
        info.state = state;
        info.capacity = Resources{64000, 1000, 0};
        info.executor = ExecutorId{"x-" + name};
        std::erase_if(this->machines, [&info](const MachineInfo &known) {
            return known.id == info.id;
        });
        this->machines.push_back(info);
    }

    void list()
    {
        this->planner->setMachines(this->machines, this->now);
    }

    // A report of a pool in which nothing runs on the machines named.
    PoolReport report(const std::string &pool, const std::vector<std::string> &names)
    {
        PoolReport report;
        report.service = ServiceId{pool};
        report.token = 1;
        report.number = ++this->number;
        report.appliedEvacuationNumber = this->planner->state().number;
        for (const std::string &name : names) {
            report.executors.push_back(ExecutorUsage{ExecutorId{"x-" + name}, 7, 0, 0, true});
        }
        return report;
    }

    void tell(const PoolReport &report)
    {
        this->planner->setReport(report, this->now);
    }

    void wave(const std::vector<std::string> &names, std::int32_t parallel)
    {
        MaintenanceWave wave;
        wave.id = WaveId{"1"};
        for (const std::string &name : names) {
            wave.machines.push_back(MachineId{name});
        }
        wave.parallel = parallel;
        wave.duration = 30s;
        this->planner->setWaves({{wave.id, wave}}, this->wall);
    }

    PlannerOrders plan()
    {
        return this->planner->plan(this->now, this->wall);
    }

    void advance(std::chrono::milliseconds time)
    {
        this->now += time;
        this->wall += time;
    }

    FleetConfig config;
    std::unique_ptr<FleetPlanner> planner;
    std::vector<MachineInfo> machines;
    std::int64_t number = 0;
    TimePoint now{100s};
    WallTime wall{1'000'000s};
};

TEST_F(FleetPlannerTest, MaintainsOnlyWhatItsOwnerReportsEmptyUnderTheCurrentList)
{
    this->machine("one", "desk");
    this->machine("two", "desk");
    this->machine("three", "desk");
    this->list();
    this->tell(this->report("desk", {"one", "two", "three"}));
    this->wave({"one"}, 1);
    EXPECT_TRUE(this->plan().maintain.empty());
    EXPECT_EQ(this->planner->state().evacuations.size(), 1U);
    PoolReport busy = this->report("desk", {"one", "two", "three"});
    busy.executors[0].runs = 1;
    this->tell(busy);
    EXPECT_TRUE(this->plan().maintain.empty());
    PoolReport outdated = this->report("desk", {"one", "two", "three"});
    --outdated.appliedEvacuationNumber;
    this->tell(outdated);
    EXPECT_TRUE(this->plan().maintain.empty());
    this->tell(this->report("desk", {"one", "two", "three"}));
    EXPECT_EQ(this->plan().maintain.size(), 1U);
    EXPECT_TRUE(this->plan().maintain.empty());
}

TEST_F(FleetPlannerTest, AnExecutorThatItsOwnerHasNotReachedIsNotEmpty)
{
    this->machine("one", "desk");
    this->machine("two", "desk");
    this->machine("three", "desk");
    this->list();
    this->tell(this->report("desk", {"one", "two", "three"}));
    this->wave({"one"}, 1);
    this->plan();
    PoolReport fresh = this->report("desk", {"one", "two", "three"});
    fresh.executors[0].isReachable = false;
    this->tell(fresh);
    EXPECT_TRUE(this->plan().maintain.empty());
}

TEST_F(FleetPlannerTest, NeverMaintainsMoreMachinesThanTheWaveAllows)
{
    std::vector<std::string> names;
    for (int index = 0; index < 8; ++index) {
        names.push_back("m" + std::to_string(index));
        this->machine(names.back(), "parked");
    }
    this->list();
    this->wave(names, 3);
    std::size_t ordered = 0;
    for (int round = 0; round < 4; ++round) {
        for (const Evacuation &order : this->plan().maintain) {
            this->planner->onMaintenanceOutcome(order, true, false, this->now);
            ++ordered;
        }
        this->advance(20ms);
    }
    EXPECT_EQ(ordered, 3U);
}

TEST_F(FleetPlannerTest, AMachineThatReturnsUnderItsOldIdFreesItsPlaceInTheWave)
{
    this->machine("one", "parked");
    this->machine("two", "parked");
    this->list();
    this->wave({"one", "two"}, 1);
    std::set<MachineId> begun;
    for (int round = 0; round < 40; ++round) {
        for (const Evacuation &order : this->plan().maintain) {
            this->planner->onMaintenanceOutcome(order, true, false, this->now);
            begun.insert(order.machine);
        }
        this->advance(200ms);
        this->list();
    }
    EXPECT_EQ(begun.size(), 2U);
    EXPECT_TRUE(this->planner->state().waves.at(WaveId{"1"}).isCompleted);
}

TEST_F(FleetPlannerTest, MovesParkedMachinesToWhereWorkPilesUp)
{
    this->machine("one", "desk");
    this->machine("two", "desk");
    this->machine("spare", "parked");
    this->list();
    PoolReport report = this->report("desk", {"one", "two"});
    report.inflow = 150'000;
    this->tell(report);
    this->plan();
    const PlannerOrders orders = this->plan();
    ASSERT_EQ(orders.move.size(), 1U);
    EXPECT_EQ(orders.move[0].target, ServiceId{"desk"});
    EXPECT_EQ(orders.move[0].machine, MachineId{"spare"});
}

TEST_F(FleetPlannerTest, LaterChangesOfTheListDoNotHoldUpAMachineThatItsOwnerHasEmptied)
{
    for (const char *name : {"d1", "d2", "d3", "d4", "d5", "d6"}) {
        this->machine(name, "desk");
    }
    this->list();
    this->tell(this->report("desk", {"d1", "d2", "d3", "d4", "d5", "d6"}));
    this->wave({"d1"}, 2);
    this->plan();
    ASSERT_EQ(this->planner->state().evacuations.size(), 1U);
    const PoolReport emptied = this->report("desk", {"d1", "d2", "d3", "d4", "d5", "d6"});
    this->wave({"d1", "d2"}, 2);
    this->plan();
    ASSERT_EQ(this->planner->state().evacuations.size(), 2U);
    // The owner follows the list with the first machine, not yet the one with the second.
    this->tell(emptied);
    const PlannerOrders orders = this->plan();
    ASSERT_EQ(orders.maintain.size(), 1U);
    EXPECT_EQ(orders.maintain[0].machine, MachineId{"d1"});
}

TEST_F(FleetPlannerTest, MachinesOfAnEarlierPlannersLastOrdersWaitWhileOthersAreTaken)
{
    this->planner = std::move(*FleetPlanner::create(PlannerSettings{}, PlannerState{}, {{MachineId{"p1"}, this->now + 3s}}));
    this->planner->setConfig(this->config);
    for (const char *name : {"d1", "d2"}) {
        this->machine(name, "desk");
    }
    for (const char *name : {"p1", "p2"}) {
        this->machine(name, "parked");
    }
    this->list();
    const auto tellNeed = [this] {
        PoolReport report = this->report("desk", {"d1", "d2"});
        report.inflow = 200'000;
        report.backlog = 200'000;
        this->tell(report);
    };
    tellNeed();
    this->plan();
    const PlannerOrders first = this->plan();
    ASSERT_EQ(first.move.size(), 1U);
    EXPECT_EQ(first.move[0].machine.value, "p2");
    this->advance(3100ms);
    this->list();
    tellNeed();
    this->plan();
    const PlannerOrders later = this->plan();
    EXPECT_TRUE(std::any_of(later.move.begin(), later.move.end(), [](const Evacuation &order) {
        return order.machine.value == "p1";
    }));
}

TEST_F(FleetPlannerTest, LateWorkOfOnePoolDoesNotHoldWhatAFreshBurstNeeds)
{
    for (int index = 0; index < 10; ++index) {
        this->machine("d" + std::to_string(index), "desk");
    }
    this->machine("s0", "shop");
    this->machine("s1", "shop");
    this->list();
    PoolReport late = this->report("desk", {"d0", "d1", "d2", "d3", "d4", "d5", "d6", "d7", "d8", "d9"});
    late.lateBacklog = 2'000'000;
    this->tell(late);
    PoolReport burst = this->report("shop", {"s0", "s1"});
    burst.inflow = 400'000;
    this->tell(burst);
    this->plan();
    std::size_t toShop = 0;
    for (const Evacuation &evacuation : this->planner->state().evacuations) {
        toShop += evacuation.target == ServiceId{"shop"} ? 1 : 0;
    }
    EXPECT_GE(toShop, 4U);
}

// Load: a wave over machines that hold long-running work. It moves item by item, so it has to begin at once, and few machines at a time.
TEST_F(FleetPlannerTest, AWaveBeginsWithMachinesThatHoldLongRunningWork)
{
    std::vector<std::string> names;
    for (int index = 0; index < 12; ++index) {
        names.push_back("d" + std::to_string(index));
        this->machine(names.back(), "desk");
    }
    this->list();
    PoolReport report = this->report("desk", names);
    for (const std::size_t holder : {6U, 7U, 8U, 9U, 10U}) {
        report.executors[holder].runs = 2;
        report.executors[holder].longRunning = 2;
    }
    report.spread = 4;
    this->tell(report);
    this->wave(names, 12);
    this->plan();
    std::set<std::string> first;
    for (const Evacuation &evacuation : this->planner->state().evacuations) {
        first.insert(evacuation.machine.value);
    }
    for (const char *holder : {"d6", "d7", "d8", "d9"}) {
        EXPECT_TRUE(first.contains(holder)) << holder;
    }
    EXPECT_FALSE(first.contains("d10"));
}

// Load: a wave that allows many machines at once meets a burst. It takes no machine that the burst needs while there is time.
TEST_F(FleetPlannerTest, AWaveWithTimeLeftTakesNoMachineThatABurstNeeds)
{
    std::vector<std::string> names;
    for (int index = 0; index < 10; ++index) {
        names.push_back("d" + std::to_string(index));
        this->machine(names.back(), "desk");
    }
    this->list();
    PoolReport report = this->report("desk", names);
    report.inflow = 10 * 64'000;
    this->tell(report);
    this->wave(names, 10);
    this->plan();
    EXPECT_TRUE(this->planner->state().evacuations.empty());
    this->advance(25s);
    report = this->report("desk", names);
    report.inflow = 10 * 64'000;
    this->tell(report);
    this->list();
    this->plan();
    EXPECT_FALSE(this->planner->state().evacuations.empty());
}

}
}
