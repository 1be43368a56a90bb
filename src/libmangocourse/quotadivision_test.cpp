// Tests of the use of an account's share in one pool.
#include "quotadivision_test.h"

namespace MangoCourse {
namespace {

using namespace std::chrono_literals;

// One item of the account that is refused again and again while smaller ones take what ends would never start.
TEST(PoolQuotaTest, LargeItemGoesFirstAfterAWhile)
{
    PoolQuota quota{ServiceId{"a"}};
    EXPECT_TRUE(quota.setConfig(makeConfig({ServiceId{"a"}}, Resources{10000, 0, 0})));
    AccountUse &use = *quota.find(account);
    EXPECT_FALSE(quota.fits(use, Resources{1000, 0, 0})) << "the plan stream has not been read";
    quota.setDivisions(std::make_shared<QuotaDivisions>());
    use.running = Resources{5000, 0, 0};
    const ItemId large{JobId{"large"}, 0, 0, 0};
    const ItemId small{JobId{"small"}, 0, 0, 0};
    TimePoint now{100s};
    EXPECT_FALSE(quota.mayStart(use, large, Resources{8000, 0, 0}, now));
    EXPECT_TRUE(quota.mayStart(use, small, Resources{1000, 0, 0}, now));
    now += 600ms;
    EXPECT_FALSE(quota.mayStart(use, large, Resources{8000, 0, 0}, now));
    now += 600ms;
    EXPECT_FALSE(quota.mayStart(use, small, Resources{1000, 0, 0}, now));
    use.running = Resources{};
    EXPECT_TRUE(quota.mayStart(use, large, Resources{8000, 0, 0}, now));
    EXPECT_TRUE(quota.mayStart(use, large, Resources{80000, 0, 0}, now)) << "an item that exceeds the limit may run alone";
    use.running = Resources{1, 0, 0};
    EXPECT_FALSE(quota.mayStart(use, large, Resources{80000, 0, 0}, now));
}

// An item that does not fit beside lasting runs would keep the account's other items from starting for ever.
TEST(PoolQuotaTest, ReservationForAnItemThatNeverFitsEnds)
{
    PoolQuota quota{ServiceId{"a"}};
    quota.setConfig(makeConfig({ServiceId{"a"}}, Resources{16000, 0, 0}));
    AccountUse &use = *quota.find(account);
    quota.setDivisions(std::make_shared<QuotaDivisions>());
    use.running = Resources{10000, 0, 0};
    TimePoint now{100s};
    int refused = 0;
    int allowed = 0;
    for (int round = 0; round < 300; ++round, now += 100ms) {
        // Another item of the step asks each time.
        EXPECT_FALSE(quota.mayStart(use, ItemId{JobId{"large"}, 0, 0, round}, Resources{8000, 0, 0}, now));
        const bool isAllowed = quota.mayStart(use, ItemId{JobId{"small"}, 0, 0, 0}, Resources{1000, 0, 0}, now);
        ++(isAllowed ? allowed : refused);
    }
    EXPECT_GT(allowed, 100);
    EXPECT_GT(refused, 100);
}

}
}
