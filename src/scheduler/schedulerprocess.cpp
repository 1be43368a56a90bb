// Connects the duties of one process.
#include "schedulerprocess.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "clocks.h"
#include "event.h"
#include "eventlog.h"
#include "executordirectory.h"
#include "httpserver.h"
#include "jobgateway.h"
#include "memorywatch.h"
#include "metrics.h"
#include "operatorfeed.h"
#include "ownership.h"
#include "planningduty.h"
#include "policyduty.h"
#include "quotafeed.h"
#include "quotalog.h"
#include "recordcodec.h"
#include "segmentedrecord.h"
#include "waitinglog.h"

namespace MangoCourse {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds directoryRefreshInterval{500};
constexpr milliseconds minDirectoryDelay{100};
// Interval while machines are being evacuated, so that they get work soon after they are available again.
constexpr milliseconds busyDirectoryRefreshInterval{200};
constexpr milliseconds idlePollInterval{250};
constexpr milliseconds planPollTimeout{2000};
// Interval at which processes on standby for the planning duty check whether another process has it.
constexpr milliseconds candidatePollInterval{500};
// Upper bound of the delay that each process adds to its interval, so that candidates do not all join at the same moment.
constexpr std::size_t candidateJitterMs = 250;
// A member of the planners' group that is not the planner leaves after this time. Members that joined simultaneously must not all leave before the
// store has chosen one of them, or there would be no planner.
constexpr milliseconds surplusMemberGrace{1000};
// Changes of the plan that arrive within this time are read together.
constexpr milliseconds planBatchDelay{25};
// A process without pools only tracks the planner's orders, in case it becomes the planner.
constexpr milliseconds idlePlanBatchDelay{400};
// Pools are checked every reportCheckInterval and reported at least every maxReportInterval.
constexpr milliseconds reportCheckInterval{120};
constexpr milliseconds maxReportInterval{1500};
constexpr milliseconds reportTimeout{1000};
// Callers notice within two readiness checks, one second apart, that a process is not ready.
constexpr milliseconds callerDrainTime{3200};
// Part of the grace time that is reserved for the termination itself.
constexpr milliseconds stopMargin{1200};
// Limit for each event name.
constexpr std::uint32_t maxRoutineEventsPerSecond = 60;

}

class SchedulerProcess::Private
{
public:
    Private(net::io_context &context, Metrics &metrics, std::unique_ptr<PlatformAdapter> adapter)
        : context(context)
        , metrics(metrics)
        , platform(std::move(adapter))
        , log(EventLog::create(this->platform->settings().name.value, maxRoutineEventsPerSecond))
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
                      this->gateway->noteStoreContact(isReachable);
                  },
                  [this](TimePoint asOf) {
                      this->gateway->setConfigCurrentAsOf(asOf);
                  }})
        , placements(std::make_shared<QueuePlacements>(context, this->platform->store(), *this->log))
        , quotas(std::make_shared<QuotaFeed>(*this->log))
        , orderBudget(*OrderBudget::create(this->platform->settings().maxOrders()))
        , memoryWatch(context, *this->log, metrics, this->platform->settings().memory, this->orderBudget)
        , policyWanted(context)
        , ownership(OwnerContext{context, this->platform->store(), this->platform->executors(), &this->policyWanted, *this->log, this->metrics,
                        this->platform->settings(), this->placements, this->quotas, this->orderBudget},
              [this](bool isReachable) {
                  this->gateway->noteStoreContact(isReachable);
              })
        , plannerMember(context, this->platform->store(), *this->log, Group::Planners, this->platform->settings().membershipTimeout(),
              GroupMember::Handlers{[this](const MembershipConfirmation &confirmation) {
                                        this->applyPlannerMembership(confirmation);
                                    },
                  [this](bool isReachable) {
                      this->handlePlannersContact(isReachable);
                  }})
        , planReader(context, this->platform->store(), Stream::Plan, plannerPartition,
              StreamReader::Handlers{[this] {
                                         this->quotas->reset();
                                     },
                  [this](const StoredRecord &record) {
                      this->quotas->apply(record);
                      this->applyPlan(record);
                  }})
    {
    }

    net::io_context &context;
    Metrics &metrics;
    std::unique_ptr<PlatformAdapter> platform;
    std::unique_ptr<EventLog> log;
    std::unique_ptr<JobGateway> gateway;
    std::unique_ptr<CallerFrontend> callerFrontend;
    std::unique_ptr<HttpServer> admin;
    ExecutorDirectory directory;
    OperatorFeed feed;
    std::shared_ptr<QueuePlacements> placements;
    std::shared_ptr<QuotaFeed> quotas;
    std::shared_ptr<OrderBudget> orderBudget;
    MemoryWatch memoryWatch;
    Event policyWanted;
    Ownership ownership;
    // Absent if there is no placement policy.
    std::shared_ptr<PolicyDuty> policyDuty;
    GroupMember plannerMember;
    StreamReader planReader;
    SegmentedValue planValue{plannerKey};
    std::shared_ptr<PlanningDuty> planningDuty;
    std::int64_t planningToken = 0;
    std::optional<TimePoint> planFollowedSince;
    // Time since which this process has been a member of the planners' group without being the planner.
    std::optional<TimePoint> notPlanningSince;
    std::int32_t plannerResignations = 0;
    std::optional<TimePoint> plannerVacantSince;
    TimePoint planningSince{};
    SeenOrders seenOrders;
    std::map<ServiceId, PoolReport> lastReports;
    std::map<ServiceId, steady_clock::time_point> reportedAt;
    std::int64_t reportNumber = 0;
    bool isStopping = false;

    void setPlanningToken(std::int64_t token);
    void applyPlannerMembership(const MembershipConfirmation &confirmation);
    void handlePlannersContact(bool isReachable);
    // Returns true if this process has followed the plan for long enough to know all orders that are still relevant.
    bool knowsRecentOrders() const;
    // Stands by until no other process is the planner, then joins the planners' group.
    net::awaitable<void> joinPlanners();
    PlannerView plannerView() const;
    // Leaves the planners' group if a stronger process can plan.
    void reviewPlanner();
    void applyPlan(const StoredRecord &record);
    net::awaitable<void> followPlan();
    net::awaitable<void> reportPools();
    bool isReportDue(const PoolReport &report) const;

    net::awaitable<void> followDirectory();
    void startPolicyDuty();
    nlohmann::json stateAsJson() const;
    // Sets the gauges of the pools that this process owns now.
    void updateGauges();
};

net::awaitable<void> SchedulerProcess::Private::followDirectory()
{
    bool wasRead = true;
    while (!this->isStopping) {
        if (!this->ownership.ownsPools()) {
            co_await sleepFor(this->context, idlePollInterval);
            continue;
        }
        const TimePoint startedAt = bootNow();
        // The previous list is kept if the read fails.
        const Result<void> read = co_await this->directory.refresh();
        if (read.has_value() != wasRead) {
            wasRead = read.has_value();
            this->log->emit(
                wasRead ? "executors_read" : "executors_unread", {{"reason", wasRead ? std::string() : describe(read.error())}}, EventPriority::Essential);
        }
        if (this->directory.isLoaded()) {
            this->ownership.setExecutors(this->directory.executors(), this->directory.currentAsOf());
        }
        // Owners start nothing while the list is outdated, so the duration of a slow or failed read is subtracted from the interval.
        const milliseconds interval = this->ownership.evacuations().evacuating.empty() ? directoryRefreshInterval : busyDirectoryRefreshInterval;
        const auto elapsed = std::chrono::duration_cast<milliseconds>(bootNow() - startedAt);
        co_await sleepFor(this->context, std::max(interval - elapsed, minDirectoryDelay));
    }
}

void SchedulerProcess::Private::setPlanningToken(std::int64_t token)
{
    this->log->emit(token != 0 ? "planning_gained" : "planning_lost", {{"token", token}}, EventPriority::Essential);
    if (this->planningToken == 0) {
        this->planningSince = bootNow();
    }
    this->planningToken = token;
    if (this->planningDuty) {
        this->planningDuty->stop();
        this->planningDuty.reset();
    }
    if (token != 0 && this->platform->machines() != nullptr) {
        this->planningDuty = PlanningDuty::create(
            this->context, *this->platform, *this->log, this->feed, token, this->knowsRecentOrders() ? std::optional(this->seenOrders) : std::nullopt);
        this->planningDuty->start();
    }
}

void SchedulerProcess::Private::applyPlannerMembership(const MembershipConfirmation &confirmation)
{
    const auto &parts = confirmation.membership.owned;
    const OwnedPartition planner{Stream::Plan, plannerPartition};
    const bool isPlanner = std::find(parts.begin(), parts.end(), planner) != parts.end();
    const bool isSuperseded = this->planningDuty && this->planningDuty->hasEnded();
    const bool hasHigherToken = confirmation.membership.generation > this->planningToken;
    if (isPlanner && (this->planningToken == 0 || confirmation.reassigned.contains(planner) || (isSuperseded && hasHigherToken))) {
        this->setPlanningToken(confirmation.membership.generation);
    } else if (!isPlanner && this->planningToken != 0) {
        this->setPlanningToken(0);
    } else if (isSuperseded) {
        // Only a new membership gives a higher token.
        this->plannerMember.stop();
    }
    this->notPlanningSince = isPlanner ? std::nullopt : std::optional(this->notPlanningSince.value_or(bootNow()));
    if (this->notPlanningSince && bootNow() - *this->notPlanningSince > surplusMemberGrace) {
        // Each additional member can cause the planning duty to be reassigned, so only the planner stays in the group.
        this->plannerMember.stop();
    }
    if (this->planningDuty) {
        this->planningDuty->setOrderDeadline(this->plannerMember.confirmedUntil());
    }
    this->reviewPlanner();
}

PlannerView SchedulerProcess::Private::plannerView() const
{
    const auto since = [](TimePoint time) {
        return std::chrono::duration_cast<milliseconds>(bootNow() - time);
    };
    PlannerView view;
    view.strongerOwnerSeenFor = this->ownership.lastStrongerOwner() ? std::optional(since(*this->ownership.lastStrongerOwner())) : std::nullopt;
    view.planningFor = this->planningToken == 0 ? milliseconds::zero() : since(this->planningSince);
    view.resignations = this->plannerResignations;
    view.vacantFor = this->plannerVacantSince ? since(*this->plannerVacantSince) : milliseconds::zero();
    view.joinDelay = this->platform->settings().takeoverDelay();
    return view;
}

void SchedulerProcess::Private::reviewPlanner()
{
    if (this->planningToken == 0 || this->platform->settings().hasSufficientCpu() || !shouldResignAsPlanner(this->plannerView())) {
        return;
    }
    ++this->plannerResignations;
    this->log->emit("planner_resigned", {{"token", this->planningToken}, {"times", std::int64_t(this->plannerResignations)}}, EventPriority::Essential);
    this->setPlanningToken(0);
    this->plannerMember.stop();
}

void SchedulerProcess::Private::handlePlannersContact(bool isReachable)
{
    if (isReachable || bootNow() < this->plannerMember.confirmedUntil()) {
        return;
    }
    // Another process may have become the planner. If this process remained a member, it would take the duty back as soon as the store is
    // reachable again.
    if (this->planningToken != 0) {
        this->setPlanningToken(0);
    }
    this->plannerMember.stop();
}

bool SchedulerProcess::Private::knowsRecentOrders() const
{
    return this->planFollowedSince && bootNow() - *this->planFollowedSince > this->platform->settings().planLease;
}

net::awaitable<void> SchedulerProcess::Private::joinPlanners()
{
    const std::size_t nameHash = std::hash<std::string>{}(this->platform->settings().name.value);
    const milliseconds interval = candidatePollInterval + milliseconds(nameHash % candidateJitterMs) + this->platform->settings().takeoverDelay();
    bool hasDeferred = false;
    while (!this->isStopping) {
        if (!this->planFollowedSince || !this->feed.config()) {
            co_await sleepFor(this->context, idlePollInterval);
            continue;
        }
        const Result<std::vector<PartitionHolder>> holders = co_await this->platform->store().holders(Group::Planners);
        if (!holders) {
            co_await sleepFor(this->context, idlePollInterval);
            continue;
        }
        const bool hasOtherHolder = std::any_of(holders->begin(), holders->end(), [this](const PartitionHolder &holder) {
            return holder.process != this->platform->settings().name.value;
        });
        if (hasOtherHolder) {
            hasDeferred = false;
            this->plannerVacantSince.reset();
            co_await sleepFor(this->context, interval);
            continue;
        }
        this->plannerVacantSince = this->plannerVacantSince.value_or(bootNow());
        if (!shouldJoinPlanners(this->plannerView())) {
            co_await sleepFor(this->context, idlePollInterval);
            continue;
        }
        if (!this->knowsRecentOrders() && !hasDeferred) {
            // Waits for one interval, so that a process that has followed the plan for longer can join first: it knows which machines received
            // orders recently.
            hasDeferred = true;
            co_await sleepFor(this->context, interval);
            continue;
        }
        if (this->isStopping) {
            break;
        }
        this->notPlanningSince.reset();
        this->plannerVacantSince.reset();
        co_await this->plannerMember.run();
        if (!this->isStopping) {
            co_await this->plannerMember.leave();
        }
    }
}

void SchedulerProcess::Private::applyPlan(const StoredRecord &record)
{
    const std::optional<std::string> value = this->planValue.add(record);
    if (!value) {
        return;
    }
    const Result<PlannerState> state = decodePlannerState(*value);
    if (!state) {
        this->log->emit("plan_unreadable", {{"offset", record.offset}, {"reason", describe(state.error())}}, EventPriority::Essential);
        return;
    }
    for (const auto &[machine, at] : state->orderedAt) {
        SeenOrder &seen = this->seenOrders[machine];
        if (seen.recordedAt != at) {
            seen = SeenOrder{at, bootNow()};
        }
    }
    std::erase_if(this->seenOrders, [&state](const auto &entry) {
        return !state->orderedAt.contains(entry.first);
    });
    this->ownership.setEvacuations(state->evacuationList());
}

net::awaitable<void> SchedulerProcess::Private::followPlan()
{
    while (!this->isStopping) {
        const Result<void> read = co_await this->planReader.follow(planPollTimeout);
        if (read) {
            this->quotas->commit(this->planReader.position());
            this->ownership.updateDivisions();
            this->ownership.markPlanKnown();
            this->planFollowedSince = this->planFollowedSince.value_or(bootNow());
            co_await sleepFor(this->context, this->ownership.ownsPools() ? planBatchDelay : idlePlanBatchDelay);
        } else {
            co_await sleepFor(this->context, idlePollInterval);
        }
    }
}

bool SchedulerProcess::Private::isReportDue(const PoolReport &report) const
{
    const auto before = this->lastReports.find(report.service);
    if (before == this->lastReports.end()) {
        return true;
    }
    const PoolReport &last = before->second;
    const auto sinceLast = std::chrono::duration_cast<milliseconds>(steady_clock::now() - this->reportedAt.at(report.service));
    const bool isOverdue = sinceLast > maxReportInterval;
    // Ignores differences of up to a quarter of the larger value or 64'000, whichever is more. The unit is core-ms, or core-ms per second for the inflow.
    const auto differsSignificantly = [](std::int64_t one, std::int64_t other) {
        return std::abs(one - other) > std::max<std::int64_t>(std::max(one, other) / 4, 64'000);
    };
    // During evacuations every change in the runs on the executors is reported at once.
    const bool hasEvacuationChange = report.appliedEvacuationNumber != last.appliedEvacuationNumber
        || (!this->ownership.evacuations().evacuating.empty() && report.executors != last.executors);
    return isOverdue || hasEvacuationChange || isQuotaReportDue(report, last, sinceLast) || report.token != last.token || report.spread != last.spread
        || report.longRunningCpu != last.longRunningCpu || differsSignificantly(report.inflow, last.inflow)
        || differsSignificantly(report.backlog, last.backlog);
}

net::awaitable<void> SchedulerProcess::Private::reportPools()
{
    while (!this->isStopping) {
        co_await sleepFor(this->context, reportCheckInterval);
        std::vector<StoredRecord> records;
        std::vector<PoolReport> sentReports;
        for (const auto &[partition, shard] : this->ownership.shards()) {
            for (PoolReport &report : shard->reports()) {
                if (!this->isReportDue(report)) {
                    continue;
                }
                report.number = ++this->reportNumber;
                StoredRecord record{report.service.value, encodePoolReport(report), -1};
                if (this->platform->store().accepts(record)) {
                    records.push_back(std::move(record));
                    sentReports.push_back(std::move(report));
                } else {
                    this->log->emit(
                        "report_unstorable", {{"service", report.service.value}, {"bytes", std::int64_t(record.value.size())}}, EventPriority::Essential);
                }
            }
        }
        if (records.empty()) {
            continue;
        }
        const Result<void> appended = co_await this->platform->store().append(Stream::Plan, reportPartition, std::move(records), std::nullopt, reportTimeout);
        if (!appended) {
            continue;
        }
        for (PoolReport &report : sentReports) {
            this->reportedAt[report.service] = steady_clock::now();
            this->lastReports[report.service] = std::move(report);
        }
    }
}

void SchedulerProcess::Private::startPolicyDuty()
{
    if (this->platform->policy() == nullptr) {
        return;
    }
    this->policyDuty = PolicyDuty::create(this->context, *this->platform->policy(), *this->log, this->metrics, this->policyWanted, [this] {
        std::vector<std::shared_ptr<ShardOwner>> owners;
        for (const auto &[partition, shard] : this->ownership.shards()) {
            owners.push_back(shard);
        }
        return owners;
    });
    this->policyDuty->start();
}

nlohmann::json SchedulerProcess::Private::stateAsJson() const
{
    nlohmann::json pools = nlohmann::json::array();
    std::size_t unassigned = 0;
    for (const auto &[partition, shard] : this->ownership.shards()) {
        const std::vector<PoolWaiting> waiting = shard->waiting();
        const std::vector<std::vector<AccountQuota>> quotas = shard->accountQuotas();
        auto poolWaiting = waiting.begin();
        auto poolQuotas = quotas.begin();
        for (const auto &[service, summary] : shard->summaries()) {
            pools.push_back({{"service", service.value}, {"partition", partition}, {"token", shard->token()}, {"active", shard->isActive()},
                {"jobs", summary.jobs}, {"runs", summary.runs}, {"executors", summary.executors}, {"cpu", summary.capacity.cpu}, {"cpu_used", summary.used.cpu},
                {"waiting", asJson(*poolWaiting++)}});
            if (!poolQuotas->empty()) {
                pools.back()["accounts"] = asJson(*poolQuotas);
            }
            ++poolQuotas;
        }
        unassigned += shard->unassignedJobs();
    }
    nlohmann::json state = {{"process", this->platform->settings().name.value}, {"ready", this->gateway->isReady()},
        {"revision", this->feed.config() ? this->feed.config()->revision : 0}, {"planning", this->planningToken}, {"unassigned", unassigned}, {"pools", pools}};
    if (const auto divisions = this->quotas->divisions(); divisions && !divisions->byAccount.empty()) {
        state["quotas"] = asJson(*divisions);
    }
    return state;
}

void SchedulerProcess::Private::updateGauges()
{
    clearGauges(this->metrics);
    clearQuotaGauges(this->metrics);
    std::size_t unassigned = 0;
    for (const auto &[partition, shard] : this->ownership.shards()) {
        const std::vector<PoolWaiting> waiting = shard->waiting();
        const std::vector<std::vector<AccountQuota>> quotas = shard->accountQuotas();
        auto poolWaiting = waiting.begin();
        auto poolQuotas = quotas.begin();
        for (const auto &[service, summary] : shard->summaries()) {
            setGauges(this->metrics, service, *poolWaiting++);
            setQuotaGauges(this->metrics, service, *poolQuotas++);
        }
        unassigned += shard->unassignedJobs();
    }
    this->memoryWatch.setGauges();
    this->metrics.set("mangocourse_unassigned_jobs", "Jobs whose service is not in the configuration.", static_cast<double>(unassigned));
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
    Result<std::unique_ptr<JobGateway>> gateway = JobGateway::create(context, impl->platform->store(), *impl->log, impl->metrics, settings, impl->placements);
    if (!gateway) {
        return tl::unexpected(gateway.error());
    }
    impl->gateway = std::move(*gateway);
    Result<std::unique_ptr<CallerFrontend>> callerFrontend = impl->platform->openCallerFrontend(*impl->gateway);
    if (!callerFrontend) {
        return tl::unexpected(callerFrontend.error());
    }
    impl->callerFrontend = std::move(*callerFrontend);
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
            raw->updateGauges();
            response.body() = raw->metrics.toText();
            co_return response;
        });
        impl->admin->route(http::verb::get, "/state", [raw](const HttpRequest &) -> net::awaitable<HttpResponse> {
            co_return jsonResponse(http::status::ok, raw->stateAsJson().dump());
        });
        impl->admin->route(http::verb::post, "/append", [raw](const HttpRequest &request) -> net::awaitable<HttpResponse> {
            if (raw->isStopping) {
                // Proves to the sender that nothing was stored.
                co_return errorResponse(http::status::conflict, "the process is stopping");
            }
            HttpResponse response = co_await raw->gateway->appendForOther(request.body());
            co_return response;
        });
    }
    return std::unique_ptr<SchedulerProcess>(new SchedulerProcess(std::move(impl)));
}

void SchedulerProcess::start()
{
    Private *state = this->d.get();
    state->log->emit("start", {{"version", MANGOCOURSE_VERSION}, {"data_centre", state->platform->settings().dataCentre.value}}, EventPriority::Essential);
    state->callerFrontend->start();
    if (state->admin) {
        state->admin->start();
    }
    net::co_spawn(state->context, state->feed.run(), net::detached);
    net::co_spawn(state->context, state->ownership.run(), net::detached);
    net::co_spawn(state->context, state->joinPlanners(), net::detached);
    net::co_spawn(state->context, state->followDirectory(), net::detached);
    net::co_spawn(state->context, state->memoryWatch.run(), net::detached);
    net::co_spawn(state->context, state->followPlan(), net::detached);
    net::co_spawn(state->context, state->reportPools(), net::detached);
    state->startPolicyDuty();
}

net::awaitable<void> SchedulerProcess::shutDown()
{
    Private &state = *this->d;
    const auto start = steady_clock::now();
    const auto deadline = start + state.platform->settings().stopGrace - stopMargin;
    state.log->emit("stop", {{"reason", "signal"}}, EventPriority::Essential);
    state.gateway->startDraining();
    state.callerFrontend->disableKeepAlive();
    state.isStopping = true;
    state.memoryWatch.stop();
    if (state.planningToken != 0) {
        state.setPlanningToken(0);
    }
    co_await state.plannerMember.leave();
    co_await state.ownership.shutDown();
    if (state.policyDuty) {
        state.policyDuty->stop();
    }
    const auto activeRequests = [&state] {
        // Requests to the admin server may be records of other processes that are being appended.
        return state.callerFrontend->activeRequests() + (state.admin ? state.admin->activeRequests() : 0);
    };
    while (steady_clock::now() < deadline && (steady_clock::now() - start < callerDrainTime || activeRequests() > 0)) {
        co_await sleepFor(state.context, milliseconds(50));
    }
    state.feed.stop();
    state.callerFrontend->stop();
    state.log->emit("stopped", {{"active_requests", std::int64_t(activeRequests())}}, EventPriority::Essential);
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
    this->d->log->emit("state", {{"state", this->d->stateAsJson().dump()}}, EventPriority::Essential);
}

}
