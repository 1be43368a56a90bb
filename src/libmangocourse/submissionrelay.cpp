// Choice of the route of appends.
#include <mangocourse/submissionrelay.h>

#include <algorithm>

namespace MangoCourse {

namespace {

using std::chrono::milliseconds;

// An attempt to return to direct appends costs a slow or refused append.
constexpr milliseconds minProbeDelay{500};
constexpr milliseconds maxProbeDelay{8000};
// Without a report of fast appends the store is tried after this time and a jitter. 37 gateways then take a fifth of a store whose appends take 240 ms.
constexpr milliseconds unconditionalProbeDelay{30'000};
constexpr milliseconds maxProbeJitter{15'000};
// Direct appends that last this long without trouble end the series of attempts.
constexpr milliseconds stableTime{10'000};
// Measured times are not used any longer than this.
constexpr milliseconds measureLifetime{2000};
// Estimate of the number of submissions in one append, for the retry delay.
constexpr std::size_t recordsPerAppend = 200;
// Slow spells of the store last up to 5 s; callers make up to four more attempts, of 3 s each.
constexpr milliseconds minRetryAfter{200};
constexpr milliseconds maxRetryAfter{5000};

}

RelayPolicy::RelayPolicy(std::uint64_t seed)
    : probeJitter(milliseconds(seed % static_cast<std::uint64_t>(maxProbeJitter.count())))
{
}

std::optional<TimePoint> RelayPolicy::oldestDirect() const
{
    const auto oldest = std::min_element(this->directStarts.begin(), this->directStarts.end());
    return oldest == this->directStarts.end() ? std::nullopt : std::optional(*oldest);
}

bool RelayPolicy::isProbeDue(TimePoint now) const
{
    const bool isAppenderFast = this->appenderTime && *this->appenderTime < fastAppend;
    return this->directStarts.empty() && now >= (isAppenderFast ? this->nextProbeAt : this->unconditionalProbeAt);
}

AppendRoute RelayPolicy::route(TimePoint now) const
{
    if (now < this->relayClosedUntil) {
        return AppendRoute::Direct;
    }
    if (this->isRelaying) {
        return this->isProbeDue(now) ? AppendRoute::Direct : AppendRoute::Relayed;
    }
    const std::optional<TimePoint> oldest = this->oldestDirect();
    return oldest && now - *oldest >= verySlowAppend ? AppendRoute::Relayed : AppendRoute::Direct;
}

void RelayPolicy::startRelaying(AppendAnswer answer, TimePoint now)
{
    const bool isNewSeries = !this->isRelaying && (!this->relayEndedAt || now - *this->relayEndedAt > stableTime);
    this->probeDelay = isNewSeries ? minProbeDelay : std::clamp<Duration>(2 * this->probeDelay, minProbeDelay, maxProbeDelay);
    this->isRelaying = true;
    this->appenderTime.reset();
    // A slow append may be due to a pause of this process. The appender's first report of fast appends shows that, and ends the relay.
    const bool isProbedAtOnce = isNewSeries && answer != AppendAnswer::Refused;
    this->nextProbeAt = isProbedAtOnce ? now : now + this->probeDelay;
    this->unconditionalProbeAt = now + unconditionalProbeDelay + this->probeJitter;
}

void RelayPolicy::beginDirect(TimePoint now)
{
    this->directStarts.push_back(now);
}

void RelayPolicy::endDirect(AppendAnswer answer, TimePoint startedAt, TimePoint now)
{
    const auto started = std::find(this->directStarts.begin(), this->directStarts.end(), startedAt);
    if (started != this->directStarts.end()) {
        this->directStarts.erase(started);
    }
    const Duration took = now - startedAt;
    if (answer == AppendAnswer::Refused) {
        this->degradedSince = this->degradedSince.value_or(startedAt);
        this->refusedAt = now;
        if (++this->refusedInRow >= appendsInRow || this->isRelaying) {
            this->startRelaying(answer, now);
        }
        return;
    }
    this->refusedInRow = 0;
    this->refusedAt.reset();
    this->lastDirectTime = took;
    this->lastDirectAt = now;
    const bool isFastEnough = took < (this->isRelaying ? fastAppend : slowAppend);
    if (answer == AppendAnswer::Done && isFastEnough) {
        this->slowInRow = 0;
        this->degradedSince.reset();
        if (this->isRelaying) {
            this->isRelaying = false;
            this->relayEndedAt = now;
        }
        return;
    }
    this->degradedSince = this->degradedSince.value_or(startedAt);
    ++this->slowInRow;
    const bool isEnough = this->slowInRow >= appendsInRow || took >= verySlowAppend || (answer == AppendAnswer::Unanswered && took >= slowAppend);
    if (isEnough || this->isRelaying) {
        this->startRelaying(answer, now);
    }
}

void RelayPolicy::endRelayed(AppendAnswer answer, std::optional<Duration> appendTime, TimePoint startedAt, TimePoint now)
{
    this->lastRelayTime = now - startedAt;
    if (appendTime) {
        this->appenderTime = *appendTime;
        this->lastRelayedAt = now;
    }
    const bool isAppenderSlow = appendTime && *appendTime >= slowAppend;
    if (answer != AppendAnswer::Done && !isAppenderSlow) {
        // The store may be better than the appender.
        this->closeRelay(now + (answer == AppendAnswer::Refused ? minProbeDelay : 4 * minProbeDelay));
    }
}

void RelayPolicy::closeRelay(TimePoint until)
{
    this->relayClosedUntil = std::max(this->relayClosedUntil, until);
}

bool RelayPolicy::isDirectRefused(TimePoint now) const
{
    return this->refusedAt && now - *this->refusedAt < measureLifetime;
}

Duration RelayPolicy::directTime(TimePoint now) const
{
    const Duration measured = now - this->lastDirectAt < measureLifetime ? this->lastDirectTime : Duration::zero();
    const std::optional<TimePoint> oldest = this->oldestDirect();
    return oldest ? std::max<Duration>(measured, now - *oldest) : measured;
}

Duration RelayPolicy::expectedWait(AppendRoute route, TimePoint now) const
{
    if (route == AppendRoute::Relayed) {
        const bool isRecent = this->lastRelayedAt && now - *this->lastRelayedAt < measureLifetime;
        return isRecent ? std::max<Duration>(this->lastRelayTime, 2 * this->appenderTime.value_or(Duration::zero())) : Duration::zero();
    }
    const Duration own = this->directTime(now);
    const std::optional<TimePoint> oldest = this->oldestDirect();
    const Duration rest = oldest ? std::max<Duration>(own - (now - *oldest), Duration::zero()) : Duration::zero();
    return own + rest;
}

milliseconds RelayPolicy::retryAfter(AppendRoute route, std::size_t waitingRecords, TimePoint now) const
{
    const auto appends = static_cast<std::int64_t>(1 + waitingRecords / recordsPerAppend);
    const Duration drained = appends * this->expectedWait(route, now);
    const Duration degraded = this->degradedSince ? now - *this->degradedSince : Duration::zero();
    return std::clamp(std::chrono::ceil<milliseconds>(std::max(drained, degraded)), minRetryAfter, maxRetryAfter);
}

}
