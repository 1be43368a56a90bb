// CBOR encoding of records with the JSON library.
#include "recordcodec.h"

#include <array>
#include <charconv>
#include <limits>
#include <stdexcept>

#include "boundedjson.h"

namespace MangoCourse {

namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr char cancellationPrefix = '!';
constexpr const char *executorPrefix = "@x/";
constexpr const char *sealPrefix = "@s/";
constexpr std::size_t addressDigits = 16;
constexpr char partPrefix = '+';
constexpr std::size_t maxJobIdBytes = 64;
constexpr std::int64_t maxFailures = 1'000'000;
// The planner that continues from a stored state counts on.
constexpr std::int64_t maxListNumber = maxWholeNumber / 2;

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

// The functions below throw a standard exception if the value has another type or is out of range; decode() makes an error of it.

std::int64_t toWhole(const Json &json, std::int64_t minimum = 0, std::int64_t maximum = maxWholeNumber)
{
    const std::optional<std::int64_t> number = wholeNumber(json, minimum, maximum);
    if (!number) {
        throw std::out_of_range("must be a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
    }
    return *number;
}

std::int32_t toCount(const Json &json)
{
    return static_cast<std::int32_t>(toWhole(json, 0, std::numeric_limits<std::int32_t>::max()));
}

WallTime toWallTime(const Json &json)
{
    return WallTime(milliseconds(toWhole(json, 0, maxUnixTime.count())));
}

// Returns a name, which may be empty.
std::string toName(const Json &json)
{
    const auto &text = json.get_ref<const std::string &>();
    if (text.size() > maxNameBytes) {
        throw std::out_of_range("must be a name of at most " + std::to_string(maxNameBytes) + " bytes");
    }
    return text;
}

std::string toText(const Json &json)
{
    const auto &text = json.get_ref<const std::string &>();
    if (text.size() > maxTextBytes) {
        throw std::out_of_range("must be a text of at most " + std::to_string(maxTextBytes) + " bytes");
    }
    return text;
}

// Calls a function that reads a record. Returns ErrorCode::Decode if a value is missing, has another type or is out of range.
template<typename Reader>
auto decode(std::string where, Reader reader) -> decltype(reader())
{
    try {
        return reader();
    } catch (const std::exception &exception) {
        return makeError(ErrorCode::Decode, exception.what(), std::move(where));
    }
}

constexpr std::size_t bitsPerByte = 8;

// Items of one step of one occurrence in a part of the progress.
struct ProgressSpan {
    std::int32_t occurrence = 0;
    std::int32_t step = 0;
    std::int32_t firstIndex = 0;
    // One bit for each item from the first on; set if it is done.
    std::vector<std::uint8_t> doneBits;
    // Rows of offset, number of failures and runs.
    Json failures;
};

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
    step.count = toCount(json.at(0));
    step.resources = Resources{toWhole(json.at(1)), toWhole(json.at(2)), toWhole(json.at(3))};
    step.estimate = milliseconds(toWhole(json.at(4)));
    for (const Json &earlier : json.at(5)) {
        step.dependsOn.push_back(toCount(earlier));
    }
    const std::int64_t flags = toWhole(json.at(6));
    step.isCheckpointing = (flags & Checkpointing) != 0;
    step.isGang = (flags & Gang) != 0;
    step.prefersSameRack = (flags & SameRack) != 0;
    step.isSpeculative = (flags & Speculative) != 0;
    step.isLongRunning = (flags & LongRunning) != 0;
    step.isBestEffort = (flags & Filler) != 0;
    step.requiredLabel = json.at(7).get<std::string>();
    step.preferredRack = json.at(8).get<std::string>();
    step.perExecutorLimit = toCount(json.at(9));
    step.image = json.at(10).get<std::string>();
    step.tailLatencyTarget = milliseconds(toWhole(json.at(11)));
    step.disruptionBudget = static_cast<std::int32_t>(toWhole(json.at(12), -1, std::numeric_limits<std::int32_t>::max()));
    return step;
}

Json termsToJson(const JobTerms &terms)
{
    return Json::array({terms.priority, terms.attempts, terms.slackFactor, terms.targetLatency.count(), terms.hasPolicy});
}

JobTerms termsFromJson(const Json &json)
{
    JobTerms terms;
    terms.priority = static_cast<std::int32_t>(toWhole(json.at(0), std::numeric_limits<std::int32_t>::min(), std::numeric_limits<std::int32_t>::max()));
    terms.attempts = toCount(json.at(1));
    terms.slackFactor = json.at(2).get<double>();
    if (!(terms.slackFactor >= 0.0 && terms.slackFactor <= maxSlackFactor)) {
        throw std::out_of_range("must be a number from 0 to " + std::to_string(maxSlackFactor));
    }
    terms.targetLatency = milliseconds(toWhole(json.at(3), 0, maxTimeSpan.count()));
    terms.hasPolicy = json.at(4).get<bool>();
    return terms;
}

}

std::uint64_t stableHash(std::string_view text)
{
    std::uint64_t hash = 14695981039346656037ULL;
    for (const char character : text) {
        hash ^= static_cast<unsigned char>(character);
        hash *= 1099511628211ULL;
    }
    return hash;
}

std::string encodeAcceptedJob(const AcceptedJob &job)
{
    Json steps = Json::array();
    for (const StepSpec &step : job.spec.steps) {
        steps.push_back(stepToJson(step));
    }
    const Recurrence &schedule = job.spec.recurrence;
    Json fields = Json::array({job.queue.value, job.service.value, job.acceptedAt.time_since_epoch().count(), job.spec.payload, std::move(steps),
        schedule.count, schedule.first.time_since_epoch().count(), schedule.interval.count()});
    if (job.terms || job.placement) {
        fields.push_back(job.terms ? termsToJson(*job.terms) : Json());
    }
    if (job.placement) {
        fields.push_back(Json::array({job.placement->address, job.placement->revision}));
    }
    return toBytes(fields);
}

Result<AcceptedJob> decodeAcceptedJob(const JobId &id, std::string_view bytes)
{
    // Items are named by the job and numbers, with dots between them.
    if (!isPlainName(id.value, maxJobIdBytes) || id.value.find('.') != std::string::npos) {
        return makeError(ErrorCode::Decode, "is not a valid identifier", "job " + id.value);
    }
    return decode("job " + id.value, [&]() -> Result<AcceptedJob> {
        const Json json = fromBytes(bytes);
        AcceptedJob job;
        job.id = id;
        job.queue = QueueId{toName(json.at(0))};
        job.service = ServiceId{toName(json.at(1))};
        job.acceptedAt = toWallTime(json.at(2));
        job.spec.payload = json.at(3).get<std::string>();
        for (const Json &step : json.at(4)) {
            job.spec.steps.push_back(stepFromJson(step));
        }
        job.spec.recurrence = Recurrence{toCount(json.at(5)), toWallTime(json.at(6)), milliseconds(toWhole(json.at(7)))};
        // Records of earlier versions end here, or after the terms.
        if (json.size() > 8 && !json.at(8).is_null()) {
            job.terms = termsFromJson(json.at(8));
        }
        if (json.size() > 9) {
            job.placement = JobPlacement{toName(json.at(9).at(0)), toWhole(json.at(9).at(1))};
        }
        if (const Result<void> checked = validate(job.spec); !checked) {
            return tl::unexpected(checked.error());
        }
        return job;
    });
}

std::string encodeProgress(const JobProgress &progress)
{
    Json items = Json::array();
    for (const ItemProgress &item : progress.items) {
        items.push_back(Json::array({item.occurrence, item.step, item.index, item.isDone ? 1 : 0, item.failures, item.failedRuns}));
    }
    Json fields = Json::array({static_cast<int>(progress.state), progress.queue.value, progress.service.value, progress.endedAt.time_since_epoch().count(),
        std::move(items), progress.mayHaveStarted});
    if (progress.terms) {
        fields.push_back(termsToJson(*progress.terms));
    }
    return toBytes(fields);
}

Result<JobProgress> decodeProgress(const JobId &id, std::string_view bytes)
{
    return decode("progress of " + id.value, [&]() -> Result<JobProgress> {
        const Json json = fromBytes(bytes);
        JobProgress progress;
        progress.id = id;
        progress.state = static_cast<JobState>(toWhole(json.at(0), 0, static_cast<int>(JobState::Cancelled)));
        progress.queue = QueueId{toName(json.at(1))};
        progress.service = ServiceId{toName(json.at(2))};
        progress.endedAt = toWallTime(json.at(3));
        progress.mayHaveStarted = json.at(5).get<bool>();
        if (json.size() > 6) {
            progress.terms = termsFromJson(json.at(6));
        }
        for (const Json &item : json.at(4)) {
            ItemProgress known{toCount(item.at(0)), toCount(item.at(1)), toCount(item.at(2)), toWhole(item.at(3)) != 0,
                static_cast<std::int32_t>(toWhole(item.at(4), 0, maxFailures)), {}};
            for (const Json &run : item.at(5)) {
                known.failedRuns.push_back(toWhole(run));
            }
            progress.items.push_back(std::move(known));
        }
        return progress;
    });
}

std::map<std::int64_t, std::string> encodeProgressParts(const JobProgress &progress)
{
    std::vector<std::int64_t> firstOfStep{0};
    for (const std::int32_t count : progress.itemsOfSteps) {
        firstOfStep.push_back(firstOfStep.back() + count);
    }
    std::map<std::int64_t, std::vector<ProgressSpan>> parts;
    for (const ItemProgress &item : progress.items) {
        const auto step = std::min(static_cast<std::size_t>(item.step), firstOfStep.size() - 1);
        const std::int64_t number = item.occurrence * firstOfStep.back() + firstOfStep[step] + item.index;
        std::vector<ProgressSpan> &spans = parts[number / itemsPerProgressPart];
        if (spans.empty() || spans.back().occurrence != item.occurrence || spans.back().step != item.step) {
            spans.push_back(ProgressSpan{item.occurrence, item.step, item.index, {}, Json::array()});
        }
        ProgressSpan &span = spans.back();
        const auto offset = static_cast<std::size_t>(item.index - span.firstIndex);
        span.doneBits.resize(std::max(span.doneBits.size(), offset / bitsPerByte + 1));
        if (item.isDone) {
            span.doneBits[offset / bitsPerByte] |= static_cast<std::uint8_t>(1U << (offset % bitsPerByte));
        }
        if (item.failures > 0) {
            span.failures.push_back(Json::array({offset, item.failures, item.failedRuns}));
        }
    }
    std::map<std::int64_t, std::string> encoded;
    for (auto &[number, spans] : parts) {
        Json rows = Json::array();
        for (ProgressSpan &span : spans) {
            rows.push_back(Json::array({span.occurrence, span.step, span.firstIndex, Json::binary(std::move(span.doneBits)), std::move(span.failures)}));
        }
        encoded[number] = toBytes(rows);
    }
    return encoded;
}

Result<std::vector<ItemProgress>> decodeProgressPart(std::string_view bytes)
{
    return decode("part of a progress", [&]() -> Result<std::vector<ItemProgress>> {
        const Json json = fromBytes(bytes);
        if (!json.is_array()) {
            throw std::invalid_argument("must be a list");
        }
        std::vector<ItemProgress> items;
        for (const Json &row : json) {
            const std::int32_t firstIndex = static_cast<std::int32_t>(toWhole(row.at(2), 0, maxItems));
            ItemProgress item{toCount(row.at(0)), toCount(row.at(1)), firstIndex, false, 0, {}};
            std::map<std::size_t, ItemProgress> itemsOfSpan;
            const auto &doneBits = row.at(3).get_binary();
            if (doneBits.size() > itemsPerProgressPart / bitsPerByte + 1) {
                throw std::out_of_range("must have a bit for each item of the part at most");
            }
            const auto itemAt = [&](std::size_t offset) -> ItemProgress & {
                ItemProgress &known = itemsOfSpan.try_emplace(offset, item).first->second;
                known.index = firstIndex + static_cast<std::int32_t>(offset);
                return known;
            };
            for (std::size_t offset = 0; offset < doneBits.size() * bitsPerByte; ++offset) {
                if ((doneBits[offset / bitsPerByte] >> (offset % bitsPerByte) & 1U) != 0) {
                    itemAt(offset).isDone = true;
                }
            }
            for (const Json &failure : row.at(4)) {
                ItemProgress &known = itemAt(static_cast<std::size_t>(toWhole(failure.at(0), 0, itemsPerProgressPart)));
                known.failures = static_cast<std::int32_t>(toWhole(failure.at(1), 0, maxFailures));
                for (const Json &run : failure.at(2)) {
                    known.failedRuns.push_back(toWhole(run));
                }
            }
            for (auto &[offset, known] : itemsOfSpan) {
                items.push_back(std::move(known));
            }
        }
        return items;
    });
}

std::string encodeExecutorLocation(const ExecutorLocation &location)
{
    Json fields = Json::array({location.machine.value, location.service.value});
    if (location.silence > milliseconds::zero()) {
        fields.push_back(location.silence.count());
        fields.push_back(location.silenceRecordedBy);
    }
    return toBytes(fields);
}

Result<ExecutorLocation> decodeExecutorLocation(std::string_view bytes)
{
    return decode("executor location", [&]() -> Result<ExecutorLocation> {
        const Json json = fromBytes(bytes);
        ExecutorLocation location{MachineId{toName(json.at(0))}, ServiceId{toName(json.at(1))}};
        if (json.size() > 2) {
            location.silence = milliseconds(toWhole(json.at(2), 0, maxTimeSpan.count()));
            location.silenceRecordedBy = toWhole(json.at(3));
        }
        return location;
    });
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
        // Of a completed wave, only that it is completed still matters.
        for (const MachineId &machine : wave.isCompleted ? std::set<MachineId>{} : wave.startedMachines) {
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
    return decode("planner state", [&]() -> Result<PlannerState> {
        const Json json = fromBytes(bytes);
        PlannerState state;
        state.number = toWhole(json.at(0), 0, maxListNumber);
        for (const Json &row : json.at(1)) {
            state.evacuations.push_back(Evacuation{MachineId{toName(row.at(0))}, ExecutorId{toName(row.at(1))}, toWhole(row.at(2)),
                toWhole(row.at(3)) == 0 ? EvacuationPurpose::Maintenance : EvacuationPurpose::Move, WaveId{toName(row.at(4))}, ServiceId{toName(row.at(5))},
                row.at(6).get<bool>(), toWhole(row.at(7))});
        }
        for (const Json &row : json.at(2)) {
            PlannerState::Wave &wave = state.waves[WaveId{toName(row.at(0))}];
            wave.seenAt = toWallTime(row.at(1));
            wave.isCompleted = row.at(2).get<bool>();
            for (const Json &machine : row.at(3)) {
                wave.startedMachines.insert(MachineId{toName(machine)});
            }
        }
        for (const Json &row : json.at(3)) {
            state.ended[ExecutorId{toName(row.at(0))}] = PlannerState::EndedIncarnation{toWhole(row.at(1)), toWallTime(row.at(2))};
        }
        for (const Json &row : json.at(4)) {
            state.orderedAt[MachineId{toName(row.at(0))}] = toWallTime(row.at(1));
        }
        return state;
    });
}

std::string encodePoolReport(const PoolReport &report)
{
    Json executors = Json::array();
    for (const ExecutorUsage &use : report.executors) {
        executors.push_back(Json::array({use.executor.value, use.incarnation, use.runs, use.longRunning, use.isReachable}));
    }
    return toBytes(Json::array({report.service.value, report.token, report.number, report.appliedEvacuationNumber, report.longRunningCpu, report.inflow,
        report.backlog, report.lateBacklog, report.spread, std::move(executors), report.readyCpu, report.refusedWork}));
}

Result<PoolReport> decodePoolReport(std::string_view bytes)
{
    return decode("pool report", [&]() -> Result<PoolReport> {
        const Json json = fromBytes(bytes);
        PoolReport report;
        report.service = ServiceId{toName(json.at(0))};
        report.token = toWhole(json.at(1));
        report.number = toWhole(json.at(2));
        report.appliedEvacuationNumber = toWhole(json.at(3));
        report.longRunningCpu = toWhole(json.at(4), 0, maxReportedWork);
        report.inflow = toWhole(json.at(5), 0, maxReportedWork);
        report.backlog = toWhole(json.at(6), 0, maxReportedWork);
        report.lateBacklog = toWhole(json.at(7), 0, maxReportedWork);
        report.spread = static_cast<std::int32_t>(toWhole(json.at(8), 0, maxItems));
        for (const Json &row : json.at(9)) {
            report.executors.push_back(
                ExecutorUsage{ExecutorId{toName(row.at(0))}, toWhole(row.at(1)), toCount(row.at(2)), toCount(row.at(3)), row.at(4).get<bool>()});
        }
        // Reports of earlier versions end here.
        report.readyCpu = json.size() > 10 ? toWhole(json.at(10), 0, maxReportedWork) : 0;
        report.refusedWork = json.size() > 11 ? toWhole(json.at(11), 0, maxReportedWork) : 0;
        return report;
    });
}

std::string cancellationKey(const JobId &job)
{
    return cancellationPrefix + job.value;
}

std::string progressPartKey(const JobId &job, std::int64_t part)
{
    return partPrefix + std::to_string(part) + "/" + job.value;
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
        const std::string_view rest = std::string_view(key).substr(std::string_view(executorPrefix).size());
        const char *slash = rest.data() + std::min(rest.find('/'), rest.size());
        const auto [end, error] = std::from_chars(rest.data(), slash, parsed.executor.incarnation);
        const bool isValid = error == std::errc{} && end == slash && parsed.executor.incarnation >= 0 && slash != rest.data() + rest.size();
        parsed.kind = isValid ? KeyKind::Executor : KeyKind::Unknown;
        parsed.executor.id = ExecutorId{isValid ? std::string(slash + 1, rest.data() + rest.size()) : std::string()};
    } else if (key.starts_with(sealPrefix)) {
        const std::size_t first = std::string_view(sealPrefix).size();
        const std::size_t slash = first + addressDigits;
        const char *last = key.data() + key.size();
        const bool hasAddress = key.size() > slash && key[slash] == '/';
        const auto [end, error] = hasAddress ? std::from_chars(key.data() + slash + 1, last, parsed.sealed.revision) : std::from_chars(last, last, parsed.part);
        const bool isValid = error == std::errc{} && end != last && *end == '/' && parsed.sealed.revision >= 0;
        parsed.kind = isValid ? KeyKind::Seal : KeyKind::Unknown;
        parsed.sealed.address = isValid ? key.substr(first, addressDigits) : std::string();
    } else if (key.starts_with(partPrefix)) {
        const char *first = key.data() + 1;
        const char *slash = key.data() + std::min(key.find('/'), key.size());
        const auto [end, error] = std::from_chars(first, slash, parsed.part);
        const bool isValid = error == std::errc{} && end == slash && parsed.part >= 0 && slash != key.data() + key.size();
        parsed.kind = isValid ? KeyKind::ProgressPart : KeyKind::Unknown;
        parsed.job = JobId{isValid ? std::string(slash + 1, key.data() + key.size()) : std::string()};
    } else if (key.starts_with(cancellationPrefix)) {
        parsed.kind = KeyKind::Cancellation;
        parsed.job = JobId{key.substr(1)};
    } else {
        parsed.job = JobId{key};
    }
    return parsed;
}

std::string addressOf(const std::string &host, const std::string &pathPrefix)
{
    constexpr int hexadecimal = 16;
    std::array<char, addressDigits> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), stableHash(host + '\0' + pathPrefix), hexadecimal).ptr;
    const std::string text(digits.data(), end);
    return std::string(addressDigits - text.size(), '0') + text;
}

std::string sealKey(const JobPlacement &sealed, const std::string &writer)
{
    return sealPrefix + sealed.address + "/" + std::to_string(sealed.revision) + "/" + writer;
}

std::string queuePlacementKey(const QueuePlacement &placement)
{
    const std::string name = placement.queue.value + '\0' + placement.host + '\0' + placement.pathPrefix;
    const std::string key = std::to_string(placement.partition) + "/" + std::to_string(stableHash(name));
    return placement.revision == 0 ? key : key + "/" + std::to_string(placement.revision);
}

std::string encodeQueuePlacement(const QueuePlacement &placement)
{
    Json fields = Json::array({placement.partition, placement.queue.value, placement.host, placement.pathPrefix});
    if (placement.revision != 0) {
        fields.push_back(placement.revision);
    }
    return toBytes(fields);
}

Result<QueuePlacement> decodeQueuePlacement(std::string_view bytes)
{
    return decode("queue placement", [&]() -> Result<QueuePlacement> {
        const Json json = fromBytes(bytes);
        return QueuePlacement{
            toCount(json.at(0)), QueueId{toName(json.at(1))}, toText(json.at(2)), toText(json.at(3)), json.size() > 4 ? toWhole(json.at(4)) : 0};
    });
}

std::int32_t partitionOf(const ServiceId &service, std::int32_t partitions)
{
    return static_cast<std::int32_t>(stableHash(service.value) % static_cast<std::uint64_t>(partitions));
}

}
