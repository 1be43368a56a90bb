// Tests which callers a gateway serves by their keys, and that jobs stay with the account that submitted them.
#include "clocks.h"
#include "scheduler_test.h"

namespace MangoCourse {
namespace {

class GatewayAccountsTest : public SchedulerTest
{
protected:
    void SetUp() override
    {
        this->withAccounts = *this->config;
        this->withAccounts.revision = 2;
        this->withAccounts.accounts
            = *ClientAccounts::create({ClientAccount{AccountId{"north"}, 1.0, {}, {"n-1", "n-2"}}, ClientAccount{AccountId{"south"}, 1.0, {}, {"s-1"}}});
        QueueConfig open = this->withAccounts.queues.front();
        open.id = QueueId{"open"};
        open.pathPrefix = "/open/";
        open.isPublic = true;
        this->withAccounts.queues.push_back(open);
        this->publish(this->withAccounts);
        this->other = this->makeGateway();
    }

    std::unique_ptr<JobGateway> makeGateway()
    {
        auto created = std::move(*JobGateway::create(this->context, this->store, *this->log, this->metrics, this->settings));
        created->setConfig(this->config);
        return created;
    }

    void publish(const FleetConfig &next)
    {
        this->config = std::make_shared<const FleetConfig>(next);
        this->gateway->setConfig(this->config);
        if (this->other) {
            this->other->setConfig(this->config);
        }
    }

    CallerRequest request(CallerAction action, const std::string &key, const std::string &path) const
    {
        CallerRequest request;
        request.action = action;
        request.host = "host";
        request.path = path;
        request.apiKey = key;
        request.timeout = 500ms;
        request.decodeJob = [] {
            return Result<JobSpec>(JobSpec{"work", {StepSpec{}}, {}});
        };
        return request;
    }

    void askInBackground(JobGateway &target, const CallerRequest &request, std::optional<CallerOutcome> &outcome)
    {
        net::co_spawn(
            this->context,
            [&target, &outcome, request]() -> net::awaitable<void> {
                const CallerReply reply = co_await target.handle(request);
                outcome = reply.outcome;
            },
            net::detached);
    }

    CallerOutcome ask(JobGateway &target, CallerAction action, const std::string &key, const std::string &path)
    {
        std::optional<CallerOutcome> outcome;
        this->askInBackground(target, this->request(action, key, path), outcome);
        this->runUntil([&outcome] {
            return outcome.has_value();
        });
        return outcome.value_or(CallerOutcome::Unavailable);
    }
    CallerOutcome submit(JobGateway &target, const std::string &key)
    {
        return this->ask(target, CallerAction::Submit, key, this->job);
    }
    CallerOutcome read(JobGateway &target, const std::string &key)
    {
        return this->ask(target, CallerAction::Read, key, this->job);
    }
    CallerOutcome cancel(JobGateway &target, const std::string &key)
    {
        return this->ask(target, CallerAction::Cancel, key, this->job);
    }

    // Expects that the account "south" can do nothing with the job, at either gateway.
    void expectHiddenFromSouth()
    {
        const std::size_t before = this->store.partitions[{Stream::Jobs, 0}].records.size();
        for (JobGateway *target : {this->gateway.get(), this->other.get()}) {
            EXPECT_EQ(this->submit(*target, "s-1"), CallerOutcome::IdTaken);
            EXPECT_EQ(this->read(*target, "s-1"), CallerOutcome::NoSuchJob);
            EXPECT_EQ(this->cancel(*target, "s-1"), CallerOutcome::NoSuchJob);
        }
        EXPECT_EQ((this->store.partitions[{Stream::Jobs, 0}].records.size()), before) << "nothing is stored";
    }

    FleetConfig withAccounts;
    std::unique_ptr<JobGateway> other;
    const std::string openJob = "/open/00000000000000aa";
};

TEST_F(GatewayAccountsTest, CallersWithoutAKnownKeyAreRefusedBeforeTheStoreIsRead)
{
    this->store.behaviour = StoreBehaviour::Refusing;
    for (const char *key : {"", "n-3", "n-1 "}) {
        for (const CallerAction action : {CallerAction::Submit, CallerAction::Read, CallerAction::Cancel}) {
            EXPECT_EQ(this->ask(*this->gateway, action, key, this->job), CallerOutcome::Unauthorized);
        }
        EXPECT_EQ(this->ask(*this->gateway, CallerAction::Read, key, "/counter/"), CallerOutcome::Unauthorized);
    }
    EXPECT_NE(this->metrics.toText().find("mangocourse_unauthorized_total"), std::string::npos);
    EXPECT_EQ(this->metrics.toText().find("n-3"), std::string::npos);
}

TEST_F(GatewayAccountsTest, PublicQueuesNeedNoKey)
{
    EXPECT_EQ(this->ask(*this->gateway, CallerAction::Submit, "unknown", this->openJob), CallerOutcome::Accepted);
    EXPECT_EQ(this->ask(*this->other, CallerAction::Read, "", this->openJob), CallerOutcome::State);
    EXPECT_EQ(this->ask(*this->other, CallerAction::Read, "", "/open/"), CallerOutcome::Pending);
    EXPECT_EQ(this->ask(*this->other, CallerAction::Cancel, "s-1", this->openJob), CallerOutcome::Cancelled);
}

// Guards against a submission at a gateway that has not read the job, which would replace the record of another account's job.
TEST_F(GatewayAccountsTest, JobsAreHiddenFromOtherAccountsAlsoWhereTheyMustBeReadFirst)
{
    ASSERT_EQ(this->submit(*this->gateway, "n-1"), CallerOutcome::Accepted);
    this->expectHiddenFromSouth();
    EXPECT_EQ(this->submit(*this->other, "n-2"), CallerOutcome::Accepted) << "the other key of the account";
    EXPECT_EQ(this->read(*this->other, "n-2"), CallerOutcome::State);
    EXPECT_EQ(this->cancel(*this->other, "n-2"), CallerOutcome::Cancelled);
}

TEST_F(GatewayAccountsTest, EndedJobWhoseSubmissionIsDeletedStaysWithItsAccount)
{
    ASSERT_EQ(this->submit(*this->gateway, "n-1"), CallerOutcome::Accepted);
    const auto owner = this->startOwner(1);
    this->runUntil([this] {
        const auto &records = this->store.partitions[{Stream::Jobs, 0}].records;
        return std::any_of(records.begin(), records.end(), [](const StoredRecord &record) {
            return record.value.empty();
        });
    });
    this->other = this->makeGateway();
    this->expectHiddenFromSouth();
    EXPECT_EQ(this->read(*this->other, "n-1"), CallerOutcome::State);
    EXPECT_EQ(this->submit(*this->other, "n-1"), CallerOutcome::Accepted);
    owner->stop();
    this->runFor(50ms);
}

// Guards against a public queue that shares its partition with others and gives access to their jobs.
TEST_F(GatewayAccountsTest, PublicQueueGivesNoAccessToJobsOfOtherQueues)
{
    ASSERT_EQ(this->submit(*this->gateway, "n-1"), CallerOutcome::Accepted);
    for (JobGateway *target : {this->gateway.get(), this->other.get()}) {
        EXPECT_EQ(this->ask(*target, CallerAction::Read, "", this->openJob), CallerOutcome::NoSuchJob);
        EXPECT_EQ(this->ask(*target, CallerAction::Cancel, "", this->openJob), CallerOutcome::NoSuchJob);
        EXPECT_EQ(this->ask(*target, CallerAction::Submit, "", this->openJob), CallerOutcome::IdTaken);
    }
    EXPECT_EQ((this->store.partitions[{Stream::Jobs, 0}].records.size()), 1U);
}

// Guards against a public queue through which callers without a key use jobs of private queues that have no account, such as those of earlier versions.
TEST_F(GatewayAccountsTest, PublicQueueGivesNoAccessToJobsWithoutAnAccountOfPrivateQueues)
{
    AcceptedJob accepted{JobId{"00000000000000aa"}, QueueId{"counter"}, ServiceId{"desk"}, wallNow(), JobSpec{"work", {StepSpec{}}, {}}};
    this->store.partitions[{Stream::Jobs, 0}].records.push_back(StoredRecord{accepted.id.value, encodeAcceptedJob(accepted), 0});
    EXPECT_EQ(this->ask(*this->gateway, CallerAction::Read, "", this->openJob), CallerOutcome::NoSuchJob);
    EXPECT_EQ(this->ask(*this->gateway, CallerAction::Cancel, "", this->openJob), CallerOutcome::NoSuchJob);
    EXPECT_EQ(this->ask(*this->other, CallerAction::Submit, "", this->openJob), CallerOutcome::IdTaken);
    EXPECT_EQ((this->store.partitions[{Stream::Jobs, 0}].records.size()), 1U);
    FleetConfig next = this->withAccounts;
    next.revision = 3;
    next.queues.front().id = QueueId{"desk"};
    this->publish(next);
    EXPECT_EQ(this->ask(*this->gateway, CallerAction::Read, "", this->openJob), CallerOutcome::State) << "the queue was renamed";
}

TEST_F(GatewayAccountsTest, JobsOfEarlierVersionsBelongToNobody)
{
    AcceptedJob accepted{JobId{"00000000000000aa"}, QueueId{"counter"}, ServiceId{"desk"}, wallNow(), JobSpec{"work", {StepSpec{}}, {}}};
    this->store.partitions[{Stream::Jobs, 0}].records.push_back(StoredRecord{accepted.id.value, encodeAcceptedJob(accepted), 0});
    EXPECT_EQ(this->submit(*this->gateway, "s-1"), CallerOutcome::Accepted);
    EXPECT_EQ(this->read(*this->gateway, "n-1"), CallerOutcome::State);
    EXPECT_EQ(this->cancel(*this->other, "s-1"), CallerOutcome::Cancelled);
}

// The previous version stores states without the account; the submission still has it.
TEST_F(GatewayAccountsTest, StateOfThePreviousVersionDoesNotReleaseTheJob)
{
    ASSERT_EQ(this->submit(*this->gateway, "n-1"), CallerOutcome::Accepted);
    const JobProgress progress{JobId{"00000000000000aa"}, QueueId{"counter"}, ServiceId{"desk"}, JobState::Running, true, {}, {}};
    this->store.partitions[{Stream::Progress, 0}].records.push_back(StoredRecord{progress.id.value, encodeProgress(progress), 0});
    this->expectHiddenFromSouth();
    EXPECT_EQ(this->read(*this->other, "n-1"), CallerOutcome::State);
}

TEST_F(GatewayAccountsTest, SubmissionInProgressOrWithoutAnAnswerKeepsItsIdFromOtherAccounts)
{
    std::optional<CallerOutcome> first;
    std::optional<CallerOutcome> second;
    this->askInBackground(*this->gateway, this->request(CallerAction::Submit, "n-1", this->job), first);
    this->askInBackground(*this->gateway, this->request(CallerAction::Submit, "s-1", this->job), second);
    this->runUntil([&] {
        return first && second;
    });
    EXPECT_EQ(*first, CallerOutcome::Accepted);
    EXPECT_EQ(*second, CallerOutcome::IdTaken);
    this->store.behaviour = StoreBehaviour::AppendingLate;
    const std::string unsettled = "/counter/00000000000000bb";
    EXPECT_EQ(this->ask(*this->gateway, CallerAction::Submit, "n-1", unsettled), CallerOutcome::MayBeAccepted);
    EXPECT_EQ(this->ask(*this->gateway, CallerAction::Submit, "s-1", unsettled), CallerOutcome::IdTaken);
    EXPECT_EQ(this->ask(*this->gateway, CallerAction::Cancel, "s-1", unsettled), CallerOutcome::NoSuchJob);
}

TEST_F(GatewayAccountsTest, KeysAndPublicQueuesChangeWithTheConfiguration)
{
    ASSERT_EQ(this->submit(*this->gateway, "n-1"), CallerOutcome::Accepted);
    FleetConfig next = this->withAccounts;
    next.revision = 3;
    next.accounts = *ClientAccounts::create({ClientAccount{AccountId{"north"}, 1.0, {}, {"n-3"}}, ClientAccount{AccountId{"south"}, 1.0, {}, {"n-1"}}});
    this->publish(next);
    EXPECT_EQ(this->read(*this->gateway, "n-2"), CallerOutcome::Unauthorized);
    EXPECT_EQ(this->read(*this->gateway, "n-3"), CallerOutcome::State) << "the job stays with its account";
    EXPECT_EQ(this->read(*this->gateway, "n-1"), CallerOutcome::NoSuchJob) << "the key is that of another account now";
    this->gateway->setConfig(std::make_shared<const FleetConfig>(this->withAccounts));
    EXPECT_EQ(this->read(*this->gateway, "n-2"), CallerOutcome::Unauthorized) << "an older configuration is ignored";
    next.revision = 4;
    next.queues.front().isPublic = true;
    this->publish(next);
    EXPECT_EQ(this->read(*this->other, ""), CallerOutcome::State);
    next.revision = 5;
    next.queues.front().isPublic = false;
    this->publish(next);
    EXPECT_EQ(this->read(*this->other, ""), CallerOutcome::Unauthorized);
    next.revision = 6;
    next.accounts.reset();
    this->publish(next);
    EXPECT_EQ(this->read(*this->other, ""), CallerOutcome::State);
}

TEST_F(GatewayAccountsTest, OutdatedConfigurationNeitherAcceptsOldKeysForLongNorDeniesNewOnes)
{
    ASSERT_EQ(this->submit(*this->gateway, "n-1"), CallerOutcome::Accepted);
    this->gateway->setConfigCurrentAsOf(bootNow() - 3s);
    EXPECT_EQ(this->read(*this->gateway, "n-1"), CallerOutcome::State);
    EXPECT_EQ(this->submit(*this->gateway, "n-1"), CallerOutcome::MayBeAccepted) << "an earlier attempt is stored";
    EXPECT_EQ(this->submit(*this->gateway, "s-1"), CallerOutcome::NotAccepted);
    EXPECT_EQ(this->submit(*this->gateway, "new"), CallerOutcome::MayBeAccepted) << "the key may be a new one of the same account";
    EXPECT_EQ(this->submit(*this->gateway, ""), CallerOutcome::Unavailable) << "no account has submitted the job without a key";
    EXPECT_EQ(this->ask(*this->gateway, CallerAction::Submit, "new", "/counter/00000000000000cc"), CallerOutcome::NotAccepted);
    EXPECT_EQ(this->read(*this->gateway, "new"), CallerOutcome::Unavailable);
    this->gateway->setConfigCurrentAsOf(bootNow() - this->settings.revocationBound - 100ms);
    EXPECT_EQ(this->read(*this->gateway, "n-1"), CallerOutcome::Unavailable);
    EXPECT_EQ(this->cancel(*this->gateway, "n-1"), CallerOutcome::Unavailable);
    EXPECT_EQ(this->submit(*this->gateway, "n-1"), CallerOutcome::MayBeAccepted);
    this->gateway->setConfigCurrentAsOf(bootNow());
    EXPECT_EQ(this->cancel(*this->gateway, "n-1"), CallerOutcome::Cancelled);
}

TEST_F(GatewayAccountsTest, SubmissionIsRefusedIfTheStoreCannotTellWhoseIdItIs)
{
    ASSERT_EQ(this->ask(*this->other, CallerAction::Submit, "s-1", "/counter/00000000000000bb"), CallerOutcome::Accepted);
    ASSERT_EQ(this->submit(*this->gateway, "n-1"), CallerOutcome::Accepted);
    this->store.unansweredReads = Stream::Jobs;
    EXPECT_EQ(this->submit(*this->other, "s-1"), CallerOutcome::NotAccepted);
    EXPECT_EQ((this->store.partitions[{Stream::Jobs, 0}].records.size()), 2U);
}

// Guards against an answer about another account's job while its submission, which alone has the account, cannot be read.
TEST_F(GatewayAccountsTest, JobWhoseAccountCannotBeReadIsUnavailable)
{
    const JobProgress progress{JobId{"00000000000000aa"}, QueueId{"counter"}, ServiceId{"desk"}, JobState::Running, true, {}, {}};
    this->store.partitions[{Stream::Progress, 0}].records.push_back(StoredRecord{progress.id.value, encodeProgress(progress), 0});
    EXPECT_EQ(this->read(*this->gateway, "n-1"), CallerOutcome::State);
    this->store.behaviour = StoreBehaviour::Refusing;
    EXPECT_EQ(this->read(*this->gateway, "s-1"), CallerOutcome::Unavailable);
    EXPECT_EQ(this->cancel(*this->gateway, "s-1"), CallerOutcome::Unavailable);
}

// Guards against a submission of an account that replaces one in progress of a public queue, whose caller is told that it is accepted.
TEST_F(GatewayAccountsTest, SubmissionInProgressOfAPublicQueueIsNotReplacedThroughAnotherQueue)
{
    std::optional<CallerOutcome> first;
    std::optional<CallerOutcome> second;
    this->askInBackground(*this->gateway, this->request(CallerAction::Submit, "", this->openJob), first);
    this->askInBackground(*this->gateway, this->request(CallerAction::Submit, "n-1", this->job), second);
    this->runUntil([&] {
        return first && second;
    });
    EXPECT_EQ(*first, CallerOutcome::Accepted);
    // If the first has ended by the time of the check, the second is a repeat of a job that belongs to nobody.
    EXPECT_TRUE(*second == CallerOutcome::IdTaken || *second == CallerOutcome::Accepted);
    const std::vector<StoredRecord> &records = this->store.partitions[{Stream::Jobs, 0}].records;
    ASSERT_EQ(records.size(), 1U);
    const Result<AcceptedJob> stored = decodeAcceptedJob(JobId{records.front().key}, records.front().value);
    ASSERT_TRUE(stored.has_value());
    EXPECT_EQ(stored->queue.value, "open");
    EXPECT_TRUE(stored->account.isEmpty());
}

// Guards against two reads for each submission where the states are known already, and against relying on states that are too old.
TEST_F(GatewayAccountsTest, StatesThatWereReadRecentlyAreNotReadAgainBeforeASubmission)
{
    ASSERT_EQ(this->submit(*this->gateway, "n-1"), CallerOutcome::Accepted);
    this->store.unansweredReads = Stream::Progress;
    EXPECT_EQ(this->ask(*this->gateway, CallerAction::Submit, "n-1", "/counter/00000000000000bb"), CallerOutcome::Accepted);
    this->runFor(2100ms);
    EXPECT_EQ(this->ask(*this->gateway, CallerAction::Submit, "n-1", "/counter/00000000000000cc"), CallerOutcome::NotAccepted);
}

// Guards against a cancellation of a moved queue's job that also cancels another account's job of the same ID in the earlier partition.
TEST_F(GatewayAccountsTest, CancellationIsNotStoredWhereTheIdIsThatOfAnotherAccountsJob)
{
    this->settings.partitions = 8;
    this->gateway = this->makeGateway();
    FleetConfig next = this->withAccounts;
    next.revision = 3;
    next.queues.front().service = ServiceId{"shop"};
    this->gateway->setConfig(std::make_shared<const FleetConfig>(next));
    this->runFor(50ms);
    ASSERT_EQ(this->submit(*this->gateway, "n-1"), CallerOutcome::Accepted);
    std::vector<StoredRecord> &earlier = this->store.partitions[{Stream::Jobs, partitionOf(ServiceId{"desk"}, 8)}].records;
    const AcceptedJob foreign{
        JobId{"00000000000000aa"}, QueueId{"other"}, ServiceId{"desk"}, wallNow(), JobSpec{"work", {StepSpec{}}, {}}, {}, {}, AccountId{"south"}};
    earlier.push_back(StoredRecord{foreign.id.value, encodeAcceptedJob(foreign), static_cast<std::int64_t>(earlier.size())});
    const std::size_t before = earlier.size();
    EXPECT_EQ(this->cancel(*this->gateway, "n-1"), CallerOutcome::Cancelled);
    EXPECT_EQ(earlier.size(), before);
    EXPECT_EQ((this->store.partitions[{Stream::Jobs, partitionOf(ServiceId{"shop"}, 8)}].records.size()), 2U);
}

// Guards against a settings file whose bound for old keys is below the age that a healthy gateway's configuration has.
TEST_F(GatewayAccountsTest, RevocationBoundIsNotBelowThatOfTheConfirmation)
{
    this->settings.revocationBound = 100ms;
    this->gateway = this->makeGateway();
    this->gateway->setConfigCurrentAsOf(bootNow() - 1s);
    EXPECT_EQ(this->submit(*this->gateway, "n-1"), CallerOutcome::Accepted);
}

}
}
