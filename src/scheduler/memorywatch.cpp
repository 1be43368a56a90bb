// Log lines and gauges of the memory of a process.
#include "memorywatch.h"

#include <optional>

#include "event.h"
#include "processmemory.h"

namespace MangoCourse {

namespace {

constexpr std::chrono::milliseconds checkInterval{1000};
// Shares of the limit beyond and below which the use of memory is logged.
constexpr double highShare = 0.8;
constexpr double lowShare = 0.7;

}

MemoryWatch::MemoryWatch(net::io_context &context, EventLog &log, Metrics &metrics, std::size_t limit, std::shared_ptr<const OrderBudget> orders)
    : context(context)
    , log(log)
    , metrics(metrics)
    , limit(limit)
    , orders(std::move(orders))
{
}

net::awaitable<void> MemoryWatch::run()
{
    bool isHigh = false;
    while (!this->isStopped) {
        const std::optional<std::size_t> resident = residentMemory();
        if (!resident) {
            this->log.emit("memory_unknown", {{"limit_bytes", static_cast<std::int64_t>(this->limit)}}, EventPriority::Essential);
            co_return;
        }
        const double share = static_cast<double>(*resident) / static_cast<double>(this->limit);
        if (isHigh ? share < lowShare : share >= highShare) {
            isHigh = !isHigh;
            this->log.emit(isHigh ? "memory_high" : "memory_low",
                {{"bytes", static_cast<std::int64_t>(*resident)}, {"limit_bytes", static_cast<std::int64_t>(this->limit)},
                    {"orders", static_cast<std::int64_t>(this->orders->used())}, {"orders_limit", static_cast<std::int64_t>(this->orders->limit())}},
                EventPriority::Essential);
        }
        co_await sleepFor(this->context, checkInterval);
    }
}

void MemoryWatch::stop()
{
    this->isStopped = true;
}

void MemoryWatch::setGauges()
{
    if (const std::optional<std::size_t> resident = residentMemory()) {
        this->metrics.set("mangocourse_memory_bytes", "Resident memory of the process.", static_cast<double>(*resident));
    }
    this->metrics.set("mangocourse_memory_limit_bytes", "Memory beyond which the process is killed.", static_cast<double>(this->limit));
    this->metrics.set("mangocourse_orders_under_way", "Orders to executors that are under way.", static_cast<double>(this->orders->used()));
    this->metrics.set("mangocourse_orders_limit", "Orders to executors that may be under way.", static_cast<double>(this->orders->limit()));
}

}
