// Submits records and waits for their verdicts.
#include "api.h"

namespace MangoCourse {

namespace {

std::optional<RecordVerdict> findVerdict(const KeeperState &state, const std::string &stream, const RecordId &id)
{
    if (stream == fleetStream) {
        return state.fleet.read([&id](const FleetState &fleet) {
            return fleet.verdictOf(id);
        });
    }
    return state.ledger.read([&id](const JobLedger &ledger) {
        return ledger.verdictOf(id);
    });
}

// A submitted record: its outcome so far and its append ticket, which is null if the ring was full.
struct PendingRecord {
    SubmitOutcome outcome;
    std::shared_ptr<AppendTicket> ticket;

    bool isSettled() const
    {
        return this->outcome.known || !this->outcome.appended;
    }
};

void updateOutcome(PendingRecord &record, const KeeperState &state, const std::string &stream)
{
    if (const auto verdict = findVerdict(state, stream, record.outcome.id)) {
        record.outcome.known = true;
        record.outcome.verdict = *verdict;
    } else if (record.ticket == nullptr || record.ticket->state == AppendState::NotAppended) {
        record.outcome.appended = false;
    }
}

}

net::awaitable<std::vector<SubmitOutcome>> submitAndWait(
    KeeperState &state, AsyncSignal &changed, std::string stream, std::vector<Record> records, std::chrono::milliseconds timeout)
{
    const TimePoint deadline = state.clock.now() + timeout;
    std::vector<PendingRecord> pending;
    for (const Record &record : records) {
        pending.push_back({SubmitOutcome{record.id, false, true, {}}, state.appender.submit(stream, record)});
    }
    constexpr std::chrono::milliseconds pollInterval{100};
    while (true) {
        bool allSettled = true;
        for (PendingRecord &record : pending) {
            updateOutcome(record, state, stream);
            allSettled = allSettled && record.isSettled();
        }
        if (allSettled || state.clock.now() >= deadline) {
            break;
        }
        co_await changed.wait(pollInterval);
    }
    std::vector<SubmitOutcome> outcomes;
    for (const PendingRecord &record : pending) {
        outcomes.push_back(record.outcome);
    }
    co_return outcomes;
}

}
