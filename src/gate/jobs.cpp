// Submits, claims and runs jobs of the job ledger.
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

constexpr std::chrono::milliseconds keeperCallTimeout = 6000ms;
constexpr std::chrono::milliseconds verdictTimeout = 4000ms;
constexpr std::chrono::milliseconds claimPollTimeout = 4000ms;
constexpr std::chrono::milliseconds keeperRetryDelay = 500ms;
constexpr std::chrono::milliseconds finishRetryDelay = 500ms;
// Callers do not repeat a submission after this time.
constexpr std::chrono::minutes maxRepeatDelay{10};
constexpr int maxFinishAttempts = 20;
constexpr int maxRunningJobs = 16;
// Base64 and JSON enlarge a body by about a third.
constexpr std::size_t maxJobBodyBytes = JobLedger::maxPayloadBytes * 3 / 4 - 64;
constexpr std::size_t maxOutcomeBodyBytes = JobLedger::maxOutcomeBytes * 3 / 4 - 64;

// Job ids are scoped by team, so that equal idempotency keys of two teams cannot collide.
JobId makeJobId(const GateRequest &request)
{
    return JobId{request.team.value + ":" + request.upstream.idempotencyKey};
}

net::awaitable<Result<Rpc::SubmitVerdict>> submitRecord(GateState &state, ServingThread &serving, Record record)
{
    Rpc::SubmitRequest request;
    request.records.push_back(encodeRecord(record));
    request.waitMs = static_cast<std::int32_t>(verdictTimeout.count());
    Result<Rpc::SubmitReply> reply
        = co_await callPeer<Rpc::SubmitReply>(serving.context, state.currentKeeper(), state.settings.peerToken, "/peer/submit", request, keeperCallTimeout);
    if (!reply) {
        co_return tl::unexpected(reply.error());
    }
    if (reply->verdicts.size() != 1) {
        co_return makeError(ErrorCode::Decode, "the keeper's reply does not hold exactly one verdict");
    }
    co_return reply->verdicts.front();
}

CallerResponse describeJob(const JobId &job, const Rpc::JobView &view)
{
    nlohmann::json json = {{"job", job.value}, {"state", view.state}, {"reason", view.reason}};
    CallerResponse answer;
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

net::awaitable<CallerResponse> fetchJob(GateState &state, ServingThread &serving, JobId job)
{
    Rpc::JobQuery query;
    query.job = job.value;
    const Result<Rpc::JobView> view
        = co_await callPeer<Rpc::JobView>(serving.context, state.currentKeeper(), state.settings.peerToken, "/peer/job", query, keeperCallTimeout);
    if (!view) {
        co_return failureResponse(
            http::status::gateway_timeout, Verdict::MayHaveRun, "the job is accepted, but its state cannot be read: " + describe(view.error()));
    }
    co_return describeJob(job, *view);
}

bool isRefused(const Result<Rpc::SubmitVerdict> &verdict)
{
    if (!verdict) {
        return verdict.error().code == ErrorCode::Unavailable;
    }
    return verdict->known && !verdict->accepted && verdict->reason != toString(Refusal::AlreadyExists);
}

bool isUnsettled(const GateState &state, const JobId &job)
{
    return state.unsettledJobs.read([&job](const UnsettledRecords &records) {
        return records.contains(job.value);
    });
}

// The answer to a refused attempt while another one of the job may be in the log.
net::awaitable<CallerResponse> describeUnsettledJob(GateState &state, ServingThread &serving, JobId job)
{
    Rpc::JobQuery query;
    query.job = job.value;
    const Result<Rpc::JobView> view
        = co_await callPeer<Rpc::JobView>(serving.context, state.currentKeeper(), state.settings.peerToken, "/peer/job", query, keeperCallTimeout);
    if (view && view->known) {
        co_return describeJob(job, *view);
    }
    co_return failureResponse(
        http::status::gateway_timeout, Verdict::MayHaveRun, "an earlier attempt may have been accepted; retry with the same Idempotency-Key", keeperRetryDelay);
}

std::string boundedOutcome(const Attempt &attempt)
{
    return attempt.body.size() <= maxOutcomeBodyBytes ? attempt.body : R"({"reason":"the outcome is larger than the ledger keeps"})";
}

Record makeClaimEndRecord(GateState &state, const JobId &job, Offset claim, const Attempt &attempt, bool idempotent)
{
    const RecordId id{state.newRequestId()};
    if (attempt.result == AttemptResult::Succeeded) {
        return Record{id, FinishJob{job, claim, static_cast<int>(attempt.status), toBase64(boundedOutcome(attempt))}};
    }
    if (attempt.verdict == Verdict::NotRun) {
        return Record{id, ReleaseJob{job, claim, ReleaseReason::NotRun}};
    }
    // Non-idempotent work is not run again, so a failure that the executor reported is its final outcome.
    if (attempt.verdict == Verdict::Ran && !idempotent) {
        return Record{id, FinishJob{job, claim, static_cast<int>(attempt.status), toBase64(boundedOutcome(attempt))}};
    }
    return Record{id, ReleaseJob{job, claim, attempt.verdict == Verdict::Ran ? ReleaseReason::RunFailed : ReleaseReason::LeaseExpired}};
}

net::awaitable<void> reportClaimEnd(GateState &state, ServingThread &serving, Record record)
{
    net::steady_timer timer(serving.context);
    for (int attempt = 0; attempt < maxFinishAttempts; ++attempt) {
        // Each try submits the same record id, and the ledger applies only the first.
        const Result<Rpc::SubmitVerdict> verdict = co_await submitRecord(state, serving, record);
        if (verdict && verdict->known && verdict->reason != "log-unavailable") {
            co_return;
        }
        SystemErrorCode error;
        timer.expires_after(finishRetryDelay);
        co_await timer.async_wait(captureError(error));
    }
    spdlog::warn("event=job_end_unreported record={} effect=claim_expires", record.id.value);
}

// `leaseEnd` counts from before the claim request was sent, on this process's clock, so it never falls after the ledger's expiry of the lease. A
// holder that was paused finds its lease expired and does not start the job.
net::awaitable<void> runJob(GateState &state, ServingThread &serving, Rpc::ClaimedJob job, TimePoint leaseEnd)
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
        // Within one claim, a job is retried only if the previous attempt provably did not run.
        request.spec.idempotent = false;
        request.upstream = {"/v1/" + job.serviceName, state.newRequestId(), job.job, "application/octet-stream", fromBase64(job.payload)};
        request.deadline = leaseEnd;
        attempt = co_await runRequest(state, serving, request);
    }
    co_await reportClaimEnd(state, serving, makeClaimEndRecord(state, id, job.claim, attempt, job.idempotent));
    --state.runningJobs;
}

void startJobs(GateState &state, const Rpc::ClaimReply &reply, TimePoint requestedAt)
{
    for (const Rpc::ClaimedJob &job : reply.jobs) {
        ServingThread &serving = *state.servingThreads[static_cast<std::size_t>(job.claim) % state.servingThreads.size()];
        const TimePoint leaseEnd = requestedAt + std::chrono::milliseconds(job.leaseMs);
        ++state.runningJobs;
        net::co_spawn(serving.context, runJob(state, serving, job, leaseEnd), net::detached);
    }
}

}

net::awaitable<CallerResponse> submitJob(GateState &state, ServingThread &serving, const GateRequest &request)
{
    if (request.upstream.idempotencyKey.empty()) {
        co_return failureResponse(http::status::bad_request, Verdict::NotRun, "the service is not idempotent: the header Idempotency-Key is missing");
    }
    if (request.upstream.body.size() > maxJobBodyBytes) {
        co_return failureResponse(
            http::status::payload_too_large, Verdict::NotRun, "the body of a job is larger than " + std::to_string(maxJobBodyBytes) + " bytes");
    }
    const JobId job = makeJobId(request);
    const Record record{
        RecordId{state.newRequestId()}, AcceptJob{job, request.service, request.team, request.spec.idempotent, toBase64(request.upstream.body)}};
    state.unsettledJobs.write([&](UnsettledRecords &records) {
        records.settle(state.clock.now() - maxRepeatDelay);
        records.beginAppend(job.value);
    });
    const Result<Rpc::SubmitVerdict> verdict = co_await submitRecord(state, serving, record);
    const bool mayBeAccepted = !isRefused(verdict) && !(verdict && verdict->known);
    state.unsettledJobs.write([&](UnsettledRecords &records) {
        if (verdict && verdict->known && !isRefused(verdict)) {
            records.markStored(job.value);
        }
        records.endAppend(job.value, mayBeAccepted, state.clock.now());
    });
    if (isRefused(verdict) && isUnsettled(state, job)) {
        co_return co_await describeUnsettledJob(state, serving, job);
    }
    if (!verdict && verdict.error().code == ErrorCode::Unavailable) {
        co_return failureResponse(http::status::service_unavailable, Verdict::NotRun, "no keeper can be reached", keeperRetryDelay);
    }
    if (!verdict || !verdict->known) {
        co_return failureResponse(
            http::status::gateway_timeout, Verdict::MayHaveRun, "the job may have been accepted; retry with the same Idempotency-Key", keeperRetryDelay);
    }
    if (isRefused(verdict)) {
        co_return failureResponse(http::status::service_unavailable, Verdict::NotRun, verdict->reason, keeperRetryDelay);
    }
    co_return co_await fetchJob(state, serving, job);
}

Result<void> runJobs(const std::stop_token &stop, GateState &state)
{
    std::unique_ptr<HttpClient> keeper;
    while (!stop.stop_requested()) {
        const int freeSlots = maxRunningJobs - state.runningJobs;
        if (freeSlots <= 0 || state.stopping || !state.keeperReachable) {
            std::this_thread::sleep_for(50ms);
            continue;
        }
        if (!keeper || keeper->endpoint() != state.currentKeeper()) {
            keeper = std::move(*HttpClient::create(state.currentKeeper(), state.settings.peerToken));
        }
        Rpc::ClaimRequest request;
        request.gate = state.settings.name.value;
        request.maxJobs = freeSlots;
        request.waitMs = static_cast<std::int32_t>(claimPollTimeout.count());
        const TimePoint requestedAt = state.clock.now();
        const std::stop_callback interruptOnStop(stop, [&keeper] {
            keeper->interrupt();
        });
        const Result<std::string> answer = keeper->call(http::verb::post, "/peer/claim", toThrift(request), claimPollTimeout + keeperCallTimeout);
        const Result<Rpc::ClaimReply> reply = answer ? fromThrift<Rpc::ClaimReply>(*answer) : tl::unexpected(answer.error());
        if (!reply) {
            std::this_thread::sleep_for(keeperRetryDelay);
            continue;
        }
        startJobs(state, *reply, requestedAt);
    }
    return {};
}

}
