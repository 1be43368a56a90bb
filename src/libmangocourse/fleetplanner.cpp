// Evacuations and orders for maintenance waves and moves between pools.
#include "fleetplanner_pvt.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <tuple>

namespace MangoCourse {

namespace {

using std::chrono::milliseconds;

// Typical time to drain an instance.
constexpr milliseconds expectedEvacuationTime{2500};
// A wave is urgent when the time left, minus the slack, is less than this multiple of the time that its remaining instances need.
constexpr double urgencyFactor = 1.3;
constexpr milliseconds urgencySlack{3000};
// Instances of one pool that are drained of long-running work at a time. The availability budgets of the steps let few items go at once, so a
// higher limit only adds waiting; a lower one leaves the budgets unused while planner and owner agree on the next instance.
constexpr std::int32_t maxLongRunningEvacuations = 4;
// A move whose instance is not drained within this time is abandoned, because the demand behind it has passed.
constexpr milliseconds moveEvacuationTimeout{3000};
// After an order without an answer the instance receives no further order for this long.
constexpr milliseconds unknownOutcomeHold{3000};
// An evacuation is dropped when its instance has not come back this long after the confirmed order.
constexpr milliseconds returnTimeout{20'000};
// How long PlannerState::orderedAt keeps an entry.
constexpr milliseconds orderRecordRetention{5000};
// Added to the expected absence before an instance that is up counts as returned.
constexpr milliseconds returnMargin{400};
// How long ended incarnations are listed; discovery drops a silent executor well within this time.
constexpr milliseconds endedIncarnationRetention{15'000};
// How long a completed wave is kept after its request is gone.
constexpr milliseconds completedWaveRetention = std::chrono::hours(24 * 7);

TimePoint after(TimePoint start, milliseconds span)
{
    return start + std::chrono::duration_cast<Duration>(span);
}

}

const Evacuation *FleetPlanner::Private::findEvacuation(const MachineId &machine) const
{
    const auto found = std::find_if(this->state.evacuations.begin(), this->state.evacuations.end(), [&machine](const Evacuation &evacuation) {
        return evacuation.machine == machine;
    });
    return found == this->state.evacuations.end() ? nullptr : &*found;
}

bool FleetPlanner::Private::isEvacuating(const MachineId &machine) const
{
    return this->evacuating.contains(machine);
}

bool FleetPlanner::Private::isHeld(const MachineId &machine, TimePoint now) const
{
    const auto held = this->heldUntil.find(machine);
    return held != this->heldUntil.end() && now < held->second;
}

bool FleetPlanner::Private::canOrder(const MachineId &machine, TimePoint now) const
{
    return !this->noOrdersUntil.contains(machine) && !this->isHeld(machine, now);
}

void FleetPlanner::Private::evacuate(const MachineId &machine, EvacuationPurpose purpose, const WaveId &wave, const ServiceId &target, TimePoint now)
{
    this->evacuatingSince[machine] = now;
    this->evacuating.insert(machine);
    const MachineInfo &info = this->machines.at(machine);
    const ExecutorUsage *usage = this->findUsage(info, now);
    ++this->state.number;
    this->state.evacuations.push_back(
        Evacuation{machine, info.executor, usage == nullptr ? 0 : usage->incarnation, purpose, wave, target, false, this->state.number});
}

void FleetPlanner::Private::endEvacuation(const MachineId &machine)
{
    const auto removed = std::erase_if(this->state.evacuations, [&machine](const Evacuation &evacuation) {
        return evacuation.machine == machine;
    });
    if (removed > 0) {
        this->evacuating.erase(machine);
        this->evacuatingSince.erase(machine);
        this->endsListed.erase(machine);
        this->orderedIncarnations.erase(machine);
        ++this->state.number;
    }
}

void FleetPlanner::Private::recordOrder(const Evacuation &evacuation, TimePoint now)
{
    const auto info = this->machines.find(evacuation.machine);
    const ExecutorUsage *usage = info == this->machines.end() ? nullptr : this->findUsage(info->second, now);
    const std::int64_t reported = usage == nullptr ? 0 : usage->incarnation;
    this->orderedIncarnations.try_emplace(evacuation.machine, evacuation.incarnation != 0 ? evacuation.incarnation : reported);
}

void FleetPlanner::Private::confirmOrder(const MachineId &machine, TimePoint now)
{
    this->noOrdersUntil.erase(machine);
    this->evacuatingSince[machine] = now;
    this->state.orderedAt[machine] = this->wallNow;
    for (Evacuation &evacuation : this->state.evacuations) {
        if (evacuation.machine != machine) {
            continue;
        }
        evacuation.isOrderConfirmed = true;
    }
}

void FleetPlanner::Private::listEndedIncarnations()
{
    for (const Evacuation &evacuation : this->state.evacuations) {
        const auto machine = this->machines.find(evacuation.machine);
        const auto ordered = this->orderedIncarnations.find(evacuation.machine);
        const std::int64_t incarnation = ordered == this->orderedIncarnations.end() ? 0 : ordered->second;
        // An unknown incarnation is not listed: the entry would hold for the next one too. The evacuation keeps work away until the instance is back.
        const bool isKnown = machine != this->machines.end() && !evacuation.executor.isEmpty() && incarnation != 0;
        if (!isKnown || !evacuation.isOrderConfirmed || this->endsListed.contains(evacuation.machine)) {
            continue;
        }
        const MachineInfo &info = machine->second;
        const bool hasLeft = info.state == MachineState::Moving || info.state == MachineState::InMaintenance;
        const bool hasArrived = evacuation.purpose == EvacuationPurpose::Move && info.pool == evacuation.target;
        const bool hasNextExecutor = info.state == MachineState::Up && info.executor != evacuation.executor;
        if (hasLeft || hasArrived || hasNextExecutor) {
            this->endsListed.insert(evacuation.machine);
            this->state.ended[evacuation.executor] = PlannerState::EndedIncarnation{incarnation, this->wallNow};
            ++this->state.number;
        }
    }
}

std::int32_t FleetPlanner::Private::countInMaintenance(const WaveId &wave) const
{
    std::int32_t count = 0;
    const auto known = this->waves.find(wave);
    for (const MachineId &id : known->second.machines) {
        const auto machine = this->machines.find(id);
        const auto blocked = this->noOrdersUntil.find(id);
        const bool isInMaintenance = machine != this->machines.end() && machine->second.state == MachineState::InMaintenance;
        const Evacuation *evacuation = this->findEvacuation(id);
        const bool isOrderConfirmed = evacuation != nullptr && evacuation->isOrderConfirmed && evacuation->purpose == EvacuationPurpose::Maintenance;
        count += isInMaintenance || isOrderConfirmed || blocked != this->noOrdersUntil.end() ? 1 : 0;
    }
    return count;
}

bool FleetPlanner::Private::isDrained(const Evacuation &evacuation, TimePoint now) const
{
    const auto machine = this->machines.find(evacuation.machine);
    if (machine == this->machines.end() || machine->second.state != MachineState::Up) {
        return false;
    }
    const auto service = this->config.services.find(machine->second.pool);
    if (service != this->config.services.end() && service->second.isStandby) {
        return true;
    }
    const PoolReport *report = this->freshReport(machine->second.pool, now);
    if (report == nullptr || report->appliedEvacuationNumber < evacuation.firstListNumber) {
        return false;
    }
    const ExecutorUsage *usage = this->findUsage(machine->second, now);
    return usage != nullptr && usage->isReachable && usage->runs == 0;
}

void FleetPlanner::Private::removeFinishedEvacuations(TimePoint now)
{
    std::vector<MachineId> finished;
    for (const Evacuation &evacuation : this->state.evacuations) {
        const auto machine = this->machines.find(evacuation.machine);
        const auto since = this->evacuatingSince.try_emplace(evacuation.machine, now).first->second;
        const bool isListed = machine != this->machines.end();
        const bool isUp = isListed && machine->second.state == MachineState::Up;
        const bool isMove = evacuation.purpose == EvacuationPurpose::Move;
        const milliseconds absence = (isMove ? this->settings.moveTime : this->settings.maintenanceTime) + returnMargin;
        // The new incarnation may have the same identifier, so an instance that is up after the expected absence counts as returned.
        const bool hasReturned = isUp && (machine->second.executor != evacuation.executor || (evacuation.isOrderConfirmed && now - since > absence));
        const bool isInTargetPool = isUp && evacuation.isOrderConfirmed && isMove && machine->second.pool == evacuation.target;
        const bool isMoveTimedOut = isMove && !evacuation.isOrderConfirmed && now - since > moveEvacuationTimeout;
        const bool isReturnOverdue = evacuation.isOrderConfirmed && now - since > returnTimeout;
        const bool isDown = isListed && machine->second.state == MachineState::Down;
        if ((!isListed || hasReturned || isInTargetPool || isMoveTimedOut || isReturnOverdue || isDown) && !this->noOrdersUntil.contains(evacuation.machine)) {
            finished.push_back(evacuation.machine);
        }
    }
    for (const MachineId &machine : finished) {
        this->endEvacuation(machine);
    }
}

void FleetPlanner::Private::startMaintenance(std::map<ServiceId, PlannedPool> &pools, TimePoint now, WallTime wallNow)
{
    for (const auto &[id, wave] : this->waves) {
        PlannerState::Wave &progress = this->state.waves[id];
        if (progress.isCompleted) {
            continue;
        }
        std::vector<const MachineInfo *> waiting;
        bool hasUnstartedMachines = false;
        for (const MachineId &name : wave.machines) {
            const auto machine = this->machines.find(name);
            if (progress.startedMachines.contains(name) || machine == this->machines.end()) {
                continue;
            }
            hasUnstartedMachines = true;
            if (machine->second.state == MachineState::Up && !this->isEvacuating(name) && this->canOrder(name, now)) {
                waiting.push_back(&machine->second);
            }
        }
        if (!hasUnstartedMachines) {
            progress.isCompleted = true;
            continue;
        }
        std::int32_t active = this->countInMaintenance(id);
        for (const Evacuation &evacuation : this->state.evacuations) {
            const bool isCounted = evacuation.isOrderConfirmed || this->noOrdersUntil.contains(evacuation.machine);
            active += evacuation.purpose == EvacuationPurpose::Maintenance && evacuation.wave == id && !isCounted ? 1 : 0;
        }
        const milliseconds round = expectedEvacuationTime + this->settings.maintenanceTime;
        const double rounds = std::ceil(static_cast<double>(waiting.size()) / static_cast<double>(std::max(1, wave.parallel)));
        const milliseconds left = progress.seenAt + wave.duration - wallNow;
        const bool isUrgent = static_cast<double>((left - urgencySlack).count()) < urgencyFactor * rounds * static_cast<double>(round.count());
        for (const MaintenanceCandidate &next : this->sortByEvacuationTime(waiting, now)) {
            if (active >= wave.parallel) {
                break;
            }
            PlannedPool &pool = pools[next.machine->pool];
            if (!this->canEvacuate(pool, pools, next.longRunning, isUrgent)) {
                continue;
            }
            std::erase(pool.up, next.machine->id);
            pool.longRunningEvacuations += next.longRunning > 0 ? 1 : 0;
            ++active;
            this->evacuate(next.machine->id, EvacuationPurpose::Maintenance, id, {}, now);
        }
    }
}

std::vector<FleetPlanner::Private::MaintenanceCandidate> FleetPlanner::Private::sortByEvacuationTime(
    const std::vector<const MachineInfo *> &waiting, TimePoint now) const
{
    std::vector<MaintenanceCandidate> sorted;
    sorted.reserve(waiting.size());
    for (const MachineInfo *machine : waiting) {
        const ExecutorUsage *usage = this->findUsage(*machine, now);
        sorted.push_back(MaintenanceCandidate{machine, usage == nullptr ? 0 : usage->longRunning, usage == nullptr ? -1 : usage->runs});
    }
    // Instances with long-running work come first, as its items move one by one and take longest. Of the others, those without a report
    // (standby instances) come first, then those with the fewest runs.
    std::stable_sort(sorted.begin(), sorted.end(), [](const MaintenanceCandidate &one, const MaintenanceCandidate &other) {
        return std::tuple(one.longRunning == 0, one.runs) < std::tuple(other.longRunning == 0, other.runs);
    });
    return sorted;
}

std::int32_t FleetPlanner::Private::countSpareElsewhere(const PlannedPool &pool, const std::map<ServiceId, PlannedPool> &pools)
{
    std::int32_t spare = 0;
    for (const auto &[service, other] : pools) {
        if (&other == &pool) {
            continue;
        }
        if (other.isStandby) {
            spare += static_cast<std::int32_t>(other.up.size());
        } else if (other.report != nullptr) {
            // What another pool lacks is subtracted, as it takes it from the same spare instances.
            spare += other.size() - std::max(other.needed, other.recentPeak);
        }
    }
    return std::max(0, spare);
}

bool FleetPlanner::Private::canEvacuate(const PlannedPool &pool, const std::map<ServiceId, PlannedPool> &pools, std::int32_t longRunning, bool isUrgent) const
{
    if (pool.isStandby) {
        return true;
    }
    const auto afterwards = static_cast<std::int32_t>(pool.up.size()) - 1;
    const std::int32_t spread = std::max(1, pool.report != nullptr ? pool.report->spread : 1);
    if (longRunning > 0) {
        // Long-running work that finds no place elsewhere would wait for the end of the evacuation, and the evacuation for the work.
        const bool hasRoom = afterwards + pool.arriving + countSpareElsewhere(pool, pools) >= pool.longRunningMachines;
        return hasRoom && pool.longRunningEvacuations < maxLongRunningEvacuations && afterwards >= spread;
    }
    return afterwards >= (isUrgent ? spread : pool.needed);
}

bool FleetPlanner::Private::hasDonorMachine(PlannedPool &donor, TimePoint now) const
{
    if (!donor.donorMachines) {
        donor.donorMachines.emplace();
        for (const MachineId &id : donor.up) {
            const ExecutorUsage *usage = this->findUsage(this->machines.at(id), now);
            if (this->canOrder(id, now) && (donor.isStandby || (usage != nullptr && usage->longRunning == 0))) {
                donor.donorMachines->push_back(DonorMachine{usage == nullptr ? 0 : usage->runs, id});
            }
        }
        std::sort(donor.donorMachines->begin(), donor.donorMachines->end(), std::greater<>());
    }
    return !donor.donorMachines->empty();
}

MachineId FleetPlanner::Private::takeDonorMachine(PlannedPool &donor) const
{
    MachineId machine = std::move(donor.donorMachines->back().machine);
    donor.donorMachines->pop_back();
    std::erase(donor.up, machine);
    return machine;
}

void FleetPlanner::Private::growPool(PlannedPool &pool, std::map<ServiceId, PlannedPool> &pools, TimePoint now)
{
    while (pool.size() < pool.needed) {
        PlannedPool *donor = nullptr;
        for (auto &[service, other] : pools) {
            const bool canGive = &other != &pool && !other.up.empty() && (other.isStandby || (other.report != nullptr && other.size() > other.recentPeak));
            if (canGive && this->hasDonorMachine(other, now) && (donor == nullptr || other.isStandby)) {
                donor = &other;
            }
        }
        if (donor == nullptr) {
            return;
        }
        const MachineId machine = this->takeDonorMachine(*donor);
        ++pool.arriving;
        this->evacuate(machine, EvacuationPurpose::Move, {}, pool.service, now);
    }
}

void FleetPlanner::Private::planMoves(std::map<ServiceId, PlannedPool> &pools, TimePoint now)
{
    PlannedPool *standby = nullptr;
    std::vector<PlannedPool *> undersized;
    for (auto &[service, pool] : pools) {
        if (pool.isStandby) {
            standby = &pool;
        } else if (pool.report != nullptr && pool.size() < pool.needed) {
            undersized.push_back(&pool);
        }
    }
    std::sort(undersized.begin(), undersized.end(), [](const PlannedPool *one, const PlannedPool *other) {
        return one->needed - one->size() > other->needed - other->size();
    });
    for (PlannedPool *pool : undersized) {
        this->growPool(*pool, pools, now);
    }
    if (standby == nullptr) {
        return;
    }
    for (auto &[service, pool] : pools) {
        const std::int32_t usedSize = std::max(pool.needed, pool.busySize);
        const bool hasSurplus = !pool.isStandby && pool.report != nullptr && pool.size() > usedSize;
        if (!hasSurplus) {
            this->surplusSince.erase(service);
            continue;
        }
        const TimePoint since = this->surplusSince.try_emplace(service, now).first->second;
        if (now - since < this->settings.parkDelay) {
            continue;
        }
        while (pool.size() > usedSize && this->hasDonorMachine(pool, now)) {
            const MachineId machine = this->takeDonorMachine(pool);
            this->evacuate(machine, EvacuationPurpose::Move, {}, standby->service, now);
        }
    }
}

EvacuationList PlannerState::evacuationList() const
{
    EvacuationList list;
    list.number = this->number;
    for (const auto &[executor, ended] : this->ended) {
        list.ended[executor] = ended.incarnation;
    }
    for (const Evacuation &evacuation : this->evacuations) {
        if (!evacuation.executor.isEmpty()) {
            list.evacuating[evacuation.executor] = evacuation.incarnation;
        }
    }
    return list;
}

FleetPlanner::FleetPlanner(std::unique_ptr<Private> impl)
    : d(std::move(impl))
{
}

FleetPlanner::~FleetPlanner() = default;

Result<std::unique_ptr<FleetPlanner>> FleetPlanner::create(PlannerSettings settings, PlannerState state, std::map<MachineId, TimePoint> heldUntil)
{
    auto impl = std::make_unique<Private>();
    impl->settings = settings;
    impl->state = std::move(state);
    for (const Evacuation &evacuation : impl->state.evacuations) {
        impl->evacuating.insert(evacuation.machine);
        // The previous planner may have given the order.
        impl->orderedIncarnations.emplace(evacuation.machine, evacuation.incarnation);
    }
    impl->heldUntil = std::move(heldUntil);
    return std::unique_ptr<FleetPlanner>(new FleetPlanner(std::move(impl)));
}

void FleetPlanner::setConfig(const FleetConfig &config)
{
    this->d->config = config;
}

void FleetPlanner::setWaves(const std::map<WaveId, MaintenanceWave> &waves, WallTime now)
{
    this->d->waves = waves;
    for (const auto &[id, wave] : waves) {
        PlannerState::Wave &progress = this->d->state.waves[id];
        if (progress.seenAt == WallTime{}) {
            progress.seenAt = now;
        }
    }
}

void FleetPlanner::setMachines(const std::vector<MachineInfo> &machines, TimePoint now)
{
    this->d->machines.clear();
    for (const MachineInfo &machine : machines) {
        this->d->machines.emplace(machine.id, machine);
    }
    std::erase_if(this->d->noOrdersUntil, [this, now](const auto &entry) {
        const auto machine = this->d->machines.find(entry.first);
        return entry.second < now || machine == this->d->machines.end() || machine->second.state != MachineState::Up;
    });
    this->d->listEndedIncarnations();
    for (auto &[id, wave] : this->d->state.waves) {
        for (const Evacuation &evacuation : this->d->state.evacuations) {
            const auto machine = this->d->machines.find(evacuation.machine);
            const bool hasBegun = evacuation.wave == id && machine != this->d->machines.end() && machine->second.state == MachineState::InMaintenance;
            if (hasBegun) {
                wave.startedMachines.insert(evacuation.machine);
            }
        }
    }
}

void FleetPlanner::setReport(const PoolReport &report, TimePoint now)
{
    ReceivedReport &known = this->d->reports[report.service];
    const bool isOlder = std::pair(report.token, report.number) < std::pair(known.report.token, known.report.number);
    if (isOlder) {
        return;
    }
    known.report = report;
    known.receivedAt = now;
    known.indexByExecutor.clear();
    for (std::size_t index = 0; index < report.executors.size(); ++index) {
        known.indexByExecutor.emplace(report.executors[index].executor, index);
    }
}

PlannerOrders FleetPlanner::plan(TimePoint now, WallTime wallNow)
{
    Private &state = *this->d;
    PlannerOrders orders;
    if (state.machines.empty() || state.config.revision == 0) {
        return orders;
    }
    state.wallNow = wallNow;
    std::erase_if(state.state.ended, [wallNow](const auto &entry) {
        return wallNow - entry.second.at > endedIncarnationRetention;
    });
    std::erase_if(state.state.orderedAt, [wallNow](const auto &entry) {
        return wallNow - entry.second > orderRecordRetention;
    });
    std::erase_if(state.state.waves, [&state, wallNow](const auto &entry) {
        return entry.second.isCompleted && !state.waves.contains(entry.first) && wallNow - entry.second.seenAt > completedWaveRetention;
    });
    state.removeFinishedEvacuations(now);
    for (const Evacuation &evacuation : state.state.evacuations) {
        if (evacuation.isOrderConfirmed || !state.canOrder(evacuation.machine, now) || !state.isDrained(evacuation, now)) {
            continue;
        }
        if (evacuation.purpose == EvacuationPurpose::Move) {
            orders.move.push_back(evacuation);
        } else if (state.waves.contains(evacuation.wave) && state.countInMaintenance(evacuation.wave) < state.waves.at(evacuation.wave).parallel) {
            orders.maintain.push_back(evacuation);
        } else {
            continue;
        }
        // Recorded before the order is given, so that a successor learns of it even if this planner fails in between.
        state.state.orderedAt[evacuation.machine] = wallNow;
        state.recordOrder(evacuation, now);
        state.noOrdersUntil[evacuation.machine] = after(now, unknownOutcomeHold);
    }
    std::map<ServiceId, PlannedPool> pools = state.buildPools(now);
    state.updateNeedPeaks(pools, now);
    state.needs.clear();
    for (const auto &[service, pool] : pools) {
        const auto report = state.reports.find(service);
        const bool isKnown = report != state.reports.end();
        PoolNeed need{service, pool.needed, pool.size()};
        need.leaving = pool.leaving;
        need.unreachable = pool.unreachable;
        need.inflow = isKnown ? report->second.report.inflow : 0;
        need.backlog = isKnown ? report->second.report.backlog : 0;
        need.reportAge = isKnown ? std::chrono::duration_cast<milliseconds>(now - report->second.receivedAt) : milliseconds(-1);
        state.needs.push_back(std::move(need));
    }
    state.startMaintenance(pools, now, wallNow);
    state.planMoves(pools, now);
    return orders;
}

void FleetPlanner::onMaintenanceOutcome(const Evacuation &order, bool isDone, bool isOutcomeUnknown, TimePoint now)
{
    if (isDone) {
        this->d->state.waves[order.wave].startedMachines.insert(order.machine);
        this->d->confirmOrder(order.machine, now);
    } else if (!isOutcomeUnknown) {
        this->d->noOrdersUntil[order.machine] = after(now, milliseconds(300));
    }
}

void FleetPlanner::onMoveOutcome(const Evacuation &order, bool isDone, bool isOutcomeUnknown, TimePoint now)
{
    if (isDone) {
        this->d->confirmOrder(order.machine, now);
    } else if (!isOutcomeUnknown) {
        this->d->endEvacuation(order.machine);
        this->d->noOrdersUntil[order.machine] = after(now, milliseconds(1000));
    }
}

void FleetPlanner::onNotInWave(const Evacuation &order)
{
    this->d->state.waves[order.wave].startedMachines.insert(order.machine);
    this->d->noOrdersUntil.erase(order.machine);
    this->d->endEvacuation(order.machine);
}

const std::vector<PoolNeed> &FleetPlanner::needs() const
{
    return this->d->needs;
}

const PlannerState &FleetPlanner::state() const
{
    return this->d->state;
}

bool FleetPlanner::hasPendingWork() const
{
    const bool hasWave = std::any_of(this->d->state.waves.begin(), this->d->state.waves.end(), [](const auto &entry) {
        return !entry.second.isCompleted;
    });
    return hasWave || !this->d->state.evacuations.empty();
}

}
