// Runs an io_context as a supervised duty, and reports the duties' state as JSON.
#pragma once

#include <stop_token>

#include <nlohmann/json.hpp>

#include <mangocourse/supervisor.h>

#include "asiotypes.h"

namespace MangoCourse {

// Runs the context on this thread until stop is requested.
inline Result<void> runContext(const std::stop_token &stop, net::io_context &context)
{
    const std::stop_callback onStop(stop, [&context] {
        context.stop();
    });
    const auto workGuard = net::make_work_guard(context);
    context.restart();
    context.run();
    return {};
}

// Returns a JSON array with name, running, restarts and last_error of each duty.
inline nlohmann::json dutiesToJson(const Supervisor &supervisor)
{
    nlohmann::json duties = nlohmann::json::array();
    for (const DutyReport &duty : supervisor.report()) {
        duties.push_back({{"name", duty.name}, {"running", duty.running}, {"restarts", duty.restarts}, {"last_error", duty.lastError}});
    }
    return duties;
}

}
