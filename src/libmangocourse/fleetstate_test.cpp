// The fold: verdicts, budgets, tokens, snapshots.
#include <gtest/gtest.h>

#include <mangocourse/fleetstate.h>

namespace MangoCourse {

namespace {

const PoolId pool{"pool"};
const PoolId other{"other"};

// Builds a state record by record.
class Fold
{
public:
    Fold(int instances, int budget, std::optional<int> margin)
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
    Fold fold(8, 4, 2);
    fold.apply(StartWave{WaveId{"w"}, pool});
    EXPECT_TRUE(fold.apply(GrantMaintenance{WaveId{"w"}, Fold::name(0), {}}).isAccepted());
    EXPECT_TRUE(fold.apply(GrantMaintenance{WaveId{"w"}, Fold::name(1), {}}).isAccepted());
    EXPECT_EQ(fold.apply(GrantMaintenance{WaveId{"w"}, Fold::name(2), {}}).refusal, Refusal::BudgetExhausted);
    EXPECT_EQ(fold.state.pool(pool)->available, 6);
}

TEST(FleetState, DefaultMarginIsTheLargestRack)
{
    const Fold fold(8, 4, std::nullopt);
    EXPECT_EQ(fold.state.margin(pool), 2);
    EXPECT_EQ(fold.state.headroom(pool), 2);
}

TEST(FleetState, DownInstancesCountAgainstTheBudget)
{
    Fold fold(8, 4, 2);
    fold.apply(StartWave{WaveId{"w"}, pool});
    fold.apply(ReportHealth{Fold::name(6), false});
    fold.apply(ReportHealth{Fold::name(7), false});
    EXPECT_EQ(fold.apply(GrantMaintenance{WaveId{"w"}, Fold::name(0), {}}).refusal, Refusal::BudgetExhausted);
    EXPECT_EQ(fold.apply(StartMove{Fold::name(0), pool, other}).refusal, Refusal::BudgetExhausted);
}

TEST(FleetState, SecondRecordWithTheSameIdHasTheFirstVerdictAndNoEffect)
{
    Fold fold(2, 0, 0);
    const Record record{RecordId{"once"}, ChangeSetting{"", "request.timeout_ms", "500", 0}};
    const RecordVerdict first = fold.state.apply(++fold.offset, record);
    const RecordVerdict second = fold.state.apply(++fold.offset, record);
    EXPECT_TRUE(second.isAccepted());
    EXPECT_EQ(second.offset, first.offset);
    EXPECT_EQ(fold.state.settings().revision(), 1);
}

TEST(FleetState, RacingChangesAreSettledByTheExpectedRevision)
{
    Fold fold(2, 0, 0);
    EXPECT_TRUE(fold.apply(ChangeSetting{"", "request.timeout_ms", "500", 0}).isAccepted());
    EXPECT_EQ(fold.apply(ChangeSetting{"", "request.timeout_ms", "700", 0}).refusal, Refusal::StaleRevision);
    EXPECT_EQ(fold.apply(ChangeSetting{"", "request.timeout_ms", "x", 1}).refusal, Refusal::InvalidSetting);
    EXPECT_EQ(fold.state.settings().value("pool/service", "request.timeout_ms"), 500);
}

TEST(FleetState, MaintenanceStepsNeedTheGrantsToken)
{
    Fold fold(4, 1, 0);
    fold.apply(StartWave{WaveId{"w"}, pool});
    const Offset token = fold.apply(GrantMaintenance{WaveId{"w"}, Fold::name(0), {}}).offset;
    EXPECT_EQ(fold.apply(AdvanceMaintenance{Fold::name(0), token - 1, MaintenancePhase::Rebooting}).refusal, Refusal::StaleToken);
    EXPECT_EQ(fold.apply(AdvanceMaintenance{Fold::name(0), token, MaintenancePhase::Returned}).refusal, Refusal::Unchanged);
    EXPECT_TRUE(fold.apply(AdvanceMaintenance{Fold::name(0), token, MaintenancePhase::Rebooting}).isAccepted());
    EXPECT_TRUE(fold.apply(AdvanceMaintenance{Fold::name(0), token, MaintenancePhase::Returned}).isAccepted());
    EXPECT_EQ(fold.apply(GrantMaintenance{WaveId{"w"}, Fold::name(0), {}}).refusal, Refusal::NotInWave);
}

TEST(FleetState, MoveChangesThePoolOnceAndLeavesTheWave)
{
    Fold fold(2, 0, 0);
    fold.apply(StartWave{WaveId{"w"}, pool});
    const Offset move = fold.apply(StartMove{Fold::name(0), pool, other}).offset;
    EXPECT_EQ(fold.apply(GrantMaintenance{WaveId{"w"}, Fold::name(0), {}}).refusal, Refusal::Busy);
    EXPECT_TRUE(fold.apply(FinishMove{Fold::name(0), move, false}).isAccepted());
    EXPECT_EQ(fold.apply(FinishMove{Fold::name(0), move, false}).refusal, Refusal::StaleToken);
    EXPECT_EQ(fold.state.instance(Fold::name(0))->pool, other);
    EXPECT_EQ(fold.state.pool(pool)->members.size(), 1U);
    EXPECT_FALSE(fold.state.waves().at(WaveId{"w"}).remaining.contains(Fold::name(0)));
}

TEST(FleetState, SnapshotGoesOnExactlyWhereItWasTaken)
{
    Fold fold(6, 2, 1);
    fold.apply(StartWave{WaveId{"w"}, pool});
    fold.apply(GrantMaintenance{WaveId{"w"}, Fold::name(0), {}});
    fold.apply(ChangeSetting{"pool", "retry.budget_percent", "5", -1});
    Result<FleetState> restored = FleetState::fromJson(fold.state.toJson());
    ASSERT_TRUE(restored.has_value());
    EXPECT_EQ(restored->toJson(), fold.state.toJson());
    const Record next{RecordId{"r3"}, ReportHealth{Fold::name(5), false}};
    EXPECT_EQ(restored->apply(100, next).offset, fold.state.apply(100, next).offset);
    EXPECT_EQ(restored->toJson(), fold.state.toJson());
}

TEST(FleetState, BrokenSnapshotIsAnErrorAndNotAnEmptyFleet)
{
    EXPECT_EQ(FleetState::fromJson("{\"offset\":1}").error().code, ErrorCode::Decode);
    EXPECT_EQ(FleetState::fromJson("not json").error().code, ErrorCode::Decode);
}

TEST(Record, DecodeNamesWhatIsWrong)
{
    EXPECT_NE(decodeRecord(R"({"id":"x","kind":"start-wave","wave":"w"})").error().message.find("pool"), std::string::npos);
    EXPECT_NE(decodeRecord(R"({"id":"x","kind":"fly"})").error().message.find("fly"), std::string::npos);
    EXPECT_FALSE(decodeRecord("[]").has_value());
    EXPECT_FALSE(decodeRecord("").has_value());
}

}
