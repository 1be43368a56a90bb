// Follows the keepers and publishes views of the fleet.
#include "control.h"

#include <thread>

#include <spdlog/spdlog.h>

#include <mangocourse/platform.h>
#include <mangocourse/streamfollower.h>

#include "httpclient.h"
#include "thriftcodec.h"

namespace MangoCourse {

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds pullPollTimeout = 2000ms;
constexpr std::chrono::milliseconds pullCallTimeout = 3000ms;
constexpr std::chrono::milliseconds keeperFailoverDelay = 100ms;

// Fleet state and instance listing of this gate. Not thread-safe; used only by the control duty.
class KeeperFollower
{
public:
    explicit KeeperFollower(GateState &state)
        : state(state)
    {
    }

    Result<void> pull(HttpClient &keeper);

private:
    Result<void> apply(const Rpc::PullReply &reply);
    Result<void> applyRecords(const Rpc::PullReply &reply);
    void applyListing(const Rpc::PullReply &reply);
    void publish();
    DispatchView dispatchView() const;
    bool isListedLive(const InstanceId &instance) const;

    GateState &state;
    FleetState fleet;
    std::map<InstanceId, Rpc::ListingEntry> listing;
    std::int64_t listingVersion = 0;
    int gates = 1;
    bool hasPublished = false;
};

Result<void> KeeperFollower::applyRecords(const Rpc::PullReply &reply)
{
    if (!reply.snapshot.empty() && reply.snapshotOffset > this->fleet.offset()) {
        Result<FleetState> snapshot = FleetState::fromJson(reply.snapshot);
        if (!snapshot) {
            return tl::unexpected(snapshot.error());
        }
        this->fleet = std::move(*snapshot);
    }
    for (const Rpc::LogRecord &record : reply.records) {
        if (record.offset == this->fleet.offset() + 1) {
            applyPayload(this->fleet, record.offset, record.payload);
        }
    }
    return {};
}

void KeeperFollower::applyListing(const Rpc::PullReply &reply)
{
    for (const Rpc::ListingEntry &entry : reply.listing) {
        Rpc::ListingEntry &known = this->listing[InstanceId{entry.instance}];
        if (entry.version >= known.version) {
            known = entry;
        }
    }
    this->listingVersion = std::max(this->listingVersion, reply.listingVersion);
}

bool KeeperFollower::isListedLive(const InstanceId &instance) const
{
    const auto found = this->listing.find(instance);
    return found != this->listing.end() && found->second.state == toString(InstanceState::Live);
}

DispatchView KeeperFollower::dispatchView() const
{
    DispatchView view;
    view.gates = this->gates;
    view.retryPercent = static_cast<int>(this->fleet.settings().value("", Keys::retryPercent));
    for (const auto &[id, pool] : this->fleet.pools()) {
        DispatchPool entry{id, pool.spec.services, pool.spec.lenders, 0, 0};
        entry.queueLimit = static_cast<int>(this->fleet.settings().value(id.value, Keys::queueLimit));
        entry.ejectPercent = static_cast<int>(this->fleet.settings().value(id.value, Keys::ejectPercent));
        view.pools.push_back(std::move(entry));
    }
    for (const auto &[id, instance] : this->fleet.instances()) {
        const bool isLocal = instance.spec.dataCentre == this->state.settings.dataCentre;
        const bool takesNewWork = instance.takesNewWork() && this->isListedLive(id);
        view.executors.push_back({id, instance.pool, instance.spec.slots, isLocal, takesNewWork});
    }
    return view;
}

void KeeperFollower::publish()
{
    auto next = std::make_shared<GateView>();
    next->offset = this->fleet.offset();
    next->revision = this->fleet.settings().revision();
    for (const auto &[id, pool] : this->fleet.pools()) {
        for (const ServiceId &service : pool.spec.services) {
            const auto definition = this->fleet.services().find(service);
            if (definition == this->fleet.services().end()) {
                continue;
            }
            const std::string path = id.value + "/" + service.value;
            const std::chrono::milliseconds timeout(this->fleet.settings().value(path, Keys::requestTimeoutMs));
            next->services[service] = {id, definition->second.workClass, definition->second.idempotent, timeout};
        }
    }
    for (const auto &[id, entry] : this->listing) {
        next->endpoints[id] = Endpoint{entry.host, static_cast<std::uint16_t>(entry.port)};
    }
    this->state.setView(std::move(next));
    this->state.dispatcher->updateView(this->dispatchView());
}

Result<void> KeeperFollower::apply(const Rpc::PullReply &reply)
{
    if (reply.endOffset < this->fleet.offset()) {
        return makeError(ErrorCode::Conflict, "the offset of the keeper is behind that of this gate");
    }
    const bool hasChanges = !reply.records.empty() || !reply.snapshot.empty() || !reply.listing.empty() || reply.liveGates != this->gates;
    if (const Result<void> applied = this->applyRecords(reply); !applied) {
        return applied;
    }
    this->applyListing(reply);
    this->gates = reply.liveGates;
    this->state.liveGates = reply.liveGates;
    // The first view waits until the keeper has caught up with the log, or until this gate has a state, so that no stale view is served.
    const bool canServe = reply.caughtUp || this->hasPublished || this->fleet.offset() > 0;
    if (canServe && (hasChanges || !this->hasPublished)) {
        this->publish();
        this->hasPublished = true;
    }
    return {};
}

Result<void> KeeperFollower::pull(HttpClient &keeper)
{
    Rpc::PullRequest request;
    request.process = this->state.settings.name.value;
    request.dataCentre = this->state.settings.dataCentre.value;
    request.role = "gate";
    request.afterOffset = this->fleet.offset();
    request.listingVersion = this->listingVersion;
    request.waitMs = static_cast<std::int32_t>(pullPollTimeout.count());
    const Result<std::string> answer = keeper.call(http::verb::post, "/peer/pull", toThrift(request), pullCallTimeout);
    if (!answer) {
        return tl::unexpected(answer.error());
    }
    const Result<Rpc::PullReply> reply = fromThrift<Rpc::PullReply>(*answer);
    if (!reply) {
        return tl::unexpected(reply.error());
    }
    return this->apply(*reply);
}

// Sends one pull request. A stop request interrupts the long poll.
Result<void> pullOnce(const std::stop_token &stop, KeeperFollower &follower, HttpClient &keeper)
{
    const std::stop_callback interruptOnStop(stop, [&keeper] {
        keeper.interrupt();
    });
    return follower.pull(keeper);
}

}

Result<void> followKeeper(const std::stop_token &stop, GateState &state)
{
    KeeperFollower follower(state);
    std::unique_ptr<HttpClient> keeper;
    while (!stop.stop_requested()) {
        if (!keeper) {
            keeper = std::move(*HttpClient::create(state.currentKeeper(), state.settings.peerToken));
        }
        const Result<void> pulled = pullOnce(stop, follower, *keeper);
        state.dispatcher->poll();
        if (pulled) {
            state.keeperReachable = true;
            continue;
        }
        spdlog::warn("event=keeper_unreachable keeper={} reason={}", toString(state.currentKeeper()), describe(pulled.error()));
        state.keeperReachable = false;
        ++state.keeperIndex;
        keeper.reset();
        std::this_thread::sleep_for(keeperFailoverDelay);
    }
    return {};
}

}
