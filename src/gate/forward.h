// Sends one attempt of a request to one executor and classifies its outcome.
#pragma once

#include <functional>
#include <string>

#include <mangocourse/dispatcher.h>

#include "asiotypes.h"
#include "gatestate.h"

namespace MangoCourse {

// A request as it is sent to the executor. A body that is not buffered is relayed from the caller once the executor has answered
// "100 Continue".
struct UpstreamRequest {
    std::string target;
    std::string requestId;
    std::string idempotencyKey;
    std::string contentType;
    std::string body;
};

// Outcome of an attempt. `verdict` is the verdict for the caller if no further attempt follows.
struct Attempt {
    AttemptResult result = AttemptResult::Failed;
    Verdict verdict = Verdict::MayHaveRun;
    http::status status = http::status::bad_gateway;
    std::string body;
    std::string contentType;
    std::string reason;
};

// Relays a body from the caller to the executor in chunks of bounded size. Called after the executor's "100 Continue". Returns false if the
// connection to the caller or to the executor failed.
using BodyRelay = std::function<net::awaitable<bool>(beast::tcp_stream &upstream)>;

// Sends the request and reads the whole response before the deadline. If `relay` is set, it supplies the body of `bodyLength` bytes.
net::awaitable<Attempt> forward(ServingThread &serving, const ServingLimits &limits, Endpoint endpoint, const UpstreamRequest &request, TimePoint deadline,
    const BodyRelay &relay, std::uint64_t bodyLength);

}
