// Implements the instances of the stand-in platform.
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

void InstanceStore::scheduleUpdate(const InstanceId &instance, TimePoint now)
{
    this->pendingUpdates.push_back(PendingUpdate{now + this->listLag, instance});
}

std::string InstanceStore::report(const InstanceId &id, const PoolId &pool, const Endpoint &endpoint, int inFlight, bool up, TimePoint now)
{
    const auto [entry, isNew] = this->instances.try_emplace(id);
    ActualInstance &instance = entry->second;
    if (isNew) {
        instance.now.pool = pool;
        instance.endpoint = endpoint;
        this->scheduleUpdate(id, now);
    }
    instance.inFlight = inFlight;
    instance.up = up;
    if (instance.now.state == InstanceState::Draining && inFlight == 0) {
        instance.now.state = InstanceState::Drained;
        this->scheduleUpdate(id, now);
    }
    switch (instance.now.state) {
    case InstanceState::Draining:
    case InstanceState::Drained:
        return "draining";
    case InstanceState::Down:
        return "down";
    case InstanceState::Rebooting:
        return now - instance.rebootStarted < this->rebootTime ? "down" : "live";
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
    this->scheduleUpdate(id, now);
    return {};
}

RefusalReason InstanceStore::undrain(const InstanceId &id, Offset token, TimePoint now)
{
    if (RefusalReason refusal = this->checkToken(id, token); !refusal.empty()) {
        return refusal;
    }
    ActualInstance &instance = this->instances.at(id);
    instance.now.closedToken = token;
    this->scheduleUpdate(id, now);
    if (instance.now.state == InstanceState::Draining || instance.now.state == InstanceState::Drained) {
        instance.now.state = InstanceState::Live;
    }
    return {};
}

RefusalReason InstanceStore::reboot(const InstanceId &id, Offset token, TimePoint now)
{
    const auto found = this->instances.find(id);
    // A retry after a lost answer: the reboot with this token is already finished.
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
    instance.rebootStarted = now;
    this->scheduleUpdate(id, now);
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
        this->scheduleUpdate(id, now);
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
    this->scheduleUpdate(id, now);
    return {};
}

bool InstanceStore::tick(TimePoint now)
{
    for (auto &[id, instance] : this->instances) {
        const bool isRebootFinished = instance.now.state == InstanceState::Rebooting && now - instance.rebootStarted >= this->rebootTime && instance.up;
        if (!isRebootFinished) {
            continue;
        }
        instance.now.state = InstanceState::Live;
        instance.now.lastRebootToken = instance.now.token;
        instance.now.closedToken = instance.now.token;
        ++this->observed.maintained;
        this->observed.lastRebootFinished = now;
        this->scheduleUpdate(id, now);
    }
    this->checkBudgets();
    return this->publishDueUpdates(now);
}

bool InstanceStore::publishDueUpdates(TimePoint now)
{
    bool published = false;
    while (!this->pendingUpdates.empty() && this->pendingUpdates.front().publishAt <= now) {
        const InstanceId id = this->pendingUpdates.front().instance;
        this->pendingUpdates.pop_front();
        const ActualInstance &instance = this->instances.at(id);
        PublishedInstance &entry = this->publishedList[id];
        const bool isLeaving = instance.now.state != InstanceState::Live;
        const bool wasLeaving = entry.leavingSince != TimePoint{};
        entry.leavingSince = isLeaving ? (wasLeaving ? entry.leavingSince : now) : TimePoint{};
        entry.listed = instance.now;
        entry.endpoint = instance.endpoint;
        entry.version = ++this->listVersion;
        published = true;
    }
    return published;
}

void InstanceStore::checkBudgets()
{
    if (this->instances.size() < this->expectedInstances) {
        return;
    }
    std::map<PoolId, int> available;
    std::map<PoolId, bool> hasPlannedOutage;
    for (const auto &[id, instance] : this->instances) {
        const InstanceState state = instance.now.state;
        available[instance.now.pool] += state == InstanceState::Live ? 1 : 0;
        hasPlannedOutage[instance.now.pool] |= state != InstanceState::Live && state != InstanceState::Down;
    }
    for (const auto &[pool, budget] : this->budgets) {
        const bool isBreached = available[pool] < budget;
        if (isBreached && !this->wasBreached[pool]) {
            ++this->observed.budgetBreaches;
            this->observed.ownBudgetBreaches += hasPlannedOutage[pool] ? 1 : 0;
            this->observed.lastBreach = pool.value + ": " + std::to_string(available[pool]) + " of " + std::to_string(budget);
        }
        this->wasBreached[pool] = isBreached;
    }
}

InstanceListing InstanceStore::listing() const
{
    InstanceListing listing;
    for (const auto &[id, entry] : this->publishedList) {
        listing.emplace(id, entry.listed);
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
    nlohmann::json entries = nlohmann::json::array();
    for (const auto &[id, entry] : this->publishedList) {
        if (entry.version > version) {
            entries.push_back({{"id", id.value}, {"host", entry.endpoint.host}, {"port", entry.endpoint.port}, {"state", toString(entry.listed.state)},
                {"pool", entry.listed.pool.value}, {"token", entry.listed.token}, {"rebooted", entry.listed.lastRebootToken},
                {"closed", entry.listed.closedToken}, {"version", entry.version}});
        }
    }
    return {{"version", this->listVersion}, {"instances", std::move(entries)}};
}

std::chrono::milliseconds InstanceStore::timeListedAsLeaving(const InstanceId &instance, TimePoint now) const
{
    const auto found = this->publishedList.find(instance);
    if (found == this->publishedList.end() || found->second.leavingSince == TimePoint{}) {
        return std::chrono::milliseconds(-1);
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - found->second.leavingSince);
}

nlohmann::json InstanceStore::observations() const
{
    const bool hasReboots = this->observed.lastRebootFinished != TimePoint{};
    const double rolloutSeconds = hasReboots ? std::chrono::duration<double>(this->observed.lastRebootFinished - this->observed.firstDrain).count() : 0.0;
    return {{"budget_breaches", this->observed.budgetBreaches}, {"own_budget_breaches", this->observed.ownBudgetBreaches},
        {"maintained", this->observed.maintained}, {"moves", this->observed.moves}, {"refused_acts", this->observed.refusedActions},
        {"killed_in_flight", this->observed.killedInFlight}, {"last_breach", this->observed.lastBreach}, {"rollout_seconds", rolloutSeconds}};
}

}
