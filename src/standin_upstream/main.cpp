// standin-upstream: hosts the stand-in executors of a whole fleet file in one process and reports what they ran.
#include <future>
#include <iostream>
#include <thread>

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include "asiotypes.h"
#include "executor.h"
#include "httpclient.h"
#include "httpserver.h"
#include "logging.h"
#include "tool.h"

DEFINE_string(listen, "127.0.0.1:0", "address of the control endpoint; port 0 selects a free port");
DEFINE_string(fleet, "", "fleet file whose instances are hosted");
DEFINE_string(platform, "", "address of the platform; empty runs without a platform, as in benchmarks");

namespace MangoCourse {

namespace {

using Json = nlohmann::json;

constexpr std::chrono::milliseconds reportInterval{50};
constexpr std::chrono::milliseconds sampleInterval{100};
constexpr std::chrono::milliseconds reportTimeout{2000};

// The executors and the run recorder that they share. They are used on one io_context only.
class ExecutorHost
{
public:
    explicit ExecutorHost(net::io_context &context)
        : context(context)
    {
    }

    Result<void> createExecutors(const FleetFile &fleet)
    {
        for (const InstanceEntrySpec &spec : fleet.instances) {
            auto executor = Executor::create(this->context, spec, fleet, this->recorder);
            if (!executor) {
                return tl::unexpected(executor.error());
            }
            this->executors.push_back(std::move(*executor));
        }
        return {};
    }

    Json makeReport() const
    {
        Json report = Json::array();
        for (const auto &executor : this->executors) {
            report.push_back({{"id", executor->id().value}, {"pool", executor->pool().value}, {"host", executor->endpoint().host},
                {"port", executor->endpoint().port}, {"in_flight", executor->inFlight()}, {"up", executor->isUp()}});
        }
        return report;
    }

    void applyDesiredStates(const Json &desiredStates)
    {
        for (const auto &executor : this->executors) {
            const auto found = desiredStates.find(executor->id().value);
            if (found == desiredStates.end()) {
                continue;
            }
            const std::string state = found->at("state");
            const DesiredState desiredState = state == "down" ? DesiredState::Down : state == "draining" ? DesiredState::Draining : DesiredState::Live;
            executor->setDesiredState(desiredState, std::chrono::milliseconds(found->at("leaving_ms").get<std::int64_t>()));
        }
    }

    // Samples periodically how many instances are idle; the idle share of instance time is reported as buffer_cost.
    net::awaitable<void> sampleIdleInstances()
    {
        net::steady_timer timer(this->context);
        while (true) {
            SystemErrorCode error;
            timer.expires_after(sampleInterval);
            co_await timer.async_wait(captureError(error));
            for (const auto &executor : this->executors) {
                ++this->samples;
                this->idleSamples += executor->inFlight() == 0 ? 1 : 0;
            }
        }
    }

    Json observations() const
    {
        const double idleShare = this->samples == 0 ? 0.0 : static_cast<double>(this->idleSamples) / static_cast<double>(this->samples);
        return {{"runs", this->recorder.runs}, {"ran_twice", this->recorder.ranTwice}, {"late_new_work", this->recorder.lateNewWork},
            {"refused_busy", this->recorder.refusedBusy}, {"refused_leaving", this->recorder.refusedLeaving}, {"cut", this->recorder.cut},
            {"buffer_cost", idleShare}};
    }

    Json countStarted(const Json &ids) const
    {
        std::int64_t count = 0;
        for (const Json &id : ids) {
            count += this->recorder.hasRun(id.get<std::string>()) ? 1 : 0;
        }
        return {{"ran", count}};
    }

    bool setFailing(const InstanceId &id, bool failing)
    {
        for (const auto &executor : this->executors) {
            if (executor->id() == id) {
                executor->setFailing(failing);
                return true;
            }
        }
        return false;
    }

private:
    net::io_context &context;
    RunRecorder recorder;
    std::vector<std::shared_ptr<Executor>> executors;
    std::uint64_t samples = 0;
    std::uint64_t idleSamples = 0;
};

void addRoutes(HttpServer &server, ExecutorHost &host)
{
    server.route(http::verb::get, "/observations", [&host](const HttpRequest &) -> net::awaitable<HttpResponse> {
        co_return jsonResponse(http::status::ok, host.observations().dump());
    });
    server.route(http::verb::get, "/endpoints", [&host](const HttpRequest &) -> net::awaitable<HttpResponse> {
        co_return jsonResponse(http::status::ok, host.makeReport().dump());
    });
    server.route(http::verb::post, "/ran", [&host](const HttpRequest &request) -> net::awaitable<HttpResponse> {
        co_return jsonResponse(http::status::ok, host.countStarted(Json::parse(request.body())).dump());
    });
    server.route(http::verb::post, "/faults/failing", [&host](const HttpRequest &request) -> net::awaitable<HttpResponse> {
        const Json body = Json::parse(request.body());
        const bool isKnown = host.setFailing(InstanceId{body.at("instance")}, body.at("failing"));
        co_return isKnown ? jsonResponse(http::status::ok, "{}") : errorResponse(http::status::not_found, "unknown instance");
    });
}

// Runs a function on the io_context, the only place where executors may be accessed, and returns a future of its result.
template<typename Function>
auto postToContext(net::io_context &context, Function function)
{
    // net::post() returns the future of a packaged_task.
    return net::post(context, std::packaged_task<decltype(function())()>(std::move(function)));
}

void reportLoop(const std::stop_token &stop, net::io_context &context, ExecutorHost &host, HttpClient &platform)
{
    while (!stop.stop_requested()) {
        auto report = postToContext(context, [&host] {
            return host.makeReport().dump();
        });
        if (report.wait_for(reportTimeout) != std::future_status::ready) {
            continue;
        }
        const Result<std::string> answer = platform.call(http::verb::post, "/agent", report.get(), reportTimeout);
        if (answer) {
            net::post(context, [&host, desiredStates = Json::parse(*answer)] {
                host.applyDesiredStates(desiredStates);
            });
        }
        std::this_thread::sleep_for(reportInterval);
    }
}

int runUpstream()
{
    const Result<FleetFile> fleet = readFleetFile(FLAGS_fleet);
    if (!fleet) {
        std::cerr << describe(fleet.error()) << "\n";
        return ExitCode::badUsage;
    }
    net::io_context context{1};
    ExecutorHost host(context);
    const Result<void> created = host.createExecutors(*fleet);
    const Result<Endpoint> endpoint = parseEndpoint(FLAGS_listen);
    auto server = endpoint ? HttpServer::create(context, *endpoint) : tl::unexpected(endpoint.error());
    if (!created || !server) {
        std::cerr << describe(created ? server.error() : created.error()) << "\n";
        return ExitCode::unavailable;
    }
    addRoutes(**server, host);
    (*server)->start();
    net::co_spawn(
        context,
        [&host] {
            return host.sampleIdleInstances();
        },
        net::detached);
    std::cout << "listening " << toString((*server)->endpoint()) << std::endl;
    std::jthread loop([&context] {
        context.run();
    });
    std::unique_ptr<HttpClient> platform;
    std::jthread reporter;
    if (!FLAGS_platform.empty()) {
        const Result<Endpoint> address = parseEndpoint(FLAGS_platform);
        platform = std::move(*HttpClient::create(address.value_or(Endpoint{})));
        reporter = std::jthread([&](const std::stop_token &stop) {
            reportLoop(stop, context, host, *platform);
        });
    }
    waitForStop([] {
    });
    reporter.request_stop();
    if (reporter.joinable()) {
        reporter.join();
    }
    context.stop();
    return ExitCode::success;
}

}

}

int main(int argc, char **argv)
{
    MangoCourse::blockSignals();
    MangoCourse::parseFlags(argc, argv,
        "--fleet=FILE [flags]\n\nStand-in executors for all instances of a fleet file, on ephemeral loopback ports.\n\n"
        "Examples:\n"
        "  standin-upstream --fleet=examples/kocka-znova/fleet.toml --platform=127.0.0.1:9000\n"
        "  curl http://127.0.0.1:PORT/observations");
    MangoCourse::startLogging("standin-upstream", "info");
    return MangoCourse::runUpstream();
}
