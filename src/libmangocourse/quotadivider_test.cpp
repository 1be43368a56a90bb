// Tests of the planner's division of an account's limit between pools.
#include "quotadivision_test.h"

namespace MangoCourse {
namespace {

using namespace std::chrono_literals;

class QuotaDividerTest : public testing::Test
{
protected:
    // Plans once and has all pools report that they have applied the division.
    void planAndApply(const std::map<ServiceId, AccountDemand> &demands)
    {
        for (const QuotaDivision &division : this->divider.plan(this->now)) {
            this->applied = division.number;
            ++this->records;
        }
        for (const auto &[pool, demand] : demands) {
            this->divider.setReport(makeReport(pool, ++this->number, this->applied, demand.running, demand.wanted, demand.largest), this->now);
        }
        this->now += 100ms;
    }

    Resources shareOfPool(const ServiceId &pool) const
    {
        return this->divider.divisions().at(account).shares.at(pool).share;
    }

    const ServiceId a{"a"};
    const ServiceId b{"b"};
    QuotaDivider divider = std::move(*QuotaDivider::create({}));
    TimePoint now{100s};
    std::int64_t applied = 0;
    std::int64_t number = 0;
    int records = 0;
};

// An idle share has to reach the pool that needs it, but not before its holder has confirmed that it acts on less.
TEST_F(QuotaDividerTest, IdleShareMovesOnceItsHolderHasConfirmedTheLowerOne)
{
    this->divider.setConfig(makeConfig({this->a, this->b}, Resources{10000, 0, 0}));
    this->planAndApply({{this->a, {}}, {this->b, {}}});
    EXPECT_EQ(this->shareOfPool(this->a).cpu, 5000);
    const Resources all{10000, 0, 0};
    this->divider.setReport(makeReport(this->a, ++this->number, this->applied, {}, all, {1000, 0, 0}), this->now);
    const auto lowered = this->divider.plan(this->now);
    ASSERT_EQ(lowered.size(), 1U);
    EXPECT_EQ(lowered.front().shares.at(this->b).share.cpu, 0);
    EXPECT_EQ(lowered.front().shares.at(this->b).held.cpu, 5000);
    EXPECT_EQ(lowered.front().shares.at(this->a).share.cpu, 5000);
    this->divider.setReport(makeReport(this->b, ++this->number, lowered.front().number, {2000, 0, 0}, {2000, 0, 0}), this->now);
    this->divider.plan(this->now);
    EXPECT_LE(this->shareOfPool(this->a).cpu, 8000);
    EXPECT_GT(this->shareOfPool(this->a).cpu, 5000);
}

// Two pools that each hold half of what their items need would wait for each other forever.
TEST_F(QuotaDividerTest, LargeItemsOfTwoPoolsGetTheLimitInTurn)
{
    this->divider.setConfig(makeConfig({this->a, this->b}, Resources{10000, 0, 0}));
    const AccountDemand demand{account, {}, {80000, 0, 0}, {8000, 0, 0}};
    int turnsOfA = 0;
    int turnsOfB = 0;
    for (int round = 0; round < 200; ++round) {
        this->planAndApply({{this->a, demand}, {this->b, demand}});
        turnsOfA += this->shareOfPool(this->a).cpu >= 8000 ? 1 : 0;
        turnsOfB += this->shareOfPool(this->b).cpu >= 8000 ? 1 : 0;
    }
    EXPECT_GT(turnsOfA, 60);
    EXPECT_GT(turnsOfB, 60);
}

// A want just above the equal part would never be served, however idle the other pools are.
TEST_F(QuotaDividerTest, SmallWantBeyondTheShareIsServedIfTheRestIsIdle)
{
    const ServiceId c{"c"};
    const ServiceId d{"d"};
    this->divider.setConfig(makeConfig({this->a, this->b, c, d}, Resources{256000, 0, 0}));
    const AccountDemand full{account, {64000, 0, 0}, {67000, 0, 0}, {1000, 0, 0}};
    for (int round = 0; round < 20; ++round) {
        this->planAndApply({{this->a, full}, {this->b, {}}, {c, {}}, {d, {}}});
    }
    EXPECT_GE(this->shareOfPool(this->a).cpu, 67000);
}

// An item that lasting runs of another pool keep from starting would take that pool's share for ever.
TEST_F(QuotaDividerTest, TurnOfAnItemThatCannotBeCoveredEnds)
{
    this->divider.setConfig(makeConfig({this->a, this->b}, Resources{16000, 0, 0}));
    const AccountDemand lasting{account, {10000, 0, 0}, {13000, 0, 0}, {1000, 0, 0}};
    const AccountDemand large{account, {}, {16000, 0, 0}, {16000, 0, 0}};
    int turnsOfA = 0;
    int servedB = 0;
    for (int round = 0; round < 300; ++round) {
        this->planAndApply({{this->a, large}, {this->b, lasting}});
        turnsOfA += this->shareOfPool(this->a).cpu >= 6000 ? 1 : 0;
        servedB += this->shareOfPool(this->b).cpu >= 13000 ? 1 : 0;
    }
    EXPECT_GT(turnsOfA, 100);
    EXPECT_GT(servedB, 100);
}

// The earlier bounds of the pools say nothing about memory, so each pool would count as holding all of it.
TEST_F(QuotaDividerTest, NewlyLimitedResourceIsFreedByPoolsThatGetNothingOfIt)
{
    this->divider.setConfig(makeConfig({this->a, this->b}, Resources{10000, 0, 0}));
    this->planAndApply({{this->a, {}}, {this->b, {}}});
    this->planAndApply({{this->a, {}}, {this->b, {}}});
    const AccountDemand cpu{account, {5000, 0, 0}, {5000, 0, 0}, {}};
    const AccountDemand memory{account, {}, {5000, 64000, 0}, {1000, 1000, 0}};
    this->planAndApply({{this->a, cpu}, {this->b, memory}});
    this->divider.setConfig(makeConfig({this->a, this->b}, Resources{10000, 64000, 0}));
    for (int round = 0; round < 10; ++round) {
        this->planAndApply({{this->a, cpu}, {this->b, memory}});
    }
    EXPECT_EQ(this->shareOfPool(this->b).memory, 64000);
}

// A planner that cannot read the newest record would use its number again, and owners would seem to have applied what they have not read.
TEST_F(QuotaDividerTest, NumbersThatPoolsHaveAppliedAreNotUsedAgain)
{
    this->divider.setConfig(makeConfig({this->a, this->b}, Resources{10000, 0, 0}));
    this->divider.setReport(makeReport(this->a, 1, 7, {}, {}), this->now);
    const auto divisions = this->divider.plan(this->now);
    ASSERT_EQ(divisions.size(), 1U);
    EXPECT_EQ(divisions.front().number, 8);
}

// Division records would be written on each change of the demand otherwise.
TEST_F(QuotaDividerTest, NothingChangesWhileWantedUseFitsTheShares)
{
    this->divider.setConfig(makeConfig({this->a, this->b}, Resources{10000, 64000, 0}));
    this->planAndApply({{this->a, {}}, {this->b, {}}});
    this->planAndApply({{this->a, {}}, {this->b, {}}});
    const int before = this->records;
    for (int round = 0; round < 50; ++round) {
        const Resources wanted{100 * round, 600 * round, 0};
        this->planAndApply({{this->a, {account, wanted, wanted, {}}}, {this->b, {account, {}, {4900 - 100 * round, 0, 0}, {}}}});
    }
    EXPECT_EQ(this->records, before);
}

// A raised limit would stay unused, a lowered one would not take effect.
TEST_F(QuotaDividerTest, SharesFollowTheLimit)
{
    this->divider.setConfig(makeConfig({this->a, this->b}, Resources{10000, 0, 0}));
    this->planAndApply({{this->a, {}}, {this->b, {}}});
    this->divider.setConfig(makeConfig({this->a, this->b}, Resources{20000, 0, 0}));
    this->planAndApply({{this->a, {}}, {this->b, {}}});
    EXPECT_EQ(this->shareOfPool(this->a).cpu, 10000);
    this->divider.setConfig(makeConfig({this->a, this->b}, Resources{6000, 0, 0}));
    for (int round = 0; round < 4; ++round) {
        this->planAndApply({{this->a, {}}, {this->b, {}}});
    }
    EXPECT_EQ(this->shareOfPool(this->a).cpu, 3000);
    EXPECT_EQ(this->shareOfPool(this->b).cpu, 3000);
}

// A pool that has left the configuration would keep a part of the limit forever.
TEST_F(QuotaDividerTest, ShareOfARemovedPoolIsReturned)
{
    this->divider.setConfig(makeConfig({this->a, this->b}, Resources{10000, 0, 0}));
    this->planAndApply({{this->a, {}}, {this->b, {}}});
    this->divider.setConfig(makeConfig({this->a}, Resources{10000, 0, 0}));
    const AccountDemand demand{account, {}, {20000, 0, 0}, {1000, 0, 0}};
    for (int round = 0; round < 290; ++round) {
        this->planAndApply({{this->a, demand}});
    }
    EXPECT_LT(this->shareOfPool(this->a).cpu, 10000);
    for (int round = 0; round < 30; ++round) {
        this->planAndApply({{this->a, demand}});
    }
    EXPECT_EQ(this->shareOfPool(this->a).cpu, 10000);
    EXPECT_FALSE(this->divider.divisions().at(account).shares.contains(this->b));
}

}
}
