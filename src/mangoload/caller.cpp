// Sending one request and classifying its answer.
#include "caller.h"

#include <xxhash.h>

#include "reusablesocket.h"

namespace MangoCourse {

namespace {

using Steady = std::chrono::steady_clock;

// Shorter than the gate's idle timeout, so that the gate does not close a reused connection during a request.
constexpr std::chrono::seconds maxIdleTime{5};

HttpRequest buildRequest(const LoadRequest &request)
{
    HttpRequest message(http::verb::post, "/v1/" + request.service->service.value, 11);
    message.set(http::field::host, toString(request.target));
    message.set("X-Request-Id", request.id);
    message.set("X-Team", request.team);
    message.set(http::field::content_type, "application/octet-stream");
    if (!request.service->idempotent) {
        message.set("Idempotency-Key", request.id);
    }
    message.body() = request.body;
    message.prepare_payload();
    return message;
}

void countFailure(LoadReport &report, ClassFigures &figures, const LoadRequest &request, const HttpResponse &response)
{
    const auto json = nlohmann::json::parse(response.body(), nullptr, false);
    const std::string verdict = json.is_object() ? json.value("verdict", std::string()) : std::string();
    const std::string reason = json.is_object() ? json.value("reason", std::string("?")) : std::string("?");
    ++report.reasons[std::to_string(response.result_int()) + " " + verdict + " " + reason];
    if (verdict == "not-run") {
        ++figures.notRun;
        report.notRunIds.push_back(request.id);
    } else {
        ++figures.mayHaveRun;
    }
}

void classifyAnswer(LoadReport &report, ClassFigures &figures, const LoadRequest &request, const HttpResponse &response, std::chrono::microseconds latency)
{
    if (response.result() == http::status::accepted) {
        ++figures.answered;
        ++figures.inTime;
        figures.latencies.push_back(latency.count());
        return;
    }
    if (response.result() != http::status::ok) {
        countFailure(report, figures, request, response);
        return;
    }
    const auto json = nlohmann::json::parse(response.body(), nullptr, false);
    const bool isComplete = json.is_object();
    // A job's run has its own id, so only the digest shows which request's body it ran.
    const bool isForRequest = isComplete && json.value("digest", std::string()) == computeDigest(request.body)
        && (!request.service->idempotent || json.value("id", std::string()) == request.id);
    report.partial += isComplete ? 0 : 1;
    report.wrong += isComplete && !isForRequest ? 1 : 0;
    ++figures.answered;
    figures.inTime += isForRequest && latency <= request.service->responseDeadline ? 1 : 0;
    figures.latencies.push_back(latency.count());
}

}

std::string computeDigest(const std::string &body)
{
    std::array<char, 17> digest{};
    std::snprintf(digest.data(), digest.size(), "%016llx", static_cast<unsigned long long>(XXH3_64bits(body.data(), body.size())));
    return digest.data();
}

net::awaitable<bool> isReady(net::io_context &context, Endpoint admin)
{
    SystemErrorCode error;
    beast::tcp_stream stream(context);
    stream.expires_after(std::chrono::seconds(1));
    co_await stream.async_connect(tcp::endpoint(net::ip::make_address(admin.host), admin.port), captureError(error));
    if (error) {
        co_return false;
    }
    http::request<http::empty_body> request(http::verb::get, "/readyz", 11);
    request.keep_alive(false);
    co_await http::async_write(stream, request, captureError(error));
    HttpResponse response;
    beast::flat_buffer buffer;
    if (!error) {
        co_await http::async_read(stream, buffer, response, captureError(error));
    }
    co_return !error && response.result() == http::status::ok;
}

net::awaitable<std::unique_ptr<CallerConnection>> CallerConnectionPool::acquire(Endpoint target)
{
    auto &idleConnections = this->idle[target];
    while (!idleConnections.empty()) {
        std::unique_ptr<CallerConnection> connection = std::move(idleConnections.back());
        idleConnections.pop_back();
        if (Steady::now() - connection->lastUsed < maxIdleTime && isReusable(connection->stream.socket())) {
            co_return connection;
        }
    }
    SystemErrorCode error;
    auto connection = std::make_unique<CallerConnection>(this->context);
    connection->stream.expires_after(std::chrono::seconds(5));
    co_await connection->stream.async_connect(tcp::endpoint(net::ip::make_address(target.host), target.port), captureError(error));
    if (error) {
        co_return nullptr;
    }
    connection->stream.socket().set_option(tcp::no_delay(true), error);
    co_return connection;
}

void CallerConnectionPool::release(const Endpoint &target, std::unique_ptr<CallerConnection> connection)
{
    connection->lastUsed = Steady::now();
    connection->stream.expires_never();
    this->idle[target].push_back(std::move(connection));
}

net::awaitable<void> sendRequest(CallerConnectionPool &pool, LoadReport &report, LoadRequest request, std::chrono::milliseconds timeout)
{
    ClassFigures &figures = report.classes[std::string(toString(request.service->workClass))];
    ++figures.requests;
    const auto started = Steady::now();
    std::unique_ptr<CallerConnection> connection = co_await pool.acquire(request.target);
    if (!connection) {
        ++report.reasons["cannot connect"];
        ++figures.notRun;
        report.notRunIds.push_back(request.id);
        co_return;
    }
    SystemErrorCode error;
    connection->stream.expires_after(timeout);
    const HttpRequest message = buildRequest(request);
    co_await http::async_write(connection->stream, message, captureError(error));
    HttpResponse response;
    if (!error) {
        co_await http::async_read(connection->stream, connection->buffer, response, captureError(error));
    }
    if (error) {
        report.clientTimeouts += error == beast::error::timeout ? 1 : 0;
        report.partial += error == http::error::partial_message ? 1 : 0;
        report.cut += error != beast::error::timeout && error != http::error::partial_message ? 1 : 0;
        ++figures.mayHaveRun;
        ++report.reasons["client saw " + error.message()];
        co_return;
    }
    classifyAnswer(report, figures, request, response, std::chrono::duration_cast<std::chrono::microseconds>(Steady::now() - started));
    if (response.keep_alive()) {
        pool.release(request.target, std::move(connection));
    }
}

}
