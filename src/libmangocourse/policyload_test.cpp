// Plays load on queues with a placement policy against a policy that answers one request at a time, and checks how long the jobs wait for their starts.
#include <mangocourse/policyturns.h>

#include <deque>

#include "poolscheduler_test.h"

namespace MangoCourse {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds tickLength{5};
constexpr milliseconds reportInterval{100};
constexpr milliseconds runTime{1000};
constexpr int executorCount = 30;

// What the policy does with a request.
enum class PolicyBehaviour {
    Answers,
    RefusesAsBusy,
    FailsAtOnce,
    RefusesConnections,
    // The request takes its turn, but the answer is lost.
    KeepsSilent,
};

class PolicyLoadTest : public PoolSchedulerTest
{
protected:
    void SetUp() override
    {
        PoolSchedulerTest::SetUp();
        this->setPolicy("counter", PlacementPolicy{30ms, 3ms, 3000ms});
        std::vector<ExecutorInfo> infos;
        for (int number = 0; number < executorCount; ++number) {
            infos.push_back(executor("x" + std::to_string(number + 10)));
        }
        this->setDiscovered(infos);
        this->reportAll();
    }

    void setPolicy(const std::string &queue, const PlacementPolicy &policy)
    {
        auto found = std::find_if(this->config.queues.begin(), this->config.queues.end(), [&queue](const QueueConfig &known) {
            return known.id.value == queue;
        });
        if (found == this->config.queues.end()) {
            this->config.queues.push_back(this->config.queues.front());
            found = this->config.queues.end() - 1;
            found->id = QueueId{queue};
        }
        found->policy = policy;
        this->scheduler->setConfig(this->config);
    }

    static StepSpec step(std::int32_t count)
    {
        StepSpec spec;
        spec.count = count;
        spec.resources = Resources{3500, gigabyte / 4, 0};
        spec.estimate = runTime;
        return spec;
    }

    JobId submit(const std::string &queue, const StepSpec &spec)
    {
        AcceptedJob accepted = this->job("j" + std::to_string(1000 + this->submittedAt.size()), spec);
        accepted.queue = QueueId{queue};
        this->submittedAt.emplace(accepted.id, this->now);
        this->queueOf.emplace(accepted.id, queue);
        this->add(accepted);
        return accepted.id;
    }

    // Submits jobs at the rate for the given time.
    void play(milliseconds time, double jobsPerSecond, const std::string &queue = "counter", std::int32_t items = 2)
    {
        const TimePoint end = this->now + time;
        double due = 0;
        while (this->now < end) {
            due += jobsPerSecond * std::chrono::duration<double>(tickLength).count();
            for (; due >= 1.0; due -= 1.0) {
                this->submit(queue, step(items));
            }
            this->tick();
        }
    }

    void tick()
    {
        this->advance(tickLength);
        this->endRuns();
        this->endRequest();
        this->beginRequest();
        for (const StartOrder &order : this->planAndConfirm().starts) {
            const auto pass = this->passes.find(order.run.pass);
            const bool isValid = pass != this->passes.end() && pass->second.first == order.executor.id && pass->second.second >= this->now;
            this->invalidPasses += isValid ? 0 : 1;
            this->startedAt.emplace(order.run.item.job, this->now);
            this->runs[order.executor.id.value].push_back(PlayedRun{order.run.item, order.run.run, this->now + runTime});
        }
        if (this->now >= this->nextReportAt) {
            this->reportAll();
        }
    }

    // Returns the longest time that a job of the queue has waited for its first start, also of those that have not started yet.
    milliseconds longestWait(const std::string &queue = "counter") const
    {
        milliseconds longest{};
        for (const auto &[job, at] : this->submittedAt) {
            if (this->queueOf.at(job) == queue && !this->cancelled.contains(job)) {
                const auto started = this->startedAt.find(job);
                const TimePoint until = started == this->startedAt.end() ? this->now : started->second;
                longest = std::max(longest, std::chrono::duration_cast<milliseconds>(until - at));
            }
        }
        return longest;
    }

    std::size_t waitingJobs() const
    {
        return this->submittedAt.size() - this->startedAt.size() - this->cancelled.size();
    }

    // Plays on without new jobs until all have started. Returns how long that took, or `limit`.
    milliseconds playUntilAllStarted(milliseconds limit)
    {
        const TimePoint begin = this->now;
        while (this->waitingJobs() > 0 && this->now - begin < limit) {
            this->tick();
        }
        return std::chrono::duration_cast<milliseconds>(this->now - begin);
    }

    void cancel(const JobId &job)
    {
        this->scheduler->cancelJob(job, this->now, this->wall);
        this->cancelled.insert(job);
    }

    std::function<PolicyBehaviour()> behaviour = [] {
        return PolicyBehaviour::Answers;
    };
    std::function<bool(const ItemId &step, const ExecutorId &executor)> isAllowed = [](const ItemId &, const ExecutorId &) {
        return true;
    };
    // Actual duration of a request as a multiple of the declared one.
    int slowness = 1;
    PolicyTurns turns;
    std::map<JobId, TimePoint> submittedAt;
    std::map<JobId, TimePoint> startedAt;
    std::map<JobId, std::string> queueOf;
    std::set<JobId> cancelled;
    std::vector<PolicyRequest> requests;
    int invalidPasses = 0;
    int timeouts = 0;

private:
    struct PlayedRun {
        ItemId item;
        std::int64_t number = 0;
        TimePoint endsAt{};
    };

    struct RequestInProgress {
        PolicyRequest request;
        PolicyOutcome outcome = PolicyOutcome::Answered;
        TimePoint endsAt{};
        TimePoint givenUpAt{};
    };

    void reportAll()
    {
        this->nextReportAt = this->now + reportInterval;
        for (int number = 0; number < executorCount; ++number) {
            this->reportRuns("x" + std::to_string(number + 10), {});
        }
    }

    void reportRuns(const std::string &name, std::vector<ReportedEnd> ended)
    {
        std::vector<ReportedRun> running;
        for (const PlayedRun &run : this->runs[name]) {
            running.push_back(ReportedRun{run.item, run.number, {}, 100, 0});
        }
        this->report(name, std::move(running), std::move(ended));
    }

    void endRuns()
    {
        for (auto &[name, played] : this->runs) {
            std::vector<ReportedEnd> ended;
            for (const PlayedRun &run : played) {
                if (run.endsAt <= this->now) {
                    ended.push_back(ReportedEnd{++this->lastEnd[name], run.item, run.number, RunEnd::Done, {}});
                }
            }
            std::erase_if(played, [this](const PlayedRun &run) {
                return run.endsAt <= this->now;
            });
            if (!ended.empty()) {
                this->reportRuns(name, std::move(ended));
            }
        }
    }

    void beginRequest()
    {
        const std::vector<QueuePolicyNeeds> needs = this->scheduler->policyNeeds(this->now);
        const std::optional<PolicyTurns::Choice> choice = this->turns.choose(needs, this->now);
        if (!choice) {
            return;
        }
        std::optional<PolicyRequest> request = this->scheduler->takePolicyRequest(choice->need.step, this->now);
        ASSERT_TRUE(request) << "a step that needs the policy has no request";
        const milliseconds timeout = this->turns.begin(request->queue, choice->need, request->expectedDuration, this->now);
        this->requests.push_back(*request);
        RequestInProgress begun{*request, PolicyOutcome::Answered, this->now, this->now + timeout};
        switch (this->behaviour()) {
        case PolicyBehaviour::RefusesAsBusy:
            begun.outcome = PolicyOutcome::Busy;
            break;
        case PolicyBehaviour::FailsAtOnce:
            begun.outcome = PolicyOutcome::Failed;
            break;
        case PolicyBehaviour::RefusesConnections:
            begun.outcome = PolicyOutcome::Unreachable;
            break;
        case PolicyBehaviour::KeepsSilent:
        case PolicyBehaviour::Answers:
            this->policyBusyUntil = std::max(this->policyBusyUntil, this->now) + request->expectedDuration * this->slowness;
            begun.endsAt = this->behaviour() == PolicyBehaviour::Answers ? this->policyBusyUntil : TimePoint::max();
            break;
        }
        this->inProgress = std::move(begun);
    }

    void endRequest()
    {
        if (!this->inProgress || (this->inProgress->endsAt > this->now && this->inProgress->givenUpAt > this->now)) {
            return;
        }
        RequestInProgress ended = std::move(*this->inProgress);
        this->inProgress.reset();
        if (ended.endsAt > this->now) {
            ended.outcome = PolicyOutcome::TimedOut;
            ++this->timeouts;
        }
        this->turns.end(ended.outcome, this->now);
        if (ended.outcome != PolicyOutcome::Answered) {
            this->scheduler->onPolicyFailure(ended.request.step, ended.outcome, this->now);
            return;
        }
        const auto queue = std::find_if(this->config.queues.begin(), this->config.queues.end(), [&ended](const QueueConfig &known) {
            return known.id == ended.request.queue;
        });
        PolicyAnswer answer{{}, queue->policy->validity};
        for (const ExecutorId &named : ended.request.executors) {
            if (this->isAllowed(ended.request.step, named)) {
                const std::string pass = "pass" + std::to_string(this->passes.size());
                this->passes.emplace(pass, std::pair(named, this->now + answer.validity));
                answer.passes.push_back(PlacementPass{named, pass});
            }
        }
        this->scheduler->onPolicyAnswer(ended.request.step, answer, this->now);
    }

    std::map<std::string, std::vector<PlayedRun>> runs;
    std::map<std::string, std::int64_t> lastEnd;
    std::map<std::string, std::pair<ExecutorId, TimePoint>> passes;
    std::optional<RequestInProgress> inProgress;
    TimePoint policyBusyUntil{};
    TimePoint nextReportAt{};
};

// Guards against requests that name so many executors that a burst exceeds the policy's time although smaller ones would do (review/5).
TEST_F(PolicyLoadTest, BurstThatThePolicyCanCarryDoesNotWait)
{
    this->play(8s, 7.41);
    this->play(4s, 7.41 * 2.1);
    this->play(8s, 7.41);
    this->playUntilAllStarted(5s);
    EXPECT_EQ(this->waitingJobs(), 0U);
    EXPECT_LE(this->longestWait(), 300ms);
    EXPECT_EQ(this->invalidPasses, 0);
}

// Half of the jobs of such a burst waited over 5 s beside idle executors.
TEST_F(PolicyLoadTest, OnlyWhatThePolicyCannotCarryWaitsAfterABurst)
{
    constexpr double burst = 60;
    constexpr double smallestRequest = 0.033;
    this->play(4s, 7.41);
    this->play(4s, burst);
    // The backlog at the end of the burst, at the rate of the smallest requests.
    const double backlog = 4 * (burst - 1 / smallestRequest);
    this->play(milliseconds(static_cast<std::int64_t>(1000 * 1.3 * backlog * smallestRequest / (1 - 7.41 * smallestRequest))), 7.41);
    EXPECT_LE(this->waitingJobs(), 2U);
    std::vector<milliseconds> waits;
    for (const auto &[job, at] : this->submittedAt) {
        const auto started = this->startedAt.find(job);
        waits.push_back(std::chrono::duration_cast<milliseconds>((started == this->startedAt.end() ? this->now : started->second) - at));
    }
    std::sort(waits.begin(), waits.end());
    EXPECT_LE(waits[waits.size() / 2], 500ms) << "half of the jobs can start in time";
}

TEST_F(PolicyLoadTest, CancelledJobsTakeNoTurns)
{
    std::vector<JobId> jobs;
    for (int count = 0; count < 200; ++count) {
        jobs.push_back(this->submit("counter", step(2)));
    }
    this->tick();
    for (int number = 0; number < 190; ++number) {
        this->cancel(jobs[static_cast<std::size_t>(number)]);
    }
    this->playUntilAllStarted(5s);
    EXPECT_EQ(this->waitingJobs(), 0U);
    EXPECT_LE(this->requests.size(), 12U) << "at most the request in progress was for a cancelled job";
}

// Also if all jobs of the other queue are more urgent.
TEST_F(PolicyLoadTest, BacklogOfOneQueueDoesNotHoldUpAnother)
{
    this->setPolicy("patient", PlacementPolicy{30ms, 3ms, 3000ms});
    this->config.queues.back().targetLatency = 60s;
    this->scheduler->setConfig(this->config);
    const TimePoint end = this->now + 5s;
    while (this->now < end) {
        this->submit("counter", step(1));
        this->submit("counter", step(1));
        this->play(50ms, 0);
        this->submit("patient", step(1));
        this->play(150ms, 50);
    }
    // The own request, the one in progress and one of the other queue in between.
    EXPECT_LE(this->longestWait("patient"), 3 * 50ms + 2 * tickLength);
    EXPECT_GT(this->longestWait("counter"), 1s) << "the backlog is longer than the policy can carry";
}

// With a policy that rules out most executors and some steps altogether.
TEST_F(PolicyLoadTest, StepsThatNoExecutorMayRunDoNotHoldUpTheOthers)
{
    this->isAllowed = [](const ItemId &asked, const ExecutorId &named) {
        const std::size_t number = std::hash<std::string>{}(asked.job.value + named.value);
        return asked.job.value.back() != '0' && number % 4 == 0;
    };
    this->play(10s, 7.41);
    const std::size_t requestsOfTenSeconds = this->requests.size();
    this->play(10s, 0);
    std::size_t hopeless = 0;
    milliseconds longest{};
    for (const auto &[job, at] : this->submittedAt) {
        const auto started = this->startedAt.find(job);
        if (job.value.back() == '0') {
            ++hopeless;
            EXPECT_EQ(started, this->startedAt.end());
        } else {
            ASSERT_NE(started, this->startedAt.end()) << job.value;
            longest = std::max(longest, std::chrono::duration_cast<milliseconds>(started->second - at));
        }
    }
    EXPECT_GE(hopeless, 5U);
    EXPECT_LE(longest, 1500ms);
    EXPECT_LE(this->requests.size() - requestsOfTenSeconds, hopeless) << "what the policy has ruled out is asked about again and again";
}

TEST_F(PolicyLoadTest, DeclaredDurationsAboveThreeSecondsAreAwaited)
{
    this->setPolicy("counter", PlacementPolicy{4000ms, 100ms, 5000ms});
    this->submit("counter", step(2));
    this->submit("counter", step(2));
    EXPECT_LT(this->playUntilAllStarted(20s), 10s);
    EXPECT_EQ(this->timeouts, 0);
}

// The requests that are given up keep their turns, so the answers come later and later unless the time to wait grows.
TEST_F(PolicyLoadTest, PolicyThatIsSlowerThanDeclaredIsAwaitedInTheEnd)
{
    this->setPolicy("counter", PlacementPolicy{400ms, 3ms, 3000ms});
    this->slowness = 6;
    for (int count = 0; count < 5; ++count) {
        this->submit("counter", step(1));
    }
    EXPECT_LT(this->playUntilAllStarted(60s), 30s);
}

TEST_F(PolicyLoadTest, FailuresAreFollowedByGrowingPausesAndEndWithTheFault)
{
    constexpr milliseconds fault{8000};
    for (const PolicyBehaviour faulty :
        {PolicyBehaviour::RefusesAsBusy, PolicyBehaviour::FailsAtOnce, PolicyBehaviour::RefusesConnections, PolicyBehaviour::KeepsSilent}) {
        const TimePoint faultEnd = this->now + fault;
        this->behaviour = [this, faulty, faultEnd] {
            return this->now < faultEnd ? faulty : PolicyBehaviour::Answers;
        };
        const std::size_t requestsBefore = this->requests.size();
        this->play(fault, 7.41);
        EXPECT_LE(this->requests.size() - requestsBefore, 16U) << "pauses of 0.1 to 1 s, fault " << static_cast<int>(faulty);
        // A call without an answer and a pause, then the backlog at the rate of the smallest requests.
        EXPECT_LE(this->playUntilAllStarted(30s), 4500ms + 60 * 50ms) << "fault " << static_cast<int>(faulty);
        EXPECT_EQ(this->waitingJobs(), 0U) << "fault " << static_cast<int>(faulty);
        this->play(3s, 0);
    }
}

// An error for one step must not hold up the others.
TEST_F(PolicyLoadTest, StepThatThePolicyFailsOnDoesNotHoldUpTheOthers)
{
    const JobId bad = this->submit("counter", step(1));
    this->behaviour = [this, bad] {
        return this->requests.back().step.job == bad ? PolicyBehaviour::FailsAtOnce : PolicyBehaviour::Answers;
    };
    this->play(10s, 7.41);
    this->startedAt.emplace(bad, this->now);
    this->submittedAt[bad] = this->now;
    this->playUntilAllStarted(2s);
    EXPECT_LE(this->longestWait(), 500ms);
    const auto forBad = std::count_if(this->requests.begin(), this->requests.end(), [&bad](const PolicyRequest &request) {
        return request.step.job == bad;
    });
    EXPECT_LE(forBad, 12) << "pauses of 0.1 to 2 s";
}

// Guards against a request for a large step that takes seconds, while urgent ones wait.
TEST_F(PolicyLoadTest, LargeStepDoesNotHoldUpTheOthersForLong)
{
    this->setPolicy("counter", PlacementPolicy{30ms, 100ms, 3000ms});
    this->submit("counter", step(executorCount * 18 * 3));
    this->setPolicy("other", PlacementPolicy{30ms, 3ms, 3000ms});
    StepSpec small = step(1);
    small.resources.cpu = 100;
    const TimePoint end = this->now + 8s;
    while (this->now < end) {
        this->play(200ms, 0);
        this->submit("other", small);
    }
    // The request in progress, one more of the large step, and the own one.
    EXPECT_LE(this->longestWait("other"), 2 * 530ms + 100ms);
}

// The members of a gang need passes that are valid together.
TEST_F(PolicyLoadTest, GangThatNeedsAllExecutorsStarts)
{
    this->setPolicy("counter", PlacementPolicy{30ms, 60ms, 1000ms});
    StepSpec gang = step(executorCount);
    gang.isGang = true;
    gang.perExecutorLimit = 1;
    this->submit("counter", gang);
    EXPECT_LT(this->playUntilAllStarted(10s), 6s);
}

TEST_F(PolicyLoadTest, StepOfManyItemsThatOutlastsItsPassesGetsNewOnes)
{
    this->setPolicy("counter", PlacementPolicy{30ms, 3ms, 500ms});
    // 18 items of this size fit on each executor, so the step runs in two waves.
    this->submit("counter", step(executorCount * 18 * 2));
    this->play(6s, 0);
    EXPECT_EQ(this->scheduler->summary().runs, 0U);
    EXPECT_EQ(this->invalidPasses, 0);
    const std::vector<JobProgress> progress = this->scheduler->takeChangedJobs();
    EXPECT_EQ(this->savedProgress.begin()->second.state, JobState::Completed);
}

TEST_F(PolicyLoadTest, PassesAreTakenForExpiredBeforeTheyAre)
{
    this->setPolicy("counter", PlacementPolicy{30ms, 3ms, 300ms});
    this->play(5s, 15, "counter", 20);
    this->playUntilAllStarted(10s);
    EXPECT_EQ(this->waitingJobs(), 0U);
    EXPECT_EQ(this->invalidPasses, 0);
}

TEST(PolicyRequestSize, NamesAsManyExecutorsAsPayOff)
{
    const PlacementPolicy usual{30ms, 3ms, 3000ms};
    EXPECT_EQ(choosePolicyRequestSize(usual, 1, 30, 1.0), 1U);
    EXPECT_EQ(choosePolicyRequestSize(usual, 2, 30, 1.0), 2U);
    // The fifth would cost 3 ms and save a further request of 33 ms in one of 16 cases.
    EXPECT_EQ(choosePolicyRequestSize(usual, 1, 30, 0.5), 4U);
    EXPECT_GT(choosePolicyRequestSize(usual, 3, 30, 0.5), 6U);
    EXPECT_EQ(choosePolicyRequestSize(usual, 1, 3, 0.1), 3U);
    EXPECT_EQ(choosePolicyRequestSize(usual, 500, 400, 0.5), maxExecutorsPerPolicyRequest);
    EXPECT_EQ(choosePolicyRequestSize(usual, 1, 0, 0.5), 0U);
    // Naming costs nothing.
    EXPECT_EQ(choosePolicyRequestSize(PlacementPolicy{}, 1, 30, 0.5), 30U);
    // Requests cost little beside the executors that they name.
    EXPECT_EQ(choosePolicyRequestSize(PlacementPolicy{1ms, 50ms, 3000ms}, 1, 30, 0.5), 1U);
}

TEST(PolicyTurnsTest, TurnIsReleasedByEveryOutcome)
{
    PolicyTurns turns;
    TimePoint now{1s};
    const std::vector<QueuePolicyNeeds> needs{
        QueuePolicyNeeds{QueueId{"q"}, PolicyNeed{ItemId{JobId{"a"}, 0, 0, 0}, PolicyPurpose::Start, {}, {}}, PolicyNeed{}, 1}};
    for (const PolicyOutcome outcome :
        {PolicyOutcome::Busy, PolicyOutcome::Failed, PolicyOutcome::Unreachable, PolicyOutcome::TimedOut, PolicyOutcome::Answered}) {
        ASSERT_TRUE(turns.choose(needs, now)) << toString(outcome);
        turns.begin(QueueId{"q"}, needs.front().mostUrgent, 30ms, now);
        EXPECT_FALSE(turns.choose(needs, now)) << "one request at a time";
        turns.end(outcome, now);
        EXPECT_LE(turns.pausedUntil() - now, 1s);
        now = std::max(now, turns.pausedUntil());
    }
    EXPECT_EQ(turns.failures(), 0);
}

}
}
