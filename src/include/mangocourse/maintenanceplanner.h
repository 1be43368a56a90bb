// What a keeper does next for waves, moves and health: records to propose and acts on the platform.
#pragma once

#include <memory>
#include <string_view>
#include <vector>

#include <mangocourse/clock.h>
#include <mangocourse/fleetstate.h>
#include <mangocourse/platform.h>

namespace MangoCourse {

// An act on the platform, allowed by the record at `token`.
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

// One round of the planner. Records are proposals: the fold decides.
struct MaintenancePlan {
    std::vector<RecordBody> records;
    std::vector<PlatformAction> actions;
};

// Why an instance of a wave is not further, for operators.
struct WaveExplanation {
    std::string summary;
    int granted = 0;
    int waiting = 0;
    int headroom = 0;
};

// Keeps only times of its own; everything agreed is in the FleetState. Any keeper's planner can go on where another stopped.
class MaintenancePlanner
{
public:
    // Creates a planner that proposes grants in the name of `holder`.
    static Result<MaintenancePlanner> create(ProcessId holder);

    MaintenancePlanner(MaintenancePlanner &&other) noexcept;
    MaintenancePlanner &operator=(MaintenancePlanner &&other) noexcept;
    MaintenancePlanner(const MaintenancePlanner &) = delete;
    MaintenancePlanner &operator=(const MaintenancePlanner &) = delete;
    ~MaintenancePlanner();

    // Plans the next round from the folded state and a reading of the list.
    MaintenancePlan plan(const FleetState &fleet, const InstanceListing &listing, TimePoint now);

    // Returns true where the act is still allowed by the newest state: the check immediately before a drain or a reboot.
    static bool isStillAllowed(const FleetState &fleet, const PlatformAction &action);

private:
    class Private;
    explicit MaintenancePlanner(std::unique_ptr<Private> impl);
    std::unique_ptr<Private> d;
};

// Says in one sentence what a wave waits for.
WaveExplanation explainWave(const FleetState &fleet, const WaveId &wave);

// Performs an act on a platform.
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
