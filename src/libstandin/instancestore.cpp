// Behaviour of the stand-in's instances.
#include "instancestore.h"

namespace MangoCourse {

InstanceStore::InstanceStore(const FleetFile &fleet, Duration listLag, Duration rebootTime)
    : listLag(listLag)
    , rebootTime(rebootTime)
    , expectedInstances(fleet.instances.size())
{
    for (const PoolEntrySpec &pool : fleet.pools) {
        this->budgets[pool.pool] = pool.spec.minAvailable;
    }
}

void InstanceStore::changed(const InstanceId &instance, TimePoint now)
{
    this->pending.push_back(Pending{now + this->listLag, instance});
}

std::string InstanceStore::report(const InstanceId &id, const PoolId &pool, const Endpoint &endpoint, int inFlight, bool up, TimePoint now)
{
    const auto [entry, isNew] = this->instances.try_emplace(id);
    ActualInstance &instance = entry->second;
    if (isNew) {
        instance.now.pool = pool;
        instance.endpoint = endpoint;
        this->changed(id, now);
    }
    instance.inFlight = inFlight;
    instance.up = up;
    if (instance.now.state == InstanceState::Draining && inFlight == 0) {
        instance.now.state = InstanceState::Drained;
        this->changed(id, now);
    }
    switch (instance.now.state) {
    case InstanceState::Draining:
    case InstanceState::Drained:
        return "draining";
    case InstanceState::Down:
        return "down";
    case InstanceState::Rebooting:
        return now - instance.downSince < this->rebootTime ? "down" : "live";
    case InstanceState::Live:
        break;
    }
    return "live";
}

RefusalReason InstanceStore::checkToken(const InstanceId &id, Offset token)
{
    const auto found = this->instances.find(id);
    RefusalReason refusal;
    if (found == this->instances.end()) {
        refusal = "unknown instance";
    } else if (token < found->second.now.token || token <= found->second.now.closedToken) {
        refusal = "stale token";
    }
    if (!refusal.empty()) {
        ++this->observed.refusedActions;
    }
    return refusal;
}

RefusalReason InstanceStore::drain(const InstanceId &id, Offset token, TimePoint now)
{
    if (RefusalReason refusal = this->checkToken(id, token); !refusal.empty()) {
        return refusal;
    }
    ActualInstance &instance = this->instances.at(id);
    instance.now.token = token;
    if (instance.now.state != InstanceState::Live) {
        return {};
    }
    instance.now.state = InstanceState::Draining;
    if (this->observed.firstDrain == TimePoint{}) {
        this->observed.firstDrain = now;
    }
    this->changed(id, now);
    return {};
}

RefusalReason InstanceStore::undrain(const InstanceId &id, Offset token, TimePoint now)
{
    if (RefusalReason refusal = this->checkToken(id, token); !refusal.empty()) {
        return refusal;
    }
    ActualInstance &instance = this->instances.at(id);
    instance.now.closedToken = token;
    this->changed(id, now);
    if (instance.now.state == InstanceState::Draining || instance.now.state == InstanceState::Drained) {
        instance.now.state = InstanceState::Live;
    }
    return {};
}

RefusalReason InstanceStore::reboot(const InstanceId &id, Offset token, TimePoint now)
{
    const auto found = this->instances.find(id);
    // The same act again, after a lost answer.
    if (found != this->instances.end() && found->second.now.lastRebootToken == token) {
        return {};
    }
    if (RefusalReason refusal = this->checkToken(id, token); !refusal.empty()) {
        return refusal;
    }
    ActualInstance &instance = this->instances.at(id);
    if (instance.now.state == InstanceState::Rebooting) {
        return {};
    }
    this->observed.killedInFlight += instance.inFlight;
    instance.now.token = token;
    instance.now.state = InstanceState::Rebooting;
    instance.downSince = now;
    this->changed(id, now);
    return {};
}

RefusalReason InstanceStore::relabel(const InstanceId &id, Offset token, const PoolId &pool, TimePoint now)
{
    if (RefusalReason refusal = this->checkToken(id, token); !refusal.empty()) {
        return refusal;
    }
    ActualInstance &instance = this->instances.at(id);
    if (instance.now.pool != pool) {
        instance.now.pool = pool;
        ++this->observed.moves;
        this->changed(id, now);
    }
    return {};
}

RefusalReason InstanceStore::fail(const InstanceId &id, bool down, TimePoint now)
{
    const auto found = this->instances.find(id);
    if (found == this->instances.end()) {
        return "unknown instance";
    }
    found->second.now.state = down ? InstanceState::Down : InstanceState::Live;
    this->changed(id, now);
    return {};
}

bool InstanceStore::tick(TimePoint now)
{
    for (auto &[id, instance] : this->instances) {
        const bool rebootDone = instance.now.state == InstanceState::Rebooting && now - instance.downSince >= this->rebootTime && instance.up;
        if (!rebootDone) {
            continue;
        }
        instance.now.state = InstanceState::Live;
        instance.now.lastRebootToken = instance.now.token;
        instance.now.closedToken = instance.now.token;
        ++this->observed.maintained;
        this->observed.lastReturn = now;
        this->changed(id, now);
    }
    this->observe();
    return this->publishDue(now);
}

bool InstanceStore::publishDue(TimePoint now)
{
    bool published = false;
    while (!this->pending.empty() && this->pending.front().at <= now) {
        const InstanceId id = this->pending.front().instance;
        this->pending.pop_front();
        const ActualInstance &instance = this->instances.at(id);
        ListedLine &line = this->list[id];
        const bool leaves = instance.now.state != InstanceState::Live;
        const bool left = line.leavingSince != TimePoint{};
        line.leavingSince = leaves ? (left ? line.leavingSince : now) : TimePoint{};
        line.listed = instance.now;
        line.endpoint = instance.endpoint;
        line.version = ++this->listVersion;
        published = true;
    }
    return published;
}

void InstanceStore::observe()
{
    if (this->instances.size() < this->expectedInstances) {
        return;
    }
    std::map<PoolId, int> available;
    std::map<PoolId, bool> ownAction;
    for (const auto &[id, instance] : this->instances) {
        const InstanceState state = instance.now.state;
        available[instance.now.pool] += state == InstanceState::Live ? 1 : 0;
        ownAction[instance.now.pool] |= state != InstanceState::Live && state != InstanceState::Down;
    }
    for (const auto &[pool, budget] : this->budgets) {
        const bool breach = available[pool] < budget;
        if (breach && !this->inBreach[pool]) {
            ++this->observed.budgetBreaches;
            this->observed.ownBudgetBreaches += ownAction[pool] ? 1 : 0;
            this->observed.lastBreach = pool.value + ": " + std::to_string(available[pool]) + " of " + std::to_string(budget);
        }
        this->inBreach[pool] = breach;
    }
}

InstanceListing InstanceStore::listing() const
{
    InstanceListing listing;
    for (const auto &[id, line] : this->list) {
        listing.emplace(id, line.listed);
    }
    return listing;
}

const Observations &InstanceStore::counts() const
{
    return this->observed;
}

const ActualInstance *InstanceStore::instance(const InstanceId &id) const
{
    const auto found = this->instances.find(id);
    return found == this->instances.end() ? nullptr : &found->second;
}

std::int64_t InstanceStore::version() const
{
    return this->listVersion;
}

nlohmann::json InstanceStore::listingSince(std::int64_t version) const
{
    nlohmann::json lines = nlohmann::json::array();
    for (const auto &[id, line] : this->list) {
        if (line.version > version) {
            lines.push_back({{"id", id.value}, {"host", line.endpoint.host}, {"port", line.endpoint.port}, {"state", toString(line.listed.state)},
                {"pool", line.listed.pool.value}, {"token", line.listed.token}, {"rebooted", line.listed.lastRebootToken}, {"closed", line.listed.closedToken},
                {"version", line.version}});
        }
    }
    return {{"version", this->listVersion}, {"instances", std::move(lines)}};
}

std::chrono::milliseconds InstanceStore::timeListedAsLeaving(const InstanceId &instance, TimePoint now) const
{
    const auto found = this->list.find(instance);
    if (found == this->list.end() || found->second.leavingSince == TimePoint{}) {
        return std::chrono::milliseconds(-1);
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - found->second.leavingSince);
}

nlohmann::json InstanceStore::observations() const
{
    const bool hasWave = this->observed.lastReturn != TimePoint{};
    const double rollout = hasWave ? std::chrono::duration<double>(this->observed.lastReturn - this->observed.firstDrain).count() : 0.0;
    return {{"budget_breaches", this->observed.budgetBreaches}, {"own_budget_breaches", this->observed.ownBudgetBreaches}, {"maintained", this->observed.maintained},
        {"moves", this->observed.moves}, {"refused_acts", this->observed.refusedActions}, {"killed_in_flight", this->observed.killedInFlight},
        {"last_breach", this->observed.lastBreach}, {"rollout_seconds", rollout}};
}

}
