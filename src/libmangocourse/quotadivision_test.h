// Configurations and reports for tests of the division of limits.
#pragma once

#include <mangocourse/fleetplanner.h>
#include <mangocourse/quotadivision.h>

#include <gtest/gtest.h>

#include <set>

namespace MangoCourse {

inline const AccountId account{"tenant"};

inline FleetConfig makeConfig(const std::set<ServiceId> &pools, const Resources &limit)
{
    FleetConfig config;
    for (const ServiceId &pool : pools) {
        config.services.emplace(pool, ServiceConfig{pool, {}, 1, true, false});
    }
    config.accounts = std::move(*ClientAccounts::create({ClientAccount{account, 1.0, limit, {"key"}}}));
    return config;
}

inline PoolReport makeReport(const ServiceId &pool, std::int64_t number, std::int64_t applied, Resources running, Resources wanted, Resources largest = {})
{
    PoolReport report;
    report.service = pool;
    report.token = 1;
    report.number = number;
    report.appliedDivisionNumber = applied;
    report.isUsageComplete = true;
    report.accounts.push_back(AccountDemand{account, running, wanted, largest});
    return report;
}

}
