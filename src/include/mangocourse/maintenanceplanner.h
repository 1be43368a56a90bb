// Plans a keeper's next steps for waves, moves and health reports: records to propose and actions on the platform.
#pragma once

#include <memory>
#include <string_view>
#include <vector>

#include <mangocourse/clock.h>
#include <mangocourse/fleetstate.h>
#include <mangocourse/platform.h>

namespace MangoCourse {

// An action on the platform. `token` is the offset of the record that allows it and serves as the fencing token.
struct PlatformAction {
    enum class Kind {
        Drain,
        Undrain,
        Reboot,
        Relabel,
    };
    Kind kind = Kind::Drain;
    InstanceId instance;
    Offset token = 0;
    PoolId pool;
};

// Returns the wire spelling, such as "drain".
std::string_view toString(PlatformAction::Kind kind);

// The result of one planning round. The records are proposals; they take effect only if the replay of the log accepts them.
struct MaintenancePlan {
    std::vector<RecordBody> records;
    std::vector<PlatformAction> actions;
};

// The progress of a wave and what it waits for, for operators.
struct WaveExplanation {
    std::string summary;
    int granted = 0;
    int waiting = 0;
    int headroom = 0;
};

// Keeps only local timestamps; all shared state is in the FleetState, so any keeper's planner can take over from another.
class MaintenancePlanner
{
public:
    // Creates a planner that proposes grants on behalf of `holder`. Returns InvalidArgument for an empty identifier.
    static Result<MaintenancePlanner> create(ProcessId holder);

    MaintenancePlanner(MaintenancePlanner &&other) noexcept;
    MaintenancePlanner &operator=(MaintenancePlanner &&other) noexcept;
    MaintenancePlanner(const MaintenancePlanner &) = delete;
    MaintenancePlanner &operator=(const MaintenancePlanner &) = delete;
    ~MaintenancePlanner();

    // Plans the next round from the replayed state and a listing of the instances.
    MaintenancePlan plan(const FleetState &fleet, const InstanceListing &listing, TimePoint now);

    // Returns true when the newest state still allows the action. Called immediately before each action.
    static bool isStillAllowed(const FleetState &fleet, const PlatformAction &action);

private:
    class Private;
    explicit MaintenancePlanner(std::unique_ptr<Private> impl);
    std::unique_ptr<Private> d;
};

// Returns the counts of a wave's instances and one sentence about what it waits for.
WaveExplanation explainWave(const FleetState &fleet, const WaveId &wave);

// Performs the action on the platform.
template<Platform P>
Result<void> perform(P &platform, const PlatformAction &action)
{
    switch (action.kind) {
    case PlatformAction::Kind::Drain:
        return platform.drain(action.instance, action.token);
    case PlatformAction::Kind::Undrain:
        return platform.undrain(action.instance, action.token);
    case PlatformAction::Kind::Reboot:
        return platform.reboot(action.instance, action.token);
    case PlatformAction::Kind::Relabel:
        return platform.relabel(action.instance, action.token, action.pool);
    }
    return {};
}

}
