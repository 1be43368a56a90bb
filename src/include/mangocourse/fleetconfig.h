// The fleet as the operator configures it, and as discovery shows it.
#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <mangocourse/job.h>
#include <mangocourse/processsettings.h>

namespace MangoCourse {

// Who may run a queue's steps is decided by a policy service; a pass is valid for a while.
struct PlacementPolicy {
    std::chrono::milliseconds decisionTime{};
    std::chrono::milliseconds timePerExecutor{};
    std::chrono::milliseconds validity{};
};

// One queue: where callers reach it and how its jobs are served.
struct QueueConfig {
    QueueId id;
    std::string host;
    std::string pathPrefix;
    ServiceId service;
    // 0 is the most urgent.
    std::int32_t priority = 0;
    std::int32_t attempts = 1;
    double slackFactor = 1.0;
    std::chrono::milliseconds targetLatency{};
    std::chrono::milliseconds requestTimeout{};
    std::optional<PlacementPolicy> policy;
};

// One service, that is one pool of machines.
struct ServiceConfig {
    ServiceId id;
    std::string healthPath;
    std::int32_t connectionLimit = 0;
    // The executors refuse what does not fit.
    bool enforcesCapacity = true;
    // Machines of this pool are off and cost nothing.
    bool isStandby = false;
};

// One version of the whole configuration.
struct FleetConfig {
    Revision revision = 0;
    std::vector<QueueConfig> queues;
    std::map<ServiceId, ServiceConfig> services;

    // Returns the queue of the host with the longest matching prefix, or nullptr.
    const QueueConfig *match(std::string_view host, std::string_view path) const
    {
        const QueueConfig *best = nullptr;
        for (const QueueConfig &queue : this->queues) {
            if (queue.host != host || !path.starts_with(queue.pathPrefix)) {
                continue;
            }
            if (best == nullptr || queue.pathPrefix.size() > best->pathPrefix.size()) {
                best = &queue;
            }
        }
        return best;
    }

    const QueueConfig *find(const QueueId &id) const
    {
        for (const QueueConfig &queue : this->queues) {
            if (queue.id == id) {
                return &queue;
            }
        }
        return nullptr;
    }
};

// One life of a machine, as it reports itself. `incarnation` tells lives under the same id apart.
struct ExecutorInfo {
    ExecutorId id;
    MachineId machine;
    ServiceId service;
    Endpoint endpoint;
    DataCentreId dataCentre;
    std::int64_t incarnation = 0;
    bool isDraining = false;
    // Least time left before a draining executor leaves; zero where it is unknown.
    std::chrono::milliseconds minRemainingTime{};
    Resources capacity;
    std::vector<std::string> labels;
};

// What a machine is doing.
enum class MachineState {
    Up,
    Moving,
    InMaintenance,
    Down,
};

// A machine as the platform's inventory shows it.
struct MachineInfo {
    MachineId id;
    ServiceId pool;
    MachineState state = MachineState::Down;
    DataCentreId dataCentre;
    std::vector<std::string> labels;
    Resources capacity;
    ExecutorId executor;
};

// A request to maintain each of the machines once, at most `parallel` at a time, within `duration` of its publication.
struct MaintenanceWave {
    WaveId id;
    std::vector<MachineId> machines;
    std::chrono::milliseconds duration{};
    std::int32_t parallel = 1;
};

}
