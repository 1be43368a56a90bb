// Positions and rates of client accounts.
#include <mangocourse/fairshare.h>

#include <algorithm>

namespace MangoCourse {

double effectiveWeight(double configured)
{
    return std::max(configured, minAccountWeight);
}

double dominantShare(const Resources &running, const Resources &capacity)
{
    const auto fraction = [](std::int64_t used, std::int64_t total) {
        return total > 0 ? static_cast<double>(used) / static_cast<double>(total) : 0.0;
    };
    return std::max({fraction(running.cpu, capacity.cpu), fraction(running.memory, capacity.memory), fraction(running.accelerators, capacity.accelerators)});
}

TokenBucket::TokenBucket(double rate)
    : rate(rate)
    , tokens(std::max(1.0, rate))
{
}

double TokenBucket::size() const
{
    return std::max(1.0, this->rate);
}

void TokenBucket::setRate(double newRate)
{
    this->rate = newRate;
    this->tokens = this->isUsed ? std::min(this->tokens, this->size()) : this->size();
}

bool TokenBucket::take(WallTime acceptedAt)
{
    if (!this->isUsed) {
        this->isUsed = true;
        this->filledAt = acceptedAt;
    } else if (acceptedAt > this->filledAt) {
        const double seconds = std::chrono::duration<double>(acceptedAt - this->filledAt).count();
        this->tokens = std::min(this->size(), this->tokens + seconds * this->rate);
        this->filledAt = acceptedAt;
    }
    // A thousandth of a token allows for rounding in the sum of many short intervals.
    if (this->tokens < 0.999) {
        return false;
    }
    this->tokens = std::max(0.0, this->tokens - 1.0);
    return true;
}

AccountShare &AccountShares::entry(const AccountId &id)
{
    const auto [found, isNew] = this->shares.try_emplace(id);
    AccountShare &share = found->second;
    if (isNew) {
        share.id = id;
        share.weight = effectiveWeight(this->weightOf && !id.isEmpty() ? this->weightOf(id) : defaultAccountWeight);
        share.bucket = TokenBucket(share.weight);
    }
    return share;
}

void AccountShares::setWeights(std::function<double(const AccountId &)> newWeightOf)
{
    this->weightOf = std::move(newWeightOf);
    for (auto &[id, share] : this->shares) {
        share.weight = effectiveWeight(this->weightOf && !id.isEmpty() ? this->weightOf(id) : defaultAccountWeight);
        share.bucket.setRate(share.weight);
    }
}

void AccountShares::addOpenJob(AccountShare &share)
{
    this->accountsWithJobs += share.openJobs == 0 ? 1 : 0;
    ++share.openJobs;
}

void AccountShares::removeOpenJob(AccountShare &share)
{
    --share.openJobs;
    this->accountsWithJobs -= share.openJobs == 0 ? 1 : 0;
}

void AccountShares::noteStart(AccountShare &share, TimePoint now)
{
    share.lastStart = ++this->starts;
    share.lastStartAt = now;
}

void AccountShares::noteOverdueTurn(AccountShare &share, TimePoint now)
{
    share.lastOverdueTurnAt = now;
    this->startsBeforeOverdueTurn = this->starts + startsPerOverdueTurn - 1;
}

}
