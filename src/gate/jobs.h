// Non-idempotent work: jobs are accepted, claimed and finished through records of the job ledger.
#pragma once

#include <stop_token>

#include "work.h"

namespace MangoCourse {

// Submits the request as a job of the ledger under the caller's Idempotency-Key. Returns 202 once the log holds the job, or the outcome if
// the caller waits with "Prefer: wait" and the job ends in time. A second call with the same key returns the first job's state and does not
// run the job again.
net::awaitable<CallerResponse> submitJob(GateState &state, ServingThread &serving, const GateRequest &request);

// Claims waiting jobs from the keeper and runs them on the serving threads until stop is requested.
Result<void> runJobs(const std::stop_token &stop, GateState &state);

}
