// Pool of one serving thread's idle keep-alive connections to executors.
#pragma once

#include <map>
#include <memory>
#include <vector>

#include <mangocourse/processsettings.h>

#include "asiotypes.h"

namespace MangoCourse {

// A connection to an executor. It carries one request at a time, so a late response can never be matched to another request.
struct UpstreamConnection {
    explicit UpstreamConnection(net::io_context &context)
        : stream(context)
    {
    }
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    bool isReused = false;
};

// Not thread-safe; each serving thread has its own pool.
class UpstreamPool
{
public:
    explicit UpstreamPool(net::io_context &context)
        : context(context)
    {
    }

    // Returns an idle connection that the executor has not closed, or a new connection that is not yet connected.
    std::unique_ptr<UpstreamConnection> acquire(const Endpoint &endpoint);

    // Returns a connection to the pool. Requires that its last response was read completely.
    void release(const Endpoint &endpoint, std::unique_ptr<UpstreamConnection> connection);

    // Bound on idle connections per executor. Kept low because the executor's connection limit is shared by all gates.
    static constexpr std::size_t maxIdlePerExecutor = 4;

private:
    net::io_context &context;
    std::map<Endpoint, std::vector<std::unique_ptr<UpstreamConnection>>> idle;
};

}
