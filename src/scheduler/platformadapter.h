// Everything that the scheduler gets from the platform it runs on.
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

// The side that callers connect to.
class CallerFrontend
{
public:
    virtual ~CallerFrontend() = default;
    virtual void start() = 0;
    // Asks callers to close their connections with each further answer.
    virtual void disableKeepAlive() = 0;
    virtual std::size_t activeRequests() const = 0;
    virtual void stop() = 0;
};

// A record that the operator published; std::monostate where it is of no interest.
using OperatorRecord = std::variant<std::monostate, FleetConfig, MaintenanceWave>;

class PlatformAdapter
{
public:
    virtual ~PlatformAdapter() = default;
    virtual const NodeSettings &settings() const = 0;
    virtual RecordStore &store() = 0;
    virtual ExecutorPort &executors() = 0;
    // nullptr where the installation has none.
    virtual MachinePort *machines() = 0;
    virtual PolicyPort *policy() = 0;
    virtual Result<std::unique_ptr<CallerFrontend>> openCallerFrontend(CallerService &service) = 0;

    virtual Result<OperatorRecord> decodeOperatorRecord(const std::string &key, const std::string &value) const = 0;
    virtual Result<ExecutorInfo> decodeExecutor(const std::string &id, const std::string &report) const = 0;
    // The record that tells the operator how far a wave is.
    virtual StoredRecord encodeWaveStatus(const WaveId &wave, bool isCompleted) const = 0;
};

// Reads the settings and connects to nothing yet. Errors name the field.
Result<std::unique_ptr<PlatformAdapter>> openPlatform(net::io_context &context, Metrics &metrics);

// Reads the settings again; the process keeps its own where they cannot be read.
Result<NodeSettings> readNodeSettings();

}
