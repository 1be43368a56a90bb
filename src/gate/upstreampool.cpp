// Reuse of upstream connections.
#include "upstreampool.h"

#include "reusablesocket.h"

namespace MangoCourse {

std::unique_ptr<UpstreamConnection> UpstreamPool::take(const Endpoint &endpoint)
{
    std::vector<std::unique_ptr<UpstreamConnection>> &kept = this->idle[endpoint];
    while (!kept.empty()) {
        std::unique_ptr<UpstreamConnection> connection = std::move(kept.back());
        kept.pop_back();
        if (isReusable(connection->stream.socket())) {
            connection->isReused = true;
            return connection;
        }
    }
    return std::make_unique<UpstreamConnection>(this->context);
}

void UpstreamPool::give(const Endpoint &endpoint, std::unique_ptr<UpstreamConnection> connection)
{
    std::vector<std::unique_ptr<UpstreamConnection>> &kept = this->idle[endpoint];
    if (kept.size() < idlePerExecutor) {
        kept.push_back(std::move(connection));
    }
}

}
