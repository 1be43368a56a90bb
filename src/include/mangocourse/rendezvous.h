// Rendezvous hashing: every process ranks the same names in the same order without talking.
#pragma once

#include <string_view>
#include <vector>

#include <mangocourse/ids.h>

namespace MangoCourse {

// Returns the process of highest weight for the subject, or an empty id where there are none.
ProcessId rendezvousLeader(const std::vector<ProcessId> &processes, std::string_view subject);

}
