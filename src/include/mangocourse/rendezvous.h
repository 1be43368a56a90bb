// Rendezvous (highest random weight) hashing: processes with the same member list choose the same leader without communicating.
#pragma once

#include <string_view>
#include <vector>

#include <mangocourse/ids.h>

namespace MangoCourse {

// Returns the process with the highest weight for the subject, or an empty identifier when there are no processes.
ProcessId rendezvousLeader(const std::vector<ProcessId> &processes, std::string_view subject);

}
