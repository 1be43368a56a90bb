// In-memory fakes of the log and the platform, which the coordination code uses through its interfaces.
#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <mangocourse/log.h>
#include <mangocourse/maintenanceplanner.h>

#include "instancestore.h"
#include "logstore.h"

namespace MangoCourse {

// The log shared by all nodes of a simulation, with its injected faults.
struct FakeLogService {
    LogStore store;
    // Number of next appends that take effect but return a timeout.
    int appendTimeoutsToInject = 0;
};

// One node's connection to the log. Satisfies Log.
class FakeLog
{
public:
    explicit FakeLog(FakeLogService &service)
        : service(service)
    {
    }

    // Set while the node has no connection to the platform.
    bool isDisconnected = false;

    Result<Offset> append(const std::string &stream, const std::vector<std::string> &payloads);
    Result<LogBatch> read(const std::string &stream, Offset after, int limit, std::chrono::milliseconds wait);
    Result<LogBatch> readNewest(const std::string &stream);

private:
    bool isDown() const
    {
        return this->isDisconnected || this->service.store.fault == LogFault::Down;
    }

    FakeLogService &service;
};

static_assert(Log<FakeLog>);

// One node's connection to the platform's instances. Satisfies Platform.
class FakePlatform
{
public:
    FakePlatform(InstanceStore &store, const VirtualClock &clock)
        : store(store)
        , clock(clock)
    {
    }

    bool isDisconnected = false;

    // While set, actions return a timeout and take effect only at deliverDelayedActions(), as when the node is paused or the network delays them.
    bool delaysActions = false;

    Result<void> drain(const InstanceId &instance, Offset token);
    Result<void> undrain(const InstanceId &instance, Offset token);
    Result<void> reboot(const InstanceId &instance, Offset token);
    Result<void> relabel(const InstanceId &instance, Offset token, const PoolId &pool);

    // Delivers the delayed actions in order and ends the delay.
    void deliverDelayedActions();

private:
    Result<void> send(const PlatformAction &action);
    RefusalReason execute(const PlatformAction &action);

    InstanceStore &store;
    const VirtualClock &clock;
    std::vector<PlatformAction> delayedActions;
};

static_assert(Platform<FakePlatform>);

}
