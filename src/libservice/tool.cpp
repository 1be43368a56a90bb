// Command-line flags and signal handling of all programs.
#include "tool.h"

#include <algorithm>
#include <csignal>
#include <iostream>

#include <gflags/gflags.h>
#include <signal.h>

namespace MangoCourse {

namespace {

sigset_t handledSignals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigaddset(&set, SIGUSR1);
    return set;
}

bool isFlag(std::string_view argument, std::string_view name)
{
    return argument == "--" + std::string(name) || argument == "-" + std::string(name);
}

// Prints the flags that the program defines, without those of gflags itself.
void printHelp(const char *program, const std::string &usage)
{
    std::cout << "Usage: " << program << " " << usage << "\n\nFlags:\n";
    std::vector<gflags::CommandLineFlagInfo> flags;
    gflags::GetAllFlags(&flags);
    for (const gflags::CommandLineFlagInfo &flag : flags) {
        if (flag.filename.find("gflags") == std::string::npos) {
            std::cout << "  --" << flag.name << " (" << flag.type << ", default " << (flag.default_value.empty() ? "\"\"" : flag.default_value) << ")\n      "
                      << flag.description << "\n";
        }
    }
}

// Exits with 2 on an unknown flag, which scripts depend on; gflags would exit with 1.
void rejectUnknownFlag(std::string_view argument)
{
    const auto nameStart = argument.find_first_not_of('-');
    if (argument.empty() || argument.front() != '-' || nameStart == std::string_view::npos) {
        return;
    }
    std::string name(argument.substr(nameStart, argument.find('=') - nameStart));
    std::replace(name.begin(), name.end(), '-', '_');
    gflags::CommandLineFlagInfo info;
    const bool isKnown
        = gflags::GetCommandLineFlagInfo(name.c_str(), &info) || (name.starts_with("no") && gflags::GetCommandLineFlagInfo(name.c_str() + 2, &info));
    if (!isKnown) {
        std::cerr << "unknown flag " << argument << "; see --help\n";
        std::exit(ExitCode::badUsage);
    }
}

}

void parseFlags(int &argc, char **&argv, const std::string &usage)
{
    for (int index = 1; index < argc; ++index) {
        if (isFlag(argv[index], "help")) {
            printHelp(argv[0], usage);
            std::exit(ExitCode::success);
        }
        if (isFlag(argv[index], "version")) {
            std::cout << "mangocourse " << MANGOCOURSE_VERSION << "\n";
            std::exit(ExitCode::success);
        }
    }
    for (int index = 1; index < argc; ++index) {
        rejectUnknownFlag(argv[index]);
    }
    gflags::ParseCommandLineFlags(&argc, &argv, true);
}

void blockSignals()
{
    const sigset_t set = handledSignals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

void waitForStop(const std::function<void()> &dump)
{
    const sigset_t set = handledSignals();
    while (true) {
        int received = 0;
        if (sigwait(&set, &received) != 0) {
            continue;
        }
        if (received != SIGUSR1) {
            return;
        }
        dump();
    }
}

}
