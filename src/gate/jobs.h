// Work that may run once: accepted, claimed and finished through the ledger in the log.
#pragma once

#include <stop_token>

#include "work.h"

namespace MangoCourse {

// Makes the request a job of the ledger, under the caller's Idempotency-Key. Answers 202 once the log has it, or the outcome where the
// caller waits with "Prefer: wait" and it comes in time. A second call with the same key finds the first job and never runs it again.
net::awaitable<CallerAnswer> submitJob(GateState &state, Serving &serving, const GateRequest &request);

// Claims waiting jobs from the keeper and runs them on the serving threads.
Result<void> runJobs(const std::stop_token &stop, GateState &state);

}
