// Histories of owners, planners and a store with disturbances, checked against the limit of an account.
#include "quotadivision_test.h"

#include <algorithm>
#include <iostream>
#include <random>

namespace MangoCourse {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

// Runs of one pool, with the owners that act on it.
struct SimulatedRun {
    int id = 0;
    Resources demand;
    TimePoint endsAt{};
    std::int64_t startedBy = 0;
};

struct SimulatedOwner {
    SimulatedOwner(const ServiceId &ownedPool, std::int64_t ownerToken)
        : pool(ownedPool)
        , token(ownerToken)
        , quota(ownedPool)
    {
    }

    ServiceId pool;
    std::int64_t token = 0;
    PoolQuota quota;
    std::size_t planEnd = 0;
    bool hasContacted = false;
    bool isCurrent = true;
    TimePoint contactsAt{};
    TimePoint pausedUntil{};
    TimePoint confirmedAt{};
    TimePoint configuredAt{};
    std::map<int, Resources> known;
    Resources limit;
};

// Plays owners, a planner and a store with everything that may go wrong, and checks each start against the limit.
class QuotaWorld
{
public:
    explicit QuotaWorld(std::uint32_t seed)
        : random(seed)
    {
        for (const char *name : {"a", "b", "c", "d"}) {
            this->pools.insert(ServiceId{name});
        }
        this->demandOf = this->pools;
        this->replacePlanner();
        for (const ServiceId &pool : this->pools) {
            this->takeOver(pool);
        }
    }

    void step()
    {
        this->now += 20ms;
        this->disturb();
        this->endRuns();
        for (SimulatedOwner &owner : this->owners) {
            this->act(owner);
        }
        this->deliverReports();
        if (this->now >= this->plannerPausedUntil) {
            if (this->plannerConfigAt <= this->now && this->plannerLimit != this->limit) {
                this->plannerLimit = this->limit;
                this->divider->setConfig(makeConfig(this->pools, this->limit));
            }
            for (QuotaDivision &division : this->divider->plan(this->now)) {
                this->checkDivision(division);
                this->log.push_back(std::move(division));
            }
        }
        this->settleLimits();
    }

    void endDisturbances()
    {
        this->isCalm = true;
    }
    // Only these pools have work from now on.
    void setDemand(std::set<ServiceId> demanding)
    {
        this->demandOf = std::move(demanding);
    }
    // Returns true if the pool has at least nine tenths of the limit.
    bool hasNearlyAll(const ServiceId &pool) const
    {
        const auto share = this->log.back().shares.find(pool);
        return share != this->log.back().shares.end() && share->second.share.cpu * 10 >= this->limit.cpu * 9;
    }

    int starts = 0;
    int oversized = 0;
    int violations = 0;
    int takeovers = 0;
    TimePoint lastStart{};
    std::string firstViolation;

    bool chance(double probability)
    {
        return std::bernoulli_distribution(probability)(this->random);
    }
    std::int64_t draw(std::int64_t from, std::int64_t to)
    {
        return std::uniform_int_distribution<std::int64_t>(from, to)(this->random);
    }

    bool isCalm = false;
    TimePoint now{100s};

private:
    void disturb()
    {
        if (this->isCalm) {
            this->plannerPausedUntil = std::min(this->plannerPausedUntil, this->now);
            return;
        }
        if (this->chance(0.004)) {
            this->replacePlanner();
        }
        if (this->chance(0.003)) {
            this->plannerPausedUntil = this->now + milliseconds(this->draw(0, 2000));
        }
        if (this->chance(0.01)) {
            auto pool = this->pools.begin();
            std::advance(pool, this->draw(0, static_cast<std::int64_t>(this->pools.size()) - 1));
            this->takeOver(*pool);
        }
        if (this->chance(0.01)) {
            SimulatedOwner &owner = this->owners[static_cast<std::size_t>(this->draw(0, static_cast<std::int64_t>(this->owners.size()) - 1))];
            owner.pausedUntil = this->now + milliseconds(this->draw(0, 3000));
        }
        if (this->chance(0.002) && this->oldLimits.empty()) {
            this->oldLimits.push_back(this->limit);
            this->limit = Resources{this->draw(6, 30) * 1000, this->draw(6, 30) * 1000, 0};
            this->limitDividedAt = 0;
            this->plannerConfigAt = this->now + milliseconds(this->draw(0, 2500));
            for (SimulatedOwner &owner : this->owners) {
                owner.configuredAt = this->now + milliseconds(this->draw(0, 2500));
            }
        }
        if (this->chance(0.001)) {
            this->togglePool(ServiceId{"d"});
        }
        if (this->chance(0.01)) {
            this->demandOf.clear();
            for (const ServiceId &pool : this->pools) {
                if (this->chance(0.5)) {
                    this->demandOf.insert(pool);
                }
            }
        }
    }

    void togglePool(const ServiceId &pool)
    {
        if (this->pools.erase(pool) == 0) {
            this->pools.insert(pool);
            this->takeOver(pool);
        }
        if (this->plannerLimit != Resources{}) {
            this->divider->setConfig(makeConfig(this->pools, this->plannerLimit));
        }
    }

    void takeOver(const ServiceId &pool)
    {
        ++this->takeovers;
        for (SimulatedOwner &other : this->owners) {
            other.isCurrent = other.isCurrent && other.pool != pool;
        }
        // Those that have been fenced off for long neither start nor report anything.
        std::erase_if(this->owners, [this](const SimulatedOwner &other) {
            return this->isFenced(other) && this->now - other.confirmedAt > 5s;
        });
        SimulatedOwner owner(pool, ++this->tokens);
        owner.planEnd = this->log.size();
        owner.contactsAt = this->now + milliseconds(this->draw(0, 800));
        owner.confirmedAt = this->now;
        owner.configuredAt = this->now;
        owner.limit = this->limit;
        owner.quota.setConfig(makeConfig(this->pools, this->limit));
        this->owners.push_back(std::move(owner));
    }

    void replacePlanner()
    {
        std::vector<QuotaDivision> stored;
        if (!this->log.empty()) {
            stored.push_back(this->log.back());
        }
        this->divider.emplace(std::move(*QuotaDivider::create(std::move(stored))));
        for (const auto &[pool, report] : this->storedReports) {
            this->divider->setReport(report, this->now);
        }
        this->plannerLimit = this->limit;
        this->divider->setConfig(makeConfig(this->pools, this->limit));
    }

    void endRuns()
    {
        for (auto &[pool, runs] : this->runs) {
            std::erase_if(runs, [this, &pool = pool](const SimulatedRun &run) {
                if (run.endsAt > this->now) {
                    return false;
                }
                for (SimulatedOwner &owner : this->owners) {
                    if (owner.pool == pool && owner.known.erase(run.id) > 0) {
                        owner.quota.find(account)->running -= run.demand;
                    }
                }
                return true;
            });
        }
    }

    void act(SimulatedOwner &owner)
    {
        if (owner.isCurrent && this->now >= owner.pausedUntil && this->now - owner.confirmedAt >= 200ms) {
            owner.confirmedAt = this->now;
        }
        if (this->now < owner.pausedUntil) {
            return;
        }
        if (owner.configuredAt <= this->now && owner.limit != this->limit) {
            owner.limit = this->limit;
            owner.quota.setConfig(makeConfig(this->pools, this->limit));
        }
        if (!owner.hasContacted && this->now >= owner.contactsAt && owner.isCurrent) {
            owner.hasContacted = true;
            for (const SimulatedRun &run : this->runs[owner.pool]) {
                owner.known.emplace(run.id, run.demand);
                owner.quota.find(account)->running += run.demand;
            }
        }
        if (this->chance(0.3) && this->log.size() >= owner.planEnd) {
            this->readPlan(owner);
        }
        owner.quota.clearUncertain();
        if (!owner.hasContacted) {
            owner.quota.addUnknownCapacity(std::nullopt);
        }
        owner.quota.noteUsage(this->now, owner.confirmedAt);
        this->startItems(owner);
        if (this->chance(0.15)) {
            this->sendReport(owner);
        }
    }

    void readPlan(SimulatedOwner &owner)
    {
        if (this->divisions->number != (this->log.empty() ? 0 : this->log.back().number)) {
            auto read = std::make_shared<QuotaDivisions>();
            read->number = this->log.back().number;
            read->byAccount[account] = std::make_shared<const QuotaDivision>(this->log.back());
            this->divisions = std::move(read);
        }
        owner.quota.setDivisions(this->divisions);
    }

    // Executors refuse the orders of an owner once a later one has contacted them.
    bool isFenced(const SimulatedOwner &owner) const
    {
        return std::any_of(this->owners.begin(), this->owners.end(), [&owner](const SimulatedOwner &other) {
            return other.pool == owner.pool && other.token > owner.token && other.hasContacted;
        });
    }

    void startItems(SimulatedOwner &owner)
    {
        if (!this->demandOf.contains(owner.pool) || this->isFenced(owner)) {
            return;
        }
        for (int attempt = 0; attempt < 3; ++attempt) {
            auto &[nextId, demand] = this->nextItem[owner.pool];
            if (demand == Resources{}) {
                nextId = ++this->ids;
                const bool isLarge = this->chance(0.03);
                demand = Resources{this->draw(1, isLarge ? 40 : 4) * 1000, this->draw(1, isLarge ? 40 : 4) * 1000, 0};
            }
            const ItemId item{JobId{std::to_string(nextId)}, 0, 0, 0};
            AccountUse &use = *owner.quota.find(account);
            if (!owner.quota.mayStart(use, item, demand, this->now)) {
                return;
            }
            use.running += demand;
            owner.known.emplace(nextId, demand);
            this->checkStart(owner.pool, demand);
            this->runs[owner.pool].push_back(SimulatedRun{nextId, demand, this->now + milliseconds(this->draw(50, 1500)), owner.token});
            demand = Resources{};
        }
    }

    void checkStart(const ServiceId &pool, const Resources &demand)
    {
        ++this->starts;
        this->lastStart = this->now;
        this->lastStartOf[pool] = this->now;
        Resources sum = demand;
        for (const auto &[other, runs] : this->runs) {
            for (const SimulatedRun &run : runs) {
                sum += run.demand;
            }
        }
        Resources bound = this->limit;
        for (const Resources &old : this->oldLimits) {
            bound = Resources{std::max(bound.cpu, old.cpu), std::max(bound.memory, old.memory), 0};
        }
        const bool isCpuExceeded = sum.cpu > bound.cpu && sum.cpu != demand.cpu;
        const bool isMemoryExceeded = sum.memory > bound.memory && sum.memory != demand.memory;
        this->oversized += sum.cpu > bound.cpu || sum.memory > bound.memory ? 1 : 0;
        if (isCpuExceeded || isMemoryExceeded) {
            ++this->violations;
            if (this->firstViolation.empty()) {
                this->firstViolation = "pool " + pool.value + " at " + std::to_string(this->now.time_since_epoch().count() / 1'000'000) + " ms: "
                    + std::to_string(sum.cpu) + "/" + std::to_string(bound.cpu) + " " + std::to_string(sum.memory) + "/" + std::to_string(bound.memory);
            }
        }
    }

    static void checkDivision(const QuotaDivision &division)
    {
        Resources sum;
        for (const auto &[pool, share] : division.shares) {
            sum += share.share;
        }
        EXPECT_TRUE(division.limit.covers(sum));
    }

    void sendReport(SimulatedOwner &owner)
    {
        const QuotaUsage &usage = owner.quota.confirmedUsage();
        const bool wants = this->demandOf.contains(owner.pool);
        const Resources largest = wants ? this->nextItem[owner.pool].second : Resources{};
        const auto running = usage.running.find(account);
        Resources wanted = owner.quota.find(account)->running;
        wanted += wants ? Resources{20000, 20000, 0} : Resources{};
        PoolReport report
            = makeReport(owner.pool, ++this->reportNumber, usage.number, running == usage.running.end() ? Resources{} : running->second, wanted, largest);
        report.token = owner.token;
        report.isUsageComplete = usage.isComplete && owner.quota.isUsageComplete();
        const milliseconds delay(this->isCalm ? 10 : this->chance(0.05) ? this->draw(0, 4000) : this->draw(0, 60));
        this->reports.emplace(this->now + delay, std::move(report));
    }

    void deliverReports()
    {
        while (!this->reports.empty() && this->reports.begin()->first <= this->now) {
            PoolReport report = std::move(this->reports.begin()->second);
            this->reports.erase(this->reports.begin());
            this->divider->setReport(report, this->now);
            this->storedReports[report.service] = std::move(report);
        }
    }

    // An earlier limit is in force until the new one has been divided and all owners have applied that.
    void settleLimits()
    {
        if (this->oldLimits.empty()) {
            return;
        }
        if (this->limitDividedAt == 0 && !this->log.empty() && this->log.back().limit == this->limit) {
            this->limitDividedAt = this->log.back().number;
        }
        const bool isApplied = this->limitDividedAt > 0 && std::all_of(this->owners.begin(), this->owners.end(), [this](const SimulatedOwner &owner) {
            return this->isFenced(owner) || (owner.quota.appliedNumber() >= this->limitDividedAt && owner.limit == this->limit);
        });
        if (isApplied) {
            this->oldLimits.clear();
        }
    }

    std::mt19937 random;
    std::set<ServiceId> pools;
    std::set<ServiceId> demandOf;
    Resources limit{20000, 24000, 0};
    Resources plannerLimit;
    TimePoint plannerConfigAt{};
    std::vector<Resources> oldLimits;
    std::int64_t limitDividedAt = 0;
    std::vector<QuotaDivision> log;
    std::shared_ptr<const QuotaDivisions> divisions = std::make_shared<QuotaDivisions>();
    std::optional<QuotaDivider> divider;
    TimePoint plannerPausedUntil{};
    std::vector<SimulatedOwner> owners;
    std::map<ServiceId, std::vector<SimulatedRun>> runs;
    std::map<ServiceId, std::pair<int, Resources>> nextItem;
    std::multimap<TimePoint, PoolReport> reports;
    std::map<ServiceId, PoolReport> storedReports;
    std::int64_t tokens = 0;
    std::int64_t reportNumber = 0;
    int ids = 0;

public:
    std::map<ServiceId, TimePoint> lastStartOf;
    const std::set<ServiceId> &demandingPools() const
    {
        return this->demandOf;
    }
};

// A pool whose work waits while another one holds the limit without using it.
TEST(QuotaProperties, IdleShareReachesThePoolThatNeedsIt)
{
    Duration longest{};
    for (std::uint32_t seed = 1; seed <= 100; ++seed) {
        QuotaWorld world(seed);
        world.endDisturbances();
        for (const char *name : {"a", "b", "c"}) {
            const ServiceId pool{name};
            world.setDemand({});
            for (int step = 0; step < 200; ++step) {
                world.step();
            }
            world.setDemand({pool});
            const TimePoint since = world.now;
            while (!world.hasNearlyAll(pool) && world.now - since < 10s) {
                world.step();
            }
            longest = std::max(longest, world.now - since);
        }
    }
    EXPECT_LE(longest, 1500ms) << std::chrono::duration_cast<milliseconds>(longest).count() << " ms";
    std::cout << "longest move of an idle share: " << std::chrono::duration_cast<milliseconds>(longest).count() << " ms\n";
}

// Two pools that both believe in the same part of a limit would exceed it together.
TEST(QuotaProperties, LimitIsNeverExceededAndNoPoolWaitsForever)
{
    int oversized = 0;
    for (std::uint32_t seed = 1; seed <= 100; ++seed) {
        QuotaWorld world(seed);
        for (int step = 0; step < 3000; ++step) {
            world.step();
        }
        EXPECT_EQ(world.violations, 0) << "seed " << seed << ": " << world.firstViolation;
        EXPECT_GT(world.starts, 50) << "seed " << seed;
        world.endDisturbances();
        const TimePoint calmSince = world.now;
        for (int step = 0; step < 2000; ++step) {
            world.step();
        }
        EXPECT_EQ(world.violations, 0) << "seed " << seed << ": " << world.firstViolation;
        for (const ServiceId &pool : world.demandingPools()) {
            EXPECT_GT(world.lastStartOf[pool], calmSince) << "seed " << seed << ", pool " << pool.value;
        }
        oversized += world.oversized;
    }
    EXPECT_GT(oversized, 0) << "no item larger than the limit has run";
}

}
}
