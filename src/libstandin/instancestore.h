// The stand-in's instances: the truth, the lagging list, and an observer's counts of what the promises forbid.
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

// One instance as it really is.
struct ActualInstance {
    ListedInstance now;
    Endpoint endpoint;
    int inFlight = 0;
    bool up = true;
    TimePoint downSince{};
};

// What the list says, a fixed lag behind the truth.
struct ListedLine {
    ListedInstance listed;
    Endpoint endpoint;
    std::int64_t version = 0;
    TimePoint leavingSince{};
};

// Counts kept by the observer.
struct Observations {
    std::int64_t budgetBreaches = 0;
    std::int64_t ownBudgetBreaches = 0;
    std::int64_t maintained = 0;
    std::int64_t moves = 0;
    std::int64_t refusedActions = 0;
    std::int64_t killedInFlight = 0;
    TimePoint firstDrain{};
    TimePoint lastReturn{};
    std::string lastBreach;
};

// Why an act was refused; empty means accepted.
using RefusalReason = std::string;

class InstanceStore
{
public:
    // Budgets for the observer come from the fleet file; an empty one observes nothing.
    InstanceStore(const FleetFile &fleet, Duration listLag, Duration rebootTime);

    // The executors' host reports one instance and gets back what the platform wants of it: "live", "draining" or "down".
    std::string report(const InstanceId &instance, const PoolId &pool, const Endpoint &endpoint, int inFlight, bool up, TimePoint now);

    RefusalReason drain(const InstanceId &instance, Offset token, TimePoint now);
    RefusalReason undrain(const InstanceId &instance, Offset token, TimePoint now);
    RefusalReason reboot(const InstanceId &instance, Offset token, TimePoint now);
    RefusalReason relabel(const InstanceId &instance, Offset token, const PoolId &pool, TimePoint now);

    // Faults: an instance that dies, and its return.
    RefusalReason fail(const InstanceId &instance, bool down, TimePoint now);

    // Lets time pass: reboots end, the list catches up, the observer looks. Returns true where the list changed.
    bool tick(TimePoint now);

    std::int64_t version() const;
    InstanceListing listing() const;
    const Observations &counts() const;

    // The true state, for judges.
    const ActualInstance *instance(const InstanceId &id) const;
    nlohmann::json listingSince(std::int64_t version) const;

    // Time since the list began to say that the instance leaves, or -1 ms where it does not.
    std::chrono::milliseconds timeListedAsLeaving(const InstanceId &instance, TimePoint now) const;

    nlohmann::json observations() const;

private:
    struct Pending {
        TimePoint at{};
        InstanceId instance;
    };

    RefusalReason checkToken(const InstanceId &instance, Offset token);
    void changed(const InstanceId &instance, TimePoint now);
    bool publishDue(TimePoint now);
    void observe();

    std::map<InstanceId, ActualInstance> instances;
    std::map<InstanceId, ListedLine> list;
    std::map<PoolId, int> budgets;
    std::map<PoolId, bool> inBreach;
    std::deque<Pending> pending;
    Duration listLag;
    Duration rebootTime;
    std::int64_t listVersion = 0;
    std::size_t expectedInstances = 0;
    Observations observed;
};

}
