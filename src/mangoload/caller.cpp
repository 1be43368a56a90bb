// Sending and judging one request.
#include "caller.h"

#include <xxhash.h>

#include "reusablesocket.h"

namespace MangoCourse {

namespace {

using Steady = std::chrono::steady_clock;

// Below the gate's own limit for idle connections, so that a kept one is not closed under a request.
constexpr std::chrono::seconds idleLimit{5};

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

void judge(LoadReport &report, ClassFigures &figures, const LoadRequest &request, const HttpResponse &response, std::chrono::microseconds took)
{
    if (response.result() == http::status::accepted) {
        ++figures.answered;
        ++figures.inTime;
        figures.latencies.push_back(took.count());
        return;
    }
    if (response.result() != http::status::ok) {
        countFailure(report, figures, request, response);
        return;
    }
    const auto json = nlohmann::json::parse(response.body(), nullptr, false);
    const bool isWhole = json.is_object();
    // A job's run has an id of its own; its digest still tells whose body it was.
    const bool isOwn = isWhole && json.value("digest", std::string()) == digestOf(request.body)
        && (!request.service->idempotent || json.value("id", std::string()) == request.id);
    report.partial += isWhole ? 0 : 1;
    report.wrong += isWhole && !isOwn ? 1 : 0;
    ++figures.answered;
    figures.inTime += isOwn && took <= request.service->responseDeadline ? 1 : 0;
    figures.latencies.push_back(took.count());
}

}

std::string digestOf(const std::string &body)
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

net::awaitable<std::unique_ptr<CallerConnection>> CallerPool::take(Endpoint target)
{
    auto &kept = this->idle[target];
    while (!kept.empty()) {
        std::unique_ptr<CallerConnection> connection = std::move(kept.back());
        kept.pop_back();
        if (Steady::now() - connection->lastUsed < idleLimit && isReusable(connection->stream.socket())) {
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

void CallerPool::give(const Endpoint &target, std::unique_ptr<CallerConnection> connection)
{
    connection->lastUsed = Steady::now();
    connection->stream.expires_never();
    this->idle[target].push_back(std::move(connection));
}

net::awaitable<void> callOnce(CallerPool &pool, LoadReport &report, LoadRequest request, std::chrono::milliseconds limit)
{
    ClassFigures &figures = report.classes[std::string(toString(request.service->workClass))];
    ++figures.requests;
    const auto started = Steady::now();
    std::unique_ptr<CallerConnection> connection = co_await pool.take(request.target);
    if (!connection) {
        ++report.reasons["cannot connect"];
        ++figures.notRun;
        report.notRunIds.push_back(request.id);
        co_return;
    }
    SystemErrorCode error;
    connection->stream.expires_after(limit);
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
    judge(report, figures, request, response, std::chrono::duration_cast<std::chrono::microseconds>(Steady::now() - started));
    if (response.keep_alive()) {
        pool.give(request.target, std::move(connection));
    }
}

}
