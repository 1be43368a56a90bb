// Sends requests to executors and classifies their responses.
#include "forward.h"

#include "readmessage.h"

namespace MangoCourse {

namespace {

constexpr std::string_view requestIdHeader = "X-Request-Id";

Attempt makeNotRunAttempt(AttemptResult result, std::string reason)
{
    Attempt attempt;
    attempt.result = result;
    attempt.verdict = Verdict::NotRun;
    attempt.status = http::status::service_unavailable;
    attempt.reason = std::move(reason);
    return attempt;
}

Attempt makeMayHaveRunAttempt(const SystemErrorCode &error)
{
    Attempt attempt;
    const bool isTimeout = error == beast::error::timeout;
    // A timeout does not count as a failure of the executor; a broken connection does.
    attempt.result = isTimeout ? AttemptResult::Abandoned : AttemptResult::Failed;
    attempt.status = isTimeout ? http::status::gateway_timeout : http::status::bad_gateway;
    attempt.reason = isTimeout ? "no answer from the executor before the deadline" : "the connection to the executor failed: " + error.message();
    return attempt;
}

http::request<http::string_body> buildRequest(const Endpoint &endpoint, const UpstreamRequest &request)
{
    http::request<http::string_body> message(http::verb::post, request.target, 11);
    message.set(http::field::host, toString(endpoint));
    message.set("X-Request-Id", request.requestId);
    if (!request.idempotencyKey.empty()) {
        message.set("Idempotency-Key", request.idempotencyKey);
    }
    if (!request.contentType.empty()) {
        message.set(http::field::content_type, request.contentType);
    }
    return message;
}

// An executor that refuses a request before running it sends 503 with Retry-After, and also "Connection: close" if it is draining.
bool isRefusedBeforeRun(const HttpResponse &response)
{
    return response.result() == http::status::service_unavailable && response.find(http::field::retry_after) != response.end();
}

Attempt classifyResponse(HttpResponse &response, const UpstreamRequest &request)
{
    if (isRefusedBeforeRun(response)) {
        return makeNotRunAttempt(
            response.keep_alive() ? AttemptResult::RefusedBusy : AttemptResult::RefusedLeaving, "the executor refused the request before running it");
    }
    Attempt attempt;
    const auto id = response[boost::beast::string_view(requestIdHeader.data(), requestIdHeader.size())];
    if (std::string_view(id.data(), id.size()) != request.requestId) {
        attempt.reason = "the X-Request-Id of the response is not that of the request";
        return attempt;
    }
    attempt.status = response.result();
    attempt.verdict = Verdict::Ran;
    attempt.result = response.result_int() < 500 ? AttemptResult::Succeeded : AttemptResult::Failed;
    const auto type = response[http::field::content_type];
    attempt.contentType.assign(type.data(), type.size());
    attempt.body = std::move(response.body());
    attempt.reason = attempt.result == AttemptResult::Failed ? "the executor reported a server error" : "";
    return attempt;
}

net::awaitable<Result<HttpResponse>> readResponse(UpstreamConnection &connection, std::size_t maxResponseBytes, SystemErrorCode &error)
{
    http::response_parser<http::string_body> parser;
    parser.body_limit(maxResponseBytes);
    co_await readMessage(connection.stream, connection.buffer, parser, error);
    if (error) {
        co_return makeError(ErrorCode::Unavailable, error.message());
    }
    co_return parser.release();
}

// Sends the header alone and relays the body only after "100 Continue". If the executor refuses, the body has not been read from the caller and
// the request can be retried.
net::awaitable<Result<HttpResponse>> sendRelayed(UpstreamConnection &connection, http::request<http::string_body> message, const BodyRelay &relay,
    std::uint64_t bodyLength, std::size_t maxResponseBytes, SystemErrorCode &error)
{
    http::request<http::empty_body> header(std::move(message.base()));
    header.set(http::field::expect, "100-continue");
    header.content_length(bodyLength);
    http::request_serializer<http::empty_body> serializer(header);
    co_await http::async_write_header(connection.stream, serializer, captureError(error));
    if (error) {
        co_return makeError(ErrorCode::Unavailable, error.message());
    }
    http::response_parser<http::string_body> parser;
    parser.body_limit(maxResponseBytes);
    co_await http::async_read_header(connection.stream, connection.buffer, parser, captureError(error));
    if (error) {
        co_return makeError(ErrorCode::Unavailable, error.message());
    }
    if (parser.get().result() != http::status::continue_) {
        co_await http::async_read(connection.stream, connection.buffer, parser, captureError(error));
        if (error) {
            co_return makeError(ErrorCode::Unavailable, error.message());
        }
        co_return parser.release();
    }
    if (!co_await relay(connection.stream)) {
        error = net::error::connection_aborted;
        co_return makeError(ErrorCode::Unavailable, "relaying the request body failed");
    }
    co_return co_await readResponse(connection, maxResponseBytes, error);
}

net::awaitable<Result<HttpResponse>> sendBuffered(UpstreamConnection &connection, http::request<http::string_body> message, const UpstreamRequest &request,
    std::size_t maxResponseBytes, SystemErrorCode &error)
{
    message.body() = request.body;
    message.prepare_payload();
    co_await http::async_write(connection.stream, message, captureError(error));
    if (error) {
        co_return makeError(ErrorCode::Unavailable, error.message());
    }
    co_return co_await readResponse(connection, maxResponseBytes, error);
}

}

net::awaitable<Attempt> forward(ServingThread &serving, const ServingLimits &limits, Endpoint endpoint, const UpstreamRequest &request, TimePoint deadline,
    const BodyRelay &relay, std::uint64_t bodyLength)
{
    std::unique_ptr<UpstreamConnection> connection = serving.upstreams.acquire(endpoint);
    SystemErrorCode error;
    connection->stream.expires_at(deadline);
    if (!connection->isReused) {
        const auto address = net::ip::make_address(endpoint.host, error);
        co_await connection->stream.async_connect(tcp::endpoint(address, endpoint.port), captureError(error));
        if (error) {
            co_return makeNotRunAttempt(AttemptResult::Unreachable, "cannot connect to the executor: " + error.message());
        }
        connection->stream.socket().set_option(tcp::no_delay(true), error);
    }
    http::request<http::string_body> message = buildRequest(endpoint, request);
    // An if statement, because g++ 12 destroys the temporaries of a co_await inside a conditional expression twice.
    Result<HttpResponse> response = makeError(ErrorCode::Unavailable, "not sent");
    if (relay) {
        response = co_await sendRelayed(*connection, std::move(message), relay, bodyLength, limits.responseBufferBytes, error);
    } else {
        response = co_await sendBuffered(*connection, std::move(message), request, limits.responseBufferBytes, error);
    }
    if (!response) {
        co_return makeMayHaveRunAttempt(error);
    }
    Attempt attempt = classifyResponse(*response, request);
    const bool isClean = attempt.verdict == Verdict::Ran || attempt.verdict == Verdict::NotRun;
    // Bytes after the response would be read as the answer to the next request.
    const bool hasLeftover = connection->buffer.size() > 0;
    if (isClean && response->keep_alive() && !hasLeftover) {
        connection->stream.expires_never();
        serving.upstreams.release(endpoint, std::move(connection));
    }
    co_return attempt;
}

}
