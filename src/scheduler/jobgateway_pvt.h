// State of JobGateway and the handling of callers' requests.
#pragma once

#include <map>
#include <set>
#include <unordered_map>

#include <mangocourse/callerauthorization.h>

#include "batchappender.h"
#include "clocks.h"
#include "event.h"
#include "jobgateway.h"
#include "recordcodec.h"
#include "streamreader.h"
#include "submissionrelay.h"

namespace MangoCourse {

// Retry delay that callers are given while the store cannot be read.
inline constexpr std::chrono::milliseconds storeRetryAfter{1000};

struct KnownJob {
    QueueId queue;
    JobState state = JobState::Queued;
    // Empty if the job belongs to nobody.
    AccountId account;
};

// A submission in the store.
struct KnownSubmission {
    QueueId queue;
    std::optional<JobPlacement> placement;
    std::int64_t offset = -1;
    AccountId account{};
};

// What the open jobs of a partition take of their owner's memory, in bytes, as far as this process has read.
class OpenJobs
{
public:
    void add(const JobId &id, std::size_t memory)
    {
        const bool isNew = this->memoryOfJob.try_emplace(id, memory).second;
        this->total += isNew ? memory : 0;
    }
    void remove(const JobId &id)
    {
        const auto job = this->memoryOfJob.find(id);
        if (job != this->memoryOfJob.end()) {
            this->total -= job->second;
            this->memoryOfJob.erase(job);
        }
    }
    void clear()
    {
        this->memoryOfJob.clear();
        this->total = 0;
    }
    std::size_t memory() const
    {
        return this->total;
    }

private:
    std::unordered_map<JobId, std::size_t> memoryOfJob;
    std::size_t total = 0;
};

// The account whose submission of a job this process has sent to the store, while it may not have been read back.
struct SentSubmission {
    QueueId queue;
    AccountId account;
    // Submissions in progress.
    int active = 0;
};

// The gateway's view of one partition.
struct PartitionView {
    // What the owner has stored; it proves that a job lives in the partition.
    std::unordered_map<JobId, KnownJob> progress;
    // Jobs accepted by this or any other gateway.
    std::unordered_map<JobId, KnownSubmission> accepted;
    OpenJobs openJobs;
    // What this process has submitted since it has last read the partition.
    std::size_t submittedMemory = 0;
    PlacementSeals seals;
    std::set<JobId> cancelled;
    // Kept only with client accounts.
    std::map<JobId, SentSubmission> sent;
    std::shared_ptr<BatchAppender> appender;
    std::unique_ptr<StreamReader> progressReader;
    std::unique_ptr<StreamReader> jobsReader;

    // Counts the job among the open ones, unless it is known to have ended.
    void noteSubmission(const JobId &id, std::size_t memory)
    {
        const auto state = this->progress.find(id);
        if (state == this->progress.end() || !isFinal(state->second.state)) {
            this->openJobs.add(id, memory);
        }
    }
    // Returns true if the submission was stored after its placement was sealed, so that the owner moves it on.
    bool isVoid(const KnownSubmission &submission) const
    {
        return submission.placement && this->seals.isSealed(*submission.placement, submission.offset);
    }
    // Returns true if a submission of the job that this process has sent is in progress, or may be stored without having been read back.
    bool isSent(const JobId &id) const
    {
        const auto found = this->sent.find(id);
        return found != this->sent.end() && (found->second.active > 0 || this->appender->isUnsettled(id.value));
    }
    // Returns what decides whether a request to the queue may use the job. A job that is unknown here belongs to nobody.
    JobAccount accountOf(const JobId &id, const QueueConfig &queue, const FleetConfig &config) const;
};

// Returns the name that logs and metrics have for the action.
const char *actionName(CallerAction action);

class JobGateway::Private
{
public:
    Private(net::io_context &context, RecordStore &store, EventLog &log, Metrics &metrics, const NodeSettings &settings,
        std::shared_ptr<QueuePlacements> placements)
        : context(context)
        , store(store)
        , log(log)
        , metrics(metrics)
        , settings(settings)
        , placements(std::move(placements))
        , appenders(std::make_shared<AppenderDirectory>(context, store, log))
    {
    }

    net::io_context &context;
    RecordStore &store;
    EventLog &log;
    Metrics &metrics;
    NodeSettings settings;
    std::shared_ptr<QueuePlacements> placements;
    std::shared_ptr<AppenderDirectory> appenders;
    std::shared_ptr<const FleetConfig> config;
    std::optional<TimePoint> configCurrentAsOf;
    std::vector<std::unique_ptr<PartitionView>> views;
    std::chrono::steady_clock::time_point lastStoreContact{};
    bool isDraining = false;

    std::unique_ptr<PartitionView> makeView(std::int32_t partition);
    // Returns true if a newer configuration may have to be in force by now.
    bool isConfigOutdated() const;
    // Returns the reply to a submission that would take more memory than the owners may have to hold, nothing if there is room for it. Reads the partition
    // before if what is known of it may be far from the truth.
    net::awaitable<std::optional<CallerReply>> findLackOfMemory(
        PartitionView &view, QueueConfig queue, JobId id, const JobSpec &spec, std::chrono::steady_clock::time_point deadline);
    // Returns what the open jobs of all partitions take, as far as this process has read.
    std::size_t openMemory() const;
    // Returns the time since the configuration was last confirmed; nothing if it does not expire.
    std::optional<std::chrono::nanoseconds> configAge() const;
    // Returns the reply to a request that only an older configuration may allow or deny; nothing if the request depends on no configuration.
    std::optional<CallerReply> findOutdatedReply(const QueueConfig *queue, const CallerRequest &request, const CallerIdentity &caller);
    // Logs and counts a request that its key does not allow, and returns the reply.
    CallerReply refuseCaller(const QueueConfig *queue, const CallerRequest &request, const CallerAuthorization &authorization);
    // Returns true if the caller may use the job that the partition has. Logs it if not.
    bool mayUse(const PartitionView &view, const JobId &id, const QueueConfig &queue, const CallerIdentity &caller, CallerAction action);
    // Reads the submission of a job whose state was stored without an account, as the previous version does, if the account matters. Returns false if
    // the store cannot be read, so that the account is unknown.
    net::awaitable<bool> readAccount(PartitionView &view, QueueConfig queue, JobId id, CallerIdentity caller);
    // Returns the reply to a repeated submission of a job that the partition has.
    CallerReply replyToRepeat(const PartitionView &view, const JobId &id, const QueueConfig &queue, const CallerIdentity &caller);
    // Returns the reply to a submission whose ID is, or may be, that of another account's job; nothing if the ID is free.
    net::awaitable<std::optional<CallerReply>> findTakenId(QueueConfig queue, JobId id, CallerIdentity caller, std::chrono::steady_clock::time_point deadline);
    // Returns the reply to a submission whose ID is that of a submission that this process has sent, may not have read back, and that the caller must
    // not replace; nothing if there is none.
    std::optional<CallerReply> findSentJob(const QueueConfig &queue, const JobId &id, const CallerIdentity &caller);
    QueuePlacement placementOf(const QueueConfig &queue) const;
    // Returns the partitions that are known to hold jobs of the queue; the one of its current service comes first.
    std::vector<PartitionView *> findViews(const QueueConfig &queue);
    // Returns the partition that may still get a record of the job, after its streams have been read without one; nullptr if there is none.
    PartitionView *findUnsettledView(const QueueConfig &queue, const JobId &id);
    net::awaitable<CallerReply> submit(
        QueueConfig queue, JobId id, CallerRequest request, CallerIdentity caller, std::chrono::steady_clock::time_point deadline);
    net::awaitable<CallerReply> cancel(QueueConfig queue, JobId id, CallerIdentity caller, std::chrono::steady_clock::time_point deadline);
    net::awaitable<CallerReply> readJob(QueueConfig queue, JobId id, CallerIdentity caller);
    net::awaitable<CallerReply> readQueue(QueueConfig queue);
    // Returns the partition that has the job. Only the owner's record proves that; without one, all partitions that may have the job are read to their ends.
    net::awaitable<PartitionView *> findJob(QueueConfig queue, JobId id, Result<void> &readResult);
    static std::optional<JobState> findState(const PartitionView &view, const JobId &id);
    // Appends a record of which earlier appends may be unsettled. If the store refuses this one, what it holds decides.
    net::awaitable<AppendResult> append(
        PartitionView &view, StoredRecord record, std::function<bool()> isStored, std::chrono::steady_clock::time_point deadline);
    // Reads the partition to its end, or only its submissions. The event tells that this was tried.
    std::shared_ptr<Event> startReading(PartitionView &view, bool includesStates = true);
    // Returns the reply to a submission that cannot be stored now, or that another attempt may have stored; nothing if it can be stored under the
    // placement that is set then.
    net::awaitable<std::optional<CallerReply>> findConflict(
        QueueConfig queue, Revision revision, JobId id, CallerIdentity caller, std::chrono::steady_clock::time_point deadline, JobPlacement &placement);
    // Makes the queue's placement in the partition of its service the current one. Returns the reply if that is not possible.
    net::awaitable<std::optional<CallerReply>> makePlacementCurrent(
        QueueConfig queue, Revision revision, JobId id, std::chrono::steady_clock::time_point deadline, JobPlacement &placement);
    // Seals all placements of the queue but the current one. Returns false if that is not confirmed before the deadline.
    net::awaitable<bool> sealEarlierPlacements(QueueConfig queue, std::chrono::steady_clock::time_point deadline);
    CallerReply refuseSubmission(const JobId &id, const QueueConfig &queue, bool isUnsettled, const char *reason, const std::string &error);
    // Makes the placements durable of the queues that the next configuration moves, as earlier versions store jobs without doing so.
    void recordMovedQueues(const FleetConfig &next);
    static net::awaitable<void> recordPlacements(
        net::io_context &context, std::shared_ptr<QueuePlacements> placements, EventLog &log, std::vector<QueuePlacement> moved);
    // Logs a submission that was not confirmed, with what tells its causes apart.
    void logUnstored(std::string_view event, const JobId &id, const QueueConfig &queue, const char *reason, const AppendResult &appended);
};

}
