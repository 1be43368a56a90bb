// Coroutine HTTP client: a pool of keep-alive connections to one endpoint, a timeout for every call.
#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <mangocourse/error.h>
#include <mangocourse/processsettings.h>

#include "asiotypes.h"
#include "httpanswer.h"
#include "sendcondition.h"

namespace MangoCourse {

struct HttpCall {
    http::verb method = http::verb::get;
    std::string target;
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;
    // Includes the wait for a free connection, which ends early enough to leave the server at least half of the time. A call that the server may have
    // carried out is not given up because it waited behind other calls of this process.
    std::chrono::milliseconds timeout{};
    // Part of the time-out for which the server holds the answer back if it has none. It is left in full.
    std::chrono::milliseconds longPoll{};
    // The connection to use, for a call that must not reach a server which has started since that connection was opened. Without it, if it is closed or in
    // use, nothing is sent; the call is never sent again.
    std::optional<std::uint64_t> connection{};
    // Asked right before the call is written, each time if it is sent once more. If it allows no open connection, a new one is opened, and kept if it
    // doesn't allow that one either.
    SendCondition maySend{};
};

// Calls may run concurrently, each on its own connection. Runs on the io_context it was created with.
class ConnectionPool
{
public:
    static Result<std::unique_ptr<ConnectionPool>> create(net::io_context &context, Endpoint endpoint, std::size_t maxConnections);
    ~ConnectionPool();

    // Returns the answer with any status. Errors: Unavailable if nothing was sent, Timeout if the call may have been carried out.
    // After a failure on a reused connection the call is sent once more, so calls have to be idempotent.
    net::awaitable<Result<HttpAnswer>> call(HttpCall call);

private:
    class Private;
    explicit ConnectionPool(std::shared_ptr<Private> impl);
    std::shared_ptr<Private> d;
};

}
