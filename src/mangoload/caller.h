// One request of the load tool, from its connection to its judged answer.
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

// A caller's connection that may serve several requests after another.
struct CallerConnection {
    explicit CallerConnection(net::io_context &context)
        : stream(context)
    {
    }
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    std::chrono::steady_clock::time_point lastUsed;
};

// Idle connections by target.
class CallerPool
{
public:
    explicit CallerPool(net::io_context &context)
        : context(context)
    {
    }

    // Returns a connected, quiet connection, or nullptr where the target cannot be reached.
    net::awaitable<std::unique_ptr<CallerConnection>> take(Endpoint target);
    void give(const Endpoint &target, std::unique_ptr<CallerConnection> connection);

private:
    net::io_context &context;
    std::map<Endpoint, std::deque<std::unique_ptr<CallerConnection>>> idle;
};

// What to send and by when the answer counts as in time.
struct LoadRequest {
    const ServiceSpec *service = nullptr;
    std::string id;
    std::string team;
    std::string body;
    Endpoint target;
};

// Sends the request and counts its end in the report.
net::awaitable<void> callOnce(CallerPool &pool, LoadReport &report, LoadRequest request, std::chrono::milliseconds limit);

// Asks a gate's admin address whether it is ready, as the platform's balancer does.
net::awaitable<bool> isReady(net::io_context &context, Endpoint admin);

// Returns the digest that an executor answers for the body.
std::string digestOf(const std::string &body);

}
