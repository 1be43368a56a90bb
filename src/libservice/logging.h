// Structured logs: one JSON object per line on standard error.
#pragma once

#include <string>

namespace MangoCourse {

// Sets the process's logger; messages are "event=NAME key=value ..." and become JSON fields.
void startLogging(const std::string &process, const std::string &level);

}
