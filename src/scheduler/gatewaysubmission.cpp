// Submissions: the placement of the queue, earlier attempts, and the append.
#include "jobgateway_pvt.h"

#include <algorithm>

namespace MangoCourse {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

// The placement of a queue that was seen to move is made durable within this time.
constexpr std::chrono::seconds placementTimeout{30};
// From this number on, entries of submissions that are settled are removed.
constexpr std::size_t maxSentSubmissions = 1000;
// Other processes may submit as much meanwhile as this one has, so it reads a partition again after it has submitted this part of the memory for jobs.
constexpr std::size_t readAfterPart = 64;

}

CallerReply JobGateway::Private::refuseSubmission(const JobId &id, const QueueConfig &queue, bool isUnsettled, const char *reason, const std::string &error)
{
    this->logUnstored(isUnsettled ? "job_unsettled" : "job_refused", id, queue, reason, AppendResult{AppendOutcome::NotStored, error});
    // Reads of a slow store take as long as its appends.
    const milliseconds retryAfter = std::max(storeRetryAfter, this->findViews(queue).front()->appender->retryAfter());
    return CallerReply{isUnsettled ? CallerOutcome::MayBeAccepted : CallerOutcome::NotAccepted, {}, 0, reason, retryAfter};
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
    QueueConfig queue, Revision revision, JobId id, CallerIdentity caller, steady_clock::time_point deadline, JobPlacement &placement)
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
            co_return this->replyToRepeat(*known, id, queue, caller);
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
        co_return this->replyToRepeat(*known, id, queue, caller);
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

std::size_t JobGateway::Private::openMemory() const
{
    std::size_t memory = 0;
    for (const std::unique_ptr<PartitionView> &view : this->views) {
        memory += view->openJobs.memory();
    }
    return memory;
}

net::awaitable<std::optional<CallerReply>> JobGateway::Private::findLackOfMemory(
    PartitionView &view, QueueConfig queue, JobId id, const JobSpec &spec, steady_clock::time_point deadline)
{
    const std::size_t limit = this->settings.jobMemory();
    const std::size_t needed = memoryOf(spec);
    for (std::size_t step = 0; step < spec.steps.size(); ++step) {
        const auto members = static_cast<std::size_t>(spec.steps[step].isGang ? spec.steps[step].count : 0);
        if (members > this->settings.maxOrders()) {
            const std::string text = "steps[" + std::to_string(step) + "].count: must be " + std::to_string(this->settings.maxOrders())
                + " at most, as the members of a gang start at the same time";
            this->logUnstored("job_refused", id, queue, "a gang has too many members", AppendResult{AppendOutcome::NotStored, text});
            co_return CallerReply{CallerOutcome::Invalid, {}, 0, text, {}};
        }
    }
    if (needed > limit) {
        const std::string text = "steps: must have fewer work items, the job takes " + std::to_string(needed) + " of " + std::to_string(limit)
            + " bytes of memory that a process has for jobs";
        this->logUnstored("job_refused", id, queue, "no process can hold the job", AppendResult{AppendOutcome::NotStored, text});
        co_return CallerReply{CallerOutcome::Invalid, {}, 0, text, {}};
    }
    const bool isFull = this->openMemory() + needed > limit;
    std::vector<std::shared_ptr<Event>> reads;
    for (const std::unique_ptr<PartitionView> &known : this->views) {
        const bool isOutdated = known.get() == &view && view.submittedMemory + needed > limit / readAfterPart;
        if (isOutdated || (isFull && known->openJobs.memory() > 0)) {
            reads.push_back(this->startReading(*known));
        }
    }
    for (const std::shared_ptr<Event> &readEnded : reads) {
        co_await readEnded->waitFor(std::chrono::duration_cast<milliseconds>(deadline - steady_clock::now()));
    }
    const std::size_t open = this->openMemory();
    if (open + needed <= limit) {
        co_return std::nullopt;
    }
    const std::string error = "open jobs take " + std::to_string(open) + " of " + std::to_string(limit) + " bytes";
    co_return this->refuseSubmission(
        id, queue, this->findUnsettledView(queue, id) != nullptr, "the open jobs take all memory that a process has for jobs", error);
}

net::awaitable<CallerReply> JobGateway::Private::submit(
    QueueConfig queue, JobId id, CallerRequest request, CallerIdentity caller, steady_clock::time_point deadline)
{
    Result<JobSpec> spec = request.decodeJob();
    if (!spec) {
        co_return CallerReply{CallerOutcome::Invalid, {}, 0, describe(spec.error()), {}};
    }
    const Revision revision = this->config->revision;
    PartitionView &view = *this->findViews(queue).front();
    if (findState(view, id)) {
        co_return this->replyToRepeat(view, id, queue, caller);
    }
    const std::optional<CallerReply> lackOfMemory = co_await this->findLackOfMemory(view, queue, id, *spec, deadline);
    if (lackOfMemory) {
        co_return *lackOfMemory;
    }
    if (findState(view, id)) {
        co_return this->replyToRepeat(view, id, queue, caller);
    }
    JobPlacement placement;
    std::optional<CallerReply> conflict = co_await this->findConflict(queue, revision, id, caller, deadline, placement);
    if (!conflict && caller.hasAccounts) {
        conflict = co_await this->findTakenId(queue, id, caller, deadline);
    }
    if (conflict) {
        co_return *conflict;
    }
    AcceptedJob job{id, queue.id, queue.service, wallNow(), std::move(*spec), queue.terms(), placement, caller.account};
    StoredRecord record{id.value, encodeAcceptedJob(job), -1};
    if (!this->store.accepts(record)) {
        const char *field = 2 * job.spec.payload.size() > record.value.size() ? "spec" : "steps";
        co_return CallerReply{CallerOutcome::Invalid, {}, 0, std::string(field) + ": must be shorter, the job exceeds the store's limit for records", {}};
    }
    const auto isStored = [&view, id] {
        return findState(view, id).has_value();
    };
    if (caller.hasAccounts) {
        if (view.sent.size() >= maxSentSubmissions) {
            std::erase_if(view.sent, [&view](const auto &entry) {
                return !view.isSent(entry.first);
            });
        }
        SentSubmission &sent = view.sent[id];
        sent.queue = queue.id;
        sent.account = caller.account;
        ++sent.active;
    }
    const AppendResult appended = co_await this->append(view, std::move(record), isStored, deadline);
    if (caller.hasAccounts) {
        --view.sent[id].active;
    }
    switch (appended.outcome) {
    case AppendOutcome::Durable:
        view.accepted.emplace(id, KnownSubmission{queue.id, placement, -1, caller.account});
        view.noteSubmission(id, memoryOf(job.spec));
        view.submittedMemory += memoryOf(job.spec);
        if (!this->mayUse(view, id, queue, caller, CallerAction::Submit)) {
            // Another account's submission, at another gateway, was stored first.
            co_return CallerReply{CallerOutcome::IdTaken, {}, 0, "the ID is that of another job", {}};
        }
        this->log.emit("job_accepted",
            {{"job", id.value}, {"queue", queue.id.value}, {"service", queue.service.value}, {"revision", this->config->revision},
                {"steps", static_cast<std::int64_t>(job.spec.steps.size())}});
        co_return CallerReply{CallerOutcome::Accepted, {}, 0, {}, {}};
    case AppendOutcome::NotStored:
        this->logUnstored("job_refused", id, queue, "the store does not accept records", appended);
        co_return CallerReply{CallerOutcome::NotAccepted, {}, 0, "the store does not accept records", view.appender->retryAfter()};
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
