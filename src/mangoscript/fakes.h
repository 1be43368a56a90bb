// Small fakes at the interfaces of the coordination parts: a log, and a way to the stand-in's instances.
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

// The log shared by all nodes of a world, with its faults.
struct FakeLogService {
    LogStore store;
    // Appends whose answers are lost after they took effect, from now on.
    int answersToLose = 0;
};

// One node's connection to the log. Satisfies Log.
class FakeLog
{
public:
    explicit FakeLog(FakeLogService &service)
        : service(service)
    {
    }

    // Set while the node is cut off from the platform.
    bool isCut = false;

    Result<Offset> append(const std::string &stream, const std::vector<std::string> &payloads);
    Result<LogBatch> read(const std::string &stream, Offset after, int limit, std::chrono::milliseconds wait);
    Result<LogBatch> readNewest(const std::string &stream);

private:
    bool isDown() const
    {
        return this->isCut || this->service.store.fault == LogFault::Down;
    }

    FakeLogService &service;
};

static_assert(Log<FakeLog>);

// One node's connection to the instances. Satisfies Platform.
class FakePlatform
{
public:
    FakePlatform(InstanceStore &store, const VirtualClock &clock)
        : store(store)
        , clock(clock)
    {
    }

    bool isCut = false;

    // While set, acts leave the node but arrive only at release(): the node was paused, or the network held them.
    bool holdsActs = false;

    Result<void> drain(const InstanceId &instance, Offset token);
    Result<void> undrain(const InstanceId &instance, Offset token);
    Result<void> reboot(const InstanceId &instance, Offset token);
    Result<void> relabel(const InstanceId &instance, Offset token, const PoolId &pool);

    // Lets the held acts arrive, late.
    void release();

private:
    Result<void> act(const PlatformAction &act);
    RefusalReason arrive(const PlatformAction &act);

    InstanceStore &store;
    const VirtualClock &clock;
    std::vector<PlatformAction> held;
};

static_assert(Platform<FakePlatform>);

}
