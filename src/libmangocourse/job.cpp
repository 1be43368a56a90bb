// Validation of submissions.
#include <mangocourse/job.h>

#include <mangocourse/limits.h>

namespace MangoCourse {

namespace {

constexpr std::int32_t maxSteps = 256;
constexpr std::int32_t maxOccurrences = 10'000;
// What an open job takes in bytes, without its payload and steps, and what each of its steps and work items take.
constexpr std::size_t jobMemory = 3000;
constexpr std::size_t stepMemory = 600;
constexpr std::size_t itemMemory = 200;

bool isAmount(std::int64_t amount)
{
    return amount >= 0 && amount <= maxResourceAmount;
}

bool isWithin(std::chrono::milliseconds time, std::chrono::milliseconds maximum)
{
    return time >= std::chrono::milliseconds::zero() && time <= maximum;
}

std::string stepField(std::size_t step, const char *field)
{
    return "steps[" + std::to_string(step) + "]." + field;
}

Result<void> validateStep(const JobSpec &spec, std::size_t number)
{
    const StepSpec &step = spec.steps[number];
    if (step.count < 1 || step.count > maxItems) {
        return makeError(ErrorCode::InvalidArgument, "must be 1 to 100000", stepField(number, "count"));
    }
    if (!isAmount(step.resources.cpu) || !isAmount(step.resources.memory) || !isAmount(step.resources.accelerators)) {
        return makeError(ErrorCode::InvalidArgument, "must hold 0 to " + std::to_string(maxResourceAmount) + " of each resource", stepField(number, "room"));
    }
    if (!isWithin(step.estimate, maxItemTime)) {
        return makeError(ErrorCode::InvalidArgument, "must be 0 to " + std::to_string(maxItemTime.count()) + " ms", stepField(number, "estimate"));
    }
    if (!isWithin(step.tailLatencyTarget, maxItemTime)) {
        return makeError(ErrorCode::InvalidArgument, "must be 0 to " + std::to_string(maxItemTime.count()) + " ms", stepField(number, "tailLatencyTarget"));
    }
    for (const std::int32_t earlier : step.dependsOn) {
        if (earlier < 0 || static_cast<std::size_t>(earlier) >= number) {
            return makeError(ErrorCode::InvalidArgument, "must name earlier steps", stepField(number, "dependencies"));
        }
    }
    return {};
}

}

std::size_t memoryOf(const JobSpec &spec)
{
    std::size_t items = 0;
    for (const StepSpec &step : spec.steps) {
        items += static_cast<std::size_t>(step.count);
    }
    const auto occurrences = static_cast<std::size_t>(spec.occurrences());
    return jobMemory + spec.payload.size() + occurrences * (spec.steps.size() * stepMemory + items * itemMemory);
}

Result<void> validate(const JobSpec &spec)
{
    if (spec.steps.empty() || spec.steps.size() > maxSteps) {
        return makeError(ErrorCode::InvalidArgument, "must hold 1 to 256 steps", "steps");
    }
    if (spec.recurrence.count < 0 || spec.recurrence.count > maxOccurrences) {
        return makeError(ErrorCode::InvalidArgument, "must be 0 to 10000", "recurrence.count");
    }
    if (!isWithin(spec.recurrence.first.time_since_epoch(), maxUnixTime)) {
        return makeError(ErrorCode::InvalidArgument, "must be between the years 1970 and 9999", "recurrence.first");
    }
    if (!isWithin(spec.recurrence.interval, maxTimeSpan)) {
        return makeError(ErrorCode::InvalidArgument, "must be 0 to " + std::to_string(maxTimeSpan.count()) + " ms", "recurrence.interval");
    }
    std::int64_t items = 0;
    for (std::size_t number = 0; number < spec.steps.size(); ++number) {
        if (Result<void> checked = validateStep(spec, number); !checked) {
            return checked;
        }
        items += spec.steps[number].count;
    }
    if (items > maxItems) {
        return makeError(ErrorCode::InvalidArgument, "must hold 100000 work items at most", "steps");
    }
    if (items * spec.occurrences() > maxItemsOfAllOccurrences) {
        return makeError(ErrorCode::InvalidArgument, "must lead to " + std::to_string(maxItemsOfAllOccurrences) + " work items at most", "recurrence.count");
    }
    return {};
}

}
