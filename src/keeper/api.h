// The keeper's HTTP endpoints for operators and for other processes.
#pragma once

#include "asyncsignal.h"
#include "httpserver.h"
#include "keeperstate.h"

namespace MangoCourse {

// Adds the operators' endpoints: state dump, fleet, records, jobs, metrics, health and readiness.
void addOperatorRoutes(HttpServer &server, KeeperState &state, AsyncSignal &changed, const Supervisor &supervisor);

// Adds the endpoints that gates and keepers use: pull, submit, claim, job and exchange.
void addPeerRoutes(HttpServer &server, KeeperState &state, AsyncSignal &changed);

// One record with its fate after submitAndWait().
struct SubmitOutcome {
    RecordId id;
    bool known = false;
    bool appended = true;
    RecordVerdict verdict;
};

// Submits records to a stream and waits until the fold has answered each, the log has refused them, or the limit has passed.
// An outcome that is not known and not refused may still be accepted later: ask again with the same id.
net::awaitable<std::vector<SubmitOutcome>> submitAndWait(
    KeeperState &state, AsyncSignal &changed, std::string stream, std::vector<Record> records, std::chrono::milliseconds limit);

// Returns the whole state of the process as JSON.
std::string dumpState(const KeeperState &state, const Supervisor &supervisor);

}
