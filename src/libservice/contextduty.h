// A duty that runs an io_context, and the report of duties in state dumps.
#pragma once

#include <stop_token>

#include <nlohmann/json.hpp>

#include <mangocourse/supervisor.h>

#include "asiotypes.h"

namespace MangoCourse {

// Runs the context on this thread until the duty is asked to stop.
inline Result<void> runContext(const std::stop_token &stop, net::io_context &context)
{
    const std::stop_callback wake(stop, [&context] {
        context.stop();
    });
    const auto guard = net::make_work_guard(context);
    context.restart();
    context.run();
    return {};
}

// Returns the duties as a JSON array: name, running, restarts, last error.
inline nlohmann::json dutiesToJson(const Supervisor &supervisor)
{
    nlohmann::json duties = nlohmann::json::array();
    for (const DutyReport &duty : supervisor.report()) {
        duties.push_back({{"name", duty.name}, {"running", duty.running}, {"restarts", duty.restarts}, {"last_error", duty.lastError}});
    }
    return duties;
}

}
