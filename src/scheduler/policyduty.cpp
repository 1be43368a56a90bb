// Requests to the placement policy: turns, answers, log lines and metrics.
#include "policyduty.h"

#include <algorithm>

#include <mangocourse/policyturns.h>

#include "clocks.h"

namespace MangoCourse {

namespace {

using std::chrono::milliseconds;

// Without a notification the needs are reviewed at this interval while a step may need the policy.
constexpr milliseconds reviewInterval{250};
constexpr milliseconds idleInterval{60'000};
// After a review without a request the duty pauses for this multiple of its time, between the two bounds, so that planning is not starved.
constexpr int reviewRestFactor = 4;
constexpr milliseconds minReviewRest{3};
constexpr milliseconds maxReviewRest{50};

constexpr const char *waitingGauge = "mangocourse_policy_waiting_steps";
constexpr const char *longestWaitGauge = "mangocourse_policy_longest_wait_seconds";

PolicyOutcome outcomeOf(const Result<PolicyAnswer> &answer)
{
    if (answer) {
        return PolicyOutcome::Answered;
    }
    switch (answer.error().code) {
    case ErrorCode::Timeout:
        return PolicyOutcome::TimedOut;
    case ErrorCode::Unavailable:
        return PolicyOutcome::Unreachable;
    case ErrorCode::Refused:
        return PolicyOutcome::Busy;
    default:
        return PolicyOutcome::Failed;
    }
}

std::int64_t millisecondsSince(TimePoint since, TimePoint now)
{
    return std::chrono::duration_cast<milliseconds>(now - since).count();
}

}

class PolicyDuty::Private
{
public:
    Private(net::io_context &context, PolicyPort &policy, EventLog &log, Metrics &metrics, Event &wanted, ListOwners listOwners)
        : context(context)
        , policy(policy)
        , log(log)
        , metrics(metrics)
        , wanted(wanted)
        , listOwners(std::move(listOwners))
    {
    }

    net::io_context &context;
    PolicyPort &policy;
    EventLog &log;
    Metrics &metrics;
    Event &wanted;
    ListOwners listOwners;
    PolicyTurns turns;
    bool isStopped = false;

    net::awaitable<void> run();
    // Takes the next turn, if a step needs one. Returns how long to wait for a notification before the next review, zero after a request.
    net::awaitable<milliseconds> takeTurn();
    net::awaitable<void> ask(ShardOwner &owner, const PolicyNeed &need, const PolicyRequest &request);
    void updateGauges(const std::vector<QueuePolicyNeeds> &needs, TimePoint now);
    void logRequest(const PolicyRequest &request, TimePoint askedAt, const Result<PolicyAnswer> &answer, PolicyOutcome outcome);
    void logContact(PolicyOutcome outcome, const std::string &reason);
};

void PolicyDuty::Private::updateGauges(const std::vector<QueuePolicyNeeds> &needs, TimePoint now)
{
    this->metrics.removeGauge(waitingGauge);
    this->metrics.removeGauge(longestWaitGauge);
    for (const QueuePolicyNeeds &queue : needs) {
        const std::string label = "queue=\"" + queue.queue.value + "\"";
        const double wait = queue.waiting > 0 ? static_cast<double>(millisecondsSince(queue.longestWaiting.since, now)) / 1000.0 : 0.0;
        this->metrics.set(waitingGauge, "Steps that need an answer of the placement policy to start.", queue.waiting, label);
        this->metrics.set(longestWaitGauge, "Longest time for which a step has needed an answer of the placement policy.", wait, label);
    }
}

void PolicyDuty::Private::logContact(PolicyOutcome outcome, const std::string &reason)
{
    // Called before the turn ends, so the failures are those before this request.
    if (outcome != PolicyOutcome::Answered && this->turns.failures() == 0) {
        this->log.emit("policy_lost", {{"outcome", toString(outcome)}, {"reason", reason}}, EventPriority::Essential);
    } else if (outcome == PolicyOutcome::Answered && this->turns.failures() > 0) {
        this->log.emit("policy_regained", {{"failures", std::int64_t(this->turns.failures())}}, EventPriority::Essential);
    }
}

void PolicyDuty::Private::logRequest(const PolicyRequest &request, TimePoint askedAt, const Result<PolicyAnswer> &answer, PolicyOutcome outcome)
{
    const TimePoint now = bootNow();
    const std::int64_t pause = std::max<std::int64_t>(0, millisecondsSince(now, this->turns.pausedUntil()));
    const auto waited = std::chrono::duration_cast<std::chrono::microseconds>(askedAt - request.neededSince);
    this->log.emit("policy_asked",
        {{"job", request.step.job.value}, {"occurrence", std::int64_t(request.step.occurrence)}, {"step", std::int64_t(request.step.step)},
            {"queue", request.queue.value}, {"purpose", toString(request.purpose)}, {"named", std::int64_t(request.executors.size())},
            {"allowed", answer ? std::int64_t(answer->passes.size()) : std::int64_t(0)}, {"waited_ms", millisecondsSince(request.neededSince, askedAt)},
            {"took_ms", millisecondsSince(askedAt, now)}, {"expected_ms", std::int64_t(request.expectedDuration.count())}, {"outcome", toString(outcome)},
            {"reason", answer ? std::string() : describe(answer.error())}, {"failures", std::int64_t(this->turns.failures())}, {"pause_ms", pause}},
        outcome == PolicyOutcome::Answered ? EventPriority::Routine : EventPriority::Essential);
    const std::string label = "outcome=\"" + std::string(toString(outcome)) + "\"";
    this->metrics.add("mangocourse_policy_requests_total", "Requests to the placement policy, by outcome.", label);
    this->metrics.add("mangocourse_policy_executors_named_total", "Executors that requests to the placement policy named.", {}, request.executors.size());
    this->metrics.observe("mangocourse_policy_wait_seconds", "Time from a step's need of the placement policy to its request.",
        "purpose=\"" + std::string(toString(request.purpose)) + "\"", waited);
    this->metrics.observe("mangocourse_policy_answer_seconds", "Duration of requests to the placement policy, by outcome.", label, now - askedAt);
}

net::awaitable<void> PolicyDuty::Private::ask(ShardOwner &owner, const PolicyNeed &need, const PolicyRequest &request)
{
    const TimePoint askedAt = bootNow();
    const milliseconds timeout = this->turns.begin(request.queue, need, request.expectedDuration, askedAt);
    const Result<PolicyAnswer> answer = co_await this->policy.advise(request.step, request.executors, timeout);
    const bool isUsable = answer && answer->validity > milliseconds::zero();
    const PolicyOutcome outcome = answer && !isUsable ? PolicyOutcome::Failed : outcomeOf(answer);
    this->logContact(outcome, answer ? std::string("the answer has no validity") : describe(answer.error()));
    this->turns.end(outcome, bootNow());
    this->logRequest(request, askedAt, answer, outcome);
    if (isUsable) {
        owner.onPolicyAnswer(request.step, *answer);
    } else {
        owner.onPolicyFailure(request.step, outcome);
    }
}

net::awaitable<milliseconds> PolicyDuty::Private::takeTurn()
{
    const milliseconds pause(millisecondsSince(bootNow(), this->turns.pausedUntil()));
    if (pause > milliseconds::zero()) {
        co_await sleepFor(this->context, pause);
    }
    const TimePoint now = bootNow();
    std::vector<QueuePolicyNeeds> needs;
    std::vector<std::shared_ptr<ShardOwner>> owners;
    bool mayNeedPolicy = false;
    for (const std::shared_ptr<ShardOwner> &owner : this->listOwners()) {
        mayNeedPolicy = mayNeedPolicy || owner->mayNeedPolicy();
        for (QueuePolicyNeeds &queue : owner->policyNeeds()) {
            needs.push_back(std::move(queue));
            owners.push_back(owner);
        }
    }
    this->updateGauges(needs, now);
    const std::optional<PolicyTurns::Choice> choice = this->turns.choose(needs, now);
    if (!choice) {
        const milliseconds rest = std::chrono::duration_cast<milliseconds>(reviewRestFactor * (bootNow() - now));
        co_await sleepFor(this->context, std::clamp(rest, minReviewRest, maxReviewRest));
        co_return mayNeedPolicy ? reviewInterval : idleInterval;
    }
    const std::shared_ptr<ShardOwner> owner = owners[choice->queue];
    const std::optional<PolicyRequest> request = owner->takePolicyRequest(choice->need.step);
    if (!request) {
        co_return minReviewRest;
    }
    co_await this->ask(*owner, choice->need, *request);
    co_return milliseconds::zero();
}

net::awaitable<void> PolicyDuty::Private::run()
{
    while (!this->isStopped) {
        const milliseconds wait = co_await this->takeTurn();
        if (wait > milliseconds::zero() && !this->isStopped) {
            co_await this->wanted.waitFor(wait);
        }
    }
}

PolicyDuty::PolicyDuty(std::unique_ptr<Private> impl)
    : d(std::move(impl))
{
}

PolicyDuty::~PolicyDuty() = default;

std::shared_ptr<PolicyDuty> PolicyDuty::create(
    net::io_context &context, PolicyPort &policy, EventLog &log, Metrics &metrics, Event &wanted, ListOwners listOwners)
{
    auto impl = std::make_unique<Private>(context, policy, log, metrics, wanted, std::move(listOwners));
    return std::shared_ptr<PolicyDuty>(new PolicyDuty(std::move(impl)));
}

void PolicyDuty::start()
{
    net::co_spawn(
        this->d->context,
        [self = this->shared_from_this()]() -> net::awaitable<void> {
            co_await self->d->run();
        },
        net::detached);
}

void PolicyDuty::stop()
{
    this->d->isStopped = true;
    this->d->wanted.notify();
}

}
