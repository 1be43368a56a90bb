// Records what the stand-in executors ran, independently of the system under test, to detect work that ran twice and work that ran although the
// caller was told "not-run".
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace MangoCourse {

// Counts runs by request id, and by idempotency key for work that must run at most once.
class RunRecorder
{
public:
    void recordRun(const std::string &requestId, const std::string &idempotencyKey, bool idempotent)
    {
        ++this->runs;
        this->requestIds.insert(requestId);
        if (!idempotent && ++this->runsByKey[idempotencyKey] == 2) {
            ++this->ranTwice;
        }
    }

    // Returns true if a run with this request id was started.
    bool hasRun(const std::string &requestId) const
    {
        return this->requestIds.contains(requestId);
    }

    std::uint64_t runs = 0;
    std::uint64_t ranTwice = 0;
    std::uint64_t lateNewWork = 0;
    std::uint64_t refusedBusy = 0;
    std::uint64_t refusedLeaving = 0;
    std::uint64_t cut = 0;

private:
    std::unordered_set<std::string> requestIds;
    std::unordered_map<std::string, int> runsByKey;
};

}
