// Rendezvous hashing over XXH3.
#include <mangocourse/rendezvous.h>

#include <xxhash.h>

namespace MangoCourse {

ProcessId rendezvousLeader(const std::vector<ProcessId> &processes, std::string_view subject)
{
    ProcessId leader;
    std::uint64_t maxWeight = 0;
    const std::uint64_t seed = XXH3_64bits(subject.data(), subject.size());
    for (const ProcessId &process : processes) {
        const std::uint64_t weight = XXH3_64bits_withSeed(process.value.data(), process.value.size(), seed);
        if (leader.isEmpty() || weight > maxWeight || (weight == maxWeight && process < leader)) {
            leader = process;
            maxWeight = weight;
        }
    }
    return leader;
}

}
