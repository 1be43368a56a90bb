// The fleet as configured by the operator, and as reported by discovery and the inventory.
#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <mangocourse/clientaccounts.h>
#include <mangocourse/job.h>
#include <mangocourse/processsettings.h>

namespace MangoCourse {

// Settings of a queue whose placements a policy service authorizes; its passes expire after `validity`.
struct PlacementPolicy {
    std::chrono::milliseconds decisionTime{};
    std::chrono::milliseconds timePerExecutor{};
    std::chrono::milliseconds validity{};
};

// One queue: its route for callers, and the parameters of its jobs.
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
    // Callers need no key, even if the configuration has client accounts.
    bool isPublic = false;

    // Returns the terms of jobs that the queue accepts now.
    JobTerms terms() const
    {
        return JobTerms{this->priority, this->attempts, this->slackFactor, this->targetLatency, this->policy.has_value()};
    }
};

// One service; each service has one pool of machines.
struct ServiceConfig {
    ServiceId id;
    std::string healthPath;
    std::int32_t connectionLimit = 0;
    // Executors reject runs that exceed their free capacity.
    bool enforcesCapacity = true;
    // The pool holds machines that are powered off and cost nothing.
    bool isStandby = false;
};

// One revision of the complete configuration.
struct FleetConfig {
    Revision revision = 0;
    std::vector<QueueConfig> queues;
    std::map<ServiceId, ServiceConfig> services;
    // Absent if callers need no keys.
    std::optional<ClientAccounts> accounts;

    // Returns the queue of the host with the longest prefix of `path`, or nullptr.
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

// One incarnation of an executor, as it publishes itself.
struct ExecutorInfo {
    ExecutorId id;
    MachineId machine;
    ServiceId service;
    Endpoint endpoint;
    DataCentreId dataCentre;
    // Boot time in ms since the Unix epoch; distinguishes incarnations with the same id.
    std::int64_t incarnation = 0;
    bool isDraining = false;
    // Minimum time until a draining executor leaves; zero if unknown.
    std::chrono::milliseconds minRemainingTime{};
    Resources capacity;
    std::vector<std::string> labels;
};

enum class MachineState {
    Up,
    Moving,
    InMaintenance,
    Down,
};

// A machine in the inventory of the platform.
struct MachineInfo {
    MachineId id;
    ServiceId pool;
    MachineState state = MachineState::Down;
    DataCentreId dataCentre;
    std::vector<std::string> labels;
    Resources capacity;
    ExecutorId executor;
};

// A request to maintain each machine once, at most `parallel` at a time, within `duration` after publication.
struct MaintenanceWave {
    WaveId id;
    std::vector<MachineId> machines;
    std::chrono::milliseconds duration{};
    std::int32_t parallel = 1;
};

}
