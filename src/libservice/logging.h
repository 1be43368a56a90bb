// Structured logging: one JSON object per line on standard error.
#pragma once

#include <string>

namespace MangoCourse {

// Installs the default spdlog logger. Messages have the form "event=NAME key=value ..." and become JSON fields.
void startLogging(const std::string &process, const std::string &level);

}
