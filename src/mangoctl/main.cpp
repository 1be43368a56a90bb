// mangoctl: command-line tool for operators.
#include <cstdlib>
#include <iostream>

#include <gflags/gflags.h>

#include "commands.h"
#include "tool.h"

DEFINE_string(keepers, "", "addresses of keepers, comma-separated; else $MANGOCOURSE_KEEPERS");
DEFINE_string(token, "", "operators' token; else $MANGOCOURSE_TOKEN");
DEFINE_string(output, "table", "table or json");
DEFINE_bool(dry_run, false, "show what would change and change nothing");
DEFINE_bool(yes, false, "do not ask before dangerous changes");

namespace {

std::string flagOrEnvironment(const std::string &flag, const char *name)
{
    const char *value = std::getenv(name);
    return flag.empty() && value != nullptr ? value : flag;
}

}

int main(int argc, char **argv)
{
    MangoCourse::parseFlags(argc, argv,
        "[flags] COMMAND\n\nThe operators' command line. Exit codes: 0 done, 2 bad usage, 3 no keeper reached, 4 refused.\n\n"
        "Examples:\n"
        "  mangoctl status\n"
        "  mangoctl fleet check examples/kocka-znova/fleet.toml\n"
        "  mangoctl settings set request.timeout_ms 3000 sorting\n"
        "  mangoctl wave start sorting spring && mangoctl wave watch spring");
    MangoCourse::CommandOptions options;
    options.keepers = flagOrEnvironment(FLAGS_keepers, "MANGOCOURSE_KEEPERS");
    options.token = flagOrEnvironment(FLAGS_token, "MANGOCOURSE_TOKEN");
    options.dryRun = FLAGS_dry_run;
    options.assumeYes = FLAGS_yes;
    options.json = FLAGS_output == "json";
    if (FLAGS_output != "json" && FLAGS_output != "table") {
        std::cerr << "--output: found \"" << FLAGS_output << "\", allowed are table and json\n";
        return MangoCourse::ExitCode::badUsage;
    }
    return MangoCourse::runCommand(options, std::vector<std::string>(argv + 1, argv + argc));
}
