// Tests of the owner's log lines, gauges and totals about work that waits.
#include "scheduler_test.h"

#include "clocks.h"
#include "waitinglog.h"

namespace MangoCourse {
namespace {

class WaitingJobsTest : public SchedulerTest
{
protected:
    WaitingJobsTest()
    {
        this->gateway.reset();
        this->log = EventLog::create("test", 60);
        this->gateway = std::move(*JobGateway::create(this->context, this->store, *this->log, this->metrics, this->settings));
        this->gateway->setConfig(this->config);
    }

    // Runs until the condition holds or the time has passed, and returns the log lines with the text.
    std::vector<std::string> collectLines(const std::string &text, std::chrono::milliseconds time)
    {
        testing::internal::CaptureStdout();
        this->runFor(time);
        this->log->flush();
        const std::string output = testing::internal::GetCapturedStdout();
        std::vector<std::string> lines;
        for (std::size_t start = 0; start < output.size();) {
            const std::size_t end = std::min(output.find('\n', start), output.size());
            const std::string line = output.substr(start, end - start);
            if (line.find(text) != std::string::npos) {
                lines.push_back(line);
            }
            start = end + 1;
        }
        return lines;
    }

    // Stores a job that no service of the configuration takes.
    void storeJobOfUnknownService()
    {
        AcceptedJob accepted{JobId{"00000000000000bb"}, QueueId{"gone"}, ServiceId{"gone"}, wallNow(), JobSpec{"work", {StepSpec{}}, {}}};
        this->store.partitions[{Stream::Jobs, 0}].records.push_back(StoredRecord{"00000000000000bb", encodeAcceptedJob(accepted), 0});
    }

    static bool has(const std::vector<std::string> &lines, const std::string &text)
    {
        return !lines.empty() && lines.front().find(text) != std::string::npos;
    }
};

TEST_F(WaitingJobsTest, JobOfAnUnknownServiceIsTold)
{
    this->storeJobOfUnknownService();
    const auto owner = this->startOwner(1);
    const std::vector<std::string> lines = this->collectLines("work_waiting", 2000ms);
    EXPECT_TRUE(has(lines, "\"job\":\"00000000000000bb\"")) << lines.size();
    EXPECT_TRUE(has(lines, "\"reason\":\"unassigned\""));
    EXPECT_EQ(owner->unassignedJobs(), 1U);
    owner->stop();
}

TEST_F(WaitingJobsTest, CancelledJobOfAnUnknownServiceIsNotTold)
{
    this->storeJobOfUnknownService();
    auto &records = this->store.partitions[{Stream::Jobs, 0}].records;
    records.push_back(StoredRecord{cancellationKey(JobId{"00000000000000bb"}), "1", 1});
    const auto owner = this->startOwner(1);
    EXPECT_TRUE(this->collectLines("work_waiting", 2000ms).empty());
    EXPECT_EQ(owner->unassignedJobs(), 0U);
    owner->stop();
}

TEST_F(WaitingJobsTest, JobWithoutRoomIsToldAndCounted)
{
    this->executors.endsRuns = false;
    const auto owner = this->startOwner(1);
    AcceptedJob accepted{JobId{"00000000000000cc"}, QueueId{"counter"}, ServiceId{"desk"}, wallNow(), JobSpec{"work", {StepSpec{}}, {}}};
    accepted.spec.steps[0].resources = Resources{65000, 10, 0};
    this->store.partitions[{Stream::Jobs, 0}].records.push_back(StoredRecord{"00000000000000cc", encodeAcceptedJob(accepted), 0});
    const std::vector<std::string> lines = this->collectLines("work_waiting", 2000ms);
    EXPECT_TRUE(has(lines, "\"reason\":\"no-room\"")) << lines.size();
    EXPECT_TRUE(has(lines, "\"usable\":1"));
    EXPECT_TRUE(has(lines, "\"no_cpu\":1"));
    ASSERT_EQ(owner->waiting().size(), 1U);
    const PoolWaiting waiting = owner->waiting().front();
    EXPECT_EQ(asJson(waiting).dump(), R"({"executors":{"usable":1},"jobs":{"no-room":1}})");
    setGauges(this->metrics, ServiceId{"desk"}, waiting);
    EXPECT_NE(this->metrics.toText().find("mangocourse_waiting_jobs{service=\"desk\",reason=\"no-room\"} 1\n"), std::string::npos);
    EXPECT_NE(this->metrics.toText().find("mangocourse_executors{service=\"desk\",usability=\"usable\"} 1\n"), std::string::npos);
    clearGauges(this->metrics);
    EXPECT_EQ(this->metrics.toText().find("service=\"desk\""), std::string::npos);
    owner->stop();
}

TEST_F(WaitingJobsTest, RunThatItsExecutorDoesNotListIsTold)
{
    this->executors.endsRuns = false;
    const auto owner = this->startOwner(1);
    EXPECT_EQ(this->call(CallerAction::Submit, this->job).outcome, CallerOutcome::Accepted);
    this->runUntil([this] {
        return this->executors.running.size() == 3;
    });
    this->executors.running.resize(2);
    const std::vector<std::string> lines = this->collectLines("run_unlisted", 3500ms);
    EXPECT_EQ(lines.size(), 1U);
    EXPECT_TRUE(has(lines, "\"phase\":\"running\""));
    EXPECT_TRUE(has(lines, "\"job\":\"00000000000000aa\""));
    owner->stop();
}

TEST_F(WaitingJobsTest, TakeoverThatCannotReadTheStoreIsTold)
{
    this->store.behaviour = StoreBehaviour::Refusing;
    const auto owner = this->startOwner(1);
    const std::vector<std::string> lines = this->collectLines("takeover_delayed", 3000ms);
    EXPECT_TRUE(has(lines, "\"reason\":\"the fence is not set\"")) << lines.size();
    owner->stop();
}

TEST_F(WaitingJobsTest, TakeoverWithoutAConfigurationIsTold)
{
    const OwnerContext context{this->context, this->store, this->executors, nullptr, *this->log, this->metrics, this->settings};
    const auto owner = ShardOwner::create(context, 0, 1);
    owner->start();
    const std::vector<std::string> lines = this->collectLines("takeover_delayed", 3000ms);
    EXPECT_TRUE(has(lines, "\"reason\":\"there is no configuration\"")) << lines.size();
    owner->stop();
}

}
}
