// Rendezvous hashing over XXH3.
#include <mangocourse/rendezvous.h>

#include <xxhash.h>

namespace MangoCourse {

ProcessId rendezvousLeader(const std::vector<ProcessId> &processes, std::string_view subject)
{
    ProcessId leader;
    std::uint64_t heaviest = 0;
    const std::uint64_t seed = XXH3_64bits(subject.data(), subject.size());
    for (const ProcessId &process : processes) {
        const std::uint64_t weight = XXH3_64bits_withSeed(process.value.data(), process.value.size(), seed);
        if (leader.isEmpty() || weight > heaviest || (weight == heaviest && process < leader)) {
            leader = process;
            heaviest = weight;
        }
    }
    return leader;
}

}
