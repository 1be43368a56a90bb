// What the pools need: their reports, the demand, and what there is to share.
#include "fleetplanner_pvt.h"

#include <algorithm>
#include <cmath>

namespace MangoCourse {

namespace {

using std::chrono::milliseconds;

// Reports older than this say nothing about a pool.
constexpr milliseconds reportLife{2500};
// Finite work should be done within this.
constexpr double backlogSeconds = 1.4;
// Work that is late anyway may take this long.
constexpr double lateSeconds = 12.0;
// Share of a machine's cores that finite work can really use.
constexpr double packing = 0.85;
// Machines that a pool keeps beyond its need, against the next second's arrivals.
constexpr std::int32_t spareMachines = 1;
// A pool gives machines away only where it has not needed them for this long: needs shrink for moments when another pool's rise.
constexpr milliseconds needMemory{900};

}

const PoolReport *FleetPlanner::Private::freshReport(const ServiceId &service, TimePoint now) const
{
    const auto known = this->reports.find(service);
    return known == this->reports.end() || now - known->second.at > reportLife ? nullptr : &known->second.report;
}

const ExecutorUsage *FleetPlanner::Private::useOf(const MachineInfo &machine, TimePoint now) const
{
    if (this->freshReport(machine.pool, now) == nullptr) {
        return nullptr;
    }
    const KnownReport &known = this->reports.at(machine.pool);
    const auto use = known.uses.find(machine.executor);
    return use == known.uses.end() ? nullptr : &known.report.executors[use->second];
}

std::map<ServiceId, PoolWatermarks> FleetPlanner::Private::viewPools(TimePoint now) const
{
    std::map<ServiceId, PoolWatermarks> pools;
    for (const auto &[service, known] : this->config.services) {
        PoolWatermarks &pool = pools[service];
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
            const ExecutorUsage *use = this->useOf(machine, now);
            pool->second.emptyingLongRunning += use != nullptr && use->longRunning > 0 && machine.state == MachineState::Up ? 1 : 0;
            continue;
        }
        if (machine.state == MachineState::Moving || machine.state == MachineState::InMaintenance) {
            ++pool->second.coming;
        } else if (machine.state == MachineState::Up) {
            const ExecutorUsage *use = this->useOf(machine, now);
            if (use == nullptr || use->isReachable) {
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
        // A move that has to wait for an earlier planner's last orders comes too late to count on.
        const bool isComing = evacuation.isOrderConfirmed || (isMove && !this->isHeld(evacuation.machine, now));
        if (target != pools.end() && isComing) {
            ++target->second.coming;
        }
    }
    for (auto &[service, pool] : pools) {
        if (pool.report == nullptr || pool.isStandby || pool.cpuPerMachine == 0) {
            pool.needed = pool.isStandby ? 0 : pool.size();
            pool.least = pool.needed;
            continue;
        }
        // Work stays in a pool that keeps up for about its own length; what stays longer is waiting.
        const double finite = std::max(static_cast<double>(pool.report->inflow), static_cast<double>(pool.report->backlog) / backlogSeconds);
        const double late = static_cast<double>(pool.report->lateBacklog) / lateSeconds;
        const double cores = static_cast<double>(pool.report->longRunningCpu) + (finite + late) / packing;
        const auto machines = static_cast<std::int32_t>(std::ceil(cores / static_cast<double>(pool.cpuPerMachine)));
        pool.least = std::max(pool.report->spread + spareMachines, 2);
        pool.needed = std::max(machines, pool.least);
    }
    shareScarcity(pools);
    return pools;
}

void FleetPlanner::Private::shareScarcity(std::map<ServiceId, PoolWatermarks> &pools)
{
    std::int32_t machines = 0;
    std::int32_t least = 0;
    std::int32_t wanted = 0;
    for (const auto &[service, pool] : pools) {
        machines += pool.size();
        least += pool.least;
        wanted += pool.needed - pool.least;
    }
    const double share = wanted > 0 ? static_cast<double>(std::max(0, machines - least)) / static_cast<double>(wanted) : 1.0;
    if (share >= 1.0) {
        return;
    }
    for (auto &[service, pool] : pools) {
        pool.needed = pool.least + static_cast<std::int32_t>(share * static_cast<double>(pool.needed - pool.least));
    }
}

void FleetPlanner::Private::rememberNeeds(std::map<ServiceId, PoolWatermarks> &pools, TimePoint now)
{
    for (auto &[service, pool] : pools) {
        auto &recent = this->recentNeeds[service];
        while (!recent.empty() && recent.back().second <= pool.needed) {
            recent.pop_back();
        }
        recent.emplace_back(now, pool.needed);
        while (now - recent.front().first > needMemory) {
            recent.pop_front();
        }
        pool.neededLately = recent.front().second;
    }
}

}
