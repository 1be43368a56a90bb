// What an owner may do while it knows the callers' requests only up to some time ago.
#include "scheduler_test.h"

namespace MangoCourse {
namespace {

// An owner starts work of a cancelled job at most this long after the cancellation was confirmed.
constexpr std::chrono::milliseconds cancelBound{3000};

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
    this->runFor(cancelBound);
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
