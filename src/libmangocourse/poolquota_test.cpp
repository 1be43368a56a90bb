// Tests of account limits in the pool scheduler.
#include "poolscheduler_test.h"

namespace MangoCourse {
namespace {

class PoolQuotaSchedulerTest : public PoolSchedulerTest
{
protected:
    void SetUp() override
    {
        PoolSchedulerTest::SetUp();
        this->config.accounts = std::move(*ClientAccounts::create({ClientAccount{this->tenant, 1.0, Resources{16000, 0, 0}, {"key"}}}));
        this->scheduler->setConfig(this->config);
    }

    // Divides the limit so that the pool has the given share.
    void divide(std::int64_t cpu)
    {
        auto division = std::make_shared<QuotaDivision>(QuotaDivision{this->tenant, ++this->number, Resources{16000, 0, 0}, {}});
        division->shares[ServiceId{"desk"}] = QuotaShare{Resources{cpu, 0, 0}, Resources{cpu, 0, 0}};
        auto divisions = std::make_shared<QuotaDivisions>();
        divisions->number = this->number;
        divisions->byAccount[this->tenant] = division;
        this->scheduler->setDivisions(divisions);
    }

    AcceptedJob accountJob(const std::string &name, std::int32_t count = 1, bool isGang = false)
    {
        StepSpec step;
        step.count = count;
        step.isGang = isGang;
        step.resources = Resources{4000, gigabyte, 0};
        step.estimate = 1000ms;
        AcceptedJob accepted = this->job(name, step);
        accepted.account = this->tenant;
        return accepted;
    }

    // Returns the reason for which the job waits after two seconds.
    WaitReason waitReason()
    {
        this->scheduler->reviewWaiting(this->now, this->wall);
        this->advance(2s);
        this->report("one");
        this->planOnce();
        const WaitingReview review = this->scheduler->reviewWaiting(this->now, this->wall);
        return review.items.empty() ? WaitReason::Unexamined : review.items.front().reason;
    }

    const AccountId tenant{"tenant"};
    std::int64_t number = 0;
};

// An owner that knows no division could start what another pool has been given.
TEST_F(PoolQuotaSchedulerTest, NothingStartsBeforeTheDivisionsAreKnown)
{
    this->setDiscovered({executor("one")});
    this->report("one");
    this->add(this->accountJob("job"));
    EXPECT_TRUE(this->plan().starts.empty());
    EXPECT_EQ(this->waitReason(), WaitReason::AccountLimit);
    this->divide(4000);
    EXPECT_EQ(this->plan().starts.size(), 1U);
}

TEST_F(PoolQuotaSchedulerTest, StartsStayWithinTheShareAndAreReported)
{
    this->setDiscovered({executor("one")});
    this->report("one");
    this->divide(8000);
    this->add(this->accountJob("job", 5));
    this->add(this->job("other"));
    EXPECT_EQ(this->planAndConfirm().starts.size(), 3U) << "two items of the account and one of nobody";
    this->advance(200ms);
    this->planOnce();
    this->advance(200ms);
    this->planOnce();
    const PoolReport report = this->scheduler->report(this->now);
    EXPECT_EQ(report.appliedDivisionNumber, 1);
    EXPECT_TRUE(report.isUsageComplete);
    ASSERT_EQ(report.accounts.size(), 1U);
    EXPECT_EQ(report.accounts.front().running.cpu, 8000);
    EXPECT_EQ(report.accounts.front().wanted.cpu, 20000);
    EXPECT_EQ(report.accounts.front().largest.cpu, 4000);
    EXPECT_TRUE(report.accounts.front().isShort);
    this->confirmedAt = this->now - 1ms;
    this->divide(16000);
    EXPECT_EQ(this->planAndConfirm().starts.size(), 2U);
    EXPECT_EQ(this->scheduler->report(this->now).appliedDivisionNumber, 1) << "another owner may have taken over without reading the division";
    this->confirmedAt.reset();
    this->plan();
    EXPECT_EQ(this->scheduler->report(this->now).appliedDivisionNumber, 2);
}

// Other pools would give up their shares for work that never starts.
TEST_F(PoolQuotaSchedulerTest, ItemsThatNoExecutorCanHoldAreNotReported)
{
    this->setDiscovered({executor("one")});
    this->report("one");
    this->divide(4000);
    AcceptedJob huge = this->accountJob("huge");
    huge.spec.steps.front().resources.cpu = 1'000'000;
    this->add(huge);
    this->add(this->accountJob("gang", 1000, true));
    this->add(this->accountJob("job", 2));
    this->planAndConfirm();
    const PoolReport report = this->scheduler->report(this->now);
    ASSERT_EQ(report.accounts.size(), 1U);
    EXPECT_EQ(report.accounts.front().largest.cpu, 4000);
}

// A gang that starts in part holds its share while its other members wait for more.
TEST_F(PoolQuotaSchedulerTest, GangStartsAsAWholeOrNotAtAll)
{
    this->setDiscovered({executor("one"), executor("two")});
    this->report("one");
    this->report("two");
    this->divide(8000);
    this->add(this->accountJob("gang", 3, true));
    EXPECT_TRUE(this->plan().starts.empty());
    this->divide(12000);
    EXPECT_EQ(this->plan().starts.size(), 3U);
}

// The runs of the previous owner count although nobody has told of them yet.
TEST_F(PoolQuotaSchedulerTest, ExecutorsThatMayHoldUnknownRunsCountAsInUse)
{
    this->scheduler = this->makeScheduler(2, 1000, this->now + 6s);
    this->scheduler->setPreviousExecutors({{ExecutorKey{ExecutorId{"one"}, 100}, location("one")}, {ExecutorKey{ExecutorId{"gone"}, 100}, location("gone")}});
    this->setDiscovered({executor("one"), executor("two")});
    this->divide(8000);
    this->report("two");
    this->add(this->accountJob("job", 3));
    EXPECT_TRUE(this->plan().starts.empty());
    this->report("one");
    EXPECT_TRUE(this->plan().starts.empty()) << "a third executor has not been found";
    EXPECT_FALSE(this->scheduler->report(this->now).isUsageComplete);
    this->advance(6100ms);
    this->report("one");
    this->report("two");
    EXPECT_EQ(this->plan().starts.size(), 2U);
    this->advance(200ms);
    this->planOnce();
    EXPECT_TRUE(this->scheduler->report(this->now).isUsageComplete);
}

// The run may go on until its lease ends, whatever its executor says.
TEST_F(PoolQuotaSchedulerTest, RunsOnSilentExecutorsCountUntilTheirLeasesEnd)
{
    this->setDiscovered({executor("one"), executor("two")});
    this->report("one");
    this->divide(4000);
    this->add(this->accountJob("job", 2));
    ASSERT_EQ(this->planAndConfirm().starts.size(), 1U);
    this->scheduler->onReport(ExecutorKey{ExecutorId{"one"}, 100}, ExecutorReport{}, this->now, this->now, this->wall);
    this->advance(2s);
    this->report("two");
    EXPECT_TRUE(this->plan().starts.empty());
    this->advance(2s);
    this->report("two");
    EXPECT_EQ(this->plan().starts.size(), 1U);
}

// An order that waits to be sent must not use a share that has been taken away.
TEST_F(PoolQuotaSchedulerTest, UnsentStartIsWithheldOnceTheShareIsTooSmall)
{
    this->setDiscovered({executor("one")});
    this->report("one");
    this->divide(8000);
    this->add(this->accountJob("job", 2));
    const SchedulerOrders orders = this->plan();
    ASSERT_EQ(orders.starts.size(), 2U);
    EXPECT_TRUE(this->scheduler->confirmStart(orders.starts.front(), this->watermarks(), this->now));
    this->divide(4000);
    EXPECT_FALSE(this->scheduler->confirmStart(orders.starts.back(), this->watermarks(), this->now));
    EXPECT_TRUE(this->scheduler->confirmStart(orders.starts.front(), this->watermarks(), this->now));
}

// Limits that come into force while work is running would start from zero.
TEST_F(PoolQuotaSchedulerTest, RunsFromBeforeTheLimitAreCounted)
{
    this->config.accounts.reset();
    this->scheduler = this->makeScheduler(2, 1000, TimePoint{});
    this->setDiscovered({executor("one")});
    this->report("one");
    this->add(this->accountJob("job", 3));
    ASSERT_EQ(this->planAndConfirm().starts.size(), 3U);
    EXPECT_TRUE(this->scheduler->report(this->now).accounts.empty());
    this->divide(16000);
    this->add(this->accountJob("more", 3));
    EXPECT_EQ(this->plan().starts.size(), 1U);
}

}
}
