// Computes how many instances each pool needs from the owners' reports.
#include "fleetplanner_pvt.h"

#include <algorithm>
#include <cmath>

namespace MangoCourse {

namespace {

using std::chrono::milliseconds;

// Older reports are ignored.
constexpr milliseconds maxReportAge{2500};
// Time allowed for the backlog that has already missed its objective.
constexpr double lateBacklogSeconds = 12.0;
// Instances that a pool keeps beyond the spread of its steps, for the arrivals of the next second.
constexpr std::int32_t spareMachines = 1;
// A pool gives away only instances that it has not needed for this long, as its need dips briefly when that of another pool rises.
constexpr milliseconds needPeakWindow{900};

}

std::int32_t countMachines(double cores, std::int64_t cpuPerMachine)
{
    constexpr double maxPoolSize = 1'000'000.0;
    return static_cast<std::int32_t>(std::min(std::ceil(cores / static_cast<double>(cpuPerMachine)), maxPoolSize));
}

const PoolReport *FleetPlanner::Private::freshReport(const ServiceId &service, TimePoint now) const
{
    const auto known = this->reports.find(service);
    return known == this->reports.end() || now - known->second.receivedAt > maxReportAge ? nullptr : &known->second.report;
}

const ExecutorUsage *FleetPlanner::Private::findUsage(const MachineInfo &machine, TimePoint now) const
{
    if (this->freshReport(machine.pool, now) == nullptr) {
        return nullptr;
    }
    const ReceivedReport &known = this->reports.at(machine.pool);
    const auto usage = known.indexByExecutor.find(machine.executor);
    return usage == known.indexByExecutor.end() ? nullptr : &known.report.executors[usage->second];
}

std::map<ServiceId, PlannedPool> FleetPlanner::Private::buildPools(TimePoint now) const
{
    std::map<ServiceId, PlannedPool> pools;
    for (const auto &[service, known] : this->config.services) {
        PlannedPool &pool = pools[service];
        pool.service = service;
        pool.isStandby = known.isStandby;
        pool.report = this->freshReport(service, now);
    }
    for (const auto &[id, machine] : this->machines) {
        const auto pool = pools.find(machine.pool);
        if (pool == pools.end()) {
            continue;
        }
        pool->second.cpuPerMachine = std::max(pool->second.cpuPerMachine, machine.capacity.cpu);
        if (this->isEvacuating(id)) {
            ++pool->second.leaving;
            const ExecutorUsage *usage = this->findUsage(machine, now);
            pool->second.longRunningEvacuations += usage != nullptr && usage->longRunning > 0 && machine.state == MachineState::Up ? 1 : 0;
            continue;
        }
        if (machine.state == MachineState::Moving || machine.state == MachineState::InMaintenance) {
            ++pool->second.arriving;
        } else if (machine.state == MachineState::Up) {
            const ExecutorUsage *usage = this->findUsage(machine, now);
            if (usage == nullptr || usage->isReachable) {
                pool->second.up.push_back(id);
            } else {
                ++pool->second.unreachable;
            }
        }
    }
    for (const Evacuation &evacuation : this->state.evacuations) {
        const auto machine = this->machines.find(evacuation.machine);
        const bool isMove = evacuation.purpose == EvacuationPurpose::Move;
        const auto target = pools.find(isMove || machine == this->machines.end() ? evacuation.target : machine->second.pool);
        // A move that is held because of the previous planner's last orders would finish too late to be counted.
        const bool willJoin = evacuation.isOrderConfirmed || (isMove && !this->isHeld(evacuation.machine, now));
        if (target != pools.end() && willJoin) {
            ++target->second.arriving;
        }
    }
    for (auto &[service, pool] : pools) {
        if (pool.report == nullptr || pool.isStandby || pool.cpuPerMachine == 0) {
            pool.needed = pool.isStandby ? 0 : pool.size();
            pool.minSize = pool.needed;
            continue;
        }
        this->sizeByReport(pool, now);
    }
    scaleNeedsToSupply(pools);
    this->addExpectedTurns(pools, now);
    return pools;
}

void FleetPlanner::Private::sizeByReport(PlannedPool &pool, TimePoint now) const
{
    const PoolReport &report = *pool.report;
    pool.expected = this->settings.usesForecast ? this->forecast.expected(pool.service, now) : std::nullopt;
    // In a pool that keeps up, work stays for about its run time; work that stays longer is queued and raises the second term.
    const double finite = std::max(finiteInflow(pool, now), static_cast<double>(report.backlog) / targetBacklogSeconds);
    const double late = static_cast<double>(report.lateBacklog) / lateBacklogSeconds;
    const double cores = static_cast<double>(report.longRunningCpu) + (finite + late) / packingEfficiency;
    const std::int32_t machines = countMachines(cores, pool.cpuPerMachine);
    pool.longRunningMachines = countMachines(static_cast<double>(report.longRunningCpu), pool.cpuPerMachine);
    pool.minSize = std::max(report.spread + spareMachines, 2);
    pool.needed = std::max(machines, pool.minSize);
    pool.reason = machines > pool.minSize ? NeedReason::Reported : NeedReason::Minimum;
    const double all = (static_cast<double>(report.backlog) + static_cast<double>(report.lateBacklog)) / targetBacklogSeconds;
    const double atOnce = std::min(all, static_cast<double>(report.readyCpu));
    const double busyCores = static_cast<double>(report.longRunningCpu) + atOnce / packingEfficiency;
    pool.busySize = countMachines(busyCores, pool.cpuPerMachine);
    if (pool.expected) {
        this->limitByForecast(pool, now);
    }
}

void FleetPlanner::Private::scaleNeedsToSupply(std::map<ServiceId, PlannedPool> &pools)
{
    std::int32_t machines = 0;
    std::int32_t totalMinSize = 0;
    std::int32_t aboveMinSize = 0;
    for (const auto &[service, pool] : pools) {
        machines += pool.size();
        totalMinSize += pool.minSize;
        aboveMinSize += pool.needed - pool.minSize;
    }
    const double share = aboveMinSize > 0 ? static_cast<double>(std::max(0, machines - totalMinSize)) / static_cast<double>(aboveMinSize) : 1.0;
    if (share >= 1.0) {
        return;
    }
    for (auto &[service, pool] : pools) {
        pool.needed = pool.minSize + static_cast<std::int32_t>(share * static_cast<double>(pool.needed - pool.minSize));
    }
}

void FleetPlanner::Private::updateNeedPeaks(std::map<ServiceId, PlannedPool> &pools, TimePoint now)
{
    for (auto &[service, pool] : pools) {
        auto &recent = this->needPeaks[service];
        while (!recent.empty() && recent.back().second <= pool.needed) {
            recent.pop_back();
        }
        recent.emplace_back(now, pool.needed);
        while (now - recent.front().first > needPeakWindow) {
            recent.pop_front();
        }
        // The dip that the window bridges does not come between two turns.
        pool.recentPeak = pool.expected && !pool.expected->isHigh ? std::max(pool.needed, pool.reserved) : recent.front().second;
    }
}

}
