// Blocking HTTP client: runs a private io_context for the duration of each call.
#include "httpclient.h"

#include <atomic>

#include <nlohmann/json.hpp>

#include "controltraffic.h"
#include "readmessage.h"
#include "reusablesocket.h"

namespace MangoCourse {

class HttpClient::Private
{
public:
    Endpoint endpoint;
    std::string token;
    net::io_context context{1};
    std::unique_ptr<beast::tcp_stream> stream;
    beast::flat_buffer buffer;
    std::atomic<bool> isInterrupted{false};

    net::awaitable<Result<HttpResponse>> exchange(HttpRequest request, std::chrono::milliseconds timeout);
    net::awaitable<Result<void>> connect();
    Result<HttpResponse> runExchange(const HttpRequest &request, std::chrono::milliseconds timeout);
};

net::awaitable<Result<void>> HttpClient::Private::connect()
{
    SystemErrorCode error;
    const auto address = net::ip::make_address(this->endpoint.host, error);
    if (error) {
        co_return makeError(ErrorCode::InvalidArgument, "is not an IP address", this->endpoint.host);
    }
    co_await this->stream->async_connect(tcp::endpoint(address, this->endpoint.port), captureError(error));
    if (error) {
        co_return makeError(ErrorCode::Unavailable, "cannot connect: " + error.message(), toString(this->endpoint));
    }
    this->stream->socket().set_option(tcp::no_delay(true), error);
    co_return Result<void>{};
}

net::awaitable<Result<HttpResponse>> HttpClient::Private::exchange(HttpRequest request, std::chrono::milliseconds timeout)
{
    SystemErrorCode error;
    const bool isNewConnection = !this->stream;
    if (isNewConnection) {
        this->stream = std::make_unique<beast::tcp_stream>(this->context);
        this->buffer.clear();
    }
    this->stream->expires_after(timeout);
    if (isNewConnection) {
        if (const Result<void> connected = co_await this->connect(); !connected) {
            co_return tl::unexpected(connected.error());
        }
    }
    controlTraffic().sent += co_await http::async_write(*this->stream, request, captureError(error));
    HttpResponse response;
    if (!error) {
        http::response_parser<http::string_body> parser;
        parser.body_limit(unlimitedBody);
        controlTraffic().received += co_await readMessage(*this->stream, this->buffer, parser, error);
        if (!error) {
            response = parser.release();
        }
    }
    if (error) {
        co_return makeError(ErrorCode::Timeout, "no answer: " + error.message(), toString(this->endpoint));
    }
    co_return response;
}

Result<HttpResponse> HttpClient::Private::runExchange(const HttpRequest &request, std::chrono::milliseconds timeout)
{
    // The result if interrupt() stops the exchange.
    Result<HttpResponse> result = makeError(ErrorCode::Timeout, "no answer", toString(this->endpoint));
    this->context.restart();
    if (this->isInterrupted) {
        return result;
    }
    net::co_spawn(
        this->context,
        [&]() -> net::awaitable<void> {
            result = co_await this->exchange(request, timeout);
        },
        net::detached);
    this->context.run();
    if (!result || !result->keep_alive()) {
        this->stream.reset();
    }
    return result;
}

HttpClient::HttpClient(std::unique_ptr<Private> impl)
    : d(std::move(impl))
{
}

HttpClient::~HttpClient() = default;

Result<std::unique_ptr<HttpClient>> HttpClient::create(Endpoint endpoint, std::string token)
{
    auto impl = std::make_unique<Private>();
    impl->endpoint = std::move(endpoint);
    impl->token = std::move(token);
    return std::unique_ptr<HttpClient>(new HttpClient(std::move(impl)));
}

Result<HttpAnswer> HttpClient::request(http::verb method, const std::string &target, const std::string &body, std::chrono::milliseconds timeout)
{
    HttpRequest request(method, target, 11);
    request.set(http::field::host, toString(this->d->endpoint));
    if (!this->d->token.empty()) {
        request.set(http::field::authorization, "Bearer " + this->d->token);
    }
    request.body() = body;
    request.prepare_payload();
    // Bytes that nobody asked for would be read as the answer to this request.
    if (this->d->stream && (this->d->buffer.size() > 0 || !isReusable(this->d->stream->socket()))) {
        this->d->stream.reset();
    }
    const bool wasOpen = this->d->stream != nullptr;
    Result<HttpResponse> response = this->d->runExchange(request, timeout);
    // The server may have closed the idle connection. request() requires idempotent requests, so one retry on a new connection is safe.
    const bool isRepeated = !response && wasOpen;
    if (isRepeated) {
        response = this->d->runExchange(request, timeout);
    }
    if (!response && isRepeated) {
        return makeError(ErrorCode::Timeout, "no answer to the first attempt; the second: " + response.error().message, response.error().where);
    }
    return response.map([isRepeated](HttpResponse &received) {
        return HttpAnswer{std::move(received), isRepeated};
    });
}

Result<std::string> HttpClient::call(http::verb method, const std::string &target, const std::string &body, std::chrono::milliseconds timeout)
{
    Result<HttpAnswer> answer = this->request(method, target, body, timeout);
    if (!answer) {
        return tl::unexpected(answer.error());
    }
    HttpResponse &response = answer->response;
    if (response.result_int() >= 400) {
        const auto json = nlohmann::json::parse(response.body(), nullptr, false);
        const std::string reason = json.is_object() ? json.value("reason", std::string("refused")) : "refused";
        // A refusal says nothing about the attempt that got no answer.
        const bool mayBeDone = answer->hasUnansweredAttempt && method != http::verb::get;
        return makeError(
            mayBeDone ? ErrorCode::Timeout : ErrorCode::Refused, std::to_string(response.result_int()) + " " + reason, toString(this->d->endpoint) + target);
    }
    return std::move(response.body());
}

void HttpClient::interrupt()
{
    this->d->isInterrupted = true;
    this->d->context.stop();
}

const Endpoint &HttpClient::endpoint() const
{
    return this->d->endpoint;
}

}
