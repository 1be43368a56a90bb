// One attempt of a request on one executor.
#pragma once

#include <functional>
#include <string>

#include <mangocourse/dispatcher.h>

#include "asiotypes.h"
#include "gatestate.h"

namespace MangoCourse {

// What goes to the executor. A body that is not held is relayed from the caller after the executor said "100 Continue".
struct UpstreamRequest {
    std::string target;
    std::string requestId;
    std::string idempotencyKey;
    std::string contentType;
    std::string body;
};

// How an attempt ended; `verdict` is what the caller may be told if there is no further one.
struct Attempt {
    AttemptResult result = AttemptResult::Failed;
    Verdict verdict = Verdict::MayHaveRun;
    http::status status = http::status::bad_gateway;
    std::string body;
    std::string contentType;
    std::string reason;
};

// Relays a body in bounded pieces. Called once the executor has agreed to take it; returns false where either side failed.
using BodyRelay = std::function<net::awaitable<bool>(beast::tcp_stream &upstream)>;

// Sends the request and reads the whole answer, at most until the deadline. With a relay, `bodyLength` bytes come from it.
net::awaitable<Attempt> forward(Serving &serving, const ServingLimits &limits, Endpoint endpoint, const UpstreamRequest &request, TimePoint deadline,
    const BodyRelay &relay, std::uint64_t bodyLength);

}
