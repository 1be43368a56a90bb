// mangocourse-scheduler: accepts jobs, runs their work items on executors, and maintains the machines.
#include <csignal>
#include <iostream>

#include <gflags/gflags.h>

#include "schedulerprocess.h"
#include "tool.h"

using namespace MangoCourse;

namespace {

// Takes signals until the process is asked to stop.
net::awaitable<void> handleSignals(net::signal_set &signals, SchedulerProcess &process)
{
    while (true) {
        SystemErrorCode error;
        const int signal = co_await signals.async_wait(captureError(error));
        if (error) {
            co_return;
        }
        if (signal == SIGHUP) {
            process.reload();
        } else if (signal == SIGUSR1) {
            process.dump();
        } else {
            co_await process.retire();
            co_return;
        }
    }
}

}

int main(int argc, char **argv)
{
    parseFlags(argc, argv,
        "mangocourse-scheduler\n\nRuns with the settings file that the platform provides.\n"
        "SIGTERM hands duties over and stops, SIGHUP reads the settings again, SIGUSR1 dumps the state.\n\n"
        "Examples:\n  mangocourse-scheduler\n  kill -USR1 PID    # one \"state\" event on standard output");
    std::signal(SIGPIPE, SIG_IGN);
    net::io_context context(1);
    Metrics metrics;
    Result<std::unique_ptr<PlatformAdapter>> platform = openPlatform(context, metrics);
    if (!platform) {
        std::cerr << "mangocourse-scheduler: " << describe(platform.error()) << "\n";
        return ExitCode::badUsage;
    }
    Result<std::unique_ptr<SchedulerProcess>> process = SchedulerProcess::create(context, metrics, std::move(*platform));
    if (!process) {
        std::cerr << "mangocourse-scheduler: " << describe(process.error()) << "\n";
        return ExitCode::unavailable;
    }
    net::signal_set signals(context, SIGTERM, SIGINT, SIGHUP);
    signals.add(SIGUSR1);
    net::co_spawn(context, handleSignals(signals, **process), net::detached);
    (*process)->start();
    context.run();
    return ExitCode::success;
}
