// Schedules maintenance waves and assigns the fleet's instances to pools. Instances are called machines in stored records and on the wire.
// Performs no I/O: callers pass in reports, listings and the time, and carry out the orders.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string_view>
#include <vector>

#include <mangocourse/clock.h>
#include <mangocourse/execution.h>
#include <mangocourse/fleetconfig.h>
#include <mangocourse/quotadivision.h>

namespace MangoCourse {

// The runs on one executor of a pool, as the pool's owner reports them.
struct ExecutorUsage {
    ExecutorId executor;
    std::int64_t incarnation = 0;
    std::int32_t runs = 0;
    std::int32_t longRunning = 0;
    // False while the owner cannot contact the executor; its counts may then be out of date.
    bool isReachable = true;

    bool operator==(const ExecutorUsage &) const = default;
};

// The demand and the executors of one pool, reported by its owner. Reports of a pool are ordered by fencing token, then by number.
struct PoolReport {
    ServiceId service;
    std::int64_t token = 0;
    std::int64_t number = 0;
    // Number of the newest EvacuationList that the owner has applied.
    std::int64_t appliedEvacuationNumber = 0;
    // CPU requested by long-running work, running or queued, in thousandths of a core.
    std::int64_t longRunningCpu = 0;
    // Arrival rate of finite work in core-ms per second, extrapolated when it rises.
    std::int64_t inflow = 0;
    // Unfinished finite work in core-ms: jobs that can still meet their objective, and jobs that cannot.
    std::int64_t backlog = 0;
    std::int64_t lateBacklog = 0;
    // CPU requested by the ready items of finite work, running or queued, in thousandths of a core.
    std::int64_t readyCpu = 0;
    // Most instances that any one step needs because of its limit of items per executor.
    std::int32_t spread = 0;
    std::vector<ExecutorUsage> executors;
    // Highest number of a division that the owner has applied and then confirmed that it held the pool.
    std::int64_t appliedDivisionNumber = 0;
    // Every run of a limited account that may be active is in `accounts`.
    bool isUsageComplete = false;
    // The limited accounts that use or want something.
    std::vector<AccountDemand> accounts;
    // Number of the confirmed divisions that have last changed a share of this pool. Not part of the record.
    std::int64_t shareNumber = 0;

    bool operator==(const PoolReport &) const = default;
};

enum class EvacuationPurpose {
    Maintenance,
    Move,
};

// An instance that is drained before maintenance or a move to another pool. The entry is kept until the instance is back, so that no work
// is placed on the incarnation that is about to end.
struct Evacuation {
    MachineId machine;
    // The incarnation that receives no new work; the identifier is empty for an instance that is off.
    ExecutorId executor;
    std::int64_t incarnation = 0;
    EvacuationPurpose purpose = EvacuationPurpose::Maintenance;
    WaveId wave;
    ServiceId target;
    // True once the platform has confirmed the order.
    bool isOrderConfirmed = false;
    // Number of the first EvacuationList that contained this entry.
    std::int64_t firstListNumber = 0;

    bool operator==(const Evacuation &) const = default;
};

// State that the planner persists, so that its successor continues from it.
struct PlannerState {
    // Version of the evacuation list; increases with every change.
    std::int64_t number = 0;
    std::vector<Evacuation> evacuations;
    // Incarnations that an order has ended. Discovery lists them for a while longer; they receive no work.
    struct EndedIncarnation {
        std::int64_t incarnation = 0;
        WallTime at{};

        bool operator==(const EndedIncarnation &) const = default;
    };
    std::map<ExecutorId, EndedIncarnation> ended;
    // When an order was last recorded for an instance; old entries are dropped.
    std::map<MachineId, WallTime> orderedAt;
    // Progress of one maintenance wave; `seenAt` is when the planner first saw it.
    struct Wave {
        std::set<MachineId> startedMachines;
        WallTime seenAt{};
        bool isCompleted = false;

        bool operator==(const Wave &) const = default;
    };
    std::map<WaveId, Wave> waves;

    bool operator==(const PlannerState &) const = default;

    // Returns the list that the owners of the pools apply.
    EvacuationList evacuationList() const;
};

// The size that the last plan computed for a pool, for the log.
struct PoolNeed {
    ServiceId service;
    std::int32_t needed = 0;
    std::int32_t size = 0;
    std::int64_t inflow = 0;
    std::int64_t backlog = 0;
    // Instances of the pool that `size` excludes: those being evacuated and those that the owner cannot reach.
    std::int32_t leaving = 0;
    std::int32_t unreachable = 0;
    // Age of the pool's report when the plan was made; negative without a report.
    std::chrono::milliseconds reportAge{};
};

// Orders for instances that have been drained.
struct PlannerOrders {
    std::vector<Evacuation> maintain;
    std::vector<Evacuation> move;
};

// Result of one order to move or maintain a machine.
enum class MachineOutcome {
    Done,
    Fenced,
    Busy,
    NotInWave,
    Invalid,
    Throttled,
    // The order did not reach the platform.
    NotSent,
    // An attempt got no reply: the order may have been carried out.
    Unknown,
};

constexpr std::string_view toString(MachineOutcome outcome)
{
    constexpr std::string_view names[] = {"done", "fenced", "busy", "not-in-wave", "invalid", "throttled", "not-sent", "unknown"};
    return names[static_cast<std::size_t>(outcome)];
}

// As outcomeOfOrder(OrderOutcome, bool), for an order to a machine: one that has begun makes the machine busy, so that a repeat is refused.
constexpr MachineOutcome outcomeOfOrder(MachineOutcome lastAnswer, bool hasUnansweredAttempt)
{
    const bool coversAllAttempts = lastAnswer == MachineOutcome::Done || lastAnswer == MachineOutcome::Fenced;
    return hasUnansweredAttempt && !coversAllAttempts ? MachineOutcome::Unknown : lastAnswer;
}

// Timing parameters of the planner.
struct PlannerSettings {
    // How long an instance is away for a move, and for maintenance.
    std::chrono::milliseconds moveTime{1500};
    std::chrono::milliseconds maintenanceTime{2000};
    // How long a pool has to be larger than needed before its surplus is moved to the standby pool.
    std::chrono::milliseconds parkDelay{4500};
};

// The planner of the whole fleet. Not safe for concurrent use.
class FleetPlanner
{
public:
    // Creates a planner that continues from `state`. It gives no order for an instance in `heldUntil` before that time, because an order of
    // the previous planner may still be in flight.
    static Result<std::unique_ptr<FleetPlanner>> create(PlannerSettings settings, PlannerState state, std::map<MachineId, TimePoint> heldUntil = {});
    ~FleetPlanner();

    void setConfig(const FleetConfig &config);
    void setWaves(const std::map<WaveId, MaintenanceWave> &waves, WallTime now);
    void setMachines(const std::vector<MachineInfo> &machines, TimePoint now);
    void setReport(const PoolReport &report, TimePoint now);

    // Updates the evacuations and returns the orders to carry out now, each one once. The caller must report the outcome of each order through
    // onMaintenanceOutcome() or onMoveOutcome().
    PlannerOrders plan(TimePoint now, WallTime wallNow);
    // Record the outcome of an order. `isDone`: it was carried out. `isOutcomeUnknown`: there was no answer, so a later listing decides.
    void onMaintenanceOutcome(const Evacuation &order, bool isDone, bool isOutcomeUnknown, TimePoint now);
    void onMoveOutcome(const Evacuation &order, bool isDone, bool isOutcomeUnknown, TimePoint now);
    // Records that the platform has refused an order for maintenance because the instance is not of the wave. The instance goes on.
    void onNotInWave(const Evacuation &order);

    const PlannerState &state() const;
    const std::vector<PoolNeed> &needs() const;

    // Returns true while a wave or an evacuation is open, which calls for frequent listings.
    bool hasPendingWork() const;

private:
    class Private;
    explicit FleetPlanner(std::unique_ptr<Private> impl);
    std::unique_ptr<Private> d;
};

}
