// Submitting records and waiting for the fold's verdicts.
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

// One record on its way: its outcome so far and its ticket at the appender, none where the ring was full.
struct Underway {
    SubmitOutcome outcome;
    std::shared_ptr<AppendTicket> ticket;

    bool isSettled() const
    {
        return this->outcome.known || !this->outcome.appended;
    }
};

void refresh(Underway &record, const KeeperState &state, const std::string &stream)
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
    KeeperState &state, AsyncSignal &changed, std::string stream, std::vector<Record> records, std::chrono::milliseconds limit)
{
    const TimePoint until = state.clock.now() + limit;
    std::vector<Underway> underway;
    for (const Record &record : records) {
        underway.push_back({SubmitOutcome{record.id, false, true, {}}, state.appender.submit(stream, record)});
    }
    constexpr std::chrono::milliseconds lookAgain{100};
    while (true) {
        bool allSettled = true;
        for (Underway &record : underway) {
            refresh(record, state, stream);
            allSettled = allSettled && record.isSettled();
        }
        if (allSettled || state.clock.now() >= until) {
            break;
        }
        co_await changed.wait(lookAgain);
    }
    std::vector<SubmitOutcome> outcomes;
    for (const Underway &record : underway) {
        outcomes.push_back(record.outcome);
    }
    co_return outcomes;
}

}
