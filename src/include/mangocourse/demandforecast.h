// Forecasts the demand of pools whose load rises and falls in a regular cycle. Performs no I/O and has no clock of its own.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>

#include <mangocourse/clock.h>
#include <mangocourse/ids.h>

namespace MangoCourse {

// The demand that is expected of one pool. A turn is a time of high demand. Rates are in core-ms of finite work per second.
struct ExpectedDemand {
    // True while the pool is in a turn.
    bool isHigh = false;
    // Start of the present turn, or of the next one if the pool is quiet.
    TimePoint rise{};
    // Expected end of that turn.
    TimePoint fall{};
    // Start of the first turn after the present time; equals `rise` while the pool is quiet.
    TimePoint nextRise{};
    // Largest deviation of earlier turns from the expected times.
    Duration spread{};
    // Rate during a turn, its largest deviation in earlier turns, and the rate between turns.
    std::int64_t turnRate = 0;
    std::int64_t turnRateSpread = 0;
    std::int64_t quietRate = 0;
    // Number of turns from which this was learned.
    std::int32_t turns = 0;

    // Returns the rate that is expected at the time, which is not later than the end of the turn that starts at `nextRise`.
    std::int64_t rateAt(TimePoint time) const;

    bool operator==(const ExpectedDemand &) const = default;
};

// Learns from the rates that pools report when their turns begin and end. Not safe for concurrent use.
class DemandForecast
{
public:
    DemandForecast();
    ~DemandForecast();

    // Adds the rate that a pool reports at the time, in core-ms per second, which covers the work of about the last second. Times of one pool ascend;
    // a sample that is not later than the one before is ignored.
    void addSample(const ServiceId &service, std::int64_t rate, TimePoint at);
    // Forgets the pool.
    void remove(const ServiceId &service);
    // Returns std::nullopt unless the pool has a stable pattern: four turns at equal intervals and of similar length and height; or fewer of
    // its own if as many other pools as turns are missing have the same interval and turns of similar length. The pattern ends when a turn does
    // not come or does not end when expected, or when samples are missing.
    std::optional<ExpectedDemand> expected(const ServiceId &service, TimePoint now) const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
