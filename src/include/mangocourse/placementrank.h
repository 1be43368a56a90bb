// The order in which jobs are placed.
#pragma once

#include <compare>
#include <cstdint>

namespace MangoCourse {

// Urgency of a job; the lowest rank goes first.
struct PlacementRank {
    // 0 for long-running jobs other than best-effort ones, 1 for all others.
    int group = 0;
    // The job's account has submitted more jobs than its rate allows. Set only while open jobs belong to at least two accounts.
    bool isBeyondRate = false;
    bool isLate = false;
    std::int32_t priority = 0;
    bool isDeferred = false;
    // Slack until the deadline in ms; negated for deferred jobs, so that the newest comes first.
    std::int64_t slack = 0;

    auto operator<=>(const PlacementRank &) const = default; // NOLINT(modernize-use-nullptr)
};

}
