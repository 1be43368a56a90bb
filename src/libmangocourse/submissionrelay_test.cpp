// Routes of appends under played append times, and the waits of many gateways that share a partition.
#include <mangocourse/submissionrelay.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>

namespace MangoCourse {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint start{1h};

class RelayPolicyTest : public testing::Test
{
protected:
    RelayPolicy policy;
    TimePoint now = start;

    void appendDirectly(Duration took, AppendAnswer answer = AppendAnswer::Done)
    {
        const TimePoint startedAt = this->now;
        this->policy.beginDirect(startedAt);
        this->now += took;
        this->policy.endDirect(answer, startedAt, this->now);
    }

    void relay(Duration took, Duration appendTime, AppendAnswer answer = AppendAnswer::Done)
    {
        const TimePoint startedAt = this->now;
        this->now += took;
        this->policy.endRelayed(answer, appendTime, startedAt, this->now);
    }

    bool isRelayed() const
    {
        return this->policy.route(this->now) == AppendRoute::Relayed;
    }
};

TEST_F(RelayPolicyTest, NormalAppendsAreNeverRelayed)
{
    for (int append = 0; append < 1000; ++append) {
        // A pause of the process now and then.
        this->appendDirectly(append % 100 == 99 ? 200ms : 4ms);
        this->now += 10ms;
        ASSERT_FALSE(this->isRelayed()) << append;
    }
}

TEST_F(RelayPolicyTest, SlowAppendsAreRelayedUntilTheAppenderReportsFastOnes)
{
    this->appendDirectly(240ms);
    EXPECT_FALSE(this->isRelayed());
    this->appendDirectly(240ms);
    EXPECT_TRUE(this->isRelayed());
    for (int call = 0; call < 10; ++call) {
        this->relay(400ms, 240ms);
        EXPECT_TRUE(this->isRelayed());
    }
    this->relay(10ms, 4ms);
    EXPECT_FALSE(this->isRelayed()) << "the store is tried";
    this->appendDirectly(4ms);
    EXPECT_FALSE(this->isRelayed());
}

TEST_F(RelayPolicyTest, OneVerySlowAppendIsEnoughAlsoWhileItIsInProgress)
{
    this->policy.beginDirect(this->now);
    this->now += 299ms;
    EXPECT_FALSE(this->isRelayed());
    this->now += 1ms;
    EXPECT_TRUE(this->isRelayed());
    this->policy.endDirect(AppendAnswer::Done, start, this->now);
    EXPECT_TRUE(this->isRelayed());
}

TEST_F(RelayPolicyTest, RefusedGatewayTriesTheStoreAfterDoublingTimes)
{
    this->appendDirectly(1ms, AppendAnswer::Refused);
    EXPECT_FALSE(this->isRelayed()) << "one refusal may be due to a broken connection";
    this->appendDirectly(1ms, AppendAnswer::Refused);
    EXPECT_TRUE(this->isRelayed());
    EXPECT_TRUE(this->policy.isDirectRefused(this->now));
    std::vector<TimePoint> probes;
    while (this->now < start + 20s) {
        if (this->isRelayed()) {
            this->relay(9ms, 4ms);
        } else {
            probes.push_back(this->now);
            this->appendDirectly(1ms, AppendAnswer::Refused);
        }
        this->now += 10ms;
    }
    ASSERT_EQ(probes.size(), 5U) << "after 0.5, 1, 2, 4 and 8 s";
    EXPECT_GE(probes[1] - probes[0], 1000ms);
    EXPECT_GE(probes[4] - probes[3], 8000ms);
    this->now += 8s;
    EXPECT_FALSE(this->isRelayed());
    this->appendDirectly(4ms);
    EXPECT_FALSE(this->isRelayed());
    EXPECT_FALSE(this->policy.isDirectRefused(this->now));
}

TEST_F(RelayPolicyTest, AnotherAppendDoesNotJoinATryOfTheStore)
{
    this->appendDirectly(1000ms, AppendAnswer::Unanswered);
    EXPECT_TRUE(this->isRelayed());
    this->now += 2s;
    EXPECT_TRUE(this->isRelayed()) << "the appender has not reported";
    this->relay(10ms, 4ms);
    EXPECT_FALSE(this->isRelayed());
    this->policy.beginDirect(this->now);
    EXPECT_TRUE(this->isRelayed());
}

TEST_F(RelayPolicyTest, RelayThatFailsIsClosedForAWhile)
{
    this->appendDirectly(400ms);
    this->relay(1000ms, 0ms, AppendAnswer::Unanswered);
    EXPECT_FALSE(this->isRelayed());
    this->now += 1s;
    EXPECT_FALSE(this->isRelayed());
    this->appendDirectly(400ms);
    this->now += 1s;
    EXPECT_TRUE(this->isRelayed());
    this->policy.closeRelay(this->now + 10s);
    EXPECT_FALSE(this->isRelayed());
}

TEST_F(RelayPolicyTest, RetryDelayFollowsTheAppendTimeTheQueueAndTheDurationOfTheTrouble)
{
    this->appendDirectly(4ms);
    EXPECT_EQ(this->policy.retryAfter(AppendRoute::Direct, 0, this->now), 200ms);
    this->appendDirectly(240ms);
    const auto few = this->policy.retryAfter(AppendRoute::Direct, 0, this->now);
    const auto many = this->policy.retryAfter(AppendRoute::Direct, 2000, this->now);
    EXPECT_EQ(few, 240ms);
    EXPECT_EQ(many, 11 * 240ms);
    EXPECT_EQ(this->policy.retryAfter(AppendRoute::Direct, 1'000'000, this->now), 5s);
    for (int append = 0; append < 5; ++append) {
        this->appendDirectly(240ms);
    }
    EXPECT_EQ(this->policy.retryAfter(AppendRoute::Direct, 0, this->now), 6 * 240ms);
}

TEST_F(RelayPolicyTest, WaitIsExpectedFromRecentAppendsOnly)
{
    this->appendDirectly(1000ms, AppendAnswer::Unanswered);
    this->policy.beginDirect(this->now);
    EXPECT_EQ(this->policy.expectedWait(AppendRoute::Direct, this->now), 2000ms);
    EXPECT_EQ(this->policy.expectedWait(AppendRoute::Direct, this->now + 600ms), 1400ms);
    EXPECT_EQ(this->policy.expectedWait(AppendRoute::Direct, this->now + 1100ms), 1100ms);
    this->policy.endDirect(AppendAnswer::Done, this->now, this->now + 3ms);
    EXPECT_EQ(this->policy.expectedWait(AppendRoute::Direct, this->now + 3ms), 3ms);
}

// Gateways that append to one partition of a store that carries out one append at a time.
class GatewayWorld
{
public:
    static constexpr std::size_t gateways = 37;
    static constexpr Duration step = 1ms;
    static constexpr Duration hop = 2ms;
    static constexpr Duration retryDelay = 60ms;

    struct Gateway {
        RelayPolicy policy;
        std::vector<TimePoint> waiting;
        int relayedCalls = 0;
        bool isAppending = false;
        TimePoint retryAt{};
    };
    // An append of a gateway, or of the appender with the records of several calls.
    struct Append {
        std::size_t gateway = 0;
        TimePoint sentAt;
        std::vector<TimePoint> records;
        std::vector<std::pair<std::size_t, TimePoint>> calls;
    };

    bool hasRelay = true;
    // The store refuses appends when more than 2 s' worth is waiting.
    bool hasLimit = true;
    Duration appendTime = 4ms;
    // Waits of the records that were submitted from then on.
    TimePoint measuredFrom = start;
    Duration longestWait{};
    int relayed = 0;
    std::vector<Gateway> members{gateways};

    void run(Duration time)
    {
        const TimePoint end = this->now + time;
        for (; this->now < end; this->now += step) {
            this->submit();
            this->advanceStore();
        }
    }

private:
    TimePoint now = start;
    int turn = 0;
    std::deque<Append> queue;
    std::optional<TimePoint> busyUntil;
    // What the appender has received and not appended.
    std::optional<Append> collected;
    bool isAppenderBusy = false;

    void submit()
    {
        // Each gateway gets a submission every 370 ms.
        constexpr int interval = 10;
        if (++this->turn % interval == 0) {
            this->members[static_cast<std::size_t>(this->turn / interval) % gateways].waiting.push_back(this->now);
        }
        for (std::size_t index = 0; index < gateways; ++index) {
            Gateway &gateway = this->members[index];
            if (gateway.waiting.empty()) {
                continue;
            }
            const bool isRelayed = this->hasRelay && gateway.policy.route(this->now) == AppendRoute::Relayed;
            if (isRelayed && gateway.relayedCalls < 2) {
                ++gateway.relayedCalls;
                this->relayed += static_cast<int>(gateway.waiting.size());
                this->collected = this->collected.value_or(Append{gateways, {}, {}, {}});
                this->collected->calls.emplace_back(index, this->now);
                for (const TimePoint submitted : std::exchange(gateway.waiting, {})) {
                    this->collected->records.push_back(submitted);
                }
            } else if (!isRelayed && !gateway.isAppending && this->now >= gateway.retryAt) {
                if (this->isStoreFull()) {
                    gateway.policy.beginDirect(this->now);
                    gateway.policy.endDirect(AppendAnswer::Refused, this->now, this->now);
                    gateway.retryAt = this->now + retryDelay;
                    continue;
                }
                gateway.isAppending = true;
                gateway.policy.beginDirect(this->now);
                this->queue.push_back(Append{index, this->now, std::exchange(gateway.waiting, {}), {}});
            }
        }
        if (this->collected && !this->isAppenderBusy && !this->isStoreFull()) {
            this->isAppenderBusy = true;
            this->collected->sentAt = this->now;
            this->queue.push_back(*std::exchange(this->collected, std::nullopt));
        }
    }

    bool isStoreFull() const
    {
        return this->hasLimit && static_cast<std::int64_t>(this->queue.size()) * this->appendTime > 2s;
    }

    void advanceStore()
    {
        if (this->busyUntil && this->now >= *this->busyUntil) {
            this->finish(this->queue.front());
            this->queue.pop_front();
            this->busyUntil.reset();
        }
        if (!this->busyUntil && !this->queue.empty()) {
            this->busyUntil = this->now + this->appendTime;
        }
    }

    void finish(const Append &append)
    {
        for (const TimePoint submitted : append.records) {
            if (submitted >= this->measuredFrom) {
                this->longestWait = std::max<Duration>(this->longestWait, this->now + hop - submitted);
            }
        }
        if (append.gateway < gateways) {
            this->members[append.gateway].isAppending = false;
            this->members[append.gateway].policy.endDirect(AppendAnswer::Done, append.sentAt, this->now);
            return;
        }
        this->isAppenderBusy = false;
        for (const auto &[index, sentAt] : append.calls) {
            --this->members[index].relayedCalls;
            this->members[index].policy.endRelayed(AppendAnswer::Done, this->now - append.sentAt, sentAt, this->now + hop);
        }
    }
};

TEST(RelayPolicyWorld, ManyGatewaysShareTheAppendsOfASlowStore)
{
    GatewayWorld direct;
    direct.hasRelay = false;
    direct.hasLimit = false;
    direct.run(1s);
    EXPECT_LT(direct.longestWait, 200ms);
    direct.appendTime = 240ms;
    direct.run(20s);
    EXPECT_GT(direct.longestWait, 8s) << "one round of appends by all gateways takes 9 s";

    GatewayWorld relayed;
    relayed.run(1s);
    EXPECT_EQ(relayed.relayed, 0) << "nothing is relayed while appends are normal";
    EXPECT_LT(relayed.longestWait, 200ms);
    relayed.appendTime = 240ms;
    relayed.run(2500ms);
    // The 2 s' worth of appends that were queued before the gateways knew have to end first.
    relayed.measuredFrom = start + 3500ms;
    EXPECT_LE(relayed.longestWait, 3s);
    relayed.longestWait = {};
    relayed.run(17500ms);
    EXPECT_LE(relayed.longestWait, 1s);
    EXPECT_GT(relayed.relayed, 0);
    relayed.appendTime = 4ms;
    relayed.run(10s);
    const int relayedBefore = relayed.relayed;
    relayed.measuredFrom = start + 31s;
    relayed.longestWait = {};
    relayed.run(5s);
    EXPECT_EQ(relayed.relayed, relayedBefore) << "all have returned to the store";
    EXPECT_LT(relayed.longestWait, 200ms);
}

}
}
