// Random histories of failures against the promises, judged by an independent plain model (Judgement and InstanceStore).
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "world.h"

namespace MangoCourse {

namespace {

using namespace std::chrono_literals;

constexpr int steps = 60;
constexpr Duration healingTime = std::chrono::seconds(30);
constexpr int racks = 6;

// What can happen at one step of a history.
enum class Happening {
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
    LoseAnswers,
    Cut,
    CutFromAll,
    Join,
    Pause,
    Resume,
    HoldActs,
    ReleaseActs,
    Restart,
    RestartAll,
    FailRack,
    RecoverRack,
    LongWait,
    Last,
};

class History
{
public:
    explicit History(const WorldSpec &spec)
        : world(spec)
    {
    }

    void step(Happening happening, unsigned choice);

    // Ends every fault and gives the nodes time to finish what was accepted.
    void settle();

    World world;

private:
    Node &pick(unsigned choice)
    {
        return *this->world.nodes[choice % this->world.nodes.size()];
    }
    void stepLoad(Happening happening, unsigned choice);
    void stepFault(Happening happening, unsigned choice);

    int jobs = 0;
    int waves = 0;
    int failedRack = -1;
};

void History::stepLoad(Happening happening, unsigned choice)
{
    Node &node = this->pick(choice);
    const std::string value = std::to_string(100 + choice % 1000);
    switch (happening) {
    case Happening::ChangeSetting:
        node.submit(worldFleetStream, ChangeSetting{choice % 2 == 0 ? "" : "work", "request.timeout_ms", value, -1});
        break;
    case Happening::RaceSettings:
        for (const auto &racer : this->world.nodes) {
            racer->submit(worldFleetStream, ChangeSetting{"", "request.timeout_ms", value, racer->fleet().settings().revision()});
        }
        break;
    case Happening::StartWave:
        node.submit(worldFleetStream, StartWave{WaveId{"wave-" + std::to_string(this->waves++)}, workPool});
        break;
    case Happening::ControlWave:
        node.submit(worldFleetStream, ControlWave{WaveId{"wave-" + std::to_string(std::max(0, this->waves - 1))}, static_cast<WaveAction>(choice % 3)});
        break;
    case Happening::StartMove: {
        const bool toWork = choice % 2 == 0;
        const InstanceId instance{(toWork ? "spare-" : "work-") + std::to_string(choice / 2 % 4)};
        const Instance *known = node.fleet().instance(instance);
        if (known != nullptr) {
            node.submit(worldFleetStream, StartMove{instance, known->pool, known->pool == workPool ? sparePool : workPool});
        }
        break;
    }
    case Happening::SubmitJob:
    case Happening::SubmitIdempotentJob: {
        const bool idempotent = happening == Happening::SubmitIdempotentJob;
        const JobId job{"job-" + std::to_string(this->jobs++)};
        // Submitted through two nodes, as a caller that retries elsewhere does.
        node.submit(worldJobsStream, AcceptJob{job, ServiceId{"orders"}, TeamId{"team"}, idempotent, "payload"});
        this->pick(choice + 1).submit(worldJobsStream, AcceptJob{job, ServiceId{"orders"}, TeamId{"team"}, idempotent, "payload"});
        break;
    }
    case Happening::CancelJob:
        node.submit(worldJobsStream, CancelJob{JobId{"job-" + std::to_string(std::max(0, this->jobs - 1))}});
        break;
    default:
        break;
    }
}

void History::stepFault(Happening happening, unsigned choice)
{
    Node &node = this->pick(choice);
    switch (happening) {
    case Happening::LogDown:
        this->world.log.store.fault = LogFault::Down;
        break;
    case Happening::LogUp:
        this->world.log.store.fault = LogFault::None;
        break;
    case Happening::LoseAnswers:
        this->world.log.answersToLose = static_cast<int>(choice % 5);
        break;
    case Happening::Cut:
    case Happening::CutFromAll:
        node.log.isCut = true;
        node.platform.isCut = true;
        node.isCutFromPeers = happening == Happening::CutFromAll;
        break;
    case Happening::Join:
        node.log.isCut = false;
        node.platform.isCut = false;
        node.isCutFromPeers = false;
        break;
    case Happening::Pause:
        node.isPaused = true;
        break;
    case Happening::Resume:
        node.isPaused = false;
        break;
    case Happening::HoldActs:
        node.platform.holdsActs = true;
        break;
    case Happening::ReleaseActs:
        node.platform.release();
        break;
    case Happening::Restart:
        this->world.restart(choice % this->world.nodes.size());
        break;
    case Happening::RestartAll:
        for (std::size_t number = 0; number < this->world.nodes.size(); ++number) {
            this->world.restart(number);
        }
        break;
    case Happening::FailRack:
        // One rack at a time: that is what the margin is for.
        if (this->failedRack < 0) {
            this->failedRack = static_cast<int>(choice % racks);
            this->world.failRack(this->failedRack, true);
        }
        break;
    case Happening::RecoverRack:
        if (this->failedRack >= 0) {
            this->world.failRack(this->failedRack, false);
            this->failedRack = -1;
        }
        break;
    case Happening::LongWait:
        this->world.run(5s);
        break;
    default:
        break;
    }
}

void History::step(Happening happening, unsigned choice)
{
    this->stepLoad(happening, choice);
    this->stepFault(happening, choice);
    this->world.run(Duration(100ms) * (1 + choice % 7));
}

void History::settle()
{
    this->stepFault(Happening::RecoverRack, 0);
    this->world.heal();
    this->world.run(healingTime);
}

// Every job that any ledger knows counts as accepted: its caller may have been told so.
void noteAcceptedJobs(World &world)
{
    const auto &streams = world.log.store.streams;
    const auto stream = streams.find(worldJobsStream);
    if (stream == streams.end()) {
        return;
    }
    for (Offset offset = stream->second.oldest(); offset <= stream->second.end(); ++offset) {
        const Result<Record> record = decodeRecord(stream->second.at(offset));
        const auto *accept = record ? std::get_if<AcceptJob>(&record->body) : nullptr;
        if (accept != nullptr) {
            world.judgement.acceptedIdempotent[accept->job] = accept->idempotent;
        }
    }
}

std::string firstBreach(const World &world)
{
    return world.breaches().empty() ? "" : world.breaches().front();
}

void runHistory(std::size_t retention)
{
    WorldSpec spec;
    spec.retention = retention;
    spec.snapshotEvery = 20;
    const auto choices = *rc::gen::container<std::vector<unsigned>>(steps, rc::gen::arbitrary<unsigned>());
    History history(spec);
    for (const unsigned choice : choices) {
        const auto happening = static_cast<Happening>(choice % static_cast<unsigned>(Happening::Last));
        history.step(happening, choice / static_cast<unsigned>(Happening::Last));
        noteAcceptedJobs(history.world);
        RC_ASSERT(firstBreach(history.world) == "");
    }
    history.settle();
    history.world.judgeQuiet();
    RC_ASSERT(firstBreach(history.world) == "");
}

}

RC_GTEST_PROP(Promises, HoldInEveryHistory, ())
{
    constexpr std::size_t everything = 100'000;
    runHistory(everything);
}

RC_GTEST_PROP(Promises, HoldWhileRetentionTakesTheStartOfTheLog, ())
{
    constexpr std::size_t retention = 60;
    runHistory(retention);
}

}
