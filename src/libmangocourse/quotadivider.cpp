// The planner's division of the accounts' limits.
#include <mangocourse/quotadivision.h>

#include <set>

#include <mangocourse/fleetplanner.h>

#include "quotashares_pvt.h"

namespace MangoCourse {

namespace {

using std::chrono::milliseconds;

// A pool that is not in the configuration keeps its share for this long after its last report. All leases of its runs have ended by then.
constexpr milliseconds removedPoolTime{30'000};
constexpr milliseconds turnReviewInterval{500};
// With 170 pools these are 320 KB, so that many accounts with changing demand do not fill the store. The others follow with the next call.
constexpr std::size_t maxDivisionsPerPlan = 64;

struct AccountState {
    std::map<ServiceId, QuotaPool> pools;
    bool isDirty = false;
    // Some pool has not confirmed its newest share.
    bool isUnconfirmed = false;
    std::optional<TimePoint> reviewAt;
};

// The last report of a pool.
struct PoolContact {
    std::int64_t token = 0;
    std::int64_t number = 0;
    std::int64_t appliedNumber = 0;
    TimePoint reportedAt{};
    std::set<AccountId> accounts;
};

}

class QuotaDivider::Private
{
public:
    std::int64_t lastNumber = 0;
    bool hasConfig = false;
    std::set<ServiceId> configuredPools;
    std::map<AccountId, Resources> limits;
    std::map<AccountId, AccountState> accounts;
    std::map<AccountId, QuotaDivision> divisions;
    std::map<ServiceId, PoolContact> contacts;
    TimePoint createdAt{};
    // The account that plan() has looked at last.
    AccountId lastPlanned;

    std::optional<QuotaDivision> divide(const AccountId &id, AccountState &account, TimePoint now);
    std::optional<QuotaDivision> removeLimit(const AccountId &id, AccountState &account);
    // Returns true if a pool was dropped.
    bool dropRemovedPools(AccountState &account, TimePoint now);
    std::vector<QuotaRow> makeRows(AccountState &account, const Amounts &limit, const Amounts &divided);
    void confirmShares(AccountState &account);
    QuotaDivision makeDivision(const AccountId &id, const AccountState &account, const Amounts &limit, std::int64_t number) const;
};

void QuotaDivider::Private::confirmShares(AccountState &account)
{
    account.isUnconfirmed = false;
    for (auto &[pool, state] : account.pools) {
        const auto contact = this->contacts.find(pool);
        const std::int64_t applied = contact == this->contacts.end() ? 0 : contact->second.appliedNumber;
        auto newest = state.bounds.begin();
        for (auto bound = state.bounds.begin(); bound != state.bounds.end(); ++bound) {
            newest = bound->number <= applied ? bound : newest;
        }
        state.bounds.erase(state.bounds.begin(), newest);
        account.isUnconfirmed = account.isUnconfirmed || state.bounds.size() > 1;
    }
}

bool QuotaDivider::Private::dropRemovedPools(AccountState &account, TimePoint now)
{
    bool isListChanged = false;
    for (auto pool = account.pools.begin(); pool != account.pools.end();) {
        if (this->configuredPools.contains(pool->first)) {
            ++pool;
            continue;
        }
        const auto contact = this->contacts.find(pool->first);
        const TimePoint endsAt = (contact == this->contacts.end() ? this->createdAt : contact->second.reportedAt) + removedPoolTime;
        if (now < endsAt) {
            account.reviewAt = std::min(account.reviewAt.value_or(endsAt), endsAt);
            ++pool;
            continue;
        }
        isListChanged = isListChanged || pool->second.isListed;
        pool = account.pools.erase(pool);
    }
    return isListChanged;
}

std::vector<QuotaRow> QuotaDivider::Private::makeRows(AccountState &account, const Amounts &limit, const Amounts &divided)
{
    for (const ServiceId &pool : this->configuredPools) {
        account.pools.try_emplace(pool);
    }
    const auto pools = std::max<std::int64_t>(1, static_cast<std::int64_t>(this->configuredPools.size()));
    std::vector<QuotaRow> rows;
    for (auto &[pool, state] : account.pools) {
        QuotaRow row{&pool, &state, this->configuredPools.contains(pool), false, false, {}, {}, {}, state.share, state.running};
        if (state.bounds.empty()) {
            state.bounds.push_back(QuotaBound{});
        }
        for (std::size_t kind = 0; kind < resourceKinds; ++kind) {
            if (limit[kind] > 0 && divided[kind] == 0) {
                // The owners act on equal parts of the limit; with a configuration that has no limit, on none.
                row.share[kind] = row.isConfigured ? limit[kind] / pools : 0;
                state.bounds.front().amounts[kind] = unlimitedAmount;
            }
            row.needed[kind] = std::min(state.largest[kind], limit[kind]);
            row.wanted[kind] = std::min(std::max(state.wanted[kind], state.largest[kind]), limit[kind]);
        }
        for (const QuotaBound &bound : state.bounds) {
            row.held = largerOf(row.held, bound.amounts);
        }
        row.held = largerOf(row.held, row.share);
        rows.push_back(row);
    }
    return rows;
}

QuotaDivision QuotaDivider::Private::makeDivision(const AccountId &id, const AccountState &account, const Amounts &limit, std::int64_t number) const
{
    QuotaDivision division{id, number, toResources(limit), {}};
    for (const auto &[pool, state] : account.pools) {
        if (!state.isListed) {
            continue;
        }
        Amounts held = largerOf(state.share, state.running);
        for (const QuotaBound &bound : state.bounds) {
            held = largerOf(held, bound.amounts);
        }
        division.shares.emplace(pool, QuotaShare{toResources(state.share), toResources(held)});
    }
    return division;
}

std::optional<QuotaDivision> QuotaDivider::Private::removeLimit(const AccountId &id, AccountState &account)
{
    const auto known = this->divisions.find(id);
    if (known == this->divisions.end() || known->second.limit == Resources{}) {
        return std::nullopt;
    }
    for (auto &[pool, state] : account.pools) {
        state.bounds.clear();
        state.share = Amounts{};
        state.isListed = false;
    }
    // The record stays, as the number of the newest division must not be lost.
    return QuotaDivision{id, ++this->lastNumber, {}, {}};
}

std::optional<QuotaDivision> QuotaDivider::Private::divide(const AccountId &id, AccountState &account, TimePoint now)
{
    account.isDirty = false;
    account.reviewAt.reset();
    const auto configured = this->limits.find(id);
    if (configured == this->limits.end()) {
        return this->removeLimit(id, account);
    }
    const Amounts limit = toAmounts(configured->second);
    const auto known = this->divisions.find(id);
    const Amounts divided = known == this->divisions.end() ? Amounts{} : toAmounts(known->second.limit);
    bool isStructural = this->dropRemovedPools(account, now) || limit != divided;
    this->confirmShares(account);
    std::vector<QuotaRow> rows = this->makeRows(account, limit, divided);
    isStructural = isStructural || std::any_of(rows.begin(), rows.end(), [](const QuotaRow &row) {
        return row.isConfigured && !row.state->isListed;
    });
    QuotaTargets targets(rows, limit);
    if (targets.giveTurns(now)) {
        const TimePoint reviewAt = now + turnReviewInterval;
        account.reviewAt = std::min(account.reviewAt.value_or(reviewAt), reviewAt);
    }
    targets.divide();
    ShareUpdate update(rows, limit);
    const bool isRebalanced = isStructural || update.isAnyShort();
    if (isRebalanced) {
        update.lower();
    }
    update.makeRoomForExcess(divided);
    if (isRebalanced || update.hasUndividedPart()) {
        update.raise();
    }
    const bool isChanged = isStructural || std::any_of(rows.begin(), rows.end(), [](const QuotaRow &row) {
        return row.share != row.state->share;
    });
    if (!isChanged) {
        return std::nullopt;
    }
    bool isNewlyLimited = false;
    for (std::size_t kind = 0; kind < resourceKinds; ++kind) {
        isNewlyLimited = isNewlyLimited || (limit[kind] > 0 && divided[kind] == 0);
    }
    const std::int64_t number = ++this->lastNumber;
    for (QuotaRow &row : rows) {
        // Earlier bounds do not limit a resource that is limited for the first time, so they have to be replaced even if the share stays zero.
        if (isNewlyLimited || row.share != row.state->share || (row.isConfigured && !row.state->isListed)) {
            row.state->share = row.share;
            row.state->bounds.push_back(QuotaBound{number, row.share});
            row.state->isListed = true;
            account.isUnconfirmed = true;
        }
    }
    return this->makeDivision(id, account, limit, number);
}

QuotaDivider::QuotaDivider(std::unique_ptr<Private> impl)
    : d(std::move(impl))
{
}

QuotaDivider::QuotaDivider(QuotaDivider &&) noexcept = default;
QuotaDivider &QuotaDivider::operator=(QuotaDivider &&) noexcept = default;
QuotaDivider::~QuotaDivider() = default;

Result<QuotaDivider> QuotaDivider::create(std::vector<QuotaDivision> stored)
{
    auto impl = std::make_unique<Private>();
    for (QuotaDivision &division : stored) {
        AccountState &account = impl->accounts[division.account];
        account.isDirty = true;
        account.isUnconfirmed = true;
        for (const auto &[pool, share] : division.shares) {
            QuotaPool &state = account.pools[pool];
            state.share = toAmounts(share.share);
            state.isListed = true;
            state.bounds = {QuotaBound{division.number - 1, largerOf(toAmounts(share.held), state.share)}, QuotaBound{division.number, state.share}};
        }
        impl->lastNumber = std::max(impl->lastNumber, division.number);
        const AccountId id = division.account;
        if (!impl->divisions.emplace(id, std::move(division)).second) {
            return makeError(ErrorCode::InvalidArgument, "occurs twice", "account");
        }
    }
    return QuotaDivider(std::move(impl));
}

void QuotaDivider::setConfig(const FleetConfig &config)
{
    Private &state = *this->d;
    state.hasConfig = true;
    state.configuredPools.clear();
    for (const auto &[id, service] : config.services) {
        if (!service.isStandby) {
            state.configuredPools.insert(id);
        }
    }
    state.limits.clear();
    if (config.accounts) {
        for (const ClientAccount &account : config.accounts->all()) {
            if (account.hasLimit()) {
                state.limits.emplace(account.id, account.limit);
                state.accounts.try_emplace(account.id);
            }
        }
    }
    for (auto &[id, account] : state.accounts) {
        account.isDirty = true;
    }
}

void QuotaDivider::setReport(const PoolReport &report, TimePoint now)
{
    Private &state = *this->d;
    // The record with the highest number may have been unreadable for this planner.
    state.lastNumber = std::max(state.lastNumber, report.appliedDivisionNumber);
    PoolContact &contact = state.contacts[report.service];
    if (std::pair(report.token, report.number) <= std::pair(contact.token, contact.number)) {
        return;
    }
    contact.token = report.token;
    contact.number = report.number;
    contact.reportedAt = now;
    const bool isConfirming = report.isUsageComplete && report.appliedDivisionNumber > contact.appliedNumber;
    if (isConfirming) {
        contact.appliedNumber = report.appliedDivisionNumber;
        for (auto &[id, account] : state.accounts) {
            account.isDirty = account.isDirty || account.isUnconfirmed;
        }
    }
    std::set<AccountId> before = std::exchange(contact.accounts, {});
    const auto update = [&](const AccountId &id, const AccountDemand &demand) {
        AccountState &account = state.accounts[id];
        QuotaPool &pool = account.pools[report.service];
        const auto old = std::tuple(pool.running, pool.wanted, pool.largest);
        if (report.isUsageComplete) {
            // An owner that has applied fewer divisions may still start what an earlier one had running.
            const bool isOutdated = report.appliedDivisionNumber < contact.appliedNumber;
            pool.running = isOutdated ? largerOf(pool.running, toAmounts(demand.running)) : toAmounts(demand.running);
        }
        pool.wanted = toAmounts(demand.wanted);
        pool.largest = toAmounts(demand.largest);
        account.isDirty = account.isDirty || old != std::tuple(pool.running, pool.wanted, pool.largest);
        const bool isIdle = demand == AccountDemand{id, {}, {}, {}, demand.isShort, demand.isOverShare} && pool.running == Amounts{};
        if (!isIdle) {
            contact.accounts.insert(id);
        }
    };
    for (const AccountDemand &demand : report.accounts) {
        before.erase(demand.account);
        update(demand.account, demand);
    }
    for (const AccountId &id : before) {
        update(id, AccountDemand{id, {}, {}, {}, false, false});
    }
}

std::vector<QuotaDivision> QuotaDivider::plan(TimePoint now)
{
    Private &state = *this->d;
    std::vector<QuotaDivision> changed;
    if (!state.hasConfig) {
        return changed;
    }
    state.createdAt = state.createdAt == TimePoint{} ? now : state.createdAt;
    auto next = state.accounts.upper_bound(state.lastPlanned);
    for (std::size_t left = state.accounts.size(); left > 0 && changed.size() < maxDivisionsPerPlan; --left) {
        next = next == state.accounts.end() ? state.accounts.begin() : next;
        auto &[id, account] = *next++;
        state.lastPlanned = id;
        if (!account.isDirty && !(account.reviewAt && *account.reviewAt <= now)) {
            continue;
        }
        if (std::optional<QuotaDivision> division = state.divide(id, account, now)) {
            state.divisions[id] = *division;
            changed.push_back(std::move(*division));
        }
    }
    return changed;
}

const std::map<AccountId, QuotaDivision> &QuotaDivider::divisions() const
{
    return this->d->divisions;
}

}
