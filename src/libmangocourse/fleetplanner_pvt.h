// The state behind FleetPlanner, shared by the pools' needs and the orders.
#pragma once

#include <deque>
#include <unordered_map>
#include <unordered_set>

#include <mangocourse/fleetplanner.h>

namespace MangoCourse {

struct KnownReport {
    PoolReport report;
    TimePoint at{};
    // The report's executors by name.
    std::unordered_map<ExecutorId, std::size_t> uses;
};

// A machine that a pool can give away, the one with the least work first.
struct Donation {
    std::int32_t runs = 0;
    MachineId machine;

    auto operator<=>(const Donation &) const = default; // NOLINT(modernize-use-nullptr)
};

struct PoolWatermarks {
    ServiceId service;
    bool isStandby = false;
    // Machines that are up and stay.
    std::vector<MachineId> up;
    // Machines on their way into the pool.
    std::int32_t coming = 0;
    std::int32_t leaving = 0;
    std::int32_t unreachable = 0;
    // Machines that are emptied of long-running work for their maintenance.
    std::int32_t emptyingLongRunning = 0;
    std::int64_t cpuPerMachine = 0;
    std::int32_t needed = 0;
    // The most that it needed lately.
    std::int32_t neededLately = 0;
    // What it keeps when machines are scarce.
    std::int32_t least = 0;
    const PoolReport *report = nullptr;
    // What it can give away, the best last; unset until somebody asks.
    std::optional<std::vector<Donation>> donations;

    std::int32_t size() const
    {
        return static_cast<std::int32_t>(this->up.size()) + this->coming;
    }
};

class FleetPlanner::Private
{
public:
    // A machine of a wave whose turn has not come.
    struct WaitingMachine {
        const MachineInfo *machine = nullptr;
        std::int32_t longRunning = 0;
        // What runs there; negative where nobody reports.
        std::int32_t runs = 0;
    };

    PlannerSettings settings;
    PlannerState state;
    FleetConfig config;
    std::map<WaveId, MaintenanceWave> waves;
    std::map<MachineId, MachineInfo> machines;
    WallTime wallNow{};
    std::map<ServiceId, KnownReport> reports;
    std::map<ServiceId, TimePoint> needlessSince;
    // Needs over the last moments, the highest first among those that are not older than a later one.
    std::map<ServiceId, std::deque<std::pair<TimePoint, std::int32_t>>> recentNeeds;
    std::vector<PoolNeed> needs;
    // The machines of all evacuations.
    std::unordered_set<MachineId> evacuating;
    std::map<MachineId, TimePoint> evacuatingSince;
    std::map<MachineId, TimePoint> untouchedUntil;
    std::map<MachineId, TimePoint> heldUntil;

    std::map<ServiceId, PoolWatermarks> viewPools(TimePoint now) const;
    // Cuts the needs down to what there is, each by the same share.
    static void shareScarcity(std::map<ServiceId, PoolWatermarks> &pools);
    void rememberNeeds(std::map<ServiceId, PoolWatermarks> &pools, TimePoint now);
    const PoolReport *freshReport(const ServiceId &service, TimePoint now) const;
    const ExecutorUsage *useOf(const MachineInfo &machine, TimePoint now) const;
    bool isEvacuating(const MachineId &machine) const;
    bool isHeld(const MachineId &machine, TimePoint now) const;
    // No order is under way, and no earlier planner's order is too fresh.
    bool mayOrder(const MachineId &machine, TimePoint now) const;
    const Evacuation *findEvacuation(const MachineId &machine) const;
    void evacuate(const MachineId &machine, EvacuationPurpose purpose, const WaveId &wave, const ServiceId &target, TimePoint now);
    void endEvacuation(const MachineId &machine);
    void markOrdered(const MachineId &machine, TimePoint now);
    void startMaintenance(std::map<ServiceId, PoolWatermarks> &pools, TimePoint now, WallTime wallNow);
    // Those that wait, in the order of their turns.
    std::vector<WaitingMachine> byWork(const std::vector<const MachineInfo *> &waiting, TimePoint now) const;
    // Returns true where the pool can do without one machine more, which holds so many long-running items.
    bool mayEmpty(const PoolWatermarks &pool, std::int32_t longRunning, bool isHurried) const;
    void planMoves(std::map<ServiceId, PoolWatermarks> &pools, TimePoint now);
    void balance(PoolWatermarks &pool, std::map<ServiceId, PoolWatermarks> &pools, TimePoint now);
    // Returns true where the pool can give a machine away.
    bool canDonate(PoolWatermarks &donor, TimePoint now) const;
    // Takes the machine that the pool misses least; canDonate() holds.
    MachineId donate(PoolWatermarks &donor) const;
    void dropStale(TimePoint now);
    bool isEmptied(const Evacuation &evacuation, TimePoint now) const;
    std::int32_t inMaintenance(const WaveId &wave) const;
};

}
