// What the duties of a keeper share.
#pragma once

#include <deque>
#include <map>
#include <mutex>
#include <optional>

#include <mangocourse/clock.h>
#include <mangocourse/fleetstate.h>
#include <mangocourse/guarded.h>
#include <mangocourse/jobledger.h>
#include <mangocourse/processsettings.h>
#include <mangocourse/streamfollower.h>
#include <mangocourse/supervisor.h>

#include "appender.h"
#include "metrics.h"
#include "platformclient.h"

namespace MangoCourse {

// Names of the streams.
inline const std::string fleetStream = "fleet";
inline std::string jobsStream(const DataCentreId &dataCentre)
{
    return "jobs-" + dataCentre.value;
}

// The newest records of the fleet stream, kept for gates and peers that follow this keeper.
class RecentRecords
{
public:
    void add(Offset offset, const std::string &payload);

    // Returns the records after the offset, or nothing where some are no longer kept.
    std::optional<std::vector<LogBatch::Entry>> after(Offset offset, std::size_t limit) const;

    static constexpr std::size_t capacity = 4096;

private:
    mutable std::mutex mutex;
    std::deque<LogBatch::Entry> entries;
};

// The instance list as this keeper last read it, with versions so that followers get deltas.
class ListingStore
{
public:
    void merge(const ListingDelta &delta);
    std::int64_t version() const;
    std::map<InstanceId, AddressedInstance> changedSince(std::int64_t version) const;
    InstanceListing listing() const;

private:
    mutable std::mutex mutex;
    std::map<InstanceId, AddressedInstance> lines;
    std::int64_t currentVersion = 0;
};

// A process that was heard of lately.
struct SeenProcess {
    DataCentreId dataCentre;
    Offset offset = 0;
    Revision revision = 0;
    int liveGates = 0;
    TimePoint seen{};
};

// Membership as this keeper sees it: its gates by their pulls, the other keepers by exchanges. Nothing agreed rests on it.
class Membership
{
public:
    void sawGate(const ProcessId &process, SeenProcess seen);
    void sawKeeper(const ProcessId &process, SeenProcess seen);
    std::map<ProcessId, SeenProcess> liveGates(TimePoint now) const;
    std::map<ProcessId, SeenProcess> liveKeepers(TimePoint now) const;

    // Counts the live gates of a data centre: this keeper's own and those that its peers there report.
    int gatesIn(const DataCentreId &dataCentre, TimePoint now) const;

    // A gate pulls at least every two seconds.
    static constexpr std::chrono::seconds gateTimeout{5};

    // Exchanges go round one peer a second, so a keeper is heard of less often the more there are.
    static std::chrono::seconds keeperTimeout(std::size_t keepers)
    {
        return std::max(std::chrono::seconds(10), std::chrono::seconds(2 * keepers));
    }

private:
    mutable std::mutex mutex;
    std::map<ProcessId, SeenProcess> gates;
    std::map<ProcessId, SeenProcess> keepers;
};

struct KeeperState {
    explicit KeeperState(ProcessSettings given)
        : settings(std::move(given))
        , appender(settings.appendInterval)
    {
    }

    ProcessSettings settings;
    Guarded<FleetState> fleet;
    Guarded<JobLedger> ledger;
    FollowerStatus fleetStatus;
    FollowerStatus ledgerStatus;
    RecentRecords recent;
    ListingStore listing;
    Membership membership;
    Appender appender;
    Metrics metrics;
    SteadyClock clock;
    std::atomic<std::uint64_t> recordCounter{0};
    std::atomic<std::uint64_t> maintenanceRounds{0};

    // Returns a record id that no other process and no earlier life of this one has used.
    RecordId newRecordId();

    // Returns true where this keeper proposes maintenance; only a way to save double proposals.
    bool isLead() const;

    // The same for the housekeeping of this data centre's jobs stream.
    bool isLedgerLead() const;

private:
    std::string incarnation = makeIncarnation();
    static std::string makeIncarnation();
};

}
