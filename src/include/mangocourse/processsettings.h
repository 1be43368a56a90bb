// The TOML settings file of a gate or a keeper: its name, data centre, addresses and limits.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include <mangocourse/error.h>
#include <mangocourse/ids.h>

namespace MangoCourse {

// An IP address and a port. For a listener, port 0 lets the operating system choose one.
struct Endpoint {
    std::string host;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint &) const = default; // NOLINT(modernize-use-nullptr)
};

// Returns "host:port".
std::string toString(const Endpoint &endpoint);

// Parses "host:port", or returns InvalidArgument.
Result<Endpoint> parseEndpoint(std::string_view text);

// Limits of a gate towards its callers. `maxBodyBytes` limits a request's body. Bodies of idempotent requests above `bodyBufferBytes` are
// relayed to the upstream in pieces of that size; other bodies are held in memory. `responseBufferBytes` limits a response.
// `shutdownDelay` is the time from the end of readiness to the end of accepting, and the limit for callers' connections to close;
// `shutdownTimeout` limits the wait for requests and jobs in flight.
struct ServingLimits {
    int threads = 2;
    int maxConnections = 4096;
    std::size_t maxBodyBytes = 0;
    std::size_t bodyBufferBytes = 0;
    std::size_t responseBufferBytes = 0;
    std::chrono::milliseconds headerTimeout{};
    std::chrono::milliseconds shutdownDelay{};
    std::chrono::milliseconds shutdownTimeout{};
};

// Settings that a gate or a keeper reads at its start. `callers` and `admin` are listening addresses; `callers` and `serving` are a gate's.
// `appendInterval` is the time between a keeper's appends to the log.
struct ProcessSettings {
    ProcessId name;
    DataCentreId dataCentre;
    std::string logLevel;
    Endpoint callers;
    Endpoint admin;
    Endpoint platform;
    std::vector<Endpoint> keepers;
    std::string operatorToken;
    std::string peerToken;
    std::string fleetFile;
    ServingLimits serving;
    std::chrono::milliseconds appendInterval{};
};

// The kind of process, which decides the required and the allowed keys.
enum class ProcessRole {
    Gate,
    Keeper,
};

// Reads and validates the file. All errors are returned as one InvalidConfig error, one a line.
Result<ProcessSettings> readProcessSettings(const std::string &path, ProcessRole role);

// Parses and validates text; `name` is the file name in messages.
Result<ProcessSettings> parseProcessSettings(std::string_view text, const std::string &name, ProcessRole role);

}
