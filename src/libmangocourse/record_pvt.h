// JSON conversions of the library's plain types, shared by the record codec and the snapshots.
#pragma once

#include <array>

#include <nlohmann/json.hpp>

#include <mangocourse/record.h>

namespace nlohmann {

template<typename T>
struct adl_serializer<std::optional<T>> {
    static void to_json(json &json, const std::optional<T> &value)
    {
        if (value) {
            json = *value;
        } else {
            json = nullptr;
        }
    }
    static void from_json(const json &json, std::optional<T> &value)
    {
        if (json.is_null()) {
            value.reset();
        } else {
            value = json.get<T>();
        }
    }
};

}

namespace MangoCourse {

template<typename Tag>
void to_json(nlohmann::json &json, const Id<Tag> &id)
{
    json = id.value;
}

template<typename Tag>
void from_json(const nlohmann::json &json, Id<Tag> &id)
{
    json.get_to(id.value);
}

NLOHMANN_JSON_SERIALIZE_ENUM(WaveAction, {{WaveAction::Pause, "pause"}, {WaveAction::Resume, "resume"}, {WaveAction::Abort, "abort"}})
NLOHMANN_JSON_SERIALIZE_ENUM(MaintenancePhase,
    {{MaintenancePhase::Draining, "draining"}, {MaintenancePhase::Rebooting, "rebooting"}, {MaintenancePhase::Returned, "returned"},
        {MaintenancePhase::HandedBack, "handed-back"}})
NLOHMANN_JSON_SERIALIZE_ENUM(
    ReleaseReason, {{ReleaseReason::NotRun, "not-run"}, {ReleaseReason::LeaseExpired, "lease-lapsed"}, {ReleaseReason::RunFailed, "run-failed"}})

NLOHMANN_JSON_SERIALIZE_ENUM(WorkClass, {{WorkClass::Counter, "counter"}, {WorkClass::Shop, "shop"}, {WorkClass::Overnight, "overnight"}})
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ServiceDefinition, workClass, idempotent)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(DefineService, service, definition)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PoolSpec, minAvailable, margin, services, lenders)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(InstanceSpec, dataCentre, rack, slots, connections)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(DefinePool, pool, spec)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(DefineInstance, instance, pool, spec)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ChangeSetting, path, key, value, expected)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(StartWave, wave, pool)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ControlWave, wave, action)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(GrantMaintenance, wave, instance, holder)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AdvanceMaintenance, instance, grant, phase)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ReportHealth, instance, available)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(StartMove, instance, from, to)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(FinishMove, instance, move, cancelled)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AcceptJob, job, service, team, idempotent, payload)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ClaimJob, job, holder)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(FinishJob, job, claim, status, outcome)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ReleaseJob, job, claim, reason)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CancelJob, job)

}
