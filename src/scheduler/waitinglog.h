// Log lines, gauges and the state dump about work that waits.
#pragma once

#include <mangocourse/poolscheduler.h>

#include <nlohmann/json.hpp>

#include "eventlog.h"
#include "metrics.h"

namespace MangoCourse {

// Writes the lines of a review. `token` is the fencing token of the owner.
void logReview(EventLog &log, const ServiceId &service, std::int64_t token, const WaitingReview &review);

// Writes the line of an event that concerns an executor and no item.
void logExecutorEvent(EventLog &log, std::int64_t token, const SchedulerEvent &event);

// Returns the numbers that are not zero.
nlohmann::json asJson(const PoolWaiting &waiting);

// Sets the gauges of one pool.
void setGauges(Metrics &metrics, const ServiceId &service, const PoolWaiting &waiting);
// Removes the gauges of all pools.
void clearGauges(Metrics &metrics);

}
