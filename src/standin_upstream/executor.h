// A stand-in executor: an HTTP server with limited slots and connections, random run times, injected failures, draining and abrupt shutdown.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>

#include <mangocourse/fleetfile.h>
#include <mangocourse/processsettings.h>

#include "asiotypes.h"
#include "runrecorder.h"

namespace MangoCourse {

// The state that the platform requests for an instance.
enum class DesiredState {
    Live,
    Draining,
    Down,
};

class Executor : public std::enable_shared_from_this<Executor>
{
public:
    // Creates an executor that listens on an ephemeral loopback port; returns an error if it cannot listen.
    static Result<std::shared_ptr<Executor>> create(net::io_context &context, const InstanceEntrySpec &spec, const FleetFile &fleet, RunRecorder &recorder);

    // Applies the state requested by the platform. `leavingFor` is the time since the instance list first showed this instance as leaving, negative
    // if it does not.
    void setDesiredState(DesiredState state, std::chrono::milliseconds leavingFor);

    // While set, the executor answers every accepted request with status 500 at once.
    void setFailing(bool failing);

    const InstanceId &id() const;
    const PoolId &pool() const;
    Endpoint endpoint() const;
    int inFlight() const;
    bool isUp() const;

    Executor(net::io_context &context, const InstanceEntrySpec &spec, const FleetFile &fleet, RunRecorder &recorder);

private:
    bool listen();
    net::awaitable<void> acceptConnections();
    net::awaitable<void> serveConnection(std::shared_ptr<beast::tcp_stream> stream);
    std::optional<HttpResponse> refuseIfUnavailable(const http::fields &header);
    void beginRun(const http::fields &header, const ServiceSpec *service);
    net::awaitable<HttpResponse> run(const HttpRequest &request, const ServiceSpec *service);
    net::awaitable<bool> serveRequest(beast::tcp_stream &stream, beast::flat_buffer &buffer);
    bool refusesNewWork() const;
    std::chrono::microseconds sampleRunTime(const ServiceSpec *service);
    void shutDown();

    net::io_context &context;
    InstanceEntrySpec spec;
    const FleetFile &fleet;
    RunRecorder &recorder;
    tcp::acceptor acceptor;
    std::uint16_t port = 0;
    std::set<std::shared_ptr<beast::tcp_stream>> connections;
    std::mt19937_64 random;
    DesiredState desiredState = DesiredState::Live;
    std::chrono::milliseconds leavingFor{-1};
    int running = 0;
    bool failing = false;
    bool up = false;
};

}
