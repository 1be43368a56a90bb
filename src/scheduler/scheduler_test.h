// The fixture of the scheduler's tests: its duties against a store kept in memory and quick executors.
#pragma once

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
    // Reads of this stream get no answer.
    std::optional<Stream> unansweredReads;

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
            if (this->unansweredReads == stream) {
                if (std::chrono::steady_clock::now() >= deadline + answerTimeout) {
                    co_return makeError(ErrorCode::Timeout, "no answer");
                }
                continue;
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

    net::awaitable<Result<StreamBatch>> readSnapshot(Stream stream, std::int32_t number) override
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
    net::awaitable<Result<std::vector<PartitionHolder>>> holders(Group) override
    {
        co_await sleepFor(this->context, 1ms);
        if (this->mood == StoreMood::Refusing) {
            co_return makeError(ErrorCode::Unavailable, "refused");
        }
        co_return this->groupHolders;
    }

    // The answer to joins.
    Membership membership;
    std::vector<PartitionHolder> groupHolders;
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
            return end.number <= renewal.acknowledgedEnd;
        });
        report.outcome = OrderOutcome::Done;
        report.incarnation = executor.incarnation;
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
    void closeConnections(const ExecutorInfo &) override
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
        // Executors are listed once.
        this->settings.scheduler.maxDrainPropagation = 60s;
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
        info.incarnation = 5;
        info.capacity = Resources{64000, 64000, 0};
        return info;
    }

    std::shared_ptr<ShardOwner> own(std::int64_t token)
    {
        const OwnerContext owner{this->context, this->store, this->executors, nullptr, *this->log, this->metrics, this->settings};
        const auto shard = ShardOwner::create(owner, 0, token);
        const TimePoint now = BootClock().now();
        shard->setConfig(this->config);
        shard->setExecutors({executor()}, now);
        shard->setTerm(OwnershipTerm{now, now + 60s});
        shard->start();
        return shard;
    }

    CallerReply call(CallerAction action, const std::string &path, std::chrono::milliseconds timeout = 500ms)
    {
        CallerRequest request;
        request.action = action;
        request.host = "host";
        request.path = path;
        request.timeout = timeout;
        request.decodeJob = [] {
            StepSpec step;
            step.count = 3;
            step.resources = Resources{1000, 10, 0};
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

    void runFor(std::chrono::milliseconds time)
    {
        const auto over = std::chrono::steady_clock::now() + time;
        this->runUntil([over] {
            return std::chrono::steady_clock::now() > over;
        });
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

}
