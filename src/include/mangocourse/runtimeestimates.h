// Run times of work items, learned from completed runs by queue, step shape and image. No clock of its own.
#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <optional>

#include <mangocourse/job.h>

namespace MangoCourse {

// Ratio of run time to estimate.
struct RunTimeRatio {
    // Decides how much work a number of items is.
    double mean = 1.0;
    // Decides whether one item is more likely than not to end in time.
    double median = 1.0;

    bool operator==(const RunTimeRatio &) const = default;
};

// Ratios are clamped to this range, so that a single run or a record of another process cannot distort the result.
inline constexpr double minRunTimeRatio = 0.1;
inline constexpr double maxRunTimeRatio = 20.0;

// Older observations weigh less, so that the estimates follow a change of the work. Not thread-safe.
class RunTimeEstimates
{
public:
    RunTimeEstimates();
    ~RunTimeEstimates();

    // Adds the run time of a completed item. Steps without an estimate are ignored.
    void add(const QueueId &queue, const StepSpec &step, std::chrono::milliseconds runTime);

    // Sets what a previous owner learned. Queues with observations of their own are left as they are.
    void seed(const std::map<QueueId, RunTimeRatio> &ratios);

    // Returns the smoothed mean ratio of the queue; 1 if nothing is known. The reference stays valid and follows later observations.
    const double &queueRatio(const QueueId &queue);

    // Returns the ratios of all queues of which something is known.
    std::map<QueueId, RunTimeRatio> ratios() const;

    // Returns the mean run time of an item of the step: by its shape if that has been observed often enough, else by its queue.
    std::chrono::milliseconds expected(const QueueId &queue, const StepSpec &step) const;

    // Returns the run time that the given share of items does not exceed; nothing until the step's shape has been observed often enough.
    std::optional<std::chrono::milliseconds> quantile(const QueueId &queue, const StepSpec &step, double share) const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
