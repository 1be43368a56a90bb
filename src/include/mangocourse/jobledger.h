// State machine of one data centre's jobs stream: the accepted jobs, their claims and outcomes.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <mangocourse/record.h>

namespace MangoCourse {

// State of a job. Failed: too many runs failed. Abandoned: non-idempotent work whose claim ended without an outcome, after it may have run.
enum class JobStatus {
    Waiting,
    Claimed,
    Finished,
    Cancelled,
    Failed,
    Abandoned,
};

// Returns the wire name, such as "waiting".
std::string_view toString(JobStatus status);

// Returns true for the states after which the job cannot be claimed again. A late outcome can still turn Abandoned into Finished.
constexpr bool isFinal(JobStatus status)
{
    return status != JobStatus::Waiting && status != JobStatus::Claimed;
}

// One job. `accepted` is the offset of its AcceptJob record, `claim` the offset of the active or last claim, its fencing token. `failures`
// counts failed runs. `reason` explains a final state other than Finished.
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

// Deterministic state machine, like FleetState. A non-idempotent job is claimed again only if its claim was released as not run.
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

    // Applies the record at `offset`; records of the fleet stream are refused with Refusal::NotForThisStream.
    RecordVerdict apply(Offset offset, const Record &record);

    // Advances the offset past a record that cannot be decoded, and returns Refusal::Undecodable.
    RecordVerdict skipUndecodable(Offset offset);

    std::optional<RecordVerdict> verdictOf(const RecordId &id) const;
    Offset offset() const;

    // Returns the job, or nullptr if it is unknown. Beyond `maxFinalJobs` final jobs, the oldest are deleted.
    const Job *job(const JobId &id) const;

    // Returns at most `limit` waiting jobs in the order of their acceptance.
    std::vector<JobId> waiting(std::size_t limit) const;

    // Returns the claimed jobs with the fencing tokens of their claims.
    std::map<JobId, Offset> claimed() const;

    // Returns the number of jobs in the state.
    std::size_t count(JobStatus status) const;

    std::string toJson() const;
    static Result<JobLedger> fromJson(std::string_view text);

    // Failed runs after which a job counts as one that cannot succeed and becomes Failed.
    static constexpr int maxFailedRuns = 4;
    // Final jobs kept so that callers can still query their outcomes.
    static constexpr std::size_t maxFinalJobs = 20'000;
    // Records with a larger payload or outcome are refused.
    static constexpr std::size_t maxPayloadBytes = 64 * 1024;
    static constexpr std::size_t maxOutcomeBytes = 4 * 1024;

private:
    std::unique_ptr<Private> d;
};

}
