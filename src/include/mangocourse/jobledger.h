// The ledger of one data centre's jobs, folded from its jobs stream: accepted, claimed, finished, or failed for good.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <mangocourse/record.h>

namespace MangoCourse {

enum class JobStatus {
    Waiting,
    Claimed,
    Finished,
    Cancelled,
    Failed,
    Abandoned,
};

// Returns the wire spelling, such as "waiting".
std::string_view toString(JobStatus status);

// Returns true for the states that no record leaves again.
constexpr bool isFinal(JobStatus status)
{
    return status != JobStatus::Waiting && status != JobStatus::Claimed;
}

// One job. `claim` is the fencing token of the standing or last claim; `reason` says why a final state is not Finished.
struct Job {
    ServiceId service;
    TeamId team;
    bool idempotent = false;
    std::string payload;
    JobStatus status = JobStatus::Waiting;
    ProcessId holder;
    Offset accepted = 0;
    Offset claim = 0;
    int failures = 0;
    int outcomeStatus = 0;
    std::string outcome;
    std::string reason;
};

// Deterministic and total, like FleetState. Non-idempotent work is claimed once in its life unless a claim was released as not run.
class JobLedger
{
public:
    class Private;

    JobLedger();
    ~JobLedger();
    JobLedger(const JobLedger &other);
    JobLedger(JobLedger &&other) noexcept;
    JobLedger &operator=(const JobLedger &other);
    JobLedger &operator=(JobLedger &&other) noexcept;

    // Applies the record at `offset`; fleet records are refused as NotForThisStream.
    RecordVerdict apply(Offset offset, const Record &record);

    // Counts a record that could not be decoded.
    RecordVerdict skipUndecodable(Offset offset);

    std::optional<RecordVerdict> verdictOf(const RecordId &id) const;
    Offset offset() const;

    // Returns the job or nullptr. Final jobs are forgotten, oldest first, beyond `maxFinalJobs`.
    const Job *job(const JobId &id) const;

    // Returns waiting jobs, first accepted first, at most `limit`.
    std::vector<JobId> waiting(std::size_t limit) const;

    // Returns the claimed jobs with their claims.
    std::map<JobId, Offset> claimed() const;

    // Counts jobs in a state.
    std::size_t count(JobStatus status) const;

    std::string toJson() const;
    static Result<JobLedger> fromJson(std::string_view text);

    // A run that failed this often on its executors marks the job as one that can never run.
    static constexpr int maxFailedRuns = 4;
    // Outcomes kept for callers that ask again.
    static constexpr std::size_t maxFinalJobs = 20'000;
    // The largest payload and outcome, in bytes, that the ledger takes.
    static constexpr std::size_t maxPayloadBytes = 64 * 1024;
    static constexpr std::size_t maxOutcomeBytes = 4 * 1024;

private:
    std::unique_ptr<Private> d;
};

}
