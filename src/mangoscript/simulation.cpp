// The simulated nodes and the invariant checks.
#include "simulation.h"

#include <algorithm>

namespace MangoCourse {

namespace {

using namespace std::chrono_literals;

constexpr Duration listingDelay = 500ms;
constexpr Duration rebootDuration = 2s;
constexpr std::chrono::milliseconds jobLeaseDuration = 3000ms;
constexpr Duration jobRunDuration = 700ms;
constexpr std::size_t maxConcurrentClaims = 2;

FleetFile buildFleet(const SimulationSpec &spec)
{
    FleetFile file;
    file.name = "world";
    file.dataCentres = {DataCentreId{"dc"}};
    ServiceSpec service;
    service.service = ServiceId{"orders"};
    service.idempotent = false;
    file.services.push_back(service);
    PoolSpec work;
    work.minAvailable = spec.budget;
    work.margin = spec.margin;
    work.services = {service.service};
    file.pools.push_back({workPool, work});
    file.pools.push_back({sparePool, PoolSpec{}});
    file.pools.back().spec.margin = 0;
    for (int number = 0; number < spec.instances + spec.spares; ++number) {
        const bool isSpare = number >= spec.instances;
        const int rack = number / std::max(1, spec.perRack);
        InstanceSpec instance{DataCentreId{"dc"}, RackId{"rack-" + std::to_string(rack)}, 4, 16};
        const std::string name = (isSpare ? "spare-" : "work-") + std::to_string(isSpare ? number - spec.instances : number);
        file.instances.push_back({InstanceId{name}, isSpare ? sparePool : workPool, instance});
    }
    return file;
}

}

int Node::incarnationCount = 0;

Node::Node(ProcessId name, FakeLogService &log, InstanceStore &instances, const VirtualClock &clock, InvariantState &invariants)
    : name(std::move(name))
    , log(log)
    , platform(instances, clock)
    , clock(clock)
    , instances(instances)
    , invariants(invariants)
    , fleetFollower(fleetStreamName, this->fleetState, this->fleetStatus,
          [](Offset, const std::string &) {
          })
    , ledgerFollower(jobsStreamName, this->ledger, this->ledgerStatus,
          [](Offset, const std::string &) {
          })
    , runner(std::move(*MaintenanceRunner::create(this->name)))
    , incarnation(++incarnationCount)
{
}

RecordId Node::submit(const std::string &stream, RecordBody body)
{
    const RecordId id{this->name.value + "-" + std::to_string(this->incarnation) + "-" + std::to_string(++this->submittedRecords)};
    this->pendingAppends.push_back({stream, Record{id, std::move(body)}, false});
    return id;
}

std::optional<RecordVerdict> Node::verdictOf(const RecordId &id) const
{
    const auto fleetVerdict = this->fleetState.read([&id](const FleetState &state) {
        return state.verdictOf(id);
    });
    if (fleetVerdict) {
        return fleetVerdict;
    }
    return this->ledger.read([&id](const JobLedger &state) {
        return state.verdictOf(id);
    });
}

// Follows the appender: a record that was certainly not appended is dropped; after a timeout the same record is appended again, since its id makes
// the append idempotent.
void Node::appendPending()
{
    std::vector<PendingAppend> remaining;
    for (PendingAppend &entry : this->pendingAppends) {
        const Result<Offset> appended = this->log.append(entry.stream, {encodeRecord(entry.record)});
        const bool hasTimedOut = !appended && appended.error().code == ErrorCode::Timeout;
        if (hasTimedOut || (!appended && entry.isOutcomeUnknown)) {
            entry.isOutcomeUnknown = true;
            remaining.push_back(std::move(entry));
        }
    }
    this->pendingAppends = std::move(remaining);
}

void Node::followStreams(const std::vector<std::unique_ptr<Node>> &nodes)
{
    const Result<void> fleetStep = this->fleetFollower.step(this->log, 0ms);
    (void)this->ledgerFollower.step(this->log, 0ms);
    if (!fleetStep && !this->isDisconnectedFromPeers) {
        for (const auto &peer : nodes) {
            if (peer.get() != this && !peer->isDisconnectedFromPeers && !peer->isPaused) {
                this->fleetFollower.replace(peer->fleet());
            }
        }
    }
    if (this->fleetFollower.offset() != this->fleetCopy.offset()) {
        this->fleetCopy = this->fleetState.read([](const FleetState &state) {
            return state;
        });
    }
    this->checkSettingsRevision();
}

void Node::checkSettingsRevision()
{
    const Revision revision = this->fleetCopy.settings().revision();
    if (revision < this->lastSeenRevision) {
        this->invariants.violations.push_back(this->name.value + ": settings revision decreased to " + std::to_string(revision));
    }
    this->lastSeenRevision = revision;
}

void Node::runMaintenanceRound()
{
    if (!this->isCaughtUp() || this->hasGap() || !this->isProposing) {
        return;
    }
    const InstanceListing listing = this->platform.isDisconnected ? InstanceListing{} : this->instances.listing();
    const MaintenanceRound round = this->runner.round(this->fleetState, listing, this->platform, this->clock.now());
    for (const RecordBody &body : round.proposals) {
        this->submit(fleetStreamName, body);
    }
}

void Node::releaseExpiredClaims()
{
    const auto claimed = this->ledger.read([](const JobLedger &state) {
        return state.claimed();
    });
    for (const ReleaseJob &release : this->leases.collectExpired(claimed, jobLeaseDuration, this->clock.now())) {
        this->submit(jobsStreamName, release);
    }
}

void Node::claimAndRunJobs()
{
    const TimePoint now = this->clock.now();
    const auto waiting = this->ledger.read([](const JobLedger &state) {
        return state.waiting(maxConcurrentClaims);
    });
    for (const JobId &job : waiting) {
        if (this->claims.size() < maxConcurrentClaims && !this->claims.contains(job)) {
            this->claimRequestedAt[job] = now;
            this->claims[job] = this->submit(jobsStreamName, ClaimJob{job, this->name});
        }
    }
    for (auto claim = this->claims.begin(); claim != this->claims.end();) {
        const std::optional<RecordVerdict> verdict = this->verdictOf(claim->second);
        if (!verdict) {
            const bool isLeaseExpired = now - this->claimRequestedAt[claim->first] > jobLeaseDuration;
            claim = isLeaseExpired ? this->claims.erase(claim) : std::next(claim);
            continue;
        }
        // The holder measures its lease from before it sent the claim.
        const TimePoint leaseEnd = this->claimRequestedAt[claim->first] + jobLeaseDuration;
        if (verdict->isAccepted() && now < leaseEnd) {
            this->running[claim->first] = RunningJob{verdict->offset, leaseEnd, now + jobRunDuration, false};
        }
        claim = this->claims.erase(claim);
    }
    for (auto entry = this->running.begin(); entry != this->running.end();) {
        RunningJob &run = entry->second;
        if (!run.hasStarted && now >= run.leaseEnd) {
            entry = this->running.erase(entry);
            continue;
        }
        if (!run.hasStarted) {
            run.hasStarted = true;
            ++this->invariants.runCounts[entry->first];
        }
        if (now >= run.endsAt) {
            this->submit(jobsStreamName, FinishJob{entry->first, run.claim, 200, "done"});
            entry = this->running.erase(entry);
            continue;
        }
        ++entry;
    }
}

void Node::writeSnapshots()
{
    if (this->fleetCopy.offset() - this->fleetStatus.snapshotOffset >= this->snapshotEvery
        && this->log.append(fleetStreamName + "-snapshots", {this->fleetJson()})) {
        this->fleetStatus.snapshotOffset = this->fleetCopy.offset();
    }
    const Offset ledgerOffset = this->ledgerFollower.offset();
    if (ledgerOffset - this->ledgerStatus.snapshotOffset >= this->snapshotEvery) {
        const std::string json = this->ledger.read([](const JobLedger &state) {
            return state.toJson();
        });
        if (this->log.append(jobsStreamName + "-snapshots", {json})) {
            this->ledgerStatus.snapshotOffset = ledgerOffset;
        }
    }
}

void Node::read(const std::vector<std::unique_ptr<Node>> &nodes)
{
    if (!this->isPaused) {
        this->followStreams(nodes);
    }
}

void Node::act()
{
    if (this->isPaused) {
        return;
    }
    this->runMaintenanceRound();
    this->releaseExpiredClaims();
    this->claimAndRunJobs();
    this->appendPending();
    this->writeSnapshots();
}

Simulation::Simulation(const SimulationSpec &initialSpec)
    : spec(initialSpec)
    , fleetFile(buildFleet(initialSpec))
{
    this->clock.advance(1s);
    this->log.store.retention = this->spec.retention;
    this->instances = std::make_unique<InstanceStore>(this->fleetFile, listingDelay, rebootDuration);
    this->publishFleet();
    for (int number = 0; number < this->spec.nodes; ++number) {
        const ProcessId name{"node-" + std::to_string(number)};
        this->nodes.push_back(std::make_unique<Node>(name, this->log, *this->instances, this->clock, this->invariants));
        this->nodes.back()->snapshotEvery = this->spec.snapshotEvery;
    }
    this->run(1s);
}

void Simulation::publishFleet()
{
    std::vector<std::string> payloads;
    for (const Record &record : buildFleetRecords(this->fleetFile)) {
        payloads.push_back(encodeRecord(record));
    }
    this->log.store.streams[fleetStreamName].append(payloads, this->log.store.retention);
}

void Simulation::reportInstances()
{
    for (const InstanceEntrySpec &entry : this->fleetFile.instances) {
        this->instances->report(entry.instance, entry.pool, Endpoint{"127.0.0.1", 1}, 0, true, this->clock.now());
    }
}

void Simulation::run(Duration time)
{
    const TimePoint until = this->clock.now() + time;
    while (this->clock.now() < until) {
        this->clock.advance(tick);
        this->reportInstances();
        this->instances->tick(this->clock.now());
        // All nodes read before any acts, so that each decides without seeing what the others decide in the same step.
        for (const auto &node : this->nodes) {
            node->read(this->nodes);
        }
        for (const auto &node : this->nodes) {
            node->act();
        }
        this->checkInvariants();
    }
}

void Simulation::checkInvariants()
{
    const Observations &counts = this->instances->counts();
    if (counts.ownBudgetBreaches > 0) {
        this->invariants.violations.push_back("a platform action breached the budget: " + counts.lastBreach);
    }
    for (const auto &[job, runCount] : this->invariants.runCounts) {
        const auto accepted = this->invariants.isIdempotentByAcceptedJob.find(job);
        const bool canRepeat = accepted != this->invariants.isIdempotentByAcceptedJob.end() && accepted->second;
        if (runCount > 1 && !canRepeat) {
            this->invariants.violations.push_back("job " + job.value + " ran " + std::to_string(runCount) + " times");
        }
    }
    for (const auto &node : this->nodes) {
        std::size_t members = 0;
        for (const auto &[id, pool] : node->fleet().pools()) {
            members += pool.members.size();
        }
        if (members != node->fleet().instances().size()) {
            this->invariants.violations.push_back(node->name.value + ": an instance is in no pool or in two");
        }
    }
}

void Simulation::checkFinalInvariants()
{
    const JobLedger ledger = this->nodes.front()->ledgerCopy();
    for (const auto &[job, idempotent] : this->invariants.isIdempotentByAcceptedJob) {
        const Job *known = ledger.job(job);
        if (known == nullptr || !isFinal(known->status)) {
            this->invariants.violations.push_back("accepted job " + job.value + " is not final");
        } else if (known->status == JobStatus::Finished && this->invariants.runCounts[job] == 0) {
            this->invariants.violations.push_back("job " + job.value + " is finished but never ran");
        } else if (known->status == JobStatus::Cancelled && this->invariants.runCounts[job] > 0) {
            this->invariants.violations.push_back("job " + job.value + " is cancelled but ran");
        }
    }
    for (const auto &node : this->nodes) {
        if (node->fleetJson() != this->nodes.front()->fleetJson()) {
            this->invariants.violations.push_back(node->name.value + " has a fleet state that differs from that of " + this->nodes.front()->name.value);
        }
    }
}

void Simulation::clearFaults()
{
    this->log.store.fault = LogFault::None;
    this->log.appendTimeoutsToInject = 0;
    for (const auto &node : this->nodes) {
        node->log.isDisconnected = false;
        node->platform.isDisconnected = false;
        node->platform.deliverDelayedActions();
        node->isPaused = false;
        node->isDisconnectedFromPeers = false;
    }
}

void Simulation::restart(std::size_t number)
{
    auto &node = this->nodes.at(number);
    const bool wasDisconnected = node->log.isDisconnected;
    node->platform.deliverDelayedActions();
    node = std::make_unique<Node>(node->name, this->log, *this->instances, this->clock, this->invariants);
    node->snapshotEvery = this->spec.snapshotEvery;
    node->log.isDisconnected = wasDisconnected;
    node->platform.isDisconnected = wasDisconnected;
}

void Simulation::failRack(int rack, bool isDown)
{
    const RackId failedRack{"rack-" + std::to_string(rack)};
    for (const InstanceEntrySpec &entry : this->fleetFile.instances) {
        if (entry.spec.rack == failedRack) {
            this->instances->fail(entry.instance, isDown, this->clock.now());
        }
    }
}

int Simulation::countInstancesInTransition() const
{
    return static_cast<int>(std::count_if(this->fleetFile.instances.begin(), this->fleetFile.instances.end(), [this](const InstanceEntrySpec &entry) {
        const ActualInstance *instance = this->instances->instance(entry.instance);
        return instance != nullptr && instance->now.state != InstanceState::Live && instance->now.state != InstanceState::Down;
    }));
}

}
