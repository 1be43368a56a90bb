// Division of the accounts' limits between the pools: the planner's side and the pool's side. Pure state machines without a clock of their own.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <vector>

#include <mangocourse/clock.h>
#include <mangocourse/fleetconfig.h>

namespace MangoCourse {

struct PoolReport;

// The amount of a resource that is not limited. The sum over all pools stays within the range of the type.
inline constexpr std::int64_t unlimitedAmount = 1'000'000'000'000'000;

// What one pool may use of an account's limit.
struct QuotaShare {
    Resources share;
    // Bound of what the pool may have running until its owner has reported the number of the division; never less than the share.
    Resources held;

    bool operator==(const QuotaShare &) const = default;
};

// The division of one account's limit. A resource of which the limit is 0 is not divided.
struct QuotaDivision {
    AccountId account;
    // Rises over the divisions of all accounts and planners.
    std::int64_t number = 0;
    Resources limit;
    // A pool that is not listed gets nothing.
    std::map<ServiceId, QuotaShare> shares;

    bool operator==(const QuotaDivision &) const = default;
};

// All divisions as of one read of the plan stream that has reached the end.
struct QuotaDivisions {
    // Highest number of a division.
    std::int64_t number = 0;
    std::map<AccountId, std::shared_ptr<const QuotaDivision>> byAccount;
};

// What a pool reports about one limited account.
struct AccountDemand {
    AccountId account;
    // Runs, and starts whose fate is unknown, of the last usage that the owner has confirmed.
    Resources running;
    // Running and ready work items, at most the capacity of the pool.
    Resources wanted;
    // The largest waiting work item; of a gang, all members together.
    Resources largest;
    // What is wanted, or what is running, exceeds the share. Not part of the record.
    bool isShort = false;
    bool isOverShare = false;

    bool operator==(const AccountDemand &) const = default;
};

// Decides on the divisions; used by one planner at a time. If the largest waiting items of all pools do not fit into the limit together, the pools take
// turns: in its turn a pool's share is at least what its largest waiting item needs.
class QuotaDivider
{
public:
    // `stored`: the divisions that earlier planners have stored. Returns InvalidArgument if an account occurs twice.
    static Result<QuotaDivider> create(std::vector<QuotaDivision> stored);
    QuotaDivider(QuotaDivider &&) noexcept;
    QuotaDivider &operator=(QuotaDivider &&) noexcept;
    ~QuotaDivider();

    void setConfig(const FleetConfig &config);
    // Reports that are older than the last one of the pool are ignored.
    void setReport(const PoolReport &report, TimePoint now);
    // Returns the divisions that have changed, in ascending order of their numbers. They must become durable in this order before the next call.
    std::vector<QuotaDivision> plan(TimePoint now);
    // Returns the divisions that create() was given or plan() has made since.
    const std::map<AccountId, QuotaDivision> &divisions() const;

private:
    class Private;
    explicit QuotaDivider(std::unique_ptr<Private> impl);
    std::unique_ptr<Private> d;
};

// Use of one account in one pool.
struct AccountUse {
    // Runs that the owner knows.
    Resources running;
    // Start orders that may have been carried out without a known run.
    Resources uncertain;
    // Bound of the use; unlimitedAmount for a resource that is not limited.
    Resources share;
    // The limit that the share is a part of; unlimitedAmount for a resource that is not limited.
    Resources limit;
    bool isLimited = false;
    // An item that fits the share but not beside what is running. It stands for all items of its step.
    ItemId heldItem;
    TimePoint heldSince{};
    TimePoint heldSeenAt{};
    // The last held item that has not started in the time for which the others had to wait for it.
    ItemId releasedItem;
    TimePoint releasedAt{};
    // Since when work has waited because of the share, and when the next line about it is due.
    TimePoint waitingSince{};
    TimePoint nextLineAt{};
    int lines = 0;
};

// Use of the limited accounts as of one moment.
struct QuotaUsage {
    // Highest division number that was applied.
    std::int64_t number = 0;
    // Number of the divisions that have last changed a share of this pool.
    std::int64_t shareNumber = 0;
    // Every run that may be active is in `running`.
    bool isComplete = false;
    std::map<AccountId, Resources> running;
};

// Shares and use of the accounts in one pool.
class PoolQuota
{
public:
    explicit PoolQuota(ServiceId service);

    // These return true if the accounts have just become limited, so that the use has to be counted from now on.
    bool setConfig(const FleetConfig &config);
    bool setDivisions(std::shared_ptr<const QuotaDivisions> divisions);
    // Returns true once an account has been limited.
    bool isActive() const
    {
        return this->hasLimits;
    }
    // Returns the use of the account, which stays at its address; nullptr if the account is empty or no account is limited.
    AccountUse *find(const AccountId &account);
    const std::map<AccountId, AccountUse> &uses() const;

    // Replaces what is not known for certain: first call clearUncertain(), then add. Unknown capacity counts as in use by each limited account;
    // std::nullopt is an executor of unknown size.
    void clearUncertain();
    void addUncertain(const AccountId &account, const Resources &demand);
    void addUnknownCapacity(const std::optional<Resources> &capacity);
    bool isUsageComplete() const;

    // Returns true if the work item may start beside what the account has running.
    bool fits(const AccountUse &use, const Resources &demand) const;
    // As fits(). An item that has been refused for a while although it fits the empty share goes before the account's other items for some seconds.
    bool mayStart(AccountUse &use, const ItemId &item, const Resources &demand, TimePoint now);
    // Returns true if the share has become too small for a run that is counted but has not been sent.
    bool isExceededBy(const AccountUse &use, const Resources &demand) const;

    // Notes the use at `now`. It is confirmed once the owner is known to have held the pool exclusively at that time or later: then each later owner
    // reads the divisions that this one had applied.
    void noteUsage(TimePoint now, TimePoint confirmedAt);
    const QuotaUsage &confirmedUsage() const;
    // Highest division number that this owner has applied; 0 if it has not read the plan stream.
    std::int64_t appliedNumber() const;

private:
    void applyShare(const AccountId &account, AccountUse &use) const;
    // Returns true if a share of this pool differs from the present divisions.
    bool hasOtherShare(const QuotaDivisions &newDivisions) const;
    bool updateAll();
    Resources usedOf(const AccountUse &use) const;

    ServiceId service;
    bool hasLimits = false;
    std::int64_t shareNumber = 0;
    std::int64_t pools = 1;
    std::map<AccountId, Resources> limits;
    std::shared_ptr<const QuotaDivisions> divisions;
    std::map<AccountId, AccountUse> accounts;
    Resources unknownCapacity;
    bool isCapacityUnknown = false;
    bool hasUncertainStarts = false;
    QuotaUsage confirmed;
    std::optional<std::pair<TimePoint, QuotaUsage>> unconfirmed;
};

// Returns what the account may have running in the pool. `own`: its limit in the owner's configuration, or nullptr; `division`: nullptr if there is none;
// `pools`: number of pools in the owner's configuration. A resource that nothing limits has unlimitedAmount.
Resources shareOf(const QuotaDivision *division, const Resources *own, const ServiceId &pool, std::int64_t pools);

}
