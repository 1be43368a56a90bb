// A blocking HTTP client for duty threads and command-line tools: one connection, a time limit on every call.
#pragma once

#include <chrono>
#include <memory>
#include <string>

#include <mangocourse/error.h>
#include <mangocourse/processsettings.h>

#include "asiotypes.h"

namespace MangoCourse {

// Not safe for concurrent use; each duty has its own.
class HttpClient
{
public:
    // Creates a client; it connects at the first call. A non-empty token goes out as a bearer token.
    static Result<std::unique_ptr<HttpClient>> create(Endpoint endpoint, std::string token = {});
    ~HttpClient();

    // Returns the response whatever its status. Errors: Unavailable where the request cannot have arrived, Timeout where it may have.
    Result<HttpResponse> request(http::verb method, const std::string &target, const std::string &body, std::chrono::milliseconds limit);

    // The same, but an HTTP status of 400 or above is ErrorCode::Refused with the body's "reason".
    Result<std::string> call(http::verb method, const std::string &target, const std::string &body, std::chrono::milliseconds limit);

    // Ends the current call and every later one with Timeout. May be called from another thread.
    void interrupt();

    const Endpoint &endpoint() const;

private:
    class Private;
    explicit HttpClient(std::unique_ptr<Private> impl);
    std::unique_ptr<Private> d;
};

}
