// What the executors ran, counted outside the system: the judge of "ran twice" and "not run but ran".
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace MangoCourse {

// Runs by request id, and by idempotency key for work that may run once.
class RunRecorder
{
public:
    void countRun(const std::string &requestId, const std::string &idempotencyKey, bool idempotent)
    {
        ++this->runs;
        this->ranIds.insert(requestId);
        if (!idempotent && ++this->runsOfKey[idempotencyKey] == 2) {
            ++this->ranTwice;
        }
    }

    // Returns true where a run with this id was started.
    bool ran(const std::string &requestId) const
    {
        return this->ranIds.contains(requestId);
    }

    std::uint64_t runs = 0;
    std::uint64_t ranTwice = 0;
    std::uint64_t lateNewWork = 0;
    std::uint64_t refusedBusy = 0;
    std::uint64_t refusedLeaving = 0;
    std::uint64_t cut = 0;

private:
    std::unordered_set<std::string> ranIds;
    std::unordered_map<std::string, int> runsOfKey;
};

}
