// One process's own settings in TOML: its name, data centre and addresses.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include <mangocourse/error.h>
#include <mangocourse/ids.h>

namespace MangoCourse {

// An IP number and a port. Port 0 lets the system choose where it is listened on.
struct Endpoint {
    std::string host;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint &) const = default; // NOLINT(modernize-use-nullptr)
};

// Returns "host:port".
std::string toString(const Endpoint &endpoint);

// Returns the endpoint of "host:port", or InvalidArgument.
Result<Endpoint> parseEndpoint(std::string_view text);

// Limits on what a caller may make a gate hold.
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

// Everything a gate or a keeper reads at its start. Keepers leave `callers` empty.
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

// Which keys a settings file must and may have.
enum class ProcessRole {
    Gate,
    Keeper,
};

// Reads and validates the file; all faults come in one InvalidConfig error, a line each.
Result<ProcessSettings> readProcessSettings(const std::string &path, ProcessRole role);

// The same from text; `name` stands for the file in messages.
Result<ProcessSettings> parseProcessSettings(std::string_view text, const std::string &name, ProcessRole role);

}
