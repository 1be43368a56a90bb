// Detects turns of high demand and the interval at which they recur.
#include <mangocourse/demandforecast.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <numeric>
#include <vector>

namespace MangoCourse {

namespace {

using std::chrono::milliseconds;

// A turn begins when the rate exceeds this share of the highest rate in memory and this multiple of the rate between turns.
constexpr double riseShare = 0.35;
constexpr double riseOverQuiet = 3.0;
// A turn ends when the rate falls below this share of its typical rate.
constexpr double fallShare = 0.3;
// Reported rates cover the last second, so that a rate falls below `fallShare` this long after the work has stopped arriving.
constexpr milliseconds fallLag{700};
// A fall counts once it has lasted this long, as the rate of few large jobs varies.
constexpr milliseconds fallConfirmation{200};
// Shorter turns are noise.
constexpr milliseconds minTurnLength{600};
// A turn that has lasted this long counts as a start.
constexpr milliseconds startConfirmation{400};
// Owners report a changed rate at once and an unchanged one every 1.5 s. After a longer gap between samples the present turn or quiet time is not counted.
constexpr milliseconds maxSampleGap{2500};
// A rate counts once for each such time until the next sample, so that the many samples of a changing rate do not outweigh the few of a steady one.
constexpr milliseconds rateStep{100};
// A start counts only if the pool was seen quiet for this long before it; a new reader gets several stored reports at once.
constexpr milliseconds minQuietSeen{400};
// A rate that exceeds this multiple of the typical rate of the present turn begins a new one: what came before was noise.
constexpr double restartFactor = 4.0;
// Time within which the highest rate in memory falls by half, so that a pool whose load shrinks for good is learned anew.
constexpr double levelHalfLifeSeconds = 60.0;
// Time constant of the rate between turns.
constexpr double quietSeconds = 3.0;
// Smallest rate of a turn, two cores.
constexpr double minTurnRate = 2000.0;
constexpr std::size_t maxTurns = 5;
constexpr std::size_t maxTurnSamples = 400;
// Intervals are equal if they differ from their mean by at most this share.
constexpr double intervalTolerance = 0.06;
// Turns are similar if the longest and the highest are at most this multiple of the shortest and the lowest.
constexpr double similarity = 1.4;
// A pool with this many starts has a pattern of its own. With one less it needs another pool with the same interval, with two less two, and so on; a
// pool with three turns counts twice. With fewer, pools with irregular demand have a pattern by chance every few minutes.
constexpr std::size_t ownStarts = 4;
constexpr milliseconds minSpread{100};
// Time by which a turn may start or end later than the earlier ones before the pattern counts as ended, beyond the spread.
constexpr milliseconds lateness{700};

double toSeconds(Duration time)
{
    return std::chrono::duration<double>(time).count();
}

Duration toDuration(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

double median(std::vector<double> values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

bool areSimilar(double one, double other)
{
    return std::max(one, other) <= similarity * std::min(one, other);
}

struct Turn {
    TimePoint start{};
    Duration length{};
    double rate = 0.0;
};

struct PoolPattern {
    // Turns that have ended, at most maxTurns.
    std::deque<Turn> turns;
    bool hasSample = false;
    TimePoint lastAt{};
    // Since when there are samples without a gap.
    TimePoint seenSince{};
    // Mean interval in seconds between the latest starts, or 0.
    double ownInterval = 0.0;
    // Highest rate in memory, and the rate between turns.
    double level = 0.0;
    double quietRate = 0.0;
    bool isHigh = false;
    // False if the present turn was not seen to begin.
    bool isStartKnown = false;
    TimePoint highSince{};
    std::optional<TimePoint> lowSince;
    // The rates of the present turn, one for each rateStep; the last sample, and until when it is among them.
    std::vector<double> rates;
    double lastRate = 0.0;
    TimePoint countedUntil{};

    bool isStartConfirmed() const
    {
        return this->isHigh && this->isStartKnown && this->lastAt - this->highSince >= startConfirmation;
    }

    // Returns the starts of the counted turns and of the present one.
    std::vector<TimePoint> starts() const
    {
        std::vector<TimePoint> starts;
        for (const Turn &turn : this->turns) {
            starts.push_back(turn.start);
        }
        if (this->isStartConfirmed()) {
            starts.push_back(this->highSince);
        }
        return starts;
    }

    // Returns the mean interval in seconds between the latest starts, or 0 if the intervals differ.
    double interval(const std::vector<TimePoint> &starts) const
    {
        if (starts.size() < 2) {
            return 0.0;
        }
        const double mean = toSeconds(starts.back() - starts.front()) / static_cast<double>(starts.size() - 1);
        for (std::size_t index = 1; index < starts.size(); ++index) {
            if (std::abs(toSeconds(starts[index] - starts[index - 1]) - mean) > intervalTolerance * mean) {
                return 0.0;
            }
        }
        return mean;
    }

    bool areTurnsSimilar() const
    {
        const auto [shortest, longest] = std::minmax_element(this->turns.begin(), this->turns.end(), [](const Turn &one, const Turn &other) {
            return one.length < other.length;
        });
        const auto [lowest, highest] = std::minmax_element(this->turns.begin(), this->turns.end(), [](const Turn &one, const Turn &other) {
            return one.rate < other.rate;
        });
        return areSimilar(toSeconds(longest->length), toSeconds(shortest->length)) && areSimilar(highest->rate, lowest->rate);
    }

    void startTurn(TimePoint at)
    {
        this->isStartKnown = at - this->seenSince >= minQuietSeen;
        this->isHigh = true;
        this->highSince = at;
        this->countedUntil = at;
        this->lowSince.reset();
        this->rates.clear();
    }

    void endTurn(TimePoint end)
    {
        this->isHigh = false;
        const Duration length = end - this->highSince - fallLag;
        const bool isNoise = length < minTurnLength;
        if (isNoise || this->rates.empty()) {
            return;
        }
        if (!this->isStartKnown) {
            this->turns.clear();
            return;
        }
        this->turns.push_back(Turn{this->highSince, length, median(this->rates)});
        // Only turns since the last irregular interval count.
        while (this->turns.size() > maxTurns || (this->turns.size() > 1 && (this->interval(this->starts()) == 0.0 || !this->areTurnsSimilar()))) {
            this->turns.pop_front();
        }
    }

    // Adds a rate that follows the one before without a gap, or is the first after one.
    void addRate(double value, double elapsed, TimePoint at)
    {
        if (!this->isHigh) {
            if (value <= std::max({riseShare * this->level, riseOverQuiet * this->quietRate, minTurnRate})) {
                const bool isFirst = at == this->seenSince;
                this->quietRate += (value - this->quietRate) * (isFirst ? 1.0 : std::min(1.0, elapsed / quietSeconds));
                return;
            }
            this->startTurn(at);
            this->lastRate = value;
        }
        for (; this->countedUntil + rateStep <= at && this->rates.size() < maxTurnSamples; this->countedUntil += rateStep) {
            this->rates.push_back(this->lastRate);
        }
        this->lastRate = value;
        if (at - this->highSince >= minTurnLength && value > restartFactor * median(this->rates)) {
            this->startTurn(at);
        }
        const double typical = this->rates.empty() ? value : median(this->rates);
        if (at - this->highSince >= minTurnLength) {
            this->level = std::max(this->level, typical);
        }
        if (value >= fallShare * std::max(typical, riseShare * this->level)) {
            this->lowSince.reset();
            return;
        }
        if (!this->lowSince) {
            this->lowSince = at;
        }
        if (at - *this->lowSince >= fallConfirmation) {
            this->endTurn(*this->lowSince);
        }
    }
};

}

std::int64_t ExpectedDemand::rateAt(TimePoint time) const
{
    const bool isInTurn = this->isHigh ? time < this->fall || time >= this->nextRise : time >= this->rise && time < this->fall;
    return isInTurn ? this->turnRate : this->quietRate;
}

class DemandForecast::Private
{
public:
    std::map<ServiceId, PoolPattern> pools;

    // Returns the interval that the pool shares with the required number of others whose turns have a similar length, or 0. `own` is the interval that the
    // pool has seen, or 0.
    double sharedInterval(const ServiceId &service, double own, std::size_t required) const
    {
        const Duration length = this->pools.at(service).turns.back().length;
        std::vector<double> others;
        for (const auto &[id, pool] : this->pools) {
            if (id != service && pool.ownInterval > 0.0 && areSimilar(toSeconds(pool.turns.back().length), toSeconds(length))) {
                others.insert(others.end(), pool.turns.size() > 2 ? 2 : 1, pool.ownInterval);
            }
        }
        if (others.empty()) {
            return 0.0;
        }
        const double middle = own > 0.0 ? own : median(others);
        std::erase_if(others, [middle](double interval) {
            return std::abs(interval - middle) > intervalTolerance * middle;
        });
        if (others.size() < required) {
            return 0.0;
        }
        return own > 0.0 ? own : std::accumulate(others.begin(), others.end(), 0.0) / static_cast<double>(others.size());
    }
};

DemandForecast::DemandForecast()
    : d(std::make_unique<Private>())
{
}

DemandForecast::~DemandForecast() = default;

void DemandForecast::addSample(const ServiceId &service, std::int64_t rate, TimePoint at)
{
    PoolPattern &pool = this->d->pools[service];
    if (pool.hasSample && at <= pool.lastAt) {
        return;
    }
    const double value = static_cast<double>(std::max<std::int64_t>(rate, 0));
    const bool isFirst = !pool.hasSample;
    const double elapsed = isFirst ? 0.0 : toSeconds(at - pool.lastAt);
    const bool hasGap = isFirst || at - pool.lastAt > maxSampleGap;
    pool.hasSample = true;
    pool.lastAt = at;
    pool.level *= std::exp2(-elapsed / levelHalfLifeSeconds);
    if (hasGap) {
        // What happened in between is unknown: a turn that is under way may have begun at any time in it.
        pool.turns.clear();
        pool.isHigh = false;
        pool.seenSince = at;
    }
    pool.addRate(value, elapsed, at);
    pool.ownInterval = pool.interval(pool.starts());
}

void DemandForecast::remove(const ServiceId &service)
{
    this->d->pools.erase(service);
}

std::optional<ExpectedDemand> DemandForecast::expected(const ServiceId &service, TimePoint now) const
{
    const auto known = this->d->pools.find(service);
    if (known == this->d->pools.end() || known->second.turns.empty() || now - known->second.lastAt > maxSampleGap) {
        return std::nullopt;
    }
    const PoolPattern &pool = known->second;
    const std::vector<TimePoint> starts = pool.starts();
    const double own = pool.interval(starts);
    const bool isIrregular = starts.size() > 1 && own == 0.0;
    const double interval = starts.size() >= ownStarts ? own : this->d->sharedInterval(service, own, ownStarts - starts.size());
    if (isIrregular || interval <= 0.0) {
        return std::nullopt;
    }
    // The next start continues the line through the middle of the known ones, whose errors cancel out.
    double offset = 0.0;
    for (std::size_t index = 0; index < starts.size(); ++index) {
        offset += toSeconds(starts[index] - starts.front()) - interval * static_cast<double>(index);
    }
    offset /= static_cast<double>(starts.size());
    double deviation = toSeconds(minSpread);
    for (std::size_t index = 0; index < starts.size(); ++index) {
        deviation = std::max(deviation, std::abs(toSeconds(starts[index] - starts.front()) - interval * static_cast<double>(index) - offset));
    }
    std::vector<double> lengths;
    std::vector<double> rates;
    for (const Turn &turn : pool.turns) {
        lengths.push_back(toSeconds(turn.length));
        rates.push_back(turn.rate);
    }
    const double length = median(lengths);
    const double rate = median(rates);
    double rateDeviation = 0.0;
    for (const double other : rates) {
        rateDeviation = std::max(rateDeviation, std::abs(other - rate));
    }
    if (length > 0.6 * interval) {
        return std::nullopt;
    }
    ExpectedDemand expected;
    expected.spread = toDuration(deviation);
    expected.nextRise = starts.front() + toDuration(offset + interval * static_cast<double>(starts.size()));
    // A rate that has fallen and stays low is not reported again for a while.
    expected.isHigh = pool.isHigh && pool.isStartKnown && !(pool.lowSince && now - *pool.lowSince >= fallConfirmation);
    if (expected.isHigh && !pool.isStartConfirmed()) {
        // The present turn is not among the starts yet. One that comes too early may be another pattern.
        if (expected.nextRise - pool.highSince > toDuration(intervalTolerance * interval) + expected.spread) {
            return std::nullopt;
        }
        expected.nextRise += toDuration(interval);
    }
    expected.rise = expected.isHigh ? pool.highSince : expected.nextRise;
    expected.fall = expected.rise + toDuration(length);
    const TimePoint latest = expected.isHigh ? expected.fall + fallLag : expected.rise;
    if (now > latest + 2 * expected.spread + lateness) {
        return std::nullopt;
    }
    expected.turnRate = static_cast<std::int64_t>(rate);
    expected.turnRateSpread = static_cast<std::int64_t>(rateDeviation);
    expected.quietRate = static_cast<std::int64_t>(pool.quietRate);
    expected.turns = static_cast<std::int32_t>(pool.turns.size());
    return expected;
}

}
