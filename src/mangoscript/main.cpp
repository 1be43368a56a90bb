// mangoscript: runs scenario files against the production coordination code on a virtual clock.
#include <fstream>
#include <iostream>

#include "script.h"
#include "tool.h"

int main(int argc, char **argv)
{
    const std::string usage = "FILE\n\nRuns a scenario and prints the session. Exit codes: 0 all expectations met, 1 some not, 2 malformed.\n\n"
                              "Examples:\n  mangoscript testsuite/wave-rack-lost/input.scn\n\nCommands:\n"
        + MangoCourse::scriptHelp();
    MangoCourse::parseFlags(argc, argv, usage);
    if (argc != 2) {
        std::cerr << "usage: mangoscript FILE; see --help\n";
        return MangoCourse::ExitCode::badUsage;
    }
    std::ifstream file(argv[1]);
    if (!file) {
        std::cerr << argv[1] << ": cannot be read\n";
        return MangoCourse::ExitCode::badUsage;
    }
    const std::string path(argv[1]);
    const int failures = MangoCourse::runScript(file, path.substr(path.rfind('/') + 1), std::cout);
    if (failures < 0) {
        return MangoCourse::ExitCode::badUsage;
    }
    return failures == 0 ? MangoCourse::ExitCode::success : MangoCourse::ExitCode::failure;
}
