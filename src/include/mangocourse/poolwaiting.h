// Why accepted work waits: types for logs, metrics and state dumps.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <mangocourse/job.h>

namespace MangoCourse {

// Why a ready item has no run.
enum class WaitReason {
    // The job has waited too briefly, or too many others wait, to tell.
    Unexamined,
    // plan() has not been called for longer than the first report takes.
    NoPlan,
    // The ownership term is too short for a lease.
    ShortTerm,
    // Cancellations or draining executors may be unread.
    OldWatermarks,
    // No service in the configuration takes the job.
    Unassigned,
    // The job is not among those that plan() looks at.
    NotPlaceable,
    // The start intent is not durable.
    IntentNotDurable,
    // Executors that may hold a run of a previous owner have not been asked yet.
    PreviousRuns,
    // The last run was lost, and the ownership has not been confirmed since it can have been active.
    PossiblyActive,
    // Other members of the gang still run.
    GangIncomplete,
    // The placement policy has not answered.
    PolicyUnanswered,
    // Discovery lists no executor of the pool.
    NoExecutor,
    // Executors are listed, but none is usable.
    NoUsableExecutor,
    // No usable executor has room; of a gang, not for all members.
    NoRoom,
    // Usable executors have room, but not the label, or have as many items of the step as they may.
    Constraint,
    // Usable executors have room, but no pass of the placement policy.
    NoPass,
    // The account's share of its limit is in use, or is not known yet.
    AccountLimit,
    // Usable executors have room, but as many orders are under way as may be, to these executors or in the process.
    OrdersHeld,
    // A usable executor has room and nothing hinders the item.
    NotTried,
    // A start order is in flight, or the executor lists neither the run nor its end.
    RunUnlisted,
};
inline constexpr std::size_t waitReasonCount = static_cast<std::size_t>(WaitReason::RunUnlisted) + 1;
std::string_view toString(WaitReason reason);

// Whether an executor can get work, and otherwise why not: the first reason that applies.
enum class ExecutorUsability {
    Usable,
    // Discovery no longer lists the incarnation.
    Unlisted,
    Draining,
    // No renewal has succeeded so far.
    NeverContacted,
    // Renewals fail since the last success.
    Failing,
    // The use of the executor is not durable yet.
    NotRecorded,
    NoClock,
    // It is passed over for a while after failures or refused orders.
    Avoided,
    Evacuated,
    // A start was withheld from it. It has to answer before it is known where a new connection leads.
    Unproven,
    // Its list of ended runs is longer than one report, and has not been read to the end.
    UnreadEnds,
    // It holds runs of ended or unknown jobs, which take an unknown part of its capacity until they have stopped.
    Clearing,
};
inline constexpr std::size_t executorUsabilityCount = static_cast<std::size_t>(ExecutorUsability::Clearing) + 1;
std::string_view toString(ExecutorUsability usability);

// Numbers of executors by usability.
using UsabilityCounts = std::array<std::int32_t, executorUsabilityCount>;

// What keeps an item from an executor.
enum class PlacementObstacle {
    None,
    Cpu,
    Memory,
    Accelerators,
    Label,
    // A run of the item is there already.
    RunsHere,
    PerExecutorLimit,
    Pass,
};
inline constexpr std::size_t placementObstacleCount = static_cast<std::size_t>(PlacementObstacle::Pass) + 1;
std::string_view toString(PlacementObstacle obstacle);

// Numbers of usable executors by what keeps an item from them.
using ObstacleCounts = std::array<std::int32_t, placementObstacleCount>;

// A ready item that waits, and what the owner knows about the cause.
struct WaitingItem {
    ItemId item;
    WaitReason reason = WaitReason::Unexamined;
    // Since it became ready, accurate to the interval of the reviews.
    std::chrono::milliseconds age{};
    // Since the job was accepted.
    std::chrono::milliseconds sinceAccepted{};
    UsabilityCounts executors{};
    ObstacleCounts obstacles{};
    // Longest time for which renewals of a listed executor have been failing.
    std::chrono::milliseconds failingFor{};
    // Executors that list neither a run nor its end.
    std::int32_t unlistedRuns = 0;
    // Longest time between two plans since the previous review, or since the last plan.
    std::chrono::milliseconds planGap{};
    // Ages of what the last plan was based on.
    std::chrono::milliseconds requestsAge{};
    std::chrono::milliseconds executorsAge{};
    std::chrono::milliseconds confirmedAge{};
    // Remaining ownership term.
    std::chrono::milliseconds termLeft{};
    // The executors that the item waits for, if the reason names some.
    std::string waitsFor;
};

// A run that its executor has listed neither as running nor as ended.
struct UnlistedRun {
    ItemId item;
    ExecutorId executor;
    std::int64_t run = 0;
    std::string_view phase;
    // Since the order, or since the executor last listed the run.
    std::chrono::milliseconds age{};
    // Since the last report of the executor; negative if there was none.
    std::chrono::milliseconds reportAge{};
};

// Why the work of a client account waits while it competes with other accounts.
enum class AccountWaitReason {
    // All its waiting jobs are beyond its rate.
    BeyondRate,
    // All its waiting jobs are late or beyond its rate.
    Late,
    // Other accounts with waiting work have a lower position.
    Position,
    // It is the next account, but its work finds no place.
    Next,
};
std::string_view toString(AccountWaitReason reason);

// A client account with work that waits.
struct WaitingAccount {
    // Empty for the jobs without an account.
    AccountId account;
    AccountWaitReason reason = AccountWaitReason::Next;
    double weight = 0;
    // Dominant share of the pool by weight.
    double position = 0;
    // Place among the accounts with waiting work by position, from 1, and their number.
    std::int32_t rank = 0;
    std::int32_t accounts = 0;
    Resources running;
    std::int32_t waitingJobs = 0;
    std::int32_t beyondRate = 0;
    std::int32_t late = 0;
    // Since its work began to wait, and since its last start; the latter is negative if this owner has started nothing of it.
    std::chrono::milliseconds age{};
    std::chrono::milliseconds sinceStart{};
};

// Totals of a client account.
struct AccountLoad {
    AccountId account;
    Resources running;
    // As of the last review.
    std::size_t waitingJobs = 0;
};

// Lines to log.
struct WaitingReview {
    std::vector<WaitingItem> items;
    std::vector<UnlistedRun> runs;
    std::vector<WaitingAccount> accounts;
};

// Totals for state dumps and metrics.
struct PoolWaiting {
    // Numbers of jobs by the reason for which they wait, as of the last review.
    std::array<std::size_t, waitReasonCount> jobs{};
    UsabilityCounts executors{};
    // Accounts with open jobs or runs; empty if no job has an account.
    std::vector<AccountLoad> accounts{};
};

}
