// Attempts and retries.
#include "work.h"

namespace MangoCourse {

namespace {

using namespace std::chrono_literals;

constexpr int attemptLimit = 4;
// Refusals before the start cost nearly nothing and lower the executor's limit, so they have a limit of their own.
constexpr int refusalLimit = 64;
constexpr std::chrono::milliseconds retryAfterRefusal = 500ms;

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

// How often the request was tried: started attempts and refusals apart.
struct TryCount {
    int attempts = 0;
    int refusals = 0;
};

bool mayTryAgain(GateState &state, const GateRequest &request, const Attempt &attempt, TryCount tries)
{
    const bool isOver = attempt.result == AttemptResult::Succeeded || tries.attempts >= attemptLimit || state.clock.now() >= request.deadline;
    if (isOver || *request.bodyTaken) {
        return false;
    }
    if (isRefusedBeforeStart(attempt)) {
        return tries.refusals < refusalLimit;
    }
    // A 5xx of an executor is an outcome of a run: only idempotent work may run again.
    const Verdict verdict = attempt.verdict == Verdict::Ran ? Verdict::MayHaveRun : attempt.verdict;
    return isRetrySafe(verdict, request.spec.idempotent) && state.dispatcher->tryRetry();
}

// Addresses come from the newest list, not from the revision that the request is served under.
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

net::awaitable<Attempt> runRequest(GateState &state, Serving &serving, const GateRequest &request)
{
    WorkRequest work{request.service, request.team, request.spec.workClass, request.deadline, {}};
    Attempt attempt;
    // Once any attempt may have run, no later refusal can be told as "not run".
    bool mayHaveRunBefore = false;
    TryCount tries;
    while (true) {
        const Admission admission = co_await state.dispatcher->admit(serving.context, work);
        if (admission.kind == Admission::Kind::Refused) {
            attempt = refusedAttempt(admission);
            break;
        }
        const std::optional<Endpoint> endpoint = findEndpoint(state, admission.instance);
        if (!endpoint) {
            attempt = Attempt{AttemptResult::Unreachable, Verdict::NotRun, http::status::service_unavailable, {}, {}, "the executor has no address"};
        } else {
            attempt = co_await forward(serving, state.settings.serving, *endpoint, request.upstream, request.deadline, request.relay, request.bodyLength);
        }
        state.dispatcher->finish(admission.ticket, attempt.result);
        countAttempt(state, attempt);
        mayHaveRunBefore = mayHaveRunBefore || attempt.verdict != Verdict::NotRun;
        ++(isRefusedBeforeStart(attempt) ? tries.refusals : tries.attempts);
        if (!mayTryAgain(state, request, attempt, tries)) {
            break;
        }
        work.tried = {admission.instance};
    }
    if (attempt.verdict == Verdict::NotRun && mayHaveRunBefore) {
        attempt.verdict = Verdict::MayHaveRun;
        attempt.status = http::status::bad_gateway;
    }
    co_return attempt;
}

CallerAnswer toAnswer(const Attempt &attempt)
{
    if (attempt.verdict != Verdict::Ran) {
        const bool comesBack = attempt.verdict == Verdict::NotRun && attempt.status == http::status::service_unavailable;
        return failureAnswer(attempt.status, attempt.verdict, attempt.reason, comesBack ? retryAfterRefusal : 0ms);
    }
    CallerAnswer answer;
    answer.status = attempt.status;
    answer.verdict = Verdict::Ran;
    answer.body = attempt.body;
    answer.contentType = attempt.contentType;
    return answer;
}

}
