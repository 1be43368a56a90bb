// Shares and use of the accounts in one pool.
#include <mangocourse/quotadivision.h>

#include "quotaamounts_pvt.h"

namespace MangoCourse {

namespace {

using std::chrono::milliseconds;

// An item that is refused for this long goes before the account's other items, which would otherwise take what ends.
constexpr milliseconds reservationDelay{1000};
// The reservation ends after this time, because the runs beside which the item does not fit may never end. For as long again no item of the step is
// reserved for.
constexpr milliseconds reservationTime{4000};
// An item that no plan has asked about for this long is no longer waiting. The longest time between two plans is half a second.
constexpr milliseconds heldItemExpiry{1200};

bool isOfSameStep(const ItemId &one, const ItemId &other)
{
    return one.job == other.job && one.occurrence == other.occurrence && one.step == other.step;
}

// Returns true if the work item may start beside what is in use.
bool fitsBeside(const AccountUse &use, const Resources &inUse, const Resources &demand)
{
    const Amounts used = toAmounts(inUse);
    const Amounts added = toAmounts(demand);
    const Amounts share = toAmounts(use.share);
    const Amounts limit = toAmounts(use.limit);
    for (std::size_t kind = 0; kind < resourceKinds; ++kind) {
        const bool mayRunAlone = added[kind] > limit[kind] && used[kind] == 0 && share[kind] >= limit[kind];
        if (added[kind] > 0 && used[kind] + added[kind] > share[kind] && !mayRunAlone) {
            return false;
        }
    }
    return true;
}

}

Resources shareOf(const QuotaDivision *division, const Resources *own, const ServiceId &pool, std::int64_t pools)
{
    const Amounts limits = division == nullptr ? Amounts{} : toAmounts(division->limit);
    const Amounts ownLimits = own == nullptr ? Amounts{} : toAmounts(*own);
    Amounts shares{};
    if (division != nullptr) {
        const auto known = division->shares.find(pool);
        shares = known == division->shares.end() ? Amounts{} : toAmounts(known->second.share);
    }
    for (std::size_t kind = 0; kind < resourceKinds; ++kind) {
        if (limits[kind] == 0) {
            shares[kind] = ownLimits[kind] == 0 ? unlimitedAmount : ownLimits[kind] / std::max<std::int64_t>(1, pools);
        } else if (ownLimits[kind] > 0 && ownLimits[kind] < limits[kind]) {
            // The planner has not divided the lower limit yet. The sum of the scaled shares is within it.
            shares[kind] = scaleDown(shares[kind], ownLimits[kind], limits[kind]);
        }
    }
    return toResources(shares);
}

PoolQuota::PoolQuota(ServiceId service)
    : service(std::move(service))
{
}

bool PoolQuota::setConfig(const FleetConfig &config)
{
    this->limits.clear();
    if (config.accounts) {
        for (const ClientAccount &account : config.accounts->all()) {
            if (account.hasLimit()) {
                this->limits.emplace(account.id, account.limit);
            }
        }
    }
    this->pools = std::count_if(config.services.begin(), config.services.end(), [](const auto &entry) {
        return !entry.second.isStandby;
    });
    return this->updateAll();
}

bool PoolQuota::setDivisions(std::shared_ptr<const QuotaDivisions> newDivisions)
{
    if (newDivisions && newDivisions != this->divisions && this->hasOtherShare(*newDivisions)) {
        this->shareNumber = newDivisions->number;
    }
    this->divisions = std::move(newDivisions);
    return this->updateAll();
}

bool PoolQuota::hasOtherShare(const QuotaDivisions &newDivisions) const
{
    using ByAccount = std::map<AccountId, std::shared_ptr<const QuotaDivision>>;
    // The limit belongs to it: a resource that was not limited may get a share of zero.
    const auto shareIn = [this](const ByAccount &byAccount, const AccountId &account) -> std::optional<std::pair<Resources, Resources>> {
        const auto division = byAccount.find(account);
        if (division == byAccount.end()) {
            return std::nullopt;
        }
        const auto share = division->second->shares.find(this->service);
        return std::pair(division->second->limit, share == division->second->shares.end() ? Resources{} : share->second.share);
    };
    const ByAccount none;
    const ByAccount &before = this->divisions ? this->divisions->byAccount : none;
    const auto isOther = [&](const auto &entry) {
        const auto known = before.find(entry.first);
        const bool isSameRecord = known != before.end() && known->second == entry.second;
        return !isSameRecord && shareIn(before, entry.first) != shareIn(newDivisions.byAccount, entry.first);
    };
    return std::any_of(newDivisions.byAccount.begin(), newDivisions.byAccount.end(), isOther)
        || std::any_of(before.begin(), before.end(), [&newDivisions](const auto &entry) {
               return !newDivisions.byAccount.contains(entry.first);
           });
}

bool PoolQuota::updateAll()
{
    const bool hasDividedLimit
        = !this->hasLimits && this->divisions && std::any_of(this->divisions->byAccount.begin(), this->divisions->byAccount.end(), [](const auto &entry) {
              return entry.second->limit != Resources{};
          });
    const bool becomesActive = !this->hasLimits && (!this->limits.empty() || hasDividedLimit);
    this->hasLimits = this->hasLimits || becomesActive;
    for (auto &[account, use] : this->accounts) {
        this->applyShare(account, use);
    }
    return becomesActive;
}

void PoolQuota::applyShare(const AccountId &account, AccountUse &use) const
{
    const QuotaDivision *division = nullptr;
    if (this->divisions) {
        const auto found = this->divisions->byAccount.find(account);
        division = found == this->divisions->byAccount.end() ? nullptr : found->second.get();
    }
    const auto own = this->limits.find(account);
    const Resources *ownLimit = own == this->limits.end() ? nullptr : &own->second;
    use.share = shareOf(division, ownLimit, this->service, this->pools);
    Amounts limit = toAmounts(division == nullptr ? Resources{} : division->limit);
    const Amounts configured = toAmounts(ownLimit == nullptr ? Resources{} : *ownLimit);
    for (std::size_t kind = 0; kind < resourceKinds; ++kind) {
        limit[kind] = limit[kind] == 0 ? unlimitedAmount : limit[kind];
        limit[kind] = configured[kind] == 0 ? limit[kind] : std::min(limit[kind], configured[kind]);
    }
    use.limit = toResources(limit);
    use.isLimited = limit != Amounts{unlimitedAmount, unlimitedAmount, unlimitedAmount};
}

AccountUse *PoolQuota::find(const AccountId &account)
{
    if (!this->hasLimits || account.isEmpty()) {
        return nullptr;
    }
    const auto [use, isNew] = this->accounts.try_emplace(account);
    if (isNew) {
        this->applyShare(account, use->second);
    }
    return &use->second;
}

const std::map<AccountId, AccountUse> &PoolQuota::uses() const
{
    return this->accounts;
}

void PoolQuota::clearUncertain()
{
    this->unknownCapacity = Resources{};
    this->isCapacityUnknown = false;
    if (std::exchange(this->hasUncertainStarts, false)) {
        for (auto &[account, use] : this->accounts) {
            use.uncertain = Resources{};
        }
    }
}

void PoolQuota::addUncertain(const AccountId &account, const Resources &demand)
{
    if (AccountUse *use = this->find(account)) {
        use->uncertain += demand;
        this->hasUncertainStarts = true;
    }
}

void PoolQuota::addUnknownCapacity(const std::optional<Resources> &capacity)
{
    this->isCapacityUnknown = this->isCapacityUnknown || !capacity;
    this->unknownCapacity += capacity.value_or(Resources{});
}

bool PoolQuota::isUsageComplete() const
{
    return !this->isCapacityUnknown && this->unknownCapacity == Resources{};
}

Resources PoolQuota::usedOf(const AccountUse &use) const
{
    Resources used = use.running;
    used += use.uncertain;
    used += this->unknownCapacity;
    return used;
}

bool PoolQuota::fits(const AccountUse &use, const Resources &demand) const
{
    if (!use.isLimited) {
        return true;
    }
    if (!this->divisions || this->isCapacityUnknown) {
        // The share or the use is not known.
        return false;
    }
    return fitsBeside(use, this->usedOf(use), demand);
}

bool PoolQuota::mayStart(AccountUse &use, const ItemId &item, const Resources &demand, TimePoint now)
{
    if (!use.isLimited) {
        return true;
    }
    if (!use.heldItem.job.isEmpty() && now - use.heldSince >= reservationDelay + reservationTime) {
        use.releasedItem = std::exchange(use.heldItem, ItemId{});
        use.releasedAt = now;
    }
    const bool isHeldKnown = !use.heldItem.job.isEmpty() && now - use.heldSeenAt <= heldItemExpiry;
    if (isHeldKnown && !isOfSameStep(use.heldItem, item) && now - use.heldSince >= reservationDelay) {
        return false;
    }
    if (this->fits(use, demand)) {
        if (isOfSameStep(use.heldItem, item)) {
            use.heldItem = ItemId{};
        }
        return true;
    }
    if (!this->divisions || this->isCapacityUnknown || !fitsBeside(use, this->unknownCapacity, demand)) {
        return false;
    }
    const bool isReleased = isOfSameStep(use.releasedItem, item) && now - use.releasedAt < reservationTime;
    if (!isHeldKnown && !isReleased) {
        use.heldItem = item;
        use.heldSince = now;
    }
    if (isOfSameStep(use.heldItem, item)) {
        use.heldSeenAt = now;
    }
    return false;
}

bool PoolQuota::isExceededBy(const AccountUse &use, const Resources &demand) const
{
    if (!use.isLimited) {
        return false;
    }
    AccountUse others = use;
    others.running -= demand;
    return !this->fits(others, demand);
}

void PoolQuota::noteUsage(TimePoint now, TimePoint confirmedAt)
{
    if (this->unconfirmed && confirmedAt >= this->unconfirmed->first) {
        this->confirmed = std::move(this->unconfirmed->second);
        this->unconfirmed.reset();
    }
    if (this->unconfirmed) {
        return;
    }
    QuotaUsage usage{this->appliedNumber(), this->shareNumber, this->divisions != nullptr && this->isUsageComplete(), {}};
    for (const auto &[account, use] : this->accounts) {
        Resources bound = use.running;
        bound += use.uncertain;
        if (bound != Resources{}) {
            usage.running.emplace(account, bound);
        }
    }
    this->unconfirmed.emplace(now, std::move(usage));
}

const QuotaUsage &PoolQuota::confirmedUsage() const
{
    return this->confirmed;
}

std::int64_t PoolQuota::appliedNumber() const
{
    return this->divisions ? this->divisions->number : 0;
}

}
