// Requests to the placement policy, as a test takes them.
#pragma once

#include <mangocourse/poolscheduler.h>

#include <vector>

namespace MangoCourse {

// Takes the requests for all steps that need one now.
inline std::vector<PolicyRequest> takePolicyRequests(PoolScheduler &scheduler, TimePoint now)
{
    std::vector<PolicyRequest> requests;
    std::vector<QueuePolicyNeeds> needs = scheduler.policyNeeds(now);
    while (!needs.empty()) {
        for (const QueuePolicyNeeds &queue : needs) {
            std::optional<PolicyRequest> request = scheduler.takePolicyRequest(queue.mostUrgent.step, now);
            if (!request) {
                return requests;
            }
            requests.push_back(std::move(*request));
        }
        needs = scheduler.policyNeeds(now);
    }
    return requests;
}

}
