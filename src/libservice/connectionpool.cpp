// Coroutine HTTP client with a connection pool.
#include "connectionpool.h"

#include <netinet/tcp.h>

#include <algorithm>
#include <atomic>
#include <deque>

#include <mangocourse/bootclock.h>

#include "controltraffic.h"
#include "readmessage.h"
#include "reusablesocket.h"

namespace MangoCourse {

namespace {

// The connection fails if the peer acknowledges no data for this long (TCP_USER_TIMEOUT).
constexpr std::chrono::milliseconds unacknowledgedTimeout{3000};
// Connections that were idle for longer are not reused: the network path may have failed without notice.
constexpr std::chrono::seconds maxIdleTime{12};
constexpr std::uint64_t maxResponseBytes = 64 * 1024 * 1024;

// Of all pools, as a pool may be replaced by another one for the same endpoint.
std::atomic<std::uint64_t> lastConnectionNumber{0};

using UserTimeout = net::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

struct Connection {
    explicit Connection(net::io_context &context)
        : stream(context)
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    std::chrono::steady_clock::time_point lastUsedAt{};
    TimePoint openedAt{};
    bool isReused = false;
    std::uint64_t number = 0;
    // The server that has identified itself on the connection; empty if none has.
    std::string server;
};

SendVerdict verdictOn(const Connection &connection, const HttpCall &call)
{
    const SendVerdict verdict = call.maySend ? call.maySend(connection.openedAt) : SendVerdict::Send;
    const bool isIdentified = call.identification && call.identification->server == connection.server;
    return verdict == SendVerdict::Identify && isIdentified ? SendVerdict::Send : verdict;
}

enum class ExchangeResult {
    NotSent,
    // As NotSent, and the connection is open.
    Withheld,
    MaybeSent,
    Answered,
};

}

class ConnectionPool::Private
{
public:
    Private(net::io_context &context, Endpoint endpoint, std::size_t maxConnections)
        : context(context)
        , endpoint(std::move(endpoint))
        , maxConnections(maxConnections)
    {
    }

    net::io_context &context;
    Endpoint endpoint;
    tcp::endpoint address;
    std::size_t maxConnections;
    std::size_t openCount = 0;
    std::deque<std::unique_ptr<Connection>> idle;
    // The timers of the calls that wait for a connection, in order of arrival. The first is cancelled when one becomes free.
    std::deque<std::shared_ptr<net::steady_timer>> waitingCalls;

    std::unique_ptr<Connection> makeConnection();
    // Prefers a connection that the call may be sent over at once.
    std::unique_ptr<Connection> takeIdleConnection(const HttpCall &call);
    std::unique_ptr<Connection> takeIdleConnection(std::uint64_t number);
    void returnConnection(std::unique_ptr<Connection> connection);
    void wakeWaitingCall();
    net::awaitable<bool> waitForConnection(std::chrono::steady_clock::time_point deadline);
    HttpRequest makeRequest(const HttpCall &call, const std::string &target, std::string body) const;
    // Writes the request and reads the response. The result is MaybeSent or Answered.
    static net::awaitable<ExchangeResult> writeAndRead(Connection &connection, const HttpRequest &request, HttpResponse &response);
    // Asks the server on the connection who it is, if the call needs that. The result is Answered if the call may be written.
    net::awaitable<ExchangeResult> identify(Connection &connection, const HttpCall &call) const;
    net::awaitable<ExchangeResult> exchange(
        Connection &connection, const HttpCall &call, const HttpRequest &request, HttpResponse &response, std::chrono::steady_clock::time_point deadline);
};

std::unique_ptr<Connection> ConnectionPool::Private::takeIdleConnection(const HttpCall &call)
{
    const auto now = std::chrono::steady_clock::now();
    while (!this->idle.empty() && now - this->idle.front()->lastUsedAt > maxIdleTime) {
        this->idle.pop_front();
        --this->openCount;
    }
    while (!this->idle.empty()) {
        const auto allowed = std::find_if(this->idle.rbegin(), this->idle.rend(), [&call](const std::unique_ptr<Connection> &candidate) {
            return verdictOn(*candidate, call) == SendVerdict::Send;
        });
        const auto chosen = allowed == this->idle.rend() ? std::prev(this->idle.end()) : std::prev(allowed.base());
        std::unique_ptr<Connection> connection = std::move(*chosen);
        this->idle.erase(chosen);
        if (isReusable(connection->stream.socket())) {
            return connection;
        }
        --this->openCount;
    }
    return nullptr;
}

std::unique_ptr<Connection> ConnectionPool::Private::takeIdleConnection(std::uint64_t number)
{
    const auto found = std::find_if(this->idle.begin(), this->idle.end(), [number](const std::unique_ptr<Connection> &candidate) {
        return candidate->number == number;
    });
    if (found == this->idle.end()) {
        return nullptr;
    }
    std::unique_ptr<Connection> connection = std::move(*found);
    this->idle.erase(found);
    if (isReusable(connection->stream.socket())) {
        return connection;
    }
    --this->openCount;
    return nullptr;
}

std::unique_ptr<Connection> ConnectionPool::Private::makeConnection()
{
    auto connection = std::make_unique<Connection>(this->context);
    connection->number = ++lastConnectionNumber;
    return connection;
}

void ConnectionPool::Private::returnConnection(std::unique_ptr<Connection> connection)
{
    connection->lastUsedAt = std::chrono::steady_clock::now();
    connection->isReused = true;
    this->idle.push_back(std::move(connection));
    this->wakeWaitingCall();
}

void ConnectionPool::Private::wakeWaitingCall()
{
    if (!this->waitingCalls.empty()) {
        this->waitingCalls.front()->cancel();
        this->waitingCalls.pop_front();
    }
}

net::awaitable<bool> ConnectionPool::Private::waitForConnection(std::chrono::steady_clock::time_point deadline)
{
    while (this->openCount >= this->maxConnections && this->idle.empty()) {
        if (std::chrono::steady_clock::now() >= deadline) {
            co_return false;
        }
        SystemErrorCode ignored;
        const auto connectionFreed = std::make_shared<net::steady_timer>(this->context, deadline);
        this->waitingCalls.push_back(connectionFreed);
        co_await connectionFreed->async_wait(captureError(ignored));
        std::erase(this->waitingCalls, connectionFreed);
    }
    co_return true;
}

HttpRequest ConnectionPool::Private::makeRequest(const HttpCall &call, const std::string &target, std::string body) const
{
    HttpRequest request(call.method, target, 11);
    request.set(http::field::host, toString(this->endpoint));
    for (const auto &[name, value] : call.headers) {
        request.set(name, value);
    }
    request.body() = std::move(body);
    request.prepare_payload();
    return request;
}

net::awaitable<ExchangeResult> ConnectionPool::Private::writeAndRead(Connection &connection, const HttpRequest &request, HttpResponse &response)
{
    SystemErrorCode error;
    controlTraffic().sent += co_await http::async_write(connection.stream, request, captureError(error));
    if (error) {
        co_return ExchangeResult::MaybeSent;
    }
    http::response_parser<http::string_body> parser;
    parser.body_limit(maxResponseBytes);
    controlTraffic().received += co_await readMessage(connection.stream, connection.buffer, parser, error);
    if (error) {
        co_return ExchangeResult::MaybeSent;
    }
    response = parser.release();
    co_return ExchangeResult::Answered;
}

net::awaitable<ExchangeResult> ConnectionPool::Private::identify(Connection &connection, const HttpCall &call) const
{
    if (verdictOn(connection, call) != SendVerdict::Identify || !call.identification) {
        co_return verdictOn(connection, call) == SendVerdict::Send ? ExchangeResult::Answered : ExchangeResult::Withheld;
    }
    const HttpRequest request = this->makeRequest(call, call.identification->target, call.identification->body);
    HttpResponse response;
    const ExchangeResult result = co_await writeAndRead(connection, request, response);
    // Bytes after the response would be read as the answer to the call.
    if (result != ExchangeResult::Answered || !response.keep_alive() || connection.buffer.size() > 0) {
        co_return ExchangeResult::NotSent;
    }
    if (call.identification->isExpected(response)) {
        connection.server = call.identification->server;
    }
    // The caller may have lost its authority meanwhile.
    co_return verdictOn(connection, call) == SendVerdict::Send ? ExchangeResult::Answered : ExchangeResult::Withheld;
}

net::awaitable<ExchangeResult> ConnectionPool::Private::exchange(
    Connection &connection, const HttpCall &call, const HttpRequest &request, HttpResponse &response, std::chrono::steady_clock::time_point deadline)
{
    SystemErrorCode error;
    connection.stream.expires_at(deadline);
    if (!connection.isReused) {
        co_await connection.stream.async_connect(this->address, captureError(error));
        if (error) {
            co_return ExchangeResult::NotSent;
        }
        connection.openedAt = BootClock{}.now();
        connection.stream.socket().set_option(tcp::no_delay(true), error);
        connection.stream.socket().set_option(UserTimeout(static_cast<int>(unacknowledgedTimeout.count())), error);
    }
    const ExchangeResult identified = co_await this->identify(connection, call);
    if (identified != ExchangeResult::Answered) {
        co_return identified;
    }
    if (call.identification) {
        // An answer to the call must not be given up because the identification was slow.
        connection.stream.expires_after(call.timeout);
    }
    const ExchangeResult result = co_await writeAndRead(connection, request, response);
    co_return result;
}

ConnectionPool::ConnectionPool(std::shared_ptr<Private> impl)
    : d(std::move(impl))
{
}

ConnectionPool::~ConnectionPool() = default;

Result<std::unique_ptr<ConnectionPool>> ConnectionPool::create(net::io_context &context, Endpoint endpoint, std::size_t maxConnections)
{
    SystemErrorCode error;
    const auto address = net::ip::make_address(endpoint.host, error);
    if (error) {
        return makeError(ErrorCode::InvalidArgument, "is not an IP address", endpoint.host);
    }
    auto impl = std::make_shared<Private>(context, std::move(endpoint), maxConnections);
    impl->address = tcp::endpoint(address, impl->endpoint.port);
    return std::unique_ptr<ConnectionPool>(new ConnectionPool(std::move(impl)));
}

net::awaitable<Result<HttpAnswer>> ConnectionPool::call(HttpCall call)
{
    const std::shared_ptr<Private> self = this->d;
    const auto deadline = std::chrono::steady_clock::now() + call.timeout;
    const HttpRequest request = self->makeRequest(call, call.target, std::move(call.body));

    std::unique_ptr<Connection> connection;
    if (call.connection) {
        connection = self->takeIdleConnection(*call.connection);
        if (!connection) {
            co_return makeError(ErrorCode::Unavailable, "the connection is closed or in use", toString(self->endpoint));
        }
    } else {
        const bool isAvailable = co_await self->waitForConnection(deadline - call.longPoll - (call.timeout - call.longPoll) / 2);
        if (!isAvailable) {
            co_return makeError(ErrorCode::Unavailable, "no connection became free in time", toString(self->endpoint));
        }
        connection = self->takeIdleConnection(call);
    }
    if (!connection) {
        connection = self->makeConnection();
        ++self->openCount;
    }
    HttpAnswer answer;
    const bool wasReused = connection->isReused;
    ExchangeResult result = co_await self->exchange(*connection, call, request, answer.response, deadline);
    const bool hasFailed = result != ExchangeResult::Answered && result != ExchangeResult::Withheld;
    if (hasFailed && wasReused && !call.connection && std::chrono::steady_clock::now() < deadline) {
        connection = self->makeConnection();
        answer.hasUnansweredAttempt = result == ExchangeResult::MaybeSent;
        const ExchangeResult retryResult = co_await self->exchange(*connection, call, request, answer.response, deadline);
        // The server may still carry out the first attempt.
        result = answer.hasUnansweredAttempt && retryResult != ExchangeResult::Answered ? ExchangeResult::MaybeSent : retryResult;
    }
    answer.connection = connection->number;
    // Bytes after the response would be read as the answer to the next call.
    const bool hasLeftover = connection->buffer.size() > 0;
    const bool isReusable = result == ExchangeResult::Withheld || (result == ExchangeResult::Answered && answer.response.keep_alive());
    if (isReusable && !hasLeftover) {
        self->returnConnection(std::move(connection));
    } else {
        connection.reset();
        --self->openCount;
        self->wakeWaitingCall();
    }
    switch (result) {
    case ExchangeResult::NotSent:
        co_return makeError(ErrorCode::Unavailable, "cannot connect", toString(self->endpoint));
    case ExchangeResult::Withheld:
        co_return makeError(ErrorCode::Unavailable, "no open connection may carry the call", toString(self->endpoint));
    case ExchangeResult::MaybeSent:
        co_return makeError(ErrorCode::Timeout, "no answer", toString(self->endpoint));
    case ExchangeResult::Answered:
        break;
    }
    co_return answer;
}

void ConnectionPool::noteServer(std::uint64_t connection, std::string server)
{
    for (const std::unique_ptr<Connection> &candidate : this->d->idle) {
        if (candidate->number == connection) {
            candidate->server = std::move(server);
            return;
        }
    }
}

}
