// Implementation of FleetPlanner, shared by fleetplanner.cpp (evacuations and orders) and fleetneeds.cpp (pool sizes).
#pragma once

#include <deque>
#include <set>
#include <unordered_map>
#include <unordered_set>

#include <mangocourse/fleetplanner.h>

namespace MangoCourse {

struct ReceivedReport {
    PoolReport report;
    TimePoint receivedAt{};
    // Index into report.executors by identifier.
    std::unordered_map<ExecutorId, std::size_t> indexByExecutor;
};

// An instance that a pool can give to another one; sorts by number of runs.
struct DonorMachine {
    std::int32_t runs = 0;
    MachineId machine;

    auto operator<=>(const DonorMachine &) const = default; // NOLINT(modernize-use-nullptr)
};

// One pool during one round of planning.
struct PlannedPool {
    ServiceId service;
    bool isStandby = false;
    // Instances that are up, not reported as unreachable and not being evacuated.
    std::vector<MachineId> up;
    // Instances that will join the pool or return to it.
    std::int32_t arriving = 0;
    std::int32_t leaving = 0;
    std::int32_t unreachable = 0;
    // Instances that are being drained of long-running work.
    std::int32_t longRunningEvacuations = 0;
    std::int64_t cpuPerMachine = 0;
    std::int32_t needed = 0;
    // Peak of `needed` over the last moments.
    std::int32_t recentPeak = 0;
    // Instances that would finish all open work, late work too, in the target time, or that its ready items occupy, if those are fewer. The pool
    // is not parked below this size.
    std::int32_t busySize = 0;
    // Instances that the long-running work needs by its CPU.
    std::int32_t longRunningMachines = 0;
    // Size that the pool keeps when instances are scarce.
    std::int32_t minSize = 0;
    const PoolReport *report = nullptr;
    // Instances that the pool can give away, the one with the fewest runs last; computed on first use.
    std::optional<std::vector<DonorMachine>> donorMachines;

    std::int32_t size() const
    {
        return static_cast<std::int32_t>(this->up.size()) + this->arriving;
    }
};

class FleetPlanner::Private
{
public:
    // An instance of a wave whose maintenance has not started.
    struct MaintenanceCandidate {
        const MachineInfo *machine = nullptr;
        std::int32_t longRunning = 0;
        // Number of runs; negative when no report covers the instance.
        std::int32_t runs = 0;
    };

    PlannerSettings settings;
    PlannerState state;
    FleetConfig config;
    std::map<WaveId, MaintenanceWave> waves;
    std::map<MachineId, MachineInfo> machines;
    WallTime wallNow{};
    std::map<ServiceId, ReceivedReport> reports;
    std::map<ServiceId, TimePoint> surplusSince;
    // Sliding-window maximum of each pool's need: times ascend, needs strictly descend.
    std::map<ServiceId, std::deque<std::pair<TimePoint, std::int32_t>>> needPeaks;
    std::vector<PoolNeed> needs;
    // The instances in state.evacuations, for fast lookup.
    std::unordered_set<MachineId> evacuating;
    std::map<MachineId, TimePoint> evacuatingSince;
    // Instances with an order in flight or a refused order, and when they may be ordered again.
    std::map<MachineId, TimePoint> noOrdersUntil;
    std::map<MachineId, TimePoint> heldUntil;
    // Evacuated instances of which the incarnation that was evacuated is listed as ended.
    std::set<MachineId> endsListed;
    // The incarnation that was up when the first order of an evacuation was given; 0 if unknown. No order of the evacuation ends a later one, as the platform
    // confirms the repeat of an order without carrying it out again.
    std::unordered_map<MachineId, std::int64_t> orderedIncarnations;

    std::map<ServiceId, PlannedPool> buildPools(TimePoint now) const;
    // When the needs exceed the fleet, scales what each pool needs above its minimum by the same factor.
    static void scaleNeedsToSupply(std::map<ServiceId, PlannedPool> &pools);
    void updateNeedPeaks(std::map<ServiceId, PlannedPool> &pools, TimePoint now);
    const PoolReport *freshReport(const ServiceId &service, TimePoint now) const;
    const ExecutorUsage *findUsage(const MachineInfo &machine, TimePoint now) const;
    bool isEvacuating(const MachineId &machine) const;
    bool isHeld(const MachineId &machine, TimePoint now) const;
    // Returns true when neither this planner nor its predecessor may have an order in flight for the instance.
    bool canOrder(const MachineId &machine, TimePoint now) const;
    const Evacuation *findEvacuation(const MachineId &machine) const;
    void evacuate(const MachineId &machine, EvacuationPurpose purpose, const WaveId &wave, const ServiceId &target, TimePoint now);
    void endEvacuation(const MachineId &machine);
    // Keeps the incarnation that the order can end.
    void recordOrder(const Evacuation &evacuation, TimePoint now);
    void confirmOrder(const MachineId &machine, TimePoint now);
    // Lists the evacuated incarnations that have ended. A confirmed order does not show it, as it may have been carried out before; the inventory does.
    void listEndedIncarnations();
    void startMaintenance(std::map<ServiceId, PlannedPool> &pools, TimePoint now, WallTime wallNow);
    // Returns the waiting instances in the order in which they are evacuated.
    std::vector<MaintenanceCandidate> sortByEvacuationTime(const std::vector<const MachineInfo *> &waiting, TimePoint now) const;
    // Returns true when the pool can spare one more instance, which holds `longRunning` long-running items.
    bool canEvacuate(const PlannedPool &pool, const std::map<ServiceId, PlannedPool> &pools, std::int32_t longRunning, bool isUrgent) const;
    // Returns how many instances the other pools can give to the pool.
    static std::int32_t countSpareElsewhere(const PlannedPool &pool, const std::map<ServiceId, PlannedPool> &pools);
    void planMoves(std::map<ServiceId, PlannedPool> &pools, TimePoint now);
    void growPool(PlannedPool &pool, std::map<ServiceId, PlannedPool> &pools, TimePoint now);
    // Returns true when the pool has an instance that it can give away.
    bool hasDonorMachine(PlannedPool &donor, TimePoint now) const;
    // Removes and returns the instance with the fewest runs. Requires hasDonorMachine().
    MachineId takeDonorMachine(PlannedPool &donor) const;
    void removeFinishedEvacuations(TimePoint now);
    bool isDrained(const Evacuation &evacuation, TimePoint now) const;
    std::int32_t countInMaintenance(const WaveId &wave) const;
};

}
