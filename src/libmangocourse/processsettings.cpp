// Validates the settings files of gates and keepers.
#include <mangocourse/processsettings.h>

#include <arpa/inet.h>

#include <charconv>
#include <fstream>
#include <sstream>

#include "textfile_pvt.h"
#include "tomlreader_pvt.h"

namespace MangoCourse {

namespace {

constexpr std::int64_t mebibyte = 1024 * 1024;
// Bytes of an invalid text that an error repeats.
constexpr std::size_t maxQuotedBytes = 100;

bool isIpNumber(const std::string &host)
{
    in6_addr address;
    const bool isNumber = inet_pton(AF_INET, host.c_str(), &address) == 1 || inet_pton(AF_INET6, host.c_str(), &address) == 1;
    return isNumber && host.find('\0') == std::string::npos;
}

Endpoint readEndpoint(TableReader &reader, std::string_view key)
{
    const Result<Endpoint> endpoint = parseEndpoint(reader.string(key));
    if (!endpoint) {
        reader.addError(key, endpoint.error().message);
        return {};
    }
    return *endpoint;
}

std::chrono::milliseconds readMilliseconds(TableReader &reader, std::string_view key, std::int64_t minimum, std::int64_t maximum, std::int64_t fallback)
{
    return std::chrono::milliseconds(reader.integer(key, minimum, maximum, fallback));
}

void readProcess(const toml::table &table, ConfigErrors &errors, ProcessSettings &settings)
{
    TableReader reader(table, "process.", errors);
    settings.name = ProcessId{reader.string("name")};
    settings.dataCentre = DataCentreId{reader.string("data_centre")};
    settings.logLevel = reader.string("log_level", "info");
    settings.fleetFile = reader.string("fleet_file", "");
    if (settings.logLevel != "debug" && settings.logLevel != "info" && settings.logLevel != "warn" && settings.logLevel != "err") {
        reader.addError("log_level", "found \"" + settings.logLevel + "\", allowed are debug, info, warn and err");
    }
}

void readServing(const toml::table &table, ConfigErrors &errors, ServingLimits &limits)
{
    TableReader reader(table, "serving.", errors);
    limits.threads = static_cast<int>(reader.integer("threads", 1, 64, 2));
    limits.maxConnections = static_cast<int>(reader.integer("connections", 1, 100'000, 4096));
    limits.maxBodyBytes = static_cast<std::size_t>(reader.integer("body_limit_bytes", 1024, 1024 * mebibyte, 16 * mebibyte));
    limits.bodyBufferBytes = static_cast<std::size_t>(reader.integer("buffer_bytes", 4096, mebibyte, 65536));
    limits.responseBufferBytes = static_cast<std::size_t>(reader.integer("answer_buffer_bytes", 4096, 16 * mebibyte, mebibyte));
    limits.headerTimeout = readMilliseconds(reader, "header_timeout_ms", 100, 600'000, 10'000);
    limits.shutdownDelay = readMilliseconds(reader, "stop_delay_ms", 0, 600'000, 200);
    limits.shutdownTimeout = readMilliseconds(reader, "stop_limit_ms", 100, 3'600'000, 30'000);
}

void readListen(const toml::table &table, ConfigErrors &errors, ProcessRole role, ProcessSettings &settings)
{
    TableReader reader(table, "listen.", errors);
    settings.admin = readEndpoint(reader, "admin");
    if (role == ProcessRole::Gate) {
        settings.callers = readEndpoint(reader, "callers");
    }
}

void readPeers(const toml::table &table, ConfigErrors &errors, ProcessSettings &settings)
{
    TableReader reader(table, "peers.", errors);
    for (const std::string &text : reader.strings("keepers", true)) {
        const Result<Endpoint> endpoint = parseEndpoint(text);
        if (endpoint) {
            settings.keepers.push_back(*endpoint);
        } else {
            reader.addError("keepers", endpoint.error().message);
        }
    }
}

void readAccess(const toml::table &table, ConfigErrors &errors, ProcessSettings &settings)
{
    TableReader reader(table, "access.", errors);
    settings.operatorToken = reader.string("operator_token");
    settings.peerToken = reader.string("peer_token");
    if (settings.operatorToken.empty() || settings.peerToken.empty()) {
        reader.addError("operator_token", "found an empty token, allowed are non-empty ones");
    }
}

void readPlatform(const toml::table &table, ConfigErrors &errors, ProcessSettings &settings)
{
    TableReader reader(table, "platform.", errors);
    settings.platform = readEndpoint(reader, "address");
    settings.appendInterval = readMilliseconds(reader, "append_interval_ms", 1, 60'000, 250);
}

}

std::string toString(const Endpoint &endpoint)
{
    return endpoint.host + ":" + std::to_string(endpoint.port);
}

Result<Endpoint> parseEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    std::uint16_t port = 0;
    const char *end = text.data() + text.size();
    const bool hasPort = colon != std::string_view::npos && colon > 0;
    const auto parsed = hasPort ? std::from_chars(text.data() + colon + 1, end, port) : std::from_chars_result{text.data(), std::errc::invalid_argument};
    const std::string host(text.substr(0, hasPort ? colon : 0));
    if (parsed.ec != std::errc{} || parsed.ptr != end || !isIpNumber(host)) {
        const std::string found = std::string(text.substr(0, maxQuotedBytes)) + (text.size() > maxQuotedBytes ? "..." : "");
        return makeError(ErrorCode::InvalidArgument, "found \"" + found + "\", allowed is an IP number, a colon and a port");
    }
    return Endpoint{host, port};
}

Result<ProcessSettings> parseProcessSettings(std::string_view text, const std::string &name, ProcessRole role)
{
    const Result<toml::table> root = parseToml(text, name);
    if (!root) {
        return tl::unexpected(root.error());
    }
    ConfigErrors errors(name);
    ProcessSettings settings;
    {
        static const toml::table empty;
        TableReader reader(*root, "", errors);
        const auto section = [&reader](std::string_view key) -> const toml::table & {
            const toml::table *table = reader.table(key, true);
            return table == nullptr ? empty : *table;
        };
        readProcess(section("process"), errors, settings);
        readListen(section("listen"), errors, role, settings);
        readPlatform(section("platform"), errors, settings);
        readPeers(section("peers"), errors, settings);
        readAccess(section("access"), errors, settings);
        if (role == ProcessRole::Gate) {
            const toml::table *serving = reader.table("serving", false);
            readServing(serving == nullptr ? empty : *serving, errors, settings.serving);
        }
    }
    if (const Result<void> checked = errors.result(); !checked) {
        return tl::unexpected(checked.error());
    }
    return settings;
}

Result<ProcessSettings> readProcessSettings(const std::string &path, ProcessRole role)
{
    const Result<std::string> text = readTextFile(path);
    if (!text) {
        return tl::unexpected(text.error());
    }
    return parseProcessSettings(*text, path, role);
}

}
