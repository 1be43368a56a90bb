// standin-platform: a small stand-in for the platform's service, for tests and the demo.
#include <chrono>
#include <iostream>
#include <thread>

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include "asiotypes.h"
#include "asyncsignal.h"
#include "httpserver.h"
#include "instancestore.h"
#include "logging.h"
#include "logstore.h"
#include "tool.h"

DEFINE_string(listen, "127.0.0.1:0", "address to listen on; port 0 lets the system choose");
DEFINE_string(fleet, "", "fleet file whose budgets the observer checks");
DEFINE_int32(list_lag_ms, 500, "how far the instance list lags behind the truth, in milliseconds");
DEFINE_int32(reboot_ms, 2000, "how long a reboot takes, in milliseconds");
DEFINE_int32(retention, 100000, "records that each stream keeps");

namespace MangoCourse {

namespace {

using Json = nlohmann::json;

constexpr std::chrono::milliseconds tickInterval{20};

std::int64_t queryNumber(std::string_view target, std::string_view name, std::int64_t fallback)
{
    const std::string text = queryValue(target, name);
    return text.empty() ? fallback : std::strtoll(text.c_str(), nullptr, 10);
}

std::string_view targetOf(const HttpRequest &request)
{
    return {request.target().data(), request.target().size()};
}

// The part of the path between the prefix and the last slash, and the part after it.
struct SplitPath {
    std::string name;
    std::string verb;
};

SplitPath splitPath(const HttpRequest &request, std::string_view prefix)
{
    const std::string_view rest = pathOf(targetOf(request)).substr(prefix.size());
    const auto slash = rest.rfind('/');
    return {std::string(rest.substr(0, slash)), slash == std::string_view::npos ? "" : std::string(rest.substr(slash + 1))};
}

class StandinPlatform
{
public:
    StandinPlatform(net::io_context &context, const FleetFile &fleet)
        : context(context)
        , logSignal(context)
        , listSignal(context)
        , instances(fleet, std::chrono::milliseconds(FLAGS_list_lag_ms), std::chrono::milliseconds(FLAGS_reboot_ms))
    {
        this->log.retention = static_cast<std::size_t>(FLAGS_retention);
    }

    void addRoutes(HttpServer &server)
    {
        server.route(http::verb::post, "/streams/*", [this](const HttpRequest &request) {
            return this->append(request);
        });
        server.route(http::verb::get, "/streams/*", [this](const HttpRequest &request) {
            return this->read(request);
        });
        server.route(http::verb::get, "/instances", [this](const HttpRequest &request) {
            return this->list(request);
        });
        server.route(http::verb::post, "/instances/*", [this](const HttpRequest &request) {
            return this->act(request);
        });
        server.route(http::verb::post, "/agent", [this](const HttpRequest &request) {
            return this->agent(request);
        });
        server.route(http::verb::post, "/faults/log", [this](const HttpRequest &request) {
            return this->setLogFault(request);
        });
        server.route(http::verb::get, "/observations", [this](const HttpRequest &) {
            return this->observations();
        });
    }

    net::awaitable<void> run()
    {
        net::steady_timer timer(this->context);
        while (true) {
            SystemErrorCode error;
            timer.expires_after(tickInterval);
            co_await timer.async_wait(captureError(error));
            if (this->instances.tick(this->clock.now())) {
                this->listSignal.notify();
            }
        }
    }

private:
    net::awaitable<HttpResponse> append(const HttpRequest &request)
    {
        if (this->log.fault == LogFault::Down) {
            co_return errorResponse(http::status::service_unavailable, "the log is down");
        }
        co_await this->pause();
        const SplitPath path = splitPath(request, "/streams/");
        const Offset first = this->log.streams[path.name].append(Json::parse(request.body()).get<std::vector<std::string>>(), this->log.retention);
        ++this->log.appends;
        this->logSignal.notify();
        if (this->log.fault == LogFault::LoseAnswers) {
            co_return errorResponse(http::status::gateway_timeout, "the answer was lost");
        }
        co_return jsonResponse(http::status::ok, Json{{"offset", first}}.dump());
    }

    net::awaitable<HttpResponse> read(const HttpRequest &request)
    {
        const std::string_view target = targetOf(request);
        const SplitPath path = splitPath(request, "/streams/");
        co_await this->pause();
        LogStream &stream = this->log.streams[path.name];
        const bool newest = queryNumber(target, "newest", 0) != 0;
        const Offset after = newest ? stream.end() - 1 : queryNumber(target, "after", 0);
        const std::int64_t limit = queryNumber(target, "limit", 1000);
        const TimePoint until = this->clock.now() + std::chrono::milliseconds(queryNumber(target, "wait_ms", 0));
        while (stream.end() <= after && this->clock.now() < until && this->log.fault != LogFault::Down) {
            const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - this->clock.now());
            co_await this->logSignal.wait(left + std::chrono::milliseconds(1));
        }
        if (this->log.fault == LogFault::Down) {
            co_return errorResponse(http::status::service_unavailable, "the log is down");
        }
        Json records = Json::array();
        const Offset from = std::max(after + 1, stream.oldest());
        for (Offset offset = from; offset <= stream.end() && offset < from + limit; ++offset) {
            records.push_back({{"offset", offset}, {"payload", stream.at(offset)}});
        }
        ++this->log.reads;
        const std::string body = Json{{"oldest", stream.oldest()}, {"end", stream.end()}, {"records", std::move(records)}}.dump();
        this->log.bytesRead += body.size();
        co_return jsonResponse(http::status::ok, body);
    }

    net::awaitable<HttpResponse> list(const HttpRequest &request)
    {
        const std::int64_t since = queryNumber(targetOf(request), "since", 0);
        const TimePoint until = this->clock.now() + std::chrono::milliseconds(queryNumber(targetOf(request), "wait_ms", 0));
        while (this->instances.version() <= since && this->clock.now() < until) {
            const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - this->clock.now());
            co_await this->listSignal.wait(left + std::chrono::milliseconds(1));
        }
        co_return jsonResponse(http::status::ok, this->instances.listingSince(since).dump());
    }

    net::awaitable<HttpResponse> act(const HttpRequest &request)
    {
        const SplitPath path = splitPath(request, "/instances/");
        const InstanceId instance{path.name};
        const Json body = Json::parse(request.body().empty() ? "{}" : request.body());
        const Offset token = body.value("token", Offset{0});
        const TimePoint now = this->clock.now();
        RefusalReason refusal = "unknown act";
        if (path.verb == "drain") {
            refusal = this->instances.drain(instance, token, now);
        } else if (path.verb == "undrain") {
            refusal = this->instances.undrain(instance, token, now);
        } else if (path.verb == "reboot") {
            refusal = this->instances.reboot(instance, token, now);
        } else if (path.verb == "relabel") {
            refusal = this->instances.relabel(instance, token, PoolId{body.at("pool")}, now);
        } else if (path.verb == "fail" || path.verb == "recover") {
            refusal = this->instances.fail(instance, path.verb == "fail", now);
        }
        if (!refusal.empty()) {
            co_return errorResponse(http::status::conflict, refusal);
        }
        co_return jsonResponse(http::status::ok, "{}");
    }

    // The executors' host tells what its instances do and hears what they should do.
    net::awaitable<HttpResponse> agent(const HttpRequest &request)
    {
        Json wanted = Json::object();
        const TimePoint now = this->clock.now();
        for (const Json &entry : Json::parse(request.body())) {
            const InstanceId id{entry.at("id")};
            const Endpoint endpoint{entry.at("host"), entry.at("port")};
            const std::string state = this->instances.report(id, PoolId{entry.at("pool")}, endpoint, entry.at("in_flight"), entry.at("up"), now);
            wanted[id.value] = {{"state", state}, {"leaving_ms", this->instances.timeListedAsLeaving(id, now).count()}};
        }
        co_return jsonResponse(http::status::ok, wanted.dump());
    }

    net::awaitable<HttpResponse> setLogFault(const HttpRequest &request)
    {
        const Json body = Json::parse(request.body());
        const std::string mode = body.value("mode", std::string("none"));
        this->log.delay = std::chrono::milliseconds(body.value("delay_ms", 0));
        this->log.fault = mode == "down" ? LogFault::Down : mode == "lose-answers" ? LogFault::LoseAnswers : LogFault::None;
        this->logSignal.notify();
        co_return jsonResponse(http::status::ok, "{}");
    }

    net::awaitable<HttpResponse> observations()
    {
        Json json = this->instances.observations();
        json["log_appends"] = this->log.appends;
        json["log_reads"] = this->log.reads;
        json["log_bytes_read"] = this->log.bytesRead;
        co_return jsonResponse(http::status::ok, json.dump());
    }

    net::awaitable<void> pause()
    {
        if (this->log.delay.count() > 0) {
            SystemErrorCode error;
            net::steady_timer timer(this->context, this->log.delay);
            co_await timer.async_wait(captureError(error));
        }
    }

    net::io_context &context;
    AsyncSignal logSignal;
    AsyncSignal listSignal;
    LogStore log;
    InstanceStore instances;
    SteadyClock clock;
};

int runPlatform()
{
    FleetFile fleet;
    if (!FLAGS_fleet.empty()) {
        Result<FleetFile> read = readFleetFile(FLAGS_fleet);
        if (!read) {
            std::cerr << describe(read.error()) << "\n";
            return ExitCode::badUsage;
        }
        fleet = std::move(*read);
    }
    const Result<Endpoint> endpoint = parseEndpoint(FLAGS_listen);
    net::io_context context{1};
    auto server = endpoint ? HttpServer::create(context, *endpoint) : tl::unexpected(endpoint.error());
    if (!server) {
        std::cerr << describe(server.error()) << "\n";
        return ExitCode::unavailable;
    }
    StandinPlatform platform(context, fleet);
    platform.addRoutes(**server);
    (*server)->start();
    net::co_spawn(
        context,
        [&platform] {
            return platform.run();
        },
        net::detached);
    std::cout << "listening " << toString((*server)->endpoint()) << std::endl;
    std::jthread loop([&context] {
        context.run();
    });
    waitForStop([] {
    });
    context.stop();
    return ExitCode::success;
}

}

}

int main(int argc, char **argv)
{
    MangoCourse::blockSignals();
    MangoCourse::parseFlags(argc, argv,
        "[flags]\n\nA stand-in for the platform: log streams, the lagging instance list, drain and reboot, and faults.\n\n"
        "Examples:\n"
        "  standin-platform --listen=127.0.0.1:9000 --fleet=examples/kocka-znova/fleet.toml\n"
        "  curl -d '{\"mode\":\"down\"}' http://127.0.0.1:9000/faults/log");
    MangoCourse::startLogging("standin-platform", "info");
    return MangoCourse::runPlatform();
}
