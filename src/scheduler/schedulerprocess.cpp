// Puts the duties of one process together.
#include "schedulerprocess.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "event.h"
#include "eventlog.h"
#include "executordirectory.h"
#include "httpserver.h"
#include "jobgateway.h"
#include "metrics.h"
#include "operatorfeed.h"
#include "ownership.h"

namespace MangoCourse {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds directoryInterval{500};
constexpr milliseconds idleInterval{250};
// Callers notice that a process is not ready within two checks, a second apart.
constexpr milliseconds callersLeave{3200};
// Kept back from the grace time for the end itself.
constexpr milliseconds stopMargin{1200};
// Routine lines of one event name per second.
constexpr std::uint32_t logBudget = 60;

}

class SchedulerProcess::Private
{
public:
    Private(net::io_context &context, std::unique_ptr<PlatformAdapter> adapter)
        : context(context)
        , platform(std::move(adapter))
        , log(EventLog::create(this->platform->settings().name.value, logBudget))
        , directory(context, this->platform->store(), *this->log,
                    [this](const std::string &id, const std::string &report) {
                        return this->platform->decodeExecutor(id, report);
                    })
        , feed(context, *this->platform, *this->log,
               OperatorFeed::Handlers{[this](std::shared_ptr<const FleetConfig> config) {
                                          this->gateway->setConfig(config);
                                          this->ownership.setConfig(config);
                                      },
                                      [this](bool isReachable) {
                                          this->gateway->noteStore(isReachable);
                                      }})
        , ownership(OwnerContext{context, this->platform->store(), this->platform->executors(), this->platform->policy(), *this->log, this->metrics,
                                 this->platform->settings()},
                    Ownership::Handlers{[this](bool isReachable) {
                                            this->gateway->noteStore(isReachable);
                                        },
                                        [this](std::int64_t token) {
                                            this->log->emit(token != 0 ? "planning_gained" : "planning_lost", {{"token", token}}, EventWeight::Essential);
                                        }})
    {
    }

    net::io_context &context;
    std::unique_ptr<PlatformAdapter> platform;
    std::unique_ptr<EventLog> log;
    Metrics metrics;
    std::unique_ptr<JobGateway> gateway;
    std::unique_ptr<CallerSide> callers;
    std::unique_ptr<HttpServer> admin;
    ExecutorDirectory directory;
    OperatorFeed feed;
    Ownership ownership;
    bool isStopping = false;

    net::awaitable<void> followDirectory();
    nlohmann::json state() const;
};

net::awaitable<void> SchedulerProcess::Private::followDirectory()
{
    while (!this->isStopping) {
        if (!this->ownership.ownsAnything()) {
            co_await sleepFor(this->context, idleInterval);
            continue;
        }
        const Result<void> read = co_await this->directory.refresh();
        if (read) {
            this->ownership.setExecutors(this->directory.executors());
        }
        co_await sleepFor(this->context, directoryInterval);
    }
}

nlohmann::json SchedulerProcess::Private::state() const
{
    nlohmann::json pools = nlohmann::json::array();
    for (const auto &[partition, shard] : this->ownership.shards()) {
        for (const auto &[service, summary] : shard->summaries()) {
            pools.push_back({{"service", service.value},
                             {"partition", partition},
                             {"token", shard->token()},
                             {"active", shard->isActive()},
                             {"jobs", summary.jobs},
                             {"runs", summary.runs},
                             {"executors", summary.executors},
                             {"cpu", summary.capacity.cpu},
                             {"cpu_used", summary.used.cpu}});
        }
    }
    return {{"process", this->platform->settings().name.value},
            {"ready", this->gateway->isReady()},
            {"revision", this->feed.config() ? this->feed.config()->revision : 0},
            {"planning", this->ownership.planningToken()},
            {"pools", pools}};
}

SchedulerProcess::SchedulerProcess(std::unique_ptr<Private> impl)
    : d(std::move(impl))
{
}

SchedulerProcess::~SchedulerProcess() = default;

Result<std::unique_ptr<SchedulerProcess>> SchedulerProcess::create(net::io_context &context, std::unique_ptr<PlatformAdapter> platform)
{
    auto impl = std::make_unique<Private>(context, std::move(platform));
    const NodeSettings &settings = impl->platform->settings();
    Result<std::unique_ptr<JobGateway>> gateway = JobGateway::create(context, impl->platform->store(), *impl->log, impl->metrics, settings);
    if (!gateway) {
        return tl::unexpected(gateway.error());
    }
    impl->gateway = std::move(*gateway);
    Result<std::unique_ptr<CallerSide>> callers = impl->platform->openCallers(*impl->gateway);
    if (!callers) {
        return tl::unexpected(callers.error());
    }
    impl->callers = std::move(*callers);
    if (settings.admin.port != 0) {
        Result<std::unique_ptr<HttpServer>> admin = HttpServer::create(context, settings.admin);
        if (!admin) {
            return tl::unexpected(admin.error());
        }
        impl->admin = std::move(*admin);
        Private *raw = impl.get();
        impl->admin->route(http::verb::get, "/metrics", [raw](const HttpRequest &) -> net::awaitable<HttpResponse> {
            HttpResponse response(http::status::ok, 11);
            response.set(http::field::content_type, "text/plain; version=0.0.4");
            response.body() = raw->metrics.toText();
            co_return response;
        });
        impl->admin->route(http::verb::get, "/state", [raw](const HttpRequest &) -> net::awaitable<HttpResponse> {
            co_return jsonResponse(http::status::ok, raw->state().dump());
        });
    }
    return std::unique_ptr<SchedulerProcess>(new SchedulerProcess(std::move(impl)));
}

void SchedulerProcess::start()
{
    Private *state = this->d.get();
    state->log->emit("start", {{"version", MANGOCOURSE_VERSION}, {"data_centre", state->platform->settings().dataCentre.value}}, EventWeight::Essential);
    state->callers->start();
    if (state->admin) {
        state->admin->start();
    }
    net::co_spawn(state->context, state->feed.run(), net::detached);
    net::co_spawn(state->context, state->ownership.run(), net::detached);
    net::co_spawn(state->context, state->followDirectory(), net::detached);
}

net::awaitable<void> SchedulerProcess::retire()
{
    Private &state = *this->d;
    const auto start = steady_clock::now();
    const auto latest = start + state.platform->settings().stopGrace - stopMargin;
    state.log->emit("stop", {{"reason", "signal"}}, EventWeight::Essential);
    state.gateway->retire();
    state.callers->discourage();
    state.isStopping = true;
    co_await state.ownership.retire();
    while (steady_clock::now() < latest && (steady_clock::now() - start < callersLeave || state.callers->activeRequests() > 0)) {
        co_await sleepFor(state.context, milliseconds(50));
    }
    state.feed.stop();
    state.callers->stop();
    state.log->emit("stopped", {{"active_requests", std::int64_t(state.callers->activeRequests())}}, EventWeight::Essential);
    state.log->flush();
    state.context.stop();
}

void SchedulerProcess::reload()
{
    const Result<NodeSettings> settings = readNodeSettings();
    this->d->log->emit("reload", {{"outcome", settings ? std::string("read") : describe(settings.error())}}, EventWeight::Essential);
}

void SchedulerProcess::dump()
{
    this->d->log->emit("state", {{"state", this->d->state().dump()}}, EventWeight::Essential);
}

}
