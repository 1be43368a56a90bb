// A deterministic simulation: several nodes run the production coordination code on a virtual clock over in-memory fakes, and the invariants are
// checked after every step.
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

// Streams of the simulated log.
inline const std::string fleetStreamName = "fleet";
inline const std::string jobsStreamName = "jobs";

// Size and limits of a simulation. `budget` is the minimum of available instances of the pool "work"; `retention` and `snapshotEvery` count
// records.
struct SimulationSpec {
    int instances = 12;
    int perRack = 2;
    int budget = 6;
    std::optional<int> margin;
    int spares = 4;
    int nodes = 3;
    std::size_t retention = 100'000;
    Offset snapshotEvery = 50;
};

// What the invariant checks record independently of the code under test.
struct InvariantState {
    // Number of runs of each job, counted where the jobs run.
    std::map<JobId, int> runCounts;
    // Accepted jobs, each with whether it is idempotent.
    std::map<JobId, bool> isIdempotentByAcceptedJob;
    std::vector<std::string> violations;
};

// One incarnation of a process: it applies the streams' records, proposes records, runs maintenance actions and executes jobs. A restart loses
// all its state.
class Node
{
public:
    Node(ProcessId name, FakeLogService &log, InstanceStore &instances, const VirtualClock &clock, InvariantState &invariants);

    // Reads and applies the new records of both streams.
    void read(const std::vector<std::unique_ptr<Node>> &nodes);

    // Runs maintenance, releases expired claims, executes jobs, and appends the pending records, all on the state last read.
    void act();

    // Submits a record as an operator or a caller does through this node. After a timeout the append is retried until its outcome is known.
    RecordId submit(const std::string &stream, RecordBody body);

    // Returns the verdict on a submitted record, or std::nullopt while this node has not applied it.
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
    bool isDisconnectedFromPeers = false;
    bool isProposing = true;
    Offset snapshotEvery = 50;

private:
    struct PendingAppend {
        std::string stream;
        Record record;
        bool isOutcomeUnknown = false;
    };
    struct RunningJob {
        Offset claim = 0;
        TimePoint leaseEnd{};
        TimePoint endsAt{};
        bool hasStarted = false;
    };

    void followStreams(const std::vector<std::unique_ptr<Node>> &nodes);
    void appendPending();
    void runMaintenanceRound();
    void releaseExpiredClaims();
    void claimAndRunJobs();
    void writeSnapshots();
    void checkSettingsRevision();

    const VirtualClock &clock;
    InstanceStore &instances;
    InvariantState &invariants;
    Guarded<FleetState> fleetState;
    Guarded<JobLedger> ledger;
    FleetState fleetCopy;
    FollowerStatus fleetStatus;
    FollowerStatus ledgerStatus;
    StreamFollower<FleetState> fleetFollower;
    StreamFollower<JobLedger> ledgerFollower;
    MaintenanceRunner runner;
    LeaseWatch leases;
    std::vector<PendingAppend> pendingAppends;
    std::map<JobId, RecordId> claims;
    std::map<JobId, TimePoint> claimRequestedAt;
    std::map<JobId, RunningJob> running;
    Revision lastSeenRevision = 0;
    int submittedRecords = 0;
    int incarnation = 0;

    static int incarnationCount;
};

// Runs the nodes over a fake log and fake instances, injects faults and checks the invariants.
class Simulation
{
public:
    explicit Simulation(const SimulationSpec &spec);

    // Advances virtual time in steps of `tick`. Every node that is not paused runs at each step.
    void run(Duration time);

    // Records a violation for every invariant that does not hold now.
    void checkInvariants();

    // Records a violation for every accepted job that is not final or whose status contradicts its runs, and for every node whose fleet state differs
    // from that of the first node.
    void checkFinalInvariants();

    // Clears every fault except failed racks and delivers delayed actions.
    void clearFaults();

    // Replaces a node by a new process of the same name without state.
    void restart(std::size_t node);

    // Fails or recovers all instances of a rack.
    void failRack(int rack, bool isDown);

    // Returns the number of instances that are neither live nor down, by the state of the instances themselves and not by the fleet state.
    int countInstancesInTransition() const;

    const std::vector<std::string> &violations() const
    {
        return this->invariants.violations;
    }

    static constexpr Duration tick = std::chrono::milliseconds(100);

    SimulationSpec spec;
    VirtualClock clock;
    FakeLogService log;
    FleetFile fleetFile;
    std::unique_ptr<InstanceStore> instances;
    InvariantState invariants;
    std::vector<std::unique_ptr<Node>> nodes;

private:
    void publishFleet();
    void reportInstances();
};

// The pools of every simulation: "work" serves, "spare" lends instances.
inline const PoolId workPool{"work"};
inline const PoolId sparePool{"spare"};

}
