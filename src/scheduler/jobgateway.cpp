// The callers' requests against the store.
#include "jobgateway.h"

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <unordered_map>

#include "batchappender.h"
#include "clocks.h"
#include "recordcodec.h"
#include "streamreader.h"

namespace MangoCourse {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::size_t jobIdDigits = 16;
// Kept back from a caller's time limit for the way to the caller.
constexpr milliseconds answerMargin{150};
constexpr milliseconds longestLimit{10'000};
// How long callers stay away when the store cannot be reached.
constexpr milliseconds storeRetryAfter{1000};
// A gateway that has not reached the store for this long asks for no callers.
constexpr milliseconds storeSilence{1500};
// After a queue moved to another service, its earlier partition is looked at for this long.
constexpr std::chrono::seconds movedQueueMemory{120};

bool isJobId(std::string_view text)
{
    return text.size() == jobIdDigits && std::all_of(text.begin(), text.end(), [](unsigned char character) {
        return std::isxdigit(character) != 0;
    });
}

// What is known of one job's state.
struct KnownJob {
    QueueId queue;
    JobState state = JobState::Queued;
};

// What a gateway knows of one partition.
struct PartitionView {
    std::unordered_map<JobId, KnownJob> progress;
    // Jobs that are accepted, by this gateway or by another.
    std::unordered_map<JobId, QueueId> accepted;
    std::set<JobId> cancelled;
    std::shared_ptr<BatchAppender> appender;
    std::unique_ptr<StreamReader> progressReader;
    std::unique_ptr<StreamReader> jobsReader;
};

struct EarlierService {
    ServiceId service;
    steady_clock::time_point until;
};

}

class JobGateway::Private
{
public:
    Private(net::io_context &context, RecordStore &store, EventLog &log, Metrics &metrics, const NodeSettings &settings)
        : context(context)
        , store(store)
        , log(log)
        , metrics(metrics)
        , settings(settings)
    {
    }

    net::io_context &context;
    RecordStore &store;
    EventLog &log;
    Metrics &metrics;
    NodeSettings settings;
    std::shared_ptr<const FleetConfig> config;
    std::vector<std::unique_ptr<PartitionView>> views;
    std::map<QueueId, std::vector<EarlierService>> earlier;
    steady_clock::time_point storeReachedAt{};
    bool isRetired = false;

    std::unique_ptr<PartitionView> makeView(std::int32_t partition);
    std::vector<PartitionView *> viewsOf(const QueueConfig &queue);
    net::awaitable<CallerReply> submit(QueueConfig queue, JobId id, CallerRequest request, steady_clock::time_point deadline);
    net::awaitable<CallerReply> cancel(QueueConfig queue, JobId id, steady_clock::time_point deadline);
    net::awaitable<CallerReply> readJob(QueueConfig queue, JobId id);
    net::awaitable<CallerReply> readQueue(QueueConfig queue);
    net::awaitable<PartitionView *> findJob(QueueConfig queue, JobId id, Result<void> &reached);
    static std::optional<JobState> stateOf(const PartitionView &view, const JobId &id);
    void rememberMoves(const FleetConfig &next);
};

std::unique_ptr<PartitionView> JobGateway::Private::makeView(std::int32_t partition)
{
    auto view = std::make_unique<PartitionView>();
    PartitionView *raw = view.get();
    view->appender = std::make_shared<BatchAppender>(this->context, this->store, Stream::Jobs, partition);
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
                } else if (const auto known = decodeProgress(key.job, record.value)) {
                    raw->progress[key.job] = KnownJob{known->queue, known->state};
                }
            }});
    view->jobsReader = std::make_unique<StreamReader>(this->context, this->store, Stream::Jobs, partition,
        StreamReader::Handlers{[] {
                               },
            [raw](const StoredRecord &record) {
                const ParsedKey key = parseKey(record.key);
                if (record.value.empty()) {
                    raw->accepted.erase(key.job);
                } else if (key.kind == KeyKind::Cancellation) {
                    raw->cancelled.insert(key.job);
                } else if (const auto job = decodeAcceptedJob(key.job, record.value)) {
                    raw->accepted.emplace(key.job, job->queue);
                }
            }});
    return view;
}

std::vector<PartitionView *> JobGateway::Private::viewsOf(const QueueConfig &queue)
{
    std::vector<PartitionView *> result{this->views[static_cast<std::size_t>(partitionOf(queue.service, this->settings.partitions))].get()};
    const auto moved = this->earlier.find(queue.id);
    if (moved == this->earlier.end()) {
        return result;
    }
    for (const EarlierService &service : moved->second) {
        PartitionView *view = this->views[static_cast<std::size_t>(partitionOf(service.service, this->settings.partitions))].get();
        if (service.until > steady_clock::now() && std::find(result.begin(), result.end(), view) == result.end()) {
            result.push_back(view);
        }
    }
    return result;
}

std::optional<JobState> JobGateway::Private::stateOf(const PartitionView &view, const JobId &id)
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

net::awaitable<PartitionView *> JobGateway::Private::findJob(QueueConfig queue, JobId id, Result<void> &reached)
{
    const std::vector<PartitionView *> candidates = this->viewsOf(queue);
    for (PartitionView *view : candidates) {
        if (stateOf(*view, id)) {
            co_return view;
        }
    }
    for (PartitionView *view : candidates) {
        Result<void> read = co_await view->progressReader->catchUp();
        if (read && !stateOf(*view, id)) {
            // The owner may not have seen it yet.
            read = co_await view->jobsReader->catchUp();
        }
        if (!read) {
            reached = read;
        }
        if (stateOf(*view, id)) {
            co_return view;
        }
    }
    co_return nullptr;
}

net::awaitable<CallerReply> JobGateway::Private::submit(QueueConfig queue, JobId id, CallerRequest request, steady_clock::time_point deadline)
{
    Result<JobSpec> spec = request.decodeJob();
    if (!spec) {
        co_return CallerReply{CallerOutcome::Invalid, {}, 0, describe(spec.error()), {}};
    }
    const std::vector<PartitionView *> candidates = this->viewsOf(queue);
    if (candidates.size() > 1) {
        // The queue has moved lately: a repeated submission must not become a second job.
        Result<void> reached;
        PartitionView *known = co_await this->findJob(queue, id, reached);
        if (known != nullptr) {
            co_return CallerReply{CallerOutcome::Accepted, {}, 0, {}, {}};
        }
        if (!reached) {
            co_return CallerReply{CallerOutcome::MayBeAccepted, {}, 0, "the store cannot be asked for an earlier submission", {}};
        }
    }
    PartitionView &view = *candidates.front();
    if (stateOf(view, id)) {
        co_return CallerReply{CallerOutcome::Accepted, {}, 0, {}, {}};
    }
    AcceptedJob job{id, queue.id, queue.service, wallNow(), std::move(*spec)};
    StoredRecord record{id.value, encodeAcceptedJob(job), -1};
    const AppendVerdict verdict = co_await view.appender->append(std::move(record), deadline);
    switch (verdict) {
    case AppendVerdict::Durable:
        view.accepted.emplace(id, queue.id);
        this->log.emit("job_accepted",
            {{"job", id.value}, {"queue", queue.id.value}, {"service", queue.service.value}, {"revision", this->config->revision},
                {"steps", static_cast<std::int64_t>(job.spec.steps.size())}});
        co_return CallerReply{CallerOutcome::Accepted, {}, 0, {}, {}};
    case AppendVerdict::NotStored:
        this->log.emit("job_refused", {{"job", id.value}, {"queue", queue.id.value}, {"reason", "the store takes no records"}}, EventPriority::Essential);
        co_return CallerReply{CallerOutcome::NotAccepted, {}, 0, "the store takes no records", storeRetryAfter};
    case AppendVerdict::Unknown:
        break;
    }
    this->log.emit("job_unsettled", {{"job", id.value}, {"queue", queue.id.value}, {"reason", "the store gave no answer"}}, EventPriority::Essential);
    co_return CallerReply{CallerOutcome::MayBeAccepted, {}, 0, "the store gave no answer", {}};
}

net::awaitable<CallerReply> JobGateway::Private::cancel(QueueConfig queue, JobId id, steady_clock::time_point deadline)
{
    Result<void> reached;
    PartitionView *view = co_await this->findJob(queue, id, reached);
    if (view == nullptr && !reached) {
        co_return CallerReply{CallerOutcome::Unavailable, {}, 0, "the store cannot be read", storeRetryAfter};
    }
    if (view == nullptr) {
        co_return CallerReply{CallerOutcome::NoSuchJob, {}, 0, "no such job", {}};
    }
    StoredRecord record{cancellationKey(id), "1", -1};
    const AppendVerdict verdict = co_await view->appender->append(std::move(record), deadline);
    const bool isDurable = verdict == AppendVerdict::Durable;
    this->log.emit("job_cancel", {{"job", id.value}, {"queue", queue.id.value}, {"durable", isDurable}}, EventPriority::Essential);
    if (isDurable) {
        view->cancelled.insert(id);
        co_return CallerReply{CallerOutcome::Cancelled, {}, 0, {}, {}};
    }
    const bool isUnknown = verdict == AppendVerdict::Unknown;
    co_return CallerReply{isUnknown ? CallerOutcome::MayBeAccepted : CallerOutcome::Unavailable, {}, 0, "the store did not confirm", storeRetryAfter};
}

net::awaitable<CallerReply> JobGateway::Private::readJob(QueueConfig queue, JobId id)
{
    Result<void> reached;
    PartitionView *view = co_await this->findJob(queue, id, reached);
    if (view == nullptr && !reached) {
        co_return CallerReply{CallerOutcome::Unavailable, {}, 0, "the store cannot be read", storeRetryAfter};
    }
    if (view == nullptr) {
        this->log.emit("job_unknown", {{"job", id.value}, {"queue", queue.id.value}}, EventPriority::Essential);
        co_return CallerReply{CallerOutcome::NoSuchJob, {}, 0, "no such job", {}};
    }
    std::optional<JobState> state = stateOf(*view, id);
    if (state && !isFinal(*state)) {
        // What was known before is still true enough when the store cannot be read: states only advance.
        const Result<void> read = co_await view->progressReader->catchUp();
        this->storeReachedAt = read ? steady_clock::now() : this->storeReachedAt;
        state = stateOf(*view, id);
    }
    co_return CallerReply{CallerOutcome::State, state.value_or(JobState::Queued), 0, {}, {}};
}

net::awaitable<CallerReply> JobGateway::Private::readQueue(QueueConfig queue)
{
    std::size_t pending = 0;
    const std::vector<PartitionView *> candidates = this->viewsOf(queue);
    for (PartitionView *view : candidates) {
        const Result<void> read = co_await view->progressReader->catchUp();
        const Result<void> jobs = co_await view->jobsReader->catchUp();
        if (!read || !jobs) {
            this->log.emit("count_stale", {{"queue", queue.id.value}});
        }
        for (const auto &[id, accepted] : view->accepted) {
            const auto known = view->progress.find(id);
            const bool hasBegun = known != view->progress.end() && known->second.state != JobState::Queued;
            pending += accepted == queue.id && !hasBegun && !view->cancelled.contains(id) ? 1 : 0;
        }
    }
    co_return CallerReply{CallerOutcome::Pending, {}, pending, {}, {}};
}

void JobGateway::Private::rememberMoves(const FleetConfig &next)
{
    if (!this->config) {
        return;
    }
    for (const QueueConfig &queue : this->config->queues) {
        const QueueConfig *now = next.find(queue.id);
        if (now != nullptr && now->service != queue.service) {
            this->earlier[queue.id].push_back(EarlierService{queue.service, steady_clock::now() + movedQueueMemory});
        }
    }
}

JobGateway::JobGateway(std::unique_ptr<Private> impl)
    : d(std::move(impl))
{
}

JobGateway::~JobGateway() = default;

Result<std::unique_ptr<JobGateway>> JobGateway::create(
    net::io_context &context, RecordStore &store, EventLog &log, Metrics &metrics, const NodeSettings &settings)
{
    if (settings.partitions < 1) {
        return makeError(ErrorCode::InvalidArgument, "must be at least 1", "partitions");
    }
    auto impl = std::make_unique<Private>(context, store, log, metrics, settings);
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
    this->d->rememberMoves(*config);
    this->d->config = std::move(config);
}

void JobGateway::noteStore(bool isReachable)
{
    if (isReachable) {
        this->d->storeReachedAt = steady_clock::now();
    }
}

void JobGateway::retire()
{
    this->d->isRetired = true;
}

bool JobGateway::isReady() const
{
    return !this->d->isRetired && this->d->config && steady_clock::now() - this->d->storeReachedAt < storeSilence;
}

net::awaitable<CallerReply> JobGateway::handle(CallerRequest request)
{
    if (!this->d->config) {
        co_return CallerReply{CallerOutcome::NotAccepted, {}, 0, "no configuration yet", storeRetryAfter};
    }
    const auto start = steady_clock::now();
    const auto timeout = std::min(request.timeout, longestLimit);
    const auto deadline = start + std::max(timeout - answerMargin, timeout / 2);
    const std::shared_ptr<const FleetConfig> config = this->d->config;
    const QueueConfig *queue = config->match(request.host, request.path);
    if (queue == nullptr) {
        co_return CallerReply{CallerOutcome::NoSuchQueue, {}, 0, "no such queue", {}};
    }
    const std::string rest = request.path.substr(queue->pathPrefix.size());
    CallerReply reply;
    if (rest.empty() && request.action == CallerAction::Read) {
        reply = co_await this->d->readQueue(*queue);
        co_return reply;
    }
    if (!isJobId(rest)) {
        co_return CallerReply{CallerOutcome::Invalid, {}, 0, "job: must be 16 hexadecimal digits", {}};
    }
    const char *action = "submit";
    const JobId id{rest};
    switch (request.action) {
    case CallerAction::Submit:
        reply = co_await this->d->submit(*queue, id, std::move(request), deadline);
        break;
    case CallerAction::Read:
        action = "read";
        reply = co_await this->d->readJob(*queue, id);
        break;
    case CallerAction::Cancel:
        action = "cancel";
        reply = co_await this->d->cancel(*queue, id, deadline);
        break;
    }
    const auto taken = std::chrono::duration_cast<std::chrono::microseconds>(steady_clock::now() - start);
    this->d->metrics.observe("mangocourse_request_seconds", "Time to answer callers.", std::string("action=\"") + action + "\"", taken);
    co_return reply;
}

}
