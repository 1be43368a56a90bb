// Tests of DemandForecast on simulated time.
#include <mangocourse/demandforecast.h>

#include <gtest/gtest.h>

namespace MangoCourse {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

class DemandForecastTest : public testing::Test
{
protected:
    // Adds samples of the rate every 100 ms for the time.
    void add(std::int64_t rate, milliseconds time)
    {
        for (milliseconds passed{0}; passed < time; passed += 100ms) {
            this->now += 100ms;
            this->forecast.addSample(this->pool, rate, this->now);
        }
    }

    void addTurns(int count, milliseconds quiet = 12s)
    {
        for (int turn = 0; turn < count; ++turn) {
            this->add(10'000, quiet);
            this->add(900'000, 4s);
        }
    }

    std::optional<ExpectedDemand> expected() const
    {
        return this->forecast.expected(this->pool, this->now);
    }

    DemandForecast forecast;
    ServiceId pool{"desk"};
    TimePoint now{100s};
};

TEST_F(DemandForecastTest, KnowsNothingUntilFourTurnsAgree)
{
    this->addTurns(3);
    this->add(10'000, 5s);
    EXPECT_FALSE(this->expected());
    this->add(10'000, 7s);
    const TimePoint fourth = this->now + 100ms;
    this->add(900'000, 4s);
    this->add(10'000, 2s);
    const auto expected = this->expected();
    ASSERT_TRUE(expected);
    EXPECT_FALSE(expected->isHigh);
    EXPECT_EQ(expected->rise, fourth + 16s);
    EXPECT_EQ(expected->turnRate, 900'000);
    EXPECT_EQ(expected->rateAt(expected->rise + 1s), 900'000);
    EXPECT_LT(expected->rateAt(expected->rise - 1s), 20'000);
    EXPECT_GE(expected->spread, 100ms);
}

// Pools that take turns share an interval, so that each of them needs fewer turns of its own.
TEST_F(DemandForecastTest, PoolWithTwoTurnsTakesTheIntervalOfOthers)
{
    for (milliseconds passed{0}; passed < 40s; passed += 100ms) {
        this->now += 100ms;
        for (int pool = 0; pool < 3; ++pool) {
            const auto phase = (passed + 16s - 2s - pool * 4s) % 16s;
            this->forecast.addSample(ServiceId{std::to_string(pool)}, phase < 4s && passed >= 2s + pool * 4s ? 900'000 : 10'000, this->now);
        }
    }
    EXPECT_TRUE(this->forecast.expected(ServiceId{"0"}, this->now));
    EXPECT_TRUE(this->forecast.expected(ServiceId{"2"}, this->now));
}

TEST_F(DemandForecastTest, TurnThatDoesNotComeOrDoesNotEndEndsThePattern)
{
    this->addTurns(5);
    this->add(10'000, 12s);
    EXPECT_TRUE(this->expected());
    this->add(10'000, 3s);
    EXPECT_FALSE(this->expected());
    this->addTurns(5);
    EXPECT_TRUE(this->expected());
    this->add(900'000, 4s);
    EXPECT_FALSE(this->expected());
}

// A reader that begins late, or misses reports, does not know when the turn began that it sees.
TEST_F(DemandForecastTest, TurnsAroundMissingSamplesDoNotCount)
{
    this->addTurns(5);
    EXPECT_TRUE(this->expected());
    this->now += 3s;
    EXPECT_FALSE(this->expected());
    this->add(10'000, 12s);
    this->addTurns(2);
    EXPECT_FALSE(this->expected());
}

TEST_F(DemandForecastTest, IrregularAndShortTurnsAreNoPattern)
{
    for (const milliseconds quiet : {7s, 12s, 5s, 16s, 9s, 6s}) {
        this->addTurns(1, quiet);
        EXPECT_FALSE(this->expected());
    }
    for (int peak = 0; peak < 8; ++peak) {
        this->add(10'000, 3s);
        this->add(900'000, 500ms);
        EXPECT_FALSE(this->expected());
    }
}

}
}
