// State of JobGateway and the handling of callers' requests.
#pragma once

#include <map>
#include <set>
#include <unordered_map>

#include "batchappender.h"
#include "clocks.h"
#include "event.h"
#include "jobgateway.h"
#include "loadview.h"
#include "recordcodec.h"
#include "streamreader.h"

namespace MangoCourse {

// Retry delay that callers are given while the store cannot be reached.
inline constexpr std::chrono::milliseconds storeRetryAfter{1000};

struct KnownJob {
    QueueId queue;
    JobState state = JobState::Queued;
};

// A submission in the store.
struct KnownSubmission {
    QueueId queue;
    std::optional<JobPlacement> placement;
    std::int64_t offset = -1;
};

// The gateway's view of one partition.
struct PartitionView {
    // What the owner has stored; it proves that a job lives in the partition.
    std::unordered_map<JobId, KnownJob> progress;
    // Jobs accepted by this or any other gateway.
    std::unordered_map<JobId, KnownSubmission> accepted;
    PlacementSeals seals;
    std::set<JobId> cancelled;
    std::shared_ptr<BatchAppender> appender;
    std::unique_ptr<StreamReader> progressReader;
    std::unique_ptr<StreamReader> jobsReader;

    // Returns true if the submission was stored after its placement was sealed, so that the owner moves it on.
    bool isVoid(const KnownSubmission &submission) const
    {
        return submission.placement && this->seals.isSealed(*submission.placement, submission.offset);
    }
};

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
        , loads(LoadView::create(context, store, log))
    {
    }

    net::io_context &context;
    RecordStore &store;
    EventLog &log;
    Metrics &metrics;
    NodeSettings settings;
    std::shared_ptr<QueuePlacements> placements;
    std::shared_ptr<LoadView> loads;
    std::shared_ptr<const FleetConfig> config;
    std::optional<TimePoint> configCurrentAsOf;
    std::vector<std::unique_ptr<PartitionView>> views;
    std::chrono::steady_clock::time_point lastStoreContact{};
    bool isDraining = false;

    std::unique_ptr<PartitionView> makeView(std::int32_t partition);
    // Returns true if a newer configuration may have to be in force by now.
    bool isConfigOutdated() const;
    // Returns the reply to a request that only an older configuration may allow or deny; nothing if the request depends on no configuration.
    std::optional<CallerReply> findOutdatedReply(const QueueConfig *queue, const CallerRequest &request);
    QueuePlacement placementOf(const QueueConfig &queue) const;
    // Returns the partitions that are known to hold jobs of the queue; the one of its current service comes first.
    std::vector<PartitionView *> findViews(const QueueConfig &queue);
    // Returns the partition that may still get a record of the job, after its streams have been read without one; nullptr if there is none.
    PartitionView *findUnsettledView(const QueueConfig &queue, const JobId &id);
    net::awaitable<CallerReply> submit(QueueConfig queue, JobId id, CallerRequest request, std::chrono::steady_clock::time_point deadline);
    net::awaitable<CallerReply> cancel(QueueConfig queue, JobId id, std::chrono::steady_clock::time_point deadline);
    net::awaitable<CallerReply> readJob(QueueConfig queue, JobId id);
    net::awaitable<CallerReply> readQueue(QueueConfig queue);
    // Returns the partition that has the job. Only the owner's record proves that; without one, all partitions that may have the job are read to their ends.
    net::awaitable<PartitionView *> findJob(QueueConfig queue, JobId id, Result<void> &readResult);
    static std::optional<JobState> findState(const PartitionView &view, const JobId &id);
    // Appends a record of which earlier appends may be unsettled. If the store refuses this one, what it holds decides.
    net::awaitable<AppendResult> append(
        PartitionView &view, StoredRecord record, std::function<bool()> isStored, std::chrono::steady_clock::time_point deadline);
    // Reads the partition to its end. The event tells that this was tried.
    std::shared_ptr<Event> startReading(PartitionView &view);
    // Returns the reply to a submission that cannot be stored now, or that another attempt may have stored; nothing if it can be stored under the
    // placement that is set then.
    net::awaitable<std::optional<CallerReply>> findConflict(
        QueueConfig queue, Revision revision, JobId id, std::chrono::steady_clock::time_point deadline, JobPlacement &placement);
    // Makes the queue's placement in the partition of its service the current one. Returns the reply if that is not possible.
    net::awaitable<std::optional<CallerReply>> makePlacementCurrent(
        QueueConfig queue, Revision revision, JobId id, std::chrono::steady_clock::time_point deadline, JobPlacement &placement);
    // Seals all placements of the queue but the current one. Returns false if that is not confirmed before the deadline.
    net::awaitable<bool> sealEarlierPlacements(QueueConfig queue, std::chrono::steady_clock::time_point deadline);
    CallerReply refuseSubmission(const JobId &id, const QueueConfig &queue, bool isUnsettled, const char *reason, const std::string &error);
    // Returns the reply to a job that cannot end in time, or that turns out to be known; nothing if it is to be stored. A job of which an earlier attempt
    // may be stored is never refused.
    net::awaitable<std::optional<CallerReply>> checkAdmission(QueueConfig queue, JobDemand demand);
    // Makes the placements durable of the queues that the next configuration moves, as earlier versions store jobs without doing so.
    void recordMovedQueues(const FleetConfig &next);
    static net::awaitable<void> recordPlacements(
        net::io_context &context, std::shared_ptr<QueuePlacements> placements, EventLog &log, std::vector<QueuePlacement> moved);
    // Logs a submission that was not confirmed, with what tells its causes apart.
    void logUnstored(std::string_view event, const JobId &id, const QueueConfig &queue, const char *reason, const AppendResult &appended);
};

}
