// What PoolScheduler remembers between two reviews of waiting work.
#pragma once

#include <array>
#include <map>
#include <unordered_map>
#include <utility>

#include <mangocourse/clock.h>
#include <mangocourse/poolwaiting.h>

namespace MangoCourse {

// A job with a ready item that has no run.
struct WaitingJob {
    ItemId item;
    TimePoint since{};
    TimePoint nextLineAt{};
    TimePoint examinedAt{};
    int lines = 0;
    WaitReason reason = WaitReason::Unexamined;
    // Number of the review that last found it waiting.
    std::uint64_t review = 0;
};

// The waiting work of an account, and when the next line about it is due.
struct AccountWatch {
    TimePoint nextLineAt{};
    int lines = 0;
    std::size_t waitingJobs = 0;
};

// When the next line about an unlisted run is due.
struct UnlistedWatch {
    std::int64_t run = 0;
    TimePoint nextLineAt{};
    int lines = 0;
    std::uint64_t review = 0;
};

// The inputs of the last plan.
struct PlanInputs {
    TimePoint at{};
    TimePoint confirmedAt{};
    TimePoint expiresAt{};
    TimePoint requestWatermark{};
    TimePoint executorWatermark{};
    // Longest time between two plans since the last review.
    Duration longestGap{};
};

struct WaitingWatch {
    PlanInputs plan;
    TimePoint reviewedAt{};
    std::uint64_t review = 0;
    std::unordered_map<JobId, WaitingJob> jobs;
    // By run and executor; an item may have several runs.
    std::map<std::pair<ItemId, ExecutorId>, UnlistedWatch> runs;
    // Numbers of waiting jobs as of the last review.
    std::array<std::size_t, waitReasonCount> jobsByReason{};
    std::map<AccountId, AccountWatch> accounts;
};

}
