// Threads of a keeper.
#include "duties.h"

#include <thread>
#include <unordered_map>

#include <spdlog/spdlog.h>

#include <mangocourse/maintenanceplanner.h>

#include "httpclient.h"
#include "thriftcodec.h"

namespace MangoCourse {

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds longPoll = 1000ms;
constexpr std::chrono::milliseconds unreachablePause = 200ms;
constexpr std::chrono::milliseconds maintenanceInterval = 100ms;
constexpr std::chrono::milliseconds exchangeInterval = 500ms;
constexpr std::chrono::milliseconds peerCallLimit = 1000ms;
// Records between two snapshots; far below what the platform's retention keeps.
constexpr Offset snapshotInterval = 2000;
// The granter's side of a lease waits longer than the holder's by this factor, for clocks that drift.
constexpr double leaseGrace = 1.5;

// Takes records or a snapshot from one peer; true where it gave news.
bool pullFromPeer(KeeperState &state, StreamFollower<FleetState> &follower, const Endpoint &peer)
{
    auto client = HttpClient::create(peer, state.settings.peerToken);
    Rpc::PullRequest request;
    request.process = state.settings.name.value;
    request.dataCentre = state.settings.dataCentre.value;
    request.role = "keeper";
    request.afterOffset = follower.offset();
    request.listingVersion = state.listing.version();
    const Result<std::string> answer = (*client)->call(http::verb::post, "/peer/pull", toThrift(request), peerCallLimit);
    if (!answer) {
        return false;
    }
    const Result<Rpc::PullReply> reply = fromThrift<Rpc::PullReply>(*answer);
    if (!reply) {
        return false;
    }
    if (!reply->snapshot.empty()) {
        Result<FleetState> snapshot = FleetState::fromJson(reply->snapshot);
        if (snapshot) {
            follower.replace(std::move(*snapshot));
        }
    }
    std::vector<LogBatch::Entry> entries;
    for (const Rpc::LogRecord &record : reply->records) {
        entries.push_back({record.offset, record.payload});
    }
    follower.apply(entries);
    return !entries.empty() || !reply->snapshot.empty();
}

void pullFromPeers(KeeperState &state, StreamFollower<FleetState> &follower)
{
    for (const Endpoint &peer : state.settings.keepers) {
        if (peer != state.settings.admin && pullFromPeer(state, follower, peer)) {
            return;
        }
    }
}

template<typename State>
void logReachability(const std::string &stream, bool &wasReachable, const FollowerStatus &status, const Result<void> &step, const StreamFollower<State> &follower)
{
    const bool isReachable = step.has_value();
    if (isReachable == wasReachable) {
        return;
    }
    wasReachable = isReachable;
    if (isReachable) {
        spdlog::info("event=log_reached stream={} offset={} end={}", stream, follower.offset(), status.end.load());
    } else {
        spdlog::warn("event=log_unreachable stream={} offset={} effect=serving_continues_no_new_grants reason={}", stream, follower.offset(), describe(step.error()));
    }
}

template<typename State>
void writeSnapshot(const std::string &stream, const Guarded<State> &guarded, FollowerStatus &status, PlatformClient &platform)
{
    const Offset offset = guarded.read([](const State &folded) {
        return folded.offset();
    });
    if (offset - status.snapshotOffset < snapshotInterval) {
        return;
    }
    const std::string snapshot = guarded.read([](const State &folded) {
        return folded.toJson();
    });
    if (platform.append(stream + "-snapshots", {snapshot})) {
        status.snapshotOffset = offset;
        spdlog::info("event=snapshot_written stream={} offset={} bytes={}", stream, offset, snapshot.size());
    }
}

// Claims whose holder has been silent for longer than its lease.
class LeaseWatch
{
public:
    std::vector<Record> lapsed(KeeperState &state, std::chrono::milliseconds lease)
    {
        const TimePoint now = state.clock.now();
        const auto claims = state.ledger.read([](const JobLedger &ledger) {
            return ledger.claimed();
        });
        std::vector<Record> records;
        std::unordered_map<JobId, Sighting> still;
        for (const auto &[job, claim] : claims) {
            const auto known = this->sightings.find(job);
            const bool isSame = known != this->sightings.end() && known->second.claim == claim;
            Sighting seen = isSame ? known->second : Sighting{claim, now};
            if (now - seen.since > std::chrono::duration_cast<Duration>(lease * leaseGrace)) {
                records.push_back(Record{state.newRecordId(), ReleaseJob{job, claim, ReleaseReason::LeaseLapsed}});
                seen.since = now;
            }
            still.emplace(job, seen);
        }
        this->sightings = std::move(still);
        return records;
    }

private:
    struct Sighting {
        Offset claim = 0;
        TimePoint since{};
    };
    std::unordered_map<JobId, Sighting> sightings;
};

void keepLedger(KeeperState &state, LeaseWatch &leases, PlatformClient &platform)
{
    const std::string stream = jobsStream(state.settings.dataCentre);
    const auto lease = std::chrono::milliseconds(state.fleet.read([](const FleetState &fleet) {
        return fleet.settings().value("", Keys::jobLeaseMs);
    }));
    for (const Record &record : leases.lapsed(state, lease)) {
        state.appender.submit(stream, record);
    }
    writeSnapshot(stream, state.ledger, state.ledgerStatus, platform);
}

// Proposals and acts under way, so that one is not repeated at each round before the fold or the lagging list has answered.
class RepeatGuard
{
public:
    bool mayPropose(const RecordBody &body, TimePoint now)
    {
        return this->isDue(encodeRecord(Record{RecordId{}, body}), now);
    }

    bool mayAct(const PlatformAct &act, TimePoint now)
    {
        return this->isDue(std::to_string(static_cast<int>(act.kind)) + "/" + act.instance.value + "/" + std::to_string(act.token), now);
    }

    void forgetOld(TimePoint now)
    {
        std::erase_if(this->doneAt, [now](const auto &entry) {
            return now - entry.second > repeatAfter;
        });
    }

private:
    bool isDue(const std::string &key, TimePoint now)
    {
        const auto [entry, isNew] = this->doneAt.try_emplace(key, now);
        if (isNew || now - entry->second > repeatAfter) {
            entry->second = now;
            return true;
        }
        return false;
    }

    static constexpr Duration repeatAfter = 1500ms;
    std::unordered_map<std::string, TimePoint> doneAt;
};

void performActs(KeeperState &state, PlatformClient &platform, const MaintenancePlan &plan, RepeatGuard &guard)
{
    for (const PlatformAct &act : plan.acts) {
        const bool isAllowed = state.fleet.read([&act](const FleetState &fleet) {
            return MaintenancePlanner::isStillAllowed(fleet, act);
        });
        if (!isAllowed || !guard.mayAct(act, state.clock.now())) {
            continue;
        }
        const Result<void> done = perform(platform, act);
        spdlog::info("event=platform_act kind={} instance={} token={} result={}",
                     static_cast<int>(act.kind),
                     act.instance.value,
                     act.token,
                     done ? "ok" : describe(done.error()));
    }
}

// New grants need the log's end, not a peer's copy or a state with a gap.
bool mayProposeGrants(const KeeperState &state)
{
    return state.fleetStatus.reachable && state.fleetStatus.caughtUp && !state.fleetStatus.gap;
}

}

Result<void> followFleet(const std::stop_token &stop, KeeperState &state)
{
    auto platform = PlatformClient::create(state.settings.platform);
    StreamFollower<FleetState> follower(fleetStream, state.fleet, state.fleetStatus, [&state](Offset offset, const std::string &payload) {
        state.recent.add(offset, payload);
    });
    bool wasReachable = false;
    while (!stop.stop_requested()) {
        const Result<void> step = follower.step(**platform, longPoll);
        logReachability(fleetStream, wasReachable, state.fleetStatus, step, follower);
        if (!step) {
            pullFromPeers(state, follower);
            std::this_thread::sleep_for(unreachablePause);
        }
    }
    return {};
}

Result<void> followLedger(const std::stop_token &stop, KeeperState &state)
{
    auto platform = PlatformClient::create(state.settings.platform);
    const std::string stream = jobsStream(state.settings.dataCentre);
    StreamFollower<JobLedger> follower(stream, state.ledger, state.ledgerStatus, [](Offset, const std::string &) {});
    bool wasReachable = false;
    while (!stop.stop_requested()) {
        const Result<void> step = follower.step(**platform, longPoll);
        logReachability(stream, wasReachable, state.ledgerStatus, step, follower);
        if (!step) {
            std::this_thread::sleep_for(unreachablePause);
        }
    }
    return {};
}

Result<void> followListing(const std::stop_token &stop, KeeperState &state)
{
    auto platform = PlatformClient::create(state.settings.platform);
    while (!stop.stop_requested()) {
        const Result<ListingDelta> delta = (*platform)->listing(state.listing.version(), longPoll);
        if (!delta) {
            std::this_thread::sleep_for(unreachablePause);
            continue;
        }
        state.listing.merge(*delta);
        // The fleet's listeners wake the pulls of gates, which carry the list too.
        state.fleet.write([](FleetState &) {});
    }
    return {};
}

Result<void> appendRecords(const std::stop_token &stop, KeeperState &state)
{
    auto platform = PlatformClient::create(state.settings.platform);
    return state.appender.run(stop, **platform);
}

Result<void> maintain(const std::stop_token &stop, KeeperState &state)
{
    auto platform = PlatformClient::create(state.settings.platform);
    Result<MaintenancePlanner> planner = MaintenancePlanner::create(state.settings.name);
    if (!planner) {
        return tl::unexpected(planner.error());
    }
    LeaseWatch leases;
    RepeatGuard guard;
    while (!stop.stop_requested()) {
        std::this_thread::sleep_for(maintenanceInterval);
        if (!mayProposeGrants(state)) {
            continue;
        }
        if (state.isLedgerLead()) {
            keepLedger(state, leases, **platform);
        }
        if (!state.isLead()) {
            continue;
        }
        const InstanceListing listing = state.listing.listing();
        const TimePoint now = state.clock.now();
        const MaintenancePlan plan = state.fleet.read([&](const FleetState &fleet) {
            return planner->plan(fleet, listing, now);
        });
        ++state.maintenanceRounds;
        for (const RecordBody &body : plan.records) {
            if (guard.mayPropose(body, now)) {
                state.appender.submit(fleetStream, Record{state.newRecordId(), body});
            }
        }
        guard.forgetOld(now);
        performActs(state, **platform, plan, guard);
        writeSnapshot(fleetStream, state.fleet, state.fleetStatus, **platform);
    }
    return {};
}

Result<void> exchangeWithPeers(const std::stop_token &stop, KeeperState &state)
{
    std::vector<std::unique_ptr<HttpClient>> peers;
    for (const Endpoint &endpoint : state.settings.keepers) {
        if (endpoint != state.settings.admin) {
            peers.push_back(std::move(*HttpClient::create(endpoint, state.settings.peerToken)));
        }
    }
    for (std::size_t turn = 0; !stop.stop_requested(); ++turn) {
        std::this_thread::sleep_for(exchangeInterval);
        if (peers.empty()) {
            continue;
        }
        Rpc::PeerStatus status;
        status.process = state.settings.name.value;
        status.dataCentre = state.settings.dataCentre.value;
        state.fleet.read([&status](const FleetState &fleet) {
            status.offset = fleet.offset();
            status.revision = fleet.settings().revision();
            return 0;
        });
        status.liveGates = static_cast<std::int32_t>(state.membership.liveGates(state.clock.now()).size());
        const Result<std::string> answer = peers[turn % peers.size()]->call(http::verb::post, "/peer/exchange", toThrift(status), peerCallLimit);
        const Result<Rpc::PeerStatus> peer = answer ? fromThrift<Rpc::PeerStatus>(*answer) : tl::unexpected(answer.error());
        if (peer) {
            state.membership.sawKeeper(ProcessId{peer->process},
                                       {DataCentreId{peer->dataCentre}, peer->offset, peer->revision, peer->liveGates, state.clock.now()});
        }
    }
    return {};
}

}
