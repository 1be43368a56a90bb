// Maintenance waves and moves between pools.
#include "fleetplanner_pvt.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <tuple>

namespace MangoCourse {

namespace {

using std::chrono::milliseconds;

// Emptying a machine takes about this long.
constexpr milliseconds evacuationTime{2500};
// A wave is hurried when less than this many times the time it needs, and the slack, is left.
constexpr double hurry = 1.3;
constexpr milliseconds hurrySlack{3000};
// Machines of one pool whose long-running work is moved away at a time. The steps' budgets let few items go at once, so more would only wait;
// with fewer the budgets would go unused while the planner and the owner tell each other about the next machine.
constexpr std::int32_t mostEmptying = 4;
// An evacuation for a move is given up after this: the need has passed.
constexpr milliseconds movePatience{3000};
// An order without an answer keeps its machine untouched this long.
constexpr milliseconds unknownHold{3000};
// A machine that was ordered away and never came back is not waited for longer than this.
constexpr milliseconds orderMemory{20'000};
constexpr milliseconds orderedMemory{5000};
constexpr milliseconds returnMargin{400};
// Discovery drops a silent executor well within this.
constexpr milliseconds endedMemory{15'000};

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

bool FleetPlanner::Private::mayOrder(const MachineId &machine, TimePoint now) const
{
    return !this->untouchedUntil.contains(machine) && !this->isHeld(machine, now);
}

void FleetPlanner::Private::evacuate(const MachineId &machine, EvacuationPurpose purpose, const WaveId &wave, const ServiceId &target, TimePoint now)
{
    this->evacuatingSince[machine] = now;
    this->evacuating.insert(machine);
    const MachineInfo &info = this->machines.at(machine);
    const ExecutorUsage *use = this->useOf(info, now);
    ++this->state.number;
    this->state.evacuations.push_back(Evacuation{machine, info.executor, use == nullptr ? 0 : use->incarnation, purpose, wave, target, false, this->state.number});
}

void FleetPlanner::Private::endEvacuation(const MachineId &machine)
{
    const auto removed = std::erase_if(this->state.evacuations, [&machine](const Evacuation &evacuation) {
        return evacuation.machine == machine;
    });
    if (removed > 0) {
        this->evacuating.erase(machine);
        this->evacuatingSince.erase(machine);
        ++this->state.number;
    }
}

void FleetPlanner::Private::markOrdered(const MachineId &machine, TimePoint now)
{
    this->untouchedUntil.erase(machine);
    this->evacuatingSince[machine] = now;
    this->state.orderedAt[machine] = this->wallNow;
    for (Evacuation &evacuation : this->state.evacuations) {
        if (evacuation.machine != machine) {
            continue;
        }
        evacuation.isOrderConfirmed = true;
        if (!evacuation.executor.isEmpty()) {
            this->state.ended[evacuation.executor] = PlannerState::EndedIncarnation{evacuation.incarnation, this->wallNow};
            ++this->state.number;
        }
    }
}

std::int32_t FleetPlanner::Private::inMaintenance(const WaveId &wave) const
{
    std::int32_t count = 0;
    const auto known = this->waves.find(wave);
    for (const MachineId &id : known->second.machines) {
        const auto machine = this->machines.find(id);
        const auto untouched = this->untouchedUntil.find(id);
        const bool isDown = machine != this->machines.end() && machine->second.state == MachineState::InMaintenance;
        const Evacuation *evacuation = this->findEvacuation(id);
        const bool isOrderConfirmed = evacuation != nullptr && evacuation->isOrderConfirmed && evacuation->purpose == EvacuationPurpose::Maintenance;
        count += isDown || isOrderConfirmed || untouched != this->untouchedUntil.end() ? 1 : 0;
    }
    return count;
}

bool FleetPlanner::Private::isEmptied(const Evacuation &evacuation, TimePoint now) const
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
    if (report == nullptr || report->appliedEvacuationNumber < evacuation.since) {
        return false;
    }
    const ExecutorUsage *use = this->useOf(machine->second, now);
    return use != nullptr && use->isReachable && use->runs == 0;
}

void FleetPlanner::Private::dropStale(TimePoint now)
{
    std::vector<MachineId> over;
    for (const Evacuation &evacuation : this->state.evacuations) {
        const auto machine = this->machines.find(evacuation.machine);
        const auto since = this->evacuatingSince.try_emplace(evacuation.machine, now).first->second;
        const bool isListed = machine != this->machines.end();
        const bool isUp = isListed && machine->second.state == MachineState::Up;
        const bool isMove = evacuation.purpose == EvacuationPurpose::Move;
        const milliseconds absence = (isMove ? this->settings.moveTime : this->settings.maintenanceTime) + returnMargin;
        // The next life may have the same id, so after its time of absence a machine that is up has come back.
        const bool isBack = isUp && (machine->second.executor != evacuation.executor || (evacuation.isOrderConfirmed && now - since > absence));
        const bool isParked = isUp && evacuation.isOrderConfirmed && isMove && machine->second.pool == evacuation.target;
        const bool isTooSlow = isMove && !evacuation.isOrderConfirmed && now - since > movePatience;
        const bool isForgotten = evacuation.isOrderConfirmed && now - since > orderMemory;
        const bool isFailed = isListed && machine->second.state == MachineState::Down;
        if ((!isListed || isBack || isParked || isTooSlow || isForgotten || isFailed) && !this->untouchedUntil.contains(evacuation.machine)) {
            over.push_back(evacuation.machine);
        }
    }
    for (const MachineId &machine : over) {
        this->endEvacuation(machine);
    }
}

void FleetPlanner::Private::startMaintenance(std::map<ServiceId, PoolWatermarks> &pools, TimePoint now, WallTime wallNow)
{
    for (const auto &[id, wave] : this->waves) {
        PlannerState::Wave &progress = this->state.waves[id];
        if (progress.isCompleted) {
            continue;
        }
        std::vector<const MachineInfo *> waiting;
        bool isLeft = false;
        for (const MachineId &name : wave.machines) {
            const auto machine = this->machines.find(name);
            if (progress.startedMachines.contains(name) || machine == this->machines.end()) {
                continue;
            }
            isLeft = true;
            if (machine->second.state == MachineState::Up && !this->isEvacuating(name) && this->mayOrder(name, now)) {
                waiting.push_back(&machine->second);
            }
        }
        if (!isLeft) {
            progress.isCompleted = true;
            continue;
        }
        std::int32_t active = this->inMaintenance(id);
        for (const Evacuation &evacuation : this->state.evacuations) {
            const bool isCounted = evacuation.isOrderConfirmed || this->untouchedUntil.contains(evacuation.machine);
            active += evacuation.purpose == EvacuationPurpose::Maintenance && evacuation.wave == id && !isCounted ? 1 : 0;
        }
        const milliseconds round = evacuationTime + this->settings.maintenanceTime;
        const double rounds = std::ceil(static_cast<double>(waiting.size()) / static_cast<double>(std::max(1, wave.parallel)));
        const milliseconds left = progress.seenAt + wave.duration - wallNow;
        const bool isHurried = static_cast<double>((left - hurrySlack).count()) < hurry * rounds * static_cast<double>(round.count());
        for (const WaitingMachine &next : this->byWork(waiting, now)) {
            if (active >= wave.parallel) {
                break;
            }
            PoolWatermarks &pool = pools[next.machine->pool];
            if (!this->mayEmpty(pool, next.longRunning, isHurried)) {
                continue;
            }
            std::erase(pool.up, next.machine->id);
            pool.emptyingLongRunning += next.longRunning > 0 ? 1 : 0;
            ++active;
            this->evacuate(next.machine->id, EvacuationPurpose::Maintenance, id, {}, now);
        }
    }
}

std::vector<FleetPlanner::Private::WaitingMachine> FleetPlanner::Private::byWork(const std::vector<const MachineInfo *> &waiting, TimePoint now) const
{
    std::vector<WaitingMachine> sorted;
    sorted.reserve(waiting.size());
    for (const MachineInfo *machine : waiting) {
        const ExecutorUsage *use = this->useOf(*machine, now);
        sorted.push_back(WaitingMachine{machine, use == nullptr ? 0 : use->longRunning, use == nullptr ? -1 : use->runs});
    }
    // Long-running work moves item by item, so its machines take longest and begin first; of the rest the parked ones, then those with little work.
    std::stable_sort(sorted.begin(), sorted.end(), [](const WaitingMachine &one, const WaitingMachine &other) {
        return std::tuple(one.longRunning == 0, one.runs) < std::tuple(other.longRunning == 0, other.runs);
    });
    return sorted;
}

bool FleetPlanner::Private::mayEmpty(const PoolWatermarks &pool, std::int32_t longRunning, bool isHurried) const
{
    if (pool.isStandby) {
        return true;
    }
    const auto afterwards = static_cast<std::int32_t>(pool.up.size()) - 1;
    const std::int32_t spread = std::max(1, pool.report != nullptr ? pool.report->spread : 1);
    if (longRunning > 0) {
        return pool.emptyingLongRunning < mostEmptying && afterwards >= spread;
    }
    return afterwards >= (isHurried ? spread : pool.needed);
}

bool FleetPlanner::Private::canDonate(PoolWatermarks &donor, TimePoint now) const
{
    if (!donor.donations) {
        donor.donations.emplace();
        for (const MachineId &id : donor.up) {
            const ExecutorUsage *use = this->useOf(this->machines.at(id), now);
            if (this->mayOrder(id, now) && (donor.isStandby || (use != nullptr && use->longRunning == 0))) {
                donor.donations->push_back(Donation{use == nullptr ? 0 : use->runs, id});
            }
        }
        std::sort(donor.donations->begin(), donor.donations->end(), std::greater<>());
    }
    return !donor.donations->empty();
}

MachineId FleetPlanner::Private::donate(PoolWatermarks &donor) const
{
    MachineId machine = std::move(donor.donations->back().machine);
    donor.donations->pop_back();
    std::erase(donor.up, machine);
    return machine;
}

void FleetPlanner::Private::balance(PoolWatermarks &pool, std::map<ServiceId, PoolWatermarks> &pools, TimePoint now)
{
    while (pool.size() < pool.needed) {
        PoolWatermarks *donor = nullptr;
        for (auto &[service, other] : pools) {
            const bool canGive = &other != &pool && !other.up.empty() && (other.isStandby || (other.report != nullptr && other.size() > other.neededLately));
            if (canGive && this->canDonate(other, now) && (donor == nullptr || other.isStandby)) {
                donor = &other;
            }
        }
        if (donor == nullptr) {
            return;
        }
        const MachineId machine = this->donate(*donor);
        ++pool.coming;
        this->evacuate(machine, EvacuationPurpose::Move, {}, pool.service, now);
    }
}

void FleetPlanner::Private::planMoves(std::map<ServiceId, PoolWatermarks> &pools, TimePoint now)
{
    PoolWatermarks *standby = nullptr;
    std::vector<PoolWatermarks *> lacking;
    for (auto &[service, pool] : pools) {
        if (pool.isStandby) {
            standby = &pool;
        } else if (pool.report != nullptr && pool.size() < pool.needed) {
            lacking.push_back(&pool);
        }
    }
    std::sort(lacking.begin(), lacking.end(), [](const PoolWatermarks *one, const PoolWatermarks *other) {
        return one->needed - one->size() > other->needed - other->size();
    });
    for (PoolWatermarks *pool : lacking) {
        this->balance(*pool, pools, now);
    }
    if (standby == nullptr) {
        return;
    }
    for (auto &[service, pool] : pools) {
        const bool isNeedless = !pool.isStandby && pool.report != nullptr && pool.size() > pool.needed;
        if (!isNeedless) {
            this->needlessSince.erase(service);
            continue;
        }
        const TimePoint since = this->needlessSince.try_emplace(service, now).first->second;
        if (now - since < this->settings.parkDelay) {
            continue;
        }
        while (pool.size() > pool.needed && this->canDonate(pool, now)) {
            const MachineId machine = this->donate(pool);
            this->evacuate(machine, EvacuationPurpose::Move, {}, standby->service, now);
        }
    }
}

EvacuationList PlannerState::list() const
{
    EvacuationList list;
    list.number = this->number;
    for (const auto &[executor, life] : this->ended) {
        list.ended[executor] = life.incarnation;
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
    std::erase_if(this->d->untouchedUntil, [this, now](const auto &entry) {
        const auto machine = this->d->machines.find(entry.first);
        return entry.second < now || machine == this->d->machines.end() || machine->second.state != MachineState::Up;
    });
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
    KnownReport &known = this->d->reports[report.service];
    const bool isOlder = std::pair(report.token, report.number) < std::pair(known.report.token, known.report.number);
    if (isOlder) {
        return;
    }
    known.report = report;
    known.at = now;
    known.uses.clear();
    for (std::size_t index = 0; index < report.executors.size(); ++index) {
        known.uses.emplace(report.executors[index].executor, index);
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
        return wallNow - entry.second.at > endedMemory;
    });
    std::erase_if(state.state.orderedAt, [wallNow](const auto &entry) {
        return wallNow - entry.second > orderedMemory;
    });
    state.dropStale(now);
    for (const Evacuation &evacuation : state.state.evacuations) {
        if (evacuation.isOrderConfirmed || !state.mayOrder(evacuation.machine, now) || !state.isEmptied(evacuation, now)) {
            continue;
        }
        if (evacuation.purpose == EvacuationPurpose::Move) {
            orders.move.push_back(evacuation);
        } else if (state.waves.contains(evacuation.wave) && state.inMaintenance(evacuation.wave) < state.waves.at(evacuation.wave).parallel) {
            orders.maintain.push_back(evacuation);
        } else {
            continue;
        }
        // Recorded before the order is given, so that a later planner knows of it in any case.
        state.state.orderedAt[evacuation.machine] = wallNow;
        state.untouchedUntil[evacuation.machine] = after(now, unknownHold);
    }
    std::map<ServiceId, PoolWatermarks> pools = state.viewPools(now);
    state.rememberNeeds(pools, now);
    state.needs.clear();
    for (const auto &[service, pool] : pools) {
        const auto report = state.reports.find(service);
        const bool isKnown = report != state.reports.end();
        PoolNeed need{service, pool.needed, pool.size()};
        need.leaving = pool.leaving;
        need.unreachable = pool.unreachable;
        need.inflow = isKnown ? report->second.report.inflow : 0;
        need.backlog = isKnown ? report->second.report.backlog : 0;
        need.reportAge = isKnown ? std::chrono::duration_cast<milliseconds>(now - report->second.at) : milliseconds(-1);
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
        this->d->markOrdered(order.machine, now);
    } else if (!isOutcomeUnknown) {
        this->d->untouchedUntil[order.machine] = after(now, milliseconds(300));
    }
}

void FleetPlanner::onMoveOutcome(const Evacuation &order, bool isDone, bool isOutcomeUnknown, TimePoint now)
{
    if (isDone) {
        this->d->markOrdered(order.machine, now);
    } else if (!isOutcomeUnknown) {
        this->d->endEvacuation(order.machine);
        this->d->untouchedUntil[order.machine] = after(now, milliseconds(1000));
    }
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
