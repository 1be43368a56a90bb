// Coroutine HTTP client: a pool of keep-alive connections to one endpoint, a timeout for every call.
#pragma once

#include <chrono>
#include <functional>
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

// A call that tells who the server is. A connection leads to the same server as long as it is open, so one answer holds for it.
struct Identification {
    // Name of the expected server, unique among all that may listen at the endpoint.
    std::string server;
    std::string target;
    std::string body;
    // Returns true if the answer is that of the expected server.
    std::function<bool(const HttpResponse &response)> isExpected;
};

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
    // How the server is asked on a connection who it is, for the verdict Identify. The time-out counts anew once it has answered.
    std::optional<Identification> identification{};
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
    // Notes which server has answered on an idle connection.
    void noteServer(std::uint64_t connection, std::string server);

private:
    class Private;
    explicit ConnectionPool(std::shared_ptr<Private> impl);
    std::shared_ptr<Private> d;
};

}
