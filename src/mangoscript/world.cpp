// Nodes and the judge.
#include "world.h"

#include <algorithm>

namespace MangoCourse {

namespace {

using namespace std::chrono_literals;

constexpr Duration listLag = 500ms;
constexpr Duration rebootTime = 2s;
constexpr std::chrono::milliseconds jobLease = 3000ms;
constexpr Duration jobRunTime = 700ms;
constexpr std::size_t claimsAtOnce = 2;

FleetFile buildFleet(const WorldSpec &spec)
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

int Node::lives = 0;

Node::Node(ProcessId name, FakeLogService &log, InstanceStore &instances, const VirtualClock &clock, Judgement &judgement)
    : name(std::move(name))
    , log(log)
    , platform(instances, clock)
    , clock(clock)
    , instances(instances)
    , judgement(judgement)
    , fleetFollower(worldFleetStream, this->fleetState, this->fleetStatus,
          [](Offset, const std::string &) {
          })
    , ledgerFollower(worldJobsStream, this->ledger, this->ledgerStatus,
          [](Offset, const std::string &) {
          })
    , runner(std::move(*MaintenanceRunner::create(this->name)))
    , life(++lives)
{
}

RecordId Node::submit(const std::string &stream, RecordBody body)
{
    const RecordId id{this->name.value + "-" + std::to_string(this->life) + "-" + std::to_string(++this->records)};
    this->unsettled.push_back({stream, Record{id, std::move(body)}, false});
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

// The appender's rule: refused for sure is dropped, a lost answer is settled by the same record again.
void Node::appendUnsettled()
{
    std::vector<Unsettled> still;
    for (Unsettled &entry : this->unsettled) {
        const Result<Offset> appended = this->log.append(entry.stream, {encodeRecord(entry.record)});
        const bool leavesDoubt = !appended && appended.error().code == ErrorCode::Timeout;
        if (leavesDoubt || (!appended && entry.inDoubt)) {
            entry.inDoubt = true;
            still.push_back(std::move(entry));
        }
    }
    this->unsettled = std::move(still);
}

void Node::follow(const std::vector<std::unique_ptr<Node>> &nodes)
{
    const Result<void> fleetStep = this->fleetFollower.step(this->log, 0ms);
    (void)this->ledgerFollower.step(this->log, 0ms);
    if (!fleetStep && !this->isCutFromPeers) {
        for (const auto &peer : nodes) {
            if (peer.get() != this && !peer->isCutFromPeers && !peer->isPaused) {
                this->fleetFollower.replace(peer->fleet());
            }
        }
    }
    if (this->fleetFollower.offset() != this->fleetCopy.offset()) {
        this->fleetCopy = this->fleetState.read([](const FleetState &state) {
            return state;
        });
    }
    this->judgeRevision();
}

void Node::judgeRevision()
{
    const Revision revision = this->fleetCopy.settings().revision();
    if (revision < this->seenRevision) {
        this->judgement.breaches.push_back(this->name.value + " went back to settings revision " + std::to_string(revision));
    }
    this->seenRevision = revision;
}

void Node::maintain()
{
    if (!this->isCaughtUp() || this->hasGap() || !this->proposes) {
        return;
    }
    const InstanceListing listing = this->platform.isCut ? InstanceListing{} : this->instances.listing();
    const MaintenanceRound round = this->runner.round(this->fleetState, listing, this->platform, this->clock.now());
    for (const RecordBody &body : round.proposals) {
        this->submit(worldFleetStream, body);
    }
}

void Node::keepLedger()
{
    const auto claimed = this->ledger.read([](const JobLedger &state) {
        return state.claimed();
    });
    for (const ReleaseJob &release : this->leases.collectExpired(claimed, jobLease, this->clock.now())) {
        this->submit(worldJobsStream, release);
    }
}

void Node::runJobs()
{
    const TimePoint now = this->clock.now();
    const auto waiting = this->ledger.read([](const JobLedger &state) {
        return state.waiting(claimsAtOnce);
    });
    for (const JobId &job : waiting) {
        if (this->claims.size() < claimsAtOnce && !this->claims.contains(job)) {
            this->claimAskedAt[job] = now;
            this->claims[job] = this->submit(worldJobsStream, ClaimJob{job, this->name});
        }
    }
    for (auto claim = this->claims.begin(); claim != this->claims.end();) {
        const std::optional<RecordVerdict> verdict = this->verdictOf(claim->second);
        if (!verdict) {
            const bool isGivenUp = now - this->claimAskedAt[claim->first] > jobLease;
            claim = isGivenUp ? this->claims.erase(claim) : std::next(claim);
            continue;
        }
        // The holder's lease counts from before it asked.
        const TimePoint leaseEnd = this->claimAskedAt[claim->first] + jobLease;
        if (verdict->isAccepted() && now < leaseEnd) {
            this->running[claim->first] = RunningJob{verdict->offset, leaseEnd, now + jobRunTime, false};
        }
        claim = this->claims.erase(claim);
    }
    for (auto entry = this->running.begin(); entry != this->running.end();) {
        RunningJob &run = entry->second;
        if (!run.started && now >= run.leaseEnd) {
            entry = this->running.erase(entry);
            continue;
        }
        if (!run.started) {
            run.started = true;
            ++this->judgement.runs[entry->first];
        }
        if (now >= run.endsAt) {
            this->submit(worldJobsStream, FinishJob{entry->first, run.claim, 200, "done"});
            entry = this->running.erase(entry);
            continue;
        }
        ++entry;
    }
}

void Node::writeSnapshots()
{
    if (this->fleetCopy.offset() - this->fleetStatus.snapshotOffset >= this->snapshotEvery
        && this->log.append(worldFleetStream + "-snapshots", {this->fleetJson()})) {
        this->fleetStatus.snapshotOffset = this->fleetCopy.offset();
    }
    const Offset ledgerOffset = this->ledgerFollower.offset();
    if (ledgerOffset - this->ledgerStatus.snapshotOffset >= this->snapshotEvery) {
        const std::string json = this->ledger.read([](const JobLedger &state) {
            return state.toJson();
        });
        if (this->log.append(worldJobsStream + "-snapshots", {json})) {
            this->ledgerStatus.snapshotOffset = ledgerOffset;
        }
    }
}

void Node::read(const std::vector<std::unique_ptr<Node>> &nodes)
{
    if (!this->isPaused) {
        this->follow(nodes);
    }
}

void Node::act()
{
    if (this->isPaused) {
        return;
    }
    this->maintain();
    this->keepLedger();
    this->runJobs();
    this->appendUnsettled();
    this->writeSnapshots();
}

World::World(const WorldSpec &given)
    : spec(given)
    , fleetFile(buildFleet(given))
{
    this->clock.advance(1s);
    this->log.store.retention = this->spec.retention;
    this->instances = std::make_unique<InstanceStore>(this->fleetFile, listLag, rebootTime);
    this->publishFleet();
    for (int number = 0; number < this->spec.nodes; ++number) {
        const ProcessId name{"node-" + std::to_string(number)};
        this->nodes.push_back(std::make_unique<Node>(name, this->log, *this->instances, this->clock, this->judgement));
        this->nodes.back()->snapshotEvery = this->spec.snapshotEvery;
    }
    this->run(1s);
}

void World::publishFleet()
{
    std::vector<std::string> payloads;
    for (const Record &record : buildFleetRecords(this->fleetFile)) {
        payloads.push_back(encodeRecord(record));
    }
    this->log.store.streams[worldFleetStream].append(payloads, this->log.store.retention);
}

void World::reportInstances()
{
    for (const InstanceEntrySpec &entry : this->fleetFile.instances) {
        this->instances->report(entry.instance, entry.pool, Endpoint{"127.0.0.1", 1}, 0, true, this->clock.now());
    }
}

void World::run(Duration time)
{
    const TimePoint until = this->clock.now() + time;
    while (this->clock.now() < until) {
        this->clock.advance(tick);
        this->reportInstances();
        this->instances->tick(this->clock.now());
        // All read before any acts: each decides without knowing what the others decide at the same moment.
        for (const auto &node : this->nodes) {
            node->read(this->nodes);
        }
        for (const auto &node : this->nodes) {
            node->act();
        }
        this->judge();
    }
}

void World::judge()
{
    const Observations &counts = this->instances->counts();
    if (counts.ownBudgetBreaches > 0) {
        this->judgement.breaches.push_back("budget breached by an act of ours: " + counts.lastBreach);
    }
    for (const auto &[job, runs] : this->judgement.runs) {
        const auto accepted = this->judgement.acceptedIdempotent.find(job);
        const bool mayRepeat = accepted != this->judgement.acceptedIdempotent.end() && accepted->second;
        if (runs > 1 && !mayRepeat) {
            this->judgement.breaches.push_back("job " + job.value + " ran " + std::to_string(runs) + " times");
        }
    }
    for (const auto &node : this->nodes) {
        std::size_t members = 0;
        for (const auto &[id, pool] : node->fleet().pools()) {
            members += pool.members.size();
        }
        if (members != node->fleet().instances().size()) {
            this->judgement.breaches.push_back(node->name.value + " has an instance in no pool or in two");
        }
    }
}

void World::judgeQuiet()
{
    const JobLedger ledger = this->nodes.front()->ledgerCopy();
    for (const auto &[job, idempotent] : this->judgement.acceptedIdempotent) {
        const Job *known = ledger.job(job);
        if (known == nullptr || !isFinal(known->status)) {
            this->judgement.breaches.push_back("accepted job " + job.value + " is not settled");
        } else if (known->status == JobStatus::Finished && this->judgement.runs[job] == 0) {
            this->judgement.breaches.push_back("job " + job.value + " finished and never ran");
        } else if (known->status == JobStatus::Cancelled && this->judgement.runs[job] > 0) {
            this->judgement.breaches.push_back("job " + job.value + " was told not run and ran");
        }
    }
    for (const auto &node : this->nodes) {
        if (node->fleetJson() != this->nodes.front()->fleetJson()) {
            this->judgement.breaches.push_back(node->name.value + " has another fleet state than " + this->nodes.front()->name.value);
        }
    }
}

void World::heal()
{
    this->log.store.fault = LogFault::None;
    this->log.answersToLose = 0;
    for (const auto &node : this->nodes) {
        node->log.isCut = false;
        node->platform.isCut = false;
        node->platform.release();
        node->isPaused = false;
        node->isCutFromPeers = false;
    }
}

void World::restart(std::size_t number)
{
    auto &node = this->nodes.at(number);
    const bool wasCut = node->log.isCut;
    node->platform.release();
    node = std::make_unique<Node>(node->name, this->log, *this->instances, this->clock, this->judgement);
    node->snapshotEvery = this->spec.snapshotEvery;
    node->log.isCut = wasCut;
    node->platform.isCut = wasCut;
}

void World::failRack(int rack, bool down)
{
    const RackId wanted{"rack-" + std::to_string(rack)};
    for (const InstanceEntrySpec &entry : this->fleetFile.instances) {
        if (entry.spec.rack == wanted) {
            this->instances->fail(entry.instance, down, this->clock.now());
        }
    }
}

int World::instancesInWork() const
{
    return static_cast<int>(std::count_if(this->fleetFile.instances.begin(), this->fleetFile.instances.end(), [this](const InstanceEntrySpec &entry) {
        const ActualInstance *instance = this->instances->instance(entry.instance);
        return instance != nullptr && instance->now.state != InstanceState::Live && instance->now.state != InstanceState::Down;
    }));
}

}
