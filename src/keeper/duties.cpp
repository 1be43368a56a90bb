// The duties of a keeper.
#include "duties.h"

#include <thread>

#include <spdlog/spdlog.h>

#include <mangocourse/leasewatch.h>
#include <mangocourse/maintenancerunner.h>

#include "httpclient.h"
#include "thriftcodec.h"

namespace MangoCourse {

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds longPollTimeout = 5000ms;
constexpr std::chrono::milliseconds unreachableRetryDelay = 200ms;
constexpr std::chrono::milliseconds maintenanceInterval = 100ms;
// A round is planned when the fleet state or the listing has changed, and at least at this interval, because timeouts become due without a change.
constexpr Duration maxRoundInterval = 1s;
constexpr std::chrono::milliseconds exchangeInterval = 1000ms;
constexpr std::chrono::milliseconds peerCallTimeout = 1000ms;
// Records between two snapshots, far fewer than the platform's log retains.
constexpr Offset snapshotInterval = 2000;

// Pulls records or a snapshot from one peer. Returns true if the reply held any.
bool pullFromPeer(KeeperState &state, StreamFollower<FleetState> &follower, const Endpoint &peer)
{
    auto client = HttpClient::create(peer, state.settings.peerToken);
    Rpc::PullRequest request;
    request.process = state.settings.name.value;
    request.dataCentre = state.settings.dataCentre.value;
    request.role = "keeper";
    request.afterOffset = follower.offset();
    request.listingVersion = state.listing.version();
    const Result<std::string> answer = (*client)->call(http::verb::post, "/peer/pull", toThrift(request), peerCallTimeout);
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
void logReachability(
    const std::string &stream, bool &wasReachable, const FollowerStatus &status, const Result<void> &step, const StreamFollower<State> &follower)
{
    const bool isReachable = step.has_value();
    if (isReachable == wasReachable) {
        return;
    }
    wasReachable = isReachable;
    if (isReachable) {
        spdlog::info("event=log_reached stream={} offset={} end={}", stream, follower.offset(), status.end.load());
    } else {
        spdlog::warn(
            "event=log_unreachable stream={} offset={} effect=serving_continues_no_new_grants reason={}", stream, follower.offset(), describe(step.error()));
    }
}

template<typename State>
void writeSnapshot(const std::string &stream, const Guarded<State> &guarded, FollowerStatus &status, PlatformClient &platform)
{
    const Offset offset = guarded.read([](const State &state) {
        return state.offset();
    });
    if (offset - status.snapshotOffset < snapshotInterval) {
        return;
    }
    const std::string snapshot = guarded.read([](const State &state) {
        return state.toJson();
    });
    if (platform.append(stream + "-snapshots", {snapshot})) {
        status.snapshotOffset = offset;
        spdlog::info("event=snapshot_written stream={} offset={} bytes={}", stream, offset, snapshot.size());
    }
}

void maintainLedger(KeeperState &state, LeaseWatch &leases, PlatformClient &platform)
{
    const std::string stream = jobsStream(state.settings.dataCentre);
    const auto lease = std::chrono::milliseconds(state.fleet.read([](const FleetState &fleet) {
        return fleet.settings().value("", Keys::jobLeaseMs);
    }));
    const auto claims = state.ledger.read([](const JobLedger &ledger) {
        return ledger.claimed();
    });
    for (const ReleaseJob &release : leases.collectExpired(claims, lease, state.clock.now())) {
        state.appender.submit(stream, Record{state.newRecordId(), release});
    }
    writeSnapshot(stream, state.ledger, state.ledgerStatus, platform);
}

void logActions(const MaintenanceRound &round)
{
    for (const PerformedAction &performed : round.actions) {
        spdlog::info("event=platform_act kind={} instance={} token={} result={}", toString(performed.action.kind), performed.action.instance.value,
            performed.action.token, performed.result ? "ok" : describe(performed.result.error()));
    }
}

// Decides whether a maintenance round is due, so that rounds are not planned on an unchanged state.
class RoundTrigger
{
public:
    bool isDue(Offset offset, std::int64_t listingVersion, TimePoint now)
    {
        const bool hasChanged = offset != this->plannedOffset || listingVersion != this->plannedVersion;
        if (!hasChanged && now - this->plannedAt < maxRoundInterval) {
            return false;
        }
        this->plannedOffset = offset;
        this->plannedVersion = listingVersion;
        this->plannedAt = now;
        return true;
    }

private:
    Offset plannedOffset = -1;
    std::int64_t plannedVersion = -1;
    TimePoint plannedAt{};
};

Offset fleetOffset(const KeeperState &state)
{
    return state.fleet.read([](const FleetState &fleet) {
        return fleet.offset();
    });
}

// Grants are proposed only on a state that has caught up with the end of the log, not on a peer's copy or a state with a gap.
bool canProposeGrants(const KeeperState &state)
{
    return state.fleetStatus.isReachable && state.fleetStatus.caughtUp && !state.fleetStatus.hasGap;
}

}

Result<void> followFleet(const std::stop_token &stop, KeeperState &state)
{
    auto platform = PlatformClient::create(state.settings.platform);
    const std::stop_callback interruptOnStop(stop, [&platform] {
        (*platform)->interrupt();
    });
    StreamFollower<FleetState> follower(fleetStream, state.fleet, state.fleetStatus, [&state](Offset offset, const std::string &payload) {
        state.recent.add(offset, payload);
    });
    bool wasReachable = false;
    while (!stop.stop_requested()) {
        const Result<void> step = follower.step(**platform, longPollTimeout);
        logReachability(fleetStream, wasReachable, state.fleetStatus, step, follower);
        if (!step) {
            pullFromPeers(state, follower);
            std::this_thread::sleep_for(unreachableRetryDelay);
        }
    }
    return {};
}

Result<void> followLedger(const std::stop_token &stop, KeeperState &state)
{
    auto platform = PlatformClient::create(state.settings.platform);
    const std::stop_callback interruptOnStop(stop, [&platform] {
        (*platform)->interrupt();
    });
    const std::string stream = jobsStream(state.settings.dataCentre);
    StreamFollower<JobLedger> follower(stream, state.ledger, state.ledgerStatus, [](Offset, const std::string &) {
    });
    bool wasReachable = false;
    while (!stop.stop_requested()) {
        const Result<void> step = follower.step(**platform, longPollTimeout);
        logReachability(stream, wasReachable, state.ledgerStatus, step, follower);
        if (!step) {
            std::this_thread::sleep_for(unreachableRetryDelay);
        }
    }
    return {};
}

Result<void> followListing(const std::stop_token &stop, KeeperState &state)
{
    auto platform = PlatformClient::create(state.settings.platform);
    const std::stop_callback interruptOnStop(stop, [&platform] {
        (*platform)->interrupt();
    });
    while (!stop.stop_requested()) {
        const Result<ListingDelta> delta = (*platform)->listing(state.listing.version(), longPollTimeout);
        if (!delta) {
            std::this_thread::sleep_for(unreachableRetryDelay);
            continue;
        }
        state.listing.merge(*delta);
        // Replies to pulls carry the listing too, so waiting pulls must wake up.
        if (!delta->changed.empty()) {
            state.fleet.notify();
        }
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
    Result<MaintenanceRunner> runner = MaintenanceRunner::create(state.settings.name);
    if (!runner) {
        return tl::unexpected(runner.error());
    }
    LeaseWatch leases;
    RoundTrigger rounds;
    while (!stop.stop_requested()) {
        std::this_thread::sleep_for(maintenanceInterval);
        if (!canProposeGrants(state)) {
            continue;
        }
        if (state.isLedgerLeader()) {
            maintainLedger(state, leases, **platform);
        }
        if (!state.isMaintenanceLeader() || !rounds.isDue(fleetOffset(state), state.listing.version(), state.clock.now())) {
            continue;
        }
        const MaintenanceRound round = runner->round(state.fleet, state.listing.listing(), **platform, state.clock.now());
        ++state.maintenanceRounds;
        logActions(round);
        for (const RecordBody &body : round.proposals) {
            state.appender.submit(fleetStream, Record{state.newRecordId(), body});
        }
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
        const Result<std::string> answer = peers[turn % peers.size()]->call(http::verb::post, "/peer/exchange", toThrift(status), peerCallTimeout);
        const Result<Rpc::PeerStatus> peer = answer ? fromThrift<Rpc::PeerStatus>(*answer) : tl::unexpected(answer.error());
        if (peer) {
            state.membership.recordKeeper(
                ProcessId{peer->process}, {DataCentreId{peer->dataCentre}, peer->offset, peer->revision, peer->liveGates, state.clock.now()});
        }
    }
    return {};
}

}
