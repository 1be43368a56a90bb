// Weighted dominant resource fairness between the client accounts of one pool. Pure code: no clock, no sockets.
#pragma once

#include <cstdint>
#include <functional>
#include <map>

#include <mangocourse/clock.h>
#include <mangocourse/job.h>

namespace MangoCourse {

// Accounts with less weight, 0 included, count as having this one, so that their position and their rate are defined.
inline constexpr double minAccountWeight = 0.001;
// Weight of accounts that the configuration does not name, and of the jobs without an account.
inline constexpr double defaultAccountWeight = 1.0;
// At most one start in this many is an overdue turn. Without a bound, a full pool with fewer starts than accounts per waiting time had overdue turns only,
// and neither weights nor priorities nor rates had an effect.
inline constexpr std::uint64_t startsPerOverdueTurn = 10;

// Returns the weight that an account with the configured one counts as having.
double effectiveWeight(double configured);

// Returns the largest fraction of the capacity in any resource. Resources that the pool does not have are left out.
double dominantShare(const Resources &running, const Resources &capacity);

// Limits how many jobs per second keep their usual place. Full at first; holds one second's worth, but at least one job.
class TokenBucket
{
public:
    // `rate` in jobs per second; must be positive.
    explicit TokenBucket(double rate);

    // Tokens beyond the new size are lost.
    void setRate(double rate);
    // Returns false if the job is beyond the rate, which costs no token. A job that was accepted before the latest one so far counts as accepted together
    // with that one: the time never goes back, so no second is refilled twice.
    bool take(WallTime acceptedAt);

private:
    double size() const;

    double rate = 0;
    double tokens = 0;
    WallTime filledAt{};
    bool isUsed = false;
};

// What one account has in a pool.
struct AccountShare {
    AccountId id;
    double weight = defaultAccountWeight;
    // Of all runs, those that are being stopped and duplicates included.
    Resources running;
    std::size_t openJobs = 0;
    TokenBucket bucket{defaultAccountWeight};
    // Number of the account's last start among all starts of the pool; 0 if there was none.
    std::uint64_t lastStart = 0;
    TimePoint lastStartAt{};
    // The last overdue turn; see AccountShares::mayGrantOverdueTurn().
    TimePoint lastOverdueTurnAt{};
    // Ready CPU demand, in thousandths of a core, exceeds the account's share of the pool; kept while the pool is overloaded.
    bool isOverloaded = false;
    std::int64_t wantedCpu = 0;
    // Place among the accounts by position at the beginning of the last plan.
    std::size_t place = 0;

    // Returns the dominant share by weight; the account with the lowest one goes first.
    double position(const Resources &capacity) const
    {
        return dominantShare(this->running, capacity) / this->weight;
    }
};

// The accounts of one pool. References stay valid.
class AccountShares
{
public:
    // Returns the account's entry, and adds it if it is new. The empty id stands for all jobs without an account.
    AccountShare &entry(const AccountId &id);
    // Sets the weights; `weightOf` returns the configured weight of an account.
    void setWeights(std::function<double(const AccountId &)> weightOf);

    void addOpenJob(AccountShare &share);
    void removeOpenJob(AccountShare &share);
    void noteStart(AccountShare &share, TimePoint now);
    // Returns true if enough work has started in the usual order since the last overdue turn, which is a start ahead of that order for work that has
    // waited long.
    bool mayGrantOverdueTurn() const
    {
        return this->starts >= this->startsBeforeOverdueTurn;
    }
    // To be called after noteStart() for the same start.
    void noteOverdueTurn(AccountShare &share, TimePoint now);

    // Returns the number of starts of all accounts so far.
    std::uint64_t countStarts() const
    {
        return this->starts;
    }
    // Returns true if open jobs belong to at least two accounts.
    bool areCompeting() const
    {
        return this->accountsWithJobs >= 2;
    }
    // In the order of the ids.
    std::map<AccountId, AccountShare> &all()
    {
        return this->shares;
    }
    const std::map<AccountId, AccountShare> &all() const
    {
        return this->shares;
    }

private:
    std::map<AccountId, AccountShare> shares;
    std::function<double(const AccountId &)> weightOf;
    std::size_t accountsWithJobs = 0;
    std::uint64_t starts = 0;
    // Number of starts from which on the next overdue turn is allowed.
    std::uint64_t startsBeforeOverdueTurn = 0;
};

}
