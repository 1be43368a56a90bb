// Endpoints of the keeper for operators.
#include <nlohmann/json.hpp>

#include "api.h"
#include "contextduty.h"

namespace MangoCourse {

namespace {

using Json = nlohmann::json;

constexpr std::chrono::milliseconds verdictTimeout{8000};

Json processesToJson(const std::map<ProcessId, ProcessStatus> &processes, TimePoint now)
{
    Json json = Json::object();
    for (const auto &[id, process] : processes) {
        json[id.value] = {{"data_centre", process.dataCentre.value}, {"offset", process.offset}, {"settings_revision", process.revision},
            {"live_gates", process.liveGates}, {"seen_ms_ago", std::chrono::duration_cast<std::chrono::milliseconds>(now - process.lastSeen).count()}};
    }
    return json;
}

Json followerToJson(const FollowerStatus &status)
{
    return {{"reachable", status.isReachable.load()}, {"caught_up", status.caughtUp.load()}, {"gap", status.hasGap.load()}, {"end", status.end.load()},
        {"snapshot_offset", status.snapshotOffset.load()}};
}

Json ledgerToJson(const KeeperState &state)
{
    return state.ledger.read([](const JobLedger &ledger) {
        Json counts = Json::object();
        for (int index = 0; index <= static_cast<int>(JobStatus::Abandoned); ++index) {
            const auto status = static_cast<JobStatus>(index);
            counts[std::string(toString(status))] = ledger.count(status);
        }
        return Json{{"offset", ledger.offset()}, {"jobs", std::move(counts)}};
    });
}

Json outcomeToJson(const SubmitOutcome &outcome)
{
    std::string result = "unknown";
    if (outcome.known) {
        result = outcome.verdict.isAccepted() ? "accepted" : "refused";
    } else if (!outcome.appended) {
        result = "not-run";
    }
    const std::string reason = outcome.known ? std::string(toString(outcome.verdict.refusal))
                                             : (outcome.appended ? "no answer yet; retry with the same id" : "the log is unavailable");
    return {{"id", outcome.id.value}, {"result", result}, {"reason", reason}, {"offset", outcome.verdict.offset}};
}

net::awaitable<HttpResponse> postRecords(KeeperState &state, AsyncSignal &changed, const HttpRequest &request)
{
    const Json body = Json::parse(request.body(), nullptr, false);
    if (!body.is_array()) {
        co_return errorResponse(http::status::bad_request, "the body must be a JSON array of records");
    }
    std::vector<Record> records;
    for (const Json &entry : body) {
        const Result<Record> record = decodeRecord(entry.dump());
        if (!record) {
            co_return errorResponse(http::status::bad_request, describe(record.error()));
        }
        records.push_back(*record);
    }
    const std::vector<SubmitOutcome> outcomes = co_await submitAndWait(state, changed, fleetStream, std::move(records), verdictTimeout);
    Json results = Json::array();
    for (const SubmitOutcome &outcome : outcomes) {
        results.push_back(outcomeToJson(outcome));
    }
    co_return jsonResponse(http::status::ok, results.dump());
}

HttpResponse describeJob(const KeeperState &state, const JobId &id)
{
    return state.ledger.read([&id](const JobLedger &ledger) {
        const Job *job = ledger.job(id);
        if (job == nullptr) {
            return errorResponse(http::status::not_found, "no such job in this data centre's ledger");
        }
        const Json json = {{"job", id.value}, {"service", job->service.value}, {"team", job->team.value}, {"status", toString(job->status)},
            {"holder", job->holder.value}, {"claim", job->claim}, {"failures", job->failures}, {"outcome_status", job->outcomeStatus}, {"reason", job->reason}};
        return jsonResponse(http::status::ok, json.dump());
    });
}

HttpResponse readiness(const KeeperState &state)
{
    const bool isReady = state.fleetStatus.caughtUp || state.fleet.read([](const FleetState &fleet) {
        return fleet.offset() > 0;
    });
    return isReady ? jsonResponse(http::status::ok, R"({"ready":true})")
                   : errorResponse(http::status::service_unavailable, "the keeper has not caught up with the log or a peer");
}

HttpResponse metricsText(KeeperState &state)
{
    state.metrics.set("mangocourse_fleet_offset", "Offset of the last fleet record folded.", static_cast<double>(state.fleet.read([](const FleetState &fleet) {
        return fleet.offset();
    })));
    state.metrics.set("mangocourse_log_reachable", "1 where the last read of the fleet stream succeeded.", state.fleetStatus.isReachable ? 1 : 0);
    state.metrics.set("mangocourse_log_gap", "1 where records are gone that no snapshot covers: nothing is granted.", state.fleetStatus.hasGap ? 1 : 0);
    state.metrics.set("mangocourse_log_appends", "Append calls made to the platform's log.", static_cast<double>(state.appender.appends()));
    HttpResponse response = jsonResponse(http::status::ok, state.metrics.toText());
    response.set(http::field::content_type, "text/plain; version=0.0.4");
    return response;
}

}

std::string dumpState(const KeeperState &state, const Supervisor &supervisor)
{
    const TimePoint now = state.clock.now();
    Json json
        = {{"process", state.settings.name.value}, {"role", "keeper"}, {"data_centre", state.settings.dataCentre.value}, {"lead", state.isMaintenanceLeader()},
            {"fleet_follower", followerToJson(state.fleetStatus)}, {"ledger_follower", followerToJson(state.ledgerStatus)}, {"ledger", ledgerToJson(state)},
            {"gates", processesToJson(state.membership.liveGates(now), now)}, {"keepers", processesToJson(state.membership.liveKeepers(now), now)},
            {"appends", state.appender.appends()}, {"maintenance_rounds", state.maintenanceRounds.load()}, {"duties", dutiesToJson(supervisor)}};
    state.fleet.read([&json](const FleetState &fleet) {
        json["offset"] = fleet.offset();
        json["settings_revision"] = fleet.settings().revision();
        json["pools"] = fleet.pools().size();
        json["instances"] = fleet.instances().size();
        return 0;
    });
    return json.dump();
}

void addOperatorRoutes(HttpServer &server, KeeperState &state, AsyncSignal &changed, const Supervisor &supervisor)
{
    const std::string &token = state.settings.operatorToken;
    server.route(
        http::verb::get, "/state",
        [&state, &supervisor](const HttpRequest &) -> net::awaitable<HttpResponse> {
            co_return jsonResponse(http::status::ok, dumpState(state, supervisor));
        },
        token);
    server.route(
        http::verb::get, "/v1/fleet",
        [&state](const HttpRequest &) -> net::awaitable<HttpResponse> {
            co_return jsonResponse(http::status::ok, state.fleet.read([](const FleetState &fleet) {
                return fleet.toJson();
            }));
        },
        token);
    server.route(
        http::verb::post, "/v1/records",
        [&state, &changed](const HttpRequest &request) {
            return postRecords(state, changed, request);
        },
        token);
    server.route(
        http::verb::get, "/v1/jobs/*",
        [&state](const HttpRequest &request) -> net::awaitable<HttpResponse> {
            const std::string_view path = pathOf({request.target().data(), request.target().size()});
            co_return describeJob(state, JobId{std::string(path.substr(std::string_view("/v1/jobs/").size()))});
        },
        token);
    server.route(http::verb::get, "/metrics", [&state](const HttpRequest &) -> net::awaitable<HttpResponse> {
        co_return metricsText(state);
    });
    server.route(http::verb::get, "/healthz", [](const HttpRequest &) -> net::awaitable<HttpResponse> {
        co_return healthResponse();
    });
    server.route(http::verb::get, "/readyz", [&state](const HttpRequest &) -> net::awaitable<HttpResponse> {
        co_return readiness(state);
    });
}

}
