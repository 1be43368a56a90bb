// The duty that plans maintenance and moves for the whole fleet; one process has it at a time.
#pragma once

#include <map>
#include <memory>
#include <optional>

#include <mangocourse/bootclock.h>
#include <mangocourse/fleetplanner.h>

#include "eventlog.h"
#include "nodesettings.h"
#include "operatorfeed.h"
#include "ports.h"

namespace MangoCourse {

// Partitions of the plan stream.
inline constexpr std::int32_t plannerPartition = 0;
inline constexpr std::int32_t reportPartition = 1;
inline constexpr const char *plannerKey = "planner";

// An order to a machine that a planner recorded, and when this process learnt of it, which is never before it was given.
struct SeenOrder {
    WallTime recordedAt{};
    TimePoint seenAt{};
};

using SeenOrders = std::map<MachineId, SeenOrder>;

// Runs until stop(). Its records and orders carry the token, so an earlier planner cannot interfere.
class PlanningDuty : public std::enable_shared_from_this<PlanningDuty>
{
public:
    // `ordersSeen` is missing in a process that has just started: whoever planned before is gone, and its late orders are fenced.
    static std::shared_ptr<PlanningDuty> create(
        net::io_context &context, PlatformAdapter &platform, EventLog &log, const OperatorFeed &feed, std::int64_t token, std::optional<SeenOrders> ordersSeen);
    ~PlanningDuty();

    void start();
    void stop();
    // No order is given later than this, on the clock that goes on while the machine is suspended.
    void setHorizon(TimePoint horizon);

private:
    class Private;
    explicit PlanningDuty(std::unique_ptr<Private> impl);
    std::unique_ptr<Private> d;
};

}
