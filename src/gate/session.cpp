// Callers' HTTP.
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
    Session(GateState &state, Serving &serving, tcp::socket socket)
        : state(state)
        , serving(serving)
        , stream(std::move(socket))
    {
    }

    net::awaitable<void> run();

private:
    net::awaitable<bool> serveOne();
    net::awaitable<CallerAnswer> answer(HeaderParser &header, const std::string &requestId);
    net::awaitable<CallerAnswer> runService(HeaderParser &header, GateRequest request, std::uint64_t length);
    net::awaitable<bool> readBody(HeaderParser &header, std::uint64_t length, std::string &body);
    BodyRelay makeRelay(HeaderParser &header, std::shared_ptr<bool> taken);
    net::awaitable<void> continueCaller(HeaderParser &header);

    GateState &state;
    Serving &serving;
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    bool bodyConsumed = false;
};

net::awaitable<void> Session::continueCaller(HeaderParser &header)
{
    if (header.get()[http::field::expect] != "100-continue") {
        co_return;
    }
    SystemErrorCode error;
    http::response<http::empty_body> goOn(http::status::continue_, 11);
    co_await http::async_write(this->stream, goOn, captureError(error));
}

net::awaitable<bool> Session::readBody(HeaderParser &header, std::uint64_t length, std::string &body)
{
    co_await this->continueCaller(header);
    SystemErrorCode error;
    http::request_parser<http::string_body> parser(std::move(header));
    parser.body_limit(length);
    co_await http::async_read(this->stream, this->buffer, parser, captureError(error));
    this->bodyConsumed = !error;
    body = std::move(parser.get().body());
    co_return !error;
}

// The relay holds one buffer of the configured size, whatever the body's length.
BodyRelay Session::makeRelay(HeaderParser &header, std::shared_ptr<bool> taken)
{
    return [this, &header, taken](beast::tcp_stream &upstream) -> net::awaitable<bool> {
        *taken = true;
        co_await this->continueCaller(header);
        http::request_parser<http::buffer_body> parser(std::move(header));
        parser.body_limit(this->state.settings.serving.maxBodyBytes);
        std::vector<char> piece(this->state.settings.serving.bodyBufferBytes);
        SystemErrorCode error;
        while (!parser.is_done()) {
            parser.get().body().data = piece.data();
            parser.get().body().size = piece.size();
            co_await http::async_read(this->stream, this->buffer, parser, captureError(error));
            if (error && error != http::error::need_buffer) {
                co_return false;
            }
            const std::size_t size = piece.size() - parser.get().body().size;
            co_await net::async_write(upstream, net::buffer(piece.data(), size), captureError(error));
            if (error) {
                co_return false;
            }
        }
        this->bodyConsumed = true;
        co_return true;
    };
}

net::awaitable<CallerAnswer> Session::runService(HeaderParser &header, GateRequest request, std::uint64_t length)
{
    const ServingLimits &limits = this->state.settings.serving;
    if (length <= limits.bodyBufferBytes || !request.spec.idempotent) {
        if (!co_await this->readBody(header, length, request.upstream.body)) {
            co_return failureAnswer(http::status::bad_request, Verdict::NotRun, "the body did not arrive whole");
        }
    } else {
        request.relay = this->makeRelay(header, request.bodyTaken);
        request.bodyLength = length;
    }
    if (!request.spec.idempotent) {
        co_return co_await submitJob(this->state, this->serving, request);
    }
    co_return toAnswer(co_await runRequest(this->state, this->serving, request));
}

net::awaitable<CallerAnswer> Session::answer(HeaderParser &header, const std::string &requestId)
{
    const auto &message = header.get();
    const std::string target = text(message.target());
    if (message.method() != http::verb::post || !target.starts_with(servicePrefix)) {
        co_return failureAnswer(http::status::not_found, Verdict::NotRun, "requests are POST /v1/SERVICE");
    }
    const ServiceId service{target.substr(servicePrefix.size())};
    const std::shared_ptr<const GateView> view = this->state.view();
    const auto known = view->services.find(service);
    if (known == view->services.end()) {
        co_return failureAnswer(http::status::not_found, Verdict::NotRun, "unknown service");
    }
    const auto length = header.content_length();
    if (!length) {
        co_return failureAnswer(http::status::length_required, Verdict::NotRun, "a Content-Length is needed");
    }
    if (*length > this->state.settings.serving.maxBodyBytes) {
        co_return failureAnswer(
            http::status::payload_too_large, Verdict::NotRun, "the body is larger than " + std::to_string(this->state.settings.serving.maxBodyBytes) + " bytes");
    }
    GateRequest request;
    request.service = service;
    request.team = TeamId{text(message["X-Team"])};
    request.spec = known->second;
    request.upstream = {target, requestId, text(message["Idempotency-Key"]), text(message[http::field::content_type]), {}};
    request.deadline = this->state.clock.now() + known->second.timeout;
    co_return co_await this->runService(header, std::move(request), *length);
}

net::awaitable<bool> Session::serveOne()
{
    SystemErrorCode error;
    HeaderParser header;
    // The body's limit is checked against Content-Length before anything is read.
    header.body_limit(unlimitedBody);
    this->bodyConsumed = false;
    this->stream.expires_after(this->state.settings.serving.headerTimeout);
    this->serving.idleCallers[this] = &this->stream.socket();
    co_await http::async_read_header(this->stream, this->buffer, header, captureError(error));
    this->serving.idleCallers.erase(this);
    if (error) {
        const bool isMalformed = error.category() == http::make_error_code(http::error::bad_method).category() && error != http::error::end_of_stream
            && error != http::error::partial_message;
        if (isMalformed) {
            const HttpResponse refusal = toResponse(failureAnswer(http::status::bad_request, Verdict::NotRun, "malformed HTTP: " + error.message()), {}, false);
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
    const CallerAnswer answer = co_await this->answer(header, requestId);
    this->stream.expires_after(this->state.settings.serving.headerTimeout);
    // A body that was not read makes the connection unusable for another request.
    const bool staysOpen = keepAlive && (!hasBody || this->bodyConsumed) && !this->state.stopping;
    const HttpResponse response = toResponse(answer, requestId, staysOpen);
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

net::awaitable<void> serveCaller(GateState &state, Serving &serving, tcp::socket socket)
{
    ++state.callers;
    Session session(state, serving, std::move(socket));
    co_await session.run();
    --state.callers;
}

}
