// Orders to executors, the replies to them, and the reports of executors.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <mangocourse/job.h>

namespace MangoCourse {

// Executor incarnations by id: all up to the given incarnation, or every incarnation if it is 0.
using ExecutorIncarnations = std::map<ExecutorId, std::int64_t>;

// Executors that get no work, sent by the fleet planner to the pool owners. The number rises with each change.
struct EvacuationList {
    std::int64_t number = 0;
    // Incarnations whose runs must move to other executors.
    ExecutorIncarnations evacuating;
    // Incarnations that an order has ended; discovery may still list them.
    ExecutorIncarnations ended;

    bool operator==(const EvacuationList &) const = default;
};

// Returns true if `executors` includes the incarnation.
inline bool includesIncarnation(const ExecutorIncarnations &executors, const ExecutorId &id, std::int64_t incarnation)
{
    const auto entry = executors.find(id);
    return entry != executors.end() && (entry->second == 0 || incarnation <= entry->second);
}

// Result of one order to an executor.
enum class OrderOutcome {
    Done,
    // Another owner has already used a higher fencing token.
    Fenced,
    // A run of the item with the same or a higher number was stopped or ended on the executor.
    Stale,
    // The order arrived after its deadline.
    Late,
    NoRoom,
    // The pass of the placement policy is missing or has expired.
    NoPass,
    // Another incarnation answers at the address.
    OtherBoot,
    Invalid,
    // The executor is unhealthy and did not carry out the order.
    Unhealthy,
    // The order did not reach the executor.
    NotSent,
    // Not sent: no connection is known to lead to the incarnation that the order is for.
    Withheld,
    // An attempt got no reply: the order may have been carried out, or may still be, even seconds later.
    Unknown,
};

constexpr std::string_view toString(OrderOutcome outcome)
{
    constexpr std::string_view names[]
        = {"done", "fenced", "stale", "late", "no-room", "no-pass", "other-boot", "invalid", "unhealthy", "not-sent", "withheld", "unknown"};
    return names[static_cast<std::size_t>(outcome)];
}

// Returns what the answer to the last attempt of an order says about the order as a whole. `hasUnansweredAttempt`: an earlier attempt got no
// answer. A refusal holds only for the attempt that it answers; the earlier one may have been carried out, or may still be.
constexpr OrderOutcome outcomeOfOrder(OrderOutcome lastAnswer, bool hasUnansweredAttempt)
{
    const bool coversAllAttempts = lastAnswer == OrderOutcome::Done || lastAnswer == OrderOutcome::Fenced || lastAnswer == OrderOutcome::OtherBoot;
    return hasUnansweredAttempt && !coversAllAttempts ? OrderOutcome::Unknown : lastAnswer;
}

// Reason for the end of a run. Only Failed counts against the retry budget.
enum class RunEnd {
    Done,
    Failed,
    // By a stop order.
    Stopped,
    // The lease expired.
    Lapsed,
    Broken,
    Alone,
};

// An active run, as its executor reports it.
struct ReportedRun {
    ItemId item;
    std::int64_t run = 0;
    std::string checkpoint;
    // Percentage of full speed, 0 to 100. A long-running item reaches 100 once it is in full operation.
    std::int32_t percent = 0;
    // Tail latency in ms of a serving item; CPU in use of any other item.
    std::int64_t load = 0;
};

// An ended run, reported until it is acknowledged.
struct ReportedEnd {
    // Sequence number within the executor incarnation, for the acknowledgement.
    std::int64_t number = 0;
    ItemId item;
    std::int64_t run = 0;
    RunEnd end = RunEnd::Failed;
    std::string checkpoint;
};

// Reply of an executor to a lease renewal.
struct ExecutorReport {
    OrderOutcome outcome = OrderOutcome::Unknown;
    // Reading of the executor's monotonic clock.
    std::optional<std::chrono::milliseconds> clock;
    std::int64_t incarnation = 0;
    std::vector<ReportedRun> running;
    std::vector<ReportedEnd> ended;
    // False if a part could not be read or had no room: what the report does not list may exist.
    bool isComplete = true;
    // Ends are left out because a report lists a limited number. They are listed once those before them are acknowledged.
    bool hasMoreEnds = false;
    // False if the renewal was sent without its acknowledgement, as no connection was left that the incarnation had answered on.
    bool hasAcknowledged = true;
};

struct OrderReply {
    OrderOutcome outcome = OrderOutcome::Unknown;
    std::optional<std::chrono::milliseconds> clock;
    // Outcome of the last attempt if an earlier one got no answer, for the log.
    std::optional<OrderOutcome> repeatOutcome{};
};

// Extends the lease of an executor, acknowledges ended runs and asks for a report.
struct LeaseRenewal {
    std::int64_t token = 0;
    // Highest number of an ended run that is durable with the owner; the executor may forget the ends up to it.
    std::int64_t acknowledgedEnd = 0;
    // New expiry of the lease on the executor's clock; absent if the lease must not be extended.
    std::optional<std::chrono::milliseconds> until;
    // Long-poll timeout: the executor may delay its reply this long while nothing changes.
    std::chrono::milliseconds wait{};
};

// Request to start a run.
struct StartRun {
    ItemId item;
    std::int64_t run = 1;
    std::int64_t token = 0;
    // Expiry of the lease on the executor's clock.
    std::chrono::milliseconds until{};
    std::string payload;
    std::string checkpoint;
    std::string pass;
};

// Request to stop a run.
struct StopRun {
    ItemId item;
    std::int64_t run = 0;
    std::int64_t token = 0;
};

// Request to limit a run to a percentage of its full speed.
struct PaceRun {
    ItemId item;
    std::int64_t run = 0;
    std::int64_t token = 0;
    std::int32_t percent = 100;
};

// Authorization by the placement policy to run a step on an executor.
struct PlacementPass {
    ExecutorId executor;
    std::string pass;
};

// Executors that the placement policy allows, and how long the passes are valid.
struct PolicyAnswer {
    std::vector<PlacementPass> passes;
    std::chrono::milliseconds validity{};
};

}
