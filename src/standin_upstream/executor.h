// One executor of the stand-in: slots, connections, run times, faults, and an orderly or abrupt end.
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

// What the platform wants of an instance.
enum class DesiredState {
    Live,
    Draining,
    Down,
};

class Executor : public std::enable_shared_from_this<Executor>
{
public:
    // Listens on a port of the system's choice.
    static Result<std::shared_ptr<Executor>> create(net::io_context &context, const InstanceEntrySpec &spec, const FleetFile &fleet, RunRecorder &book);

    // Obeys the platform; `leavingFor` is how long the list has shown it as leaving, negative where it has not.
    void setWanted(DesiredState state, std::chrono::milliseconds leavingFor);

    // Makes it answer 500 to everything at once, or stops that.
    void setFailing(bool failing);

    const InstanceId &id() const;
    const PoolId &pool() const;
    Endpoint endpoint() const;
    int inFlight() const;
    bool isUp() const;

    Executor(net::io_context &context, const InstanceEntrySpec &spec, const FleetFile &fleet, RunRecorder &book);

private:
    bool listen();
    net::awaitable<void> accept();
    net::awaitable<void> serve(std::shared_ptr<beast::tcp_stream> stream);
    std::optional<HttpResponse> refuse(const http::fields &header);
    void start(const http::fields &header, const ServiceSpec *service);
    net::awaitable<HttpResponse> run(const HttpRequest &request, const ServiceSpec *service);
    net::awaitable<bool> answerOne(beast::tcp_stream &stream, beast::flat_buffer &buffer);
    bool refusesNewWork() const;
    std::chrono::microseconds runTime(const ServiceSpec *service);
    void goDown();

    net::io_context &context;
    InstanceEntrySpec spec;
    const FleetFile &fleet;
    RunRecorder &book;
    tcp::acceptor acceptor;
    std::uint16_t port = 0;
    std::set<std::shared_ptr<beast::tcp_stream>> connections;
    std::mt19937_64 random;
    DesiredState wanted = DesiredState::Live;
    std::chrono::milliseconds leavingFor{-1};
    int running = 0;
    bool failing = false;
    bool up = false;
};

}
