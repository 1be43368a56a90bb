// Admission at the gateway: publication of loads by the owner, and what callers are told.
#include "scheduler_test.h"

#include "clocks.h"
#include "loadpublisher.h"
#include "planningduty.h"

namespace MangoCourse {
namespace {

class LoadViewTest : public SchedulerTest
{
protected:
    std::vector<StoredRecord> &loadRecords()
    {
        return this->store.partitions[{Stream::Plan, loadPartition}].records;
    }

    std::size_t countJobs()
    {
        return this->store.partitions[{Stream::Jobs, 0}].records.size();
    }

    // A pool with more work ahead than any job can wait for.
    static PoolLoad fullPool()
    {
        PoolLoad load;
        load.service = ServiceId{"desk"};
        load.token = 1;
        load.number = 1;
        load.at = wallNow();
        load.isQueueing = true;
        load.queueingFor = 1000ms;
        load.capacity = Resources{64000, 64000, 0};
        load.workAhead[0] = 1'000'000;
        return load;
    }

    void publish(const PoolLoad &load)
    {
        std::vector<StoredRecord> &records = this->loadRecords();
        records.push_back(StoredRecord{load.service.value, encodePoolLoad(load), static_cast<std::int64_t>(records.size())});
    }

    // The gateway reads the loads after its first submission.
    void fillPool()
    {
        this->publish(fullPool());
        EXPECT_EQ(this->call(CallerAction::Submit, this->job).outcome, CallerOutcome::Accepted);
        this->runFor(50ms);
    }

    PoolLoad lastLoad()
    {
        return this->loadRecords().empty() ? PoolLoad{} : decodePoolLoad(this->loadRecords().back().value).value_or(PoolLoad{});
    }

    const std::string otherJob = "/counter/00000000000000bb";
};

TEST_F(LoadViewTest, JobThatCannotEndInTimeIsRefusedAndNotStored)
{
    this->fillPool();
    const std::size_t stored = this->countJobs();
    const auto startedAt = std::chrono::steady_clock::now();
    const CallerReply reply = this->call(CallerAction::Submit, this->otherJob);
    EXPECT_LT(std::chrono::steady_clock::now() - startedAt, 100ms);
    EXPECT_EQ(reply.outcome, CallerOutcome::NotAccepted);
    EXPECT_GE(reply.retryAfter, 1s);
    EXPECT_LE(reply.retryAfter, 10s);
    EXPECT_EQ(this->countJobs(), stored);
}

// Guards against a refusal of a job that runs.
TEST_F(LoadViewTest, RepeatOfAStoredJobIsNotRefused)
{
    this->fillPool();
    EXPECT_EQ(this->call(CallerAction::Submit, this->job).outcome, CallerOutcome::Accepted);
    // Another gateway has stored this one, and this gateway has not read it yet.
    auto other = std::move(*JobGateway::create(this->context, this->store, *this->log, this->metrics, this->settings));
    other->setConfig(this->config);
    std::swap(other, this->gateway);
    EXPECT_EQ(this->call(CallerAction::Submit, this->otherJob).outcome, CallerOutcome::Accepted);
    std::swap(other, this->gateway);
    EXPECT_EQ(this->call(CallerAction::Submit, this->otherJob).outcome, CallerOutcome::Accepted);
    // Whether another gateway has stored it cannot be read.
    this->store.unansweredReads = Stream::Jobs;
    EXPECT_NE(this->call(CallerAction::Submit, "/counter/00000000000000cc", 3000ms).outcome, CallerOutcome::NotAccepted);
}

// Guards against a refusal of a job that may run.
TEST_F(LoadViewTest, JobWithAnUnsettledAttemptIsNotRefused)
{
    this->fillPool();
    this->runFor(1600ms);
    this->store.behaviour = StoreBehaviour::AppendingLate;
    EXPECT_EQ(this->call(CallerAction::Submit, this->otherJob, 300ms).outcome, CallerOutcome::MayBeAccepted);
    PoolLoad load = fullPool();
    load.number = 2;
    this->publish(load);
    this->runFor(300ms);
    EXPECT_EQ(this->call(CallerAction::Submit, "/counter/00000000000000cc", 300ms).outcome, CallerOutcome::NotAccepted);
    EXPECT_EQ(this->call(CallerAction::Submit, this->otherJob, 300ms).outcome, CallerOutcome::MayBeAccepted);
}

// Guards against refusals on behalf of an owner that is gone, or of whose loads nothing is read any more.
TEST_F(LoadViewTest, SubmissionsAreAcceptedOncePublicationStops)
{
    this->fillPool();
    EXPECT_EQ(this->call(CallerAction::Submit, this->otherJob).outcome, CallerOutcome::NotAccepted);
    this->runFor(1600ms);
    EXPECT_EQ(this->call(CallerAction::Submit, this->otherJob).outcome, CallerOutcome::Accepted);
}

TEST_F(LoadViewTest, UnreadableLoadsAreIgnored)
{
    this->loadRecords().push_back(StoredRecord{"desk", "\xff", 0});
    EXPECT_EQ(this->call(CallerAction::Submit, this->job).outcome, CallerOutcome::Accepted);
    this->runFor(50ms);
    EXPECT_EQ(this->call(CallerAction::Submit, this->otherJob).outcome, CallerOutcome::Accepted);
}

// Guards against a load of a lost owner that says forever that the pool queues, and against a new owner that learns all run times anew.
TEST_F(LoadViewTest, NewOwnerReplacesTheLoadOfItsPredecessorAndPublishesWhileWorkQueues)
{
    PoolLoad before = fullPool();
    before.token = 6;
    before.ratios[QueueId{"counter"}] = RunTimeRatio{2.0, 1.5};
    this->publish(before);
    this->executors.endsRuns = false;
    const auto shard = this->startOwner(7);
    LoadPublisher publisher(this->context, this->store, *this->log, this->metrics, [&shard] {
        return std::vector{shard};
    });
    net::co_spawn(this->context, publisher.run(), net::detached);
    this->runUntil([this] {
        return this->lastLoad().token == 7;
    });
    EXPECT_FALSE(this->lastLoad().isQueueing);
    const std::size_t published = this->loadRecords().size();
    this->runFor(300ms);
    EXPECT_EQ(this->loadRecords().size(), published) << "nothing is published without queueing";
    const auto pathOf = [](int number) {
        return "/counter/00000000000000" + std::to_string(number);
    };
    // Each job has three items of one core, and the pool has 64 cores.
    for (int number = 10; number < 40; ++number) {
        this->call(CallerAction::Submit, pathOf(number));
    }
    this->runUntil([this] {
        return this->lastLoad().isQueueing;
    });
    EXPECT_EQ(this->lastLoad().ratios.at(QueueId{"counter"}), (RunTimeRatio{2.0, 1.5}));
    EXPECT_EQ(this->lastLoad().capacity.cpu, 64000);
    for (int number = 10; number < 40; ++number) {
        this->call(CallerAction::Cancel, pathOf(number));
    }
    this->runUntil([this] {
        return !this->lastLoad().isQueueing;
    });
    publisher.stop();
    shard->stop();
    this->runFor(200ms);
}

TEST(PoolLoadCodec, LoadsAreReadBackAndBadOnesAreErrors)
{
    PoolLoad load;
    load.service = ServiceId{"s"};
    load.token = 3;
    load.number = 4;
    load.at = WallTime(5ms);
    load.isQueueing = true;
    load.queueingFor = 6ms;
    load.capacity = Resources{7, 8, 9};
    load.free = Resources{1, 2, 3};
    load.isMemoryScarce = true;
    load.workAhead = {{-1, 10}, {2, 11}};
    load.lateRunning = 12;
    load.inflow = 13;
    load.lateWaiting = 14;
    load.ratios[QueueId{"q"}] = RunTimeRatio{1.5, 0.5};
    load.accountsBeyondRate = {AccountId{"a"}};
    const std::string bytes = encodePoolLoad(load);
    const auto back = decodePoolLoad(bytes);
    ASSERT_TRUE(back) << describe(back.error());
    EXPECT_EQ(*back, load);
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        EXPECT_FALSE(decodePoolLoad(bytes.substr(0, length))) << length;
    }
    const auto isReadable = [&load](auto change) {
        PoolLoad changed = load;
        change(changed);
        return decodePoolLoad(encodePoolLoad(changed)).has_value();
    };
    for (const double ratio : {0.0, -1.0, 21.0, std::numeric_limits<double>::quiet_NaN(), std::numeric_limits<double>::infinity()}) {
        EXPECT_FALSE(isReadable([ratio](PoolLoad &changed) {
            changed.ratios[QueueId{"q"}].mean = ratio;
        })) << ratio;
    }
    EXPECT_FALSE(isReadable([](PoolLoad &changed) {
        changed.workAhead[0] = -1;
    }));
    EXPECT_FALSE(isReadable([](PoolLoad &changed) {
        changed.capacity.cpu = -1;
    }));
    EXPECT_FALSE(isReadable([](PoolLoad &changed) {
        changed.inflow = std::numeric_limits<std::int64_t>::max();
    }));
    EXPECT_FALSE(isReadable([](PoolLoad &changed) {
        changed.token = -1;
    }));
    EXPECT_FALSE(isReadable([](PoolLoad &changed) {
        changed.service.value.assign(300, 'x');
    }));
    for (const char *bad : {"", "\xff", "\x80", "\x81\x01", "text"}) {
        EXPECT_FALSE(decodePoolLoad(bad));
    }
}

}
}
