// Startup settings of one scheduler process.
#pragma once

#include <algorithm>
#include <chrono>
#include <string>

#include <mangocourse/fleetplanner.h>
#include <mangocourse/poolscheduler.h>
#include <mangocourse/processsettings.h>

namespace MangoCourse {

struct NodeSettings {
    // CPU share in thousandths of a core that is sufficient for every duty.
    static constexpr std::int32_t sufficientMillicores = 500;
    // Assumed if the settings do not specify the memory.
    static constexpr std::size_t defaultMemory = std::size_t(128) * 1024 * 1024;
    // Fractions of the memory for orders under way and for open jobs, and the most bytes for jobs.
    static constexpr std::size_t memoryPerOrderMemory = 16;
    static constexpr std::size_t memoryPerJobMemory = 3;
    static constexpr std::size_t maxJobMemory = std::size_t(64) * 1024 * 1024;

    ProcessId name;
    DataCentreId dataCentre;
    // Listening addresses for callers, for readiness checks, and for metrics and state.
    Endpoint callers;
    Endpoint readiness;
    Endpoint admin;
    std::int32_t partitions = 8;
    // CPU share of this process in thousandths of a core; 0 if the settings do not specify it.
    std::int32_t cpuMillicores = 0;
    // Memory of this process in bytes, beyond which it is killed.
    std::size_t memory = defaultMemory;
    SchedulerSettings scheduler;
    PlannerSettings planner;
    // Time between the request to stop and the forced termination.
    std::chrono::milliseconds stopGrace{6000};
    // Time for which callers can ask for the final state of a job.
    std::chrono::milliseconds statusRetention{120'000};
    // Time after the last confirmed read of the configuration during which its keys are accepted.
    std::chrono::milliseconds revocationBound{5000};
    // Minimum time between the orders of two different planners for the same machine.
    std::chrono::milliseconds planLease{3000};
    // Minimum membership time that the store accepts.
    std::chrono::milliseconds minMembershipTtl{1000};
    bool hasMachines = false;
    bool hasPolicy = false;

    // Additional delay before a process with a small CPU share takes over a vacant duty, because a process with a larger share may be about to do
    // so.
    std::chrono::milliseconds takeoverDelay() const
    {
        constexpr std::chrono::milliseconds maxDelay{1000};
        return maxDelay * (sufficientMillicores - std::clamp(this->cpuMillicores, 0, sufficientMillicores)) / sufficientMillicores;
    }

    // Returns true if this process need not check whether others have a larger share.
    bool hasSufficientCpu() const
    {
        return this->cpuMillicores >= sufficientMillicores;
    }

    // Orders to executors that may be under way at the same time.
    std::size_t maxOrders() const
    {
        return std::max<std::size_t>(1, this->memory / memoryPerOrderMemory / orderMemory);
    }

    // Memory in bytes for all open jobs together. Any process may have to hold them after the loss of the others, whose memory the settings do not tell, so
    // there is an upper limit for processes with much memory.
    std::size_t jobMemory() const
    {
        return std::min(this->memory / memoryPerJobMemory, maxJobMemory);
    }

    // Time after which a group member that has not renewed its membership is replaced.
    std::chrono::milliseconds membershipTimeout() const
    {
        constexpr std::chrono::milliseconds defaultTimeout{1200};
        return std::max(defaultTimeout, this->minMembershipTtl);
    }
};

}
