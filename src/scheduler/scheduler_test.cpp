// The scheduler's duties against a store kept in memory.
#include "scheduler_test.h"

namespace MangoCourse {
namespace {

TEST_F(SchedulerTest, AJobIsAcceptedRunAndShownCompleted)
{
    const auto owner = this->own(1);
    EXPECT_EQ(this->call(CallerAction::Submit, this->job).outcome, CallerOutcome::Accepted);
    this->runUntil([this] {
        return this->call(CallerAction::Read, this->job).state == JobState::Completed;
    });
    EXPECT_EQ(this->executors.starts.size(), 3U);
    for (const auto &[item, starts] : this->executors.starts) {
        EXPECT_EQ(starts, 1);
    }
    owner->stop();
}

TEST_F(SchedulerTest, SubmittingAgainStaysOneJob)
{
    const auto owner = this->own(1);
    for (int tries = 0; tries < 3; ++tries) {
        EXPECT_EQ(this->call(CallerAction::Submit, this->job).outcome, CallerOutcome::Accepted);
    }
    this->runUntil([this] {
        return this->call(CallerAction::Read, this->job).state == JobState::Completed;
    });
    EXPECT_EQ(this->executors.starts.size(), 3U);
    owner->stop();
}

TEST_F(SchedulerTest, ARefusalMeansThatNothingWasStored)
{
    this->store.mood = StoreMood::Refusing;
    const CallerReply reply = this->call(CallerAction::Submit, this->job, 300ms);
    EXPECT_EQ(reply.outcome, CallerOutcome::NotAccepted);
    EXPECT_GT(reply.retryAfter, 0ms);
    EXPECT_TRUE((this->store.partitions[{Stream::Jobs, 0}].records.empty()));
}

TEST_F(SchedulerTest, ALostAnswerIsNotARefusal)
{
    this->store.mood = StoreMood::Forgetful;
    EXPECT_EQ(this->call(CallerAction::Submit, this->job, 300ms).outcome, CallerOutcome::MayBeAccepted);
}

TEST_F(SchedulerTest, WhileTheStoreIsAwayCallersLearnAtOnceWhenToComeBack)
{
    this->store.mood = StoreMood::Refusing;
    bool isProbing = true;
    net::co_spawn(
        this->context,
        [this, &isProbing]() -> net::awaitable<void> {
            const auto until = std::chrono::steady_clock::now() + 1200ms;
            for (int number = 0; std::chrono::steady_clock::now() < until; ++number) {
                CallerRequest request;
                request.action = CallerAction::Submit;
                request.host = "host";
                request.path = "/counter/00000000000000" + std::to_string(10 + number % 80);
                request.timeout = 3000ms;
                request.decodeJob = [] {
                    return Result<JobSpec>(JobSpec{"work", {StepSpec{}}, {}});
                };
                const CallerReply reply = co_await this->gateway->handle(request);
                EXPECT_EQ(reply.outcome, CallerOutcome::NotAccepted);
            }
            isProbing = false;
        },
        net::detached);
    this->runFor(100ms);
    const auto asked = std::chrono::steady_clock::now();
    const CallerReply reply = this->call(CallerAction::Submit, this->job, 3000ms);
    EXPECT_EQ(reply.outcome, CallerOutcome::NotAccepted);
    EXPECT_GT(reply.retryAfter, 0ms);
    // Not held until the caller's limit.
    EXPECT_LT(std::chrono::steady_clock::now() - asked, 1000ms);
    this->runUntil([&isProbing] {
        return !isProbing;
    });
    EXPECT_TRUE((this->store.partitions[{Stream::Jobs, 0}].records.empty()));
    this->store.mood = StoreMood::Fine;
    EXPECT_EQ(this->call(CallerAction::Submit, this->job).outcome, CallerOutcome::Accepted);
}

TEST_F(SchedulerTest, AMembershipThatMayHaveLapsedIsUncertainOnceTheGroupHasChanged)
{
    std::vector<MembershipConfirmation> confirmations;
    GroupMember member(this->context, this->store, *this->log, Group::Planners, 300ms,
        GroupMember::Handlers{[&confirmations](const MembershipConfirmation &confirmation) {
                                  confirmations.push_back(confirmation);
                              },
            [](bool) {
            }});
    this->store.membership = Membership{7, {OwnedPartition{Stream::Plan, 0}}};
    net::co_spawn(this->context, member.run(), net::detached);
    this->runUntil([&confirmations] {
        return confirmations.size() == 2;
    });
    EXPECT_FALSE(confirmations.back().isUncertain);
    EXPECT_EQ(member.confirmedUntil() - member.confirmedAt(), Duration(300ms));
    this->store.mood = StoreMood::Refusing;
    this->runFor(600ms);
    this->store.mood = StoreMood::Fine;
    this->store.membership.generation = 9;
    const std::size_t before = confirmations.size();
    this->runUntil([&confirmations, before] {
        return confirmations.size() > before;
    });
    EXPECT_TRUE(confirmations[before].isUncertain);
    EXPECT_EQ(member.generation(), 9);
    member.stop();
    this->runFor(400ms);
}

TEST_F(SchedulerTest, UnknownJobsAndQueuesAreToldApart)
{
    EXPECT_EQ(this->call(CallerAction::Read, this->job).outcome, CallerOutcome::NoSuchJob);
    EXPECT_EQ(this->call(CallerAction::Cancel, this->job).outcome, CallerOutcome::NoSuchJob);
    EXPECT_EQ(this->call(CallerAction::Read, "/nothing/00000000000000aa").outcome, CallerOutcome::NoSuchQueue);
    EXPECT_EQ(this->call(CallerAction::Submit, "/counter/xyz").outcome, CallerOutcome::Invalid);
    this->store.mood = StoreMood::Refusing;
    EXPECT_EQ(this->call(CallerAction::Read, "/counter/00000000000000bb").outcome, CallerOutcome::Unavailable);
}

TEST_F(SchedulerTest, ACancelledJobIsShownSoAndDoesNotStart)
{
    EXPECT_EQ(this->call(CallerAction::Submit, this->job).outcome, CallerOutcome::Accepted);
    EXPECT_EQ(this->call(CallerAction::Cancel, this->job).outcome, CallerOutcome::Cancelled);
    EXPECT_EQ(this->call(CallerAction::Read, this->job).state, JobState::Cancelled);
    const auto owner = this->own(1);
    this->runUntil([this] {
        return !this->store.partitions[{Stream::Progress, 0}].records.empty()
            && this->store.partitions[{Stream::Progress, 0}].records.back().key == "00000000000000aa";
    });
    EXPECT_TRUE(this->executors.starts.empty());
    owner->stop();
}

TEST_F(SchedulerTest, ALaterOwnerFencesTheEarlierAndKeepsItsRuns)
{
    this->executors.endsRuns = false;
    const auto first = this->own(1);
    EXPECT_EQ(this->call(CallerAction::Submit, this->job).outcome, CallerOutcome::Accepted);
    this->runUntil([this] {
        return this->executors.running.size() == 3;
    });
    const auto second = this->own(2);
    this->runUntil([&first] {
        return first->isSuperseded();
    });
    this->runFor(200ms);
    for (const auto &[item, starts] : this->executors.starts) {
        EXPECT_EQ(starts, 1);
    }
    EXPECT_TRUE(second->isActive());
    first->stop();
    second->stop();
}

TEST_F(SchedulerTest, HandingOverNeverHasTwoAppendsUnderWay)
{
    const auto owner = this->own(1);
    for (char digit = 'a'; digit <= 'f'; ++digit) {
        EXPECT_EQ(this->call(CallerAction::Submit, std::string("/counter/000000000000000") + digit).outcome, CallerOutcome::Accepted);
    }
    this->store.mostAppendsUnderWay = 0;
    bool isDone = false;
    net::co_spawn(
        this->context,
        [owner, &isDone]() -> net::awaitable<void> {
            co_await owner->handOver();
            isDone = true;
        },
        net::detached);
    this->runUntil([&isDone] {
        return isDone;
    });
    EXPECT_LE(this->store.mostAppendsUnderWay, 1);
    EXPECT_EQ(this->store.repeats, 0);
}

TEST_F(SchedulerTest, ConnectionsOfExecutorsThatAreGoneAreGivenUp)
{
    const auto owner = this->own(1);
    this->runUntil([this] {
        return this->executors.highestToken == 1;
    });
    EXPECT_EQ(this->executors.forgotten, 0);
    owner->setExecutors({}, BootClock().now());
    this->runUntil([this] {
        return this->executors.forgotten == 1;
    });
    owner->stop();
}

TEST_F(SchedulerTest, OldJobsAreDeletedTheirStateLast)
{
    this->settings.statusRetention = -120s;
    const auto owner = this->own(1);
    EXPECT_EQ(this->call(CallerAction::Submit, this->job).outcome, CallerOutcome::Accepted);
    this->runUntil([this] {
        const auto &records = this->store.partitions[{Stream::Progress, 0}].records;
        return !records.empty() && records.back().key == "00000000000000aa" && records.back().value.empty();
    });
    const auto &jobs = this->store.partitions[{Stream::Jobs, 0}].records;
    EXPECT_TRUE(jobs.back().value.empty());
    EXPECT_EQ(this->executors.starts.size(), 3U);
    owner->stop();
}

// A takeover reads all submissions that are stored, so those of final jobs go soon; their states stay for callers.
TEST_F(SchedulerTest, SubmissionsOfFinalJobsAreDeletedAndTheirStatesStay)
{
    const auto owner = this->own(1);
    EXPECT_EQ(this->call(CallerAction::Submit, this->job).outcome, CallerOutcome::Accepted);
    this->runUntil([this] {
        const auto &jobs = this->store.partitions[{Stream::Jobs, 0}].records;
        return jobs.size() == 3 && jobs[1].value.empty() && jobs[2].value.empty();
    });
    EXPECT_EQ(this->call(CallerAction::Read, this->job).state, JobState::Completed);
    // A repeat that arrives now starts nothing, at this owner or at the next.
    this->gateway = std::move(*JobGateway::create(this->context, this->store, *this->log, this->metrics, this->settings));
    this->gateway->setConfig(this->config);
    EXPECT_EQ(this->call(CallerAction::Submit, this->job).outcome, CallerOutcome::Accepted);
    const auto second = this->own(2);
    this->runUntil([&second] {
        return second->isActive();
    });
    this->runFor(200ms);
    for (const auto &[item, starts] : this->executors.starts) {
        EXPECT_EQ(starts, 1);
    }
    EXPECT_EQ(this->call(CallerAction::Read, this->job).state, JobState::Completed);
    owner->stop();
    second->stop();
}

}
}
