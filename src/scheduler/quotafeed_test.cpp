// Tests of the records of account limits, and of their way from the planner to the owners.
#include "schedulerprocess_test.h"

#include "planningduty.h"
#include "quotafeed.h"
#include "quotalog.h"
#include "recordcodec.h"

namespace MangoCourse {
namespace {

QuotaDivision makeDivision(int pools, bool isHeld)
{
    QuotaDivision division{AccountId{"customer-account-0123"}, 1'000'000, Resources{16'000'000, 32'000'000, 0}, {}};
    for (int pool = 0; pool < pools; ++pool) {
        const Resources share{94'117 + pool, 188'235 + pool, 0};
        const Resources held{isHeld ? 200'000 : share.cpu, isHeld ? 400'000 : share.memory, 0};
        division.shares[ServiceId{"service-pool-" + std::to_string(100 + pool)}] = QuotaShare{share, held};
    }
    return division;
}

TEST(QuotaRecords, DivisionIsReadAsItWasWritten)
{
    for (const bool isHeld : {false, true}) {
        const QuotaDivision division = makeDivision(3, isHeld);
        EXPECT_EQ(decodeQuotaDivision(division.account, encodeQuotaDivision(division)).value(), division);
    }
    EXPECT_FALSE(decodeQuotaDivision(AccountId{"a"}, "garbage").has_value());
}

// The store takes records of up to 262,144 bytes. The sizes are those of docs/CAPACITY.md.
TEST(QuotaRecords, RecordsOfTheTargetSizeFit)
{
    const std::size_t plain = encodeQuotaDivision(makeDivision(170, false)).size();
    const std::size_t held = encodeQuotaDivision(makeDivision(170, true)).size();
    PoolReport report;
    report.service = ServiceId{"service-pool-100"};
    report.appliedDivisionNumber = 1'000'000;
    const std::size_t empty = encodePoolReport(report).size();
    for (int account = 0; account < 700; ++account) {
        report.accounts.push_back(AccountDemand{AccountId{"customer-account-" + std::to_string(1000 + account)}, Resources{94'117, 188'235, 0},
            Resources{150'000, 300'000, 0}, Resources{16'000, 32'000, 0}, false, false});
    }
    const std::size_t full = encodePoolReport(report).size();
    ::testing::Test::RecordProperty("division_bytes", static_cast<int>(plain));
    ::testing::Test::RecordProperty("division_with_held_bytes", static_cast<int>(held));
    ::testing::Test::RecordProperty("report_bytes_per_account", static_cast<int>((full - empty) / 700));
    std::cout << "division " << plain << ", with held shares " << held << ", report per account " << (full - empty) / 700 << " bytes\n";
    EXPECT_LT(held, 16'384U);
    EXPECT_LT(full, 65'536U);
}

TEST(QuotaRecords, ReportCarriesTheAccountsAtItsEnd)
{
    PoolReport report;
    report.service = ServiceId{"desk"};
    const std::string without = encodePoolReport(report);
    report.appliedDivisionNumber = 7;
    report.isUsageComplete = true;
    report.accounts.push_back(AccountDemand{AccountId{"a"}, Resources{1, 2, 3}, Resources{4, 5, 6}, Resources{7, 8, 9}, false, false});
    const std::string with = encodePoolReport(report);
    EXPECT_EQ(decodePoolReport(with).value(), report);
    // The versions before read the elements of the array by number; only the length at its beginning differs.
    EXPECT_EQ(with.substr(1, without.size() - 1), without.substr(1));
    EXPECT_EQ(nlohmann::json::from_cbor(without).size(), 11U);
}

// Divisions of one read take effect together: an owner that applies a later one without the earlier ones would confirm those, too.
TEST_F(SchedulerTest, FeedShowsOnlyWhatACompleteReadHasDelivered)
{
    QuotaFeed feed(*this->log);
    EXPECT_EQ(feed.divisions(), nullptr);
    feed.commit(3);
    QuotaDivision division = makeDivision(2, false);
    feed.apply(StoredRecord{quotaKey(division.account), encodeQuotaDivision(division), 3});
    EXPECT_TRUE(feed.divisions()->byAccount.empty());
    feed.commit(4);
    EXPECT_EQ(feed.divisions()->number, division.number);
    EXPECT_EQ(*feed.divisions()->byAccount.at(division.account), division);
    feed.apply(StoredRecord{quotaKey(division.account), "garbage", 4});
    feed.commit(5);
    const Resources share = shareOf(feed.divisions()->byAccount.at(division.account).get(), nullptr, ServiceId{"service-pool-100"}, 2);
    EXPECT_EQ(share, Resources{}) << "an account of which the division is unreadable starts nothing";
}

class NoMachines : public MachinePort
{
public:
    net::awaitable<Result<std::vector<MachineInfo>>> list() override
    {
        co_return std::vector<MachineInfo>{};
    }
    net::awaitable<MachineOutcome> move(const MachineId &, const ServiceId &, std::int64_t) override
    {
        co_return MachineOutcome::Done;
    }
    net::awaitable<MachineOutcome> maintain(const MachineId &, const WaveId &, std::int64_t) override
    {
        co_return MachineOutcome::Done;
    }
};

class PlanningPlatform : public TestPlatform
{
public:
    using TestPlatform::TestPlatform;

    MachinePort *machines() override
    {
        return &this->noMachines;
    }

private:
    NoMachines noMachines;
};

// A process that divides the limit, applies it as the owner of a pool and reports it.
TEST_F(SchedulerTest, DivisionReachesTheOwnersAndIsConfirmed)
{
    const AccountId account{"tenant"};
    FleetConfig limited = *this->config;
    limited.services.emplace(ServiceId{"far"}, ServiceConfig{ServiceId{"far"}, {}, 64, true, false});
    limited.accounts = std::move(*ClientAccounts::create({ClientAccount{account, 1.0, Resources{16000, 0, 0}, {"key"}}}));
    std::map<std::string, FleetConfig> configs{{"1", limited}};
    this->store.partitions[{Stream::Operator, 0}].records.push_back(StoredRecord{"config", "1", 0});
    this->store.membership = Membership{5, {OwnedPartition{Stream::Plan, plannerPartition}, OwnedPartition{Stream::Jobs, 0}}};
    CallerService *service = nullptr;
    const auto process = std::move(*SchedulerProcess::create(
        this->context, this->metrics, std::make_unique<PlanningPlatform>(this->store, this->executors, this->settings, configs, service)));
    process->start();
    const auto &reports = this->store.partitions[{Stream::Plan, reportPartition}].records;
    this->runUntil([&reports] {
        return std::any_of(reports.begin(), reports.end(), [](const StoredRecord &record) {
            const auto report = decodePoolReport(record.value);
            return report && report->appliedDivisionNumber == 1 && report->isUsageComplete;
        });
    });
    const auto &plan = this->store.partitions[{Stream::Plan, plannerPartition}].records;
    const auto stored = std::find_if(plan.begin(), plan.end(), [](const StoredRecord &record) {
        return isQuotaKey(record.key);
    });
    ASSERT_NE(stored, plan.end());
    const QuotaDivision division = decodeQuotaDivision(account, stored->value).value();
    EXPECT_EQ(division.shares.at(ServiceId{"desk"}).share.cpu, 8000);
    EXPECT_EQ(division.shares.at(ServiceId{"far"}).share.cpu, 8000);
}

// The planner would learn only from the next regular report, 1.5 s later, that a share is needed or has become free.
TEST(QuotaReports, AreDueAtOnceWhenTheDivisionHasToChange)
{
    PoolReport last;
    last.accounts.push_back(AccountDemand{AccountId{"a"}, Resources{4000, 0, 0}, Resources{8000, 0, 0}, {}, false, false});
    PoolReport report = last;
    EXPECT_FALSE(isQuotaReportDue(report, last, 200ms));
    report.accounts.front().wanted.cpu = 9000;
    EXPECT_FALSE(isQuotaReportDue(report, last, 200ms)) << "it fits the share";
    report.accounts.front().isShort = true;
    EXPECT_TRUE(isQuotaReportDue(report, last, 200ms));
    report = last;
    report.appliedDivisionNumber = 1;
    EXPECT_FALSE(isQuotaReportDue(report, last, 200ms)) << "the shares of this pool are as before";
    report.shareNumber = 1;
    EXPECT_TRUE(isQuotaReportDue(report, last, 200ms));
    report = last;
    report.accounts.front().isShort = true;
    PoolReport shortBefore = report;
    report.accounts.front().wanted.cpu = 8100;
    EXPECT_FALSE(isQuotaReportDue(report, shortBefore, 200ms));
    EXPECT_TRUE(isQuotaReportDue(report, shortBefore, 400ms)) << "the pool waits for a small part of the limit";
    report = last;
    report.accounts.clear();
    EXPECT_TRUE(isQuotaReportDue(report, last, 200ms)) << "the account wants nothing any more";
    report = last;
    report.accounts.front().running.cpu = 2000;
    EXPECT_FALSE(isQuotaReportDue(report, last, 200ms));
    last.accounts.front().isOverShare = true;
    EXPECT_TRUE(isQuotaReportDue(report, last, 200ms)) << "other pools wait for what runs beyond the share";
}

}
}
