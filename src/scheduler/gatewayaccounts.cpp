// Client accounts at the gateway: refused callers, and jobs that belong to an account.
#include "jobgateway_pvt.h"

#include <algorithm>

namespace MangoCourse {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

// A submission waits this long for the partition to be read, so that the caller can still make another attempt in time.
constexpr milliseconds maxAccountReadTime{1000};
// States of this age are not read again before a submission.
constexpr std::chrono::seconds maxStatesAge{2};
// The submission of a job whose state was stored after the states were read is in the store for at least this long after that read: the partition's owner
// keeps submissions for 5 s after the final state (`submissionRetention`), of which 1 s is left as a margin.
constexpr std::chrono::seconds submissionsOutlastStates{4};

bool isPrivateQueue(const FleetConfig &config, const QueueId &id)
{
    const QueueConfig *queue = config.find(id);
    return queue != nullptr && !queue->isPublic;
}

}

const char *actionName(CallerAction action)
{
    switch (action) {
    case CallerAction::Submit:
        return "submit";
    case CallerAction::Read:
        return "read";
    case CallerAction::Cancel:
        break;
    }
    return "cancel";
}

JobAccount PartitionView::accountOf(const JobId &id, const QueueConfig &queue, const FleetConfig &config) const
{
    const auto known = this->progress.find(id);
    const auto submitted = this->accepted.find(id);
    JobAccount job;
    if (known != this->progress.end()) {
        job = JobAccount{known->second.account, known->second.queue == queue.id, isPrivateQueue(config, known->second.queue)};
    }
    if (submitted != this->accepted.end()) {
        const KnownSubmission &submission = submitted->second;
        const bool isSameAddress = submission.placement && submission.placement->address == addressOf(queue.host, queue.pathPrefix);
        const bool isOfQueue = submission.queue == queue.id || isSameAddress || (known != this->progress.end() && job.isOfQueue);
        const bool isOfPrivateQueue = job.isOfPrivateQueue || isPrivateQueue(config, submission.queue);
        job = JobAccount{job.account.isEmpty() ? submission.account : job.account, isOfQueue, isOfPrivateQueue};
    }
    const bool isKnown = known != this->progress.end() || submitted != this->accepted.end();
    if (!isKnown && this->isSent(id)) {
        const SentSubmission &submission = this->sent.at(id);
        job = JobAccount{submission.account, submission.queue == queue.id, isPrivateQueue(config, submission.queue)};
    }
    return job;
}

CallerReply JobGateway::Private::refuseCaller(const QueueConfig *queue, const CallerRequest &request, const CallerAuthorization &authorization)
{
    const bool isDenied = authorization.verdict == CallerVerdict::Denied;
    this->log.emit("caller_unauthorized",
        {{"queue", queue->id.value}, {"action", actionName(request.action)}, {"reason", authorization.reason}, {"revision", this->config->revision},
            {"confirmed", isDenied}});
    this->metrics.add("mangocourse_unauthorized_total", "Requests that were refused because of their key, by reason.",
        std::string("reason=\"") + authorization.reason + "\"");
    if (isDenied) {
        return CallerReply{CallerOutcome::Unauthorized, {}, 0, authorization.reason, {}};
    }
    // A submission is refused only if no earlier attempt may be stored, possibly under a key that this process does not know yet.
    std::optional<CallerReply> reply;
    if (request.action == CallerAction::Submit && !request.apiKey.empty()) {
        reply = this->findOutdatedReply(queue, request, authorization.caller);
    }
    return reply ? std::move(*reply) : CallerReply{CallerOutcome::Unavailable, {}, 0, authorization.reason, storeRetryAfter};
}

bool JobGateway::Private::mayUse(const PartitionView &view, const JobId &id, const QueueConfig &queue, const CallerIdentity &caller, CallerAction action)
{
    if (!caller.hasAccounts) {
        return true;
    }
    const JobAccount job = view.accountOf(id, queue, *this->config);
    const bool isAllowed = mayUseJob(caller, job);
    if (!isAllowed) {
        this->log.emit("job_of_other_account",
            {{"job", id.value}, {"queue", queue.id.value}, {"action", actionName(action)}, {"account", caller.account.value},
                {"job_account", job.account.value}},
            EventPriority::Essential);
    }
    return isAllowed;
}

net::awaitable<bool> JobGateway::Private::readAccount(PartitionView &view, QueueConfig queue, JobId id, CallerIdentity caller)
{
    const auto known = view.progress.find(id);
    const bool hasAccount = known == view.progress.end() || !known->second.account.isEmpty();
    if (!caller.hasAccounts || hasAccount || isFinal(known->second.state) || view.accepted.contains(id)) {
        co_return true;
    }
    if (caller.account.isEmpty() && known->second.queue == queue.id) {
        // A public queue gives access to its jobs whatever their account is.
        co_return true;
    }
    const Result<void> read = co_await view.jobsReader->catchUp();
    co_return read.has_value();
}

CallerReply JobGateway::Private::replyToRepeat(const PartitionView &view, const JobId &id, const QueueConfig &queue, const CallerIdentity &caller)
{
    if (!this->mayUse(view, id, queue, caller, CallerAction::Submit)) {
        return CallerReply{CallerOutcome::IdTaken, {}, 0, "the ID is that of another job", {}};
    }
    return CallerReply{CallerOutcome::Accepted, {}, 0, {}, {}};
}

std::optional<CallerReply> JobGateway::Private::findSentJob(const QueueConfig &queue, const JobId &id, const CallerIdentity &caller)
{
    for (const PartitionView *view : this->findViews(queue)) {
        if (!view->isSent(id)) {
            continue;
        }
        const SentSubmission &submission = view->sent.at(id);
        const JobAccount job{submission.account, submission.queue == queue.id, isPrivateQueue(*this->config, submission.queue)};
        // Jobs without an account may be used through other queues, but a submission in progress must not be replaced by that of another account.
        const bool isAllowed = mayUseJob(caller, job) && (job.isOfQueue || job.account == caller.account);
        if (!isAllowed) {
            this->log.emit("job_of_other_account",
                {{"job", id.value}, {"queue", queue.id.value}, {"action", actionName(CallerAction::Submit)}, {"account", caller.account.value},
                    {"job_account", job.account.value}},
                EventPriority::Essential);
            return CallerReply{CallerOutcome::IdTaken, {}, 0, "the ID is that of another job", {}};
        }
    }
    return std::nullopt;
}

net::awaitable<std::optional<CallerReply>> JobGateway::Private::findTakenId(
    QueueConfig queue, JobId id, CallerIdentity caller, steady_clock::time_point deadline)
{
    // A record of the same key would replace another account's submission, whichever gateway has stored that.
    if (this->findViews(queue).size() == 1) {
        PartitionView &view = *this->findViews(queue).front();
        const TimePoint startedAt = bootNow();
        // Only a read of both streams settles an earlier attempt.
        const bool areStatesRecent
            = view.progressReader->isLoaded() && startedAt - view.progressReader->currentAsOf() < maxStatesAge && !view.appender->isUnsettled(id.value);
        const TimePoint statesAsOf = areStatesRecent ? view.progressReader->currentAsOf() : startedAt;
        const auto readDeadline = std::min(steady_clock::now() + maxAccountReadTime, deadline);
        const std::shared_ptr<Event> readEnded = this->startReading(view, !areStatesRecent);
        co_await readEnded->waitFor(std::chrono::duration_cast<milliseconds>(readDeadline - steady_clock::now()));
        if (findState(view, id)) {
            co_return this->replyToRepeat(view, id, queue, caller);
        }
        // A process that was paused during the read may have missed the submission of a job that has ended since.
        const bool isInTime = bootNow() - statesAsOf < submissionsOutlastStates;
        const bool isRead = view.progressReader->currentAsOf() >= statesAsOf && view.jobsReader->currentAsOf() >= startedAt && isInTime;
        if (std::optional<CallerReply> taken = this->findSentJob(queue, id, caller); taken || isRead) {
            co_return taken;
        }
        // An attempt at another gateway may be stored all the same.
        const bool isLate = !isInTime || steady_clock::now() + milliseconds(1) >= readDeadline;
        const bool isUnsettled = view.appender->isUnsettled(id.value);
        const char *unsettledReason = isLate ? "reading the partition took too long, and an earlier attempt is unsettled"
                                             : "the partition cannot be read, and an earlier attempt is unsettled";
        const char *refusedReason
            = isLate ? "reading the partition took too long; this process has stored nothing" : "the partition cannot be read; this process has stored nothing";
        co_return this->refuseSubmission(id, queue, isUnsettled, isUnsettled ? unsettledReason : refusedReason, {});
    }
    co_return this->findSentJob(queue, id, caller);
}

}
