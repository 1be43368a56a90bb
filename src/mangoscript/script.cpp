// Parser and commands of the scenario language.
#include "script.h"

#include <algorithm>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <sstream>
#include <vector>

#include <boost/tokenizer.hpp>

#include "simulation.h"

namespace MangoCourse {

namespace {

using namespace std::chrono_literals;
using Words = std::vector<std::string>;

// Thrown on a malformed line and caught in runScript().
struct ScriptError {
    std::string message;
};

int parseNumber(const std::string &text)
{
    std::size_t parsedLength = 0;
    int number = 0;
    try {
        number = std::stoi(text, &parsedLength);
    } catch (const std::exception &) {
        parsedLength = 0;
    }
    if (parsedLength == 0 || parsedLength != text.size()) {
        throw ScriptError{"found \"" + text + "\", allowed is a whole number"};
    }
    return number;
}

Duration parseDuration(const std::string &text)
{
    if (text.ends_with("ms")) {
        return std::chrono::milliseconds(parseNumber(text.substr(0, text.size() - 2)));
    }
    if (text.ends_with("s")) {
        return std::chrono::seconds(parseNumber(text.substr(0, text.size() - 1)));
    }
    if (text.ends_with("m")) {
        return std::chrono::minutes(parseNumber(text.substr(0, text.size() - 1)));
    }
    throw ScriptError{"found \"" + text + "\", allowed is a time such as 500ms, 3s or 60m"};
}

class Script
{
public:
    explicit Script(std::ostream &out)
        : out(out)
    {
    }

    void execute(const Words &words);
    int failures() const
    {
        return this->failureCount;
    }

private:
    using Action = std::function<void(const Words &)>;
    struct Command {
        std::size_t minArguments;
        std::string usage;
        Action action;
    };

    std::map<std::string, Command> commands();
    Simulation &simulation();
    Node &node(const std::string &name);
    void submit(const std::string &nodeName, const std::string &stream, RecordBody body);
    void fleet(const Words &words);
    void expect(const Words &words);
    void reportExpectation(bool isMet, const std::string &what, const std::string &found);
    std::string readActualValue(const Words &words);
    std::string readVerdict(const std::string &alias);

    std::ostream &out;
    std::unique_ptr<Simulation> currentSimulation;
    std::map<std::string, RecordId> submittedRecords;
    std::string submissionAlias;
    int failureCount = 0;

    friend std::string MangoCourse::scriptHelp();
};

Simulation &Script::simulation()
{
    if (!this->currentSimulation) {
        throw ScriptError{"the first command is \"fleet\""};
    }
    return *this->currentSimulation;
}

Node &Script::node(const std::string &name)
{
    for (const auto &node : this->simulation().nodes) {
        if (node->name.value == name) {
            return *node;
        }
    }
    throw ScriptError{"found \"" + name + "\", allowed are node-0 to node-" + std::to_string(this->simulation().nodes.size() - 1)};
}

void Script::submit(const std::string &nodeName, const std::string &stream, RecordBody body)
{
    this->submittedRecords[this->submissionAlias] = this->node(nodeName).submit(stream, std::move(body));
}

void Script::fleet(const Words &words)
{
    SimulationSpec spec;
    for (const std::string &word : words) {
        const auto equals = word.find('=');
        const std::string key = word.substr(0, equals);
        const int value = parseNumber(equals == std::string::npos ? "" : word.substr(equals + 1));
        if (key == "instances") {
            spec.instances = value;
        } else if (key == "per_rack") {
            spec.perRack = value;
        } else if (key == "budget") {
            spec.budget = value;
        } else if (key == "margin") {
            spec.margin = value;
        } else if (key == "spares") {
            spec.spares = value;
        } else if (key == "nodes") {
            spec.nodes = value;
        } else if (key == "retention") {
            spec.retention = static_cast<std::size_t>(value);
        } else if (key == "snapshot_every") {
            spec.snapshotEvery = value;
        } else {
            throw ScriptError{"unknown property " + key};
        }
    }
    this->currentSimulation = std::make_unique<Simulation>(spec);
}

std::string Script::readVerdict(const std::string &alias)
{
    const auto found = this->submittedRecords.find(alias);
    if (found == this->submittedRecords.end()) {
        throw ScriptError{"no record was submitted as " + alias};
    }
    for (const auto &node : this->simulation().nodes) {
        if (const auto known = node->verdictOf(found->second)) {
            return known->isAccepted() ? "accepted" : std::string(toString(known->refusal));
        }
    }
    return "unknown";
}

// Returns the current value of what an "expect" command names, as the text it is compared with.
std::string Script::readActualValue(const Words &words)
{
    const std::string &what = words.at(0);
    if (what == "breaches") {
        return std::to_string(this->simulation().violations().size());
    }
    if (what == "budget-breaches") {
        return std::to_string(this->simulation().instances->counts().budgetBreaches);
    }
    if (what == "maintained") {
        return std::to_string(this->simulation().instances->counts().maintained);
    }
    if (what == "refused-acts") {
        return std::to_string(this->simulation().instances->counts().refusedActions);
    }
    if (what == "in-work") {
        return std::to_string(this->simulation().countInstancesInTransition());
    }
    if (what == "verdict") {
        return this->readVerdict(words.at(1));
    }
    if (what == "runs") {
        return std::to_string(this->simulation().invariants.runCounts[JobId{words.at(1)}]);
    }
    if (what == "job") {
        const JobLedger ledger = this->node(words.at(1)).ledgerCopy();
        const Job *job = ledger.job(JobId{words.at(2)});
        return job == nullptr ? "unknown" : std::string(toString(job->status));
    }
    const FleetState &fleet = this->node(words.at(1)).fleet();
    if (what == "wave") {
        const auto wave = fleet.waves().find(WaveId{words.at(2)});
        static constexpr std::array<std::string_view, 4> names = {"running", "paused", "aborted", "finished"};
        return wave == fleet.waves().end() ? "unknown" : std::string(names.at(static_cast<std::size_t>(wave->second.status)));
    }
    if (what == "setting") {
        return std::to_string(fleet.settings().value(words.size() > 3 ? words.at(3) : "", words.at(2)));
    }
    if (what == "pool-of") {
        const Instance *instance = fleet.instance(InstanceId{words.at(2)});
        return instance == nullptr ? "unknown" : instance->pool.value;
    }
    if (what == "gap") {
        return this->node(words.at(1)).hasGap() ? "yes" : "no";
    }
    throw ScriptError{"unknown expectation " + what};
}

void Script::reportExpectation(bool isMet, const std::string &what, const std::string &found)
{
    this->failureCount += isMet ? 0 : 1;
    this->out << (isMet ? "  ok   " : "  FAIL ") << what << (isMet ? "" : " but found " + found) << "\n";
}

void Script::expect(const Words &words)
{
    if (words.size() < 2) {
        throw ScriptError{"usage: expect THING... VALUE"};
    }
    const std::string expected = words.back();
    const Words subject(words.begin(), words.end() - 1);
    std::string text;
    for (const std::string &word : words) {
        text += (text.empty() ? "" : " ") + word;
    }
    const std::string found = this->readActualValue(subject);
    const bool isAtLeast = expected.starts_with(">=");
    const bool isMet = isAtLeast ? parseNumber(found) >= parseNumber(expected.substr(2)) : found == expected;
    this->reportExpectation(isMet, text, found);
}

std::map<std::string, Script::Command> Script::commands()
{
    const auto add = [this](const std::string &nodeName, const std::string &stream, RecordBody body) {
        this->submit(nodeName, stream, std::move(body));
    };
    return {
        {"fleet",
            {0, "fleet [instances=N] [per_rack=N] [budget=N] [margin=N] [spares=N] [nodes=N] [retention=N] [snapshot_every=N]: creates the simulation",
                [this](const Words &words) {
                    this->fleet(words);
                }}},
        {"run",
            {1, "run TIME: advances virtual time",
                [this](const Words &words) {
                    this->simulation().run(parseDuration(words[0]));
                }}},
        {"wave",
            {2, "wave NODE NAME: starts a wave over pool work",
                [add](const Words &words) {
                    add(words[0], fleetStreamName, StartWave{WaveId{words[1]}, workPool});
                }}},
        {"grant",
            {3, "grant NODE WAVE INSTANCE: proposes a grant without asking the planner",
                [add](const Words &words) {
                    add(words[0], fleetStreamName, GrantMaintenance{WaveId{words[1]}, InstanceId{words[2]}, ProcessId{words[0]}});
                }}},
        {"wave-pause",
            {2, "wave-pause NODE NAME",
                [add](const Words &words) {
                    add(words[0], fleetStreamName, ControlWave{WaveId{words[1]}, WaveAction::Pause});
                }}},
        {"wave-resume",
            {2, "wave-resume NODE NAME",
                [add](const Words &words) {
                    add(words[0], fleetStreamName, ControlWave{WaveId{words[1]}, WaveAction::Resume});
                }}},
        {"wave-abort",
            {2, "wave-abort NODE NAME",
                [add](const Words &words) {
                    add(words[0], fleetStreamName, ControlWave{WaveId{words[1]}, WaveAction::Abort});
                }}},
        {"set",
            {3, "set NODE KEY VALUE [PATH] [EXPECTED]: changes a setting; EXPECTED is the tree's revision",
                [add](const Words &words) {
                    const Revision expected = words.size() > 4 ? parseNumber(words[4]) : -1;
                    add(words[0], fleetStreamName, ChangeSetting{words.size() > 3 && words[3] != "-" ? words[3] : "", words[1], words[2], expected});
                }}},
        {"move",
            {3, "move NODE INSTANCE POOL",
                [this, add](const Words &words) {
                    const Instance *instance = this->node(words[0]).fleet().instance(InstanceId{words[1]});
                    add(words[0], fleetStreamName, StartMove{InstanceId{words[1]}, instance == nullptr ? PoolId{} : instance->pool, PoolId{words[2]}});
                }}},
        {"job",
            {2, "job NODE NAME [idempotent]: a caller submits a job",
                [this, add](const Words &words) {
                    const bool idempotent = words.size() > 2;
                    this->simulation().invariants.isIdempotentByAcceptedJob[JobId{words[1]}] = idempotent;
                    add(words[0], jobsStreamName, AcceptJob{JobId{words[1]}, ServiceId{"orders"}, TeamId{"team"}, idempotent, "payload"});
                }}},
        {"cancel",
            {2, "cancel NODE JOB",
                [add](const Words &words) {
                    add(words[0], jobsStreamName, CancelJob{JobId{words[1]}});
                }}},
        {"log",
            {1, "log down|up: the platform's log",
                [this](const Words &words) {
                    this->simulation().log.store.fault = words[0] == "down" ? LogFault::Down : LogFault::None;
                }}},
        {"lose-answers",
            {1, "lose-answers N: the next N appends take effect but return a timeout",
                [this](const Words &words) {
                    this->simulation().log.appendTimeoutsToInject = parseNumber(words[0]);
                }}},
        {"cut",
            {1, "cut NODE [peers]: disconnects the node from the platform, and with \"peers\" also from the other nodes",
                [this](const Words &words) {
                    Node &target = this->node(words[0]);
                    target.log.isDisconnected = true;
                    target.platform.isDisconnected = true;
                    target.isDisconnectedFromPeers = words.size() > 1;
                }}},
        {"join",
            {1, "join NODE: ends a cut",
                [this](const Words &words) {
                    Node &target = this->node(words[0]);
                    target.log.isDisconnected = false;
                    target.platform.isDisconnected = false;
                    target.isDisconnectedFromPeers = false;
                }}},
        {"pause",
            {1, "pause NODE: suspends the process, which cannot notice it",
                [this](const Words &words) {
                    this->node(words[0]).isPaused = true;
                }}},
        {"resume",
            {1, "resume NODE",
                [this](const Words &words) {
                    this->node(words[0]).isPaused = false;
                }}},
        {"hold-acts",
            {1, "hold-acts NODE: delays its platform actions until release",
                [this](const Words &words) {
                    this->node(words[0]).platform.delaysActions = true;
                }}},
        {"release",
            {1, "release NODE: delivers the delayed platform actions",
                [this](const Words &words) {
                    this->node(words[0]).platform.deliverDelayedActions();
                }}},
        {"restart",
            {1, "restart NODE: replaces the node by a process without state",
                [this](const Words &words) {
                    const std::string &name = this->node(words[0]).name.value;
                    this->simulation().restart(static_cast<std::size_t>(parseNumber(name.substr(name.find('-') + 1))));
                }}},
        {"fail-rack",
            {1, "fail-rack N: every instance of the rack fails",
                [this](const Words &words) {
                    this->simulation().failRack(parseNumber(words[0]), true);
                }}},
        {"recover-rack",
            {1, "recover-rack N",
                [this](const Words &words) {
                    this->simulation().failRack(parseNumber(words[0]), false);
                }}},
        {"heal",
            {0, "heal: clears every fault except failed racks",
                [this](const Words &) {
                    this->simulation().clearFaults();
                }}},
        {"settled",
            {0, "settled: checks that every accepted job is final and all nodes agree",
                [this](const Words &) {
                    this->simulation().checkFinalInvariants();
                }}},
        {"expect",
            {2, "expect THING... VALUE: checks; VALUE may be >=N",
                [this](const Words &words) {
                    this->expect(words);
                }}},
    };
}

void Script::execute(const Words &words)
{
    Words arguments(words.begin() + 1, words.end());
    this->submissionAlias = "last";
    // A trailing "as NAME" names the submitted record for "expect verdict NAME".
    if (arguments.size() >= 2 && arguments[arguments.size() - 2] == "as") {
        this->submissionAlias = arguments.back();
        arguments.resize(arguments.size() - 2);
    }
    const auto all = this->commands();
    const auto command = all.find(words.front());
    if (command == all.end()) {
        throw ScriptError{"unknown command " + words.front()};
    }
    if (arguments.size() < command->second.minArguments) {
        throw ScriptError{"usage: " + command->second.usage};
    }
    command->second.action(arguments);
}

Words splitLine(const std::string &line)
{
    const boost::char_separator<char> separator(" \t");
    const boost::tokenizer<boost::char_separator<char>> tokens(line, separator);
    return Words(tokens.begin(), tokens.end());
}

}

int runScript(std::istream &in, const std::string &name, std::ostream &out)
{
    Script script(out);
    std::string line;
    for (int number = 1; std::getline(in, line); ++number) {
        out << line << "\n";
        const Words words = splitLine(line.substr(0, line.find('#')));
        if (words.empty()) {
            continue;
        }
        try {
            script.execute(words);
        } catch (const ScriptError &error) {
            out << name << ":" << number << ": " << error.message << "\n";
            return -1;
        }
    }
    return script.failures();
}

std::string scriptHelp()
{
    std::ostringstream none;
    Script script(none);
    std::string help;
    for (const auto &[word, command] : script.commands()) {
        help += "  " + command.usage + "\n";
    }
    return help;
}

}
