// standin-upstream: many stand-in executors in one process, and what they saw.
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

DEFINE_string(listen, "127.0.0.1:0", "address of the control endpoint; port 0 lets the system choose");
DEFINE_string(fleet, "", "fleet file whose instances to host");
DEFINE_string(platform, "", "address of the platform; empty runs without one, as the benchmark does");

namespace MangoCourse {

namespace {

using Json = nlohmann::json;

constexpr std::chrono::milliseconds agentInterval{50};
constexpr std::chrono::milliseconds sampleInterval{100};
constexpr std::chrono::milliseconds agentCallLimit{2000};

// Executors with their shared run book; lives on one io_context.
class Host
{
public:
    explicit Host(net::io_context &context)
        : context(context)
    {
    }

    Result<void> addAll(const FleetFile &fleet)
    {
        for (const InstanceEntrySpec &spec : fleet.instances) {
            auto executor = Executor::create(this->context, spec, fleet, this->book);
            if (!executor) {
                return tl::unexpected(executor.error());
            }
            this->executors.push_back(std::move(*executor));
        }
        return {};
    }

    Json agentReport() const
    {
        Json report = Json::array();
        for (const auto &executor : this->executors) {
            report.push_back({{"id", executor->id().value}, {"pool", executor->pool().value}, {"host", executor->endpoint().host},
                {"port", executor->endpoint().port}, {"in_flight", executor->inFlight()}, {"up", executor->isUp()}});
        }
        return report;
    }

    void obey(const Json &wanted)
    {
        for (const auto &executor : this->executors) {
            const auto found = wanted.find(executor->id().value);
            if (found == wanted.end()) {
                continue;
            }
            const std::string state = found->at("state");
            const DesiredState parsed = state == "down" ? DesiredState::Down : state == "draining" ? DesiredState::Draining : DesiredState::Live;
            executor->setWanted(parsed, std::chrono::milliseconds(found->at("leaving_ms").get<std::int64_t>()));
        }
    }

    // Idle instance-time is what the fleet holds back.
    net::awaitable<void> sample()
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
        const double cost = this->samples == 0 ? 0.0 : static_cast<double>(this->idleSamples) / static_cast<double>(this->samples);
        return {{"runs", this->book.runs}, {"ran_twice", this->book.ranTwice}, {"late_new_work", this->book.lateNewWork},
            {"refused_busy", this->book.refusedBusy}, {"refused_leaving", this->book.refusedLeaving}, {"cut", this->book.cut}, {"buffer_cost", cost}};
    }

    Json countRan(const Json &ids) const
    {
        std::int64_t count = 0;
        for (const Json &id : ids) {
            count += this->book.ran(id.get<std::string>()) ? 1 : 0;
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
    RunRecorder book;
    std::vector<std::shared_ptr<Executor>> executors;
    std::uint64_t samples = 0;
    std::uint64_t idleSamples = 0;
};

void addRoutes(HttpServer &server, Host &host)
{
    server.route(http::verb::get, "/observations", [&host](const HttpRequest &) -> net::awaitable<HttpResponse> {
        co_return jsonResponse(http::status::ok, host.observations().dump());
    });
    server.route(http::verb::get, "/endpoints", [&host](const HttpRequest &) -> net::awaitable<HttpResponse> {
        co_return jsonResponse(http::status::ok, host.agentReport().dump());
    });
    server.route(http::verb::post, "/ran", [&host](const HttpRequest &request) -> net::awaitable<HttpResponse> {
        co_return jsonResponse(http::status::ok, host.countRan(Json::parse(request.body())).dump());
    });
    server.route(http::verb::post, "/faults/failing", [&host](const HttpRequest &request) -> net::awaitable<HttpResponse> {
        const Json body = Json::parse(request.body());
        const bool known = host.setFailing(InstanceId{body.at("instance")}, body.at("failing"));
        co_return known ? jsonResponse(http::status::ok, "{}") : errorResponse(http::status::not_found, "unknown instance");
    });
}

// Runs a step on the io_context and waits for its value, so that executors are only touched there.
template<typename Step>
auto onContext(net::io_context &context, Step step)
{
    // Asio gives the future of a posted packaged_task.
    return net::post(context, std::packaged_task<decltype(step())()>(std::move(step)));
}

void runAgent(const std::stop_token &stop, net::io_context &context, Host &host, HttpClient &platform)
{
    while (!stop.stop_requested()) {
        auto report = onContext(context, [&host] {
            return host.agentReport().dump();
        });
        if (report.wait_for(agentCallLimit) != std::future_status::ready) {
            continue;
        }
        const Result<std::string> answer = platform.call(http::verb::post, "/agent", report.get(), agentCallLimit);
        if (answer) {
            net::post(context, [&host, wanted = Json::parse(*answer)] {
                host.obey(wanted);
            });
        }
        std::this_thread::sleep_for(agentInterval);
    }
}

int runHost()
{
    const Result<FleetFile> fleet = readFleetFile(FLAGS_fleet);
    if (!fleet) {
        std::cerr << describe(fleet.error()) << "\n";
        return ExitCode::badUsage;
    }
    net::io_context context{1};
    Host host(context);
    const Result<void> added = host.addAll(*fleet);
    const Result<Endpoint> endpoint = parseEndpoint(FLAGS_listen);
    auto server = endpoint ? HttpServer::create(context, *endpoint) : tl::unexpected(endpoint.error());
    if (!added || !server) {
        std::cerr << describe(added ? server.error() : added.error()) << "\n";
        return ExitCode::unavailable;
    }
    addRoutes(**server, host);
    (*server)->start();
    net::co_spawn(
        context,
        [&host] {
            return host.sample();
        },
        net::detached);
    std::cout << "listening " << toString((*server)->endpoint()) << std::endl;
    std::jthread loop([&context] {
        context.run();
    });
    std::unique_ptr<HttpClient> platform;
    std::jthread agent;
    if (!FLAGS_platform.empty()) {
        const Result<Endpoint> address = parseEndpoint(FLAGS_platform);
        platform = std::move(*HttpClient::create(address.value_or(Endpoint{})));
        agent = std::jthread([&](const std::stop_token &stop) {
            runAgent(stop, context, host, *platform);
        });
    }
    waitForStop([] {
    });
    agent.request_stop();
    if (agent.joinable()) {
        agent.join();
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
        "--fleet=FILE [flags]\n\nStand-in executors for all instances of a fleet file, on ports of the system's choice.\n\n"
        "Examples:\n"
        "  standin-upstream --fleet=examples/kocka-znova/fleet.toml --platform=127.0.0.1:9000\n"
        "  curl http://127.0.0.1:PORT/observations");
    MangoCourse::startLogging("standin-upstream", "info");
    return MangoCourse::runHost();
}
