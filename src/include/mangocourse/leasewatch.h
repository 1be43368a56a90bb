// Ends claims whose holder has been silent for longer than its lease.
#pragma once

#include <chrono>
#include <unordered_map>
#include <vector>

#include <mangocourse/clock.h>
#include <mangocourse/jobledger.h>

namespace MangoCourse {

// Counts from when this process first saw the claim, on its own clock. The granter's side waits longer than the holder's: the holder
// counts from before it asked, and `grace` covers clocks that drift.
class LeaseWatch
{
public:
    // Returns the releases to propose now; each is returned again after another lease where the fold has not answered.
    std::vector<ReleaseJob> collectExpired(const std::map<JobId, Offset> &claims, std::chrono::milliseconds lease, TimePoint now)
    {
        std::vector<ReleaseJob> releases;
        std::unordered_map<JobId, Sighting> still;
        for (const auto &[job, claim] : claims) {
            const auto known = this->sightings.find(job);
            const bool isSame = known != this->sightings.end() && known->second.claim == claim;
            Sighting seen = isSame ? known->second : Sighting{claim, now};
            if (now - seen.since > std::chrono::duration_cast<Duration>(lease * grace)) {
                releases.push_back(ReleaseJob{job, claim, ReleaseReason::LeaseExpired});
                seen.since = now;
            }
            still.emplace(job, seen);
        }
        this->sightings = std::move(still);
        return releases;
    }

    static constexpr double grace = 1.5;

private:
    struct Sighting {
        Offset claim = 0;
        TimePoint since{};
    };
    std::unordered_map<JobId, Sighting> sightings;
};

}
