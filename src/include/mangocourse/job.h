// Jobs as callers submit them: a job has steps, and each step has a number of work items.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <mangocourse/error.h>
#include <mangocourse/ids.h>

namespace MangoCourse {

using QueueId = Id<struct QueueTag>;
using ExecutorId = Id<struct ExecutorTag>;
using MachineId = Id<struct MachineTag>;
using AccountId = Id<struct AccountTag>;

using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

// Resources of an executor or demand of a work item: CPU in thousandths of a core, memory in MB, number of accelerators.
struct Resources {
    std::int64_t cpu = 0;
    std::int64_t memory = 0;
    std::int64_t accelerators = 0;

    bool operator==(const Resources &) const = default;

    // Returns true if these resources suffice for `demand`.
    bool covers(const Resources &demand) const
    {
        return demand.cpu <= this->cpu && demand.memory <= this->memory && demand.accelerators <= this->accelerators;
    }
    Resources &operator+=(const Resources &other)
    {
        this->cpu += other.cpu;
        this->memory += other.memory;
        this->accelerators += other.accelerators;
        return *this;
    }
    Resources &operator-=(const Resources &other)
    {
        this->cpu -= other.cpu;
        this->memory -= other.memory;
        this->accelerators -= other.accelerators;
        return *this;
    }
};

// One step of a job. All work items of a step have the same specification.
struct StepSpec {
    // Number of work items.
    std::int32_t count = 1;
    // Demand of one work item.
    Resources resources;
    // Estimated duration of one work item.
    std::chrono::milliseconds estimate{};
    // Indexes of earlier steps whose work items must all be done first.
    std::vector<std::int32_t> dependsOn;
    // The work items report checkpoints, from which their next run continues.
    bool isCheckpointing = false;
    // Gang scheduling: the work items start together and end together.
    bool isGang = false;
    // The work items run slower if they are spread over several racks.
    bool prefersSameRack = false;
    // Speculative execution: copies of a work item may run concurrently; the first to end counts.
    bool isSpeculative = false;
    // A work item runs until the job is cancelled, and restarts whenever a run ends.
    bool isLongRunning = false;
    // Best effort: a work item uses only idle CPU time, and its CPU demand reserves no capacity.
    bool isBestEffort = false;
    std::string requiredLabel;
    std::string preferredRack;
    // Maximum number of work items of the step, within one occurrence, on one executor; 0 means no limit.
    std::int32_t perExecutorLimit = 0;
    std::string image;
    // Upper bound of the tail latency of a serving work item; 0 means none.
    std::chrono::milliseconds tailLatencyTarget{};
    // Maximum number of work items of the step that the system may make unavailable at once; negative means that none is set.
    std::int32_t disruptionBudget = -1;

    bool operator==(const StepSpec &) const = default;
};

// Schedule of a job: occurrence K, counted from 0, is due at `first` + K x `interval`. With a count of 0 there is one occurrence, due immediately.
struct Recurrence {
    std::int32_t count = 0;
    WallTime first{};
    std::chrono::milliseconds interval{};

    bool operator==(const Recurrence &) const = default;
};

// A complete submission. `payload` is opaque and is passed to the executors unchanged.
struct JobSpec {
    std::string payload;
    std::vector<StepSpec> steps;
    Recurrence recurrence;

    std::int32_t occurrences() const
    {
        return this->recurrence.count > 0 ? this->recurrence.count : 1;
    }
    bool operator==(const JobSpec &) const = default;
};

// Returns what an open job takes of its owner's memory in bytes, about. Work items that run take more, but their number is bounded by the executors.
std::size_t memoryOf(const JobSpec &spec);

// The settings of its queue that a job was accepted under. They hold for all of its life, whatever becomes of the queue.
struct JobTerms {
    // 0 is the most urgent.
    std::int32_t priority = 0;
    std::int32_t attempts = 1;
    double slackFactor = 1.0;
    std::chrono::milliseconds targetLatency{};
    // A policy service authorizes the placements.
    bool hasPolicy = false;

    bool operator==(const JobTerms &) const = default;
};

// The placement of a queue under which a job is stored.
struct JobPlacement {
    // Identifies what callers name the queue by: its host and path prefix.
    std::string address;
    // Revision of the configuration that has sent the queue to the partition.
    std::int64_t revision = 0;

    bool operator==(const JobPlacement &) const = default;
};

// A submission as it is stored, with the queue that accepted it, the service that runs it, and the time of acceptance.
struct AcceptedJob {
    JobId id;
    QueueId queue;
    ServiceId service;
    WallTime acceptedAt{};
    JobSpec spec;
    // Absent in records of earlier versions.
    std::optional<JobTerms> terms{};
    std::optional<JobPlacement> placement{};
    // The client account that submitted the job; empty for jobs of public queues and in records of earlier versions.
    AccountId account{};
};

// Job states that callers can see.
enum class JobState {
    Queued,
    Running,
    Completed,
    Failed,
    Cancelled,
};

constexpr bool isFinal(JobState state)
{
    return state == JobState::Completed || state == JobState::Failed || state == JobState::Cancelled;
}

constexpr std::string_view toString(JobState state)
{
    constexpr std::string_view names[] = {"queued", "running", "completed", "failed", "cancelled"};
    return names[static_cast<std::size_t>(state)];
}

// Identifies one work item: its job, occurrence and step, and its index within the step.
struct ItemId {
    JobId job;
    std::int32_t occurrence = 0;
    std::int32_t step = 0;
    std::int32_t index = 0;

    auto operator<=>(const ItemId &) const = default; // NOLINT(modernize-use-nullptr)
};

// Checks a submission. Returns InvalidArgument with the name of the field that is out of range.
Result<void> validate(const JobSpec &spec);

}
