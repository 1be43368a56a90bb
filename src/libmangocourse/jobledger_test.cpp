// The ledger: claims, lapses, outcomes.
#include <gtest/gtest.h>

#include <mangocourse/jobledger.h>
#include <mangocourse/leasewatch.h>

namespace MangoCourse {

namespace {

const JobId job{"team:key"};

class Ledger
{
public:
    RecordVerdict apply(RecordBody body)
    {
        ++this->offset;
        return this->ledger.apply(this->offset, Record{RecordId{"r" + std::to_string(this->offset)}, std::move(body)});
    }
    void accept(bool idempotent)
    {
        this->apply(AcceptJob{job, ServiceId{"s"}, TeamId{"team"}, idempotent, "payload"});
    }
    Offset claim()
    {
        return this->apply(ClaimJob{job, ProcessId{"gate"}}).offset;
    }

    JobLedger ledger;
    Offset offset = 0;
};

}

TEST(JobLedger, OneClaimAtATime)
{
    Ledger ledger;
    ledger.accept(false);
    ledger.claim();
    EXPECT_EQ(ledger.apply(ClaimJob{job, ProcessId{"other"}}).refusal, Refusal::AlreadyClaimed);
    EXPECT_EQ(ledger.apply(AcceptJob{job, ServiceId{"s"}, TeamId{"team"}, false, ""}).refusal, Refusal::AlreadyExists);
}

TEST(JobLedger, WorkThatMayRunOnceIsNeverClaimedAfterALapse)
{
    Ledger ledger;
    ledger.accept(false);
    const Offset claim = ledger.claim();
    ledger.apply(ReleaseJob{job, claim, ReleaseReason::LeaseExpired});
    EXPECT_EQ(ledger.ledger.job(job)->status, JobStatus::Abandoned);
    EXPECT_FALSE(ledger.ledger.job(job)->reason.empty());
    EXPECT_EQ(ledger.apply(ClaimJob{job, ProcessId{"other"}}).refusal, Refusal::AlreadyFinal);
}

TEST(JobLedger, LateOutcomeSettlesTheDoubt)
{
    Ledger ledger;
    ledger.accept(false);
    const Offset claim = ledger.claim();
    ledger.apply(ReleaseJob{job, claim, ReleaseReason::LeaseExpired});
    EXPECT_TRUE(ledger.apply(FinishJob{job, claim, 200, "done"}).isAccepted());
    EXPECT_EQ(ledger.ledger.job(job)->status, JobStatus::Finished);
    EXPECT_EQ(ledger.apply(FinishJob{job, claim, 500, "second"}).refusal, Refusal::AlreadyFinal);
    EXPECT_EQ(ledger.ledger.job(job)->outcome, "done");
    EXPECT_EQ(ledger.ledger.count(JobStatus::Abandoned), 0U);
}

TEST(JobLedger, ProvablyNotRunIsClaimedAgain)
{
    Ledger ledger;
    ledger.accept(false);
    ledger.apply(ReleaseJob{job, ledger.claim(), ReleaseReason::NotRun});
    EXPECT_EQ(ledger.ledger.waiting(5), std::vector<JobId>{job});
    EXPECT_GT(ledger.claim(), 0);
    EXPECT_EQ(ledger.ledger.job(job)->status, JobStatus::Claimed);
}

TEST(JobLedger, JobThatFailsEverywhereEndsWithAReason)
{
    Ledger ledger;
    ledger.accept(true);
    for (int run = 0; run < JobLedger::maxFailedRuns; ++run) {
        EXPECT_EQ(ledger.ledger.job(job)->status, JobStatus::Waiting);
        ledger.apply(ReleaseJob{job, ledger.claim(), ReleaseReason::RunFailed});
    }
    EXPECT_EQ(ledger.ledger.job(job)->status, JobStatus::Failed);
    EXPECT_NE(ledger.ledger.job(job)->reason.find("failed"), std::string::npos);
}

TEST(JobLedger, CancelOnlyBeforeAClaim)
{
    Ledger ledger;
    ledger.accept(false);
    const Offset claim = ledger.claim();
    EXPECT_EQ(ledger.apply(CancelJob{job}).refusal, Refusal::AlreadyClaimed);
    ledger.apply(ReleaseJob{job, claim, ReleaseReason::NotRun});
    EXPECT_TRUE(ledger.apply(CancelJob{job}).isAccepted());
    EXPECT_EQ(ledger.apply(ClaimJob{job, {}}).refusal, Refusal::AlreadyFinal);
}

TEST(JobLedger, SnapshotRoundTrip)
{
    Ledger ledger;
    ledger.accept(true);
    ledger.claim();
    ledger.apply(AcceptJob{JobId{"second"}, ServiceId{"s"}, {}, false, ""});
    const Result<JobLedger> restored = JobLedger::fromJson(ledger.ledger.toJson());
    ASSERT_TRUE(restored.has_value());
    EXPECT_EQ(restored->toJson(), ledger.ledger.toJson());
    EXPECT_EQ(restored->claimed(), ledger.ledger.claimed());
}

TEST(LeaseWatch, WaitsLongerThanTheHoldersLease)
{
    using namespace std::chrono_literals;
    LeaseWatch watch;
    const std::map<JobId, Offset> claims = {{job, 7}};
    const TimePoint start{1s};
    EXPECT_TRUE(watch.collectExpired(claims, 1000ms, start).empty());
    EXPECT_TRUE(watch.collectExpired(claims, 1000ms, start + 1200ms).empty());
    ASSERT_EQ(watch.collectExpired(claims, 1000ms, start + 1600ms).size(), 1U);
    EXPECT_TRUE(watch.collectExpired({{job, 9}}, 1000ms, start + 1700ms).empty());
}

}
