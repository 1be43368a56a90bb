// The scheduler's duties against a store kept in memory.
#include "batchappender.h"
#include "groupmember.h"
#include "jobgateway.h"
#include "recordcodec.h"
#include "shardowner.h"
#include "streamreader.h"

#include <gtest/gtest.h>

#include <deque>
#include <map>

namespace MangoCourse {
namespace {

using namespace std::chrono_literals;

// What a call to the store meets.
enum class StoreMood {
    Fine,
    Refusing,
    // Done, but the answer is lost.
    Forgetful,
};

// Keeps records in memory, with the store's rules for producers.
class MemoryStore : public RecordStore
{
public:
    explicit MemoryStore(net::io_context &context)
        : context(context)
    {
    }

    struct Partition {
        std::vector<StoredRecord> records;
        std::map<std::string, std::pair<std::int64_t, std::int64_t>> producers;
    };

    net::io_context &context;
    std::map<std::pair<Stream, std::int32_t>, Partition> partitions;
    StoreMood mood = StoreMood::Fine;
    int appendsUnderWay = 0;
    int mostAppendsUnderWay = 0;
    int repeats = 0;

    net::awaitable<Result<void>> append(
        Stream stream, std::int32_t number, std::vector<StoredRecord> records, std::optional<ProducerStamp> stamp, std::chrono::milliseconds) override
    {
        mostAppendsUnderWay = std::max(mostAppendsUnderWay, ++appendsUnderWay);
        co_await sleepFor(this->context, 4ms);
        --appendsUnderWay;
        if (this->mood == StoreMood::Refusing) {
            co_return makeError(ErrorCode::Unavailable, "refused");
        }
        Partition &partition = this->partitions[{stream, number}];
        if (stamp) {
            auto known = partition.producers.try_emplace(stamp->producer, std::pair(stamp->epoch, std::int64_t(-1))).first;
            if (stamp->epoch < known->second.first) {
                co_return makeError(ErrorCode::Conflict, "fenced");
            }
            if (stamp->epoch == known->second.first && stamp->sequence <= known->second.second) {
                ++this->repeats;
                co_return Result<void>{};
            }
            known->second = std::pair(stamp->epoch, stamp->sequence);
        }
        for (StoredRecord &record : records) {
            record.offset = static_cast<std::int64_t>(partition.records.size());
            partition.records.push_back(std::move(record));
        }
        if (this->mood == StoreMood::Forgetful) {
            co_return makeError(ErrorCode::Timeout, "lost");
        }
        co_return Result<void>{};
    }

    net::awaitable<Result<StreamBatch>> read(Stream stream, std::int32_t number, std::int64_t from, std::chrono::milliseconds wait) override
    {
        const auto deadline = std::chrono::steady_clock::now() + wait;
        while (true) {
            co_await sleepFor(this->context, 1ms);
            if (this->mood == StoreMood::Refusing) {
                co_return makeError(ErrorCode::Unavailable, "refused");
            }
            const Partition &partition = this->partitions[{stream, number}];
            StreamBatch batch;
            batch.end = static_cast<std::int64_t>(partition.records.size());
            batch.next = batch.end;
            for (auto offset = static_cast<std::size_t>(from); offset < partition.records.size(); ++offset) {
                batch.records.push_back(partition.records[offset]);
            }
            if (!batch.records.empty() || std::chrono::steady_clock::now() >= deadline) {
                co_return batch;
            }
        }
    }

    net::awaitable<Result<StreamBatch>> newest(Stream stream, std::int32_t number) override
    {
        co_await sleepFor(this->context, 1ms);
        if (this->mood == StoreMood::Refusing) {
            co_return makeError(ErrorCode::Unavailable, "refused");
        }
        const Partition &partition = this->partitions[{stream, number}];
        std::map<std::string, StoredRecord> latest;
        for (const StoredRecord &record : partition.records) {
            latest[record.key] = record;
        }
        StreamBatch batch;
        batch.next = batch.end = static_cast<std::int64_t>(partition.records.size());
        for (auto &[key, record] : latest) {
            if (!record.value.empty()) {
                batch.records.push_back(record);
            }
        }
        co_return batch;
    }

    net::awaitable<Result<Membership>> join(Group, std::int64_t, std::chrono::milliseconds) override
    {
        co_await sleepFor(this->context, 1ms);
        if (this->mood == StoreMood::Refusing) {
            co_return makeError(ErrorCode::Unavailable, "refused");
        }
        co_return this->membership;
    }
    net::awaitable<Result<void>> leave(Group) override
    {
        co_return Result<void>{};
    }
    net::awaitable<Result<std::vector<GroupHolder>>> holders(Group) override
    {
        co_await sleepFor(this->context, 1ms);
        if (this->mood == StoreMood::Refusing) {
            co_return makeError(ErrorCode::Unavailable, "refused");
        }
        co_return this->groupHolders;
    }

    // The answer to joins.
    Membership membership;
    std::vector<GroupHolder> groupHolders;
};

// Executors that start at once and end each run after a while.
class QuickExecutors : public ExecutorPort
{
public:
    explicit QuickExecutors(net::io_context &context)
        : context(context)
    {
    }

    net::io_context &context;
    std::int64_t highestToken = 0;
    std::map<ItemId, int> starts;
    std::vector<ReportedRun> running;
    std::vector<ReportedEnd> ended;
    bool endsRuns = true;
    int forgotten = 0;

    net::awaitable<ExecutorReport> renew(const ExecutorInfo &executor, LeaseRenewal renewal) override
    {
        co_await sleepFor(this->context, 2ms);
        ExecutorReport report;
        if (renewal.token < this->highestToken) {
            report.outcome = OrderOutcome::Fenced;
            co_return report;
        }
        this->highestToken = renewal.token;
        std::erase_if(this->ended, [&renewal](const ReportedEnd &end) {
            return end.number <= renewal.lastSeen;
        });
        report.outcome = OrderOutcome::Done;
        report.born = executor.born;
        report.clock = this->clock();
        report.running = this->running;
        report.ended = this->ended;
        co_return report;
    }

    net::awaitable<OrderReply> start(const ExecutorInfo &, StartRun order) override
    {
        co_await sleepFor(this->context, 1ms);
        if (order.token < this->highestToken) {
            co_return OrderReply{OrderOutcome::Fenced, this->clock()};
        }
        this->highestToken = order.token;
        ++this->starts[order.item];
        if (this->endsRuns) {
            this->ended.push_back(ReportedEnd{++this->ends, order.item, order.run, RunEnd::Done, {}});
        } else {
            this->running.push_back(ReportedRun{order.item, order.run, {}, 100, 0});
        }
        co_return OrderReply{OrderOutcome::Done, this->clock()};
    }
    net::awaitable<OrderReply> stop(const ExecutorInfo &, StopRun) override
    {
        co_return OrderReply{OrderOutcome::Done, this->clock()};
    }
    net::awaitable<OrderReply> pace(const ExecutorInfo &, PaceRun) override
    {
        co_return OrderReply{OrderOutcome::Done, this->clock()};
    }
    void forget(const ExecutorInfo &) override
    {
        ++this->forgotten;
    }

private:
    std::int64_t ends = 0;

    std::chrono::milliseconds clock() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch());
    }
};

class SchedulerTest : public testing::Test
{
protected:
    SchedulerTest()
        : store(context)
        , executors(context)
        , log(EventLog::create("test", 0))
    {
        this->settings.name = ProcessId{"node"};
        this->settings.partitions = 1;
        auto made = std::make_shared<FleetConfig>();
        made->revision = 1;
        QueueConfig queue;
        queue.id = QueueId{"counter"};
        queue.host = "host";
        queue.pathPrefix = "/counter/";
        queue.service = ServiceId{"desk"};
        queue.attempts = 2;
        made->queues.push_back(queue);
        made->services.emplace(ServiceId{"desk"}, ServiceConfig{ServiceId{"desk"}, {}, 64, true, false});
        this->config = made;
        this->gateway = std::move(*JobGateway::create(this->context, this->store, *this->log, this->metrics, this->settings));
        this->gateway->setConfig(this->config);
    }

    static ExecutorInfo executor()
    {
        ExecutorInfo info;
        info.id = ExecutorId{"one"};
        info.machine = MachineId{"m"};
        info.service = ServiceId{"desk"};
        info.born = 5;
        info.capacity = Room{64000, 64000, 0};
        return info;
    }

    std::shared_ptr<ShardOwner> own(std::int64_t token)
    {
        const OwnerContext owner{this->context, this->store, this->executors, nullptr, *this->log, this->metrics, this->settings};
        const auto shard = ShardOwner::create(owner, 0, token);
        const TimePoint now = BootClock().now();
        shard->setConfig(this->config);
        shard->setExecutors({executor()});
        shard->setTerm(OwnershipTerm{now, now + 60s});
        shard->start();
        return shard;
    }

    CallerReply call(CallerAction action, const std::string &path, std::chrono::milliseconds limit = 500ms)
    {
        CallerRequest request;
        request.action = action;
        request.host = "host";
        request.path = path;
        request.limit = limit;
        request.decodeJob = [] {
            StepSpec step;
            step.count = 3;
            step.room = Room{1000, 10, 0};
            return Result<JobSpec>(JobSpec{"work", {step}, {}});
        };
        std::optional<CallerReply> reply;
        net::co_spawn(
            this->context,
            [this, &reply, request]() -> net::awaitable<void> {
                reply = co_await this->gateway->handle(request);
            },
            net::detached);
        this->runUntil([&reply] {
            return reply.has_value();
        });
        return reply.value_or(CallerReply{});
    }

    void runUntil(const std::function<bool()> &condition)
    {
        const auto deadline = std::chrono::steady_clock::now() + 20s;
        while (!condition() && std::chrono::steady_clock::now() < deadline) {
            this->context.restart();
            this->context.run_one_for(5ms);
        }
        ASSERT_TRUE(condition()) << "condition not reached in time";
    }

    const std::string job = "/counter/00000000000000aa";
    net::io_context context;
    MemoryStore store;
    QuickExecutors executors;
    std::unique_ptr<EventLog> log;
    Metrics metrics;
    NodeSettings settings;
    std::shared_ptr<const FleetConfig> config;
    std::unique_ptr<JobGateway> gateway;
};

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
                request.limit = 3000ms;
                request.decodeJob = [] {
                    return Result<JobSpec>(JobSpec{"work", {StepSpec{}}, {}});
                };
                const CallerReply reply = co_await this->gateway->handle(request);
                EXPECT_EQ(reply.outcome, CallerOutcome::NotAccepted);
            }
            isProbing = false;
        },
        net::detached);
    const auto later = std::chrono::steady_clock::now() + 100ms;
    this->runUntil([later] {
        return std::chrono::steady_clock::now() > later;
    });
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
    const auto lapsed = std::chrono::steady_clock::now() + 600ms;
    this->runUntil([lapsed] {
        return std::chrono::steady_clock::now() > lapsed;
    });
    this->store.mood = StoreMood::Fine;
    this->store.membership.generation = 9;
    const std::size_t before = confirmations.size();
    this->runUntil([&confirmations, before] {
        return confirmations.size() > before;
    });
    EXPECT_TRUE(confirmations[before].isUncertain);
    EXPECT_EQ(member.generation(), 9);
    member.stop();
    const auto ended = std::chrono::steady_clock::now() + 400ms;
    this->runUntil([ended] {
        return std::chrono::steady_clock::now() > ended;
    });
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
    const auto settled = std::chrono::steady_clock::now() + 200ms;
    this->runUntil([settled] {
        return std::chrono::steady_clock::now() > settled;
    });
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
    owner->setExecutors({});
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
    const auto settled = std::chrono::steady_clock::now() + 200ms;
    this->runUntil([settled] {
        return std::chrono::steady_clock::now() > settled;
    });
    for (const auto &[item, starts] : this->executors.starts) {
        EXPECT_EQ(starts, 1);
    }
    EXPECT_EQ(this->call(CallerAction::Read, this->job).state, JobState::Completed);
    owner->stop();
    second->stop();
}

}
}
