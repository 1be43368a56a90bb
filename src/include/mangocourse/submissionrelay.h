// Choice between appends to the store and appends through the partition's appender, which combines the records of many gateways.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "clock.h"

namespace MangoCourse {

enum class AppendRoute {
    // To the store.
    Direct,
    // Through the process that owns the partition.
    Relayed,
};

// How a call ended that appends records.
enum class AppendAnswer {
    Done,
    // Nothing was stored.
    Refused,
    // The records may have been stored.
    Unanswered,
};

// Chooses the route of one gateway's appends to one partition by their times and refusals. Has no clock of its own.
//
// A partition carries out one append at a time, so that the wait of a gateway grows with the number of gateways that append. A gateway whose appends
// are slow or refused therefore relays its records. It tries the store again once the appender reports fast appends, after a time that doubles with each
// attempt that fails: a store that is slow for all must not get an append from each gateway. If only the appender is slow, the attempt after 30 to 45 s
// ends the relay.
class RelayPolicy
{
public:
    // Part of the callers' objective that does not depend on the work. A record waits for the append in progress and for its own, after the reads that
    // precede it, which take as long; so an append may take a quarter of it.
    static constexpr std::chrono::milliseconds objective{600};
    static constexpr std::chrono::milliseconds slowAppend = objective / 4;
    // An append that takes this long fails the objective by itself: a single one is enough.
    static constexpr std::chrono::milliseconds verySlowAppend = objective / 2;
    // Appends have to be faster than this before the store is used again.
    static constexpr std::chrono::milliseconds fastAppend = slowAppend / 2;
    // One slow or refused append may be due to a pause of this process or to a broken connection.
    static constexpr int appendsInRow = 2;

    RelayPolicy() = default;
    // `seed`: differs by gateway and partition, so that the attempts that do not depend on the appender's reports are spread over time.
    explicit RelayPolicy(std::uint64_t seed);

    AppendRoute route(TimePoint now) const;

    void beginDirect(TimePoint now);
    // `startedAt`: the time that was passed to beginDirect().
    void endDirect(AppendAnswer answer, TimePoint startedAt, TimePoint now);
    // `appendTime`: time of the appender's last append to the store, if reported. The relay stays open after a failed call if appends are slow for the
    // appender as well: direct appends of all gateways would make them slower.
    void endRelayed(AppendAnswer answer, std::optional<Duration> appendTime, TimePoint startedAt, TimePoint now);
    // The relay cannot be used until then.
    void closeRelay(TimePoint until);

    // Returns true if the latest direct append was refused, not long ago.
    bool isDirectRefused(TimePoint now) const;
    // Returns the time of the latest direct append, or of the one in progress if that is longer; zero if there was none recently.
    Duration directTime(TimePoint now) const;
    // Returns how long a record would wait that is added now to those that wait on the route.
    Duration expectedWait(AppendRoute route, TimePoint now) const;
    // Returns when a caller may try again whose record was refused: the time in which the waiting records are appended, or as long as appends have failed or
    // been slow without a break, as that is the best estimate of how long this goes on. `waitingRecords`: in this gateway.
    std::chrono::milliseconds retryAfter(AppendRoute route, std::size_t waitingRecords, TimePoint now) const;

private:
    void startRelaying(AppendAnswer answer, TimePoint now);
    bool isProbeDue(TimePoint now) const;
    std::optional<TimePoint> oldestDirect() const;

    // True while records are to be relayed.
    bool isRelaying = false;
    TimePoint nextProbeAt{};
    // When the store is tried whatever the appender reports.
    TimePoint unconditionalProbeAt{};
    Duration probeJitter{};
    Duration probeDelay{};
    TimePoint relayClosedUntil{};
    std::optional<TimePoint> lastRelayedAt;
    std::optional<TimePoint> relayEndedAt;
    // Starts of the direct appends in progress.
    std::vector<TimePoint> directStarts;
    int slowInRow = 0;
    int refusedInRow = 0;
    std::optional<TimePoint> refusedAt;
    // Start of the current series of slow, refused and unanswered appends.
    std::optional<TimePoint> degradedSince;
    Duration lastDirectTime{};
    TimePoint lastDirectAt{};
    Duration lastRelayTime{};
    // What the appender has reported since the latest direct append that was slow or refused.
    std::optional<Duration> appenderTime;
};

}
