// Turns at the placement policy.
#include <mangocourse/policyturns.h>

#include <algorithm>
#include <numeric>

namespace MangoCourse {

namespace {

using std::chrono::milliseconds;

// One turn in this many goes to the step that has waited longest, so that late steps are not passed over as long as others come.
constexpr std::int32_t turnsPerLongestWaiting = 8;
// An answer is awaited for this multiple of its declared duration and for a margin, which doubles with each time-out in sequence: a request that was
// given up may keep its turn at the policy, and the next one waits for it there.
constexpr int expectedDurationFactor = 2;
constexpr milliseconds firstAnswerMargin{1000};
constexpr milliseconds maxAnswerMargin{3000};
// Pause after a failure, doubled with each further one.
constexpr milliseconds firstPause{100};
constexpr milliseconds maxPause{1000};

milliseconds doubled(milliseconds first, std::int32_t times, milliseconds limit)
{
    milliseconds value = first;
    for (std::int32_t count = 0; count < times && value < limit; ++count) {
        value *= 2;
    }
    return std::min(value, limit);
}

milliseconds answerTimeout(milliseconds expected, std::int32_t timeouts)
{
    return expectedDurationFactor * expected + doubled(firstAnswerMargin, timeouts, maxAnswerMargin);
}

}

std::string_view toString(PolicyPurpose purpose)
{
    constexpr std::string_view names[] = {"start", "retry", "prefetch", "recheck"};
    return names[static_cast<std::size_t>(purpose)];
}

std::string_view toString(PolicyOutcome outcome)
{
    constexpr std::string_view names[] = {"answered", "busy", "failed", "unreachable", "timed-out"};
    return names[static_cast<std::size_t>(outcome)];
}

std::size_t choosePolicyRequestSize(const PlacementPolicy &cost, std::size_t needed, std::size_t available, double allowedShare)
{
    const std::size_t limit = std::min(available, maxExecutorsPerPolicyRequest);
    if (needed >= limit) {
        return limit;
    }
    const auto each = static_cast<double>(cost.timePerExecutor.count());
    const double furtherRequest = static_cast<double>(cost.decisionTime.count()) + each;
    // allowed[k]: probability that k of the executors named so far are allowed, for k below `needed`.
    std::vector<double> allowed(std::max<std::size_t>(needed, 1), 0.0);
    allowed[0] = 1.0;
    std::size_t named = 0;
    double shortage = 1.0;
    while (named < limit && (named < needed || each <= furtherRequest * shortage)) {
        for (std::size_t count = allowed.size(); count-- > 0;) {
            const double fromBelow = count > 0 ? allowed[count - 1] * allowedShare : 0.0;
            allowed[count] = allowed[count] * (1.0 - allowedShare) + fromBelow;
        }
        ++named;
        shortage = std::accumulate(allowed.begin(), allowed.end(), 0.0);
    }
    return named;
}

double PolicyTurns::virtualTimeOf(const QueueId &queue) const
{
    const auto share = this->shares.find(queue);
    return share == this->shares.end() ? this->virtualTime : std::max(share->second.usedTime, this->virtualTime);
}

std::optional<PolicyTurns::Choice> PolicyTurns::choose(const std::vector<QueuePolicyNeeds> &queues, TimePoint now) const
{
    if (this->turn || now < this->pauseEnd || queues.empty()) {
        return std::nullopt;
    }
    const auto precedes = [this](const QueuePolicyNeeds &left, const QueuePolicyNeeds &right) {
        if (left.mostUrgent.purpose != right.mostUrgent.purpose) {
            return left.mostUrgent.purpose < right.mostUrgent.purpose;
        }
        const double leftTime = this->virtualTimeOf(left.queue);
        const double rightTime = this->virtualTimeOf(right.queue);
        return leftTime != rightTime ? leftTime < rightTime : left.mostUrgent.rank < right.mostUrgent.rank;
    };
    const auto next = std::min_element(queues.begin(), queues.end(), precedes);
    const auto share = this->shares.find(next->queue);
    const bool isForLongestWaiting = share != this->shares.end() && share->second.turnsBegun % turnsPerLongestWaiting == turnsPerLongestWaiting - 1;
    return Choice{static_cast<std::size_t>(next - queues.begin()), isForLongestWaiting ? next->longestWaiting : next->mostUrgent};
}

milliseconds PolicyTurns::begin(const QueueId &queue, const PolicyNeed &need, milliseconds expected, TimePoint now)
{
    this->turn = Turn{queue, std::max(0, need.rank.priority), expected, now};
    this->virtualTime = this->virtualTimeOf(queue);
    // Queues that have used less than this one are level with it when they come back.
    std::erase_if(this->shares, [this, &queue](const auto &entry) {
        return entry.second.usedTime < this->virtualTime && entry.first != queue;
    });
    ++this->shares[queue].turnsBegun;
    return answerTimeout(expected, this->timeoutsInSequence);
}

void PolicyTurns::end(PolicyOutcome outcome, TimePoint now)
{
    if (!this->turn) {
        return;
    }
    const double took = std::chrono::duration<double, std::milli>(now - this->turn->startedAt).count();
    this->shares[this->turn->queue].usedTime = this->virtualTime + took * (1 + this->turn->priority);
    // The policy is not slower than the first time to wait allows for.
    const bool isTimely = now - this->turn->startedAt <= answerTimeout(this->turn->expected, 0);
    this->turn.reset();
    if (outcome == PolicyOutcome::Answered) {
        this->failuresInSequence = 0;
        this->timeoutsInSequence = isTimely ? 0 : this->timeoutsInSequence;
        this->pauseEnd = now;
        return;
    }
    this->timeoutsInSequence += outcome == PolicyOutcome::TimedOut ? 1 : 0;
    // The first error may be due to the step that was asked about; others can go on.
    const std::int32_t pauses = this->failuresInSequence - (outcome == PolicyOutcome::Failed ? 1 : 0);
    ++this->failuresInSequence;
    this->pauseEnd = pauses < 0 ? now : now + doubled(firstPause, pauses, maxPause);
}

TimePoint PolicyTurns::pausedUntil() const
{
    return this->pauseEnd;
}

std::int32_t PolicyTurns::failures() const
{
    return this->failuresInSequence;
}

}
