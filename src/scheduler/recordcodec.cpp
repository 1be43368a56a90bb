// CBOR encoding of records with the JSON library.
#include "recordcodec.h"

#include <charconv>

#include "boundedjson.h"

namespace MangoCourse {

namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr char cancellationPrefix = '!';
constexpr const char *executorPrefix = "@x/";

std::string toBytes(const Json &json)
{
    std::string bytes;
    Json::to_cbor(json, nlohmann::detail::output_adapter<char>(bytes));
    return bytes;
}

Json fromBytes(std::string_view bytes)
{
    return parseBoundedCbor(bytes);
}

// Flags of a step, stored as one number in the array that encodes the step.
enum StepFlag : unsigned {
    Checkpointing = 1,
    Gang = 2,
    SameRack = 4,
    Speculative = 8,
    LongRunning = 16,
    Filler = 32,
};

Json stepToJson(const StepSpec &step)
{
    unsigned flags = 0;
    flags |= step.isCheckpointing ? Checkpointing : 0U;
    flags |= step.isGang ? Gang : 0U;
    flags |= step.prefersSameRack ? SameRack : 0U;
    flags |= step.isSpeculative ? Speculative : 0U;
    flags |= step.isLongRunning ? LongRunning : 0U;
    flags |= step.isBestEffort ? Filler : 0U;
    return Json::array({step.count, step.resources.cpu, step.resources.memory, step.resources.accelerators, step.estimate.count(), step.dependsOn, flags,
        step.requiredLabel, step.preferredRack, step.perExecutorLimit, step.image, step.tailLatencyTarget.count(), step.disruptionBudget});
}

StepSpec stepFromJson(const Json &json)
{
    StepSpec step;
    step.count = json.at(0).get<std::int32_t>();
    step.resources = Resources{json.at(1).get<std::int64_t>(), json.at(2).get<std::int64_t>(), json.at(3).get<std::int64_t>()};
    step.estimate = milliseconds(json.at(4).get<std::int64_t>());
    step.dependsOn = json.at(5).get<std::vector<std::int32_t>>();
    const auto flags = json.at(6).get<unsigned>();
    step.isCheckpointing = (flags & Checkpointing) != 0;
    step.isGang = (flags & Gang) != 0;
    step.prefersSameRack = (flags & SameRack) != 0;
    step.isSpeculative = (flags & Speculative) != 0;
    step.isLongRunning = (flags & LongRunning) != 0;
    step.isBestEffort = (flags & Filler) != 0;
    step.requiredLabel = json.at(7).get<std::string>();
    step.preferredRack = json.at(8).get<std::string>();
    step.perExecutorLimit = json.at(9).get<std::int32_t>();
    step.image = json.at(10).get<std::string>();
    step.tailLatencyTarget = milliseconds(json.at(11).get<std::int64_t>());
    step.disruptionBudget = json.at(12).get<std::int32_t>();
    return step;
}

}

std::string encodeAcceptedJob(const AcceptedJob &job)
{
    Json steps = Json::array();
    for (const StepSpec &step : job.spec.steps) {
        steps.push_back(stepToJson(step));
    }
    const Recurrence &schedule = job.spec.recurrence;
    return toBytes(Json::array({job.queue.value, job.service.value, job.acceptedAt.time_since_epoch().count(), job.spec.payload, std::move(steps),
        schedule.count, schedule.first.time_since_epoch().count(), schedule.interval.count()}));
}

Result<AcceptedJob> decodeAcceptedJob(const JobId &id, std::string_view bytes)
{
    try {
        const Json json = fromBytes(bytes);
        AcceptedJob job;
        job.id = id;
        job.queue = QueueId{json.at(0).get<std::string>()};
        job.service = ServiceId{json.at(1).get<std::string>()};
        job.acceptedAt = WallTime(milliseconds(json.at(2).get<std::int64_t>()));
        job.spec.payload = json.at(3).get<std::string>();
        for (const Json &step : json.at(4)) {
            job.spec.steps.push_back(stepFromJson(step));
        }
        job.spec.recurrence
            = Recurrence{json.at(5).get<std::int32_t>(), WallTime(milliseconds(json.at(6).get<std::int64_t>())), milliseconds(json.at(7).get<std::int64_t>())};
        if (const Result<void> checked = validate(job.spec); !checked) {
            return tl::unexpected(checked.error());
        }
        return job;
    } catch (const Json::exception &exception) {
        return makeError(ErrorCode::Decode, exception.what(), "job " + id.value);
    }
}

std::string encodeProgress(const JobProgress &progress)
{
    Json items = Json::array();
    for (const ItemProgress &item : progress.items) {
        items.push_back(Json::array({item.occurrence, item.step, item.index, item.isDone ? 1 : 0, item.failures, item.failedRuns}));
    }
    return toBytes(Json::array({static_cast<int>(progress.state), progress.queue.value, progress.service.value, progress.endedAt.time_since_epoch().count(),
        std::move(items), progress.mayHaveStarted}));
}

Result<JobProgress> decodeProgress(const JobId &id, std::string_view bytes)
{
    try {
        const Json json = fromBytes(bytes);
        JobProgress progress;
        progress.id = id;
        const int state = json.at(0).get<int>();
        if (state < 0 || state > static_cast<int>(JobState::Cancelled)) {
            return makeError(ErrorCode::Decode, "contains an unknown job state", "progress of " + id.value);
        }
        progress.state = static_cast<JobState>(state);
        progress.queue = QueueId{json.at(1).get<std::string>()};
        progress.service = ServiceId{json.at(2).get<std::string>()};
        progress.endedAt = WallTime(milliseconds(json.at(3).get<std::int64_t>()));
        progress.mayHaveStarted = json.at(5).get<bool>();
        for (const Json &item : json.at(4)) {
            progress.items.push_back(ItemProgress{item.at(0).get<std::int32_t>(), item.at(1).get<std::int32_t>(), item.at(2).get<std::int32_t>(),
                item.at(3).get<int>() != 0, item.at(4).get<std::int32_t>(), item.at(5).get<std::vector<std::int64_t>>()});
        }
        return progress;
    } catch (const Json::exception &exception) {
        return makeError(ErrorCode::Decode, exception.what(), "progress of " + id.value);
    }
}

std::string encodeExecutorLocation(const ExecutorLocation &location)
{
    return toBytes(Json::array({location.machine.value, location.service.value}));
}

Result<ExecutorLocation> decodeExecutorLocation(std::string_view bytes)
{
    try {
        const Json json = fromBytes(bytes);
        return ExecutorLocation{MachineId{json.at(0).get<std::string>()}, ServiceId{json.at(1).get<std::string>()}};
    } catch (const Json::exception &exception) {
        return makeError(ErrorCode::Decode, exception.what(), "executor location");
    }
}

std::string encodePlannerState(const PlannerState &state)
{
    Json evacuations = Json::array();
    for (const Evacuation &evacuation : state.evacuations) {
        evacuations.push_back(Json::array({evacuation.machine.value, evacuation.executor.value, evacuation.incarnation, static_cast<int>(evacuation.purpose),
            evacuation.wave.value, evacuation.target.value, evacuation.isOrderConfirmed, evacuation.firstListNumber}));
    }
    Json waves = Json::array();
    for (const auto &[id, wave] : state.waves) {
        Json startedMachines = Json::array();
        for (const MachineId &machine : wave.startedMachines) {
            startedMachines.push_back(machine.value);
        }
        waves.push_back(Json::array({id.value, wave.seenAt.time_since_epoch().count(), wave.isCompleted, std::move(startedMachines)}));
    }
    Json ended = Json::array();
    for (const auto &[executor, life] : state.ended) {
        ended.push_back(Json::array({executor.value, life.incarnation, life.at.time_since_epoch().count()}));
    }
    Json ordered = Json::array();
    for (const auto &[machine, at] : state.orderedAt) {
        ordered.push_back(Json::array({machine.value, at.time_since_epoch().count()}));
    }
    return toBytes(Json::array({state.number, std::move(evacuations), std::move(waves), std::move(ended), std::move(ordered)}));
}

Result<PlannerState> decodePlannerState(std::string_view bytes)
{
    try {
        const Json json = fromBytes(bytes);
        PlannerState state;
        state.number = json.at(0).get<std::int64_t>();
        for (const Json &row : json.at(1)) {
            state.evacuations.push_back(Evacuation{MachineId{row.at(0).get<std::string>()}, ExecutorId{row.at(1).get<std::string>()},
                row.at(2).get<std::int64_t>(), row.at(3).get<int>() == 0 ? EvacuationPurpose::Maintenance : EvacuationPurpose::Move,
                WaveId{row.at(4).get<std::string>()}, ServiceId{row.at(5).get<std::string>()}, row.at(6).get<bool>(), row.at(7).get<std::int64_t>()});
        }
        for (const Json &row : json.at(2)) {
            PlannerState::Wave &wave = state.waves[WaveId{row.at(0).get<std::string>()}];
            wave.seenAt = WallTime(milliseconds(row.at(1).get<std::int64_t>()));
            wave.isCompleted = row.at(2).get<bool>();
            for (const Json &machine : row.at(3)) {
                wave.startedMachines.insert(MachineId{machine.get<std::string>()});
            }
        }
        for (const Json &row : json.at(3)) {
            state.ended[ExecutorId{row.at(0).get<std::string>()}]
                = PlannerState::EndedIncarnation{row.at(1).get<std::int64_t>(), WallTime(milliseconds(row.at(2).get<std::int64_t>()))};
        }
        for (const Json &row : json.at(4)) {
            state.orderedAt[MachineId{row.at(0).get<std::string>()}] = WallTime(milliseconds(row.at(1).get<std::int64_t>()));
        }
        return state;
    } catch (const Json::exception &exception) {
        return makeError(ErrorCode::Decode, exception.what(), "planner state");
    }
}

std::string encodePoolReport(const PoolReport &report)
{
    Json executors = Json::array();
    for (const ExecutorUsage &use : report.executors) {
        executors.push_back(Json::array({use.executor.value, use.incarnation, use.runs, use.longRunning, use.isReachable}));
    }
    return toBytes(Json::array({report.service.value, report.token, report.number, report.appliedEvacuationNumber, report.longRunningCpu, report.inflow,
        report.backlog, report.lateBacklog, report.spread, std::move(executors), report.readyCpu}));
}

Result<PoolReport> decodePoolReport(std::string_view bytes)
{
    try {
        const Json json = fromBytes(bytes);
        PoolReport report;
        report.service = ServiceId{json.at(0).get<std::string>()};
        report.token = json.at(1).get<std::int64_t>();
        report.number = json.at(2).get<std::int64_t>();
        report.appliedEvacuationNumber = json.at(3).get<std::int64_t>();
        report.longRunningCpu = json.at(4).get<std::int64_t>();
        report.inflow = json.at(5).get<std::int64_t>();
        report.backlog = json.at(6).get<std::int64_t>();
        report.lateBacklog = json.at(7).get<std::int64_t>();
        report.spread = json.at(8).get<std::int32_t>();
        for (const Json &row : json.at(9)) {
            report.executors.push_back(ExecutorUsage{ExecutorId{row.at(0).get<std::string>()}, row.at(1).get<std::int64_t>(), row.at(2).get<std::int32_t>(),
                row.at(3).get<std::int32_t>(), row.at(4).get<bool>()});
        }
        // Reports of earlier versions end here.
        report.readyCpu = json.size() > 10 ? json.at(10).get<std::int64_t>() : 0;
        return report;
    } catch (const Json::exception &exception) {
        return makeError(ErrorCode::Decode, exception.what(), "pool report");
    }
}

std::string cancellationKey(const JobId &job)
{
    return cancellationPrefix + job.value;
}

std::string executorRecordKey(const ExecutorKey &executor)
{
    return executorPrefix + std::to_string(executor.incarnation) + "/" + executor.id.value;
}

ParsedKey parseKey(const std::string &key)
{
    ParsedKey parsed;
    if (key == ownerKey) {
        parsed.kind = KeyKind::Owner;
    } else if (key.starts_with(executorPrefix)) {
        parsed.kind = KeyKind::Executor;
        const std::string_view rest = std::string_view(key).substr(std::string_view(executorPrefix).size());
        const auto slash = rest.find('/');
        std::from_chars(rest.data(), rest.data() + std::min(slash, rest.size()), parsed.executor.incarnation);
        parsed.executor.id = ExecutorId{slash == std::string_view::npos ? std::string() : std::string(rest.substr(slash + 1))};
    } else if (key.starts_with(cancellationPrefix)) {
        parsed.kind = KeyKind::Cancellation;
        parsed.job = JobId{key.substr(1)};
    } else {
        parsed.job = JobId{key};
    }
    return parsed;
}

std::int32_t partitionOf(const ServiceId &service, std::int32_t partitions)
{
    // FNV-1a, which is identical in every process and version.
    std::uint64_t hash = 14695981039346656037ULL;
    for (const char character : service.value) {
        hash ^= static_cast<unsigned char>(character);
        hash *= 1099511628211ULL;
    }
    return static_cast<std::int32_t>(hash % static_cast<std::uint64_t>(partitions));
}

}
