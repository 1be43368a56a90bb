// What an owner may do while it knows the callers' requests only up to some time ago.
#include "scheduler_test.h"

#include "clocks.h"
#include "executordirectory.h"

namespace MangoCourse {
namespace {

// An owner starts work of a cancelled job at most this long after the cancellation was confirmed.
constexpr std::chrono::milliseconds maxCancelPropagation{3000};

// A stream whose records of the first page cannot be read.
class UnreadablePage : public MemoryStore
{
public:
    using MemoryStore::MemoryStore;

    int reads = 0;

    net::awaitable<Result<StreamBatch>> read(Stream, std::int32_t, std::int64_t from, std::chrono::milliseconds) override
    {
        co_await sleepFor(this->context, 20ms);
        ++this->reads;
        StreamBatch batch;
        batch.next = from + 1;
        batch.end = 2;
        if (this->reads > 1) {
            batch.records.push_back(StoredRecord{"key", "value", from});
        }
        co_return batch;
    }
};

TEST_F(SchedulerTest, AReaderIsNotCurrentBehindAPageWithoutReadableRecords)
{
    UnreadablePage paged(this->context);
    int applied = 0;
    StreamReader reader(this->context, paged, Stream::Jobs, 0,
        StreamReader::Handlers{[] {
                               },
            [&applied](const StoredRecord &) {
                ++applied;
            }});
    bool isRead = false;
    net::co_spawn(
        this->context,
        [&reader, &isRead]() -> net::awaitable<void> {
            co_await reader.follow(0ms);
            co_await reader.follow(0ms);
            isRead = true;
        },
        net::detached);
    this->runUntil([&isRead] {
        return isRead;
    });
    EXPECT_EQ(paged.reads, 2);
    EXPECT_EQ(applied, 1);
}

TEST_F(SchedulerTest, AListOfExecutorsThatTheStoreDoesNotGiveOutStaysCurrent)
{
    ExecutorDirectory directory(this->context, this->store, *this->log, [](const std::string &, const std::string &) {
        return Result<ExecutorInfo>(executor());
    });
    const auto refresh = [this, &directory] {
        const TimePoint startedAt = bootNow();
        bool isRead = false;
        net::co_spawn(
            this->context,
            [&directory, &isRead]() -> net::awaitable<void> {
                (void)co_await directory.refresh();
                isRead = true;
            },
            net::detached);
        this->runUntil([&isRead] {
            return isRead;
        });
        return startedAt;
    };
    EXPECT_EQ(directory.currentAsOf(), TimePoint{});
    const TimePoint readAt = refresh();
    EXPECT_GE(directory.currentAsOf(), readAt);
    this->store.unansweredReads = Stream::Executors;
    const TimePoint unansweredAt = refresh();
    EXPECT_GT(directory.currentAsOf(), unansweredAt);
    this->store.mood = StoreMood::Refusing;
    const TimePoint refusedAt = refresh();
    EXPECT_GE(directory.currentAsOf(), refusedAt);
}

TEST_F(SchedulerTest, ACancelledJobIsNotStartedWhileItsCancellationIsUnread)
{
    const auto owner = this->own(1);
    owner->setExecutors({}, BootClock().now());
    ASSERT_EQ(this->call(CallerAction::Submit, this->job).outcome, CallerOutcome::Accepted);
    this->runUntil([this] {
        return !this->store.partitions[{Stream::Progress, 0}].records.empty()
            && this->store.partitions[{Stream::Progress, 0}].records.back().key == "00000000000000aa";
    });
    this->store.unansweredReads = Stream::Jobs;
    ASSERT_EQ(this->call(CallerAction::Cancel, this->job).outcome, CallerOutcome::Cancelled);
    this->runFor(maxCancelPropagation);
    owner->setExecutors({executor()}, BootClock().now());
    this->runFor(500ms);
    EXPECT_TRUE(this->executors.starts.empty());
    this->store.unansweredReads.reset();
    this->runUntil([this] {
        return this->call(CallerAction::Read, this->job).state == JobState::Cancelled;
    });
    this->runFor(200ms);
    EXPECT_TRUE(this->executors.starts.empty());
    owner->stop();
}

}
}
