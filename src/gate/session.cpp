// HTTP sessions of callers.
#include "session.h"

#include <charconv>

#include <spdlog/spdlog.h>

#include "jobs.h"
#include "work.h"

namespace MangoCourse {

namespace {

using HeaderParser = http::request_parser<http::empty_body>;

constexpr std::string_view servicePrefix = "/v1/";

std::string text(beast::string_view view)
{
    return {view.data(), view.size()};
}

// One caller's connection.
class Session
{
public:
    Session(GateState &state, ServingThread &serving, tcp::socket socket)
        : state(state)
        , serving(serving)
        , stream(std::move(socket))
    {
    }

    net::awaitable<void> run();

private:
    net::awaitable<bool> serveOne();
    net::awaitable<CallerResponse> handleRequest(HeaderParser &header, const std::string &requestId);
    net::awaitable<CallerResponse> executeRequest(HeaderParser &header, GateRequest request, std::uint64_t length);
    net::awaitable<bool> readBody(HeaderParser &header, std::uint64_t length, std::string &body);
    BodyRelay makeRelay(HeaderParser &header, std::shared_ptr<bool> hasStarted);
    net::awaitable<void> sendContinue(HeaderParser &header);

    GateState &state;
    ServingThread &serving;
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    bool isBodyConsumed = false;
};

net::awaitable<void> Session::sendContinue(HeaderParser &header)
{
    if (header.get()[http::field::expect] != "100-continue") {
        co_return;
    }
    SystemErrorCode error;
    http::response<http::empty_body> interim(http::status::continue_, 11);
    co_await http::async_write(this->stream, interim, captureError(error));
}

net::awaitable<bool> Session::readBody(HeaderParser &header, std::uint64_t length, std::string &body)
{
    co_await this->sendContinue(header);
    SystemErrorCode error;
    http::request_parser<http::string_body> parser(std::move(header));
    parser.body_limit(length);
    co_await http::async_read(this->stream, this->buffer, parser, captureError(error));
    this->isBodyConsumed = !error;
    body = std::move(parser.get().body());
    co_return !error;
}

// The relay buffers one chunk of the configured size, whatever the body's length.
BodyRelay Session::makeRelay(HeaderParser &header, std::shared_ptr<bool> hasStarted)
{
    return [this, &header, hasStarted](beast::tcp_stream &upstream) -> net::awaitable<bool> {
        *hasStarted = true;
        co_await this->sendContinue(header);
        http::request_parser<http::buffer_body> parser(std::move(header));
        parser.body_limit(this->state.settings.serving.maxBodyBytes);
        std::vector<char> chunk(this->state.settings.serving.bodyBufferBytes);
        SystemErrorCode error;
        while (!parser.is_done()) {
            parser.get().body().data = chunk.data();
            parser.get().body().size = chunk.size();
            co_await http::async_read(this->stream, this->buffer, parser, captureError(error));
            if (error && error != http::error::need_buffer) {
                co_return false;
            }
            const std::size_t size = chunk.size() - parser.get().body().size;
            co_await net::async_write(upstream, net::buffer(chunk.data(), size), captureError(error));
            if (error) {
                co_return false;
            }
        }
        this->isBodyConsumed = true;
        co_return true;
    };
}

net::awaitable<CallerResponse> Session::executeRequest(HeaderParser &header, GateRequest request, std::uint64_t length)
{
    const ServingLimits &limits = this->state.settings.serving;
    if (length <= limits.bodyBufferBytes || !request.spec.idempotent) {
        if (!co_await this->readBody(header, length, request.upstream.body)) {
            co_return failureResponse(http::status::bad_request, Verdict::NotRun, "the request body is incomplete");
        }
    } else {
        request.relay = this->makeRelay(header, request.hasRelayStarted);
        request.bodyLength = length;
    }
    if (!request.spec.idempotent) {
        co_return co_await submitJob(this->state, this->serving, request);
    }
    co_return toCallerResponse(co_await runRequest(this->state, this->serving, request));
}

net::awaitable<CallerResponse> Session::handleRequest(HeaderParser &header, const std::string &requestId)
{
    const auto &message = header.get();
    const std::string target = text(message.target());
    if (message.method() != http::verb::post || !target.starts_with(servicePrefix)) {
        co_return failureResponse(http::status::not_found, Verdict::NotRun, "the method or path is not allowed; allowed is POST /v1/SERVICE");
    }
    const ServiceId service{target.substr(servicePrefix.size())};
    const std::shared_ptr<const GateView> view = this->state.view();
    const auto known = view->services.find(service);
    if (known == view->services.end()) {
        co_return failureResponse(http::status::not_found, Verdict::NotRun, "the service does not exist");
    }
    const auto length = header.content_length();
    if (!length) {
        co_return failureResponse(http::status::length_required, Verdict::NotRun, "the header Content-Length is missing");
    }
    if (*length > this->state.settings.serving.maxBodyBytes) {
        co_return failureResponse(http::status::payload_too_large, Verdict::NotRun,
            "the body is larger than " + std::to_string(this->state.settings.serving.maxBodyBytes) + " bytes");
    }
    GateRequest request;
    request.service = service;
    request.team = TeamId{text(message["X-Team"])};
    request.spec = known->second;
    request.upstream = {target, requestId, text(message["Idempotency-Key"]), text(message[http::field::content_type]), {}};
    request.deadline = this->state.clock.now() + known->second.timeout;
    co_return co_await this->executeRequest(header, std::move(request), *length);
}

net::awaitable<bool> Session::serveOne()
{
    SystemErrorCode error;
    HeaderParser header;
    // handleRequest() checks Content-Length against the limit before any of the body is read.
    header.body_limit(unlimitedBody);
    this->isBodyConsumed = false;
    this->stream.expires_after(this->state.settings.serving.headerTimeout);
    this->serving.idleSessions[this] = &this->stream.socket();
    co_await http::async_read_header(this->stream, this->buffer, header, captureError(error));
    this->serving.idleSessions.erase(this);
    if (error) {
        const bool isMalformed = error.category() == http::make_error_code(http::error::bad_method).category() && error != http::error::end_of_stream
            && error != http::error::partial_message;
        if (isMalformed) {
            const HttpResponse refusal
                = toHttpResponse(failureResponse(http::status::bad_request, Verdict::NotRun, "malformed HTTP: " + error.message()), {}, false);
            co_await http::async_write(this->stream, refusal, captureError(error));
        }
        co_return false;
    }
    const TimePoint arrived = this->state.clock.now();
    ++this->state.inFlight;
    const bool keepAlive = header.get().keep_alive();
    const bool hasBody = header.content_length().value_or(0) > 0 || header.chunked();
    std::string requestId = text(header.get()["X-Request-Id"]);
    if (requestId.empty()) {
        requestId = this->state.newRequestId();
    }
    this->stream.expires_never();
    const CallerResponse answer = co_await this->handleRequest(header, requestId);
    this->stream.expires_after(this->state.settings.serving.headerTimeout);
    // Unread body bytes would be parsed as the next request, so the connection cannot be reused.
    const bool canKeepOpen = keepAlive && (!hasBody || this->isBodyConsumed) && !this->state.stopping;
    const HttpResponse response = toHttpResponse(answer, requestId, canKeepOpen);
    co_await http::async_write(this->stream, response, captureError(error));
    --this->state.inFlight;
    this->state.metrics.observe("mangocourse_request_seconds", "Time from a request's header to its answer.",
        "verdict=\"" + std::string(toString(answer.verdict)) + "\"", this->state.clock.now() - arrived);
    co_return !error && response.keep_alive();
}

net::awaitable<void> Session::run()
{
    SystemErrorCode error;
    this->stream.socket().set_option(tcp::no_delay(true), error);
    while (co_await this->serveOne()) {
    }
    this->stream.socket().shutdown(tcp::socket::shutdown_send, error);
}

}

net::awaitable<void> serveCaller(GateState &state, ServingThread &serving, tcp::socket socket)
{
    ++state.callers;
    Session session(state, serving, std::move(socket));
    co_await session.run();
    --state.callers;
}

}
