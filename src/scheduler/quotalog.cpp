// Reports, log lines, gauges and the state dump about the limits of accounts.
#include "quotalog.h"

#include <algorithm>

namespace MangoCourse {

namespace {

// With more shares than this the state dump names only the limits.
constexpr std::size_t maxDumpedShares = 2000;

constexpr const char *shareGauge = "mangocourse_account_share_millicores";
constexpr const char *runningGauge = "mangocourse_account_running_millicores";
constexpr const char *wantedGauge = "mangocourse_account_wanted_millicores";
constexpr const char *waitingGauge = "mangocourse_account_waiting_seconds";

// A pool that is short reports a small rise of its want after this time. A rise by a quarter is reported at once.
constexpr std::chrono::milliseconds riseInterval{360};

nlohmann::json asJson(const Resources &resources)
{
    return {{"cpu", resources.cpu}, {"mem_mb", resources.memory}, {"gpu", resources.accelerators}};
}

bool hasHalved(const Resources &now, const Resources &before)
{
    return now.cpu < before.cpu / 2 || now.memory < before.memory / 2 || now.accelerators < before.accelerators / 2;
}

bool hasRisen(const Resources &now, const Resources &before)
{
    const auto rises = [](std::int64_t one, std::int64_t other) {
        return one > other + other / 4;
    };
    return rises(now.cpu, before.cpu) || rises(now.memory, before.memory) || rises(now.accelerators, before.accelerators);
}

bool isDue(const AccountDemand &now, const AccountDemand &before, std::chrono::milliseconds sinceLast)
{
    const bool hasRisenAtAll = !before.wanted.covers(now.wanted) && sinceLast >= riseInterval;
    const bool isShorter = now.isShort && (!before.isShort || now.largest != before.largest || hasRisenAtAll || hasRisen(now.wanted, before.wanted));
    // Others wait for what runs beyond the share.
    const bool isExcessLower = before.isOverShare && now.running != before.running;
    return isShorter || isExcessLower || hasHalved(now.wanted, before.wanted);
}

}

bool isQuotaReportDue(const PoolReport &report, const PoolReport &last, std::chrono::milliseconds sinceLast)
{
    // Divisions that do not change a share of this pool are confirmed with the next report.
    if (report.shareNumber != last.shareNumber || report.isUsageComplete != last.isUsageComplete) {
        return true;
    }
    // Both lists are in the order of the accounts.
    auto before = last.accounts.begin();
    const AccountDemand none;
    for (const AccountDemand &now : report.accounts) {
        while (before != last.accounts.end() && before->account < now.account) {
            if (isDue(none, *before++, sinceLast)) {
                return true;
            }
        }
        const bool isKnown = before != last.accounts.end() && before->account == now.account;
        if (isDue(now, isKnown ? *before++ : none, sinceLast)) {
            return true;
        }
    }
    return std::any_of(before, last.accounts.end(), [&none, sinceLast](const AccountDemand &gone) {
        return isDue(none, gone, sinceLast);
    });
}

void logQuotaWaiting(EventLog &log, const ServiceId &service, std::int64_t token, const AccountQuota &quota)
{
    log.emit("quota_waiting",
        {{"account", quota.account.value}, {"service", service.value}, {"token", token}, {"share_cpu", quota.share.cpu}, {"share_mem_mb", quota.share.memory},
            {"share_gpu", quota.share.accelerators}, {"running_cpu", quota.running.cpu}, {"running_mem_mb", quota.running.memory},
            {"running_gpu", quota.running.accelerators}, {"wanted_cpu", quota.wanted.cpu}, {"wanted_mem_mb", quota.wanted.memory},
            {"wanted_gpu", quota.wanted.accelerators}, {"number", quota.number}, {"age_ms", std::int64_t(quota.age.count())}});
}

void logQuotaDivided(EventLog &log, std::int64_t token, const QuotaDivision &division)
{
    std::int64_t divided = 0;
    std::int64_t held = 0;
    for (const auto &[pool, share] : division.shares) {
        divided += share.share.cpu;
        held += share.held.cpu - share.share.cpu;
    }
    log.emit("quota_divided",
        {{"account", division.account.value}, {"token", token}, {"number", division.number}, {"cpu", division.limit.cpu}, {"mem_mb", division.limit.memory},
            {"gpu", division.limit.accelerators}, {"pools", std::int64_t(division.shares.size())}, {"shared_cpu", divided}, {"held_cpu", held}});
}

nlohmann::json asJson(const std::vector<AccountQuota> &quotas)
{
    nlohmann::json accounts = nlohmann::json::object();
    for (const AccountQuota &quota : quotas) {
        accounts[quota.account.value] = {{"share", asJson(quota.share)}, {"running", asJson(quota.running)}, {"wanted", asJson(quota.wanted)},
            {"number", quota.number}, {"waiting_ms", quota.age.count()}};
    }
    return accounts;
}

nlohmann::json asJson(const QuotaDivisions &divisions)
{
    std::size_t shares = 0;
    for (const auto &[account, division] : divisions.byAccount) {
        shares += division->shares.size();
    }
    nlohmann::json accounts = nlohmann::json::object();
    for (const auto &[account, division] : divisions.byAccount) {
        nlohmann::json &entry = accounts[account.value];
        entry = {{"number", division->number}, {"limit", asJson(division->limit)}};
        if (shares <= maxDumpedShares) {
            for (const auto &[pool, share] : division->shares) {
                entry["shares"][pool.value] = asJson(share.share);
                if (share.held != share.share) {
                    entry["held"][pool.value] = asJson(share.held);
                }
            }
        }
    }
    return {{"number", divisions.number}, {"accounts", accounts}};
}

void clearQuotaGauges(Metrics &metrics)
{
    for (const char *name : {shareGauge, runningGauge, wantedGauge, waitingGauge}) {
        metrics.removeGauge(name);
    }
}

void setQuotaGauges(Metrics &metrics, const ServiceId &service, const std::vector<AccountQuota> &quotas)
{
    for (const AccountQuota &quota : quotas) {
        const std::string labels = "service=\"" + service.value + "\",account=\"" + quota.account.value + "\"";
        metrics.set(
            shareGauge, "Share of the account's limit in a pool owned here; 1e15 if its CPU is not limited.", static_cast<double>(quota.share.cpu), labels);
        metrics.set(runningGauge, "What the account has running in a pool owned here.", static_cast<double>(quota.running.cpu), labels);
        metrics.set(wantedGauge, "Running and ready work items of the account in a pool owned here.", static_cast<double>(quota.wanted.cpu), labels);
        metrics.set(waitingGauge, "How long work of the account has waited because of its share.", std::chrono::duration<double>(quota.age).count(), labels);
    }
}

}
