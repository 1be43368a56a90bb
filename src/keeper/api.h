// HTTP endpoints of the keeper for operators, gates and other keepers.
#pragma once

#include "asyncsignal.h"
#include "httpserver.h"
#include "keeperstate.h"

namespace MangoCourse {

// Adds the operators' endpoints: state dump, fleet, records, jobs, metrics, health and readiness.
void addOperatorRoutes(HttpServer &server, KeeperState &state, AsyncSignal &changed, const Supervisor &supervisor);

// Adds the endpoints that gates and keepers use: pull, submit, claim, job and exchange.
void addPeerRoutes(HttpServer &server, KeeperState &state, AsyncSignal &changed);

// Outcome of one record after submitAndWait().
struct SubmitOutcome {
    RecordId id;
    bool known = false;
    bool appended = true;
    RecordVerdict verdict;
};

// Submits records to a stream and waits until each has a verdict, the log has refused them, or the timeout has passed. A record whose outcome is
// neither known nor refused by then may still be accepted later; retry it with the same id.
net::awaitable<std::vector<SubmitOutcome>> submitAndWait(
    KeeperState &state, AsyncSignal &changed, std::string stream, std::vector<Record> records, std::chrono::milliseconds timeout);

// Returns a summary of the process's state as JSON.
std::string dumpState(const KeeperState &state, const Supervisor &supervisor);

}
