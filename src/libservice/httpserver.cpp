// HTTP server for control traffic.
#include "httpserver.h"

#include <algorithm>
#include <set>
#include <vector>

#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>

#include "controltraffic.h"
#include "readmessage.h"

namespace MangoCourse {

namespace {

struct Route {
    http::verb method;
    std::string pattern;
    HttpHandler handler;
    std::string token;
};

bool matches(const Route &route, const HttpRequest &request, std::string_view path)
{
    if (route.method != request.method()) {
        return false;
    }
    if (route.pattern.ends_with('*')) {
        return path.starts_with(std::string_view(route.pattern).substr(0, route.pattern.size() - 1));
    }
    return path == route.pattern;
}

// Compares in time that does not depend on the position of the first difference, so that timing does not reveal the token.
bool isSameToken(std::string_view actual, std::string_view expected)
{
    unsigned difference = actual.size() == expected.size() ? 0 : 1;
    for (std::size_t index = 0; index < actual.size() && index < expected.size(); ++index) {
        difference |= static_cast<unsigned char>(actual[index]) ^ static_cast<unsigned char>(expected[index]);
    }
    return difference == 0;
}

bool isAuthorized(const Route &route, const HttpRequest &request)
{
    if (route.token.empty()) {
        return true;
    }
    const auto header = request[http::field::authorization];
    return isSameToken(std::string_view(header.data(), header.size()), "Bearer " + route.token);
}

}

class HttpServer::Private : public std::enable_shared_from_this<Private>
{
public:
    Private(net::io_context &context)
        : context(context)
        , acceptor(context)
    {
    }

    net::io_context &context;
    tcp::acceptor acceptor;
    std::vector<Route> routes;
    HttpHandler fallback;
    std::size_t connectionCount = 0;
    std::size_t activeCount = 0;
    bool isStopping = false;
    bool isKeepAliveDisabled = false;

    net::awaitable<void> accept();
    net::awaitable<void> serve(tcp::socket socket);
    net::awaitable<HttpResponse> dispatch(const HttpRequest &request);
    net::awaitable<HttpResponse> runHandler(const Route &route, const HttpRequest &request);
};

net::awaitable<HttpResponse> HttpServer::Private::runHandler(const Route &route, const HttpRequest &request)
{
    std::string failure;
    try {
        co_return co_await route.handler(request);
    } catch (const std::exception &exception) {
        failure = exception.what();
    }
    spdlog::error("event=handler_failed target={} reason={}", std::string_view(request.target().data(), request.target().size()), failure);
    co_return errorResponse(http::status::internal_server_error, failure);
}

net::awaitable<HttpResponse> HttpServer::Private::dispatch(const HttpRequest &request)
{
    const std::string_view path = pathOf({request.target().data(), request.target().size()});
    for (const Route &route : this->routes) {
        if (!matches(route, request, path)) {
            continue;
        }
        if (!isAuthorized(route, request)) {
            co_return errorResponse(http::status::unauthorized, "missing or wrong bearer token");
        }
        co_return co_await this->runHandler(route, request);
    }
    if (this->fallback) {
        const Route route{request.method(), {}, this->fallback, {}};
        co_return co_await this->runHandler(route, request);
    }
    co_return errorResponse(http::status::not_found, "no such endpoint");
}

net::awaitable<void> HttpServer::Private::serve(tcp::socket socket)
{
    SystemErrorCode error;
    socket.set_option(tcp::no_delay(true), error);
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    while (!this->isStopping) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(HttpServer::maxBodyBytes);
        stream.expires_after(HttpServer::idleTimeout);
        controlTraffic().received += co_await readMessage(stream, buffer, parser, error);
        if (error) {
            break;
        }
        const HttpRequest request = parser.release();
        ++this->activeCount;
        HttpResponse response = co_await this->dispatch(request);
        --this->activeCount;
        response.version(11);
        response.keep_alive(request.keep_alive() && !this->isStopping && !this->isKeepAliveDisabled);
        response.prepare_payload();
        stream.expires_after(HttpServer::idleTimeout);
        controlTraffic().sent += co_await http::async_write(stream, response, captureError(error));
        if (error || !response.keep_alive()) {
            break;
        }
    }
    stream.socket().shutdown(tcp::socket::shutdown_both, error);
    --this->connectionCount;
}

net::awaitable<void> HttpServer::Private::accept()
{
    while (!this->isStopping) {
        SystemErrorCode error;
        tcp::socket socket = co_await this->acceptor.async_accept(captureError(error));
        if (error) {
            if (error == net::error::operation_aborted) {
                break;
            }
            net::steady_timer retryDelay(this->context, std::chrono::milliseconds(10));
            co_await retryDelay.async_wait(captureError(error));
            continue;
        }
        if (this->connectionCount >= HttpServer::maxConnections) {
            continue;
        }
        ++this->connectionCount;
        net::co_spawn(
            this->context,
            [self = this->shared_from_this(), accepted = std::move(socket)]() mutable {
                return self->serve(std::move(accepted));
            },
            net::detached);
    }
}

HttpServer::HttpServer(std::shared_ptr<Private> impl)
    : d(std::move(impl))
{
}

HttpServer::~HttpServer() = default;

Result<std::unique_ptr<HttpServer>> HttpServer::create(net::io_context &context, const Endpoint &endpoint)
{
    auto impl = std::make_shared<Private>(context);
    SystemErrorCode error;
    const auto address = net::ip::make_address(endpoint.host, error);
    if (error) {
        return makeError(ErrorCode::InvalidArgument, "is not an IP address", endpoint.host);
    }
    const tcp::endpoint localEndpoint(address, endpoint.port);
    impl->acceptor.open(localEndpoint.protocol(), error);
    impl->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    impl->acceptor.bind(localEndpoint, error);
    if (!error) {
        impl->acceptor.listen(net::socket_base::max_listen_connections, error);
    }
    if (error) {
        return makeError(ErrorCode::Unavailable, "cannot listen: " + error.message(), toString(endpoint));
    }
    return std::unique_ptr<HttpServer>(new HttpServer(std::move(impl)));
}

void HttpServer::route(http::verb method, std::string pattern, HttpHandler handler, std::string token)
{
    this->d->routes.push_back(Route{method, std::move(pattern), std::move(handler), std::move(token)});
}

void HttpServer::fallback(HttpHandler handler)
{
    this->d->fallback = std::move(handler);
}

void HttpServer::disableKeepAlive()
{
    this->d->isKeepAliveDisabled = true;
}

std::size_t HttpServer::activeRequests() const
{
    return this->d->activeCount;
}

void HttpServer::start()
{
    net::co_spawn(
        this->d->context,
        [self = this->d] {
            return self->accept();
        },
        net::detached);
}

void HttpServer::stop()
{
    net::post(this->d->context, [self = this->d] {
        SystemErrorCode error;
        self->isStopping = true;
        self->acceptor.close(error);
    });
}

Endpoint HttpServer::endpoint() const
{
    const tcp::endpoint local = this->d->acceptor.local_endpoint();
    return Endpoint{local.address().to_string(), local.port()};
}

HttpResponse healthResponse()
{
    return jsonResponse(http::status::ok, nlohmann::json{{"alive", true}, {"control_bytes", controlTraffic().total()}}.dump());
}

HttpResponse jsonResponse(http::status status, const std::string &body)
{
    HttpResponse response(status, 11);
    response.set(http::field::content_type, "application/json");
    response.body() = body;
    return response;
}

HttpResponse errorResponse(http::status status, std::string_view reason)
{
    return jsonResponse(status, nlohmann::json{{"reason", reason}}.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

std::string_view pathOf(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

std::string queryValue(std::string_view target, std::string_view name, std::string fallback)
{
    const auto question = target.find('?');
    std::string_view query = question == std::string_view::npos ? std::string_view{} : target.substr(question + 1);
    while (!query.empty()) {
        const auto end = query.find('&');
        const std::string_view pair = query.substr(0, end);
        const auto equals = pair.find('=');
        if (pair.substr(0, equals) == name) {
            return equals == std::string_view::npos ? std::string{} : std::string(pair.substr(equals + 1));
        }
        query = end == std::string_view::npos ? std::string_view{} : query.substr(end + 1);
    }
    return fallback;
}

}
