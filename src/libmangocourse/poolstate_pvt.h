// What PoolScheduler knows about runs, executors, items and jobs.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <mangocourse/fairshare.h>
#include <mangocourse/poolscheduler.h>

namespace MangoCourse {

enum class RunPhase {
    // The start order is in flight.
    Starting,
    // The start order got no reply; the run may be active.
    Unacknowledged,
    Running,
    // A stop order is pending or not confirmed yet.
    Stopping,
};

struct Run {
    ItemId item;
    std::int64_t number = 0;
    RunPhase phase = RunPhase::Starting;
    TimePoint startedAt{};
    // Time at which the run was found on its executor; set only if a previous owner started it.
    TimePoint adoptedAt{};
    // Time at which the last order for this run was answered or timed out. Renewals sent earlier don't reflect that order.
    TimePoint orderResolvedAt{};
    // Latest time at which the executor can still carry out the start order; it rejects the order once the lease in it has expired.
    TimePoint startableUntil{};
    // Reading of the executor's clock before any order for the run was sent.
    std::chrono::milliseconds clockBeforeOrders{};
    // The start order has neither been answered nor given up.
    bool isStartInFlight = false;
    // The start order was given up without an answer, or was sent to an earlier incarnation.
    bool isStartUnanswered = false;
    // The run is known to belong to this incarnation.
    bool isConfirmed = false;
    TimePoint stopSentAt{};
    bool isStopConfirmed = false;
    // The last report of the executor listed the run as running.
    bool isListed = false;
    // Time at which the executor last listed the run, or else at which the run was created.
    TimePoint seenAt{};
    std::int32_t percent = 0;
    // Speed that the owner set last.
    std::int32_t pacePercent = 100;
    TimePoint pacedAt{};
    std::int64_t load = 0;
    Resources resources;
    bool isBestEffort = false;
    bool isLongRunning = false;
    std::chrono::milliseconds tailLatencyTarget{};
    std::chrono::milliseconds expectedDuration{};
    // Use of the job's account that the run is counted in, or nullptr.
    AccountUse *accountUse = nullptr;
    // The account that the run counts for; owned by the scheduler.
    AccountShare *share = nullptr;
};

// An item keeps what is known of so many runs that are over.
inline constexpr std::size_t maxKnownEarlierRuns = 4;

// A run of an item that this owner has started or found and that is over, or has never begun.
struct EarlierRun {
    ExecutorKey executor;
    std::int64_t number = 0;
    // What shows it; a literal.
    std::string_view reason;
    // Time of the answer that shows it, or by which the lease or the incarnation had ended.
    TimePoint knownAt{};
    // Latest time at which the run can have been active, there or on the next incarnation of its executor; unset if an answer rules the run out.
    TimePoint possiblyActiveUntil{};
};

// An executor that a previous owner may have used and that this owner has not reached yet.
struct PreviousExecutor {
    MachineId machine;
    // Latest time at which a run of a previous owner can be active there.
    TimePoint runsEndAt{};
    bool isSilenceRecorded = false;
};

// What this owner knows of the runs and the ends of runs that an incarnation holds.
enum class HistoryKnowledge {
    // The incarnation has not answered.
    Unknown,
    // It has answered, and its fencing token is that of this owner, but what it lists has not been read to the end.
    Partial,
    // All runs and ends of previous owners have been read; nothing of theirs can be added.
    Known,
};

// Items of this many distinct jobs failed in a row on an executor that gets one run at a time.
inline constexpr std::size_t failedJobsBeforeTrial = 2;

struct Executor {
    ExecutorInfo info;
    // Discovery lists the incarnation.
    bool isListed = true;
    // The incarnation has certainly ended; another one may answer at its address.
    bool hasEnded = false;
    HistoryKnowledge history = HistoryKnowledge::Unknown;
    // Time at which the history became known.
    TimePoint historyKnownAt{};
    // The last report left out ends: it lists a limited number, and more only once these are acknowledged.
    bool hasUnreadEnds = false;
    // A previous owner may have used the executor.
    bool mayHoldPreviousRuns = false;
    // A previous owner used an earlier incarnation with the id, and its calls may have reached this one, of which it may have stored no record.
    bool mayHoldStrayRuns = false;
    // Latest time at which a run of a previous owner can be active.
    TimePoint previousRunsEndAt{};
    std::optional<std::chrono::milliseconds> clock;
    TimePoint clockReadAt{};
    // First reading of the clock.
    std::optional<std::chrono::milliseconds> firstClock;
    // Latest time at which the lease can expire.
    TimePoint leaseEnd{};
    TimePoint avoidedUntil{};
    // End of the time for which it gets one run at a time because runs have stood still there.
    TimePoint triedUntil{};
    // Time of the first failed renewal since the last success.
    TimePoint failingSince{};
    // A start was withheld then, and the executor has not answered a later renewal; unset otherwise.
    TimePoint withheldAt{};
    // Time of the last successful renewal.
    TimePoint reportedAt{};
    // Latest time at which the incarnation is known to have been up; no later one was up before.
    TimePoint upAt{};
    std::map<ItemId, Run> runs;
    // Run numbers that belong to no known item, and the time of their last stop order.
    std::map<ItemId, std::pair<std::int64_t, TimePoint>> orphans;
    Resources used;
    // Created with the first order.
    std::shared_ptr<OrderBudget> orderBudget;
    // Number of runs in phase Stopping.
    std::int32_t stoppingRuns = 0;
    std::int32_t bestEffortRuns = 0;
    // Highest numbers of ended runs that were processed, returned by takeChangedJobs() and made durable.
    std::int64_t processedEnd = 0;
    std::int64_t collectedEnd = 0;
    std::int64_t persistedEnd = 0;
    // Acknowledgements in the renewal in flight and in the last successful one.
    std::int64_t sentEnd = 0;
    std::int64_t acknowledgedEnd = 0;
    // Nothing is acknowledged before, as a start order that the executor has not carried out may still reach its next incarnation.
    TimePoint acknowledgeableFrom{};
    // Jobs of which an item failed on this executor, and on no other one, since the executor's last success.
    std::set<JobId> failedJobs;
    // Smoothed ratio of actual to expected run time, relative to the queue's ratio.
    double slowness = 1.0;
    // takeUnrecordedExecutors() has returned the executor.
    bool isRecordRequested = false;
    // The use of the executor is durable.
    bool isRecorded = false;
    // Its silence is recorded, or about to be. Until it is recorded anew, its leases are not extended.
    bool isSilenceRecorded = false;
    // It has answered since.
    bool hasAnsweredSinceSilence = false;
    // Tie-breaker in the capacity index.
    std::uint64_t ordinal = 0;
    bool isIndexed = false;
    std::int64_t indexedCpu = 0;
    std::vector<std::string> indexedLabels;

    ExecutorKey key() const
    {
        return ExecutorKey{this->info.id, this->info.incarnation};
    }
    bool hasAnswered() const
    {
        return this->history != HistoryKnowledge::Unknown;
    }
    bool isHistoryKnown() const
    {
        return this->history == HistoryKnowledge::Known;
    }
    bool hasFailedRepeatedly() const
    {
        return this->failedJobs.size() >= failedJobsBeforeTrial;
    }
    // Returns true if the executor gets one run at a time.
    bool isTried(TimePoint now) const
    {
        return this->hasFailedRepeatedly() || now < this->triedUntil;
    }
    Resources free() const
    {
        Resources resources = this->info.capacity;
        resources -= this->used;
        return resources;
    }
};

// A start order to an ended incarnation, which the next one with the same id may have carried out or may still carry out.
struct UnsettledStart {
    ItemId item;
    std::int64_t number = 0;
    // The incarnation that the order was sent to.
    std::int64_t incarnation = 0;
    bool isInFlight = false;
    // Latest time at which a run that the order has started can be active.
    TimePoint activeUntil{};
    // Latest time at which the order can be carried out, once it is no longer in flight.
    TimePoint carriedOutUntil{};
};

enum class ItemPhase {
    Waiting,
    Active,
    Done,
    Failed,
};

struct Item {
    ItemPhase phase = ItemPhase::Waiting;
    std::int32_t failures = 0;
    // Numbers of the last runs whose failures are counted, in ascending order.
    std::vector<std::int64_t> failedRuns;
    std::int64_t lastRun = 0;
    std::string checkpoint;
    // Executors with an active run of the item; several only with speculative execution or after a takeover.
    std::vector<ExecutorKey> runningOn;
    ExecutorId lastFailedOn;
    // Number of runs stopped because they stalled.
    std::int32_t stallStops = 0;
    // The last runs that are over, in the order in which that became known, and those that may be active unseen.
    std::vector<EarlierRun> earlierRuns;
    // Number of the runs before.
    std::int64_t forgottenRuns = 0;

    // Returns the latest time at which an earlier run can have been active. What ends one run says nothing about the others.
    TimePoint possiblyActiveUntil() const
    {
        TimePoint latest{};
        for (const EarlierRun &earlier : this->earlierRuns) {
            latest = std::max(latest, earlier.possiblyActiveUntil);
        }
        return latest;
    }
    // Records a run that is over, or that may be active unseen.
    void addEarlierRun(EarlierRun earlier);
    // Notes that runs which can have been active until `confirmedAt` are over, as no other owner can have extended their leases.
    void closeRunsEndedBy(TimePoint confirmedAt);
    // Notes that the executor has the run, so that none with a lower number can begin there.
    void noteListedRun(const ExecutorId &executor, std::int64_t number, TimePoint now);
    // Notes that an answer rules the run out from now on.
    void ruleOutRun(const ExecutorId &executor, std::int64_t number, TimePoint now);
};

// What the placement policy has said about an executor; the most useful to ask about first.
enum class PolicyVerdictKind {
    Allowed,
    Unknown,
    Excluded,
};

struct PolicyVerdict {
    PolicyVerdictKind kind = PolicyVerdictKind::Unknown;
    // The incarnation that was asked about; 0 if unknown.
    std::int64_t incarnation = 0;
    // Empty if there is none or it has expired.
    std::string pass;
    // Of the pass, or of the exclusion.
    TimePoint validUntil{};
    TimePoint grantedAt{};
};

// Of the executors that a queue's requests named, the number that the policy allowed; older answers weigh less.
struct PolicyShare {
    double allowed = 1;
    double named = 2;

    double value() const
    {
        return this->allowed / this->named;
    }
};

struct StepState {
    std::vector<Item> items;
    std::int32_t done = 0;
    // Longest run that ended done and was started by this owner.
    std::chrono::milliseconds longestRun{};

    // Returns the number of runs of a gang that have failed; several members may have failed in the same run.
    std::int64_t countFailedRuns() const;
    // What the placement policy has said about executors.
    std::map<ExecutorId, PolicyVerdict> verdicts;
    // Executors that the request in progress names, with their incarnations; empty if there is none.
    std::map<ExecutorId, std::int64_t> requestedExecutors;
    // Time since which items could start if the policy allowed it.
    std::optional<TimePoint> policyNeededSince;
    // Last time at which all executors with room were found to be ruled out.
    TimePoint policyCheckedAt{};
    // The next request after an error of the policy, and the number of errors in sequence.
    TimePoint policyRetryAt{};
    std::int32_t policyFailures = 0;
};

struct OccurrenceState {
    std::vector<StepState> steps;
    bool isOpen = false;
};

struct JobEntry {
    AcceptedJob job;
    JobState state = JobState::Queued;
    WallTime endedAt{};
    TimePoint addedAt{};
    TimePoint firstStartAt{};
    // A previous owner may have started some of its items.
    bool isInherited = false;
    // The start intent is to be stored, or is stored.
    bool hasStartIntent = false;
    // takeChangedJobs() has returned the start intent.
    bool isStartIntentCollected = false;
    // The start intent is durable.
    bool mayStart = false;
    // Service whose executors a previous owner may have used for the job, if it is another one. Stored as the job's until the job may start here.
    std::optional<ServiceId> earlierService;
    // End of the latency objective of a job without a schedule.
    TimePoint deadline{};
    std::int32_t priority = 0;
    std::int32_t maxAttempts = 1;
    bool hasPolicy = false;
    // The submission was stored with the terms of the job.
    bool isSubmittedWithTerms = false;
    bool hasStarted = false;
    std::vector<OccurrenceState> occurrences;
    // Length of the longest chain of unfinished steps, by their estimates.
    std::chrono::milliseconds remainingCriticalPath{};
    // Ratio of actual to estimated run time in the job's queue; owned by the scheduler.
    const double *durationRatio = nullptr;
    // Use of the job's account, or nullptr if no account is limited.
    AccountUse *accountUse = nullptr;
    // The entry of the job's account; owned by the scheduler.
    AccountShare *share = nullptr;
    // The job is beyond the rate of its account.
    bool isBeyondRate = false;
    // While accounts compete: the plan since which work of the job has been ready without a start or an end of a run; unset if that has to be determined.
    TimePoint waitingSince{};

    bool isOpen() const
    {
        return !isFinal(this->state);
    }
};

}
