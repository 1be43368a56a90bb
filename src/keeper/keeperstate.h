// State that the duties of a keeper share.
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

// Names of the log streams.
inline const std::string fleetStream = "fleet";
inline std::string jobsStream(const DataCentreId &dataCentre)
{
    return "jobs-" + dataCentre.value;
}

// Thread-safe buffer of the newest records of the fleet stream, for the gates and keepers that pull from this keeper.
class RecentRecords
{
public:
    void add(Offset offset, const std::string &payload);

    // Returns at most `limit` records after the offset, or nullopt if some of them are no longer in the buffer.
    std::optional<std::vector<LogBatch::Entry>> after(Offset offset, std::size_t limit) const;

    static constexpr std::size_t capacity = 4096;

private:
    mutable std::mutex mutex;
    std::deque<LogBatch::Entry> entries;
};

// The platform's instance listing as last read, with a version per instance so that followers can pull deltas. Thread-safe.
class ListingStore
{
public:
    void merge(const ListingDelta &delta);
    std::int64_t version() const;
    std::map<InstanceId, AddressedInstance> changedSince(std::int64_t version) const;
    InstanceListing listing() const;

private:
    mutable std::mutex mutex;
    std::map<InstanceId, AddressedInstance> instances;
    std::int64_t currentVersion = 0;
};

// Last status received from a gate or keeper.
struct ProcessStatus {
    DataCentreId dataCentre;
    Offset offset = 0;
    Revision revision = 0;
    int liveGates = 0;
    TimePoint lastSeen{};
};

// Membership in this keeper's local view: gates are learnt from their pulls, other keepers from status exchanges. The views of keepers may differ,
// so no decision that needs agreement depends on it. Thread-safe.
class Membership
{
public:
    void recordGate(const ProcessId &process, ProcessStatus status);
    void recordKeeper(const ProcessId &process, ProcessStatus status);
    std::map<ProcessId, ProcessStatus> liveGates(TimePoint now) const;
    std::map<ProcessId, ProcessStatus> liveKeepers(TimePoint now) const;

    // Counts the live gates of a data centre: those that pull from this keeper and those that its peers in the data centre report. Returns at
    // least 1.
    int gatesIn(const DataCentreId &dataCentre, TimePoint now) const;

    // A live gate pulls at least every two seconds.
    static constexpr std::chrono::seconds gateTimeout{5};

    // A keeper exchanges status with one peer per second in turn, so the interval between exchanges of two keepers grows with their number.
    static std::chrono::seconds keeperTimeout(std::size_t keepers)
    {
        return std::max(std::chrono::seconds(10), std::chrono::seconds(2 * keepers));
    }

private:
    mutable std::mutex mutex;
    std::map<ProcessId, ProcessStatus> gates;
    std::map<ProcessId, ProcessStatus> keepers;
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

    // Returns a record id that is unique across all processes and across restarts of this one.
    RecordId newRecordId();

    // Returns true if this keeper proposes maintenance. Only avoids duplicate proposals: several keepers may return true at a time.
    bool isMaintenanceLeader() const;

    // Returns true if this keeper releases expired claims and writes snapshots for this data centre's jobs stream.
    bool isLedgerLeader() const;

private:
    std::string incarnation = makeIncarnation();
    static std::string makeIncarnation();
};

}
