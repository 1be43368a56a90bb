// State that the duties of a keeper share.
#include "keeperstate.h"

#include <random>

#include <mangocourse/rendezvous.h>

namespace MangoCourse {

void RecentRecords::add(Offset offset, const std::string &payload)
{
    const std::scoped_lock lock(this->mutex);
    // Loading a snapshot skips records. Followers behind the gap need the snapshot, so the records before the gap are dropped.
    if (!this->entries.empty() && this->entries.back().offset + 1 != offset) {
        this->entries.clear();
    }
    this->entries.push_back({offset, payload});
    if (this->entries.size() > capacity) {
        this->entries.pop_front();
    }
}

std::optional<std::vector<LogBatch::Entry>> RecentRecords::after(Offset offset, std::size_t limit) const
{
    const std::scoped_lock lock(this->mutex);
    if (this->entries.empty() || offset + 1 < this->entries.front().offset) {
        return std::nullopt;
    }
    std::vector<LogBatch::Entry> found;
    for (std::size_t index = static_cast<std::size_t>(offset + 1 - this->entries.front().offset); index < this->entries.size() && found.size() < limit;
         ++index) {
        found.push_back(this->entries[index]);
    }
    return found;
}

void ListingStore::merge(const ListingDelta &delta)
{
    const std::scoped_lock lock(this->mutex);
    for (const auto &[id, instance] : delta.changed) {
        AddressedInstance &known = this->instances[id];
        if (instance.version >= known.version) {
            known = instance;
        }
    }
    this->currentVersion = std::max(this->currentVersion, delta.version);
}

std::int64_t ListingStore::version() const
{
    const std::scoped_lock lock(this->mutex);
    return this->currentVersion;
}

std::map<InstanceId, AddressedInstance> ListingStore::changedSince(std::int64_t version) const
{
    const std::scoped_lock lock(this->mutex);
    std::map<InstanceId, AddressedInstance> changed;
    for (const auto &[id, instance] : this->instances) {
        if (instance.version > version) {
            changed.emplace(id, instance);
        }
    }
    return changed;
}

InstanceListing ListingStore::listing() const
{
    const std::scoped_lock lock(this->mutex);
    InstanceListing listing;
    for (const auto &[id, instance] : this->instances) {
        listing.emplace(id, instance.listed);
    }
    return listing;
}

namespace {

std::map<ProcessId, ProcessStatus> filterLive(const std::map<ProcessId, ProcessStatus> &all, TimePoint now, std::chrono::seconds timeout)
{
    std::map<ProcessId, ProcessStatus> live;
    for (const auto &[id, process] : all) {
        if (now - process.lastSeen <= timeout) {
            live.emplace(id, process);
        }
    }
    return live;
}

}

void Membership::recordGate(const ProcessId &process, ProcessStatus status)
{
    const std::scoped_lock lock(this->mutex);
    this->gates[process] = std::move(status);
}

void Membership::recordKeeper(const ProcessId &process, ProcessStatus status)
{
    const std::scoped_lock lock(this->mutex);
    this->keepers[process] = std::move(status);
}

std::map<ProcessId, ProcessStatus> Membership::liveGates(TimePoint now) const
{
    const std::scoped_lock lock(this->mutex);
    return filterLive(this->gates, now, gateTimeout);
}

std::map<ProcessId, ProcessStatus> Membership::liveKeepers(TimePoint now) const
{
    const std::scoped_lock lock(this->mutex);
    return filterLive(this->keepers, now, keeperTimeout(this->keepers.size()));
}

int Membership::gatesIn(const DataCentreId &dataCentre, TimePoint now) const
{
    int count = 0;
    for (const auto &[id, gate] : this->liveGates(now)) {
        count += gate.dataCentre == dataCentre ? 1 : 0;
    }
    for (const auto &[id, keeper] : this->liveKeepers(now)) {
        count += keeper.dataCentre == dataCentre ? keeper.liveGates : 0;
    }
    return std::max(1, count);
}

std::string KeeperState::makeIncarnation()
{
    std::random_device device;
    const std::uint64_t number = (static_cast<std::uint64_t>(device()) << 32) | device();
    return std::to_string(number);
}

RecordId KeeperState::newRecordId()
{
    return RecordId{this->settings.name.value + "-" + this->incarnation + "-" + std::to_string(++this->recordCounter)};
}

bool KeeperState::isMaintenanceLeader() const
{
    std::vector<ProcessId> keepers = {this->settings.name};
    for (const auto &[id, keeper] : this->membership.liveKeepers(this->clock.now())) {
        keepers.push_back(id);
    }
    return rendezvousLeader(keepers, "maintenance") == this->settings.name;
}

bool KeeperState::isLedgerLeader() const
{
    std::vector<ProcessId> keepers = {this->settings.name};
    for (const auto &[id, keeper] : this->membership.liveKeepers(this->clock.now())) {
        if (keeper.dataCentre == this->settings.dataCentre) {
            keepers.push_back(id);
        }
    }
    return rendezvousLeader(keepers, "ledger") == this->settings.name;
}

}
