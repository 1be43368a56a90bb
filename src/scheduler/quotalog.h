// Reports, log lines, gauges and the state dump about the limits of accounts.
#pragma once

#include <chrono>
#include <map>
#include <vector>

#include <nlohmann/json.hpp>

#include <mangocourse/fleetplanner.h>
#include <mangocourse/poolscheduler.h>

#include "eventlog.h"
#include "metrics.h"

namespace MangoCourse {

// Returns true if the planner should learn at once of what has changed since the last report, which was sent `sinceLast` ago.
bool isQuotaReportDue(const PoolReport &report, const PoolReport &last, std::chrono::milliseconds sinceLast);

void logQuotaWaiting(EventLog &log, const ServiceId &service, std::int64_t token, const AccountQuota &quota);
void logQuotaDivided(EventLog &log, std::int64_t token, const QuotaDivision &division);

nlohmann::json asJson(const std::vector<AccountQuota> &quotas);
nlohmann::json asJson(const QuotaDivisions &divisions);

void clearQuotaGauges(Metrics &metrics);
void setQuotaGauges(Metrics &metrics, const ServiceId &service, const std::vector<AccountQuota> &quotas);

}
