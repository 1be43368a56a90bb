// Handles callers' requests by reading and appending records in the store.
#include "jobgateway_pvt.h"

#include <algorithm>

namespace MangoCourse {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::size_t jobIdDigits = 16;
// Part of the caller's timeout that is reserved for transmitting the reply.
constexpr milliseconds replyMargin{150};
constexpr milliseconds maxRequestTimeout{10'000};
// A gateway that has not reached the store for this long reports that it is not ready.
constexpr milliseconds storeContactTimeout{1500};

bool isJobId(std::string_view text)
{
    return text.size() == jobIdDigits && std::all_of(text.begin(), text.end(), [](unsigned char character) {
        return std::isxdigit(character) != 0;
    });
}

}

std::unique_ptr<PartitionView> JobGateway::Private::makeView(std::int32_t partition)
{
    auto view = std::make_unique<PartitionView>();
    PartitionView *raw = view.get();
    const RelayContext relay{this->context, this->store, this->log, this->metrics, this->settings.name, this->appenders};
    view->appender = std::make_shared<BatchAppender>(this->context, std::make_shared<SubmissionRelay>(relay, partition));
    view->progressReader = std::make_unique<StreamReader>(this->context, this->store, Stream::Progress, partition,
        StreamReader::Handlers{[raw] {
                                   raw->progress.clear();
                               },
            [raw](const StoredRecord &record) {
                const ParsedKey key = parseKey(record.key);
                if (key.kind != KeyKind::Job) {
                    return;
                }
                if (record.value.empty()) {
                    raw->progress.erase(key.job);
                    raw->accepted.erase(key.job);
                    raw->openJobs.remove(key.job);
                } else if (const auto known = decodeProgress(key.job, record.value)) {
                    KnownJob &job = raw->progress[key.job];
                    const auto submitted = raw->accepted.find(key.job);
                    // The previous version stores states without the account, which a job keeps for its whole life.
                    const AccountId earlier = job.account.isEmpty() && submitted != raw->accepted.end() ? submitted->second.account : job.account;
                    job = KnownJob{known->queue, known->state, known->account.isEmpty() ? earlier : known->account};
                    if (isFinal(known->state)) {
                        raw->openJobs.remove(key.job);
                    }
                }
            }});
    view->jobsReader = std::make_unique<StreamReader>(this->context, this->store, Stream::Jobs, partition,
        StreamReader::Handlers{[raw] {
                                   raw->openJobs.clear();
                               },
            [raw](const StoredRecord &record) {
                const ParsedKey key = parseKey(record.key);
                raw->seals.apply(record);
                if (record.value.empty()) {
                    raw->accepted.erase(key.job);
                    raw->openJobs.remove(key.job);
                } else if (key.kind == KeyKind::Cancellation) {
                    raw->cancelled.insert(key.job);
                } else if (const auto job = decodeAcceptedJob(key.job, record.value)) {
                    raw->accepted.emplace(key.job, KnownSubmission{job->queue, job->placement, record.offset, job->account});
                    raw->noteSubmission(key.job, memoryOf(job->spec));
                }
            }});
    return view;
}

bool JobGateway::Private::isConfigOutdated() const
{
    return this->configAge() > ConfigAgeBounds{}.confirmation;
}

std::optional<std::chrono::nanoseconds> JobGateway::Private::configAge() const
{
    return this->configCurrentAsOf ? std::optional<std::chrono::nanoseconds>(bootNow() - *this->configCurrentAsOf) : std::nullopt;
}

std::optional<CallerReply> JobGateway::Private::findOutdatedReply(const QueueConfig *queue, const CallerRequest &request, const CallerIdentity &caller)
{
    const std::string jobText = queue != nullptr ? request.path.substr(queue->pathPrefix.size()) : std::string();
    const bool isSubmission = request.action == CallerAction::Submit;
    if (!isSubmission && isJobId(jobText)) {
        // Jobs outlast their queue.
        return std::nullopt;
    }
    const char *reason = "the configuration has not been read recently";
    CallerReply reply{isSubmission ? CallerOutcome::NotAccepted : CallerOutcome::Unavailable, {}, 0, reason, storeRetryAfter};
    if (isSubmission && isJobId(jobText)) {
        const JobId id{jobText};
        const std::vector<PartitionView *> candidates = this->findViews(*queue);
        const bool mayBeAccepted = std::any_of(candidates.begin(), candidates.end(), [&](PartitionView *view) {
            view->appender->settle(view->jobsReader->currentAsOf());
            return (findState(*view, id) || view->appender->isUnsettled(id.value)) && mayUseJob(caller, view->accountOf(id, *queue, *this->config));
        });
        if (mayBeAccepted) {
            reply.outcome = CallerOutcome::MayBeAccepted;
        }
        this->logUnstored(mayBeAccepted ? "job_unsettled" : "job_refused", id, *queue, reason, AppendResult{});
    }
    return reply;
}

std::vector<PartitionView *> JobGateway::Private::findViews(const QueueConfig &queue)
{
    const std::int32_t current = partitionOf(queue.service, this->settings.partitions);
    std::vector<PartitionView *> result{this->views[static_cast<std::size_t>(current)].get()};
    for (const std::int32_t partition : this->placements->partitionsOf(queue)) {
        if (partition != current && partition < this->settings.partitions) {
            result.push_back(this->views[static_cast<std::size_t>(partition)].get());
        }
    }
    return result;
}

QueuePlacement JobGateway::Private::placementOf(const QueueConfig &queue) const
{
    return QueuePlacement{partitionOf(queue.service, this->settings.partitions), queue.id, queue.host, queue.pathPrefix};
}

PartitionView *JobGateway::Private::findUnsettledView(const QueueConfig &queue, const JobId &id)
{
    for (PartitionView *view : this->findViews(queue)) {
        view->appender->settle(view->jobsReader->currentAsOf());
        if (view->appender->isUnsettled(id.value)) {
            return view;
        }
    }
    return nullptr;
}

std::optional<JobState> JobGateway::Private::findState(const PartitionView &view, const JobId &id)
{
    const auto known = view.progress.find(id);
    if (known != view.progress.end() && isFinal(known->second.state)) {
        return known->second.state;
    }
    const bool isAccepted = known != view.progress.end() || view.accepted.contains(id);
    if (!isAccepted) {
        return std::nullopt;
    }
    if (view.cancelled.contains(id)) {
        return JobState::Cancelled;
    }
    return known != view.progress.end() ? known->second.state : JobState::Queued;
}

net::awaitable<PartitionView *> JobGateway::Private::findJob(QueueConfig queue, JobId id, Result<void> &readResult)
{
    for (PartitionView *view : this->findViews(queue)) {
        if (view->progress.contains(id)) {
            co_return view;
        }
    }
    for (PartitionView *view : this->findViews(queue)) {
        if (view->accepted.contains(id)) {
            const Result<void> read = co_await view->progressReader->catchUp();
            if (read && view->progress.contains(id)) {
                co_return view;
            }
        }
    }
    readResult = co_await this->placements->refresh();
    const std::vector<PartitionView *> candidates = this->findViews(queue);
    PartitionView *known = nullptr;
    // The current partition is read last, as void records are moved there.
    for (auto candidate = candidates.rbegin(); candidate != candidates.rend(); ++candidate) {
        PartitionView *view = *candidate;
        Result<void> read = co_await view->progressReader->catchUp();
        if (read && !view->progress.contains(id)) {
            // The owner may not have written any progress for the job yet.
            read = co_await view->jobsReader->catchUp();
        }
        if (!read) {
            readResult = read;
        }
        if (view->progress.contains(id)) {
            co_return view;
        }
        const auto accepted = view->accepted.find(id);
        if (accepted != view->accepted.end() && (known == nullptr || !view->isVoid(accepted->second))) {
            known = view;
        }
    }
    const bool mayBeBehind = !readResult && candidates.size() > 1;
    co_return mayBeBehind ? nullptr : known;
}

std::shared_ptr<Event> JobGateway::Private::startReading(PartitionView &view, bool includesStates)
{
    const auto readEnded = std::make_shared<Event>(this->context);
    net::co_spawn(
        this->context,
        [&view, readEnded, includesStates]() -> net::awaitable<void> {
            const std::size_t submittedBefore = view.submittedMemory;
            Result<void> read;
            if (includesStates) {
                read = co_await view.progressReader->catchUp();
            }
            if (read) {
                read = co_await view.jobsReader->catchUp();
            }
            // The record of a job that has ended may be deleted, so the jobs alone do not tell.
            if (read && includesStates) {
                view.submittedMemory -= std::min(view.submittedMemory, submittedBefore);
                view.appender->settle(view.jobsReader->currentAsOf());
            }
            readEnded->notify();
        },
        net::detached);
    return readEnded;
}

net::awaitable<AppendResult> JobGateway::Private::append(
    PartitionView &view, StoredRecord record, std::function<bool()> isStored, steady_clock::time_point deadline)
{
    const std::string key = record.key;
    const std::shared_ptr<Event> readEnded = view.appender->isUnsettled(key) ? this->startReading(view) : nullptr;
    AppendResult result = co_await view.appender->append(std::move(record), deadline);
    if (readEnded && result.outcome == AppendOutcome::Unknown && result.unansweredSends == 0) {
        co_await readEnded->waitFor(std::chrono::duration_cast<milliseconds>(deadline - steady_clock::now()));
        result.outcome = view.appender->isUnsettled(key) ? AppendOutcome::Unknown : AppendOutcome::NotStored;
    }
    if (result.outcome != AppendOutcome::Durable && isStored()) {
        result.outcome = AppendOutcome::Durable;
    }
    co_return result;
}

void JobGateway::Private::logUnstored(std::string_view event, const JobId &id, const QueueConfig &queue, const char *reason, const AppendResult &appended)
{
    this->log.emit(event,
        {{"job", id.value}, {"queue", queue.id.value}, {"reason", reason}, {"error", appended.reason}, {"sends", std::int64_t(appended.sends)},
            {"unanswered", std::int64_t(appended.unansweredSends)}, {"earlier_attempt", appended.hasEarlierAttempt}},
        EventPriority::Essential);
}

net::awaitable<CallerReply> JobGateway::Private::cancel(QueueConfig queue, JobId id, CallerIdentity caller, steady_clock::time_point deadline)
{
    Result<void> readResult;
    PartitionView *view = co_await this->findJob(queue, id, readResult);
    if (view == nullptr && !readResult) {
        co_return CallerReply{CallerOutcome::Unavailable, {}, 0, "the store cannot be read", storeRetryAfter};
    }
    if (view == nullptr) {
        // A submission that may still be stored is cancelled ahead of it.
        view = this->findUnsettledView(queue, id);
    }
    if (view != nullptr) {
        const bool isAccountRead = co_await this->readAccount(*view, queue, id, caller);
        if (!isAccountRead) {
            co_return CallerReply{CallerOutcome::Unavailable, {}, 0, "the store cannot be read", storeRetryAfter};
        }
    }
    if (view == nullptr || !this->mayUse(*view, id, queue, caller, CallerAction::Cancel)) {
        co_return CallerReply{CallerOutcome::NoSuchJob, {}, 0, "no such job", {}};
    }
    // Without the owner's record the job may still be moved on to another partition of the queue.
    const bool isAdmitted = view->progress.contains(id);
    if (!isAdmitted && !readResult) {
        const bool isUnsettled = view->appender->isUnsettled(cancellationKey(id));
        co_return CallerReply{isUnsettled ? CallerOutcome::MayBeAccepted : CallerOutcome::Unavailable, {}, 0, "the store cannot be read", storeRetryAfter};
    }
    AppendResult appended;
    bool isDurable = true;
    for (PartitionView *target : isAdmitted ? std::vector{view} : this->findViews(queue)) {
        // Another partition of the queue may have a job of the same ID that belongs to another account.
        if (target != view && !this->mayUse(*target, id, queue, caller, CallerAction::Cancel)) {
            continue;
        }
        StoredRecord record{cancellationKey(id), "1", -1};
        const auto isStored = [target, id] {
            return target->cancelled.contains(id);
        };
        appended = co_await this->append(*target, std::move(record), isStored, deadline);
        isDurable = appended.outcome == AppendOutcome::Durable;
        if (!isDurable) {
            break;
        }
        target->cancelled.insert(id);
    }
    this->log.emit("job_cancel",
        {{"job", id.value}, {"queue", queue.id.value}, {"durable", isDurable}, {"error", appended.reason}, {"sends", std::int64_t(appended.sends)},
            {"unanswered", std::int64_t(appended.unansweredSends)}, {"earlier_attempt", appended.hasEarlierAttempt}},
        EventPriority::Essential);
    if (isDurable) {
        co_return CallerReply{CallerOutcome::Cancelled, {}, 0, {}, {}};
    }
    const bool isUnknown = appended.outcome == AppendOutcome::Unknown;
    co_return CallerReply{isUnknown ? CallerOutcome::MayBeAccepted : CallerOutcome::Unavailable, {}, 0, "the store did not confirm the cancellation",
        view->appender->retryAfter()};
}

net::awaitable<CallerReply> JobGateway::Private::readJob(QueueConfig queue, JobId id, CallerIdentity caller)
{
    Result<void> readResult;
    PartitionView *view = co_await this->findJob(queue, id, readResult);
    if (view == nullptr && !readResult) {
        co_return CallerReply{CallerOutcome::Unavailable, {}, 0, "the store cannot be read", storeRetryAfter};
    }
    if (view == nullptr) {
        this->log.emit("job_unknown", {{"job", id.value}, {"queue", queue.id.value}}, EventPriority::Essential);
        co_return CallerReply{CallerOutcome::NoSuchJob, {}, 0, "no such job", {}};
    }
    const bool isAccountRead = co_await this->readAccount(*view, queue, id, caller);
    if (!isAccountRead) {
        co_return CallerReply{CallerOutcome::Unavailable, {}, 0, "the store cannot be read", storeRetryAfter};
    }
    if (!this->mayUse(*view, id, queue, caller, CallerAction::Read)) {
        co_return CallerReply{CallerOutcome::NoSuchJob, {}, 0, "no such job", {}};
    }
    std::optional<JobState> state = findState(*view, id);
    if (state && !isFinal(*state)) {
        // If the store cannot be read, the previously known state is returned: states only advance.
        const Result<void> read = co_await view->progressReader->catchUp();
        this->lastStoreContact = read ? steady_clock::now() : this->lastStoreContact;
        state = findState(*view, id);
    }
    co_return CallerReply{CallerOutcome::State, state.value_or(JobState::Queued), 0, {}, {}};
}

net::awaitable<CallerReply> JobGateway::Private::readQueue(QueueConfig queue)
{
    const Result<void> refreshed = co_await this->placements->refresh();
    if (!refreshed) {
        this->log.emit("count_stale", {{"queue", queue.id.value}});
    }
    const std::string address = addressOf(queue.host, queue.pathPrefix);
    std::set<JobId> pending;
    for (PartitionView *view : this->findViews(queue)) {
        const Result<void> read = co_await view->progressReader->catchUp();
        const Result<void> jobs = co_await view->jobsReader->catchUp();
        if (!read || !jobs) {
            this->log.emit("count_stale", {{"queue", queue.id.value}});
        }
        for (const auto &[id, accepted] : view->accepted) {
            const auto known = view->progress.find(id);
            const bool hasBegun = known != view->progress.end() && known->second.state != JobState::Queued;
            const bool isOfQueue = accepted.queue == queue.id || (accepted.placement && accepted.placement->address == address);
            if (isOfQueue && !hasBegun && !view->cancelled.contains(id)) {
                pending.insert(id);
            }
        }
    }
    co_return CallerReply{CallerOutcome::Pending, {}, pending.size(), {}, {}};
}

JobGateway::JobGateway(std::unique_ptr<Private> impl)
    : d(std::move(impl))
{
}

JobGateway::~JobGateway() = default;

Result<std::unique_ptr<JobGateway>> JobGateway::create(
    net::io_context &context, RecordStore &store, EventLog &log, Metrics &metrics, const NodeSettings &settings, std::shared_ptr<QueuePlacements> placements)
{
    if (settings.partitions < 1) {
        return makeError(ErrorCode::InvalidArgument, "must be at least 1", "partitions");
    }
    if (!placements) {
        placements = std::make_shared<QueuePlacements>(context, store, log);
    }
    auto impl = std::make_unique<Private>(context, store, log, metrics, settings, std::move(placements));
    for (std::int32_t partition = 0; partition < settings.partitions; ++partition) {
        impl->views.push_back(impl->makeView(partition));
    }
    return std::unique_ptr<JobGateway>(new JobGateway(std::move(impl)));
}

void JobGateway::setConfig(std::shared_ptr<const FleetConfig> config)
{
    if (this->d->config && this->d->config->revision >= config->revision) {
        return;
    }
    this->d->recordMovedQueues(*config);
    this->d->config = std::move(config);
}

void JobGateway::setConfigCurrentAsOf(TimePoint asOf)
{
    this->d->configCurrentAsOf = asOf;
}

void JobGateway::noteStoreContact(bool isReachable)
{
    if (isReachable) {
        this->d->lastStoreContact = steady_clock::now();
    }
}

void JobGateway::startDraining()
{
    this->d->isDraining = true;
}

bool JobGateway::isReady() const
{
    return !this->d->isDraining && this->d->config && !this->d->isConfigOutdated() && steady_clock::now() - this->d->lastStoreContact < storeContactTimeout;
}

net::awaitable<HttpResponse> JobGateway::appendForOther(std::string body)
{
    Private *state = this->d.get();
    RelayReceiver receiver{state->context, state->metrics, state->settings.name, state->settings.partitions,
        [state](const StoredRecord &record) {
            return state->store.accepts(record);
        },
        [state](std::int32_t partition) {
            return state->views[static_cast<std::size_t>(partition)]->appender;
        },
        [state](std::int32_t partition) {
            (void)state->startReading(*state->views[static_cast<std::size_t>(partition)]);
        }};
    HttpResponse response = co_await receiveRelayedRecords(std::move(receiver), std::move(body));
    co_return response;
}

net::awaitable<CallerReply> JobGateway::handle(CallerRequest request)
{
    if (!this->d->config) {
        co_return CallerReply{CallerOutcome::NotAccepted, {}, 0, "no configuration has been read yet", storeRetryAfter};
    }
    const auto start = steady_clock::now();
    const auto timeout = std::min(request.timeout, maxRequestTimeout);
    const auto deadline = start + std::max(timeout - replyMargin, timeout / 2);
    const std::shared_ptr<const FleetConfig> config = this->d->config;
    const QueueConfig *queue = config->match(request.host, request.path);
    CallerIdentity caller;
    if (queue != nullptr) {
        // A healthy gateway's configuration may be as old as the bound of its confirmation.
        const ConfigAgeBounds bounds{.revocation = std::max(this->d->settings.revocationBound, ConfigAgeBounds{}.confirmation)};
        const CallerAuthorization authorization = authorizeCaller(*config, *queue, request.apiKey, this->d->configAge(), bounds);
        if (authorization.verdict != CallerVerdict::Allowed) {
            co_return this->d->refuseCaller(queue, request, authorization);
        }
        caller = authorization.caller;
    }
    if (this->d->isConfigOutdated()) {
        if (std::optional<CallerReply> reply = this->d->findOutdatedReply(queue, request, caller)) {
            co_return std::move(*reply);
        }
    }
    if (queue == nullptr) {
        co_return CallerReply{CallerOutcome::NoSuchQueue, {}, 0, "no such queue", {}};
    }
    const std::string jobText = request.path.substr(queue->pathPrefix.size());
    CallerReply reply;
    if (jobText.empty() && request.action == CallerAction::Read) {
        reply = co_await this->d->readQueue(*queue);
        co_return reply;
    }
    if (!isJobId(jobText)) {
        co_return CallerReply{CallerOutcome::Invalid, {}, 0, "job: must be 16 hexadecimal digits", {}};
    }
    const char *action = actionName(request.action);
    const JobId id{jobText};
    switch (request.action) {
    case CallerAction::Submit:
        reply = co_await this->d->submit(*queue, id, std::move(request), caller, deadline);
        break;
    case CallerAction::Read:
        reply = co_await this->d->readJob(*queue, id, caller);
        break;
    case CallerAction::Cancel:
        reply = co_await this->d->cancel(*queue, id, caller, deadline);
        break;
    }
    const auto elapsed = std::chrono::duration_cast<std::chrono::microseconds>(steady_clock::now() - start);
    this->d->metrics.observe("mangocourse_request_seconds", "Time to answer callers.", std::string("action=\"") + action + "\"", elapsed);
    co_return reply;
}

}
