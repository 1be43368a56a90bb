// One scheduler process: a gateway for callers, owner of some partitions, at times planner of the machines.
#pragma once

#include <memory>

#include "platformadapter.h"

namespace MangoCourse {

class SchedulerProcess
{
public:
    static Result<std::unique_ptr<SchedulerProcess>> create(net::io_context &context, Metrics &metrics, std::unique_ptr<PlatformAdapter> platform);
    ~SchedulerProcess();

    // Starts all duties; they run on the io_context.
    void start();

    // Hands duties over, serves callers until they have gone elsewhere, then stops the io_context.
    net::awaitable<void> retire();

    // Reads the settings again.
    void reload();

    // Writes the whole state as one event.
    void dump();

private:
    class Private;
    explicit SchedulerProcess(std::unique_ptr<Private> impl);
    std::unique_ptr<Private> d;
};

}
