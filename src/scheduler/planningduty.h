// Planning of maintenance and moves for the whole fleet. One process performs it at a time.
#pragma once

#include <map>
#include <memory>
#include <optional>

#include <mangocourse/bootclock.h>
#include <mangocourse/fleetplanner.h>

#include "eventlog.h"
#include "metrics.h"
#include "nodesettings.h"
#include "operatorfeed.h"
#include "ports.h"

namespace MangoCourse {

// Partitions of the plan stream.
inline constexpr std::int32_t plannerPartition = 0;
inline constexpr std::int32_t reportPartition = 1;
inline constexpr const char *plannerKey = "planner";

// An order to a machine, as recorded by a planner, and the time at which this process read the record. That time is never before the order was
// recorded.
struct SeenOrder {
    WallTime recordedAt{};
    TimePoint seenAt{};
};

using SeenOrders = std::map<MachineId, SeenOrder>;

// Removes what PlanningDuty::setGauges() has set.
void clearPlanGauges(Metrics &metrics);

// Plans until stop(). Records and orders carry the token, so that an earlier planner cannot interfere.
class PlanningDuty : public std::enable_shared_from_this<PlanningDuty>
{
public:
    // `seenOrders` is std::nullopt in a process that has only just started. No earlier planner is active by then, and late orders of earlier planners are
    // fenced off.
    static std::shared_ptr<PlanningDuty> create(
        net::io_context &context, PlatformAdapter &platform, EventLog &log, const OperatorFeed &feed, std::int64_t token, std::optional<SeenOrders> seenOrders);
    ~PlanningDuty();

    void start();
    void stop();
    // Returns true after stop(), or after a planner with a higher token has fenced this one off.
    bool hasEnded() const;
    // Sets the boot time after which no order is given. The boot clock includes the time for which the machine is suspended.
    void setOrderDeadline(TimePoint orderDeadline);
    // Sets the gauges of the sizes and forecasts of all pools.
    void setGauges(Metrics &metrics) const;

private:
    class Private;
    explicit PlanningDuty(std::unique_ptr<Private> impl);
    std::unique_ptr<Private> d;
};

}
