// What a caller submits: a job of steps, each of them a number of work items.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <mangocourse/error.h>
#include <mangocourse/ids.h>

namespace MangoCourse {

using QueueId = Id<struct QueueTag>;
using ExecutorId = Id<struct ExecutorTag>;
using MachineId = Id<struct MachineTag>;

using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

// Processors in thousandths of a core, memory in MB, accelerators. What an executor has, or what a work item takes.
struct Resources {
    std::int64_t cpu = 0;
    std::int64_t memory = 0;
    std::int64_t accelerators = 0;

    bool operator==(const Resources &) const = default;

    bool covers(const Resources &wanted) const
    {
        return wanted.cpu <= this->cpu && wanted.memory <= this->memory && wanted.accelerators <= this->accelerators;
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

// One step of a job. All work items of a step are alike.
struct StepSpec {
    std::int32_t count = 1;
    Resources resources;
    std::chrono::milliseconds estimate{};
    // Numbers of earlier steps whose work items must all be done first.
    std::vector<std::int32_t> dependsOn;
    bool isCheckpointing = false;
    // The work items run only together and end together.
    bool isGang = false;
    // Running on more than one rack slows the work items down.
    bool prefersSameRack = false;
    // Several copies of a work item may run at once; the first end counts.
    bool isSpeculative = false;
    // Runs until the job is cancelled and is restarted however it ends.
    bool isLongRunning = false;
    // Lives on processor time that others leave unused: its cpu takes no room.
    bool isBestEffort = false;
    std::string requiredLabel;
    std::string preferredRack;
    // Most work items of one occurrence on one executor; 0 means no limit.
    std::int32_t perExecutorLimit = 0;
    std::string image;
    // Bound of the tail latency that a serving work item must keep; 0 means none.
    std::chrono::milliseconds tailLatencyTarget{};
    // How many work items of the step the system may keep unavailable at once; negative means that no budget is set.
    std::int32_t disruptionBudget = -1;

    bool operator==(const StepSpec &) const = default;
};

// A job's schedule: occurrence K is due at `first` + K x `interval`. A count of 0 means one occurrence, due at once.
struct Recurrence {
    std::int32_t count = 0;
    WallTime first{};
    std::chrono::milliseconds interval{};

    bool operator==(const Recurrence &) const = default;
};

// The whole submission. `payload` is opaque and goes to the executors as it is.
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

// A submission as it is stored: which queue took it, which service runs it, when it was taken.
struct AcceptedJob {
    JobId id;
    QueueId queue;
    ServiceId service;
    WallTime acceptedAt{};
    JobSpec spec;
};

// States that a caller can see.
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

// Names one work item of a pool.
struct ItemId {
    JobId job;
    std::int32_t occurrence = 0;
    std::int32_t step = 0;
    std::int32_t index = 0;

    auto operator<=>(const ItemId &) const = default; // NOLINT(modernize-use-nullptr)
};

// Returns InvalidArgument with the field's name where a job cannot be run as it is written.
Result<void> validate(const JobSpec &spec);

}
