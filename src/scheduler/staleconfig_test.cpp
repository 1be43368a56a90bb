// Tests of what callers are told by a process whose operator configuration is outdated.
#include "schedulerprocess_test.h"

namespace MangoCourse {

// Stands in for the platform's implementation; the test has no settings file.
Result<NodeSettings> readNodeSettings()
{
    return NodeSettings{};
}

namespace {

// Maximum time for which requests may be handled by a configuration that has been replaced.
constexpr std::chrono::milliseconds configBound{2000};

class StaleConfigTest : public SchedulerTest
{
protected:
    void SetUp() override
    {
        this->configs["1"] = *this->config;
        this->publish("1");
        auto platform = std::make_unique<TestPlatform>(this->store, this->executors, this->settings, this->configs, this->service);
        auto created = SchedulerProcess::create(this->context, this->metrics, std::move(platform));
        ASSERT_TRUE(created);
        this->process = std::move(*created);
        this->process->start();
        this->runUntil([this] {
            return this->service->isReady();
        });
    }

    void publish(const std::string &revision)
    {
        std::vector<StoredRecord> &records = this->store.partitions[{Stream::Operator, 0}].records;
        records.push_back(StoredRecord{"config", revision, static_cast<std::int64_t>(records.size())});
    }

    CallerReply ask(CallerAction action, const std::string &path)
    {
        CallerRequest request;
        request.action = action;
        request.host = "host";
        request.path = path;
        request.timeout = 500ms;
        request.decodeJob = [] {
            StepSpec step;
            step.count = 1;
            step.resources = Resources{1000, 10, 0};
            return Result<JobSpec>(JobSpec{"work", {step}, {}});
        };
        std::optional<CallerReply> reply;
        net::co_spawn(
            this->context,
            [this, &reply, request]() -> net::awaitable<void> {
                reply = co_await this->service->handle(request);
            },
            net::detached);
        this->runUntil([&reply] {
            return reply.has_value();
        });
        return reply.value_or(CallerReply{});
    }

    const std::string unknownQueue = "/other/00000000000000aa";
    std::map<std::string, FleetConfig> configs;
    CallerService *service = nullptr;
    std::unique_ptr<SchedulerProcess> process;
};

TEST_F(StaleConfigTest, ADroppedQueueTakesNoJobsWhileTheConfigurationIsUnread)
{
    this->store.unansweredReads = Stream::Operator;
    this->configs["2"] = *this->config;
    this->configs["2"].revision = 2;
    this->configs["2"].queues.clear();
    this->publish("2");
    this->runFor(configBound);
    EXPECT_EQ(this->ask(CallerAction::Submit, this->job).outcome, CallerOutcome::NotAccepted);
    EXPECT_TRUE(this->store.partitions[(std::pair{Stream::Jobs, 0})].records.empty());
    EXPECT_EQ(this->ask(CallerAction::Read, "/counter/").outcome, CallerOutcome::Unavailable);
    EXPECT_FALSE(this->service->isReady());
    this->store.unansweredReads.reset();
    this->runUntil([this] {
        return this->service->isReady();
    });
    EXPECT_EQ(this->ask(CallerAction::Submit, this->job).outcome, CallerOutcome::NoSuchQueue);
}

TEST_F(StaleConfigTest, AnAddedQueueIsNotDeniedWhileTheConfigurationIsUnread)
{
    this->store.unansweredReads = Stream::Operator;
    this->configs["2"] = *this->config;
    this->configs["2"].revision = 2;
    this->configs["2"].queues.push_back(this->config->queues.front());
    this->configs["2"].queues.back().id = QueueId{"other"};
    this->configs["2"].queues.back().pathPrefix = "/other/";
    this->publish("2");
    this->runFor(configBound);
    EXPECT_EQ(this->ask(CallerAction::Submit, this->unknownQueue).outcome, CallerOutcome::NotAccepted);
    EXPECT_EQ(this->ask(CallerAction::Read, this->unknownQueue).outcome, CallerOutcome::Unavailable);
    this->store.unansweredReads.reset();
    this->runUntil([this] {
        return this->service->isReady();
    });
    EXPECT_EQ(this->ask(CallerAction::Submit, this->unknownQueue).outcome, CallerOutcome::Accepted);
}

TEST_F(StaleConfigTest, JobsCanBeReadAndCancelledWhileTheConfigurationIsUnread)
{
    ASSERT_EQ(this->ask(CallerAction::Submit, this->job).outcome, CallerOutcome::Accepted);
    this->store.unansweredReads = Stream::Operator;
    this->runFor(configBound);
    EXPECT_EQ(this->ask(CallerAction::Read, this->job).state, JobState::Queued);
    EXPECT_EQ(this->ask(CallerAction::Cancel, this->job).outcome, CallerOutcome::Cancelled);
}

// Guards against the refusal of a job that an earlier attempt has had accepted, which would run though every later attempt was refused.
TEST_F(StaleConfigTest, ARepeatOfAnAcceptedJobIsNotRefusedWhileTheConfigurationIsUnread)
{
    ASSERT_EQ(this->ask(CallerAction::Submit, this->job).outcome, CallerOutcome::Accepted);
    this->store.unansweredReads = Stream::Operator;
    this->runFor(configBound);
    EXPECT_EQ(this->ask(CallerAction::Submit, this->job).outcome, CallerOutcome::MayBeAccepted);
    this->store.unansweredReads.reset();
    this->runUntil([this] {
        return this->service->isReady();
    });
    EXPECT_EQ(this->ask(CallerAction::Submit, this->job).outcome, CallerOutcome::Accepted);
}

// Guards against a malformed configuration that keeps the one before it from taking effect, which is read together with it.
TEST_F(StaleConfigTest, LastReadableConfigurationIsInForceThoughAMalformedOneFollows)
{
    this->configs["2"] = *this->config;
    this->configs["2"].revision = 2;
    this->configs["2"].accounts = *ClientAccounts::create({ClientAccount{AccountId{"north"}, 1.0, {}, {"n-1"}}});
    this->publish("2");
    this->publish("malformed");
    this->publish("malformed, too");
    this->runUntil([this] {
        return this->ask(CallerAction::Read, this->job).outcome == CallerOutcome::Unauthorized;
    });
}

TEST_F(StaleConfigTest, GatewayStaysReadyWithoutNewOperatorRecords)
{
    const auto deadline = std::chrono::steady_clock::now() + 2 * configBound;
    while (std::chrono::steady_clock::now() < deadline) {
        this->runFor(50ms);
        ASSERT_TRUE(this->service->isReady());
    }
}

// Guards against refusals just before each answer: a configuration is as old as the request of the last answered read, not as its answer.
TEST_F(StaleConfigTest, GatewayAcceptsJobsBetweenReadsWithSlowAnswers)
{
    this->store.readAnswerDelay = 100ms;
    const auto deadline = std::chrono::steady_clock::now() + 2 * configBound;
    while (std::chrono::steady_clock::now() < deadline) {
        this->runFor(20ms);
        ASSERT_TRUE(this->service->isReady());
    }
    EXPECT_EQ(this->ask(CallerAction::Submit, this->job).outcome, CallerOutcome::Accepted);
}

}
}
