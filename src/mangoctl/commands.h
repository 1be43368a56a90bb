// Commands of mangoctl.
#pragma once

#include <string>
#include <vector>

namespace MangoCourse {

// Options that apply to every command. `keepers` is a comma-separated list of addresses.
struct CommandOptions {
    std::string keepers;
    std::string token;
    bool json = false;
    bool dryRun = false;
    bool assumeYes = false;
};

// Runs the command that the words name with the words that follow as its arguments. Returns the exit code.
int runCommand(const CommandOptions &options, const std::vector<std::string> &words);

}
