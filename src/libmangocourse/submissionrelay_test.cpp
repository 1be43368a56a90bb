// Routes of appends under played append times, and the waits of many gateways that share a partition.
#include <mangocourse/submissionrelay.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <iterator>
#include <memory>

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

// Direct appends of all gateways would fill the store's queue again.
TEST_F(RelayPolicyTest, RelayStaysOpenIfAppendsAreSlowForTheAppenderToo)
{
    for (const AppendAnswer answer : {AppendAnswer::Unanswered, AppendAnswer::Refused}) {
        this->appendDirectly(400ms);
        this->relay(900ms, 900ms, answer);
        EXPECT_TRUE(this->isRelayed());
    }
}

// The time of an append includes the pauses of this process.
TEST_F(RelayPolicyTest, PauseOfThisProcessIsOverWithTheFirstFastReport)
{
    this->appendDirectly(350ms);
    this->relay(10ms, 4ms);
    EXPECT_FALSE(this->isRelayed());
    this->appendDirectly(4ms);
    EXPECT_FALSE(this->isRelayed());
}

TEST_F(RelayPolicyTest, OneBrokenConnectionDoesNotStartTheRelay)
{
    this->appendDirectly(1ms, AppendAnswer::Unanswered);
    EXPECT_FALSE(this->isRelayed());
    this->appendDirectly(1ms, AppendAnswer::Unanswered);
    EXPECT_TRUE(this->isRelayed());
}

// The appender may be the only process whose appends are slow.
TEST_F(RelayPolicyTest, StoreIsTriedAfterHalfAMinuteWithoutAFastReport)
{
    std::vector<Duration> delays;
    for (const std::uint64_t seed : {0U, 7000U}) {
        this->policy = RelayPolicy(seed);
        this->appendDirectly(400ms);
        const TimePoint relayedFrom = this->now;
        while (this->isRelayed() && this->now < relayedFrom + 60s) {
            this->relay(500ms, 400ms);
        }
        delays.push_back(this->now - relayedFrom);
        this->appendDirectly(4ms);
        EXPECT_FALSE(this->isRelayed());
    }
    EXPECT_EQ(delays, (std::vector<Duration>{30s, 37s})) << "gateways do so at different times";
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
    static constexpr Duration retryTime = 1200ms;
    static constexpr Duration callTime = 900ms;
    static constexpr Duration appendTimeout = 1000ms;

    struct Gateway {
        RelayPolicy policy;
        std::vector<TimePoint> waiting;
        int relayedCalls = 0;
        bool isAppending = false;
        TimePoint retryAt{};
    };
    struct Call {
        std::size_t gateway = 0;
        TimePoint sentAt;
        std::vector<TimePoint> records;
        bool isAnswered = false;
    };
    // An append of a gateway, or of the appender with the records of several calls.
    struct Append {
        std::size_t gateway = 0;
        TimePoint sentAt;
        std::vector<TimePoint> records;
        std::vector<std::shared_ptr<Call>> calls;
        // The sender does not wait for it any longer.
        bool isTimedOut = false;
    };

    bool hasRelay = true;
    // The store refuses appends when more than 2 s' worth is waiting.
    bool hasLimit = true;
    bool hasTimeout = true;
    Duration appendTime = 4ms;
    // Waits of the records that were submitted from then on.
    TimePoint measuredFrom = start;
    Duration longestWait{};
    int relayed = 0;
    int directAppends = 0;
    std::vector<Gateway> members{gateways};

    void run(Duration time)
    {
        const TimePoint end = this->now + time;
        for (; this->now < end; this->now += step) {
            this->submit();
            this->endLateCalls();
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
    RelayPolicy appender;
    std::vector<std::shared_ptr<Call>> calls;

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
            if (isRelayed && gateway.relayedCalls < 2 && this->now >= gateway.retryAt) {
                this->relay(index);
            } else if (!isRelayed && !gateway.isAppending && this->now >= gateway.retryAt) {
                if (this->isStoreFull()) {
                    gateway.policy.beginDirect(this->now);
                    gateway.policy.endDirect(AppendAnswer::Refused, this->now, this->now);
                    gateway.retryAt = this->now + retryDelay;
                    continue;
                }
                gateway.isAppending = true;
                ++this->directAppends;
                gateway.policy.beginDirect(this->now);
                this->queue.push_back(Append{index, this->now, std::exchange(gateway.waiting, {}), {}, false});
            }
        }
        if (this->collected && !this->isAppenderBusy && !this->isStoreFull()) {
            this->isAppenderBusy = true;
            this->collected->sentAt = this->now;
            this->appender.beginDirect(this->now);
            this->queue.push_back(*std::exchange(this->collected, std::nullopt));
        }
    }

    void relay(std::size_t index)
    {
        Gateway &gateway = this->members[index];
        ++gateway.relayedCalls;
        this->relayed += static_cast<int>(gateway.waiting.size());
        const auto call = std::make_shared<Call>(Call{index, this->now, std::exchange(gateway.waiting, {}), false});
        if (this->hasTimeout && this->isAppenderBusy && this->appender.expectedWait(AppendRoute::Direct, this->now) > callTime) {
            this->answer(*call, AppendAnswer::Refused);
            return;
        }
        this->calls.push_back(call);
        this->collected = this->collected.value_or(Append{gateways, {}, {}, {}, false});
        this->collected->calls.push_back(call);
    }

    void answer(Call &call, AppendAnswer answer)
    {
        Gateway &gateway = this->members[call.gateway];
        call.isAnswered = true;
        --gateway.relayedCalls;
        const Duration reported = this->appender.directTime(this->now);
        gateway.policy.endRelayed(answer, reported, call.sentAt, this->now + hop);
        if (answer == AppendAnswer::Done) {
            this->confirm(call.records);
        } else if (answer == AppendAnswer::Unanswered || reported < RelayPolicy::slowAppend) {
            this->retry(gateway, call.records);
        }
    }

    void retry(Gateway &gateway, const std::vector<TimePoint> &records)
    {
        gateway.retryAt = this->now + retryDelay;
        std::copy_if(records.begin(), records.end(), std::back_inserter(gateway.waiting), [this](TimePoint submitted) {
            return this->now - submitted < retryTime;
        });
    }

    // Ends what has taken too long for the sender. The store carries out the appends all the same.
    void endLateCalls()
    {
        if (!this->hasTimeout) {
            return;
        }
        for (const auto &call : this->calls) {
            if (!call->isAnswered && this->now - call->sentAt >= callTime) {
                this->answer(*call, AppendAnswer::Unanswered);
            }
        }
        std::erase_if(this->calls, [](const std::shared_ptr<Call> &call) {
            return call->isAnswered;
        });
        for (Append &append : this->queue) {
            if (!append.isTimedOut && this->now - append.sentAt >= appendTimeout) {
                append.isTimedOut = true;
                this->end(append, AppendAnswer::Unanswered);
            }
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
        if (!append.isTimedOut) {
            this->end(append, AppendAnswer::Done);
        }
    }

    void confirm(const std::vector<TimePoint> &records)
    {
        for (const TimePoint submitted : records) {
            if (submitted >= this->measuredFrom) {
                this->longestWait = std::max<Duration>(this->longestWait, this->now + hop - submitted);
            }
        }
    }

    void end(const Append &append, AppendAnswer answer)
    {
        if (append.gateway < gateways) {
            Gateway &gateway = this->members[append.gateway];
            gateway.isAppending = false;
            gateway.policy.endDirect(answer, append.sentAt, this->now);
            if (answer == AppendAnswer::Done) {
                this->confirm(append.records);
            } else {
                this->retry(gateway, append.records);
            }
            return;
        }
        this->isAppenderBusy = false;
        this->appender.endDirect(answer, append.sentAt, this->now);
        for (const auto &call : append.calls) {
            if (!call->isAnswered) {
                this->answer(*call, answer);
            }
        }
    }
};

TEST(RelayPolicyWorld, ManyGatewaysShareTheAppendsOfASlowStore)
{
    GatewayWorld direct;
    direct.hasRelay = false;
    direct.hasLimit = false;
    direct.hasTimeout = false;
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

// The appends that are queued when the store becomes slow take longer than the appender's time-out.
TEST(RelayPolicyWorld, TimeOutOfTheAppenderDoesNotSendTheGatewaysBackToTheSlowStore)
{
    GatewayWorld world;
    world.run(1s);
    world.appendTime = 240ms;
    world.run(1s);
    world.directAppends = 0;
    world.run(10s);
    EXPECT_LE(world.directAppends, 2);
}

}
}
