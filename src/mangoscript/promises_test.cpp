// Property tests: random sequences of load and faults must not violate the invariants, which InvariantState and InstanceStore check independently of
// the code under test.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "simulation.h"

namespace MangoCourse {

namespace {

using namespace std::chrono_literals;

constexpr int historySteps = 60;
constexpr Duration settleDuration = std::chrono::seconds(30);
constexpr int rackCount = 6;

// One step of a random history: load or a fault.
enum class HistoryEvent {
    Nothing,
    ChangeSetting,
    RaceSettings,
    StartWave,
    ControlWave,
    StartMove,
    SubmitJob,
    SubmitIdempotentJob,
    CancelJob,
    LogDown,
    LogUp,
    InjectAppendTimeouts,
    Disconnect,
    DisconnectFromAll,
    Reconnect,
    Pause,
    Resume,
    DelayActions,
    DeliverDelayedActions,
    Restart,
    RestartAll,
    FailRack,
    RecoverRack,
    LongWait,
    Count,
};

// Applies random events to a simulation.
class History
{
public:
    explicit History(const SimulationSpec &spec)
        : simulation(spec)
    {
    }

    void step(HistoryEvent event, unsigned choice);

    // Clears every fault and gives the nodes time to finish the accepted work.
    void settle();

    Simulation simulation;

private:
    Node &pickNode(unsigned choice)
    {
        return *this->simulation.nodes[choice % this->simulation.nodes.size()];
    }
    void applyLoad(HistoryEvent event, unsigned choice);
    void applyFault(HistoryEvent event, unsigned choice);

    int jobCount = 0;
    int waveCount = 0;
    int failedRack = -1;
};

void History::applyLoad(HistoryEvent event, unsigned choice)
{
    Node &node = this->pickNode(choice);
    const std::string value = std::to_string(100 + choice % 1000);
    switch (event) {
    case HistoryEvent::ChangeSetting:
        node.submit(fleetStreamName, ChangeSetting{choice % 2 == 0 ? "" : "work", "request.timeout_ms", value, -1});
        break;
    case HistoryEvent::RaceSettings:
        for (const auto &racer : this->simulation.nodes) {
            racer->submit(fleetStreamName, ChangeSetting{"", "request.timeout_ms", value, racer->fleet().settings().revision()});
        }
        break;
    case HistoryEvent::StartWave:
        node.submit(fleetStreamName, StartWave{WaveId{"wave-" + std::to_string(this->waveCount++)}, workPool});
        break;
    case HistoryEvent::ControlWave:
        node.submit(fleetStreamName, ControlWave{WaveId{"wave-" + std::to_string(std::max(0, this->waveCount - 1))}, static_cast<WaveAction>(choice % 3)});
        break;
    case HistoryEvent::StartMove: {
        const bool toWork = choice % 2 == 0;
        const InstanceId instance{(toWork ? "spare-" : "work-") + std::to_string(choice / 2 % 4)};
        const Instance *known = node.fleet().instance(instance);
        if (known != nullptr) {
            node.submit(fleetStreamName, StartMove{instance, known->pool, known->pool == workPool ? sparePool : workPool});
        }
        break;
    }
    case HistoryEvent::SubmitJob:
    case HistoryEvent::SubmitIdempotentJob: {
        const bool idempotent = event == HistoryEvent::SubmitIdempotentJob;
        const JobId job{"job-" + std::to_string(this->jobCount++)};
        // Submitted through two nodes, as by a caller that retries at another gate.
        node.submit(jobsStreamName, AcceptJob{job, ServiceId{"orders"}, TeamId{"team"}, idempotent, "payload"});
        this->pickNode(choice + 1).submit(jobsStreamName, AcceptJob{job, ServiceId{"orders"}, TeamId{"team"}, idempotent, "payload"});
        break;
    }
    case HistoryEvent::CancelJob:
        node.submit(jobsStreamName, CancelJob{JobId{"job-" + std::to_string(std::max(0, this->jobCount - 1))}});
        break;
    default:
        break;
    }
}

void History::applyFault(HistoryEvent event, unsigned choice)
{
    Node &node = this->pickNode(choice);
    switch (event) {
    case HistoryEvent::LogDown:
        this->simulation.log.store.fault = LogFault::Down;
        break;
    case HistoryEvent::LogUp:
        this->simulation.log.store.fault = LogFault::None;
        break;
    case HistoryEvent::InjectAppendTimeouts:
        this->simulation.log.appendTimeoutsToInject = static_cast<int>(choice % 5);
        break;
    case HistoryEvent::Disconnect:
    case HistoryEvent::DisconnectFromAll:
        node.log.isDisconnected = true;
        node.platform.isDisconnected = true;
        node.isDisconnectedFromPeers = event == HistoryEvent::DisconnectFromAll;
        break;
    case HistoryEvent::Reconnect:
        node.log.isDisconnected = false;
        node.platform.isDisconnected = false;
        node.isDisconnectedFromPeers = false;
        break;
    case HistoryEvent::Pause:
        node.isPaused = true;
        break;
    case HistoryEvent::Resume:
        node.isPaused = false;
        break;
    case HistoryEvent::DelayActions:
        node.platform.delaysActions = true;
        break;
    case HistoryEvent::DeliverDelayedActions:
        node.platform.deliverDelayedActions();
        break;
    case HistoryEvent::Restart:
        this->simulation.restart(choice % this->simulation.nodes.size());
        break;
    case HistoryEvent::RestartAll:
        for (std::size_t number = 0; number < this->simulation.nodes.size(); ++number) {
            this->simulation.restart(number);
        }
        break;
    case HistoryEvent::FailRack:
        // At most one rack fails at a time, which is what the margin covers.
        if (this->failedRack < 0) {
            this->failedRack = static_cast<int>(choice % rackCount);
            this->simulation.failRack(this->failedRack, true);
        }
        break;
    case HistoryEvent::RecoverRack:
        if (this->failedRack >= 0) {
            this->simulation.failRack(this->failedRack, false);
            this->failedRack = -1;
        }
        break;
    case HistoryEvent::LongWait:
        this->simulation.run(5s);
        break;
    default:
        break;
    }
}

void History::step(HistoryEvent event, unsigned choice)
{
    this->applyLoad(event, choice);
    this->applyFault(event, choice);
    this->simulation.run(Duration(100ms) * (1 + choice % 7));
}

void History::settle()
{
    this->applyFault(HistoryEvent::RecoverRack, 0);
    this->simulation.clearFaults();
    this->simulation.run(settleDuration);
}

// Records every job in the log as accepted, since its caller may have been told so.
void collectAcceptedJobs(Simulation &simulation)
{
    const auto &streams = simulation.log.store.streams;
    const auto stream = streams.find(jobsStreamName);
    if (stream == streams.end()) {
        return;
    }
    for (Offset offset = stream->second.oldest(); offset <= stream->second.end(); ++offset) {
        const Result<Record> record = decodeRecord(stream->second.at(offset));
        const auto *accept = record ? std::get_if<AcceptJob>(&record->body) : nullptr;
        if (accept != nullptr) {
            simulation.invariants.isIdempotentByAcceptedJob[accept->job] = accept->idempotent;
        }
    }
}

std::string firstViolation(const Simulation &simulation)
{
    return simulation.violations().empty() ? "" : simulation.violations().front();
}

void runHistory(std::size_t retention)
{
    SimulationSpec spec;
    spec.retention = retention;
    spec.snapshotEvery = 20;
    const auto choices = *rc::gen::container<std::vector<unsigned>>(historySteps, rc::gen::arbitrary<unsigned>());
    History history(spec);
    for (const unsigned choice : choices) {
        const auto event = static_cast<HistoryEvent>(choice % static_cast<unsigned>(HistoryEvent::Count));
        history.step(event, choice / static_cast<unsigned>(HistoryEvent::Count));
        collectAcceptedJobs(history.simulation);
        RC_ASSERT(firstViolation(history.simulation) == "");
    }
    history.settle();
    history.simulation.checkFinalInvariants();
    RC_ASSERT(firstViolation(history.simulation) == "");
}

}

RC_GTEST_PROP(Promises, HoldInEveryHistory, ())
{
    constexpr std::size_t retention = 100'000;
    runHistory(retention);
}

RC_GTEST_PROP(Promises, HoldWhileRetentionTruncatesTheLog, ())
{
    constexpr std::size_t retention = 60;
    runHistory(retention);
}

}
