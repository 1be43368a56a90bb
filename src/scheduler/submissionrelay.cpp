// Relay of records to the partition's appender.
#include "submissionrelay.h"

#include <algorithm>
#include <functional>

#include "clocks.h"
#include "event.h"
#include "httpserver.h"

namespace MangoCourse {

namespace {

using std::chrono::milliseconds;

// Records of one gateway that are on their way to the appender in as many calls: while one call waits for the append in progress, another collects.
constexpr int maxConcurrentCalls = 2;
constexpr std::size_t maxAppenderConnections = 4;
constexpr milliseconds directoryReadInterval{500};
// Part of a call's time that is left for the answer's way.
constexpr milliseconds answerMargin{100};
// A call that is carried out later than this after it was sent, by the clocks of both processes, is refused. The clocks may differ by 10 s.
constexpr milliseconds maxCallAge{15'000};
// Upper bound of the time from the sending of a call to the end of the appends that it causes: the age and the difference of the clocks, 25 s, and the
// appender's retries.
constexpr milliseconds maxRelayDelay{30'000};
// Appenders are replaced within seconds, and processes of earlier versions within minutes.
constexpr milliseconds unreachableClosing{500};
constexpr milliseconds rejectedClosing{2000};
constexpr milliseconds unknownCallClosing{10'000};
// A refusal that took longer is not followed by another attempt, so that the caller hears it in time.
constexpr milliseconds maxRefusalTime{100};

constexpr unsigned ok = 200;

// Statuses with which an appender, or a process of an earlier version, refuses a call as a whole.
bool isRefusal(unsigned status)
{
    return status == 400 || status == 401 || status == 404 || status == 405 || status == 409 || status == 413;
}

TargetAnswer unknownAnswer(std::size_t count, const std::string &reason)
{
    return TargetAnswer{std::vector<RecordAnswer>(count, RecordAnswer{AppendOutcome::Unknown, reason, false}), maxRelayDelay, true};
}

AppendAnswer summarize(const std::vector<RecordAnswer> &records)
{
    const auto has = [&records](AppendOutcome outcome) {
        return std::any_of(records.begin(), records.end(), [outcome](const RecordAnswer &record) {
            return record.outcome == outcome;
        });
    };
    // Other outcomes beside durable records are due to earlier attempts.
    if (has(AppendOutcome::Durable)) {
        return AppendAnswer::Done;
    }
    return has(AppendOutcome::Unknown) ? AppendAnswer::Unanswered : AppendAnswer::Refused;
}

const char *nameOf(AppendOutcome outcome)
{
    switch (outcome) {
    case AppendOutcome::Durable:
        return "durable";
    case AppendOutcome::NotStored:
        return "not_stored";
    case AppendOutcome::Unknown:
        break;
    }
    return "unknown";
}

milliseconds toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<milliseconds>(duration);
}

}

AppenderDirectory::AppenderDirectory(net::io_context &context, RecordStore &store, EventLog &log)
    : context(context)
    , log(log)
    , reader(context, store, Stream::Plan, appenderPartition,
          StreamReader::Handlers{[] {
                                 },
              [this](const StoredRecord &record) {
                  this->apply(record);
              }})
{
}

void AppenderDirectory::apply(const StoredRecord &record)
{
    const Result<std::int32_t> partition = parseAppenderKey(record.key);
    if (!partition || record.value.empty()) {
        return;
    }
    Result<AppenderAddress> address = decodeAppenderAddress(record.value);
    if (!address) {
        this->log.emit(
            "appender_unreadable", {{"key", record.key}, {"offset", record.offset}, {"reason", describe(address.error())}}, EventPriority::Essential);
        return;
    }
    const auto known = this->addresses.find(*partition);
    if (known == this->addresses.end() || known->second.token <= address->token) {
        this->addresses.insert_or_assign(*partition, std::move(*address));
    }
}

const AppenderAddress *AppenderDirectory::find(std::int32_t partition) const
{
    const auto known = this->addresses.find(partition);
    return known == this->addresses.end() ? nullptr : &known->second;
}

void AppenderDirectory::requestRead()
{
    if (this->isReading) {
        return;
    }
    this->isReading = true;
    net::co_spawn(
        this->context,
        [self = this->shared_from_this()]() -> net::awaitable<void> {
            co_await sleepFor(self->context, std::max(toMilliseconds(self->nextReadAt - bootNow()), milliseconds::zero()));
            const Result<void> read = co_await self->reader.catchUp();
            if (!read) {
                self->log.emit("appenders_unread", {{"reason", describe(read.error())}});
            }
            self->isReading = false;
            self->nextReadAt = bootNow() + directoryReadInterval;
        },
        net::detached);
}

SubmissionRelay::SubmissionRelay(const RelayContext &relay, std::int32_t partition)
    : relay(relay)
    , partition(partition)
    , direct(relay.store, Stream::Jobs, partition)
    , policy(std::hash<std::string>{}(relay.process.value + '/' + std::to_string(partition)))
{
}

AppendRoute SubmissionRelay::route()
{
    if (this->policy.route(bootNow()) == AppendRoute::Direct) {
        return AppendRoute::Direct;
    }
    const AppenderAddress *address = this->relay.directory->find(this->partition);
    if (address == nullptr) {
        this->relay.directory->requestRead();
    }
    return address != nullptr && address->process != this->relay.process ? AppendRoute::Relayed : AppendRoute::Direct;
}

int SubmissionRelay::maxConcurrentAppends()
{
    return this->route() == AppendRoute::Relayed ? maxConcurrentCalls : 1;
}

milliseconds SubmissionRelay::expectedWait()
{
    return toMilliseconds(this->policy.expectedWait(this->route(), bootNow()));
}

milliseconds SubmissionRelay::appendTime() const
{
    return toMilliseconds(this->policy.directTime(bootNow()));
}

milliseconds SubmissionRelay::retryAfter(std::size_t waitingRecords)
{
    return this->policy.retryAfter(this->route(), waitingRecords, bootNow());
}

void SubmissionRelay::logRoute(AppendRoute next)
{
    if (next == std::exchange(this->lastRoute, next)) {
        return;
    }
    const TimePoint now = bootNow();
    const bool isRelayed = next == AppendRoute::Relayed;
    const AppenderAddress *address = this->relay.directory->find(this->partition);
    this->relay.log.emit("append_route",
        {{"partition", std::int64_t(this->partition)}, {"route", isRelayed ? "relayed" : "direct"}, {"refused", this->policy.isDirectRefused(now)},
            {"append_ms", std::int64_t(toMilliseconds(this->policy.directTime(now)).count())},
            {"appender", address == nullptr ? std::string() : address->process.value}},
        EventPriority::Essential);
    this->relay.metrics.add("mangocourse_append_routes_total", "Changes of the route of appends.", isRelayed ? "route=\"relayed\"" : "route=\"direct\"");
}

net::awaitable<TargetAnswer> SubmissionRelay::append(std::vector<StoredRecord> records, AppendOrigin origin, milliseconds timeout)
{
    if (origin == AppendOrigin::OwnCaller) {
        const AppendRoute next = this->route();
        this->logRoute(next);
        if (next == AppendRoute::Relayed) {
            const AppenderAddress address = *this->relay.directory->find(this->partition);
            std::optional<TargetAnswer> answer = co_await this->sendToAppender(records, address, timeout);
            if (answer) {
                co_return std::move(*answer);
            }
        }
    }
    TargetAnswer answer = co_await this->appendDirectly(std::move(records), origin, timeout);
    co_return answer;
}

net::awaitable<TargetAnswer> SubmissionRelay::appendDirectly(std::vector<StoredRecord> records, AppendOrigin origin, milliseconds timeout)
{
    const TimePoint startedAt = bootNow();
    this->policy.beginDirect(startedAt);
    TargetAnswer answer = co_await this->direct.append(std::move(records), origin, timeout);
    this->policy.endDirect(summarize(answer.records), startedAt, bootNow());
    // Has the address read early if the next append needs it.
    (void)this->route();
    co_return answer;
}

std::shared_ptr<ConnectionPool> SubmissionRelay::connectTo(const Endpoint &endpoint)
{
    if (this->connectedTo != endpoint) {
        Result<std::unique_ptr<ConnectionPool>> pool = ConnectionPool::create(this->relay.context, endpoint, maxAppenderConnections);
        this->connections = pool ? std::shared_ptr<ConnectionPool>(std::move(*pool)) : nullptr;
        this->connectedTo = endpoint;
    }
    return this->connections;
}

void SubmissionRelay::abandon(milliseconds time, const AppenderAddress &address, const std::string &reason)
{
    this->policy.closeRelay(bootNow() + time);
    this->relay.directory->requestRead();
    this->relay.log.emit("relay_failed",
        {{"partition", std::int64_t(this->partition)}, {"appender", address.process.value}, {"token", address.token}, {"reason", reason},
            {"pause_ms", std::int64_t(time.count())}},
        EventPriority::Essential);
}

void SubmissionRelay::countRelayed(const std::vector<RecordAnswer> &records)
{
    for (const RecordAnswer &record : records) {
        this->relay.metrics.add("mangocourse_relayed_records_total", "Records that were relayed to a partition's appender.",
            std::string("outcome=\"") + nameOf(record.outcome) + "\"");
    }
}

net::awaitable<std::optional<TargetAnswer>> SubmissionRelay::sendToAppender(std::vector<StoredRecord> records, AppenderAddress address, milliseconds timeout)
{
    const std::shared_ptr<ConnectionPool> pool = this->connectTo(address.endpoint);
    const std::size_t count = records.size();
    HttpCall call;
    call.method = http::verb::post;
    call.target = "/append";
    call.headers.emplace_back("Content-Type", "application/cbor");
    call.timeout = timeout;
    call.body = encodeRelayedBatch(RelayedBatch{address.process, this->partition, wallNow(), timeout - answerMargin, std::move(records)});
    if (!pool || call.body.size() > maxRelayBytes) {
        this->abandon(pool ? milliseconds::zero() : rejectedClosing, address, pool ? "the records are too long" : "the endpoint is invalid");
        co_return std::nullopt;
    }
    const TimePoint startedAt = bootNow();
    const Result<HttpAnswer> answer = co_await pool->call(std::move(call));
    const TimePoint endedAt = bootNow();
    if (!answer && answer.error().code == ErrorCode::Unavailable) {
        // Records must not wait again and again for a connection that is not even refused.
        const bool wasSlow = endedAt - startedAt > RelayPolicy::verySlowAppend;
        this->abandon(wasSlow ? unknownCallClosing : unreachableClosing, address, describe(answer.error()));
        co_return std::nullopt;
    }
    const unsigned status = answer ? answer->response.result_int() : 0;
    if (answer && isRefusal(status) && !answer->hasUnansweredAttempt) {
        this->abandon(status == 404 || status == 405 ? unknownCallClosing : rejectedClosing, address, "status " + std::to_string(status));
        co_return std::nullopt;
    }
    Result<RelayAnswer> relayed = makeError(ErrorCode::Timeout, "no answer", toString(address.endpoint));
    if (answer && status == ok) {
        relayed = decodeRelayAnswer(answer->response.body(), count);
    } else if (answer) {
        relayed = makeError(ErrorCode::Timeout, "status " + std::to_string(status), toString(address.endpoint));
    }
    if (!relayed) {
        this->policy.endRelayed(AppendAnswer::Unanswered, std::nullopt, startedAt, endedAt);
        this->abandon(rejectedClosing, address, describe(relayed.error()));
        TargetAnswer unknown = unknownAnswer(count, "the partition's appender gave no clear answer");
        this->countRelayed(unknown.records);
        co_return unknown;
    }
    this->policy.endRelayed(summarize(relayed->records), Duration(relayed->appendTime), startedAt, endedAt);
    TargetAnswer result{std::move(relayed->records), maxRelayDelay};
    const bool isStoreSlow = relayed->appendTime >= RelayPolicy::slowAppend;
    const bool isDirectFutile = isStoreSlow || this->policy.isDirectRefused(endedAt) || endedAt - startedAt > maxRefusalTime;
    for (RecordAnswer &record : result.records) {
        if (record.outcome == AppendOutcome::NotStored && answer->hasUnansweredAttempt) {
            // The refusal says nothing about the attempt that got no answer.
            record.outcome = AppendOutcome::Unknown;
        }
        record.isFinal = record.outcome == AppendOutcome::NotStored && isDirectFutile;
    }
    this->countRelayed(result.records);
    co_return result;
}

net::awaitable<HttpResponse> receiveRelayedRecords(RelayReceiver receiver, std::string body)
{
    const auto receivedAt = std::chrono::steady_clock::now();
    Result<RelayedBatch> batch = decodeRelayedBatch(body, receiver.partitions);
    if (!batch) {
        co_return errorResponse(http::status::bad_request, describe(batch.error()));
    }
    if (batch->process != receiver.process) {
        co_return errorResponse(http::status::conflict, "the call is for another process");
    }
    if (std::chrono::abs(wallNow() - batch->sentAt) > maxCallAge) {
        co_return errorResponse(http::status::conflict, "the call was sent too long ago, or the clocks differ");
    }
    if (!std::all_of(batch->records.begin(), batch->records.end(), receiver.isStorable)) {
        co_return errorResponse(http::status::payload_too_large, "a record is larger than the store takes");
    }
    // Shared with the appends of the records.
    struct Pending {
        explicit Pending(net::io_context &context)
            : changed(context)
        {
        }
        RelayAnswer answer;
        std::size_t missing = 0;
        Event changed;
    };
    const auto pending = std::make_shared<Pending>(receiver.context);
    pending->missing = batch->records.size();
    pending->answer.records.resize(batch->records.size(), RecordAnswer{AppendOutcome::Unknown, "the append did not end in time", false});
    const std::shared_ptr<BatchAppender> appender = receiver.appenderOf(batch->partition);
    const bool hasUnsettled = std::any_of(batch->records.begin(), batch->records.end(), [&appender](const StoredRecord &record) {
        return appender->isUnsettled(record.key);
    });
    if (hasUnsettled) {
        receiver.startReading(batch->partition);
    }
    const auto deadline = receivedAt + batch->timeout;
    for (std::size_t index = 0; index < batch->records.size(); ++index) {
        net::co_spawn(
            receiver.context,
            [pending, appender, index, deadline, record = std::move(batch->records[index])]() mutable -> net::awaitable<void> {
                const AppendResult result = co_await appender->append(std::move(record), deadline, AppendOrigin::OtherProcess);
                pending->answer.records[index] = RecordAnswer{result.outcome, result.reason, false};
                if (--pending->missing == 0) {
                    pending->changed.notify();
                }
            },
            net::detached);
    }
    // The sender's call ends soon after the deadline. Without an answer it would not learn of the records that are durable, nor that appends are slow.
    while (pending->missing > 0 && std::chrono::steady_clock::now() < deadline) {
        co_await pending->changed.waitFor(std::chrono::ceil<milliseconds>(deadline - std::chrono::steady_clock::now()));
    }
    for (const RecordAnswer &record : pending->answer.records) {
        receiver.metrics.add("mangocourse_appended_for_others_total", "Records that other processes relayed to this one.",
            std::string("outcome=\"") + nameOf(record.outcome) + "\"");
    }
    pending->answer.appendTime = appender->appendTime();
    HttpResponse response(http::status::ok, 11);
    response.set(http::field::content_type, "application/cbor");
    response.body() = encodeRelayAnswer(pending->answer);
    co_return response;
}

}
