// One scheduler process: a gateway for callers, the owner of some partitions, and at times the planner.
#pragma once

#include <memory>

#include "platformadapter.h"

namespace MangoCourse {

class SchedulerProcess
{
public:
    static Result<std::unique_ptr<SchedulerProcess>> create(net::io_context &context, Metrics &metrics, std::unique_ptr<PlatformAdapter> platform);
    ~SchedulerProcess();

    // Starts all duties on the io_context.
    void start();

    // Hands over all duties, serves callers until they have switched to other processes, then stops the io_context.
    net::awaitable<void> shutDown();

    // Reads the settings again.
    void reload();

    // Logs the complete state as one event.
    void dump();

private:
    class Private;
    explicit SchedulerProcess(std::unique_ptr<Private> impl);
    std::unique_ptr<Private> d;
};

}
