// The gate's side of the job ledger.
#include "jobs.h"

#include <thread>

#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>

#include <mangocourse/jobledger.h>

#include "base64.h"
#include "httpclient.h"
#include "peercall.h"

namespace MangoCourse {

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds ledgerLimit = 6000ms;
constexpr std::chrono::milliseconds verdictWait = 4000ms;
constexpr std::chrono::milliseconds claimWait = 4000ms;
constexpr std::chrono::milliseconds unreachablePause = 500ms;
constexpr std::chrono::milliseconds finishRetryPause = 500ms;
constexpr int finishAttempts = 20;
constexpr int jobsPerGate = 16;
// Base64 and JSON make a body grow by about a third.
constexpr std::size_t jobBodyLimit = JobLedger::maxPayloadBytes * 3 / 4 - 64;
constexpr std::size_t outcomeBodyLimit = JobLedger::maxOutcomeBytes * 3 / 4 - 64;

// Job ids are scoped by team, so that two teams' keys cannot meet.
JobId jobIdOf(const GateRequest &request)
{
    return JobId{request.team.value + ":" + request.upstream.idempotencyKey};
}

net::awaitable<Result<Rpc::SubmitVerdict>> submitRecord(GateState &state, Serving &serving, Record record)
{
    Rpc::SubmitRequest request;
    request.records.push_back(encodeRecord(record));
    request.waitMs = static_cast<std::int32_t>(verdictWait.count());
    Result<Rpc::SubmitReply> reply
        = co_await callPeer<Rpc::SubmitReply>(serving.context, state.currentKeeper(), state.settings.peerToken, "/peer/submit", request, ledgerLimit);
    if (!reply) {
        co_return tl::unexpected(reply.error());
    }
    if (reply->verdicts.size() != 1) {
        co_return makeError(ErrorCode::Decode, "expected one verdict");
    }
    co_return reply->verdicts.front();
}

CallerAnswer describeJob(const JobId &job, const Rpc::JobView &view)
{
    nlohmann::json json = {{"job", job.value}, {"state", view.state}, {"reason", view.reason}};
    CallerAnswer answer;
    if (view.state == "finished") {
        answer.status = http::int_to_status(static_cast<unsigned>(view.status));
        answer.verdict = Verdict::Ran;
        answer.body = fromBase64(view.outcome);
        return answer;
    }
    const bool isOpen = view.state == "waiting" || view.state == "claimed";
    answer.status = isOpen ? http::status::accepted : http::status::conflict;
    answer.verdict = view.state == "cancelled" ? Verdict::NotRun : Verdict::MayHaveRun;
    json["verdict"] = toString(answer.verdict);
    answer.body = json.dump();
    return answer;
}

net::awaitable<CallerAnswer> readJob(GateState &state, Serving &serving, JobId job)
{
    Rpc::JobQuery query;
    query.job = job.value;
    const Result<Rpc::JobView> view
        = co_await callPeer<Rpc::JobView>(serving.context, state.currentKeeper(), state.settings.peerToken, "/peer/job", query, ledgerLimit);
    if (!view) {
        co_return failureAnswer(http::status::gateway_timeout, Verdict::MayHaveRun, "accepted; its state cannot be read now: " + describe(view.error()));
    }
    co_return describeJob(job, *view);
}

std::string outcomeText(const Attempt &attempt)
{
    return attempt.body.size() <= outcomeBodyLimit ? attempt.body : R"({"reason":"the outcome is larger than the ledger keeps"})";
}

Record endOfClaim(GateState &state, const JobId &job, Offset claim, const Attempt &attempt, bool idempotent)
{
    const RecordId id{state.newRequestId()};
    if (attempt.result == AttemptResult::Succeeded) {
        return Record{id, FinishJob{job, claim, static_cast<int>(attempt.status), toBase64(outcomeText(attempt))}};
    }
    if (attempt.verdict == Verdict::NotRun) {
        return Record{id, ReleaseJob{job, claim, ReleaseReason::NotRun}};
    }
    // A run that the executor reported as failed is an outcome of work that may run once.
    if (attempt.verdict == Verdict::Ran && !idempotent) {
        return Record{id, FinishJob{job, claim, static_cast<int>(attempt.status), toBase64(outcomeText(attempt))}};
    }
    return Record{id, ReleaseJob{job, claim, attempt.verdict == Verdict::Ran ? ReleaseReason::RunFailed : ReleaseReason::LeaseExpired}};
}

net::awaitable<void> reportEnd(GateState &state, Serving &serving, Record record)
{
    net::steady_timer timer(serving.context);
    for (int attempt = 0; attempt < finishAttempts; ++attempt) {
        // The same id each time: the fold keeps the first.
        const Result<Rpc::SubmitVerdict> verdict = co_await submitRecord(state, serving, record);
        if (verdict && verdict->known && verdict->reason != "log-unavailable") {
            co_return;
        }
        SystemErrorCode error;
        timer.expires_after(finishRetryPause);
        co_await timer.async_wait(captureError(error));
    }
    spdlog::warn("event=job_end_unreported record={} effect=the_claim_lapses", record.id.value);
}

// The lease counts from before the claim was asked for, on this process's own clock; a paused holder finds it lapsed.
net::awaitable<void> runJob(GateState &state, Serving &serving, Rpc::ClaimedJob job, TimePoint leaseEnd)
{
    const JobId id{job.job};
    const ServiceId service{job.serviceName};
    const auto view = state.view();
    const auto known = view->services.find(service);
    Attempt attempt;
    attempt.verdict = Verdict::NotRun;
    if (known != view->services.end() && state.clock.now() < leaseEnd) {
        GateRequest request;
        request.service = service;
        request.team = TeamId{job.team};
        request.spec = known->second;
        // Within one claim nothing is tried twice unless the first attempt provably did not run.
        request.spec.idempotent = false;
        request.upstream = {"/v1/" + job.serviceName, state.newRequestId(), job.job, "application/octet-stream", fromBase64(job.payload)};
        request.deadline = leaseEnd;
        attempt = co_await runRequest(state, serving, request);
    }
    co_await reportEnd(state, serving, endOfClaim(state, id, job.claim, attempt, job.idempotent));
    --state.runningJobs;
}

void startJobs(GateState &state, const Rpc::ClaimReply &reply, TimePoint askedAt)
{
    for (const Rpc::ClaimedJob &job : reply.jobs) {
        Serving &serving = *state.serving[static_cast<std::size_t>(job.claim) % state.serving.size()];
        const TimePoint leaseEnd = askedAt + std::chrono::milliseconds(job.leaseMs);
        ++state.runningJobs;
        net::co_spawn(serving.context, runJob(state, serving, job, leaseEnd), net::detached);
    }
}

}

net::awaitable<CallerAnswer> submitJob(GateState &state, Serving &serving, const GateRequest &request)
{
    if (request.upstream.idempotencyKey.empty()) {
        co_return failureAnswer(http::status::bad_request, Verdict::NotRun, "this service may run once: send an Idempotency-Key");
    }
    if (request.upstream.body.size() > jobBodyLimit) {
        co_return failureAnswer(http::status::payload_too_large, Verdict::NotRun, "a job's body is at most " + std::to_string(jobBodyLimit) + " bytes");
    }
    const JobId job = jobIdOf(request);
    const Record record{
        RecordId{state.newRequestId()}, AcceptJob{job, request.service, request.team, request.spec.idempotent, toBase64(request.upstream.body)}};
    const Result<Rpc::SubmitVerdict> verdict = co_await submitRecord(state, serving, record);
    if (!verdict && verdict.error().code == ErrorCode::Unavailable) {
        co_return failureAnswer(http::status::service_unavailable, Verdict::NotRun, "no keeper can be reached", unreachablePause);
    }
    if (!verdict || !verdict->known) {
        co_return failureAnswer(
            http::status::gateway_timeout, Verdict::MayHaveRun, "it may have been accepted; ask again with the same Idempotency-Key", unreachablePause);
    }
    if (!verdict->accepted && verdict->reason != toString(Refusal::AlreadyExists)) {
        co_return failureAnswer(http::status::service_unavailable, Verdict::NotRun, verdict->reason, unreachablePause);
    }
    co_return co_await readJob(state, serving, job);
}

Result<void> runJobs(const std::stop_token &stop, GateState &state)
{
    std::unique_ptr<HttpClient> keeper;
    while (!stop.stop_requested()) {
        const int room = jobsPerGate - state.runningJobs;
        if (room <= 0 || state.stopping || !state.keeperReachable) {
            std::this_thread::sleep_for(50ms);
            continue;
        }
        if (!keeper || keeper->endpoint() != state.currentKeeper()) {
            keeper = std::move(*HttpClient::create(state.currentKeeper(), state.settings.peerToken));
        }
        Rpc::ClaimRequest request;
        request.gate = state.settings.name.value;
        request.maxJobs = room;
        request.waitMs = static_cast<std::int32_t>(claimWait.count());
        const TimePoint askedAt = state.clock.now();
        const std::stop_callback wake(stop, [&keeper] {
            keeper->interrupt();
        });
        const Result<std::string> answer = keeper->call(http::verb::post, "/peer/claim", toThrift(request), claimWait + ledgerLimit);
        const Result<Rpc::ClaimReply> reply = answer ? fromThrift<Rpc::ClaimReply>(*answer) : tl::unexpected(answer.error());
        if (!reply) {
            std::this_thread::sleep_for(unreachablePause);
            continue;
        }
        startJobs(state, *reply, askedAt);
    }
    return {};
}

}
