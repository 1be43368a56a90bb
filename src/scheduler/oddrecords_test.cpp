// Odd records in the scheduler's own streams, which other writers can write to: they are rejected or in range, and those beside them hold.
#include "scheduler_test.h"

#include "executordirectory.h"
#include "progressrecords.h"

#include <functional>
#include <limits>

#include <nlohmann/json.hpp>

namespace MangoCourse {
namespace {

using Json = nlohmann::json;

// Overflows a stack of 8 MiB if each level takes a stack frame.
constexpr std::size_t nestingDepth = 200'000;
constexpr std::int64_t latestUnixMs = 253'402'300'799'999;
constexpr std::int64_t largestWholeNumber = std::int64_t(1) << 53;
// Sums over the pools of a fleet stay far below 2^63.
constexpr std::int64_t largestWork = 1'000'000'000'000'000;

std::string repeat(const std::string &text, std::size_t count)
{
    std::string result;
    for (std::size_t number = 0; number < count; ++number) {
        result += text;
    }
    return result;
}

std::string toCbor(const Json &json)
{
    std::string bytes;
    Json::to_cbor(json, nlohmann::detail::output_adapter<char>(bytes));
    return bytes;
}

bool isTime(WallTime time)
{
    return time.time_since_epoch().count() >= 0 && time.time_since_epoch().count() <= latestUnixMs;
}

bool isWholeNumber(std::int64_t number)
{
    return number >= 0 && number <= largestWholeNumber;
}

struct OddRecord {
    const char *name;
    std::string sample;
    // Returns true if the record is rejected or all that is decoded is in range.
    std::function<bool(const std::string &)> isHandled;
};

std::vector<OddRecord> records()
{
    StepSpec step;
    step.count = 3;
    step.resources = Resources{1, 2, 3};
    StepSpec second = step;
    second.dependsOn = {0};
    second.estimate = 5s;
    const AcceptedJob job{JobId{"00000000000000aa"}, QueueId{"q"}, ServiceId{"s"}, WallTime(5ms),
        JobSpec{"p", {step, second}, Recurrence{2, WallTime(7ms), 9ms}}, JobTerms{1, 2, 1.5, 600ms, true}, JobPlacement{"0123456789abcdef", 7}, AccountId{"a"}};
    const JobProgress progress{JobId{"00000000000000aa"}, QueueId{"q"}, ServiceId{"s"}, JobState::Running, true, WallTime(5ms),
        {ItemProgress{1, 2, 3, true, 2, {5, 7}}}, {}, AccountId{"a"}};
    PlannerState state;
    state.number = 7;
    state.evacuations.push_back(Evacuation{MachineId{"m"}, ExecutorId{"x"}, 5, EvacuationPurpose::Move, {}, ServiceId{"s"}, true, 6});
    state.waves[WaveId{"1"}] = PlannerState::Wave{{MachineId{"m"}}, WallTime(5ms), true};
    state.ended[ExecutorId{"y"}] = PlannerState::EndedIncarnation{6, WallTime(7ms)};
    state.orderedAt[MachineId{"m"}] = WallTime(8ms);
    PoolReport report;
    report.service = ServiceId{"s"};
    report.executors.push_back(ExecutorUsage{ExecutorId{"x"}, 5, 1, 1, false});
    return {
        {"job", encodeAcceptedJob(job),
            [](const std::string &bytes) {
                const auto decoded = decodeAcceptedJob(JobId{"00000000000000aa"}, bytes);
                const auto terms = decoded ? decoded->terms.value_or(JobTerms{}) : JobTerms{};
                return !decoded
                    || (isTime(decoded->acceptedAt) && terms.attempts >= 0 && terms.slackFactor >= 0.0 && terms.slackFactor <= 100.0
                        && terms.targetLatency >= 0ms && terms.targetLatency <= 24h * 3660 && isTime(decoded->spec.recurrence.first)
                        && decoded->spec.recurrence.interval >= 0ms && decoded->spec.recurrence.interval <= 24h * 3660
                        && std::all_of(decoded->spec.steps.begin(), decoded->spec.steps.end(), [](const StepSpec &known) {
                               return known.estimate >= 0ms && known.estimate <= 24h * 366 && known.resources.cpu >= 0 && known.resources.cpu <= 1'000'000'000
                                   && known.tailLatencyTarget >= 0ms && known.tailLatencyTarget <= 24h * 366;
                           }));
            }},
        {"progress", encodeProgress(progress),
            [](const std::string &bytes) {
                const auto decoded = decodeProgress(JobId{"00000000000000aa"}, bytes);
                return !decoded || (isTime(decoded->endedAt) && std::all_of(decoded->items.begin(), decoded->items.end(), [](const ItemProgress &item) {
                    return item.occurrence >= 0 && item.step >= 0 && item.index >= 0 && item.failures >= 0
                        && std::all_of(item.failedRuns.begin(), item.failedRuns.end(), isWholeNumber);
                }));
            }},
        {"part of a progress", encodeProgressParts(progress).begin()->second,
            [](const std::string &bytes) {
                const auto decoded = decodeProgressPart(bytes);
                return !decoded || std::all_of(decoded->begin(), decoded->end(), [](const ItemProgress &item) {
                    return item.occurrence >= 0 && item.step >= 0 && item.index >= 0 && item.failures >= 0
                        && std::all_of(item.failedRuns.begin(), item.failedRuns.end(), isWholeNumber);
                });
            }},
        {"queue placement", encodeQueuePlacement(QueuePlacement{3, QueueId{"q"}, "host", "/path/"}),
            [](const std::string &bytes) {
                const auto decoded = decodeQueuePlacement(bytes);
                return !decoded || decoded->partition >= 0;
            }},
        {"planner state", encodePlannerState(state),
            [](const std::string &bytes) {
                const auto decoded = decodePlannerState(bytes);
                return !decoded || (isWholeNumber(decoded->number) && std::all_of(decoded->orderedAt.begin(), decoded->orderedAt.end(), [](const auto &entry) {
                    return isTime(entry.second);
                }) && std::all_of(decoded->ended.begin(), decoded->ended.end(), [](const auto &entry) {
                    return isTime(entry.second.at) && isWholeNumber(entry.second.incarnation);
                }) && std::all_of(decoded->waves.begin(), decoded->waves.end(), [](const auto &entry) {
                    return isTime(entry.second.seenAt);
                }) && std::all_of(decoded->evacuations.begin(), decoded->evacuations.end(), [](const Evacuation &evacuation) {
                    return isWholeNumber(evacuation.incarnation) && isWholeNumber(evacuation.firstListNumber);
                }));
            }},
        {"pool report", encodePoolReport(report),
            [](const std::string &bytes) {
                const auto decoded = decodePoolReport(bytes);
                if (!decoded) {
                    return true;
                }
                const std::int64_t amounts[] = {decoded->longRunningCpu, decoded->inflow, decoded->backlog, decoded->lateBacklog, decoded->readyCpu};
                return std::all_of(std::begin(amounts), std::end(amounts),
                           [](std::int64_t amount) {
                               return amount >= 0 && amount <= largestWork;
                           })
                    && isWholeNumber(decoded->token) && isWholeNumber(decoded->number) && decoded->spread >= 0 && decoded->spread <= 100'000
                    && std::all_of(decoded->executors.begin(), decoded->executors.end(), [](const ExecutorUsage &usage) {
                           return usage.runs >= 0 && usage.longRunning >= 0 && isWholeNumber(usage.incarnation);
                       });
            }},
        {"location", encodeExecutorLocation(ExecutorLocation{MachineId{"m"}, ServiceId{"s"}}),
            [](const std::string &bytes) {
                (void)decodeExecutorLocation(bytes);
                return true;
            }},
    };
}

std::vector<Json> oddValues()
{
    Json nested = 1;
    for (int level = 0; level < 100; ++level) {
        nested = Json::array({std::move(nested)});
    }
    return {std::numeric_limits<std::int64_t>::max(), std::numeric_limits<std::int64_t>::min(), std::numeric_limits<std::uint64_t>::max(),
        largestWholeNumber + 1, std::int64_t(1) << 32, std::int64_t(1) << 31, -1, 1e300, -1e300, std::numeric_limits<double>::quiet_NaN(),
        std::numeric_limits<double>::infinity(), 0.5, "", "\xff\xfe", std::string(300, 's'), nullptr, true, Json::array(), Json::object(),
        Json::array({Json::array({1})}), nested};
}

TEST(OddRecords, EveryFieldOfEveryRecordIsRejectedOrInRange)
{
    for (const OddRecord &record : records()) {
        ASSERT_TRUE(record.isHandled(record.sample));
        const Json document = Json::from_cbor(record.sample);
        const Json values = document.flatten();
        for (const Json &value : oddValues()) {
            for (const auto &[path, original] : values.items()) {
                Json changed = document;
                changed[Json::json_pointer(path)] = value;
                bool isHandled = false;
                EXPECT_NO_THROW(isHandled = record.isHandled(toCbor(changed))) << record.name << " " << path;
                EXPECT_TRUE(isHandled) << record.name << " " << path << " " << value.dump(-1, ' ', false, Json::error_handler_t::replace).substr(0, 60);
            }
        }
    }
}

TEST(OddRecords, DeeplyNestedRecordsAreRejected)
{
    const std::string nested[] = {repeat("\x81", nestingDepth), repeat("\x81", nestingDepth) + "\x01", repeat("\x9f", nestingDepth),
        repeat("\xa1\x61\x61", nestingDepth / 3), repeat("\xbf\x61\x61", nestingDepth / 3), repeat("\xc1", nestingDepth), repeat("\xd8\x20", nestingDepth),
        repeat("\x5f", nestingDepth), repeat("\x7f", nestingDepth), std::string("\x9b\x7f\xff\xff\xff\xff\xff\xff\xff\x01", 10),
        std::string("\x9b\xff\xff\xff\xff\xff\xff\xff\xff\x01", 10), std::string("\xbb\x7f\xff\xff\xff\xff\xff\xff\xff\x01", 10),
        std::string("\x7b\x7f\xff\xff\xff\xff\xff\xff\xff\x61", 10)};
    for (const std::string &bytes : nested) {
        EXPECT_FALSE(decodeAcceptedJob(JobId{"00000000000000aa"}, bytes));
        EXPECT_FALSE(decodeProgress(JobId{"00000000000000aa"}, bytes));
        EXPECT_FALSE(decodePlannerState(bytes));
        EXPECT_FALSE(decodePoolReport(bytes));
        EXPECT_FALSE(decodeExecutorLocation(bytes));
    }
}

// Work items are named JOB.OCCURRENCE.STEP.INDEX in orders, which are JSON.
TEST(OddRecords, JobWithAnOddIdIsRejected)
{
    const std::string sample = records().front().sample;
    for (const std::string &id :
        {std::string(), std::string("\xff\xfe"), std::string("a.0"), std::string("a b"), std::string("a\0b", 3), std::string(200, 'a')}) {
        EXPECT_FALSE(decodeAcceptedJob(JobId{id}, sample)) << id;
    }
}

// Counts the log lines of an event that name an executor.
int countLines(const std::string &output, const std::string &event, const std::string &executor)
{
    int count = 0;
    for (std::size_t at = output.find("\"" + event + "\""); at != std::string::npos; at = output.find("\"" + event + "\"", at + 1)) {
        const std::string line = output.substr(at, output.find('\n', at) - at);
        count += line.find("\"" + executor + "\"") != std::string::npos ? 1 : 0;
    }
    return count;
}

class OddExecutorsTest : public SchedulerTest
{
protected:
    OddExecutorsTest()
        : eventLog(EventLog::create("test", 60))
        , directory(context, store, *eventLog, [](const std::string &id, const std::string &value) -> Result<ExecutorInfo> {
            if (value.starts_with("odd")) {
                return makeError(ErrorCode::Decode, value, "executor");
            }
            ExecutorInfo info = executor();
            info.id = ExecutorId{id};
            return info;
        })
    {
    }

    void write(const std::string &key, const std::string &value)
    {
        auto &stored = this->store.partitions[{Stream::Executors, 0}].records;
        stored.push_back(StoredRecord{key, value, static_cast<std::int64_t>(stored.size())});
    }

    void refresh()
    {
        bool isRead = false;
        net::co_spawn(
            this->context,
            [this, &isRead]() -> net::awaitable<void> {
                co_await this->directory.refresh();
                isRead = true;
            },
            net::detached);
        this->runUntil([&isRead] {
            return isRead;
        });
    }

    std::unique_ptr<EventLog> eventLog;
    ExecutorDirectory directory;
};

TEST_F(OddExecutorsTest, RepeatedOddEntryIsLoggedOnceForEachChange)
{
    testing::internal::CaptureStdout();
    this->write("good", "fine");
    for (int report = 0; report < 20; ++report) {
        this->write("odd-one", "odd: port");
        this->refresh();
    }
    this->write("odd-one", "odd: born");
    this->refresh();
    this->write("odd-one", "fine");
    this->refresh();
    EXPECT_EQ(this->directory.executors().size(), 2U);
    this->write("odd-one", "odd: born");
    this->refresh();
    EXPECT_EQ(this->directory.executors().size(), 1U);
    this->eventLog->flush();
    EXPECT_EQ(countLines(testing::internal::GetCapturedStdout(), "executor_unreadable", "odd-one"), 3);
}

TEST_F(OddExecutorsTest, EachOfManyOddEntriesIsNamed)
{
    testing::internal::CaptureStdout();
    this->write("good", "fine");
    for (int number = 0; number < 200; ++number) {
        this->write("odd-" + std::to_string(number), "odd");
    }
    this->refresh();
    EXPECT_EQ(this->directory.executors().size(), 1U);
    this->eventLog->flush();
    const std::string output = testing::internal::GetCapturedStdout();
    for (int number = 0; number < 200; ++number) {
        EXPECT_EQ(countLines(output, "executor_unreadable", "odd-" + std::to_string(number)), 1) << number;
    }
}

// A record that the store does not take cannot be appended, and with it the progress of its job would be lost.
TEST(OddRecords, ProgressOfTheLargestJobFitsIntoARecord)
{
    constexpr std::size_t maxRecordBytes = 262'144;
    net::io_context context;
    MemoryStore store(context);
    store.maxRecordBytes = maxRecordBytes;
    JobProgress progress{JobId{"00000000000000aa"}, QueueId{"q"}, ServiceId{"s"}, JobState::Running, true, {}, {}};
    StepSpec step;
    step.count = 100'000;
    ASSERT_TRUE(validate(JobSpec{"work", {step}, {}}));
    for (std::int32_t index = 0; index < step.count; ++index) {
        progress.items.push_back(ItemProgress{0, 0, index, true, 0, {}});
    }
    progress.itemsOfSteps = {step.count};
    for (const StoredRecord &record : ProgressRecords(store).encode(progress)) {
        EXPECT_LT(record.key.size() + record.value.size(), maxRecordBytes) << record.key;
    }
}

class OddTakeoversTest : public SchedulerTest, public testing::WithParamInterface<const char *>
{
};

// The number of takeovers gives each owner a range of run numbers of its own.
TEST_P(OddTakeoversTest, RunsAreNumberedAboveThoseOfAllEarlierOwners)
{
    this->store.partitions[{Stream::Progress, 0}].records.push_back(StoredRecord{ownerKey, GetParam(), 0});
    // Leases of earlier owners end soon.
    this->settings.scheduler.leaseLength = this->settings.scheduler.maxLeaseLength = 500ms;
    this->executors.endsRuns = false;
    const auto shard = this->startOwner(7);
    EXPECT_EQ(this->call(CallerAction::Submit, this->job).outcome, CallerOutcome::Accepted);
    this->runUntil([this] {
        return this->executors.running.size() == 3;
    });
    for (const ReportedRun &run : this->executors.running) {
        EXPECT_GT(run.run, 600'000);
        EXPECT_LT(run.run, largestWholeNumber);
    }
    shard->stop();
    this->runFor(20ms);
}

INSTANTIATE_TEST_SUITE_P(OddRecords, OddTakeoversTest, testing::Values("99999999999999999999", "9223372036854775807", "text", "-5", "7 or so"));

TEST_F(SchedulerTest, JobsBesideOddRecordsRun)
{
    const std::string nested = repeat("\x81", nestingDepth);
    for (const Stream stream : {Stream::Jobs, Stream::Progress}) {
        auto &stored = this->store.partitions[{stream, 0}].records;
        for (const std::string &key :
            {std::string("00000000000000bb"), std::string("\xff\xfe"), std::string("@x/99999999999999999999/x"), std::string("@x/"), std::string("!")}) {
            stored.push_back(StoredRecord{key, nested, static_cast<std::int64_t>(stored.size())});
        }
    }
    const auto shard = this->startOwner(1);
    EXPECT_EQ(this->call(CallerAction::Submit, this->job).outcome, CallerOutcome::Accepted);
    this->runUntil([this] {
        return this->call(CallerAction::Read, this->job).state == JobState::Completed;
    });
    shard->stop();
    this->runFor(20ms);
}

}
}
