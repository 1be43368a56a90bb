// Tests that the scheduler's records are decoded as they were encoded.
#include "recordcodec.h"

#include <gtest/gtest.h>

namespace MangoCourse {
namespace {

using namespace std::chrono_literals;

TEST(RecordCodec, RecordsAreReadBack)
{
    StepSpec step;
    step.count = 3;
    step.resources = Resources{1, 2, 3};
    step.dependsOn = {};
    step.isBestEffort = true;
    step.isLongRunning = true;
    step.requiredLabel = "a";
    step.tailLatencyTarget = 80ms;
    const AcceptedJob job{JobId{"j"}, QueueId{"q"}, ServiceId{"s"}, WallTime(5ms), JobSpec{"p", {step}, Recurrence{2, WallTime(7ms), 9ms}}};
    const auto back = decodeAcceptedJob(JobId{"j"}, encodeAcceptedJob(job));
    ASSERT_TRUE(back) << describe(back.error());
    EXPECT_EQ(back->spec, job.spec);
    EXPECT_EQ(back->service, job.service);
    const JobProgress progress{JobId{"j"}, QueueId{"q"}, ServiceId{"s"}, JobState::Running, true, WallTime(5ms), {ItemProgress{1, 2, 3, true, 2, {5, 7}}}};
    EXPECT_EQ(*decodeProgress(JobId{"j"}, encodeProgress(progress)), progress);
    // Processes of earlier versions read what they know, and their records are read.
    AcceptedJob withTerms = job;
    withTerms.terms = JobTerms{-1, 3, 1.5, 600ms, true};
    EXPECT_EQ(decodeAcceptedJob(JobId{"j"}, encodeAcceptedJob(withTerms))->terms, withTerms.terms);
    EXPECT_EQ(back->terms, std::nullopt);
    EXPECT_EQ(encodeAcceptedJob(withTerms).substr(1, encodeAcceptedJob(job).size() - 1), encodeAcceptedJob(job).substr(1)) << "fields are only added";
    JobProgress progressWithTerms = progress;
    progressWithTerms.terms = withTerms.terms;
    EXPECT_EQ(*decodeProgress(JobId{"j"}, encodeProgress(progressWithTerms)), progressWithTerms);
    PlannerState state;
    state.number = 7;
    state.evacuations.push_back(Evacuation{MachineId{"m"}, ExecutorId{"x"}, 5, EvacuationPurpose::Move, {}, ServiceId{"s"}, true, 6});
    state.waves[WaveId{"1"}] = PlannerState::Wave{{MachineId{"m"}}, WallTime(5ms), false};
    state.waves[WaveId{"2"}] = PlannerState::Wave{{}, WallTime(6ms), true};
    state.ended[ExecutorId{"y"}] = PlannerState::EndedIncarnation{6, WallTime(7ms)};
    state.orderedAt[MachineId{"m"}] = WallTime(8ms);
    EXPECT_EQ(*decodePlannerState(encodePlannerState(state)), state);
    const ExecutorLocation location{MachineId{"m"}, ServiceId{"s"}};
    EXPECT_EQ(*decodeExecutorLocation(encodeExecutorLocation(location)), location);
    PoolReport report;
    report.service = ServiceId{"s"};
    report.lateBacklog = 5;
    report.readyCpu = 12;
    report.refusedWork = 13;
    report.executors.push_back(ExecutorUsage{ExecutorId{"x"}, 5, 1, 1, false});
    EXPECT_EQ(*decodePoolReport(encodePoolReport(report)), report);
    for (const char *bad : {"", "\xff", "\x80", "\x81\x01", "text"}) {
        EXPECT_FALSE(decodeAcceptedJob(JobId{"j"}, bad));
        EXPECT_FALSE(decodeProgress(JobId{"j"}, bad));
        EXPECT_FALSE(decodePlannerState(bad));
        EXPECT_FALSE(decodePoolReport(bad));
        EXPECT_FALSE(decodeExecutorLocation(bad));
    }
}

}
}
