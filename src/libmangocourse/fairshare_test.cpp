// Tests of the positions and rates of client accounts.
#include <mangocourse/fairshare.h>

#include <gtest/gtest.h>

namespace MangoCourse {
namespace {

using namespace std::chrono_literals;

constexpr WallTime start{1'000'000s};

// An account that needs mostly memory must not count as small because it uses little CPU.
TEST(FairShareTest, LargestFractionOfAnyResourceCounts)
{
    EXPECT_DOUBLE_EQ(dominantShare(Resources{1000, 512, 0}, Resources{10000, 1024, 0}), 0.5);
    EXPECT_DOUBLE_EQ(dominantShare(Resources{1000, 0, 3}, Resources{10000, 1024, 4}), 0.75);
}

// Executors with accelerators may have left while their runs still count; a division by zero would put the account behind all others for good.
TEST(FairShareTest, ResourceThatThePoolLacksIsLeftOut)
{
    EXPECT_DOUBLE_EQ(dominantShare(Resources{1000, 0, 3}, Resources{10000, 1024, 0}), 0.1);
    EXPECT_DOUBLE_EQ(dominantShare(Resources{1000, 0, 3}, Resources{}), 0.0);
}

// A position of infinity or not-a-number would break the order.
TEST(FairShareTest, WeightZeroCountsAsAVerySmallWeight)
{
    EXPECT_GT(effectiveWeight(0), 0);
    AccountShares shares;
    shares.setWeights([](const AccountId &) {
        return 0.0;
    });
    AccountShare &share = shares.entry(AccountId{"a"});
    share.running = Resources{100, 0, 0};
    EXPECT_DOUBLE_EQ(share.position(Resources{1000, 0, 0}), 0.1 / minAccountWeight);
    EXPECT_DOUBLE_EQ(shares.entry(AccountId{}).weight, defaultAccountWeight);
}

// Guards against marking jobs of an account that keeps to its rate, also with a rate below one job per second.
TEST(FairShareTest, BucketHoldsOneSecondsWorthAndAtLeastOneJob)
{
    TokenBucket fast(3);
    for (int job = 0; job < 3; ++job) {
        EXPECT_TRUE(fast.take(start));
    }
    EXPECT_FALSE(fast.take(start + 300ms));
    EXPECT_TRUE(fast.take(start + 334ms));
    EXPECT_FALSE(fast.take(start + 334ms));
    EXPECT_TRUE(fast.take(start + 60s));
    TokenBucket slow(0.5);
    EXPECT_TRUE(slow.take(start));
    EXPECT_FALSE(slow.take(start + 1s));
    EXPECT_TRUE(slow.take(start + 2s));
}

// A clock that goes back between two gateways must not refill the same second twice.
TEST(FairShareTest, EarlierJobCountsAsAcceptedTogetherWithTheLatest)
{
    TokenBucket bucket(1);
    EXPECT_TRUE(bucket.take(start + 10s));
    EXPECT_FALSE(bucket.take(start));
    EXPECT_FALSE(bucket.take(start + 10s));
    EXPECT_TRUE(bucket.take(start + 11s));
}

TEST(FairShareTest, AccountsCompeteOnlyWhileTwoHaveOpenJobs)
{
    AccountShares shares;
    AccountShare &one = shares.entry(AccountId{"a"});
    AccountShare &nobody = shares.entry(AccountId{});
    shares.addOpenJob(one);
    shares.addOpenJob(one);
    EXPECT_FALSE(shares.areCompeting());
    shares.addOpenJob(nobody);
    EXPECT_TRUE(shares.areCompeting());
    shares.removeOpenJob(one);
    EXPECT_TRUE(shares.areCompeting());
    shares.removeOpenJob(one);
    EXPECT_FALSE(shares.areCompeting());
}

}
}
