// Tests which requests a key allows, by the age of the configuration, and which jobs a caller may use.
#include <mangocourse/callerauthorization.h>

#include <gtest/gtest.h>

namespace MangoCourse {
namespace {

using namespace std::chrono_literals;

FleetConfig configWithAccounts()
{
    FleetConfig config;
    config.accounts = *ClientAccounts::create({ClientAccount{AccountId{"north"}, 1.0, {}, {"n-1", "n-2"}}, ClientAccount{AccountId{"south"}, 1.0, {}, {}}});
    return config;
}

CallerAuthorization decide(std::string_view key, std::optional<std::chrono::nanoseconds> age, const QueueConfig &queue = {})
{
    return authorizeCaller(configWithAccounts(), queue, key, age, ConfigAgeBounds{2s, 5s});
}

TEST(CallerAuthorization, WithoutAccountsNoKeyIsNeededHoweverOldTheConfigurationIs)
{
    const CallerAuthorization authorization = authorizeCaller(FleetConfig{}, QueueConfig{}, "any", 1h, ConfigAgeBounds{});
    EXPECT_EQ(authorization.verdict, CallerVerdict::Allowed);
    EXPECT_FALSE(authorization.caller.hasAccounts);
}

TEST(CallerAuthorization, KeysOfPublicQueuesAreIgnored)
{
    QueueConfig queue;
    queue.isPublic = true;
    for (const char *key : {"", "n-1", "unknown"}) {
        const CallerAuthorization authorization = decide(key, 1h, queue);
        EXPECT_EQ(authorization.verdict, CallerVerdict::Allowed);
        EXPECT_TRUE(authorization.caller.account.isEmpty());
    }
}

TEST(CallerAuthorization, EveryKeyOfAnAccountNamesIt)
{
    for (const char *key : {"n-1", "n-2"}) {
        const CallerAuthorization authorization = decide(key, 0s);
        EXPECT_EQ(authorization.verdict, CallerVerdict::Allowed);
        EXPECT_EQ(authorization.caller.account, AccountId{"north"});
    }
    EXPECT_EQ(decide("n-1", std::nullopt).verdict, CallerVerdict::Allowed);
}

// Guards against a gateway that is cut off: it must neither rely on revoked keys for long nor deny keys that were added meanwhile.
TEST(CallerAuthorization, AgeOfTheConfigurationBoundsWhatKeysDecide)
{
    EXPECT_EQ(decide("n-1", 5s).verdict, CallerVerdict::Allowed);
    EXPECT_EQ(decide("n-1", 5s + 1ms).verdict, CallerVerdict::Unconfirmed);
    for (const char *key : {"", "n-", "n-11", "N-1", "north"}) {
        EXPECT_EQ(decide(key, std::nullopt).verdict, CallerVerdict::Denied) << key;
        EXPECT_EQ(decide(key, 2s).verdict, CallerVerdict::Denied) << key;
        EXPECT_EQ(decide(key, 2s + 1ms).verdict, CallerVerdict::Unconfirmed) << key;
    }
}

TEST(CallerAuthorization, JobsBelongToTheirAccountOrToNobody)
{
    const CallerIdentity north{true, AccountId{"north"}};
    EXPECT_TRUE(mayUseJob(north, AccountId{"north"}, false));
    EXPECT_FALSE(mayUseJob(north, AccountId{"south"}, true));
    EXPECT_TRUE(mayUseJob(north, AccountId{}, true));
    EXPECT_TRUE(mayUseJob(CallerIdentity{}, AccountId{"north"}, false));
    // A queue that has become public gives access to its jobs, but not to those of other queues in its partition.
    EXPECT_TRUE(mayUseJob(CallerIdentity{true, {}}, AccountId{"north"}, true));
    EXPECT_FALSE(mayUseJob(CallerIdentity{true, {}}, AccountId{"north"}, false));
}

}
}
