// Access to the platform that the scheduler runs on.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "callerrequest.h"
#include "metrics.h"
#include "nodesettings.h"
#include "ports.h"

namespace MangoCourse {

// Server that accepts callers' connections.
class CallerFrontend
{
public:
    virtual ~CallerFrontend() = default;
    virtual void start() = 0;
    // Continues to serve requests, but asks callers with each response to close the connection.
    virtual void disableKeepAlive() = 0;
    virtual std::size_t activeRequests() const = 0;
    virtual void stop() = 0;
};

// A decoded record of the operator; std::monostate if the scheduler does not use records of this kind.
using OperatorRecord = std::variant<std::monostate, FleetConfig, MaintenanceWave>;

class PlatformAdapter
{
public:
    virtual ~PlatformAdapter() = default;
    virtual const NodeSettings &settings() const = 0;
    virtual RecordStore &store() = 0;
    virtual ExecutorPort &executors() = 0;
    // Return nullptr if the installation does not provide the service.
    virtual MachinePort *machines() = 0;
    virtual PolicyPort *policy() = 0;
    virtual Result<std::unique_ptr<CallerFrontend>> openCallerFrontend(CallerService &service) = 0;

    virtual Result<OperatorRecord> decodeOperatorRecord(const std::string &key, const std::string &value) const = 0;
    virtual Result<ExecutorInfo> decodeExecutor(const std::string &id, const std::string &report) const = 0;
    // Encodes the record that reports the state of a maintenance wave to the operator.
    virtual StoredRecord encodeWaveStatus(const WaveId &wave, bool isCompleted) const = 0;
};

// Reads the settings without connecting to anything. Errors name the invalid field.
Result<std::unique_ptr<PlatformAdapter>> openPlatform(net::io_context &context, Metrics &metrics);

// Reads the settings again. The process keeps its current settings if this fails.
Result<NodeSettings> readNodeSettings();

}
