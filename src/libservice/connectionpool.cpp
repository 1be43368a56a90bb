// The coroutine HTTP client.
#include "connectionpool.h"

#include <netinet/tcp.h>

#include <deque>

#include "controltraffic.h"
#include "readmessage.h"

namespace MangoCourse {

namespace {

// A peer that acknowledges nothing for this long is taken as gone.
constexpr std::chrono::milliseconds silenceLimit{3000};
// Idle connections are not trusted for longer than this: the path may have gone silent meanwhile.
constexpr std::chrono::seconds idleLimit{12};
// Responses are at most this large.
constexpr std::uint64_t responseLimit = 64 * 1024 * 1024;

using UserTimeout = net::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

struct Connection {
    explicit Connection(net::io_context &context)
        : stream(context)
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    std::chrono::steady_clock::time_point usedAt{};
    bool isKept = false;
};

enum class Stage {
    Nothing,
    MaybeSent,
    Answered,
};

}

class ConnectionPool::Private
{
public:
    Private(net::io_context &context, Endpoint endpoint, std::size_t limit)
        : context(context)
        , endpoint(std::move(endpoint))
        , limit(limit)
        , freed(context)
    {
    }

    net::io_context &context;
    Endpoint endpoint;
    tcp::endpoint address;
    std::size_t limit;
    std::size_t open = 0;
    std::deque<std::unique_ptr<Connection>> idle;
    // Expires when a connection is freed; waiters sleep on it.
    net::steady_timer freed;

    std::unique_ptr<Connection> takeIdle();
    void giveBack(std::unique_ptr<Connection> connection);
    net::awaitable<bool> waitForTurn(std::chrono::steady_clock::time_point deadline);
    net::awaitable<Stage> exchange(Connection &connection, const HttpRequest &request, HttpResponse &response, std::chrono::steady_clock::time_point deadline);
};

std::unique_ptr<Connection> ConnectionPool::Private::takeIdle()
{
    const auto now = std::chrono::steady_clock::now();
    while (!this->idle.empty() && now - this->idle.front()->usedAt > idleLimit) {
        this->idle.pop_front();
        --this->open;
    }
    if (this->idle.empty()) {
        return nullptr;
    }
    std::unique_ptr<Connection> connection = std::move(this->idle.back());
    this->idle.pop_back();
    return connection;
}

void ConnectionPool::Private::giveBack(std::unique_ptr<Connection> connection)
{
    connection->usedAt = std::chrono::steady_clock::now();
    connection->isKept = true;
    this->idle.push_back(std::move(connection));
    this->freed.cancel_one();
}

net::awaitable<bool> ConnectionPool::Private::waitForTurn(std::chrono::steady_clock::time_point deadline)
{
    while (this->open >= this->limit && this->idle.empty()) {
        if (std::chrono::steady_clock::now() >= deadline) {
            co_return false;
        }
        SystemErrorCode ignored;
        this->freed.expires_at(deadline);
        co_await this->freed.async_wait(captureError(ignored));
    }
    co_return true;
}

net::awaitable<Stage> ConnectionPool::Private::exchange(
    Connection &connection, const HttpRequest &request, HttpResponse &response, std::chrono::steady_clock::time_point deadline)
{
    SystemErrorCode error;
    connection.stream.expires_at(deadline);
    if (!connection.isKept) {
        co_await connection.stream.async_connect(this->address, captureError(error));
        if (error) {
            co_return Stage::Nothing;
        }
        connection.stream.socket().set_option(tcp::no_delay(true), error);
        connection.stream.socket().set_option(UserTimeout(static_cast<int>(silenceLimit.count())), error);
    }
    controlTraffic().sent += co_await http::async_write(connection.stream, request, captureError(error));
    if (error) {
        co_return Stage::MaybeSent;
    }
    http::response_parser<http::string_body> parser;
    parser.body_limit(responseLimit);
    controlTraffic().received += co_await readMessage(connection.stream, connection.buffer, parser, error);
    if (error) {
        co_return Stage::MaybeSent;
    }
    response = parser.release();
    co_return Stage::Answered;
}

ConnectionPool::ConnectionPool(std::shared_ptr<Private> impl)
    : d(std::move(impl))
{
}

ConnectionPool::~ConnectionPool() = default;

Result<std::unique_ptr<ConnectionPool>> ConnectionPool::create(net::io_context &context, Endpoint endpoint, std::size_t connectionLimit)
{
    SystemErrorCode error;
    const auto address = net::ip::make_address(endpoint.host, error);
    if (error) {
        return makeError(ErrorCode::InvalidArgument, "not an IP number", endpoint.host);
    }
    auto impl = std::make_shared<Private>(context, std::move(endpoint), connectionLimit);
    impl->address = tcp::endpoint(address, impl->endpoint.port);
    return std::unique_ptr<ConnectionPool>(new ConnectionPool(std::move(impl)));
}

net::awaitable<Result<HttpResponse>> ConnectionPool::call(HttpCall call)
{
    const std::shared_ptr<Private> self = this->d;
    const auto deadline = std::chrono::steady_clock::now() + call.limit;
    HttpRequest request(call.method, call.target, 11);
    request.set(http::field::host, toString(self->endpoint));
    for (const auto &[name, value] : call.headers) {
        request.set(name, value);
    }
    request.body() = std::move(call.body);
    request.prepare_payload();

    const bool hasTurn = co_await self->waitForTurn(deadline);
    if (!hasTurn) {
        co_return makeError(ErrorCode::Unavailable, "no connection became free", toString(self->endpoint));
    }
    std::unique_ptr<Connection> connection = self->takeIdle();
    if (!connection) {
        connection = std::make_unique<Connection>(self->context);
        ++self->open;
    }
    HttpResponse response;
    const bool wasKept = connection->isKept;
    Stage stage = co_await self->exchange(*connection, request, response, deadline);
    if (stage != Stage::Answered && wasKept && std::chrono::steady_clock::now() < deadline) {
        connection = std::make_unique<Connection>(self->context);
        const Stage again = co_await self->exchange(*connection, request, response, deadline);
        // The first attempt may still be carried out.
        stage = again == Stage::Answered ? Stage::Answered : Stage::MaybeSent;
    }
    if (stage == Stage::Answered && response.keep_alive()) {
        self->giveBack(std::move(connection));
    } else {
        connection.reset();
        --self->open;
        self->freed.cancel_one();
    }
    switch (stage) {
    case Stage::Nothing:
        co_return makeError(ErrorCode::Unavailable, "cannot connect", toString(self->endpoint));
    case Stage::MaybeSent:
        co_return makeError(ErrorCode::Timeout, "no answer", toString(self->endpoint));
    case Stage::Answered:
        break;
    }
    co_return response;
}

}
