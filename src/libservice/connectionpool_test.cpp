// Calls over real sockets of this machine.
#include "connectionpool.h"

#include <gtest/gtest.h>

#include <thread>

namespace MangoCourse {
namespace {

using namespace std::chrono_literals;

// Answers one request with a body of this many bytes.
void answerOnce(tcp::acceptor &acceptor, std::size_t bodySize)
{
    tcp::socket socket(acceptor.get_executor());
    acceptor.accept(socket);
    beast::flat_buffer buffer;
    HttpRequest request;
    http::read(socket, buffer, request);
    HttpResponse response(http::status::ok, 11);
    response.body() = std::string(bodySize, 'x');
    response.prepare_payload();
    http::write(socket, response);
}

// What a call to a server on this machine came to.
struct CallOutcome {
    std::optional<Result<HttpResponse>> response;
    // Turns of the caller's event loop.
    int turns = 0;
};

CallOutcome callOnce(std::size_t bodySize)
{
    net::io_context serverContext;
    tcp::acceptor acceptor(serverContext, tcp::endpoint(net::ip::make_address("127.0.0.1"), 0));
    std::thread server([&acceptor, bodySize] {
        answerOnce(acceptor, bodySize);
    });
    net::io_context context;
    const auto pool = ConnectionPool::create(context, Endpoint{"127.0.0.1", acceptor.local_endpoint().port()}, 1);
    CallOutcome outcome;
    net::co_spawn(
        context,
        [&pool, &outcome]() -> net::awaitable<void> {
            HttpCall call;
            call.target = "/";
            call.limit = 10s;
            outcome.response = co_await (*pool)->call(std::move(call));
        },
        net::detached);
    while (!outcome.response && context.run_one_for(10s) > 0) {
        ++outcome.turns;
    }
    server.join();
    return outcome;
}

// A process with little processor time turns its loop 50 times a second: an answer must not take seconds because of its size.
TEST(ConnectionPool, ALargeAnswerIsReadInFewTurnsOfTheLoop)
{
    constexpr std::size_t bodySize = 100'000;
    constexpr int mostTurns = 50;
    const CallOutcome outcome = callOnce(bodySize);
    ASSERT_TRUE(outcome.response && *outcome.response);
    EXPECT_EQ((*outcome.response)->body().size(), bodySize);
    EXPECT_LE(outcome.turns, mostTurns);
}

TEST(ConnectionPool, AnAnswerWithoutBodyIsWhole)
{
    const CallOutcome outcome = callOnce(0);
    ASSERT_TRUE(outcome.response && *outcome.response);
    EXPECT_TRUE((*outcome.response)->body().empty());
}

TEST(ConnectionPool, AnAnswerBeyondOneReadIsWhole)
{
    constexpr std::size_t bodySize = 1'000'000;
    const CallOutcome outcome = callOnce(bodySize);
    ASSERT_TRUE(outcome.response && *outcome.response);
    EXPECT_EQ((*outcome.response)->body(), std::string(bodySize, 'x'));
}

}
}
