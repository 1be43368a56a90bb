// The life of one admitted request: admission, attempts, retries within the budget.
#pragma once

#include "answer.h"
#include "forward.h"

namespace MangoCourse {

// One request as the gate carries it.
struct GateRequest {
    ServiceId service;
    TeamId team;
    ServiceView spec;
    UpstreamRequest upstream;
    TimePoint deadline;
    // Set where the body is relayed instead of held; it can be sent once.
    BodyRelay relay;
    std::uint64_t bodyLength = 0;
    // Set by the relay when the first byte of the body was taken from the caller.
    std::shared_ptr<bool> bodyTaken = std::make_shared<bool>(false);
};

// Runs the request to its end. The last attempt's verdict is in the result.
net::awaitable<Attempt> runRequest(GateState &state, Serving &serving, const GateRequest &request);

// Turns the end of a request into the caller's answer.
CallerAnswer toAnswer(const Attempt &attempt);

}
