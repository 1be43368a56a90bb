// The members of FleetState and one accept() per record kind.
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

    // Each returns why the record is refused, and changes the state only where it is not.
    Refusal accept(Offset offset, const DefinePool &body);
    Refusal accept(Offset offset, const DefineInstance &body);
    Refusal accept(Offset offset, const DefineService &body);
    Refusal accept(Offset offset, const ChangeSetting &body);
    Refusal accept(Offset offset, const StartWave &body);
    Refusal accept(Offset offset, const ControlWave &body);
    Refusal accept(Offset offset, const GrantMaintenance &body);
    Refusal accept(Offset offset, const AdvanceMaintenance &body);
    Refusal accept(Offset offset, const ReportHealth &body);
    Refusal accept(Offset offset, const StartMove &body);
    Refusal accept(Offset offset, const FinishMove &body);

    // Records of the jobs streams have no meaning here.
    template<typename Other>
    Refusal accept(Offset /*offset*/, const Other & /*body*/)
    {
        return Refusal::NotForThisStream;
    }

    int margin(const Pool &pool) const;
    int headroom(const Pool &pool) const;
    void refreshAvailability(const PoolId &id);
    void finishInWave(const WaveId &id, const InstanceId &instance);
    void dropFromWaves(const InstanceId &instance);
};

}
