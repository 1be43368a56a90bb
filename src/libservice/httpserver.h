// A small HTTP server for the control side: operators, peers, metrics and the stand-ins. Callers' traffic has its own, in the gate.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include <mangocourse/error.h>
#include <mangocourse/processsettings.h>

#include "asiotypes.h"

namespace MangoCourse {

// Answers one request. Exceptions become 500 with a JSON body.
using HttpHandler = std::function<net::awaitable<HttpResponse>(const HttpRequest &)>;

// Routes by method and path; a pattern that ends in '*' matches by prefix. Runs on the io_context it was created with.
class HttpServer
{
public:
    // Listens at once; port 0 lets the system choose. Returns Unavailable where the address cannot be had.
    static Result<std::unique_ptr<HttpServer>> create(net::io_context &context, const Endpoint &endpoint);
    ~HttpServer();

    // Adds a route. A non-empty token makes it answer 401 to requests without "Authorization: Bearer TOKEN".
    void route(http::verb method, std::string pattern, HttpHandler handler, std::string token = {});

    // Answers every request that no route takes.
    void fallback(HttpHandler handler);

    // Starts accepting.
    void start();

    // Stops accepting and closes idle connections after their current request.
    void stop();

    // Goes on serving, and asks callers to close their connections with each answer.
    void disableKeepAlive();

    // Requests that have been read and not answered yet.
    std::size_t activeRequests() const;

    Endpoint endpoint() const;

    // Limits of the control side.
    static constexpr std::size_t bodyLimit = 8 * 1024 * 1024;
    static constexpr std::size_t connectionLimit = 2048;
    static constexpr std::chrono::seconds idleTimeout{60};

private:
    class Private;
    explicit HttpServer(std::shared_ptr<Private> impl);
    std::shared_ptr<Private> d;
};

// Builds the answer of /healthz: alive, and the control bytes so far.
HttpResponse healthResponse();

// Builds a JSON response.
HttpResponse jsonResponse(http::status status, const std::string &body);

// Builds an error response: {"reason": ...}.
HttpResponse errorResponse(http::status status, std::string_view reason);

// Returns the value of a query parameter of the target, or the fallback.
std::string queryValue(std::string_view target, std::string_view name, std::string fallback = {});

// Returns the path part of the target.
std::string_view pathOf(std::string_view target);

}
