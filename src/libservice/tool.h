// Start-up and shutdown shared by all programs: flags, version, signals, exit codes.
#pragma once

#include <functional>
#include <string>

#include "asiotypes.h"

namespace MangoCourse {

// Exit codes, which scripts depend on.
namespace ExitCode {
inline constexpr int success = 0;
inline constexpr int failure = 1;
inline constexpr int badUsage = 2;
inline constexpr int unavailable = 3;
inline constexpr int refused = 4;
}

// Parses the command line with gflags. --help and --version print and exit with 0; an unknown flag exits with 2.
void parseFlags(int &argc, char **&argv, const std::string &usage);

// Blocks the signals that waitForStop() handles, and ignores SIGPIPE. Call before any thread starts.
void blockSignals();

// Calls `dump` at each SIGUSR1 and returns at SIGTERM or SIGINT.
void waitForStop(const std::function<void()> &dump);

}
