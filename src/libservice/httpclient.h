// Blocking HTTP client for duty threads and command-line tools: one keep-alive connection, a timeout for every call.
#pragma once

#include <chrono>
#include <memory>
#include <string>

#include <mangocourse/error.h>
#include <mangocourse/processsettings.h>

#include "asiotypes.h"
#include "httpanswer.h"

namespace MangoCourse {

// Not thread-safe, except for interrupt(); each duty has its own client.
class HttpClient
{
public:
    // Creates a client that connects at the first call. A non-empty token is sent as a bearer token.
    static Result<std::unique_ptr<HttpClient>> create(Endpoint endpoint, std::string token = {});
    ~HttpClient();

    // Returns the answer with any status. Errors: Unavailable if the request cannot have arrived, Timeout if it may have.
    // After a failure on a reused connection the request is sent once more, so requests have to be idempotent.
    Result<HttpAnswer> request(http::verb method, const std::string &target, const std::string &body, std::chrono::milliseconds timeout);

    // Returns the body of the response. A status of 400 or above is ErrorCode::Refused with the "reason" of the body, or Timeout if an earlier attempt
    // of a call other than GET may have been carried out.
    Result<std::string> call(http::verb method, const std::string &target, const std::string &body, std::chrono::milliseconds timeout);

    // Makes the current call and every later one return Timeout. Thread-safe.
    void interrupt();

    const Endpoint &endpoint() const;

private:
    class Private;
    explicit HttpClient(std::unique_ptr<Private> impl);
    std::unique_ptr<Private> d;
};

}
