// Private members of FleetState, with one tryApply() for each kind of record.
#pragma once

#include <mangocourse/fleetstate.h>

#include "verdictwindow_pvt.h"

namespace MangoCourse {

class FleetState::Private
{
public:
    std::map<PoolId, Pool> pools;
    std::map<InstanceId, Instance> instances;
    std::map<WaveId, Wave> waves;
    std::map<ServiceId, ServiceDefinition> services;
    SettingsTree settings;
    VerdictWindow verdicts{FleetState::verdictWindowSize};
    Offset offset = 0;

    // Each overload validates the record and applies it, or returns the reason for its refusal and leaves the state unchanged.
    Refusal tryApply(Offset offset, const DefinePool &body);
    Refusal tryApply(Offset offset, const DefineInstance &body);
    Refusal tryApply(Offset offset, const DefineService &body);
    Refusal tryApply(Offset offset, const ChangeSetting &body);
    Refusal tryApply(Offset offset, const StartWave &body);
    Refusal tryApply(Offset offset, const ControlWave &body);
    Refusal tryApply(Offset offset, const GrantMaintenance &body);
    Refusal tryApply(Offset offset, const AdvanceMaintenance &body);
    Refusal tryApply(Offset offset, const ReportHealth &body);
    Refusal tryApply(Offset offset, const StartMove &body);
    Refusal tryApply(Offset offset, const FinishMove &body);

    // Refuses all other records, as they belong to the jobs streams.
    template<typename Other>
    Refusal tryApply(Offset /*offset*/, const Other & /*body*/)
    {
        return Refusal::NotForThisStream;
    }

    // See FleetState::margin() and FleetState::headroom().
    int margin(const Pool &pool) const;
    int headroom(const Pool &pool) const;
    // Recomputes the pool's number of available members.
    void recountAvailable(const PoolId &id);
    // Marks the instance as maintained in the wave. Finishes the wave if no instances remain and it was not aborted.
    void markMaintained(const WaveId &id, const InstanceId &instance);
    // Removes an instance that has left the pool from the waves that have not maintained it yet. Finishes waves as markMaintained() does.
    void removeFromWaves(const InstanceId &instance);
};

}
