// Planning of waves, moves and health reports.
#include <mangocourse/maintenanceplanner.h>

#include <algorithm>
#include <array>
#include <unordered_map>

namespace MangoCourse {

namespace {

using namespace std::chrono_literals;

// The list lags and has holes: an instance is reported missing only after this long.
constexpr Duration missingAfter = 5s;

constexpr std::array<std::string_view, 5> stateNames = {"live", "draining", "drained", "rebooting", "down"};

}

std::string_view toString(InstanceState state)
{
    return stateNames.at(static_cast<std::size_t>(state));
}

std::string_view toString(PlatformAction::Kind kind)
{
    static constexpr std::array<std::string_view, 4> names = {"drain", "undrain", "reboot", "relabel"};
    return names.at(static_cast<std::size_t>(kind));
}

Result<InstanceState> parseInstanceState(std::string_view name)
{
    const auto found = std::find(stateNames.begin(), stateNames.end(), name);
    if (found == stateNames.end()) {
        return makeError(ErrorCode::Decode, "unknown instance state \"" + std::string(name) + "\"");
    }
    return static_cast<InstanceState>(found - stateNames.begin());
}

class MaintenancePlanner::Private
{
public:
    explicit Private(ProcessId holder)
        : holder(std::move(holder))
    {
    }

    // When this planner first saw a grant or a missing instance; its own monotonic time only.
    struct Sighting {
        Offset token = 0;
        TimePoint since{};
    };

    ProcessId holder;
    std::unordered_map<InstanceId, Sighting> grantsSeen;
    std::unordered_map<InstanceId, TimePoint> missingSince;

    void planGrant(const FleetState &fleet, const InstanceId &id, const Instance &instance, const ListedInstance &listed, TimePoint now, MaintenancePlan &plan);
    void planDraining(
        const FleetState &fleet, const InstanceId &id, const Instance &instance, const ListedInstance &listed, TimePoint now, MaintenancePlan &plan);
    void planWave(const FleetState &fleet, const WaveId &id, const Wave &wave, const InstanceListing &listing, MaintenancePlan &plan) const;
    bool isMissingFor(const InstanceId &id, bool listed, TimePoint now);
    void planHealth(const InstanceId &id, const Instance &instance, const InstanceListing &listing, TimePoint now, MaintenancePlan &plan);
};

namespace {

void planMove(const InstanceId &id, const Instance &instance, const ListedInstance &listed, MaintenancePlan &plan)
{
    const Move &move = *instance.move;
    const bool isClosed = listed.closedToken >= move.token;
    if (isClosed && listed.state == InstanceState::Live) {
        // Live again, in whichever pool the platform has it: a token closed before the relabel cancels the move.
        plan.records.emplace_back(FinishMove{id, move.token, listed.pool != move.to});
    } else if (listed.state == InstanceState::Live) {
        plan.actions.push_back({PlatformAction::Kind::Drain, id, move.token, {}});
    } else if (listed.state == InstanceState::Drained && listed.token == move.token) {
        const PlatformAction::Kind next = listed.pool == move.to ? PlatformAction::Kind::Undrain : PlatformAction::Kind::Relabel;
        plan.actions.push_back({next, id, move.token, move.to});
    }
}

bool isOutOfService(const ListedInstance &listed)
{
    return listed.state == InstanceState::Draining || listed.state == InstanceState::Drained;
}

}

void MaintenancePlanner::Private::planDraining(
    const FleetState &fleet, const InstanceId &id, const Instance &instance, const ListedInstance &listed, TimePoint now, MaintenancePlan &plan)
{
    const Grant &grant = *instance.grant;
    Sighting &seen = this->grantsSeen[id];
    if (seen.token != grant.token) {
        seen = Sighting{grant.token, now};
    }
    if (listed.state == InstanceState::Drained && listed.token == grant.token) {
        plan.records.emplace_back(AdvanceMaintenance{id, grant.token, MaintenancePhase::Rebooting});
        return;
    }
    const Pool &pool = *fleet.pool(instance.pool);
    const Duration drainTimeout = std::chrono::milliseconds(fleet.settings().value(instance.pool.value, Keys::drainTimeoutMs));
    const bool isBelowBudget = pool.available < pool.spec.minAvailable;
    const bool isClosed = listed.closedToken >= grant.token;
    if (isClosed) {
        plan.records.emplace_back(AdvanceMaintenance{id, grant.token, MaintenancePhase::HandedBack});
        return;
    }
    // The token is closed before the log says that the instance is back: no late drain can take it out under a budget that counts it.
    if (isBelowBudget || now - seen.since > drainTimeout) {
        plan.actions.push_back({PlatformAction::Kind::Undrain, id, grant.token, {}});
        return;
    }
    if (listed.state == InstanceState::Live) {
        plan.actions.push_back({PlatformAction::Kind::Drain, id, grant.token, {}});
    }
}

void MaintenancePlanner::Private::planGrant(
    const FleetState &fleet, const InstanceId &id, const Instance &instance, const ListedInstance &listed, TimePoint now, MaintenancePlan &plan)
{
    const Grant &grant = *instance.grant;
    if (grant.phase == MaintenancePhase::Draining) {
        this->planDraining(fleet, id, instance, listed, now, plan);
        return;
    }
    if (listed.state == InstanceState::Live && listed.lastRebootToken == grant.token) {
        plan.records.emplace_back(AdvanceMaintenance{id, grant.token, MaintenancePhase::Returned});
    } else if (listed.lastRebootToken != grant.token && listed.closedToken >= grant.token) {
        // Another keeper handed the instance back while this phase was being recorded: no reboot can come under this token.
        plan.records.emplace_back(AdvanceMaintenance{id, grant.token, MaintenancePhase::HandedBack});
    } else if (listed.lastRebootToken != grant.token && listed.state != InstanceState::Rebooting) {
        plan.actions.push_back({PlatformAction::Kind::Reboot, id, grant.token, {}});
    }
}

bool MaintenancePlanner::Private::isMissingFor(const InstanceId &id, bool listed, TimePoint now)
{
    if (listed) {
        this->missingSince.erase(id);
        return false;
    }
    const TimePoint since = this->missingSince.try_emplace(id, now).first->second;
    return now - since >= missingAfter;
}

void MaintenancePlanner::Private::planHealth(
    const InstanceId &id, const Instance &instance, const InstanceListing &listing, TimePoint now, MaintenancePlan &plan)
{
    const auto found = listing.find(id);
    const bool listed = found != listing.end();
    const bool missing = this->isMissingFor(id, listed, now);
    const bool isDown = missing || (listed && found->second.state == InstanceState::Down);
    if (isDown && instance.available) {
        plan.records.emplace_back(ReportHealth{id, false});
    } else if (listed && found->second.state == InstanceState::Live && !instance.available) {
        plan.records.emplace_back(ReportHealth{id, true});
    }
}

void MaintenancePlanner::Private::planWave(
    const FleetState &fleet, const WaveId &id, const Wave &wave, const InstanceListing &listing, MaintenancePlan &plan) const
{
    if (wave.status != WaveStatus::Running || fleet.settings().value(wave.pool.value, Keys::maintenanceEnabled) == 0) {
        return;
    }
    std::vector<InstanceId> candidates;
    for (const InstanceId &instance : wave.remaining) {
        const Instance *known = fleet.instance(instance);
        const auto listed = listing.find(instance);
        const bool isLive = listed != listing.end() && listed->second.state == InstanceState::Live;
        if (known != nullptr && known->takesNewWork() && isLive) {
            candidates.push_back(instance);
        }
    }
    // Instances of one rack go together, so that later racks stay whole as long as possible.
    std::stable_sort(candidates.begin(), candidates.end(), [&fleet](const InstanceId &left, const InstanceId &right) {
        const InstanceSpec &a = fleet.instance(left)->spec;
        const InstanceSpec &b = fleet.instance(right)->spec;
        return std::tie(a.dataCentre, a.rack) < std::tie(b.dataCentre, b.rack);
    });
    const auto granted = std::min<std::size_t>(candidates.size(), static_cast<std::size_t>(fleet.headroom(wave.pool)));
    for (std::size_t index = 0; index < granted; ++index) {
        plan.records.emplace_back(GrantMaintenance{id, candidates[index], this->holder});
    }
}

MaintenancePlanner::MaintenancePlanner(std::unique_ptr<Private> impl)
    : d(std::move(impl))
{
}

MaintenancePlanner::MaintenancePlanner(MaintenancePlanner &&other) noexcept = default;
MaintenancePlanner &MaintenancePlanner::operator=(MaintenancePlanner &&other) noexcept = default;
MaintenancePlanner::~MaintenancePlanner() = default;

Result<MaintenancePlanner> MaintenancePlanner::create(ProcessId holder)
{
    if (holder.isEmpty()) {
        return makeError(ErrorCode::InvalidArgument, "a planner needs the name of its process", "holder");
    }
    return MaintenancePlanner(std::make_unique<Private>(std::move(holder)));
}

MaintenancePlan MaintenancePlanner::plan(const FleetState &fleet, const InstanceListing &listing, TimePoint now)
{
    MaintenancePlan plan;
    for (const auto &[id, instance] : fleet.instances()) {
        const auto listed = listing.find(id);
        const bool hasGrant = instance.grant && instance.grant->isOpen();
        if (!hasGrant) {
            this->d->planHealth(id, instance, listing, now, plan);
        }
        if (listed == listing.end()) {
            continue;
        }
        if (hasGrant) {
            this->d->planGrant(fleet, id, instance, listed->second, now, plan);
        } else if (instance.move) {
            planMove(id, instance, listed->second, plan);
        } else if (isOutOfService(listed->second)) {
            // The token of the finished act: a drain under a newer grant outranks it at the platform.
            plan.actions.push_back({PlatformAction::Kind::Undrain, id, listed->second.token, {}});
        }
    }
    for (const auto &[id, wave] : fleet.waves()) {
        this->d->planWave(fleet, id, wave, listing, plan);
    }
    return plan;
}

bool MaintenancePlanner::isStillAllowed(const FleetState &fleet, const PlatformAction &action)
{
    const Instance *instance = fleet.instance(action.instance);
    if (instance == nullptr) {
        return false;
    }
    const bool isGrants = instance->grant && instance->grant->token == action.token && instance->grant->isOpen();
    const bool isMoves = instance->move && instance->move->token == action.token;
    switch (action.kind) {
    case PlatformAction::Kind::Drain:
        return isMoves || (isGrants && instance->grant->phase == MaintenancePhase::Draining);
    case PlatformAction::Kind::Reboot:
        return isGrants && instance->grant->phase == MaintenancePhase::Rebooting;
    case PlatformAction::Kind::Relabel:
        return isMoves;
    case PlatformAction::Kind::Undrain:
        return isMoves || !isGrants || instance->grant->phase == MaintenancePhase::Draining;
    }
    return false;
}

WaveExplanation explainWave(const FleetState &fleet, const WaveId &id)
{
    WaveExplanation explanation;
    const auto found = fleet.waves().find(id);
    if (found == fleet.waves().end()) {
        explanation.summary = "there is no such wave";
        return explanation;
    }
    const Wave &wave = found->second;
    explanation.headroom = fleet.headroom(wave.pool);
    for (const InstanceId &instance : wave.remaining) {
        const Instance *known = fleet.instance(instance);
        const bool granted = known != nullptr && known->grant && known->grant->isOpen();
        ++(granted ? explanation.granted : explanation.waiting);
    }
    const Pool &pool = *fleet.pool(wave.pool);
    const std::string budget = std::to_string(pool.available) + " available, budget " + std::to_string(pool.spec.minAvailable) + " and margin "
        + std::to_string(fleet.margin(wave.pool));
    if (wave.status == WaveStatus::Finished) {
        explanation.summary = "finished";
    } else if (wave.status == WaveStatus::Paused) {
        explanation.summary = "paused by an operator; resume it with: mangoctl wave resume " + id.value;
    } else if (wave.status == WaveStatus::Aborted) {
        explanation.summary = "aborted by an operator";
    } else if (fleet.settings().value(wave.pool.value, Keys::maintenanceEnabled) == 0) {
        explanation.summary = "held back by the setting maintenance.enabled";
    } else if (explanation.granted > 0) {
        explanation.summary = std::to_string(explanation.granted) + " instances are draining or rebooting; " + budget;
    } else if (explanation.headroom == 0) {
        explanation.summary = "waits for the budget: " + budget;
    } else {
        explanation.summary = "about to grant; " + budget;
    }
    return explanation;
}

}
