// Runs one request: admission, attempts, and retries within the retry budget.
#pragma once

#include "answer.h"
#include "forward.h"

namespace MangoCourse {

// A parsed request of a caller with its service's definition and its deadline.
struct GateRequest {
    ServiceId service;
    TeamId team;
    ServiceView spec;
    UpstreamRequest upstream;
    TimePoint deadline;
    // Set if the body is relayed instead of buffered. A relayed body can be sent only once.
    BodyRelay relay;
    std::uint64_t bodyLength = 0;
    // Set by the relay when it starts to read the body from the caller; the request cannot be retried after that.
    std::shared_ptr<bool> hasRelayStarted = std::make_shared<bool>(false);
};

// Runs the request with its retries and returns the last attempt. Its verdict covers all attempts: it is never NotRun if an earlier attempt
// may have run.
net::awaitable<Attempt> runRequest(GateState &state, ServingThread &serving, const GateRequest &request);

// Converts the final attempt of a request to the response for the caller.
CallerResponse toCallerResponse(const Attempt &attempt);

}
