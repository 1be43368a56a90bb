// Kept connections of one serving thread to executors.
#pragma once

#include <map>
#include <memory>
#include <vector>

#include <mangocourse/processsettings.h>

#include "asiotypes.h"

namespace MangoCourse {

// One connection; one request in flight at a time, so that a late answer has nowhere to arrive.
struct UpstreamConnection {
    explicit UpstreamConnection(net::io_context &context)
        : stream(context)
    {
    }
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    bool isReused = false;
};

// Not safe for concurrent use; each serving thread has its own.
class UpstreamPool
{
public:
    explicit UpstreamPool(net::io_context &context)
        : context(context)
    {
    }

    // Returns an idle connection that the peer has not closed, or a new unconnected one.
    std::unique_ptr<UpstreamConnection> take(const Endpoint &endpoint);

    // Keeps a connection whose last answer was read whole.
    void give(const Endpoint &endpoint, std::unique_ptr<UpstreamConnection> connection);

    // Idle connections kept per executor: below an executor's limit shared by all gates.
    static constexpr std::size_t idlePerExecutor = 4;

private:
    net::io_context &context;
    std::map<Endpoint, std::vector<std::unique_ptr<UpstreamConnection>>> idle;
};

}
