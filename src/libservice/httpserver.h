// Small HTTP server for operators, peers, metrics, the stand-ins and the scheduler's callers. The gate serves its callers' traffic with its own server.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include <mangocourse/error.h>
#include <mangocourse/processsettings.h>

#include "asiotypes.h"

namespace MangoCourse {

// Returns the response to one request. An exception becomes a response with status 500 and a JSON error.
using HttpHandler = std::function<net::awaitable<HttpResponse>(const HttpRequest &)>;

// Routes by method and path: a pattern that ends in '*' matches by prefix, the first matching route is used. Runs on the io_context it was created with.
class HttpServer
{
public:
    // Binds and listens; port 0 lets the system choose a port. Returns Unavailable if it cannot listen on the address.
    static Result<std::unique_ptr<HttpServer>> create(net::io_context &context, const Endpoint &endpoint);
    ~HttpServer();

    // Adds a route. With a non-empty token, requests without "Authorization: Bearer TOKEN" are answered with status 401.
    void route(http::verb method, std::string pattern, HttpHandler handler, std::string token = {});

    // Sets the handler for requests that match no route.
    void fallback(HttpHandler handler);

    // Starts accepting connections.
    void start();

    // Stops accepting connections. An open connection is closed after its current or next request, or at the idle timeout.
    void stop();

    // Continues to serve, and closes each connection after its next response ("Connection: close").
    void disableKeepAlive();

    // Returns the number of requests that have been read and not yet handled.
    std::size_t activeRequests() const;

    Endpoint endpoint() const;

    static constexpr std::size_t maxBodyBytes = 8 * 1024 * 1024;
    static constexpr std::size_t maxConnections = 2048;
    static constexpr std::chrono::seconds idleTimeout{60};

private:
    class Private;
    explicit HttpServer(std::shared_ptr<Private> impl);
    std::shared_ptr<Private> d;
};

// Builds the response of /healthz: alive, and the control bytes so far.
HttpResponse healthResponse();

// Builds a JSON response.
HttpResponse jsonResponse(http::status status, const std::string &body);

// Builds an error response: {"reason": ...}.
HttpResponse errorResponse(http::status status, std::string_view reason);

// Returns the value of a query parameter of the target, without percent-decoding, or the fallback.
std::string queryValue(std::string_view target, std::string_view name, std::string fallback = {});

// Returns the path part of the target.
std::string_view pathOf(std::string_view target);

}
