// The scenario language: a command per line, run against a World, with a session for a golden file.
#pragma once

#include <iosfwd>
#include <string>

namespace MangoCourse {

// Runs a scenario; writes the session to `out`. Returns the number of expectations that failed, or -1 where a line is malformed, with
// a message that names the line.
int runScript(std::istream &in, const std::string &name, std::ostream &out);

// Returns a description of every command.
std::string scriptHelp();

}
