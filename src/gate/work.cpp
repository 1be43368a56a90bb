// Runs requests with attempts and retries.
#include "work.h"

namespace MangoCourse {

namespace {

using namespace std::chrono_literals;

constexpr int maxAttempts = 4;
// Separate from maxAttempts, because a refusal before the start costs almost nothing and lowers the executor's concurrency limit.
constexpr int maxRefusals = 64;
constexpr std::chrono::milliseconds refusalRetryAfter = 500ms;

Attempt refusedAttempt(const Admission &admission)
{
    Attempt attempt;
    attempt.verdict = Verdict::NotRun;
    attempt.result = AttemptResult::Abandoned;
    attempt.status = admission.reason == RefuseReason::UnknownService ? http::status::not_found : http::status::service_unavailable;
    attempt.reason = std::string(toString(admission.reason));
    return attempt;
}

bool isRefusedBeforeStart(const Attempt &attempt)
{
    return attempt.result == AttemptResult::RefusedBusy || attempt.result == AttemptResult::RefusedLeaving;
}

// Numbers of attempts that an executor accepted and of refusals before the start.
struct RetryCounts {
    int attempts = 0;
    int refusals = 0;
};

bool canRetry(GateState &state, const GateRequest &request, const Attempt &attempt, RetryCounts counts)
{
    const bool isFinal = attempt.result == AttemptResult::Succeeded || counts.attempts >= maxAttempts || state.clock.now() >= request.deadline;
    if (isFinal || *request.hasRelayStarted) {
        return false;
    }
    if (isRefusedBeforeStart(attempt)) {
        return counts.refusals < maxRefusals;
    }
    // A 5xx status of an executor means that the request ran, so only idempotent work may be retried.
    const Verdict verdict = attempt.verdict == Verdict::Ran ? Verdict::MayHaveRun : attempt.verdict;
    return isRetrySafe(verdict, request.spec.idempotent) && state.dispatcher->tryRetry();
}

// Looks up the address in the current view rather than in the view that the request was admitted under.
std::optional<Endpoint> findEndpoint(const GateState &state, const InstanceId &instance)
{
    const std::shared_ptr<const GateView> view = state.view();
    const auto found = view->endpoints.find(instance);
    if (found == view->endpoints.end()) {
        return std::nullopt;
    }
    return found->second;
}

void countAttempt(GateState &state, const Attempt &attempt)
{
    static const std::string name = "mangocourse_attempts_total";
    static const std::string help = "Attempts on executors by verdict.";
    state.metrics.add(name, help, "verdict=\"" + std::string(toString(attempt.verdict)) + "\"");
}

}

net::awaitable<Attempt> runRequest(GateState &state, ServingThread &serving, const GateRequest &request)
{
    WorkRequest work{request.service, request.team, request.spec.workClass, request.deadline, {}};
    Attempt attempt;
    // Once an attempt may have run, a later refusal must not be reported as NotRun.
    bool mayHaveRun = false;
    RetryCounts counts;
    while (true) {
        const Admission admission = co_await state.dispatcher->admit(serving.context, work);
        if (admission.kind == Admission::Kind::Refused) {
            attempt = refusedAttempt(admission);
            break;
        }
        const std::optional<Endpoint> endpoint = findEndpoint(state, admission.instance);
        if (!endpoint) {
            attempt = Attempt{AttemptResult::Unreachable, Verdict::NotRun, http::status::service_unavailable, {}, {}, "no address is known for the executor"};
        } else {
            attempt = co_await forward(serving, state.settings.serving, *endpoint, request.upstream, request.deadline, request.relay, request.bodyLength);
        }
        state.dispatcher->finish(admission.ticket, attempt.result);
        countAttempt(state, attempt);
        mayHaveRun = mayHaveRun || attempt.verdict != Verdict::NotRun;
        ++(isRefusedBeforeStart(attempt) ? counts.refusals : counts.attempts);
        if (!canRetry(state, request, attempt, counts)) {
            break;
        }
        work.tried = {admission.instance};
    }
    if (attempt.verdict == Verdict::NotRun && mayHaveRun) {
        attempt.verdict = Verdict::MayHaveRun;
        attempt.status = http::status::bad_gateway;
    }
    co_return attempt;
}

CallerResponse toCallerResponse(const Attempt &attempt)
{
    if (attempt.verdict != Verdict::Ran) {
        const bool isRetryable = attempt.verdict == Verdict::NotRun && attempt.status == http::status::service_unavailable;
        return failureResponse(attempt.status, attempt.verdict, attempt.reason, isRetryable ? refusalRetryAfter : 0ms);
    }
    CallerResponse answer;
    answer.status = attempt.status;
    answer.verdict = Verdict::Ran;
    answer.body = attempt.body;
    answer.contentType = attempt.contentType;
    return answer;
}

}
