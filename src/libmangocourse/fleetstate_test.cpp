// Tests of FleetState and of the decoding of records: verdicts, budgets, fencing tokens, snapshots.
#include <gtest/gtest.h>

#include <mangocourse/fleetstate.h>

namespace MangoCourse {

namespace {

const PoolId pool{"pool"};
const PoolId other{"other"};

// A fleet with one pool of two instances a rack and an empty other pool; applies records at consecutive offsets.
class TestFleet
{
public:
    TestFleet(int instances, int budget, std::optional<int> margin)
    {
        PoolSpec spec;
        spec.minAvailable = budget;
        spec.margin = margin;
        this->apply(DefinePool{pool, spec});
        this->apply(DefinePool{other, PoolSpec{}});
        for (int number = 0; number < instances; ++number) {
            this->apply(DefineInstance{name(number), pool, {DataCentreId{"dc"}, RackId{"rack-" + std::to_string(number / 2)}, 8, 64}});
        }
    }

    RecordVerdict apply(RecordBody body)
    {
        ++this->offset;
        return this->state.apply(this->offset, Record{RecordId{"r" + std::to_string(this->offset)}, std::move(body)});
    }

    static InstanceId name(int number)
    {
        return InstanceId{"i" + std::to_string(number)};
    }

    FleetState state;
    Offset offset = 0;
};

}

TEST(FleetState, RefusesGrantsBeyondBudgetAndMargin)
{
    TestFleet fleet(8, 4, 2);
    fleet.apply(StartWave{WaveId{"w"}, pool});
    EXPECT_TRUE(fleet.apply(GrantMaintenance{WaveId{"w"}, TestFleet::name(0), {}}).isAccepted());
    EXPECT_TRUE(fleet.apply(GrantMaintenance{WaveId{"w"}, TestFleet::name(1), {}}).isAccepted());
    EXPECT_EQ(fleet.apply(GrantMaintenance{WaveId{"w"}, TestFleet::name(2), {}}).refusal, Refusal::BudgetExhausted);
    EXPECT_EQ(fleet.state.pool(pool)->available, 6);
}

TEST(FleetState, DefaultMarginIsTheLargestRack)
{
    const TestFleet fleet(8, 4, std::nullopt);
    EXPECT_EQ(fleet.state.margin(pool), 2);
    EXPECT_EQ(fleet.state.headroom(pool), 2);
}

TEST(FleetState, DownInstancesCountAgainstTheBudget)
{
    TestFleet fleet(8, 4, 2);
    fleet.apply(StartWave{WaveId{"w"}, pool});
    fleet.apply(ReportHealth{TestFleet::name(6), false});
    fleet.apply(ReportHealth{TestFleet::name(7), false});
    EXPECT_EQ(fleet.apply(GrantMaintenance{WaveId{"w"}, TestFleet::name(0), {}}).refusal, Refusal::BudgetExhausted);
    EXPECT_EQ(fleet.apply(StartMove{TestFleet::name(0), pool, other}).refusal, Refusal::BudgetExhausted);
}

TEST(FleetState, DuplicateRecordHasTheFirstVerdictAndNoEffect)
{
    TestFleet fleet(2, 0, 0);
    const Record record{RecordId{"once"}, ChangeSetting{"", "request.timeout_ms", "500", 0}};
    const RecordVerdict first = fleet.state.apply(++fleet.offset, record);
    const RecordVerdict second = fleet.state.apply(++fleet.offset, record);
    EXPECT_TRUE(second.isAccepted());
    EXPECT_EQ(second.offset, first.offset);
    EXPECT_EQ(fleet.state.settings().revision(), 1);
}

TEST(FleetState, ConcurrentSettingChangesRequireTheExpectedRevision)
{
    TestFleet fleet(2, 0, 0);
    EXPECT_TRUE(fleet.apply(ChangeSetting{"", "request.timeout_ms", "500", 0}).isAccepted());
    EXPECT_EQ(fleet.apply(ChangeSetting{"", "request.timeout_ms", "700", 0}).refusal, Refusal::StaleRevision);
    EXPECT_EQ(fleet.apply(ChangeSetting{"", "request.timeout_ms", "x", 1}).refusal, Refusal::InvalidSetting);
    EXPECT_EQ(fleet.state.settings().value("pool/service", "request.timeout_ms"), 500);
}

TEST(FleetState, MaintenancePhasesRequireTheGrantsToken)
{
    TestFleet fleet(4, 1, 0);
    fleet.apply(StartWave{WaveId{"w"}, pool});
    const Offset token = fleet.apply(GrantMaintenance{WaveId{"w"}, TestFleet::name(0), {}}).offset;
    EXPECT_EQ(fleet.apply(AdvanceMaintenance{TestFleet::name(0), token - 1, MaintenancePhase::Rebooting}).refusal, Refusal::StaleToken);
    EXPECT_EQ(fleet.apply(AdvanceMaintenance{TestFleet::name(0), token, MaintenancePhase::Returned}).refusal, Refusal::Unchanged);
    EXPECT_TRUE(fleet.apply(AdvanceMaintenance{TestFleet::name(0), token, MaintenancePhase::Rebooting}).isAccepted());
    EXPECT_TRUE(fleet.apply(AdvanceMaintenance{TestFleet::name(0), token, MaintenancePhase::Returned}).isAccepted());
    EXPECT_EQ(fleet.apply(GrantMaintenance{WaveId{"w"}, TestFleet::name(0), {}}).refusal, Refusal::NotInWave);
}

TEST(FleetState, MoveChangesThePoolOnceAndRemovesTheInstanceFromTheWave)
{
    TestFleet fleet(2, 0, 0);
    fleet.apply(StartWave{WaveId{"w"}, pool});
    const Offset move = fleet.apply(StartMove{TestFleet::name(0), pool, other}).offset;
    EXPECT_EQ(fleet.apply(GrantMaintenance{WaveId{"w"}, TestFleet::name(0), {}}).refusal, Refusal::Busy);
    EXPECT_TRUE(fleet.apply(FinishMove{TestFleet::name(0), move, false}).isAccepted());
    EXPECT_EQ(fleet.apply(FinishMove{TestFleet::name(0), move, false}).refusal, Refusal::StaleToken);
    EXPECT_EQ(fleet.state.instance(TestFleet::name(0))->pool, other);
    EXPECT_EQ(fleet.state.pool(pool)->members.size(), 1U);
    EXPECT_FALSE(fleet.state.waves().at(WaveId{"w"}).remaining.contains(TestFleet::name(0)));
}

TEST(FleetState, RestoredSnapshotContinuesLikeTheOriginal)
{
    TestFleet fleet(6, 2, 1);
    fleet.apply(StartWave{WaveId{"w"}, pool});
    fleet.apply(GrantMaintenance{WaveId{"w"}, TestFleet::name(0), {}});
    fleet.apply(ChangeSetting{"pool", "retry.budget_percent", "5", -1});
    Result<FleetState> restored = FleetState::fromJson(fleet.state.toJson());
    ASSERT_TRUE(restored.has_value());
    EXPECT_EQ(restored->toJson(), fleet.state.toJson());
    const Record next{RecordId{"r3"}, ReportHealth{TestFleet::name(5), false}};
    EXPECT_EQ(restored->apply(100, next).offset, fleet.state.apply(100, next).offset);
    EXPECT_EQ(restored->toJson(), fleet.state.toJson());
}

TEST(FleetState, InvalidSnapshotIsAnErrorAndNotAnEmptyFleet)
{
    EXPECT_EQ(FleetState::fromJson("{\"offset\":1}").error().code, ErrorCode::Decode);
    EXPECT_EQ(FleetState::fromJson("not json").error().code, ErrorCode::Decode);
}

TEST(Record, DecodeErrorNamesTheInvalidField)
{
    EXPECT_NE(decodeRecord(R"({"id":"x","kind":"start-wave","wave":"w"})").error().message.find("pool"), std::string::npos);
    EXPECT_NE(decodeRecord(R"({"id":"x","kind":"fly"})").error().message.find("fly"), std::string::npos);
    EXPECT_FALSE(decodeRecord("[]").has_value());
    EXPECT_FALSE(decodeRecord("").has_value());
}

}
