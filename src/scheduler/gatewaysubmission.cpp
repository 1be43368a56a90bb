// Submissions: the placement of the queue, earlier attempts, and the append.
#include "jobgateway_pvt.h"

#include <algorithm>

namespace MangoCourse {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

// The placement of a queue that was seen to move is made durable within this time.
constexpr std::chrono::seconds placementTimeout{30};

}

CallerReply JobGateway::Private::refuseSubmission(const JobId &id, const QueueConfig &queue, bool isUnsettled, const char *reason, const std::string &error)
{
    this->logUnstored(isUnsettled ? "job_unsettled" : "job_refused", id, queue, reason, AppendResult{AppendOutcome::NotStored, error});
    return CallerReply{isUnsettled ? CallerOutcome::MayBeAccepted : CallerOutcome::NotAccepted, {}, 0, reason, storeRetryAfter};
}

net::awaitable<std::optional<CallerReply>> JobGateway::Private::makePlacementCurrent(
    QueueConfig queue, Revision revision, JobId id, steady_clock::time_point deadline, JobPlacement &placement)
{
    QueuePlacement wanted = this->placementOf(queue);
    wanted.revision = revision;
    const std::string address = addressOf(queue.host, queue.pathPrefix);
    while (true) {
        const std::vector<QueuePlacement> history = this->placements->historyOf(queue);
        // The order of several that earlier versions have recorded is not known.
        const bool hasCurrent = history.size() == 1 || (!history.empty() && history.back().revision > 0);
        if (hasCurrent && history.back().partition == wanted.partition) {
            placement = JobPlacement{address, history.back().revision};
            co_return std::nullopt;
        }
        const bool isUnsettled = this->findUnsettledView(queue, id) != nullptr;
        if (hasCurrent && history.back().revision > 0 && history.back().revision >= revision) {
            co_return this->refuseSubmission(id, queue, isUnsettled, "the queue has moved, and the configuration has not been read", {});
        }
        const std::vector<QueuePlacement> added{wanted};
        const bool isRecorded = co_await this->placements->record(added, deadline);
        // Placements that other gateways have recorded meanwhile precede this one in the store, or have a later revision.
        const Result<void> refreshed = co_await this->placements->refresh();
        if (!isRecorded || !refreshed) {
            co_return this->refuseSubmission(id, queue, isUnsettled, "the store does not accept the placement of the queue", {});
        }
    }
}

net::awaitable<bool> JobGateway::Private::sealEarlierPlacements(QueueConfig queue, steady_clock::time_point deadline)
{
    std::vector<QueuePlacement> earlier = this->placements->historyOf(queue);
    earlier.pop_back();
    for (const QueuePlacement &placement : earlier) {
        if (placement.partition >= this->settings.partitions) {
            continue;
        }
        PartitionView &view = *this->views[static_cast<std::size_t>(placement.partition)];
        const JobPlacement sealed{addressOf(queue.host, queue.pathPrefix), placement.revision};
        if (view.seals.isSealed(sealed)) {
            continue;
        }
        Result<void> read = co_await view.jobsReader->catchUp();
        if (read && !view.seals.isSealed(sealed)) {
            const bool isStored = co_await this->placements->seal(placement.partition, sealed, deadline);
            if (!isStored) {
                co_return false;
            }
            read = co_await view.jobsReader->catchUp();
        }
        if (!read || !view.seals.isSealed(sealed)) {
            co_return false;
        }
    }
    co_return true;
}

net::awaitable<std::optional<CallerReply>> JobGateway::Private::findConflict(
    QueueConfig queue, Revision revision, JobId id, steady_clock::time_point deadline, JobPlacement &placement)
{
    // This process may not have read the newest configuration, but whichever process has stored the job has made its placement durable before.
    const Result<void> refreshed = co_await this->placements->refresh();
    if (!refreshed) {
        const bool isUnsettled = this->findUnsettledView(queue, id) != nullptr;
        co_return this->refuseSubmission(id, queue, isUnsettled, "the store cannot be read", describe(refreshed.error()));
    }
    if (this->findViews(queue).size() > 1) {
        // The queue has moved. A repeated submission must not create a second job.
        Result<void> readResult;
        const PartitionView *known = co_await this->findJob(queue, id, readResult);
        if (known != nullptr) {
            co_return CallerReply{CallerOutcome::Accepted, {}, 0, {}, {}};
        }
    }
    std::optional<CallerReply> refused = co_await this->makePlacementCurrent(queue, revision, id, deadline, placement);
    if (refused) {
        co_return refused;
    }
    const std::vector<PartitionView *> candidates = this->findViews(queue);
    if (candidates.size() == 1) {
        co_return std::nullopt;
    }
    const bool areSealed = co_await this->sealEarlierPlacements(queue, deadline);
    if (!areSealed) {
        const char *reason = "the store does not confirm the end of an earlier placement of the queue";
        co_return this->refuseSubmission(id, queue, this->findUnsettledView(queue, id) != nullptr, reason, {});
    }
    Result<void> readResult;
    const PartitionView *known = co_await this->findJob(queue, id, readResult);
    if (known != nullptr) {
        co_return CallerReply{CallerOutcome::Accepted, {}, 0, {}, {}};
    }
    if (!readResult) {
        const char *reason = "the store cannot be read, so an earlier submission cannot be ruled out";
        this->logUnstored("job_unsettled", id, queue, reason, AppendResult{AppendOutcome::Unknown, describe(readResult.error())});
        co_return CallerReply{CallerOutcome::MayBeAccepted, {}, 0, reason, {}};
    }
    const bool isUnsettledElsewhere = std::any_of(std::next(candidates.begin()), candidates.end(), [&id](PartitionView *view) {
        view->appender->settle(view->jobsReader->currentAsOf());
        return view->appender->isUnsettled(id.value);
    });
    if (isUnsettledElsewhere) {
        const char *reason = "the store gave no answer to another attempt in an earlier partition of the queue";
        this->logUnstored("job_unsettled", id, queue, reason, AppendResult{AppendOutcome::Unknown, {}, 0, 0, true});
        co_return CallerReply{CallerOutcome::MayBeAccepted, {}, 0, reason, {}};
    }
    co_return std::nullopt;
}

net::awaitable<std::optional<CallerReply>> JobGateway::Private::checkAdmission(QueueConfig queue, JobDemand demand)
{
    this->loads->noteSubmission();
    if (this->findUnsettledView(queue, demand.id) != nullptr) {
        co_return std::nullopt;
    }
    const AdmissionDecision decision = this->loads->decide(demand, bootNow());
    const std::string label = "reason=\"" + std::string(toString(decision.reason)) + "\"";
    this->metrics.add("mangocourse_admission_total", "Decisions on the admission of jobs, by reason.", label);
    if (decision.isAdmitted) {
        const bool isUnchecked = decision.reason == AdmissionReason::NoView || decision.reason == AdmissionReason::OldView;
        if (isUnchecked) {
            this->log.emit("admission_unchecked",
                {{"job", demand.id.value}, {"queue", queue.id.value}, {"service", queue.service.value}, {"reason", toString(decision.reason)},
                    {"view_age_ms", std::int64_t(decision.viewAge.count())}});
        }
        co_return std::nullopt;
    }
    // Another gateway may have stored the job. Without a read that rules this out it is not refused.
    Result<void> readResult;
    const PartitionView *known = co_await this->findJob(queue, demand.id, readResult);
    if (known != nullptr) {
        co_return CallerReply{CallerOutcome::Accepted, {}, 0, {}, {}};
    }
    if (!readResult || this->findUnsettledView(queue, demand.id) != nullptr) {
        co_return std::nullopt;
    }
    const char *reason = "the job cannot end in time";
    this->log.emit("job_refused",
        {{"job", demand.id.value}, {"queue", queue.id.value}, {"service", queue.service.value}, {"reason", reason}, {"cause", toString(decision.reason)},
            {"expected_ms", std::int64_t(decision.expectedEnd.count())}, {"objective_ms", std::int64_t(demand.objective.count())},
            {"drain_ms", std::int64_t(decision.drainTime.count())}, {"view_age_ms", std::int64_t(decision.viewAge.count())},
            {"retry_ms", std::int64_t(decision.retryAfter.count())}},
        EventPriority::Essential);
    co_return CallerReply{CallerOutcome::NotAccepted, {}, 0, reason, decision.retryAfter};
}

net::awaitable<CallerReply> JobGateway::Private::submit(QueueConfig queue, JobId id, CallerRequest request, steady_clock::time_point deadline)
{
    Result<JobSpec> spec = request.decodeJob();
    if (!spec) {
        co_return CallerReply{CallerOutcome::Invalid, {}, 0, describe(spec.error()), {}};
    }
    const Revision revision = this->config->revision;
    PartitionView &view = *this->findViews(queue).front();
    if (findState(view, id)) {
        co_return CallerReply{CallerOutcome::Accepted, {}, 0, {}, {}};
    }
    JobPlacement placement;
    const std::optional<CallerReply> conflict = co_await this->findConflict(queue, revision, id, deadline, placement);
    if (conflict) {
        co_return *conflict;
    }
    AcceptedJob job{id, queue.id, queue.service, wallNow(), std::move(*spec), queue.terms(), placement};
    StoredRecord record{id.value, encodeAcceptedJob(job), -1};
    if (!this->store.accepts(record)) {
        const char *field = 2 * job.spec.payload.size() > record.value.size() ? "spec" : "steps";
        co_return CallerReply{CallerOutcome::Invalid, {}, 0, std::string(field) + ": must be shorter, the job exceeds the store's limit for records", {}};
    }
    const std::optional<CallerReply> notAdmitted = co_await this->checkAdmission(queue, JobDemand::create(job));
    if (notAdmitted) {
        co_return *notAdmitted;
    }
    const auto isStored = [&view, id] {
        return findState(view, id).has_value();
    };
    const AppendResult appended = co_await this->append(view, std::move(record), isStored, deadline);
    switch (appended.outcome) {
    case AppendOutcome::Durable:
        view.accepted.emplace(id, KnownSubmission{queue.id, placement, -1});
        this->log.emit("job_accepted",
            {{"job", id.value}, {"queue", queue.id.value}, {"service", queue.service.value}, {"revision", this->config->revision},
                {"steps", static_cast<std::int64_t>(job.spec.steps.size())}});
        co_return CallerReply{CallerOutcome::Accepted, {}, 0, {}, {}};
    case AppendOutcome::NotStored:
        this->logUnstored("job_refused", id, queue, "the store does not accept records", appended);
        co_return CallerReply{CallerOutcome::NotAccepted, {}, 0, "the store does not accept records", storeRetryAfter};
    case AppendOutcome::Unknown:
        break;
    }
    const char *reason = appended.unansweredSends > 0 ? "the store gave no answer" : "the store gave no answer to another attempt";
    this->logUnstored("job_unsettled", id, queue, reason, appended);
    co_return CallerReply{CallerOutcome::MayBeAccepted, {}, 0, reason, {}};
}

void JobGateway::Private::recordMovedQueues(const FleetConfig &next)
{
    if (!this->config) {
        return;
    }
    std::vector<QueuePlacement> moved;
    for (const QueueConfig &queue : this->config->queues) {
        QueuePlacement before = this->placementOf(queue);
        before.revision = this->config->revision;
        const bool hasMoved = std::any_of(next.queues.begin(), next.queues.end(), [this, &queue, &before](const QueueConfig &updated) {
            const bool isSameAddress = updated.host == queue.host && updated.pathPrefix == queue.pathPrefix;
            return (updated.id == queue.id || isSameAddress) && this->placementOf(updated).partition != before.partition;
        });
        if (hasMoved && !this->placements->isKnown(before)) {
            moved.push_back(before);
        }
    }
    if (!moved.empty()) {
        net::co_spawn(this->context, recordPlacements(this->context, this->placements, this->log, std::move(moved)), net::detached);
    }
}

net::awaitable<void> JobGateway::Private::recordPlacements(
    net::io_context &context, std::shared_ptr<QueuePlacements> placements, EventLog &log, std::vector<QueuePlacement> moved)
{
    const auto deadline = steady_clock::now() + placementTimeout;
    bool isRecorded = false;
    while (!isRecorded && steady_clock::now() < deadline) {
        isRecorded = co_await placements->record(moved, deadline);
        if (!isRecorded) {
            co_await sleepFor(context, storeRetryAfter);
        }
    }
    if (!isRecorded) {
        log.emit("placements_unrecorded", {{"queues", std::int64_t(moved.size())}}, EventPriority::Essential);
    }
}

}
