// Sends the requests of the load tool and classifies their answers.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>

#include <mangocourse/fleetfile.h>
#include <mangocourse/processsettings.h>

#include "asiotypes.h"
#include "loadreport.h"

namespace MangoCourse {

// A keep-alive connection that serves one request at a time.
struct CallerConnection {
    explicit CallerConnection(net::io_context &context)
        : stream(context)
    {
    }
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    std::chrono::steady_clock::time_point lastUsed;
};

// Pool of idle connections by target.
class CallerConnectionPool
{
public:
    explicit CallerConnectionPool(net::io_context &context)
        : context(context)
    {
    }

    // Returns an idle connection that is still usable or else a new one, or nullptr if the target cannot be reached.
    net::awaitable<std::unique_ptr<CallerConnection>> acquire(Endpoint target);
    // Returns a connection to the pool for reuse.
    void release(const Endpoint &target, std::unique_ptr<CallerConnection> connection);

private:
    net::io_context &context;
    std::map<Endpoint, std::deque<std::unique_ptr<CallerConnection>>> idle;
};

// One request. The deadline by which its answer counts as in time is the service's.
struct LoadRequest {
    const ServiceSpec *service = nullptr;
    std::string id;
    std::string team;
    std::string body;
    Endpoint target;
};

// Sends the request, waits for the answer for at most `timeout`, and counts the outcome in the report.
net::awaitable<void> sendRequest(CallerConnectionPool &pool, LoadReport &report, LoadRequest request, std::chrono::milliseconds timeout);

// Returns whether a gate reports itself ready at its admin address, as the platform's load balancer checks it.
net::awaitable<bool> isReady(net::io_context &context, Endpoint admin);

// Returns the digest that an executor returns for the body.
std::string computeDigest(const std::string &body);

}
