// Runs of work items on executors: orders, their answers, and what executors report.
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

// Lives of executors that get no work: by id, the latest birth that is meant. A birth of 0 means every life under that id.
using ExecutorIncarnations = std::map<ExecutorId, std::int64_t>;

// What the planner of the machines tells the pools' owners. Each change has a higher number.
struct EvacuationList {
    std::int64_t number = 0;
    // Lives whose machines are to be emptied.
    ExecutorIncarnations evacuating;
    // Lives that an order has ended; discovery may still show them.
    ExecutorIncarnations ended;

    bool operator==(const EvacuationList &) const = default;
};

// Returns true where the lives include this one.
inline bool includesIncarnation(const ExecutorIncarnations &lives, const ExecutorId &id, std::int64_t incarnation)
{
    const auto life = lives.find(id);
    return life != lives.end() && (life->second == 0 || incarnation <= life->second);
}

// One call's answer to an order.
enum class OrderOutcome {
    Done,
    // Another owner has used a higher token.
    Fenced,
    // The run number is not higher than one that was stopped or ended there.
    Stale,
    // The order's time had passed.
    Late,
    NoRoom,
    // The placement policy's pass is missing or expired.
    NoPass,
    // Another boot answers at that address.
    OtherBoot,
    Invalid,
    // The executor is unhealthy and has done nothing.
    Unhealthy,
    // Nothing reached the executor.
    NotSent,
    // No answer: it may happen, even seconds later.
    Unknown,
};

constexpr std::string_view toString(OrderOutcome outcome)
{
    constexpr std::string_view names[] = {"done", "fenced", "stale", "late", "no-room", "no-pass", "other-boot", "invalid", "unhealthy", "not-sent", "unknown"};
    return names[static_cast<std::size_t>(outcome)];
}

// How a run ended. Only Failed counts as an attempt.
enum class RunEnd {
    Done,
    Failed,
    Stopped,
    Lapsed,
    Broken,
    Alone,
};

struct ReportedRun {
    ItemId item;
    std::int64_t run = 0;
    std::string checkpoint;
    // Share of full speed, 0 to 100; 100 once a long-running item is at work.
    std::int32_t percent = 0;
    // Tail latency in ms of a serving item, cpu in use of any other.
    std::int64_t load = 0;
};

struct ReportedEnd {
    std::int64_t number = 0;
    ItemId item;
    std::int64_t run = 0;
    RunEnd end = RunEnd::Failed;
    std::string checkpoint;
};

// An executor's answer to a lease renewal.
struct ExecutorReport {
    OrderOutcome outcome = OrderOutcome::Unknown;
    // The executor's own steady clock.
    std::optional<std::chrono::milliseconds> clock;
    std::int64_t incarnation = 0;
    std::vector<ReportedRun> running;
    std::vector<ReportedEnd> ended;
};

struct OrderReply {
    OrderOutcome outcome = OrderOutcome::Unknown;
    std::optional<std::chrono::milliseconds> clock;
};

struct LeaseRenewal {
    std::int64_t token = 0;
    std::int64_t acknowledgedEnd = 0;
    // On the executor's clock; absent: only look.
    std::optional<std::chrono::milliseconds> until;
    std::chrono::milliseconds wait{};
};

struct StartRun {
    ItemId item;
    std::int64_t run = 1;
    std::int64_t token = 0;
    std::chrono::milliseconds until{};
    std::string payload;
    std::string checkpoint;
    std::string pass;
};

struct StopRun {
    ItemId item;
    std::int64_t run = 0;
    std::int64_t token = 0;
};

struct PaceRun {
    ItemId item;
    std::int64_t run = 0;
    std::int64_t token = 0;
    std::int32_t percent = 100;
};

// A pass of the placement policy for one executor.
struct PlacementPass {
    ExecutorId executor;
    std::string pass;
};

struct PolicyAnswer {
    std::vector<PlacementPass> passes;
    std::chrono::milliseconds validity{};
};

}
