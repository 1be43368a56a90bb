// Tests of the limits of submissions.
#include <mangocourse/job.h>

#include <gtest/gtest.h>

#include <functional>

namespace MangoCourse {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr std::int64_t largest = std::numeric_limits<std::int64_t>::max();

TEST(Job, ValuesThatLaterArithmeticCannotHoldAreRejected)
{
    const std::pair<const char *, std::function<void(JobSpec &)>> cases[] = {
        {"steps[0].room",
            [](JobSpec &job) {
                job.steps[0].resources.cpu = largest;
            }},
        {"steps[0].room",
            [](JobSpec &job) {
                job.steps[0].resources.memory = largest;
            }},
        {"steps[0].room",
            [](JobSpec &job) {
                job.steps[0].resources.accelerators = largest;
            }},
        {"steps[0].estimate",
            [](JobSpec &job) {
                job.steps[0].estimate = milliseconds(largest);
            }},
        {"steps[0].estimate",
            [](JobSpec &job) {
                job.steps[0].estimate = -1ms;
            }},
        {"steps[0].tailLatencyTarget",
            [](JobSpec &job) {
                job.steps[0].tailLatencyTarget = milliseconds(largest);
            }},
        {"recurrence.first",
            [](JobSpec &job) {
                job.recurrence.first = WallTime(milliseconds(largest));
            }},
        {"recurrence.interval",
            [](JobSpec &job) {
                job.recurrence.interval = milliseconds(largest);
            }},
        {"recurrence.interval",
            [](JobSpec &job) {
                job.recurrence.interval = -1ms;
            }},
    };
    for (const auto &[field, change] : cases) {
        JobSpec job{"work", {StepSpec{}}, Recurrence{2, WallTime(1000ms), 500ms}};
        ASSERT_TRUE(validate(job));
        change(job);
        const Result<void> checked = validate(job);
        ASSERT_FALSE(checked) << field;
        EXPECT_EQ(checked.error().where, field);
    }
}

// Each occurrence that is due takes memory for its items until the job has ended.
TEST(Job, ShortSubmissionWithTooManyOccurrencesOfManyItemsIsRejected)
{
    StepSpec step;
    step.count = 100'000;
    const Result<void> checked = validate(JobSpec{"work", {step}, Recurrence{10'000, WallTime{}, 1ms}});
    ASSERT_FALSE(checked);
    EXPECT_EQ(checked.error().where, "recurrence.count");
    EXPECT_TRUE(validate(JobSpec{"work", {step}, {}}));
    step.count = 10;
    EXPECT_TRUE(validate(JobSpec{"work", {step}, Recurrence{10'000, WallTime{}, 1ms}}));
}

}
}
