// Appends to a log on a loopback port that loses answers.
#include "appender.h"

#include <gtest/gtest.h>

#include <thread>

#include "loopbackserver_test.h"

namespace MangoCourse {
namespace {

using namespace std::chrono_literals;

AppendState waitForState(const std::shared_ptr<AppendTicket> &ticket)
{
    const auto deadline = std::chrono::steady_clock::now() + 10s;
    while (ticket->state == AppendState::Queued && std::chrono::steady_clock::now() < deadline) {
        std::this_thread::sleep_for(1ms);
    }
    return ticket->state;
}

TEST(Appender, RefusalOfARepeatedAppendDoesNotProveThatItIsNotInTheLog)
{
    std::atomic<int> stored{0};
    // The connection breaks after the second append has been stored, and the log refuses the next one.
    BackgroundServer background([&stored, requests = 0](const HttpRequest &, int) mutable -> std::optional<LoopbackReply> {
        ++requests;
        if (requests == 3) {
            return loopbackReply(503);
        }
        ++stored;
        return requests == 2 ? std::nullopt : std::optional(loopbackReply(200, R"({"offset":1})"));
    });
    const auto platform = std::move(*PlatformClient::create(background.server.endpoint()));
    Appender appender(0ms);
    const std::jthread thread([&](const std::stop_token &stop) {
        (void)appender.run(stop, *platform);
    });
    const auto first = appender.submit("fleet", Record{RecordId{"first"}, ReleaseJob{JobId{"job"}, 1, ReleaseReason::NotRun}});
    EXPECT_EQ(waitForState(first), AppendState::Appended);
    const auto second = appender.submit("fleet", Record{RecordId{"second"}, ReleaseJob{JobId{"job"}, 1, ReleaseReason::NotRun}});
    EXPECT_EQ(waitForState(second), AppendState::Appended);
    EXPECT_GE(stored, 2);
}

}
}
