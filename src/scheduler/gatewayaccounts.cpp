// Client accounts at the gateway: refused callers, and jobs that belong to an account.
#include "jobgateway_pvt.h"

#include <algorithm>

namespace MangoCourse {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

// A submission waits this long for the partition to be read, so that the caller can still make another attempt in time.
constexpr milliseconds maxOwnerReadTime{1000};

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

}

JobOwner PartitionView::ownerOf(const JobId &id, const QueueConfig &queue) const
{
    const auto known = this->progress.find(id);
    const auto submitted = this->accepted.find(id);
    JobOwner owner;
    if (known != this->progress.end()) {
        owner = JobOwner{known->second.account, known->second.queue == queue.id};
    }
    if (submitted != this->accepted.end()) {
        const KnownSubmission &submission = submitted->second;
        const bool isSameAddress = submission.placement && submission.placement->address == addressOf(queue.host, queue.pathPrefix);
        const bool isOfQueue = submission.queue == queue.id || isSameAddress || (known != this->progress.end() && owner.isOfQueue);
        owner = JobOwner{owner.account.isEmpty() ? submission.account : owner.account, isOfQueue};
    }
    const bool isKnown = known != this->progress.end() || submitted != this->accepted.end();
    if (!isKnown && this->isSent(id)) {
        const SentSubmission &submission = this->sent.at(id);
        owner = JobOwner{submission.account, submission.queue == queue.id};
    }
    return owner;
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
    std::optional<CallerReply> reply
        = request.action == CallerAction::Submit ? this->findOutdatedReply(queue, request, authorization.caller) : std::optional<CallerReply>();
    return reply ? std::move(*reply) : CallerReply{CallerOutcome::Unavailable, {}, 0, authorization.reason, storeRetryAfter};
}

bool JobGateway::Private::mayUse(const PartitionView &view, const JobId &id, const QueueConfig &queue, const CallerIdentity &caller, const char *action)
{
    if (!caller.hasAccounts) {
        return true;
    }
    const JobOwner owner = view.ownerOf(id, queue);
    const bool isAllowed = mayUseJob(caller, owner.account, owner.isOfQueue);
    if (!isAllowed) {
        this->log.emit("job_of_other_account",
            {{"job", id.value}, {"queue", queue.id.value}, {"action", action}, {"account", caller.account.value}, {"owner", owner.account.value}},
            EventPriority::Essential);
    }
    return isAllowed;
}

net::awaitable<void> JobGateway::Private::readOwner(PartitionView &view, JobId id, CallerIdentity caller)
{
    const auto known = view.progress.find(id);
    const bool hasAccount = known == view.progress.end() || !known->second.account.isEmpty();
    if (caller.account.isEmpty() || hasAccount || isFinal(known->second.state) || view.accepted.contains(id)) {
        co_return;
    }
    // If the store cannot be read, the job counts as one of an earlier version.
    co_await view.jobsReader->catchUp();
}

CallerReply JobGateway::Private::replyToRepeat(const PartitionView &view, const JobId &id, const QueueConfig &queue, const CallerIdentity &caller)
{
    if (!this->mayUse(view, id, queue, caller, "submit")) {
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
        if (!mayUseJob(caller, submission.account, submission.queue == queue.id)) {
            this->log.emit("job_of_other_account",
                {{"job", id.value}, {"queue", queue.id.value}, {"action", "submit"}, {"account", caller.account.value}, {"owner", submission.account.value}},
                EventPriority::Essential);
            return CallerReply{CallerOutcome::IdTaken, {}, 0, "the ID is that of another job", {}};
        }
    }
    return std::nullopt;
}

net::awaitable<std::optional<CallerReply>> JobGateway::Private::findOwnedJob(
    QueueConfig queue, JobId id, CallerIdentity caller, steady_clock::time_point deadline)
{
    // A record of the same key would replace another account's submission, whichever gateway has stored that.
    if (this->findViews(queue).size() == 1) {
        PartitionView &view = *this->findViews(queue).front();
        const TimePoint startedAt = bootNow();
        const std::shared_ptr<Event> readEnded = this->startReading(view);
        co_await readEnded->waitFor(std::min(maxOwnerReadTime, std::chrono::duration_cast<milliseconds>(deadline - steady_clock::now())));
        if (findState(view, id)) {
            co_return this->replyToRepeat(view, id, queue, caller);
        }
        const bool isRead = view.progressReader->currentAsOf() >= startedAt && view.jobsReader->currentAsOf() >= startedAt;
        if (std::optional<CallerReply> taken = this->findSentJob(queue, id, caller); taken || isRead) {
            co_return taken;
        }
        co_return this->refuseSubmission(id, queue, view.appender->isUnsettled(id.value), "the store cannot be read", {});
    }
    co_return this->findSentJob(queue, id, caller);
}

}
