// Interpreter of the scenario language: one command per line, run against a Simulation.
#pragma once

#include <iosfwd>
#include <string>

namespace MangoCourse {

// Runs a scenario and writes its lines and results to `out`, which tests compare with a golden file. Returns the number of failed expectations, or
// -1 after a malformed line, with a message that names the line.
int runScript(std::istream &in, const std::string &name, std::ostream &out);

// Returns the usage of every command, one a line.
std::string scriptHelp();

}
