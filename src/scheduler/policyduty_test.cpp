// Tests of a process's requests to the placement policy: one at a time, released by failures and hand-overs, and told in log and metrics.
#include "policyduty.h"

#include "scheduler_test.h"

namespace MangoCourse {
namespace {

// Allows every executor after a while, or fails.
class FakePolicy : public PolicyPort
{
public:
    explicit FakePolicy(net::io_context &context)
        : context(context)
    {
    }

    net::awaitable<Result<PolicyAnswer>> advise(const ItemId &step, std::vector<ExecutorId> named, std::chrono::milliseconds timeout) override
    {
        this->asked.push_back(step);
        this->maxConcurrent = std::max(this->maxConcurrent, ++this->concurrent);
        const auto deadline = std::chrono::steady_clock::now() + timeout;
        co_await sleepFor(this->context, this->answerDelay);
        while (this->isSilent && std::chrono::steady_clock::now() < deadline) {
            co_await sleepFor(this->context, 5ms);
        }
        --this->concurrent;
        if (std::chrono::steady_clock::now() >= deadline) {
            co_return makeError(ErrorCode::Timeout, "no answer");
        }
        if (this->failure) {
            co_return makeError(*this->failure, "status 429");
        }
        PolicyAnswer answer{{}, 3s};
        for (const ExecutorId &executor : named) {
            answer.passes.push_back(PlacementPass{executor, "pass"});
        }
        co_return answer;
    }

    net::io_context &context;
    std::vector<ItemId> asked;
    int concurrent = 0;
    int maxConcurrent = 0;
    std::chrono::milliseconds answerDelay{5};
    bool isSilent = false;
    std::optional<ErrorCode> failure;
};

class PolicyDutyTest : public SchedulerTest
{
protected:
    PolicyDutyTest()
        : wanted(context)
        , policy(context)
    {
        auto guarded = std::make_shared<FleetConfig>(*this->config);
        guarded->queues.front().policy = PlacementPolicy{5ms, 1ms, 3000ms};
        this->config = guarded;
        this->gateway.reset();
        this->log = EventLog::create("test", 60);
        this->gateway = std::move(*JobGateway::create(this->context, this->store, *this->log, this->metrics, this->settings));
        this->gateway->setConfig(this->config);
        this->policyWanted = &this->wanted;
        this->duty = PolicyDuty::create(this->context, this->policy, *this->log, this->metrics, this->wanted, [this] {
            return this->owners;
        });
        this->duty->start();
    }

    ~PolicyDutyTest() override
    {
        this->duty->stop();
        for (const auto &owner : this->owners) {
            owner->stop();
        }
        this->runFor(50ms);
    }

    void submit(int jobs)
    {
        for (int number = 0; number < jobs; ++number) {
            const std::string id = std::to_string(1'000'000'000'000'000 + this->submitted++);
            ASSERT_EQ(this->call(CallerAction::Submit, "/counter/" + id).outcome, CallerOutcome::Accepted);
        }
    }

    // Every job has three items.
    void runUntilAllStarted()
    {
        this->runUntil([this] {
            return this->executors.starts.size() == static_cast<std::size_t>(this->submitted) * 3;
        });
    }

    Event wanted;
    FakePolicy policy;
    std::vector<std::shared_ptr<ShardOwner>> owners;
    std::shared_ptr<PolicyDuty> duty;
    int submitted = 0;
};

TEST_F(PolicyDutyTest, RequestsAreMadeOneAtATime)
{
    this->owners.push_back(this->startOwner(1));
    this->submit(12);
    this->runUntilAllStarted();
    EXPECT_EQ(this->policy.maxConcurrent, 1);
    EXPECT_EQ(this->policy.asked.size(), 12U);
}

// Guards against a turn that ends with the owner that took it, after which no job of the process is asked about.
TEST_F(PolicyDutyTest, OwnerThatEndsDuringItsRequestReleasesTheTurn)
{
    this->owners.push_back(this->startOwner(1));
    this->policy.isSilent = true;
    this->submit(3);
    this->runUntil([this] {
        return !this->policy.asked.empty();
    });
    net::co_spawn(this->context, this->owners.front()->handOver(), net::detached);
    this->owners = {this->startOwner(2)};
    this->runFor(200ms);
    this->policy.isSilent = false;
    this->runUntilAllStarted();
    EXPECT_EQ(this->policy.maxConcurrent, 1);
}

TEST_F(PolicyDutyTest, FailuresAreToldAndWorkGoesOnAfterThem)
{
    this->owners.push_back(this->startOwner(1));
    this->policy.failure = ErrorCode::Refused;
    testing::internal::CaptureStdout();
    this->submit(3);
    this->runFor(1000ms);
    EXPECT_TRUE(this->executors.starts.empty());
    EXPECT_LE(this->policy.asked.size(), 5U) << "the pauses grow";
    EXPECT_NE(this->metrics.toText().find("mangocourse_policy_waiting_steps{queue=\"counter\"} 3"), std::string::npos);
    this->policy.failure.reset();
    this->runUntilAllStarted();
    this->log->flush();
    const std::string lines = testing::internal::GetCapturedStdout();
    for (const char *text : {"\"event\":\"policy_lost\"", "\"outcome\":\"busy\"", "\"event\":\"policy_regained\"", "\"event\":\"policy_asked\"", "\"named\":1",
             "\"allowed\":1", "\"pause_ms\":"}) {
        EXPECT_NE(lines.find(text), std::string::npos) << text;
    }
    const std::string metricsText = this->metrics.toText();
    for (const char *text : {"mangocourse_policy_requests_total{outcome=\"busy\"}", "mangocourse_policy_requests_total{outcome=\"answered\"} 3",
             "mangocourse_policy_wait_seconds"}) {
        EXPECT_NE(metricsText.find(text), std::string::npos) << text;
    }
}

TEST_F(PolicyDutyTest, StoppedDutyMakesNoFurtherRequests)
{
    this->owners.push_back(this->startOwner(1));
    this->duty->stop();
    this->submit(2);
    this->runFor(300ms);
    EXPECT_TRUE(this->policy.asked.empty());
}

}
}
