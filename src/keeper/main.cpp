// mangocourse-keeper: applies the platform's log, serves operators and gates, and performs maintenance.
#include <iostream>

#include <gflags/gflags.h>
#include <spdlog/spdlog.h>

#include "api.h"
#include "contextduty.h"
#include "duties.h"
#include "logging.h"
#include "tool.h"

DEFINE_string(settings, "", "settings file of this process");
DEFINE_bool(check, false, "validate the settings file and exit");

namespace MangoCourse {

namespace {

void startDuties(Supervisor &supervisor, KeeperState &state, net::io_context &context)
{
    const auto add = [&](const std::string &name, auto duty) {
        supervisor.start(Duty{name, [&state, duty](const std::stop_token &stop) {
                                  return duty(stop, state);
                              }});
    };
    add("appender", appendRecords);
    add("fleet-follower", followFleet);
    add("ledger-follower", followLedger);
    add("listing", followListing);
    add("peers", exchangeWithPeers);
    add("maintenance", maintain);
    supervisor.start(Duty{"server", [&context](const std::stop_token &stop) {
                              return runContext(stop, context);
                          }});
}

int runKeeper()
{
    Result<ProcessSettings> settings = readProcessSettings(FLAGS_settings, ProcessRole::Keeper);
    if (!settings) {
        std::cerr << describe(settings.error()) << "\n";
        return ExitCode::badUsage;
    }
    if (FLAGS_check) {
        std::cout << FLAGS_settings << ": valid\n";
        return ExitCode::success;
    }
    startLogging(settings->name.value, settings->logLevel);
    net::io_context context{1};
    KeeperState state(std::move(*settings));
    AsyncSignal changed(context);
    state.fleet.onChange([&changed] {
        changed.notify();
    });
    state.ledger.onChange([&changed] {
        changed.notify();
    });
    auto supervisor = Supervisor::create("keeper");
    auto server = HttpServer::create(context, state.settings.admin);
    if (!server) {
        std::cerr << describe(server.error()) << "\n";
        return ExitCode::unavailable;
    }
    addOperatorRoutes(**server, state, changed, **supervisor);
    addPeerRoutes(**server, state, changed);
    (*server)->start();
    startDuties(**supervisor, state, context);
    spdlog::info("event=started role=keeper admin={}", toString((*server)->endpoint()));
    waitForStop([&] {
        std::cout << dumpState(state, **supervisor) << std::endl;
    });
    spdlog::info("event=stopping role=keeper");
    (*supervisor)->stop();
    spdlog::info("event=stopped role=keeper");
    return ExitCode::success;
}

}

}

int main(int argc, char **argv)
{
    MangoCourse::blockSignals();
    MangoCourse::parseFlags(argc, argv,
        "--settings=FILE [flags]\n\nApplies the platform's log, serves operators and gates, and performs maintenance.\n"
        "SIGTERM stops it gracefully; SIGUSR1 prints its state. Exit codes: 0 stopped, 2 bad settings, 3 address not available.\n\n"
        "Examples:\n"
        "  mangocourse-keeper --settings=keeper-a1.toml\n"
        "  mangocourse-keeper --settings=keeper-a1.toml --check");
    return MangoCourse::runKeeper();
}
