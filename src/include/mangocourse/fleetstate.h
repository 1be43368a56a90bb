// The fleet as the log says it is: pools, instances, settings, waves and moves, folded from the fleet stream.
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

// A maintenance grant that stands, or the last one that ended.
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

// A move under way.
struct Move {
    PoolId to;
    Offset token = 0;
};

// One instance; `pool` is the one pool that it belongs to.
struct Instance {
    InstanceSpec spec;
    PoolId pool;
    bool available = true;
    std::optional<Grant> grant;
    std::optional<Move> move;

    // Returns true where new work may go to it.
    bool takesNewWork() const
    {
        return this->available && !this->move && !(this->grant && this->grant->isOpen());
    }
    // Returns true where it counts towards its pool's budget.
    bool countsAsAvailable() const
    {
        return this->takesNewWork();
    }
};

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

// One maintenance wave; `remaining` holds the instances that have not returned yet.
struct Wave {
    PoolId pool;
    WaveStatus status = WaveStatus::Running;
    std::set<InstanceId> remaining;
    int maintained = 0;
};

// Deterministic and total: the same records give the same state and the same verdicts at every reader.
// An invalid record is refused and changes nothing but the offset. Copyable; not safe for concurrent use.
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

    // Applies the record at `offset`, which must be above offset(). A second record with an id seen before gets the first one's
    // verdict and changes nothing.
    RecordVerdict apply(Offset offset, const Record &record);

    // Counts a record that could not be decoded.
    RecordVerdict skipUndecodable(Offset offset);

    // Returns the verdict on a record among the last `verdictWindowSize` ones.
    std::optional<RecordVerdict> verdictOf(const RecordId &id) const;

    // Returns the offset of the last record applied.
    Offset offset() const;

    const std::map<PoolId, Pool> &pools() const;
    const std::map<InstanceId, Instance> &instances() const;
    const std::map<WaveId, Wave> &waves() const;
    const SettingsTree &settings() const;
    const std::map<ServiceId, ServiceDefinition> &services() const;

    // Returns the instance or the pool, or nullptr where there is none of that name.
    const Instance *instance(const InstanceId &id) const;
    const Pool *pool(const PoolId &id) const;

    // Returns how many more instances of the pool may be taken down at this offset; never negative, 0 for an unknown pool.
    int headroom(const PoolId &id) const;

    // Returns the margin kept above the budget: the spec's, or the size of the pool's largest rack.
    int margin(const PoolId &id) const;

    // Returns the state as JSON for a snapshot or a state dump.
    std::string toJson() const;

    // Restores a state from toJson()'s text, or returns ErrorCode::Decode.
    static Result<FleetState> fromJson(std::string_view text);

    // Verdicts remembered for duplicates and for proposers that wait.
    static constexpr std::size_t verdictWindowSize = 8192;

private:
    std::unique_ptr<Private> d;
};

}
