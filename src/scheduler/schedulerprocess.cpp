// Puts the duties of one process together.
#include "schedulerprocess.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "clocks.h"
#include "event.h"
#include "eventlog.h"
#include "executordirectory.h"
#include "httpserver.h"
#include "jobgateway.h"
#include "metrics.h"
#include "operatorfeed.h"
#include "ownership.h"
#include "planningduty.h"
#include "recordcodec.h"

namespace MangoCourse {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds directoryInterval{500};
constexpr milliseconds directoryPause{100};
// While machines are on their way, so that they get work soon after they have come.
constexpr milliseconds busyDirectoryInterval{200};
constexpr milliseconds idleInterval{250};
constexpr milliseconds planWait{2000};
// Processes that stand by for the planning look this often whether somebody has it.
constexpr milliseconds candidateInterval{500};
// Spreads the candidates, so that they do not all join at the same moment.
constexpr std::size_t candidateSpread = 250;
// Members that joined together wait this long for the store to settle who plans; if all left at once, nobody would.
constexpr milliseconds surplusPatience{1000};
// Changes of the plan that come together are read together.
constexpr milliseconds planPause{25};
// A process without pools only remembers the planner's orders, for the case that it becomes the planner.
constexpr milliseconds idlePlanPause{400};
// Pools are looked at this often, and reported at least every reportRepeat.
constexpr milliseconds reportInterval{120};
constexpr milliseconds reportRepeat{1500};
constexpr milliseconds reportLimit{1000};
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
    Private(net::io_context &context, Metrics &metrics, std::unique_ptr<PlatformAdapter> adapter)
        : context(context)
        , metrics(metrics)
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
                  [this](const MaintenanceWave &wave) {
                      this->ownership.addWave(wave);
                  },
                  [this](bool isReachable) {
                      this->gateway->noteStore(isReachable);
                  }})
        , ownership(OwnerContext{context, this->platform->store(), this->platform->executors(), this->platform->policy(), *this->log, this->metrics,
                        this->platform->settings()},
              [this](bool isReachable) {
                  this->gateway->noteStore(isReachable);
              })
        , planner(context, this->platform->store(), *this->log, Group::Planners, this->platform->settings().membershipTimeout(),
              GroupMember::Handlers{[this](const MembershipConfirmation &confirmation) {
                                        this->applyPlanning(confirmation);
                                    },
                  [this](bool isReachable) {
                      this->notePlannersContact(isReachable);
                  }})
        , evacuations(context, this->platform->store(), Stream::Plan, plannerPartition,
              StreamReader::Handlers{[] {
                                     },
                  [this](const StoredRecord &record) {
                      this->applyPlan(record);
                  }})
    {
    }

    net::io_context &context;
    Metrics &metrics;
    std::unique_ptr<PlatformAdapter> platform;
    std::unique_ptr<EventLog> log;
    std::unique_ptr<JobGateway> gateway;
    std::unique_ptr<CallerFrontend> callers;
    std::unique_ptr<HttpServer> admin;
    ExecutorDirectory directory;
    OperatorFeed feed;
    Ownership ownership;
    GroupMember planner;
    StreamReader evacuations;
    std::shared_ptr<PlanningDuty> planning;
    std::int64_t planningToken = 0;
    std::optional<TimePoint> planKnownSince;
    // Since when this process has been a member of the planners without planning.
    std::optional<TimePoint> withoutPlanSince;
    SeenOrders ordersSeen;
    std::map<ServiceId, PoolReport> reported;
    std::map<ServiceId, steady_clock::time_point> reportedAt;
    std::int64_t reportNumber = 0;
    bool isStopping = false;

    void changePlanning(std::int64_t token);
    void applyPlanning(const MembershipConfirmation &confirmation);
    void notePlannersContact(bool isReachable);
    // True where this process has followed the plan for so long that it knows all orders that still matter.
    bool isInformed() const;
    // Stands by until nobody plans, then joins the planners.
    net::awaitable<void> joinPlanners();
    void applyPlan(const StoredRecord &record);
    net::awaitable<void> followPlan();
    net::awaitable<void> reportPools();
    bool isWorthReporting(const PoolReport &report) const;

    net::awaitable<void> followDirectory();
    nlohmann::json state() const;
};

net::awaitable<void> SchedulerProcess::Private::followDirectory()
{
    while (!this->isStopping) {
        if (!this->ownership.ownsPools()) {
            co_await sleepFor(this->context, idleInterval);
            continue;
        }
        const TimePoint startedAt = bootNow();
        // A list that could not be read stays as it was.
        (void)co_await this->directory.refresh();
        if (this->directory.isLoaded()) {
            this->ownership.setExecutors(this->directory.executors(), this->directory.currentAsOf());
        }
        // Owners start nothing on an old list, so the time of a slow read and of a failed one counts into the interval.
        const milliseconds interval = this->ownership.evacuations().evacuating.empty() ? directoryInterval : busyDirectoryInterval;
        const auto taken = std::chrono::duration_cast<milliseconds>(bootNow() - startedAt);
        co_await sleepFor(this->context, std::max(interval - taken, directoryPause));
    }
}

void SchedulerProcess::Private::changePlanning(std::int64_t token)
{
    this->log->emit(token != 0 ? "planning_gained" : "planning_lost", {{"token", token}}, EventPriority::Essential);
    this->planningToken = token;
    if (this->planning) {
        this->planning->stop();
        this->planning.reset();
    }
    if (token != 0 && this->platform->machines() != nullptr) {
        this->planning = PlanningDuty::create(
            this->context, *this->platform, *this->log, this->feed, token, this->isInformed() ? std::optional(this->ordersSeen) : std::nullopt);
        this->planning->start();
    }
}

void SchedulerProcess::Private::applyPlanning(const MembershipConfirmation &confirmation)
{
    const auto &parts = confirmation.membership.owned;
    const bool isPlanner = std::find(parts.begin(), parts.end(), OwnedPartition{Stream::Plan, plannerPartition}) != parts.end();
    if (isPlanner && (this->planningToken == 0 || confirmation.isUncertain)) {
        this->changePlanning(confirmation.membership.generation);
    } else if (!isPlanner && this->planningToken != 0) {
        this->changePlanning(0);
    }
    this->withoutPlanSince = isPlanner ? std::nullopt : std::optional(this->withoutPlanSince.value_or(bootNow()));
    if (this->withoutPlanSince && bootNow() - *this->withoutPlanSince > surplusPatience) {
        // Each member more moves the planning about, so only the planner stays in the group.
        this->planner.stop();
    }
    if (this->planning) {
        this->planning->setHorizon(this->planner.confirmedUntil());
    }
}

void SchedulerProcess::Private::notePlannersContact(bool isReachable)
{
    if (isReachable || bootNow() < this->planner.confirmedUntil()) {
        return;
    }
    // Another process may plan by now; joining on would take the planning back from it as soon as the store can be reached again.
    if (this->planningToken != 0) {
        this->changePlanning(0);
    }
    this->planner.stop();
}

bool SchedulerProcess::Private::isInformed() const
{
    return this->planKnownSince && bootNow() - *this->planKnownSince > this->platform->settings().planLease;
}

net::awaitable<void> SchedulerProcess::Private::joinPlanners()
{
    const std::size_t name = std::hash<std::string>{}(this->platform->settings().name.value);
    const milliseconds interval = candidateInterval + milliseconds(name % candidateSpread) + this->platform->settings().dutyDelay();
    bool hasGivenWay = false;
    while (!this->isStopping) {
        if (!this->planKnownSince || !this->feed.config()) {
            co_await sleepFor(this->context, idleInterval);
            continue;
        }
        const Result<std::vector<PartitionHolder>> holders = co_await this->platform->store().holders(Group::Planners);
        if (!holders) {
            co_await sleepFor(this->context, idleInterval);
            continue;
        }
        const bool hasOthers = std::any_of(holders->begin(), holders->end(), [this](const PartitionHolder &holder) {
            return holder.process != this->platform->settings().name.value;
        });
        if (hasOthers) {
            hasGivenWay = false;
            co_await sleepFor(this->context, interval);
            continue;
        }
        if (!this->isInformed() && !hasGivenWay) {
            // One that has followed the plan for longer knows which machines were ordered lately.
            hasGivenWay = true;
            co_await sleepFor(this->context, interval);
            continue;
        }
        if (this->isStopping) {
            break;
        }
        this->withoutPlanSince.reset();
        co_await this->planner.run();
        if (!this->isStopping) {
            co_await this->planner.leave();
        }
    }
}

void SchedulerProcess::Private::applyPlan(const StoredRecord &record)
{
    if (record.key != plannerKey) {
        return;
    }
    const Result<PlannerState> state = decodePlannerState(record.value);
    if (!state) {
        this->log->emit("plan_unreadable", {{"reason", describe(state.error())}}, EventPriority::Essential);
        return;
    }
    for (const auto &[machine, at] : state->orderedAt) {
        SeenOrder &seen = this->ordersSeen[machine];
        if (seen.recordedAt != at) {
            seen = SeenOrder{at, bootNow()};
        }
    }
    std::erase_if(this->ordersSeen, [&state](const auto &entry) {
        return !state->orderedAt.contains(entry.first);
    });
    this->ownership.setEvacuations(state->evacuationList());
}

net::awaitable<void> SchedulerProcess::Private::followPlan()
{
    while (!this->isStopping) {
        const Result<void> read = co_await this->evacuations.follow(planWait);
        if (read) {
            this->ownership.notePlanKnown();
            this->planKnownSince = this->planKnownSince.value_or(bootNow());
            co_await sleepFor(this->context, this->ownership.ownsPools() ? planPause : idlePlanPause);
        } else {
            co_await sleepFor(this->context, idleInterval);
        }
    }
}

bool SchedulerProcess::Private::isWorthReporting(const PoolReport &report) const
{
    const auto before = this->reported.find(report.service);
    if (before == this->reported.end()) {
        return true;
    }
    const PoolReport &last = before->second;
    const bool isOld = steady_clock::now() - this->reportedAt.at(report.service) > reportRepeat;
    const auto differs = [](std::int64_t one, std::int64_t other) {
        return std::abs(one - other) > std::max<std::int64_t>(std::max(one, other) / 4, 64'000);
    };
    // While machines are emptied every change of what runs on them counts.
    const bool hasMoved
        = report.appliedEvacuationNumber != last.appliedEvacuationNumber || (!this->ownership.evacuations().evacuating.empty() && report.executors != last.executors);
    return isOld || hasMoved || report.token != last.token || report.spread != last.spread || report.longRunningCpu != last.longRunningCpu
        || differs(report.inflow, last.inflow) || differs(report.backlog, last.backlog);
}

net::awaitable<void> SchedulerProcess::Private::reportPools()
{
    while (!this->isStopping) {
        co_await sleepFor(this->context, reportInterval);
        std::vector<StoredRecord> records;
        std::vector<PoolReport> sent;
        for (const auto &[partition, shard] : this->ownership.shards()) {
            for (PoolReport &report : shard->reports()) {
                if (this->isWorthReporting(report)) {
                    report.number = ++this->reportNumber;
                    records.push_back(StoredRecord{report.service.value, encodePoolReport(report), -1});
                    sent.push_back(std::move(report));
                }
            }
        }
        if (records.empty()) {
            continue;
        }
        const Result<void> appended = co_await this->platform->store().append(Stream::Plan, reportPartition, std::move(records), std::nullopt, reportLimit);
        if (!appended) {
            continue;
        }
        for (PoolReport &report : sent) {
            this->reportedAt[report.service] = steady_clock::now();
            this->reported[report.service] = std::move(report);
        }
    }
}

nlohmann::json SchedulerProcess::Private::state() const
{
    nlohmann::json pools = nlohmann::json::array();
    for (const auto &[partition, shard] : this->ownership.shards()) {
        for (const auto &[service, summary] : shard->summaries()) {
            pools.push_back(
                {{"service", service.value}, {"partition", partition}, {"token", shard->token()}, {"active", shard->isActive()}, {"jobs", summary.jobs},
                    {"runs", summary.runs}, {"executors", summary.executors}, {"cpu", summary.capacity.cpu}, {"cpu_used", summary.used.cpu}});
        }
    }
    return {{"process", this->platform->settings().name.value}, {"ready", this->gateway->isReady()},
        {"revision", this->feed.config() ? this->feed.config()->revision : 0}, {"planning", this->planningToken}, {"pools", pools}};
}

SchedulerProcess::SchedulerProcess(std::unique_ptr<Private> impl)
    : d(std::move(impl))
{
}

SchedulerProcess::~SchedulerProcess() = default;

Result<std::unique_ptr<SchedulerProcess>> SchedulerProcess::create(net::io_context &context, Metrics &metrics, std::unique_ptr<PlatformAdapter> platform)
{
    auto impl = std::make_unique<Private>(context, metrics, std::move(platform));
    const NodeSettings &settings = impl->platform->settings();
    Result<std::unique_ptr<JobGateway>> gateway = JobGateway::create(context, impl->platform->store(), *impl->log, impl->metrics, settings);
    if (!gateway) {
        return tl::unexpected(gateway.error());
    }
    impl->gateway = std::move(*gateway);
    Result<std::unique_ptr<CallerFrontend>> callers = impl->platform->openCallerFrontend(*impl->gateway);
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
    state->log->emit("start", {{"version", MANGOCOURSE_VERSION}, {"data_centre", state->platform->settings().dataCentre.value}}, EventPriority::Essential);
    state->callers->start();
    if (state->admin) {
        state->admin->start();
    }
    net::co_spawn(state->context, state->feed.run(), net::detached);
    net::co_spawn(state->context, state->ownership.run(), net::detached);
    net::co_spawn(state->context, state->joinPlanners(), net::detached);
    net::co_spawn(state->context, state->followDirectory(), net::detached);
    net::co_spawn(state->context, state->followPlan(), net::detached);
    net::co_spawn(state->context, state->reportPools(), net::detached);
}

net::awaitable<void> SchedulerProcess::retire()
{
    Private &state = *this->d;
    const auto start = steady_clock::now();
    const auto latest = start + state.platform->settings().stopGrace - stopMargin;
    state.log->emit("stop", {{"reason", "signal"}}, EventPriority::Essential);
    state.gateway->retire();
    state.callers->disableKeepAlive();
    state.isStopping = true;
    if (state.planningToken != 0) {
        state.changePlanning(0);
    }
    co_await state.planner.leave();
    co_await state.ownership.retire();
    while (steady_clock::now() < latest && (steady_clock::now() - start < callersLeave || state.callers->activeRequests() > 0)) {
        co_await sleepFor(state.context, milliseconds(50));
    }
    state.feed.stop();
    state.callers->stop();
    state.log->emit("stopped", {{"active_requests", std::int64_t(state.callers->activeRequests())}}, EventPriority::Essential);
    state.log->flush();
    state.context.stop();
}

void SchedulerProcess::reload()
{
    const Result<NodeSettings> settings = readNodeSettings();
    this->d->log->emit("reload", {{"outcome", settings ? std::string("read") : describe(settings.error())}}, EventPriority::Essential);
}

void SchedulerProcess::dump()
{
    this->d->log->emit("state", {{"state", this->d->state().dump()}}, EventPriority::Essential);
}

}
