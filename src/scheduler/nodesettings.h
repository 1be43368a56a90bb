// What one scheduler process knows at its start.
#pragma once

#include <algorithm>
#include <chrono>
#include <string>

#include <mangocourse/fleetplanner.h>
#include <mangocourse/poolscheduler.h>
#include <mangocourse/processsettings.h>

namespace MangoCourse {

struct NodeSettings {
    // Share of a core, in thousandths, that is enough for any duty.
    static constexpr std::int32_t ampleShare = 500;

    ProcessId name;
    DataCentreId dataCentre;
    // Where callers connect, where readiness is asked, and where metrics and state are served.
    Endpoint callers;
    Endpoint readiness;
    Endpoint admin;
    std::int32_t partitions = 8;
    // What the machine gives this process, in thousandths of a core; 0 where the settings do not say.
    std::int32_t cpuMillicores = 0;
    SchedulerSettings scheduler;
    PlannerSettings planner;
    // Time between the request to stop and the end by force.
    std::chrono::milliseconds stopGrace{6000};
    // How long final states of jobs can be asked for.
    std::chrono::milliseconds statusRetention{120'000};
    // Two planners' orders for one machine are at least this far apart.
    std::chrono::milliseconds planLease{3000};
    // Shortest membership time that the store accepts.
    std::chrono::milliseconds minMembershipTtl{1000};
    bool hasMachines = false;
    bool hasPolicy = false;

    // Processes with little processor time wait this much longer before they take a duty that nobody has: a stronger one may be about to.
    std::chrono::milliseconds dutyDelay() const
    {
        constexpr std::chrono::milliseconds longest{1000};
        return longest * (ampleShare - std::clamp(this->cpuMillicores, 0, ampleShare)) / ampleShare;
    }

    // Such a process need not look whether others are stronger.
    bool hasAmpleShare() const
    {
        return this->cpuMillicores >= ampleShare;
    }

    // A member of a group that is silent for this long is replaced.
    std::chrono::milliseconds membershipTimeout() const
    {
        constexpr std::chrono::milliseconds wanted{1200};
        return std::max(wanted, this->minMembershipTtl);
    }
};

}
