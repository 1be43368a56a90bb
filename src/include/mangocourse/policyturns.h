// Turns at the placement policy, which answers one request of a process at a time. Pure state machine: no sockets, no threads, no clock of its own.
#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include <mangocourse/clock.h>
#include <mangocourse/fleetconfig.h>
#include <mangocourse/placementrank.h>

namespace MangoCourse {

// What a request is for, the most urgent first.
enum class PolicyPurpose {
    // Items of the step could start now on executors whose pass is missing.
    Start,
    // As Start, after a request for the step that the policy answered with an error.
    Retry,
    // No executor has room for the step yet, and the policy has not been asked about it so far.
    Prefetch,
    // Only executors that the policy ruled out some time ago have room.
    Recheck,
};
std::string_view toString(PolicyPurpose purpose);

// A step that needs an answer of the policy.
struct PolicyNeed {
    ItemId step;
    PolicyPurpose purpose = PolicyPurpose::Start;
    PlacementRank rank;
    // Time since which the step has needed the answer.
    TimePoint since{};
};

// The steps of one queue that need the policy.
struct QueuePolicyNeeds {
    QueueId queue;
    PolicyNeed mostUrgent;
    // Of the steps with the purpose Start or Retry; equal to `mostUrgent` if there is none.
    PolicyNeed longestWaiting;
    // Number of steps with the purpose Start or Retry.
    std::int32_t waiting = 0;
};

// The policy refuses requests that name more.
inline constexpr std::size_t maxExecutorsPerPolicyRequest = 100;

// How a request to the policy ended.
enum class PolicyOutcome {
    Answered,
    // The policy has too many requests waiting.
    Busy,
    // The policy answered with another error, or with something that cannot be read.
    Failed,
    // No connection could be made.
    Unreachable,
    TimedOut,
};
std::string_view toString(PolicyOutcome outcome);

// Returns how many executors to name so that `needed` of them are expected to be allowed at the least cost: another executor is named as long as its
// cost is below that of the further request that it may save. `allowedShare` is the probability, from 0 to 1, that the policy allows an executor. At
// most `available` and maxExecutorsPerPolicyRequest are named.
std::size_t choosePolicyRequestSize(const PlacementPolicy &cost, std::size_t needed, std::size_t available, double allowedShare);

// Decides whose turn it is at the policy, how long its answer is awaited, and how long to pause after failures. The queues share the time of the policy
// by their priority, so that none waits for the backlog of another; within a queue the most urgent step goes first.
class PolicyTurns
{
public:
    struct Choice {
        // Index of the queue in the argument of choose().
        std::size_t queue = 0;
        PolicyNeed need;
    };

    // Returns the step that has the next turn; nothing if no step needs one, a turn is taken, or a pause lasts.
    std::optional<Choice> choose(const std::vector<QueuePolicyNeeds> &queues, TimePoint now) const;

    // Begins the turn that choose() returned. `expected` is the declared duration of the request. Returns the time to wait for the answer.
    std::chrono::milliseconds begin(const QueueId &queue, const PolicyNeed &need, std::chrono::milliseconds expected, TimePoint now);
    void end(PolicyOutcome outcome, TimePoint now);

    // Returns the time before which there are no turns.
    TimePoint pausedUntil() const;
    // Returns the number of failed requests since the last answer.
    std::int32_t failures() const;

private:
    struct Turn {
        QueueId queue;
        std::int32_t priority = 0;
        std::chrono::milliseconds expected{};
        TimePoint startedAt{};
    };

    struct QueueShare {
        // Time that the queue has used, weighted by its priority, in ms.
        double usedTime = 0;
        std::int32_t turnsBegun = 0;
    };

    double virtualTimeOf(const QueueId &queue) const;

    std::optional<Turn> turn;
    // Queues that are absent have used as much time as the one that was served last.
    std::map<QueueId, QueueShare> shares;
    // Used time of the queue that was served last.
    double virtualTime = 0;
    std::int32_t failuresInSequence = 0;
    // Time-outs since the last answer that came within the first time to wait.
    std::int32_t timeoutsInSequence = 0;
    TimePoint pauseEnd{};
};

}
