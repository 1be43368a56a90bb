// Reuses idle connections to executors.
#include "upstreampool.h"

#include "reusablesocket.h"

namespace MangoCourse {

std::unique_ptr<UpstreamConnection> UpstreamPool::acquire(const Endpoint &endpoint)
{
    std::vector<std::unique_ptr<UpstreamConnection>> &idleConnections = this->idle[endpoint];
    while (!idleConnections.empty()) {
        std::unique_ptr<UpstreamConnection> connection = std::move(idleConnections.back());
        idleConnections.pop_back();
        if (isReusable(connection->stream.socket())) {
            connection->isReused = true;
            return connection;
        }
    }
    return std::make_unique<UpstreamConnection>(this->context);
}

void UpstreamPool::release(const Endpoint &endpoint, std::unique_ptr<UpstreamConnection> connection)
{
    std::vector<std::unique_ptr<UpstreamConnection>> &idleConnections = this->idle[endpoint];
    if (idleConnections.size() < maxIdlePerExecutor) {
        idleConnections.push_back(std::move(connection));
    }
}

}
