// Records of the fleet and jobs streams in the platform's log. All replicated state is computed by applying them in order.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <mangocourse/error.h>
#include <mangocourse/ids.h>
#include <mangocourse/workclass.h>

namespace MangoCourse {

// An operator's specification of a pool. `minAvailable` is the least number of available instances, `margin` the number kept above it, by
// default the size of the pool's largest rack. `lenders` are the pools that take requests for which this pool has no free executor.
struct PoolSpec {
    int minAvailable = 0;
    std::optional<int> margin;
    std::vector<ServiceId> services;
    std::vector<PoolId> lenders;
};

// An operator's specification of an instance: its failure domain and its limits on concurrent work.
struct InstanceSpec {
    DataCentreId dataCentre;
    RackId rack;
    int slots = 0;
    int connections = 0;
};

// Creates a pool, or replaces the spec of an existing one.
struct DefinePool {
    PoolId pool;
    PoolSpec spec;
};

// Scheduling class of a service, and whether its work may run more than once.
struct ServiceDefinition {
    WorkClass workClass = WorkClass::Counter;
    bool idempotent = true;
};

// Creates a service or replaces its definition.
struct DefineService {
    ServiceId service;
    ServiceDefinition definition;
};

// Creates an instance in a pool. Refused if the instance exists: only StartMove and FinishMove change its pool.
struct DefineInstance {
    InstanceId instance;
    PoolId pool;
    InstanceSpec spec;
};

// Sets one key at one node of the settings tree, or unsets it if `value` is empty.
// Refused if the tree's revision differs from `expected`; -1 matches any revision.
struct ChangeSetting {
    std::string path;
    std::string key;
    std::optional<std::string> value;
    Revision expected = -1;
};

// Starts a maintenance wave over all instances that belong to the pool at this offset.
struct StartWave {
    WaveId wave;
    PoolId pool;
};

// An operator's actions on a wave that is running or paused.
enum class WaveAction {
    Pause,
    Resume,
    Abort,
};

// Pauses, resumes or aborts a wave.
struct ControlWave {
    WaveId wave;
    WaveAction action = WaveAction::Pause;
};

// Requests a grant to take one instance down. Accepted only if the pool's budget allows it at this offset.
struct GrantMaintenance {
    WaveId wave;
    InstanceId instance;
    ProcessId holder;
};

// Phases of a maintenance grant. Returned (rebooted and back in service) and HandedBack (given up) end the grant.
enum class MaintenancePhase {
    Draining,
    Rebooting,
    Returned,
    HandedBack,
};

// Moves a grant to its next phase. `grant` is the offset of the accepted GrantMaintenance record, the fencing token.
struct AdvanceMaintenance {
    InstanceId instance;
    Offset grant = 0;
    MaintenancePhase phase = MaintenancePhase::Rebooting;
};

// A keeper's observation that an instance has become available or unavailable.
struct ReportHealth {
    InstanceId instance;
    bool available = true;
};

// Starts to move an instance to another pool; it belongs to `from` until FinishMove.
struct StartMove {
    InstanceId instance;
    PoolId from;
    PoolId to;
};

// Puts a drained instance into its new pool, or keeps it in the old one if `cancelled`. `move` is the offset of the accepted StartMove
// record, the fencing token.
struct FinishMove {
    InstanceId instance;
    Offset move = 0;
    bool cancelled = false;
};

// Accepts a job durably. `job` is the caller's idempotency key.
struct AcceptJob {
    JobId job;
    ServiceId service;
    TeamId team;
    bool idempotent = false;
    std::string payload;
};

// Claims a waiting job for one holder. Refused while another claim is active. A non-idempotent job that may have run is final and can
// never be claimed again.
struct ClaimJob {
    JobId job;
    ProcessId holder;
};

// Ends a claim with the job's outcome. The first accepted FinishJob is final, later ones are refused. `claim` is the offset of the accepted ClaimJob
// record, the fencing token.
struct FinishJob {
    JobId job;
    Offset claim = 0;
    int status = 0;
    std::string outcome;
};

// Why a claim ended without an outcome.
enum class ReleaseReason {
    NotRun,
    LeaseExpired,
    RunFailed,
};

// Ends a claim without an outcome.
struct ReleaseJob {
    JobId job;
    Offset claim = 0;
    ReleaseReason reason = ReleaseReason::NotRun;
};

// Cancels a waiting job at its caller's request. Refused while a claim is active.
struct CancelJob {
    JobId job;
};

using RecordBody = std::variant<DefinePool, DefineInstance, ChangeSetting, StartWave, ControlWave, GrantMaintenance, AdvanceMaintenance, ReportHealth,
    StartMove, FinishMove, AcceptJob, ClaimJob, FinishJob, ReleaseJob, CancelJob, DefineService>;

// A record and its unique id. Readers ignore a second record with the same id, so that an append may be retried.
struct Record {
    RecordId id;
    RecordBody body;
};

// Why a record was refused.
enum class Refusal {
    None,
    UnknownPool,
    UnknownInstance,
    UnknownWave,
    UnknownJob,
    AlreadyExists,
    StaleRevision,
    InvalidSetting,
    BudgetExhausted,
    WavePaused,
    NotInWave,
    StaleToken,
    WrongPool,
    Busy,
    AlreadyClaimed,
    AlreadyFinal,
    Unchanged,
    NotForThisStream,
    Undecodable,
};

// Returns the wire name, such as "budget-exhausted".
std::string_view toString(Refusal refusal);

// The result of applying one record, the same at every reader of the stream.
struct RecordVerdict {
    Offset offset = 0;
    Refusal refusal = Refusal::None;

    bool isAccepted() const
    {
        return this->refusal == Refusal::None;
    }
};

// Serializes the record to one line of JSON, as it is stored in the log.
std::string encodeRecord(const Record &record);

// Returns the record, or ErrorCode::Decode with the field that is missing or of the wrong type.
Result<Record> decodeRecord(std::string_view text);

}
