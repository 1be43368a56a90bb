// A coroutine HTTP client: kept-alive connections to one endpoint, a time limit on every call.
#pragma once

#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <mangocourse/error.h>
#include <mangocourse/processsettings.h>

#include "asiotypes.h"

namespace MangoCourse {

struct HttpCall {
    http::verb method = http::verb::get;
    std::string target;
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;
    std::chrono::milliseconds limit{};
};

// Calls may overlap; each has a connection to itself. Runs on the io_context it was created with.
class ConnectionPool
{
public:
    static Result<std::unique_ptr<ConnectionPool>> create(net::io_context &context, Endpoint endpoint, std::size_t connectionLimit);
    ~ConnectionPool();

    // Returns the response whatever its status. Errors: Unavailable where nothing was sent, Timeout where the call may have been carried out.
    // Where a kept connection turns out to be closed, the call is sent once more, so calls have to be idempotent.
    net::awaitable<Result<HttpResponse>> call(HttpCall call);

private:
    class Private;
    explicit ConnectionPool(std::shared_ptr<Private> impl);
    std::shared_ptr<Private> d;
};

}
