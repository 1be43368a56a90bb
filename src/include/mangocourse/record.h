// Records of the project's own streams in the platform's log. All agreed state is a fold over them.
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

// What an operator says of a pool. A missing margin means the pool's largest rack.
struct PoolSpec {
    int minAvailable = 0;
    std::optional<int> margin;
    std::vector<ServiceId> services;
    std::vector<PoolId> lenders;
};

// What an operator says of an instance: its failure domain and its limits for work.
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

// What the system must know of a service: how urgent it is and whether a second run does harm.
struct ServiceDefinition {
    WorkClass workClass = WorkClass::Counter;
    bool idempotent = true;
};

// Creates a service or replaces its definition.
struct DefineService {
    ServiceId service;
    ServiceDefinition definition;
};

// Creates an instance in a pool. Refused where the instance exists already: moves have records of their own.
struct DefineInstance {
    InstanceId instance;
    PoolId pool;
    InstanceSpec spec;
};

// Sets one key at one node of the settings tree, or unsets it where value is empty.
// Refused where the tree's revision is no longer `expected`; -1 accepts any.
struct ChangeSetting {
    std::string path;
    std::string key;
    std::optional<std::string> value;
    Revision expected = -1;
};

// Starts a maintenance wave over every instance that the pool has at this offset.
struct StartWave {
    WaveId wave;
    PoolId pool;
};

// What an operator can do to a running wave.
enum class WaveAction {
    Pause,
    Resume,
    Abort,
};

struct ControlWave {
    WaveId wave;
    WaveAction action = WaveAction::Pause;
};

// Asks to take one instance down. Accepted only where the budget allows it at this offset.
struct GrantMaintenance {
    WaveId wave;
    InstanceId instance;
    ProcessId holder;
};

// Steps of one granted instance; Returned and HandedBack end the grant.
enum class MaintenancePhase {
    Draining,
    Rebooting,
    Returned,
    HandedBack,
};

// Moves a grant on. `grant` is the offset of the accepted grant, its fencing token.
struct AdvanceMaintenance {
    InstanceId instance;
    Offset grant = 0;
    MaintenancePhase phase = MaintenancePhase::Rebooting;
};

// A keeper's observation that an instance can or cannot serve.
struct ReportHealth {
    InstanceId instance;
    bool available = true;
};

// Takes an instance out of one pool towards another; it belongs to `from` until FinishMove.
struct StartMove {
    InstanceId instance;
    PoolId from;
    PoolId to;
};

// Puts a drained instance into its new pool. `move` is the offset of the accepted StartMove.
struct FinishMove {
    InstanceId instance;
    Offset move = 0;
    bool cancelled = false;
};

// A job that the system answers for from this record on. The id is the caller's idempotency key.
struct AcceptJob {
    JobId job;
    ServiceId service;
    TeamId team;
    bool idempotent = false;
    std::string payload;
};

// Gives the job to one holder. Refused while another claim stands, and for ever after an unproved run of non-idempotent work.
struct ClaimJob {
    JobId job;
    ProcessId holder;
};

// Ends a claim with the outcome. The first accepted FinishJob of a job is its outcome.
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

struct ReleaseJob {
    JobId job;
    Offset claim = 0;
    ReleaseReason reason = ReleaseReason::NotRun;
};

struct CancelJob {
    JobId job;
};

using RecordBody = std::variant<DefinePool, DefineInstance, ChangeSetting, StartWave, ControlWave, GrantMaintenance, AdvanceMaintenance, ReportHealth,
    StartMove, FinishMove, AcceptJob, ClaimJob, FinishJob, ReleaseJob, CancelJob, DefineService>;

// A record with the id that makes a second append of it harmless.
struct Record {
    RecordId id;
    RecordBody body;
};

// Why the fold refused a record.
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

// Returns the refusal's wire spelling, such as "budget-exhausted".
std::string_view toString(Refusal refusal);

// The fold's answer to one record: the same at every reader of the stream.
struct RecordVerdict {
    Offset offset = 0;
    Refusal refusal = Refusal::None;

    bool isAccepted() const
    {
        return this->refusal == Refusal::None;
    }
};

// Returns the record as one line of JSON, the form in which it stands in the log.
std::string encodeRecord(const Record &record);

// Returns the record, or ErrorCode::Decode naming the field that is missing or of the wrong type.
Result<Record> decodeRecord(std::string_view text);

}
