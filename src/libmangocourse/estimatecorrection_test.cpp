#include <mangocourse/estimatecorrection.h>

#include <cmath>
#include <random>

#include <gtest/gtest.h>

namespace MangoCourse {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

// Run times with a spread around one second, and estimates that are off by a factor.
class ObservedWork
{
public:
    ObservedWork(double spread, double estimateError, double estimateBias)
        : spread(spread)
        , estimateError(estimateError)
        , estimateBias(estimateBias)
    {
    }

    void observe(EstimateCorrection &correction, int count)
    {
        for (int number = 0; number < count; ++number) {
            const auto [estimate, actual] = this->draw();
            correction.add(estimate, actual);
        }
    }
    std::pair<milliseconds, milliseconds> draw()
    {
        const double actual = 1000.0 * std::exp(this->spread * this->normal(this->random));
        const double estimate = actual * this->estimateBias * std::exp(this->estimateError * this->normal(this->random));
        return {milliseconds(std::llround(estimate)), milliseconds(std::llround(actual))};
    }
    // Returns the mean error of the logarithm of the expected run time.
    double meanError(const EstimateCorrection &correction)
    {
        constexpr int samples = 2000;
        double sum = 0;
        for (int number = 0; number < samples; ++number) {
            const auto [estimate, actual] = this->draw();
            sum += std::abs(std::log(static_cast<double>(correction.expected(estimate).count()) / static_cast<double>(actual.count())));
        }
        return sum / samples;
    }

private:
    double spread;
    double estimateError;
    double estimateBias;
    std::mt19937 random{1};
    std::normal_distribution<double> normal;
};

TEST(EstimateCorrectionTest, ReturnsTheEstimateWithoutObservations)
{
    const EstimateCorrection correction;
    EXPECT_EQ(correction.expected(700ms), 700ms);
    EXPECT_EQ(correction.expected(0ms), 0ms);
}

// A job whose estimate is a tenth of its run time would count as late from the start, and one with ten times its run time would wait behind all others.
TEST(EstimateCorrectionTest, BadEstimatesCountLessThanTheTypicalRunTime)
{
    ObservedWork work(0.5, 0.9, 1.0);
    EstimateCorrection correction;
    const double before = work.meanError(correction);
    work.observe(correction, 300);
    EXPECT_LT(work.meanError(correction), 0.65 * before);
    EXPECT_GT(correction.expected(100ms), 400ms);
    EXPECT_LT(correction.expected(10'000ms), 2500ms);
}

TEST(EstimateCorrectionTest, GoodEstimatesAreKept)
{
    ObservedWork work(0.5, 0.1, 1.0);
    EstimateCorrection correction;
    work.observe(correction, 300);
    EXPECT_NEAR(static_cast<double>(correction.expected(500ms).count()), 500.0, 60.0);
    EXPECT_NEAR(static_cast<double>(correction.expected(2000ms).count()), 2000.0, 240.0);
}

TEST(EstimateCorrectionTest, ABiasIsLearnedWithinSeconds)
{
    ObservedWork work(0.3, 0.1, 0.25);
    EstimateCorrection correction;
    work.observe(correction, 50);
    EXPECT_NEAR(static_cast<double>(correction.expected(250ms).count()), 1000.0, 350.0);
}

TEST(EstimateCorrectionTest, ExtremeObservationsStayWithinBounds)
{
    EstimateCorrection correction;
    for (int number = 0; number < 100; ++number) {
        correction.add(1ms, std::chrono::hours(24));
        correction.add(0ms, 5ms);
        correction.add(5ms, 0ms);
    }
    EXPECT_LE(correction.expected(10ms), 200ms);
    EXPECT_GT(correction.expected(std::chrono::hours(24 * 366)), 0ms);
}

}
}
