// Instances of the stand-in platform: their actual state, the published list that lags behind it, and counts of budget breaches and other
// violations.
#pragma once

#include <chrono>
#include <deque>
#include <map>
#include <string>

#include <nlohmann/json.hpp>

#include <mangocourse/clock.h>
#include <mangocourse/fleetfile.h>
#include <mangocourse/platform.h>
#include <mangocourse/processsettings.h>

namespace MangoCourse {

// Actual state of an instance.
struct ActualInstance {
    ListedInstance now;
    Endpoint endpoint;
    int inFlight = 0;
    bool up = true;
    TimePoint rebootStarted{};
};

// State of an instance in the published list, which lags behind the actual state by a fixed time.
struct PublishedInstance {
    ListedInstance listed;
    Endpoint endpoint;
    std::int64_t version = 0;
    TimePoint leavingSince{};
};

// What the platform has observed since its start.
struct Observations {
    std::int64_t budgetBreaches = 0;
    std::int64_t ownBudgetBreaches = 0;
    std::int64_t maintained = 0;
    std::int64_t moves = 0;
    std::int64_t refusedActions = 0;
    std::int64_t killedInFlight = 0;
    TimePoint firstDrain{};
    TimePoint lastRebootFinished{};
    std::string lastBreach;
};

// Reason why an action was refused; empty if it was accepted.
using RefusalReason = std::string;

class InstanceStore
{
public:
    // Takes the pool budgets to check from the fleet file; with an empty fleet file no budget is checked.
    InstanceStore(const FleetFile &fleet, Duration listLag, Duration rebootTime);

    // Records the report of an instance and returns its desired state: "live", "draining" or "down".
    std::string report(const InstanceId &instance, const PoolId &pool, const Endpoint &endpoint, int inFlight, bool up, TimePoint now);

    RefusalReason drain(const InstanceId &instance, Offset token, TimePoint now);
    RefusalReason undrain(const InstanceId &instance, Offset token, TimePoint now);
    RefusalReason reboot(const InstanceId &instance, Offset token, TimePoint now);
    RefusalReason relabel(const InstanceId &instance, Offset token, const PoolId &pool, TimePoint now);

    // Fault injection: takes the instance down, or brings it back if down is false.
    RefusalReason fail(const InstanceId &instance, bool down, TimePoint now);

    // Finishes due reboots, checks the budgets and publishes due updates. Returns true if the published list changed.
    bool tick(TimePoint now);

    std::int64_t version() const;
    InstanceListing listing() const;
    const Observations &counts() const;

    // Returns the actual state of an instance, or null if it is unknown.
    const ActualInstance *instance(const InstanceId &id) const;
    nlohmann::json listingSince(std::int64_t version) const;

    // Returns the time since the published list first showed the instance as not live, or -1 ms if it shows it as live.
    std::chrono::milliseconds timeListedAsLeaving(const InstanceId &instance, TimePoint now) const;

    nlohmann::json observations() const;

private:
    struct PendingUpdate {
        TimePoint publishAt{};
        InstanceId instance;
    };

    RefusalReason checkToken(const InstanceId &instance, Offset token);
    void scheduleUpdate(const InstanceId &instance, TimePoint now);
    bool publishDueUpdates(TimePoint now);
    void checkBudgets();

    std::map<InstanceId, ActualInstance> instances;
    std::map<InstanceId, PublishedInstance> publishedList;
    std::map<PoolId, int> budgets;
    std::map<PoolId, bool> wasBreached;
    std::deque<PendingUpdate> pendingUpdates;
    Duration listLag;
    Duration rebootTime;
    std::int64_t listVersion = 0;
    std::size_t expectedInstances = 0;
    Observations observed;
};

}
