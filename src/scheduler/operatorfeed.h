// Follows the records that the operator publishes: configuration and maintenance waves.
#pragma once

#include <functional>
#include <map>
#include <memory>

#include "eventlog.h"
#include "platformadapter.h"
#include "streamreader.h"

namespace MangoCourse {

class OperatorFeed
{
public:
    struct Handlers {
        std::function<void(std::shared_ptr<const FleetConfig>)> onConfig;
        std::function<void(const MaintenanceWave &)> onWave;
        std::function<void(bool isReachable)> onStoreContact;
        // All records that were stored by this time, in boot time, have been handled.
        std::function<void(TimePoint)> onCurrent;
    };

    OperatorFeed(net::io_context &context, PlatformAdapter &platform, EventLog &log, Handlers handlers);

    // Follows the stream until stop().
    net::awaitable<void> run();
    void stop();

    std::shared_ptr<const FleetConfig> config() const;
    std::map<WaveId, MaintenanceWave> waves() const;

private:
    // Returns false if the record cannot be decoded.
    bool apply(const StoredRecord &record);

    net::io_context &context;
    PlatformAdapter &platform;
    EventLog &log;
    Handlers handlers;
    std::shared_ptr<const FleetConfig> currentConfig;
    std::map<WaveId, MaintenanceWave> knownWaves;
    // Records of each key that have not been decoded yet, the oldest first.
    std::map<std::string, std::vector<StoredRecord>> undecodedRecords;
    StreamReader reader;
    bool isStopped = false;
};

}
