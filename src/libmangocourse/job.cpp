// Checks of submissions.
#include <mangocourse/job.h>

namespace MangoCourse {

namespace {

constexpr std::int32_t mostSteps = 256;
// Of one occurrence: each takes some 150 bytes in its owner.
constexpr std::int32_t mostItems = 100'000;
constexpr std::int32_t mostOccurrences = 10'000;

std::string stepField(std::size_t step, const char *field)
{
    return "steps[" + std::to_string(step) + "]." + field;
}

Result<void> validateStep(const JobSpec &spec, std::size_t number)
{
    const StepSpec &step = spec.steps[number];
    if (step.count < 1 || step.count > mostItems) {
        return makeError(ErrorCode::InvalidArgument, "must be 1 to 100000", stepField(number, "count"));
    }
    if (step.resources.cpu < 0 || step.resources.memory < 0 || step.resources.accelerators < 0) {
        return makeError(ErrorCode::InvalidArgument, "must not be negative", stepField(number, "room"));
    }
    for (const std::int32_t earlier : step.dependsOn) {
        if (earlier < 0 || static_cast<std::size_t>(earlier) >= number) {
            return makeError(ErrorCode::InvalidArgument, "must name earlier steps", stepField(number, "dependencies"));
        }
    }
    return {};
}

}

Result<void> validate(const JobSpec &spec)
{
    if (spec.steps.empty() || spec.steps.size() > mostSteps) {
        return makeError(ErrorCode::InvalidArgument, "must hold 1 to 256 steps", "steps");
    }
    if (spec.recurrence.count < 0 || spec.recurrence.count > mostOccurrences) {
        return makeError(ErrorCode::InvalidArgument, "must be 0 to 10000", "recurrence.count");
    }
    std::int64_t items = 0;
    for (std::size_t number = 0; number < spec.steps.size(); ++number) {
        if (Result<void> checked = validateStep(spec, number); !checked) {
            return checked;
        }
        items += spec.steps[number].count;
    }
    if (items > mostItems) {
        return makeError(ErrorCode::InvalidArgument, "must hold 100000 work items at most", "steps");
    }
    return {};
}

}
