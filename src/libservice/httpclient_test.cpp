// Calls of the blocking client over loopback sockets.
#include "httpclient.h"

#include <gtest/gtest.h>

#include <atomic>

#include "loopbackserver_test.h"
#include "platformclient.h"

namespace MangoCourse {
namespace {

using namespace std::chrono_literals;

// Answers the first request of a test. Carries out the second, on the same connection, without an answer, and answers the repeat with `status`.
LoopbackServer::Handler losingSecondAnswer(unsigned status, std::atomic<int> &carriedOut)
{
    return [status, &carriedOut, isFirst = true](const HttpRequest &, int numberOnConnection) mutable -> std::optional<LoopbackReply> {
        if (numberOnConnection > 1) {
            ++carriedOut;
            return std::nullopt;
        }
        return loopbackReply(std::exchange(isFirst, false) ? 200 : status, R"({"offset":1,"reason":"no"})");
    };
}

TEST(HttpClient, RefusalOfARepeatDoesNotProveThatNothingWasDone)
{
    for (const unsigned status : {503U, 429U, 409U, 400U}) {
        std::atomic<int> carriedOut{0};
        BackgroundServer background(losingSecondAnswer(status, carriedOut));
        const auto client = std::move(*HttpClient::create(background.server.endpoint()));
        EXPECT_TRUE(client->call(http::verb::post, "/first", "body", 2s));
        const Result<std::string> answer = client->call(http::verb::post, "/second", "body", 2s);
        EXPECT_EQ(carriedOut, 1);
        ASSERT_FALSE(answer);
        EXPECT_EQ(answer.error().code, ErrorCode::Timeout) << status << ": " << describe(answer.error());
    }
}

TEST(HttpClient, UnreachableServerAfterAnUnansweredAttemptDoesNotProveThatNothingWasDone)
{
    std::atomic<int> carriedOut{0};
    LoopbackServer *accepting = nullptr;
    BackgroundServer background([&](const HttpRequest &, int numberOnConnection) -> std::optional<LoopbackReply> {
        if (numberOnConnection == 1) {
            return loopbackReply(200);
        }
        ++carriedOut;
        accepting->stopAccepting();
        return std::nullopt;
    });
    accepting = &background.server;
    const auto client = std::move(*HttpClient::create(background.server.endpoint()));
    EXPECT_TRUE(client->call(http::verb::post, "/first", "body", 2s));
    const Result<std::string> answer = client->call(http::verb::post, "/second", "body", 2s);
    EXPECT_EQ(carriedOut, 1);
    ASSERT_FALSE(answer);
    EXPECT_EQ(answer.error().code, ErrorCode::Timeout) << describe(answer.error());
}

TEST(HttpClient, UnsolicitedResponseIsNotTakenForTheNextAnswer)
{
    BackgroundServer background([](const HttpRequest &request, int) -> std::optional<LoopbackReply> {
        LoopbackReply reply = loopbackReply(200, std::string(request.target()));
        reply.trailingBytes = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
        return reply;
    });
    const auto client = std::move(*HttpClient::create(background.server.endpoint()));
    EXPECT_TRUE(client->call(http::verb::post, "/first", "body", 2s));
    const Result<std::string> answer = client->call(http::verb::post, "/second", "body", 2s);
    ASSERT_TRUE(answer) << describe(answer.error());
    EXPECT_EQ(*answer, "/second");
}

TEST(PlatformClient, RefusalOfARepeatedActionDoesNotProveThatItWasNotDone)
{
    std::atomic<int> carriedOut{0};
    BackgroundServer background(losingSecondAnswer(409, carriedOut));
    const auto client = std::move(*PlatformClient::create(background.server.endpoint()));
    EXPECT_TRUE(client->append("fleet", {"record"}));
    const Result<void> drained = client->drain(InstanceId{"instance"}, 1);
    EXPECT_EQ(carriedOut, 1);
    ASSERT_FALSE(drained);
    EXPECT_EQ(drained.error().code, ErrorCode::Timeout) << describe(drained.error());
}

TEST(PlatformClient, OddInstanceDoesNotHideTheOthers)
{
    const std::string deep = std::string(100'000, '[') + std::string(100'000, ']');
    const std::string good = R"({"id":"good","state":"live","pool":"p","token":1,"rebooted":1,"closed":1,"host":"127.0.0.1","port":80,"version":3})";
    for (const std::string &odd : {std::string("7"), std::string(R"({"id":7})"), std::string(R"({"id":"odd"})"),
             std::string(R"({"id":"odd","state":"live","pool":"p","token":1,"rebooted":1,"closed":1,"host":"127.0.0.1","port":65616,"version":3})"),
             std::string(R"({"id":"odd","state":"live","pool":"p","token":1e300,"rebooted":1,"closed":1,"host":"127.0.0.1","port":80,"version":3})"),
             std::string(R"({"id":"odd","state":)") + deep + "}"}) {
        BackgroundServer background([&](const HttpRequest &, int) -> std::optional<LoopbackReply> {
            return loopbackReply(200, R"({"version":4,"instances":[)" + odd + "," + good + "]}");
        });
        const auto client = std::move(*PlatformClient::create(background.server.endpoint()));
        const Result<ListingDelta> delta = client->listing(0, 0ms);
        ASSERT_TRUE(delta) << odd.substr(0, 100) << ": " << describe(delta.error());
        EXPECT_EQ(delta->version, 4);
        EXPECT_TRUE(delta->changed.contains(InstanceId{"good"}));
        EXPECT_EQ(delta->changed.size(), 1U) << odd.substr(0, 100);
    }
}

}
}
