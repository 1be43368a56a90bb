// A few nodes that run the real coordination parts on a virtual clock over the fakes, and a judge of the promises.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <mangocourse/fleetstate.h>
#include <mangocourse/guarded.h>
#include <mangocourse/jobledger.h>
#include <mangocourse/leasewatch.h>
#include <mangocourse/maintenancerunner.h>
#include <mangocourse/streamfollower.h>

#include "fakes.h"

namespace MangoCourse {

// Names of the world's streams.
inline const std::string worldFleetStream = "fleet";
inline const std::string worldJobsStream = "jobs";

// What the world is built of.
struct WorldSpec {
    int instances = 12;
    int perRack = 2;
    int budget = 6;
    std::optional<int> margin;
    int spares = 4;
    int nodes = 3;
    std::size_t retention = 100'000;
    Offset snapshotEvery = 50;
};

// Counts that the judge keeps apart from the system.
struct Judgement {
    // Runs of each job, as the executors see them.
    std::map<JobId, int> runs;
    // Jobs whose callers were told "accepted".
    std::map<JobId, bool> acceptedIdempotent;
    std::vector<std::string> breaches;
};

// One process's life: it folds, proposes, acts and runs jobs; a restart forgets everything.
class Node
{
public:
    Node(ProcessId name, FakeLogService &log, InstanceStore &instances, const VirtualClock &clock, Judgement &judgement);

    // Reads and folds what is new.
    void read(const std::vector<std::unique_ptr<Node>> &nodes);

    // Proposes, acts and runs jobs on what was read.
    void act();

    // Submits a record as an operator or caller would through this node; it is repeated until its fate is known.
    RecordId submit(const std::string &stream, RecordBody body);

    // Returns the fold's verdict on a record submitted here.
    std::optional<RecordVerdict> verdictOf(const RecordId &id) const;

    const FleetState &fleet() const
    {
        return this->fleetCopy;
    }
    JobLedger ledgerCopy() const
    {
        return this->ledger.read([](const JobLedger &state) {
            return state;
        });
    }
    bool hasGap() const
    {
        return this->fleetStatus.hasGap;
    }
    bool isCaughtUp() const
    {
        return this->fleetStatus.isReachable && this->fleetStatus.caughtUp;
    }
    std::string fleetJson() const
    {
        return this->fleetState.read([](const FleetState &state) {
            return state.toJson();
        });
    }

    ProcessId name;
    FakeLog log;
    FakePlatform platform;
    bool isPaused = false;
    bool isCutFromPeers = false;
    bool proposes = true;
    Offset snapshotEvery = 50;

private:
    struct Unsettled {
        std::string stream;
        Record record;
        bool inDoubt = false;
    };
    struct RunningJob {
        Offset claim = 0;
        TimePoint leaseEnd{};
        TimePoint endsAt{};
        bool started = false;
    };

    void follow(const std::vector<std::unique_ptr<Node>> &nodes);
    void appendUnsettled();
    void maintain();
    void keepLedger();
    void runJobs();
    void writeSnapshots();
    void judgeRevision();

    const VirtualClock &clock;
    InstanceStore &instances;
    Judgement &judgement;
    Guarded<FleetState> fleetState;
    Guarded<JobLedger> ledger;
    FleetState fleetCopy;
    FollowerStatus fleetStatus;
    FollowerStatus ledgerStatus;
    StreamFollower<FleetState> fleetFollower;
    StreamFollower<JobLedger> ledgerFollower;
    MaintenanceRunner runner;
    LeaseWatch leases;
    std::vector<Unsettled> unsettled;
    std::map<JobId, RecordId> claims;
    std::map<JobId, TimePoint> claimAskedAt;
    std::map<JobId, RunningJob> running;
    Revision seenRevision = 0;
    int records = 0;
    int life = 0;

    static int lives;
};

class World
{
public:
    explicit World(const WorldSpec &spec);

    // Lets virtual time pass in steps of `tick`; every node that is not paused runs at each.
    void run(Duration time);

    // Adds a breach text for every promise that does not hold now.
    void judge();

    // Adds a breach for every accepted job that is not settled and every node that differs from another at the same offset.
    void judgeQuiet();

    // Ends every fault.
    void heal();

    // Replaces a node by a new process of the same name that knows nothing.
    void restart(std::size_t node);

    // Kills or recovers all instances of a rack.
    void failRack(int rack, bool down);

    // The number of instances whose drains, reboots or moves are under way in truth.
    int instancesInWork() const;

    const std::vector<std::string> &breaches() const
    {
        return this->judgement.breaches;
    }

    static constexpr Duration tick = std::chrono::milliseconds(100);

    WorldSpec spec;
    VirtualClock clock;
    FakeLogService log;
    FleetFile fleetFile;
    std::unique_ptr<InstanceStore> instances;
    Judgement judgement;
    std::vector<std::unique_ptr<Node>> nodes;

private:
    void publishFleet();
    void reportInstances();
};

// The pools of every world: "work" serves, "spare" lends instances.
inline const PoolId workPool{"work"};
inline const PoolId sparePool{"spare"};

}
