// State machine of the fleet stream: pools, instances, services, settings, maintenance waves and moves.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <mangocourse/record.h>
#include <mangocourse/settingstree.h>

namespace MangoCourse {

// The current maintenance grant of an instance, or its last one. `token` is the offset of the GrantMaintenance record, the fencing token.
struct Grant {
    WaveId wave;
    ProcessId holder;
    Offset token = 0;
    MaintenancePhase phase = MaintenancePhase::Draining;

    bool isOpen() const
    {
        return this->phase == MaintenancePhase::Draining || this->phase == MaintenancePhase::Rebooting;
    }
};

// A move in progress. `token` is the offset of the StartMove record, the fencing token.
struct Move {
    PoolId to;
    Offset token = 0;
};

// One instance; `pool` is the pool that it belongs to, until the end of a move the old one.
struct Instance {
    InstanceSpec spec;
    PoolId pool;
    bool available = true;
    std::optional<Grant> grant;
    std::optional<Move> move;

    // Returns true if new work may be placed on the instance.
    bool takesNewWork() const
    {
        return this->available && !this->move && !(this->grant && this->grant->isOpen());
    }
    // Returns true if the instance counts as available in its pool's budget.
    bool countsAsAvailable() const
    {
        return this->takesNewWork();
    }
};

// A pool with its members; `available` is the number of members that count as available.
struct Pool {
    PoolSpec spec;
    std::set<InstanceId> members;
    int available = 0;
};

enum class WaveStatus {
    Running,
    Paused,
    Aborted,
    Finished,
};

// One maintenance wave; `remaining` holds the instances still to be maintained, `maintained` counts the others.
struct Wave {
    PoolId pool;
    WaveStatus status = WaveStatus::Running;
    std::set<InstanceId> remaining;
    int maintained = 0;
};

// Deterministic state machine over the records of the fleet stream: every process that applies the same records has the same state
// and the same verdicts. An invalid record is refused and changes only the offset. Copyable; not thread-safe.
class FleetState
{
public:
    class Private;

    FleetState();
    ~FleetState();
    FleetState(const FleetState &other);
    FleetState(FleetState &&other) noexcept;
    FleetState &operator=(const FleetState &other);
    FleetState &operator=(FleetState &&other) noexcept;

    // Applies the record at `offset`. Requires an offset above offset(). A duplicate, a record whose id was applied before, returns
    // the first verdict and changes only the offset.
    RecordVerdict apply(Offset offset, const Record &record);

    // Advances the offset past a record that cannot be decoded, and returns Refusal::Undecodable.
    RecordVerdict skipUndecodable(Offset offset);

    // Returns the verdict on a record, if it is among the last `verdictWindowSize` ones.
    std::optional<RecordVerdict> verdictOf(const RecordId &id) const;

    // Returns the offset of the last applied or skipped record.
    Offset offset() const;

    const std::map<PoolId, Pool> &pools() const;
    const std::map<InstanceId, Instance> &instances() const;
    const std::map<WaveId, Wave> &waves() const;
    const SettingsTree &settings() const;
    const std::map<ServiceId, ServiceDefinition> &services() const;

    // Each returns nullptr if the name is unknown.
    const Instance *instance(const InstanceId &id) const;
    const Pool *pool(const PoolId &id) const;

    // Returns the number of instances that may still be taken out of the pool: available - minAvailable - margin, at least 0; 0 for an
    // unknown pool.
    int headroom(const PoolId &id) const;

    // Returns the number of instances kept above the pool's minimum: the spec's margin, by default the size of the pool's largest rack.
    int margin(const PoolId &id) const;

    // Serializes the state to JSON, for snapshots and state dumps.
    std::string toJson() const;

    // Restores a state from the text of toJson(), or returns ErrorCode::Decode.
    static Result<FleetState> fromJson(std::string_view text);

    // Number of verdicts kept, for the detection of duplicates and for submitters that wait for a verdict.
    static constexpr std::size_t verdictWindowSize = 8192;

private:
    std::unique_ptr<Private> d;
};

}
