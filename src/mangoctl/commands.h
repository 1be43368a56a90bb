// The commands of mangoctl.
#pragma once

#include <string>
#include <vector>

namespace MangoCourse {

// How a command prints and whether it only shows what it would do.
struct CommandOptions {
    std::string keepers;
    std::string token;
    bool json = false;
    bool dryRun = false;
    bool assumeYes = false;
};

// Runs the words of a command line; returns the exit code.
int runCommand(const CommandOptions &options, const std::vector<std::string> &words);

}
