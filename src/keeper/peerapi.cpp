// Endpoints for gates and other keepers, with Thrift compact bodies.
#include "api.h"
#include "thriftcodec.h"

namespace MangoCourse {

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds maxWait = 5000ms;
constexpr std::size_t maxPullRecords = 1000;

std::chrono::milliseconds clampWait(std::int32_t waitMs)
{
    return std::clamp(std::chrono::milliseconds(waitMs), 0ms, maxWait);
}

template<typename Message>
HttpResponse thriftResponse(const Message &message)
{
    HttpResponse response(http::status::ok, 11);
    response.set(http::field::content_type, "application/vnd.apache.thrift.compact");
    response.body() = toThrift(message);
    return response;
}

// Adds the records after the requested offset to the reply, or a snapshot if they are no longer buffered. Returns true if it added either.
bool fillRecords(const KeeperState &state, Offset after, Rpc::PullReply &reply)
{
    const Offset offset = state.fleet.read([](const FleetState &fleet) {
        return fleet.offset();
    });
    reply.endOffset = offset;
    if (offset <= after) {
        return false;
    }
    const auto records = state.recent.after(after, maxPullRecords);
    if (!records) {
        reply.snapshot = state.fleet.read([](const FleetState &fleet) {
            return fleet.toJson();
        });
        reply.snapshotOffset = offset;
        return true;
    }
    for (const LogBatch::Entry &entry : *records) {
        Rpc::LogRecord record;
        record.offset = entry.offset;
        record.payload = entry.payload;
        reply.records.push_back(std::move(record));
    }
    return true;
}

bool fillListing(const KeeperState &state, std::int64_t since, Rpc::PullReply &reply)
{
    reply.listingVersion = state.listing.version();
    for (const auto &[id, instance] : state.listing.changedSince(since)) {
        Rpc::ListingEntry entry;
        entry.instance = id.value;
        entry.host = instance.endpoint.host;
        entry.port = instance.endpoint.port;
        entry.state = std::string(toString(instance.listed.state));
        entry.version = instance.version;
        reply.listing.push_back(std::move(entry));
    }
    return !reply.listing.empty();
}

net::awaitable<HttpResponse> pull(KeeperState &state, AsyncSignal &changed, const HttpRequest &request)
{
    const Result<Rpc::PullRequest> message = fromThrift<Rpc::PullRequest>(request.body());
    if (!message) {
        co_return errorResponse(http::status::bad_request, describe(message.error()));
    }
    const DataCentreId dataCentre{message->dataCentre};
    const auto recordPull = [&] {
        if (message->role == "gate") {
            state.membership.recordGate(ProcessId{message->process}, {dataCentre, message->afterOffset, 0, 0, state.clock.now()});
        }
    };
    recordPull();
    const TimePoint deadline = state.clock.now() + clampWait(message->waitMs);
    Rpc::PullReply reply;
    while (true) {
        const bool hasRecords = fillRecords(state, message->afterOffset, reply);
        const bool hasListing = fillListing(state, message->listingVersion, reply);
        const TimePoint now = state.clock.now();
        if (hasRecords || hasListing || now >= deadline) {
            break;
        }
        co_await changed.wait(std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now) + 1ms);
    }
    recordPull();
    reply.caughtUp = state.fleetStatus.caughtUp;
    reply.liveGates = state.membership.gatesIn(dataCentre, state.clock.now());
    co_return thriftResponse(reply);
}

Rpc::SubmitVerdict toRpc(const SubmitOutcome &outcome)
{
    Rpc::SubmitVerdict verdict;
    verdict.id = outcome.id.value;
    verdict.known = outcome.known || !outcome.appended;
    verdict.accepted = outcome.known && outcome.verdict.isAccepted();
    verdict.reason = outcome.known ? std::string(toString(outcome.verdict.refusal)) : "log-unavailable";
    verdict.offset = outcome.verdict.offset;
    return verdict;
}

net::awaitable<HttpResponse> submit(KeeperState &state, AsyncSignal &changed, const HttpRequest &request)
{
    const Result<Rpc::SubmitRequest> message = fromThrift<Rpc::SubmitRequest>(request.body());
    if (!message) {
        co_return errorResponse(http::status::bad_request, describe(message.error()));
    }
    std::vector<Record> records;
    for (const std::string &payload : message->records) {
        const Result<Record> record = decodeRecord(payload);
        if (!record) {
            co_return errorResponse(http::status::bad_request, describe(record.error()));
        }
        records.push_back(*record);
    }
    const std::string stream = jobsStream(state.settings.dataCentre);
    const auto outcomes = co_await submitAndWait(state, changed, stream, std::move(records), clampWait(message->waitMs));
    Rpc::SubmitReply reply;
    for (const SubmitOutcome &outcome : outcomes) {
        reply.verdicts.push_back(toRpc(outcome));
    }
    co_return thriftResponse(reply);
}

Rpc::ClaimedJob toRpc(const KeeperState &state, const JobId &id, Offset claim)
{
    Rpc::ClaimedJob claimed;
    state.ledger.read([&](const JobLedger &ledger) {
        const Job *job = ledger.job(id);
        if (job != nullptr) {
            claimed.serviceName = job->service.value;
            claimed.team = job->team.value;
            claimed.payload = job->payload;
            claimed.idempotent = job->idempotent;
        }
        return 0;
    });
    claimed.job = id.value;
    claimed.claim = claim;
    claimed.leaseMs = static_cast<std::int32_t>(state.fleet.read([](const FleetState &fleet) {
        return fleet.settings().value("", Keys::jobLeaseMs);
    }));
    return claimed;
}

net::awaitable<HttpResponse> claim(KeeperState &state, AsyncSignal &changed, const HttpRequest &request)
{
    const Result<Rpc::ClaimRequest> message = fromThrift<Rpc::ClaimRequest>(request.body());
    if (!message) {
        co_return errorResponse(http::status::bad_request, describe(message.error()));
    }
    const auto limit = static_cast<std::size_t>(std::clamp(message->maxJobs, 0, 256));
    const auto readWaiting = [&state, limit] {
        return state.ledger.read([limit](const JobLedger &ledger) {
            return ledger.waiting(limit);
        });
    };
    std::vector<JobId> waiting = readWaiting();
    if (waiting.empty()) {
        co_await changed.wait(clampWait(message->waitMs));
        waiting = readWaiting();
    }
    std::vector<Record> records;
    for (const JobId &job : waiting) {
        records.push_back(Record{state.newRecordId(), ClaimJob{job, ProcessId{message->gate}}});
    }
    Rpc::ClaimReply reply;
    if (!records.empty()) {
        const auto outcomes = co_await submitAndWait(state, changed, jobsStream(state.settings.dataCentre), records, maxWait);
        for (std::size_t index = 0; index < outcomes.size(); ++index) {
            if (outcomes[index].known && outcomes[index].verdict.isAccepted()) {
                reply.jobs.push_back(toRpc(state, waiting[index], outcomes[index].verdict.offset));
            }
        }
    }
    co_return thriftResponse(reply);
}

Rpc::JobView makeJobView(const KeeperState &state, const JobId &id)
{
    return state.ledger.read([&id](const JobLedger &ledger) {
        Rpc::JobView view;
        const Job *job = ledger.job(id);
        if (job == nullptr) {
            view.state = "unknown";
            return view;
        }
        view.known = true;
        view.state = std::string(toString(job->status));
        view.claim = job->claim;
        view.holder = job->holder.value;
        view.status = job->outcomeStatus;
        view.outcome = job->outcome;
        view.reason = job->reason;
        return view;
    });
}

net::awaitable<HttpResponse> describeJob(KeeperState &state, AsyncSignal &changed, const HttpRequest &request)
{
    const Result<Rpc::JobQuery> message = fromThrift<Rpc::JobQuery>(request.body());
    if (!message) {
        co_return errorResponse(http::status::bad_request, describe(message.error()));
    }
    const TimePoint deadline = state.clock.now() + clampWait(message->waitMs);
    Rpc::JobView view = makeJobView(state, JobId{message->job});
    while (view.known && (view.state == "waiting" || view.state == "claimed") && state.clock.now() < deadline) {
        const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - state.clock.now());
        co_await changed.wait(remaining + 1ms);
        view = makeJobView(state, JobId{message->job});
    }
    co_return thriftResponse(view);
}

net::awaitable<HttpResponse> exchange(KeeperState &state, const HttpRequest &request)
{
    const Result<Rpc::PeerStatus> peer = fromThrift<Rpc::PeerStatus>(request.body());
    if (!peer) {
        co_return errorResponse(http::status::bad_request, describe(peer.error()));
    }
    const TimePoint now = state.clock.now();
    state.membership.recordKeeper(ProcessId{peer->process}, {DataCentreId{peer->dataCentre}, peer->offset, peer->revision, peer->liveGates, now});
    Rpc::PeerStatus own;
    own.process = state.settings.name.value;
    own.dataCentre = state.settings.dataCentre.value;
    own.liveGates = static_cast<std::int32_t>(state.membership.liveGates(now).size());
    state.fleet.read([&own](const FleetState &fleet) {
        own.offset = fleet.offset();
        own.revision = fleet.settings().revision();
        return 0;
    });
    co_return thriftResponse(own);
}

}

void addPeerRoutes(HttpServer &server, KeeperState &state, AsyncSignal &changed)
{
    const std::string &token = state.settings.peerToken;
    const auto add = [&](const std::string &path, auto handler) {
        server.route(
            http::verb::post, path,
            [&state, &changed, handler](const HttpRequest &request) {
                return handler(state, changed, request);
            },
            token);
    };
    add("/peer/pull", pull);
    add("/peer/submit", submit);
    add("/peer/claim", claim);
    add("/peer/job", describeJob);
    add("/peer/exchange", [](KeeperState &shared, AsyncSignal &, const HttpRequest &request) {
        return exchange(shared, request);
    });
}

}
