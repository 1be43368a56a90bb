// mangocourse-gate: accepts callers' requests, dispatches them to executors and returns the complete responses.
#include <iostream>
#include <thread>

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>

#include "contextduty.h"
#include "control.h"
#include "httpserver.h"
#include "jobs.h"
#include "logging.h"
#include "session.h"
#include "tool.h"

DEFINE_string(settings, "", "settings file of this process");
DEFINE_bool(check, false, "validate the settings file and exit");

namespace MangoCourse {

namespace {

using Json = nlohmann::json;
using namespace std::chrono_literals;

constexpr std::chrono::milliseconds dispatcherPollInterval = 50ms;
constexpr std::chrono::milliseconds stopPollInterval = 10ms;

void startSession(GateState &state, ServingThread &serving, tcp::socket socket)
{
    net::co_spawn(
        serving.context,
        [&state, &serving, accepted = std::move(socket)]() mutable {
            return serveCaller(state, serving, std::move(accepted));
        },
        net::detached);
}

// Accepts the connections that the kernel has completed before the listener closes; closing it would reset them.
void acceptBacklog(GateState &state, tcp::acceptor &acceptor)
{
    SystemErrorCode error;
    acceptor.cancel(error);
    acceptor.non_blocking(true, error);
    while (!error) {
        ServingThread &serving = *state.servingThreads.front();
        tcp::socket socket(serving.context);
        acceptor.accept(socket, error);
        if (!error) {
            startSession(state, serving, std::move(socket));
        }
    }
    acceptor.close(error);
}

net::awaitable<void> acceptCallers(GateState &state, tcp::acceptor &acceptor)
{
    std::size_t next = 0;
    while (true) {
        ServingThread &serving = *state.servingThreads[next++ % state.servingThreads.size()];
        SystemErrorCode error;
        tcp::socket socket(serving.context);
        co_await acceptor.async_accept(socket, captureError(error));
        if (error == net::error::operation_aborted || error == net::error::bad_descriptor) {
            co_return;
        }
        if (!error && state.callers < state.settings.serving.maxConnections) {
            startSession(state, serving, std::move(socket));
        }
    }
}

// Polls the dispatcher, so that ejections end and queued requests start also when no request arrives or finishes.
net::awaitable<void> pollDispatcher(GateState &state)
{
    net::steady_timer timer(co_await net::this_coro::executor);
    while (true) {
        SystemErrorCode error;
        timer.expires_after(dispatcherPollInterval);
        co_await timer.async_wait(captureError(error));
        state.dispatcher->poll();
    }
}

std::string dumpState(const GateState &state, const Supervisor &supervisor)
{
    const auto view = state.view();
    const DispatchStats stats = state.dispatcher->stats();
    Json executors = Json::array();
    for (const ExecutorStats &report : state.dispatcher->executors()) {
        executors.push_back({{"instance", report.instance.value}, {"pool", report.pool.value}, {"running", report.running}, {"limit", report.limit},
            {"takes_new_work", report.takesNewWork}, {"ejected", report.isEjected}});
    }
    return Json{{"process", state.settings.name.value}, {"role", "gate"}, {"data_centre", state.settings.dataCentre.value}, {"offset", view->offset},
        {"settings_revision", view->revision}, {"keeper", toString(state.currentKeeper())}, {"keeper_reachable", state.keeperReachable.load()},
        {"live_gates", state.liveGates.load()}, {"callers", state.callers.load()}, {"in_flight", state.inFlight.load()},
        {"running_jobs", state.runningJobs.load()}, {"stopping", state.stopping.load()},
        {"dispatch",
            {{"submitted", stats.submitted}, {"started", stats.started}, {"refused", stats.refused}, {"retries", stats.retries}, {"ejections", stats.ejections},
                {"waiting", stats.waiting}, {"running", stats.running}}},
        {"executors", std::move(executors)}, {"duties", dutiesToJson(supervisor)}}
        .dump();
}

bool isReady(const GateState &state)
{
    return !state.stopping && !state.view()->services.empty();
}

void addAdminRoutes(HttpServer &server, GateState &state, const Supervisor &supervisor)
{
    server.route(
        http::verb::get, "/state",
        [&state, &supervisor](const HttpRequest &) -> net::awaitable<HttpResponse> {
            co_return jsonResponse(http::status::ok, dumpState(state, supervisor));
        },
        state.settings.operatorToken);
    server.route(http::verb::get, "/metrics", [&state](const HttpRequest &) -> net::awaitable<HttpResponse> {
        state.metrics.set(
            "mangocourse_settings_revision", "Settings revision that new requests are served under.", static_cast<double>(state.view()->revision));
        HttpResponse response = jsonResponse(http::status::ok, state.metrics.toText());
        response.set(http::field::content_type, "text/plain; version=0.0.4");
        co_return response;
    });
    server.route(http::verb::get, "/healthz", [](const HttpRequest &) -> net::awaitable<HttpResponse> {
        co_return healthResponse();
    });
    server.route(http::verb::get, "/readyz", [&state](const HttpRequest &) -> net::awaitable<HttpResponse> {
        co_return isReady(state) ? jsonResponse(http::status::ok, R"({"ready":true})")
                                 : errorResponse(http::status::service_unavailable, "the gate is stopping or has no view of the fleet");
    });
}

Result<void> listen(tcp::acceptor &acceptor, const Endpoint &endpoint)
{
    SystemErrorCode error;
    const auto address = net::ip::make_address(endpoint.host, error);
    const tcp::endpoint localEndpoint(address, endpoint.port);
    if (!error) {
        acceptor.open(localEndpoint.protocol(), error);
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
        acceptor.bind(localEndpoint, error);
    }
    if (!error) {
        acceptor.listen(net::socket_base::max_listen_connections, error);
    }
    if (error) {
        return makeError(ErrorCode::Unavailable, "cannot listen: " + error.message(), toString(endpoint));
    }
    return {};
}

template<typename Condition>
void waitForCondition(std::chrono::milliseconds timeout, Condition condition)
{
    const TimePoint deadline = SteadyClock().now() + timeout;
    while (!condition() && SteadyClock().now() < deadline) {
        std::this_thread::sleep_for(stopPollInterval);
    }
}

void cancelIdleSessions(ServingThread &serving)
{
    net::post(serving.context, [&serving] {
        for (const auto &[session, socket] : serving.idleSessions) {
            SystemErrorCode error;
            socket->cancel(error);
        }
    });
}

// Stops in three steps: readiness turns false so that the load balancer stops sending requests, the listener closes, and the requests in flight
// and running jobs finish.
void stopGracefully(GateState &state, net::io_context &admin, tcp::acceptor &acceptor)
{
    const ServingLimits &limits = state.settings.serving;
    state.stopping = true;
    std::this_thread::sleep_for(limits.shutdownDelay);
    net::post(admin, [&state, &acceptor] {
        acceptBacklog(state, acceptor);
    });
    waitForCondition(limits.shutdownTimeout, [&state] {
        return state.inFlight == 0 && state.runningJobs == 0;
    });
    for (const auto &serving : state.servingThreads) {
        cancelIdleSessions(*serving);
    }
    waitForCondition(limits.shutdownDelay, [&state] {
        return state.callers == 0;
    });
}

int runGate()
{
    Result<ProcessSettings> settings = readProcessSettings(FLAGS_settings, ProcessRole::Gate);
    if (!settings) {
        std::cerr << describe(settings.error()) << "\n";
        return ExitCode::badUsage;
    }
    if (FLAGS_check) {
        std::cout << FLAGS_settings << ": valid\n";
        return ExitCode::success;
    }
    startLogging(settings->name.value, settings->logLevel);
    GateState state(std::move(*settings));
    auto dispatcher = SharedDispatcher::create(std::hash<std::string>{}(state.settings.name.value));
    net::io_context admin{1};
    tcp::acceptor acceptor(admin);
    auto server = HttpServer::create(admin, state.settings.admin);
    const Result<void> listening = listen(acceptor, state.settings.callers);
    if (!dispatcher || !server || !listening) {
        std::cerr << describe(!server ? server.error() : listening.error()) << "\n";
        return ExitCode::unavailable;
    }
    state.dispatcher = std::move(*dispatcher);
    auto supervisor = Supervisor::create("gate");
    for (int number = 0; number < state.settings.serving.threads; ++number) {
        state.servingThreads.push_back(std::make_unique<ServingThread>(number));
        (*supervisor)->start(Duty{"serving-" + std::to_string(number), [&context = state.servingThreads.back()->context](const std::stop_token &stop) {
                                      return runContext(stop, context);
                                  }});
    }
    addAdminRoutes(**server, state, **supervisor);
    (*server)->start();
    net::co_spawn(admin, acceptCallers(state, acceptor), net::detached);
    net::co_spawn(admin, pollDispatcher(state), net::detached);
    (*supervisor)->start(Duty{"control", [&state](const std::stop_token &stop) {
                                  return followKeeper(stop, state);
                              }});
    (*supervisor)->start(Duty{"jobs", [&state](const std::stop_token &stop) {
                                  return runJobs(stop, state);
                              }});
    (*supervisor)->start(Duty{"admin", [&admin](const std::stop_token &stop) {
                                  return runContext(stop, admin);
                              }});
    spdlog::info("event=started role=gate callers={} admin={}", toString(state.settings.callers), toString((*server)->endpoint()));
    waitForStop([&] {
        std::cout << dumpState(state, **supervisor) << std::endl;
    });
    spdlog::info("event=stopping role=gate in_flight={}", state.inFlight.load());
    stopGracefully(state, admin, acceptor);
    (*supervisor)->stop();
    spdlog::info("event=stopped role=gate in_flight={}", state.inFlight.load());
    return ExitCode::success;
}

}

}

int main(int argc, char **argv)
{
    MangoCourse::blockSignals();
    MangoCourse::parseFlags(argc, argv,
        "--settings=FILE [flags]\n\nAccepts callers' requests, dispatches them to executors and returns the complete responses.\n"
        "SIGTERM stops it gracefully; SIGUSR1 prints its state. Exit codes: 0 stopped, 2 bad settings, 3 address not available.\n\n"
        "Examples:\n"
        "  mangocourse-gate --settings=gate-a1.toml\n"
        "  mangocourse-gate --settings=gate-a1.toml --check");
    return MangoCourse::runGate();
}
