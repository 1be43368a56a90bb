// Sizes pools ahead of the turns that DemandForecast expects.
#include "fleetplanner_pvt.h"

#include <algorithm>

namespace MangoCourse {

namespace {

using std::chrono::milliseconds;

// Time from a decision to the order, added to the time that a move takes.
constexpr milliseconds orderDelay{250};
// A move costs as much as an instance in a pool for this time.
constexpr milliseconds moveCost{1100};
// Idle time up to which a pool keeps its surplus, beyond the cost of moving it there and back.
constexpr milliseconds idleAllowance{3000};
// The expected rate of a turn counts for this long after its start. The reported one is extrapolated for a second, and may then be out of date.
constexpr milliseconds turnStart{1800};
// A report may exceed the highest expected rate by this factor before it is cut.
constexpr double inflowHeadroom = 1.15;
// A turn is ending if its expected time is over and the reported rate is below this share of the expected one.
constexpr double endingShare = 0.75;
// Time allowed for late work when a pool with a pattern is parked. Fewer instances for longer do the same work with fuller cores.
constexpr double lateParkingSeconds = 4.0;

// Returns the sum of the arrival rates of accepted and refused work, in core-ms per second.
double reportedInflow(const PoolReport &report)
{
    return static_cast<double>(report.inflow) + static_cast<double>(report.refusedWork);
}

// Returns true while the reported rate falls at the end of a turn. It covers the last second, so that it falls evenly and later than the true rate.
bool isEnding(const PlannedPool &pool, TimePoint now)
{
    const ExpectedDemand &expected = *pool.expected;
    return expected.isHigh && now + expected.spread >= expected.fall && reportedInflow(*pool.report) < endingShare * static_cast<double>(expected.turnRate);
}

double toSeconds(Duration time)
{
    return std::chrono::duration<double>(time).count();
}

}

double FleetPlanner::Private::finiteInflow(const PlannedPool &pool, TimePoint now)
{
    const double reported = reportedInflow(*pool.report);
    if (!pool.expected) {
        return reported;
    }
    const auto turnRate = static_cast<double>(pool.expected->turnRate);
    // The report lags behind for a while after the end of the turn has been seen. Lasting demand between turns raises the quiet rate.
    if (!pool.expected->isHigh || isEnding(pool, now)) {
        return std::min(reported, std::max(2.0 * reported - turnRate, static_cast<double>(pool.expected->quietRate)));
    }
    return std::min(reported, inflowHeadroom * (turnRate + static_cast<double>(pool.expected->turnRateSpread)));
}

Duration FleetPlanner::Private::leadTime(const ExpectedDemand &expected) const
{
    return this->settings.moveTime + orderDelay + expected.spread;
}

void FleetPlanner::Private::limitByForecast(PlannedPool &pool, TimePoint now) const
{
    const PoolReport &report = *pool.report;
    const ExpectedDemand &expected = *pool.expected;
    const double longRunning = static_cast<double>(report.longRunningCpu);
    pool.turnSize = std::max(countMachines(longRunning + static_cast<double>(expected.turnRate) / packingEfficiency, pool.cpuPerMachine), pool.minSize);
    // An instance that is ordered now works after this time.
    const Duration arrival = this->settings.moveTime + orderDelay;
    const bool isHighAtArrival = expected.isHigh ? now + arrival < expected.fall : true;
    // The rate that is reported when a turn begins is extrapolated from less than a window and up to twice too high.
    const bool isStarting = expected.isHigh && now - expected.rise < turnStart;
    const double rate = isStarting ? std::min(finiteInflow(pool, now), static_cast<double>(expected.turnRate)) : finiteInflow(pool, now);
    const double inflow = isHighAtArrival ? rate : static_cast<double>(expected.quietRate);
    // The backlog that the pool's present instances leave to those that arrive.
    const double finiteCores = std::max(0.0, static_cast<double>(pool.size()) * static_cast<double>(pool.cpuPerMachine) - longRunning) * packingEfficiency;
    const double arriving = expected.isHigh ? std::clamp(toSeconds(expected.fall - now), 0.0, toSeconds(arrival)) * rate : 0.0;
    const double left = std::max(0.0, static_cast<double>(report.backlog) + arriving - finiteCores * toSeconds(arrival));
    const double cores = longRunning + std::max(inflow, left / targetBacklogSeconds) / packingEfficiency;
    pool.growLimit = std::max(countMachines(cores, pool.cpuPerMachine), pool.minSize);
    const double open = static_cast<double>(report.backlog) / targetBacklogSeconds + static_cast<double>(report.lateBacklog) / lateParkingSeconds;
    const double busyCores = longRunning + std::min(open, static_cast<double>(report.readyCpu)) / packingEfficiency;
    pool.busySize = std::min(pool.busySize, countMachines(busyCores, pool.cpuPerMachine));
}

void FleetPlanner::Private::addExpectedTurns(std::map<ServiceId, PlannedPool> &pools, TimePoint now) const
{
    std::int32_t left = 0;
    std::vector<PlannedPool *> patterned;
    for (auto &[service, pool] : pools) {
        left += pool.size() - pool.needed;
        if (pool.expected) {
            patterned.push_back(&pool);
        }
    }
    std::stable_sort(patterned.begin(), patterned.end(), [](const PlannedPool *one, const PlannedPool *other) {
        return one->expected->rise < other->expected->rise;
    });
    for (PlannedPool *pool : patterned) {
        const ExpectedDemand &expected = *pool->expected;
        const Duration untilMove = expected.rise - now - this->leadTime(expected);
        const bool isDue = untilMove <= Duration{} && (!expected.isHigh || now - expected.rise < turnStart);
        const std::int32_t lacking = std::clamp(pool->turnSize - pool->needed, 0, std::max(left, 0));
        if (isDue) {
            left -= lacking;
            pool->needed += lacking;
            pool->growLimit = std::max(pool->growLimit, std::min(pool->needed, pool->turnSize));
            pool->reason = lacking > 0 ? NeedReason::ExpectedTurn : pool->reason;
        } else if (!expected.isHigh && untilMove < idleAllowance + 2 * moveCost) {
            const std::int32_t present = std::min(pool->needed + lacking, pool->size());
            pool->reserved = std::max(present, 0);
            left -= std::max(0, present - pool->needed);
            pool->needsSoon = untilMove < this->settings.moveTime + moveCost ? std::max(0, pool->turnSize - pool->size()) : 0;
        }
    }
}

bool FleetPlanner::Private::isParkedAtOnce(const PlannedPool &pool, TimePoint now) const
{
    if (!pool.expected) {
        return false;
    }
    const bool isQuiet = !pool.expected->isHigh || isEnding(pool, now);
    return isQuiet && pool.expected->nextRise - now - this->leadTime(*pool.expected) >= idleAllowance + 2 * moveCost;
}

std::int32_t FleetPlanner::Private::countNeededSoon(const std::map<ServiceId, PlannedPool> &pools)
{
    std::int32_t count = 0;
    for (const auto &[service, pool] : pools) {
        count += pool.isStandby ? -pool.size() : pool.needsSoon;
    }
    return std::max(0, count);
}

}
