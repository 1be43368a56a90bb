// Decides which machines are maintained, and which pool each machine serves. No sockets, threads or clock of its own.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <vector>

#include <mangocourse/clock.h>
#include <mangocourse/execution.h>
#include <mangocourse/fleetconfig.h>

namespace MangoCourse {

// What runs on one executor of a pool.
struct ExecutorUsage {
    ExecutorId executor;
    std::int64_t incarnation = 0;
    std::int32_t runs = 0;
    std::int32_t longRunning = 0;
    // The owner can reach it.
    bool isReachable = true;

    bool operator==(const ExecutorUsage &) const = default;
};

// A pool as its owner sees it. Reports of one pool are ordered by token, then number.
struct PoolReport {
    ServiceId service;
    std::int64_t token = 0;
    std::int64_t number = 0;
    // The newest evacuation list that the owner follows.
    std::int64_t appliedEvacuationNumber = 0;
    // Cores, in thousandths, taken by long-running work, started or waiting.
    std::int64_t longRunningCpu = 0;
    // Finite work: what comes in core-ms a second, with its trend, and what is not done yet in core-ms.
    std::int64_t inflow = 0;
    // Work that can still meet its objective, and work that cannot.
    std::int64_t backlog = 0;
    std::int64_t lateBacklog = 0;
    // The most machines that one step has to spread over.
    std::int32_t spread = 0;
    std::vector<ExecutorUsage> executors;

    bool operator==(const PoolReport &) const = default;
};

enum class EvacuationPurpose {
    Maintenance,
    Move,
};

// A machine that is to be emptied, and what for. The entry stays until the machine is back, so that nobody places work on a life that ends.
struct Evacuation {
    MachineId machine;
    // The machine's life that gets no more work; empty for a machine that is off.
    ExecutorId executor;
    std::int64_t incarnation = 0;
    EvacuationPurpose purpose = EvacuationPurpose::Maintenance;
    WaveId wave;
    ServiceId target;
    // The order was carried out.
    bool isOrderConfirmed = false;
    // The number of the first list that had it.
    std::int64_t firstListNumber = 0;

    bool operator==(const Evacuation &) const = default;
};

// The planner's durable state.
struct PlannerState {
    // Rises with each change of the evacuations.
    std::int64_t number = 0;
    std::vector<Evacuation> evacuations;
    // Lives that an order ended. Discovery still shows them for a while; they get no work either.
    struct EndedIncarnation {
        std::int64_t incarnation = 0;
        WallTime at{};

        bool operator==(const EndedIncarnation &) const = default;
    };
    std::map<ExecutorId, EndedIncarnation> ended;
    // Machines that were ordered lately.
    std::map<MachineId, WallTime> orderedAt;
    // Machines whose maintenance has begun, and when the wave was first seen.
    struct Wave {
        std::set<MachineId> startedMachines;
        WallTime seenAt{};
        bool isCompleted = false;

        bool operator==(const Wave &) const = default;
    };
    std::map<WaveId, Wave> waves;

    bool operator==(const PlannerState &) const = default;

    EvacuationList evacuationList() const;
};

// What the last plan took a pool to need, for the log.
struct PoolNeed {
    ServiceId service;
    std::int32_t needed = 0;
    std::int32_t size = 0;
    std::int64_t inflow = 0;
    std::int64_t backlog = 0;
    // Machines of the pool that do not count as its own: on their way out, and those that its owner cannot reach.
    std::int32_t leaving = 0;
    std::int32_t unreachable = 0;
    // Age of the pool's report when the plan was made; negative where there is none.
    std::chrono::milliseconds reportAge{};
};

struct PlannerOrders {
    std::vector<Evacuation> maintain;
    std::vector<Evacuation> move;
};

// Figures that the planning depends on.
struct PlannerSettings {
    std::chrono::milliseconds moveTime{1500};
    std::chrono::milliseconds maintenanceTime{2000};
    // A machine has to be needless for this long before it is parked.
    std::chrono::milliseconds parkDelay{4500};
};

// One planner for the whole fleet. Calls come from one thread.
class FleetPlanner
{
public:
    // `heldUntil` names machines that an earlier planner may have ordered so lately that this one has to keep away from them.
    static Result<std::unique_ptr<FleetPlanner>> create(PlannerSettings settings, PlannerState state, std::map<MachineId, TimePoint> heldUntil = {});
    ~FleetPlanner();

    void setConfig(const FleetConfig &config);
    void setWaves(const std::map<WaveId, MaintenanceWave> &waves, WallTime now);
    void setMachines(const std::vector<MachineInfo> &machines, TimePoint now);
    void setReport(const PoolReport &report, TimePoint now);

    // Updates the evacuations and returns the orders that may be given now. Each is given once; its result must be told.
    PlannerOrders plan(TimePoint now, WallTime wallNow);
    // `isDone` where the order was carried out; `isOutcomeUnknown` where nobody knows, until the next list of machines.
    void onMaintenanceOutcome(const Evacuation &order, bool isDone, bool isOutcomeUnknown, TimePoint now);
    void onMoveOutcome(const Evacuation &order, bool isDone, bool isOutcomeUnknown, TimePoint now);

    const PlannerState &state() const;
    const std::vector<PoolNeed> &needs() const;

    // Returns true while something is to be done that needs a fresh list of machines.
    bool hasPendingWork() const;

private:
    class Private;
    explicit FleetPlanner(std::unique_ptr<Private> impl);
    std::unique_ptr<Private> d;
};

}
