// Random histories of pools, checked for work that could run and doesn't.
#include "poolhistoryworld_test.h"

#include <gtest/gtest.h>

namespace MangoCourse {
namespace {

constexpr milliseconds wideLength = 3 * faultPeriod;

std::string firstViolation(const History &history)
{
    std::vector<std::string> all = history.checker.violations;
    all.insert(all.end(), history.progressChecker.violations.begin(), history.progressChecker.violations.end());
    return all.empty() ? std::string() : all.front();
}

TEST(PoolHistory, WaitingWorkRunsWhereThereIsRoom)
{
    const std::uint32_t first = environmentValue("SEED", 1);
    const std::uint32_t count = environmentValue("HISTORIES", 60);
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

}
}
