// Tells operators how close a process comes to the limit of its memory.
#pragma once

#include <cstddef>
#include <memory>

#include <mangocourse/orderbudget.h>

#include "asiotypes.h"
#include "eventlog.h"
#include "metrics.h"

namespace MangoCourse {

// Logs when the resident memory comes close to the limit and when it is well below again, and sets the gauges of memory and of orders under way.
class MemoryWatch
{
public:
    // `limit`: in bytes. `orders`: the budget for all orders of the process.
    MemoryWatch(net::io_context &context, EventLog &log, Metrics &metrics, std::size_t limit, std::shared_ptr<const OrderBudget> orders);

    // Checks the memory until stop().
    net::awaitable<void> run();
    void stop();
    void setGauges();

private:
    net::io_context &context;
    EventLog &log;
    Metrics &metrics;
    std::size_t limit;
    std::shared_ptr<const OrderBudget> orders;
    bool isStopped = false;
};

}
