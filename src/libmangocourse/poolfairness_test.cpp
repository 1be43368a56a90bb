// Tests of the order between client accounts, with load on a small full pool.
#include "poolscheduler_test.h"

namespace MangoCourse {
namespace {

using std::chrono::milliseconds;

class PoolFairnessTest : public PoolSchedulerTest
{
protected:
    struct Active {
        TimePoint endsAt{};
        ItemId item;
        std::int64_t run = 0;
        std::string executor;
    };

    void SetUp() override
    {
        PoolSchedulerTest::SetUp();
        this->setPool(1);
    }

    void setPool(int executors)
    {
        this->names.clear();
        std::vector<ExecutorInfo> infos;
        for (int number = 0; number < executors; ++number) {
            this->names.push_back("x" + std::to_string(number + 10));
            infos.push_back(executor(this->names.back()));
        }
        this->setDiscovered(infos);
        for (const std::string &name : this->names) {
            this->report(name);
        }
    }

    void setWeights(const std::map<std::string, double> &weights)
    {
        std::vector<ClientAccount> accounts;
        for (const auto &[name, weight] : weights) {
            accounts.push_back(ClientAccount{AccountId{name}, weight, {}, {}});
        }
        this->config.accounts = *ClientAccounts::create(accounts);
        this->scheduler->setConfig(this->config);
    }

    static StepSpec step(std::int64_t cpu, milliseconds estimate, std::int32_t count = 1)
    {
        StepSpec spec;
        spec.count = count;
        spec.resources = Resources{cpu, gigabyte, 0};
        spec.estimate = estimate;
        return spec;
    }

    std::string submit(const std::string &account, const StepSpec &spec)
    {
        const std::string name = std::to_string(++this->jobCount + 100000);
        AcceptedJob accepted = this->job(name, spec);
        accepted.account = AccountId{account};
        this->add(accepted);
        this->accountOf[name] = account;
        this->submittedAt[name] = this->now;
        return name;
    }

    // Ends the runs that are due, plans, and starts what was ordered.
    void step()
    {
        std::map<std::string, std::vector<ReportedEnd>> ends;
        std::erase_if(this->active, [this, &ends](const Active &work) {
            if (work.endsAt > this->now) {
                return false;
            }
            ends[work.executor].push_back(ReportedEnd{++this->lastEnd[work.executor], work.item, work.run, RunEnd::Done, {}});
            this->endedAt[work.item.job.value] = this->now;
            return true;
        });
        for (const std::string &name : this->names) {
            std::vector<ReportedRun> running;
            for (const Active &work : this->active) {
                if (work.executor == name) {
                    running.push_back(ReportedRun{work.item, work.run, {}, 100, 0});
                }
            }
            this->report(name, running, ends[name]);
            this->renewal(name);
        }
        for (const StartOrder &order : this->planAndConfirm().starts) {
            const std::string &job = order.run.item.job.value;
            this->active.push_back(Active{this->now + this->runTimes[job], order.run.item, order.run.run, order.executor.id.value});
            this->startOrder.push_back(job);
            ++this->starts[this->accountOf[job]];
        }
    }

    void run(milliseconds time, milliseconds tick = 50ms)
    {
        for (milliseconds passed{}; passed < time; passed += tick) {
            this->step();
            this->advance(tick);
        }
    }

    std::string submitTimed(const std::string &account, const StepSpec &spec)
    {
        const std::string name = this->submit(account, spec);
        this->runTimes[name] = spec.estimate;
        return name;
    }

    // Returns the mean number of running items of the account over the time.
    std::map<std::string, double> meanRunning(milliseconds time, milliseconds tick = 50ms)
    {
        std::map<std::string, double> sums;
        const double ticks = static_cast<double>(time / tick);
        for (milliseconds passed{}; passed < time; passed += tick) {
            this->step();
            for (const Active &work : this->active) {
                sums[this->accountOf[work.item.job.value]] += 1.0 / ticks;
            }
            this->advance(tick);
        }
        return sums;
    }

    // Plays 19 accounts with one job each every `interval` and, if `isFlooding`, one with six times as many for 6 s, and returns the fraction of each
    // account's jobs that ended in time.
    std::map<std::string, double> playFlood(bool isFlooding)
    {
        this->setPool(2);
        std::map<std::string, double> weights;
        for (int account = 0; account < 20; ++account) {
            weights["a" + std::to_string(account + 10)] = 1;
        }
        this->setWeights(weights);
        // 19 accounts with a job of 8 cores x 0.75 s a second use 114 of 128 cores; the twentieth would fill the pool without the flood.
        for (milliseconds passed{}; passed < 10s; passed += 50ms) {
            for (int account = 0; passed < 8s && account < 20; ++account) {
                const bool isFlooder = account == 0;
                const bool isDue = (passed.count() + account * 50) % 1000 == 0;
                const bool isFlood = isFlooder && isFlooding && passed >= 1s && passed < 7s && passed.count() % 150 == 0;
                if (isDue || isFlood) {
                    this->submitTimed("a" + std::to_string(account + 10), step(8000, 750ms));
                }
            }
            this->step();
            this->advance(50ms);
        }
        std::map<std::string, double> inTime;
        std::map<std::string, double> submitted;
        for (const auto &[job, account] : this->accountOf) {
            ++submitted[account];
            const auto ended = this->endedAt.find(job);
            const milliseconds objective = 600ms + 750ms * 8 / 5;
            inTime[account] += ended != this->endedAt.end() && ended->second - this->submittedAt[job] <= objective ? 1 : 0;
        }
        for (auto &[account, count] : inTime) {
            count /= submitted[account];
        }
        return inTime;
    }

    std::vector<std::string> names;
    int jobCount = 0;
    std::map<std::string, std::string> accountOf;
    std::map<std::string, milliseconds> runTimes;
    std::map<std::string, TimePoint> submittedAt;
    std::map<std::string, TimePoint> endedAt;
    std::map<std::string, std::int64_t> lastEnd;
    std::map<std::string, int> starts;
    std::vector<std::string> startOrder;
    std::vector<Active> active;
};

// One account's flood must not make the jobs of the others late (R3.2).
TEST_F(PoolFairnessTest, FloodOfOneAccountLeavesTheOthersInTime)
{
    const std::map<std::string, double> flooded = this->playFlood(true);
    double sum = 0;
    double worst = 1;
    double second = 1;
    for (const auto &[account, share] : flooded) {
        sum += share;
        if (account != "a10") {
            EXPECT_GE(share, 0.99) << account;
        }
        second = share < worst ? worst : std::min(second, share);
        worst = std::min(worst, share);
    }
    EXPECT_GE((worst + second) / 2, 0.6 * sum / static_cast<double>(flooded.size()));
}

// The reference of the test above: the pool suffices without the flood.
TEST_F(PoolFairnessTest, UsualLoadOfAllAccountsEndsInTime)
{
    for (const auto &[account, share] : this->playFlood(false)) {
        EXPECT_GE(share, 0.99) << account;
    }
}

TEST_F(PoolFairnessTest, FullPoolIsSharedByWeight)
{
    this->setWeights({{"a", 1}, {"b", 2}, {"c", 4}});
    this->setPool(4);
    for (int number = 0; number < 400; ++number) {
        for (const char *account : {"a", "b", "c"}) {
            this->submitTimed(account, step(4000, 500ms));
        }
    }
    this->run(1s);
    std::map<std::string, double> running = this->meanRunning(4s);
    const double unit = (running["a"] + running["b"] + running["c"]) / 7;
    EXPECT_NEAR(running["a"] / unit, 1, 0.15);
    EXPECT_NEAR(running["b"] / unit, 2, 0.3);
    EXPECT_NEAR(running["c"] / unit, 4, 0.6);
}

// A job with many items must not take all the room in one plan.
TEST_F(PoolFairnessTest, AccountGivesWayAfterEachItem)
{
    this->submitTimed("a", step(4000, 500ms, 100));
    this->submitTimed("b", step(4000, 500ms, 100));
    this->run(50ms);
    EXPECT_EQ(this->starts["a"], 8);
    EXPECT_EQ(this->starts["b"], 8);
}

// Accounts without a run come first once an account with long items leaves room, whatever the slack of its jobs.
TEST_F(PoolFairnessTest, AccountWithoutRunsGoesFirstAsSoonAsRoomIsFree)
{
    for (int number = 0; number < 20; ++number) {
        this->submitTimed("a", step(4000, 500ms + number * 200ms));
    }
    this->run(300ms);
    const std::string waiting = this->submitTimed("b", step(4000, 60s));
    this->startOrder.clear();
    this->run(400ms);
    ASSERT_FALSE(this->startOrder.empty());
    EXPECT_EQ(this->startOrder.front(), waiting);
}

// Accounts of weight 0, beyond their rate, or late must get a start now and then while others fill the pool for good.
TEST_F(PoolFairnessTest, NothingStarvesInAPoolThatIsFullForGood)
{
    this->setWeights({{"a", 1000}, {"zero", 0}, {"late", 1}});
    for (int tick = 0; tick < 800; ++tick) {
        for (int number = 0; number < 3; ++number) {
            this->submitTimed("a", step(4000, 500ms));
        }
        for (int number = 0; tick == 40 && number < 10; ++number) {
            this->submitTimed("zero", step(4000, 500ms));
            this->submitTimed("late", step(4000, 10ms));
        }
        this->run(50ms);
    }
    EXPECT_GE(this->starts["zero"], 2);
    EXPECT_GE(this->starts["late"], 2);
    EXPECT_GT(this->starts["a"], 900);
}

// With fewer starts than accounts per 10 s, overdue turns must not take the place of the order by weight.
TEST_F(PoolFairnessTest, WeightsCountInAFullPoolWithFewStarts)
{
    std::map<std::string, double> weights;
    for (int account = 10; account < 30; ++account) {
        weights["a" + std::to_string(account)] = account < 20 ? 1 : 4;
    }
    this->setWeights(weights);
    // 64 items of 32 s each: 2 starts a second, with run times that spread the starts evenly.
    for (int number = 0; number < 60; ++number) {
        for (const auto &[account, weight] : weights) {
            this->runTimes[this->submit(account, step(1000, 32s))] = 20s + 1s * (this->jobCount * 7 % 25);
        }
    }
    this->run(40s, 250ms);
    this->starts.clear();
    this->run(160s, 250ms);
    int light = 0;
    int heavy = 0;
    for (const auto &[account, weight] : weights) {
        (weight > 1 ? heavy : light) += this->starts[account];
        EXPECT_GE(this->starts[account], 1) << account;
    }
    // In whole items, the order by position alone gives 17 and 47 of the 64 places.
    EXPECT_GT(heavy, 2 * light);
}

// An account that uses its rate steadily must get its older jobs beyond the rate started, too.
TEST_F(PoolFairnessTest, SteadyUseOfTheRateDoesNotStarveJobsBeyondIt)
{
    this->setWeights({{"a", 1000}, {"b", 1}});
    std::set<std::string> beyond;
    for (int tick = 0; tick < 800; ++tick) {
        for (int number = 0; number < 3; ++number) {
            this->submitTimed("a", step(4000, 500ms));
        }
        if (tick % 20 == 0) {
            this->submitTimed("b", step(4000, 500ms));
        }
        for (int number = 0; tick == 10 && number < 10; ++number) {
            beyond.insert(this->submitTimed("b", step(4000, 500ms)));
        }
        this->run(50ms);
    }
    const auto started = std::count_if(this->startOrder.begin(), this->startOrder.end(), [&beyond](const std::string &job) {
        return beyond.contains(job);
    });
    EXPECT_GE(started, 2);
    EXPECT_LE(started, 4);
    EXPECT_GE(this->starts["b"], 35);
}

// Callers of public queues have no agreed rate, so none of their jobs may go behind as beyond it.
TEST_F(PoolFairnessTest, JobsWithoutAnAccountHaveNoRate)
{
    this->submitTimed("a", step(64000, 60s));
    this->run(100ms);
    for (int number = 0; number < 5; ++number) {
        this->submitTimed("", step(4000, 500ms));
    }
    this->run(1100ms);
    const std::vector<WaitingAccount> lines = this->scheduler->reviewWaiting(this->now, this->wall).accounts;
    ASSERT_EQ(lines.size(), 1U);
    EXPECT_EQ(lines.front().waitingJobs, 5);
    EXPECT_EQ(lines.front().beyondRate, 0);
}

// Jobs beyond the rate must not pass jobs of others within it, and must run once there is room.
TEST_F(PoolFairnessTest, JobsBeyondTheRateGoBehindAndRunWhenThereIsRoom)
{
    this->submitTimed("b", step(64000, 500ms));
    this->run(100ms);
    for (int number = 0; number < 3; ++number) {
        this->submitTimed("a", step(40000, 500ms));
    }
    this->advance(1s);
    const std::string within = this->submitTimed("b", step(40000, 500ms));
    this->startOrder.clear();
    this->run(5s);
    ASSERT_EQ(this->startOrder.size(), 4U);
    EXPECT_LT(std::find(this->startOrder.begin(), this->startOrder.end(), within) - this->startOrder.begin(), 2);
}

// Jobs without an account compete as one account, and records of earlier versions are among them.
TEST_F(PoolFairnessTest, JobsWithoutAnAccountFormOneGroup)
{
    this->setWeights({{"a", 1}});
    this->submitTimed("a", step(4000, 500ms, 100));
    for (int number = 0; number < 20; ++number) {
        this->submitTimed("", step(4000, 500ms));
    }
    this->run(300ms);
    EXPECT_EQ(this->starts["a"], 8);
    EXPECT_EQ(this->starts[""], 8);
    EXPECT_EQ(this->scheduler->waiting(this->now).accounts.size(), 2U);
}

// The members of a gang that finds no room must not count as running, and the gang starts as a whole.
TEST_F(PoolFairnessTest, GangThatFindsNoRoomLeavesThePositionAsItWas)
{
    StepSpec gang = step(24000, 500ms, 3);
    gang.isGang = true;
    this->submitTimed("a", gang);
    this->submitTimed("b", step(4000, 500ms, 8));
    this->run(50ms);
    EXPECT_EQ(this->starts["a"], 0);
    EXPECT_EQ(this->starts["b"], 8);
    const std::vector<AccountLoad> loads = this->scheduler->waiting(this->now).accounts;
    ASSERT_EQ(loads.size(), 2U);
    EXPECT_EQ(loads[0].running, Resources{});
    EXPECT_EQ(loads[1].running.cpu, 32000);
}

// Long-running work keeps the order that it has without accounts: by slack, not by the account's position.
TEST_F(PoolFairnessTest, LongRunningWorkKeepsItsPlace)
{
    StepSpec lasting = step(20000, 1000ms);
    lasting.isLongRunning = true;
    for (int number = 0; number < 3; ++number) {
        this->submitTimed("a", lasting);
    }
    this->submitTimed("b", lasting);
    this->submitTimed("b", step(4000, 500ms));
    this->runTimes.clear();
    for (const auto &[job, account] : this->accountOf) {
        this->runTimes[job] = 60s;
    }
    this->run(50ms);
    EXPECT_EQ(this->starts["a"], 3);
    EXPECT_EQ(this->starts["b"], 1);
}

// Two owners with the same input must decide the same, in whatever order a takeover hands the jobs over.
TEST_F(PoolFairnessTest, OrderOfAccountsAtTheSamePositionIsDeterministic)
{
    std::vector<std::string> orders[2];
    for (int owner = 0; owner < 2; ++owner) {
        this->scheduler = this->makeScheduler(owner + 1, 0, TimePoint{});
        this->setPool(1);
        std::vector<AcceptedJob> jobs;
        for (int number = 0; number < 40; ++number) {
            AcceptedJob accepted = this->job("j" + std::to_string(number + 10), step(4000, 500ms));
            accepted.account = AccountId{"account-" + std::to_string(number % 7)};
            accepted.acceptedAt = this->wall + milliseconds(number * 37 % 11);
            jobs.push_back(accepted);
        }
        if (owner == 1) {
            std::reverse(jobs.begin(), jobs.end());
        }
        for (const AcceptedJob &accepted : jobs) {
            this->add(accepted);
        }
        for (const StartOrder &order : this->plan().starts) {
            orders[owner].push_back(order.run.item.job.value);
        }
    }
    EXPECT_EQ(orders[0].size(), 16U);
    EXPECT_EQ(orders[0], orders[1]);
}

// An account that waits must be reported with its cause, and all of them must be reported in time.
TEST_F(PoolFairnessTest, ReviewReportsWhyAnAccountWaits)
{
    this->submitTimed("a", step(64000, 60s));
    this->run(100ms);
    for (int number = 0; number < 2; ++number) {
        this->submitTimed("b", step(64000, 60s));
        this->submitTimed("a", step(64000, 60s));
    }
    std::map<std::string, WaitingAccount> lines;
    for (int review = 0; review < 6; ++review) {
        this->run(500ms);
        for (const WaitingAccount &line : this->scheduler->reviewWaiting(this->now, this->wall).accounts) {
            lines[line.account.value] = line;
        }
    }
    ASSERT_EQ(lines.size(), 2U);
    EXPECT_EQ(lines["b"].rank, 1);
    EXPECT_EQ(lines["b"].reason, AccountWaitReason::Next);
    EXPECT_EQ(lines["b"].sinceStart, -1ms);
    EXPECT_EQ(lines["b"].beyondRate, 1);
    EXPECT_EQ(lines["a"].reason, AccountWaitReason::BeyondRate);
    EXPECT_EQ(lines["a"].running.cpu, 64000);
    EXPECT_DOUBLE_EQ(lines["a"].position, 1.0);
}

}
}
