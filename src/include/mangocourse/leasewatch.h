// Detects job claims whose lease has expired.
#pragma once

#include <chrono>
#include <unordered_map>
#include <vector>

#include <mangocourse/clock.h>
#include <mangocourse/jobledger.h>

namespace MangoCourse {

// A lease is measured from when this process first saw the claim, on its own clock. The holder measures it from before it sent the claim, so
// it always gives up first; `graceFactor` covers clock drift.
class LeaseWatch
{
public:
    // Returns the releases to propose for expired claims. A claim that is still held after another such period is returned again.
    std::vector<ReleaseJob> collectExpired(const std::map<JobId, Offset> &claims, std::chrono::milliseconds lease, TimePoint now)
    {
        std::vector<ReleaseJob> releases;
        std::unordered_map<JobId, Observation> current;
        for (const auto &[job, claim] : claims) {
            const auto known = this->observations.find(job);
            const bool isSame = known != this->observations.end() && known->second.claim == claim;
            Observation observation = isSame ? known->second : Observation{claim, now};
            if (now - observation.since > std::chrono::duration_cast<Duration>(lease * graceFactor)) {
                releases.push_back(ReleaseJob{job, claim, ReleaseReason::LeaseExpired});
                observation.since = now;
            }
            current.emplace(job, observation);
        }
        this->observations = std::move(current);
        return releases;
    }

    static constexpr double graceFactor = 1.5;

private:
    struct Observation {
        Offset claim = 0;
        TimePoint since{};
    };
    std::unordered_map<JobId, Observation> observations;
};

}
