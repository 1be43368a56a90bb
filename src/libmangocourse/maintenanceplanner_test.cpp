// What the planner proposes and does at each step of a grant, a move, a failure.
#include <gtest/gtest.h>

#include <mangocourse/maintenanceplanner.h>

namespace MangoCourse {

namespace {

using namespace std::chrono_literals;

const PoolId pool{"pool"};
const PoolId spare{"spare"};
const WaveId wave{"wave"};
const InstanceId first{"i0"};

// A fleet of four instances in one pool with budget 2 and no margin, all live.
class PlannerTest : public testing::Test
{
public:
    PlannerTest()
        : planner(std::move(*MaintenancePlanner::create(ProcessId{"keeper"})))
    {
        PoolSpec spec;
        spec.minAvailable = 2;
        spec.margin = 0;
        this->apply(DefinePool{pool, spec});
        this->apply(DefinePool{spare, PoolSpec{}});
        for (int number = 0; number < 4; ++number) {
            const InstanceId id{"i" + std::to_string(number)};
            this->apply(DefineInstance{id, pool, {DataCentreId{"dc"}, RackId{"r"}, 8, 64}});
            this->listing[id] = ListedInstance{InstanceState::Live, pool, 0, 0, 0};
        }
    }

    Offset apply(RecordBody body)
    {
        ++this->offset;
        this->fleet.apply(this->offset, Record{RecordId{"r" + std::to_string(this->offset)}, std::move(body)});
        return this->offset;
    }
    Offset grantFirst()
    {
        this->apply(StartWave{wave, pool});
        return this->apply(GrantMaintenance{wave, first, {}});
    }
    MaintenancePlan plan()
    {
        return this->planner.plan(this->fleet, this->listing, this->now);
    }
    // Returns the phase that the plan proposes for the first instance.
    std::optional<MaintenancePhase> proposedPhase()
    {
        for (const RecordBody &record : this->plan().records) {
            const auto *advance = std::get_if<AdvanceMaintenance>(&record);
            if (advance != nullptr && advance->instance == first) {
                return advance->phase;
            }
        }
        return std::nullopt;
    }
    // Returns the act that the plan wants on the first instance.
    std::optional<PlatformAction::Kind> plannedAct()
    {
        for (const PlatformAction &action : this->plan().actions) {
            if (action.instance == first) {
                return action.kind;
            }
        }
        return std::nullopt;
    }

    FleetState fleet;
    InstanceListing listing;
    MaintenancePlanner planner;
    Offset offset = 0;
    TimePoint now{100s};
};

}

TEST_F(PlannerTest, GrantsUpToTheHeadroom)
{
    this->apply(StartWave{wave, pool});
    EXPECT_EQ(this->plan().records.size(), 2U);
    this->apply(ChangeSetting{"pool", "maintenance.enabled", "0", -1});
    EXPECT_TRUE(this->plan().records.empty());
}

TEST_F(PlannerTest, GrantGoesFromDrainOverRebootToReturned)
{
    const Offset token = this->grantFirst();
    EXPECT_EQ(this->plannedAct(), PlatformAction::Kind::Drain);
    this->listing[first] = {InstanceState::Drained, pool, token, 0, 0};
    EXPECT_EQ(this->proposedPhase(), MaintenancePhase::Rebooting);
    this->apply(AdvanceMaintenance{first, token, MaintenancePhase::Rebooting});
    EXPECT_EQ(this->plannedAct(), PlatformAction::Kind::Reboot);
    this->listing[first] = {InstanceState::Rebooting, pool, token, 0, 0};
    EXPECT_EQ(this->plannedAct(), std::nullopt);
    this->listing[first] = {InstanceState::Live, pool, token, token, token};
    EXPECT_EQ(this->proposedPhase(), MaintenancePhase::Returned);
}

TEST_F(PlannerTest, HandsBackOnlyAfterTheTokenIsClosed)
{
    const Offset token = this->grantFirst();
    (void)this->plan();
    this->now += 61s;
    EXPECT_EQ(this->plannedAct(), PlatformAction::Kind::Undrain);
    EXPECT_EQ(this->proposedPhase(), std::nullopt) << "a late drain could still arrive";
    this->listing[first].closedToken = token;
    EXPECT_EQ(this->proposedPhase(), MaintenancePhase::HandedBack);
}

TEST_F(PlannerTest, HandsBackWhenFailuresEatTheBudget)
{
    this->grantFirst();
    for (const char *name : {"i1", "i2", "i3"}) {
        this->apply(ReportHealth{InstanceId{name}, false});
    }
    EXPECT_EQ(this->plannedAct(), PlatformAction::Kind::Undrain);
}

TEST_F(PlannerTest, MoveFinishesLiveInTheNewPool)
{
    const Offset token = this->apply(StartMove{first, pool, spare});
    EXPECT_EQ(this->plannedAct(), PlatformAction::Kind::Drain);
    this->listing[first] = {InstanceState::Drained, pool, token, 0, 0};
    EXPECT_EQ(this->plannedAct(), PlatformAction::Kind::Relabel);
    this->listing[first].pool = spare;
    EXPECT_EQ(this->plannedAct(), PlatformAction::Kind::Undrain);
    this->listing[first] = {InstanceState::Live, spare, token, 0, token};
    const MaintenancePlan plan = this->plan();
    ASSERT_EQ(plan.records.size(), 1U);
    EXPECT_FALSE(std::get<FinishMove>(plan.records.front()).cancelled);
}

TEST_F(PlannerTest, ReportsDownAndMissingInstances)
{
    this->listing[first].state = InstanceState::Down;
    this->listing.erase(InstanceId{"i1"});
    EXPECT_EQ(this->plan().records.size(), 1U) << "a hole in the list alone is no failure";
    this->now += 6s;
    EXPECT_EQ(this->plan().records.size(), 2U);
}

TEST_F(PlannerTest, RecheckRefusesActsOfEndedGrants)
{
    const Offset token = this->grantFirst();
    const PlatformAction drain{PlatformAction::Kind::Drain, first, token, {}};
    const PlatformAction reboot{PlatformAction::Kind::Reboot, first, token, {}};
    EXPECT_TRUE(MaintenancePlanner::isStillAllowed(this->fleet, drain));
    EXPECT_FALSE(MaintenancePlanner::isStillAllowed(this->fleet, reboot));
    this->apply(AdvanceMaintenance{first, token, MaintenancePhase::HandedBack});
    EXPECT_FALSE(MaintenancePlanner::isStillAllowed(this->fleet, drain));
    EXPECT_FALSE(MaintenancePlanner::isStillAllowed(this->fleet, reboot));
}

TEST_F(PlannerTest, ExplainsWhatAWaveWaitsFor)
{
    this->grantFirst();
    EXPECT_NE(explainWave(this->fleet, wave).summary.find("1 instances are draining"), std::string::npos);
    this->apply(ControlWave{wave, WaveAction::Pause});
    EXPECT_NE(explainWave(this->fleet, wave).summary.find("wave resume"), std::string::npos);
    EXPECT_EQ(explainWave(this->fleet, WaveId{"none"}).summary, "there is no such wave");
}

}
