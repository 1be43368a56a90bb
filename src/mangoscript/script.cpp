// Commands of the scenario language.
#include "script.h"

#include <algorithm>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <sstream>
#include <vector>

#include <boost/tokenizer.hpp>

#include "world.h"

namespace MangoCourse {

namespace {

using namespace std::chrono_literals;
using Words = std::vector<std::string>;

// A malformed line; caught where the script's lines are read.
struct ScriptError {
    std::string message;
};

int toNumber(const std::string &text)
{
    std::size_t used = 0;
    int number = 0;
    try {
        number = std::stoi(text, &used);
    } catch (const std::exception &) {
        used = 0;
    }
    if (used == 0 || used != text.size()) {
        throw ScriptError{"found \"" + text + "\", allowed is a whole number"};
    }
    return number;
}

Duration toDuration(const std::string &text)
{
    if (text.ends_with("ms")) {
        return std::chrono::milliseconds(toNumber(text.substr(0, text.size() - 2)));
    }
    if (text.ends_with("s")) {
        return std::chrono::seconds(toNumber(text.substr(0, text.size() - 1)));
    }
    if (text.ends_with("m")) {
        return std::chrono::minutes(toNumber(text.substr(0, text.size() - 1)));
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
        return this->failed;
    }

private:
    using Action = std::function<void(const Words &)>;
    struct Command {
        std::size_t arguments;
        std::string usage;
        Action action;
    };

    std::map<std::string, Command> commands();
    World &world();
    Node &node(const std::string &name);
    void submit(const std::string &nodeName, const std::string &stream, RecordBody body);
    void fleet(const Words &words);
    void expect(const Words &words);
    void report(bool met, const std::string &what, const std::string &found);
    std::string actual(const Words &words);
    std::string verdict(const std::string &alias);

    std::ostream &out;
    std::unique_ptr<World> theWorld;
    std::map<std::string, RecordId> submitted;
    std::string lastAlias;
    int failed = 0;

    friend std::string MangoCourse::scriptHelp();
};

World &Script::world()
{
    if (!this->theWorld) {
        throw ScriptError{"the first command is \"fleet\""};
    }
    return *this->theWorld;
}

Node &Script::node(const std::string &name)
{
    for (const auto &node : this->world().nodes) {
        if (node->name.value == name) {
            return *node;
        }
    }
    throw ScriptError{"found \"" + name + "\", allowed are node-0 to node-" + std::to_string(this->world().nodes.size() - 1)};
}

void Script::submit(const std::string &nodeName, const std::string &stream, RecordBody body)
{
    this->submitted[this->lastAlias] = this->node(nodeName).submit(stream, std::move(body));
}

void Script::fleet(const Words &words)
{
    WorldSpec spec;
    for (const std::string &word : words) {
        const auto equals = word.find('=');
        const std::string key = word.substr(0, equals);
        const int value = toNumber(equals == std::string::npos ? "" : word.substr(equals + 1));
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
    this->theWorld = std::make_unique<World>(spec);
}

std::string Script::verdict(const std::string &alias)
{
    const auto found = this->submitted.find(alias);
    if (found == this->submitted.end()) {
        throw ScriptError{"nothing was submitted as " + alias};
    }
    for (const auto &node : this->world().nodes) {
        if (const auto known = node->verdictOf(found->second)) {
            return known->isAccepted() ? "accepted" : std::string(toString(known->refusal));
        }
    }
    return "unknown";
}

// What a thing is now, as the word that scenarios compare.
std::string Script::actual(const Words &words)
{
    const std::string &what = words.at(0);
    if (what == "breaches") {
        return std::to_string(this->world().breaches().size());
    }
    if (what == "budget-breaches") {
        return std::to_string(this->world().instances->counts().budgetBreaches);
    }
    if (what == "maintained") {
        return std::to_string(this->world().instances->counts().maintained);
    }
    if (what == "refused-acts") {
        return std::to_string(this->world().instances->counts().refusedActions);
    }
    if (what == "in-work") {
        return std::to_string(this->world().instancesInWork());
    }
    if (what == "verdict") {
        return this->verdict(words.at(1));
    }
    if (what == "runs") {
        return std::to_string(this->world().judgement.runs[JobId{words.at(1)}]);
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

void Script::report(bool met, const std::string &what, const std::string &found)
{
    this->failed += met ? 0 : 1;
    this->out << (met ? "  ok   " : "  FAIL ") << what << (met ? "" : " but found " + found) << "\n";
}

void Script::expect(const Words &words)
{
    if (words.size() < 2) {
        throw ScriptError{"expect THING... VALUE"};
    }
    const std::string wanted = words.back();
    const Words thing(words.begin(), words.end() - 1);
    std::string text;
    for (const std::string &word : words) {
        text += (text.empty() ? "" : " ") + word;
    }
    const std::string found = this->actual(thing);
    const bool isAtLeast = wanted.starts_with(">=");
    const bool met = isAtLeast ? toNumber(found) >= toNumber(wanted.substr(2)) : found == wanted;
    this->report(met, text, found);
}

std::map<std::string, Script::Command> Script::commands()
{
    const auto add = [this](const std::string &nodeName, const std::string &stream, RecordBody body) {
        this->submit(nodeName, stream, std::move(body));
    };
    return {
        {"fleet",
            {0, "fleet [instances=N] [per_rack=N] [budget=N] [margin=N] [spares=N] [nodes=N] [retention=N] [snapshot_every=N]: builds the world",
                [this](const Words &words) {
                    this->fleet(words);
                }}},
        {"run",
            {1, "run TIME: lets virtual time pass",
                [this](const Words &words) {
                    this->world().run(toDuration(words[0]));
                }}},
        {"wave",
            {2, "wave NODE NAME: starts a wave over pool work",
                [add](const Words &words) {
                    add(words[0], worldFleetStream, StartWave{WaveId{words[1]}, workPool});
                }}},
        {"grant",
            {3, "grant NODE WAVE INSTANCE: proposes a grant whatever the planner thinks",
                [add](const Words &words) {
                    add(words[0], worldFleetStream, GrantMaintenance{WaveId{words[1]}, InstanceId{words[2]}, ProcessId{words[0]}});
                }}},
        {"wave-pause",
            {2, "wave-pause NODE NAME",
                [add](const Words &words) {
                    add(words[0], worldFleetStream, ControlWave{WaveId{words[1]}, WaveAction::Pause});
                }}},
        {"wave-resume",
            {2, "wave-resume NODE NAME",
                [add](const Words &words) {
                    add(words[0], worldFleetStream, ControlWave{WaveId{words[1]}, WaveAction::Resume});
                }}},
        {"wave-abort",
            {2, "wave-abort NODE NAME",
                [add](const Words &words) {
                    add(words[0], worldFleetStream, ControlWave{WaveId{words[1]}, WaveAction::Abort});
                }}},
        {"set",
            {3, "set NODE KEY VALUE [PATH] [EXPECTED]: changes a setting; EXPECTED is the tree's revision",
                [add](const Words &words) {
                    const Revision expected = words.size() > 4 ? toNumber(words[4]) : -1;
                    add(words[0], worldFleetStream, ChangeSetting{words.size() > 3 && words[3] != "-" ? words[3] : "", words[1], words[2], expected});
                }}},
        {"move",
            {3, "move NODE INSTANCE POOL",
                [this, add](const Words &words) {
                    const Instance *instance = this->node(words[0]).fleet().instance(InstanceId{words[1]});
                    add(words[0], worldFleetStream, StartMove{InstanceId{words[1]}, instance == nullptr ? PoolId{} : instance->pool, PoolId{words[2]}});
                }}},
        {"job",
            {2, "job NODE NAME [idempotent]: a caller submits a job",
                [this, add](const Words &words) {
                    const bool idempotent = words.size() > 2;
                    this->world().judgement.acceptedIdempotent[JobId{words[1]}] = idempotent;
                    add(words[0], worldJobsStream, AcceptJob{JobId{words[1]}, ServiceId{"orders"}, TeamId{"team"}, idempotent, "payload"});
                }}},
        {"cancel",
            {2, "cancel NODE JOB",
                [add](const Words &words) {
                    add(words[0], worldJobsStream, CancelJob{JobId{words[1]}});
                }}},
        {"log",
            {1, "log down|up: the platform's log",
                [this](const Words &words) {
                    this->world().log.store.fault = words[0] == "down" ? LogFault::Down : LogFault::None;
                }}},
        {"lose-answers",
            {1, "lose-answers N: the next N appends take effect and their answers are lost",
                [this](const Words &words) {
                    this->world().log.answersToLose = toNumber(words[0]);
                }}},
        {"cut",
            {1, "cut NODE [peers]: the node is cut off from the platform, and with \"peers\" from the other nodes",
                [this](const Words &words) {
                    Node &cut = this->node(words[0]);
                    cut.log.isCut = true;
                    cut.platform.isCut = true;
                    cut.isCutFromPeers = words.size() > 1;
                }}},
        {"join",
            {1, "join NODE: ends a cut",
                [this](const Words &words) {
                    Node &cut = this->node(words[0]);
                    cut.log.isCut = false;
                    cut.platform.isCut = false;
                    cut.isCutFromPeers = false;
                }}},
        {"pause",
            {1, "pause NODE: the process stops and does not know it",
                [this](const Words &words) {
                    this->node(words[0]).isPaused = true;
                }}},
        {"resume",
            {1, "resume NODE",
                [this](const Words &words) {
                    this->node(words[0]).isPaused = false;
                }}},
        {"hold-acts",
            {1, "hold-acts NODE: its acts on the platform leave and arrive only at release",
                [this](const Words &words) {
                    this->node(words[0]).platform.holdsActs = true;
                }}},
        {"release",
            {1, "release NODE: held acts arrive, late",
                [this](const Words &words) {
                    this->node(words[0]).platform.release();
                }}},
        {"restart",
            {1, "restart NODE: replaced by a process that knows nothing",
                [this](const Words &words) {
                    const std::string &name = this->node(words[0]).name.value;
                    this->world().restart(static_cast<std::size_t>(toNumber(name.substr(name.find('-') + 1))));
                }}},
        {"fail-rack",
            {1, "fail-rack N: every instance of the rack dies",
                [this](const Words &words) {
                    this->world().failRack(toNumber(words[0]), true);
                }}},
        {"recover-rack",
            {1, "recover-rack N",
                [this](const Words &words) {
                    this->world().failRack(toNumber(words[0]), false);
                }}},
        {"heal",
            {0, "heal: ends every fault but failed racks",
                [this](const Words &) {
                    this->world().heal();
                }}},
        {"settled",
            {0, "settled: judges that every accepted job is settled and all nodes agree",
                [this](const Words &) {
                    this->world().judgeQuiet();
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
    Words rest(words.begin() + 1, words.end());
    this->lastAlias = "last";
    // "as NAME" at the end names a submission for "expect verdict NAME".
    if (rest.size() >= 2 && rest[rest.size() - 2] == "as") {
        this->lastAlias = rest.back();
        rest.resize(rest.size() - 2);
    }
    const auto all = this->commands();
    const auto command = all.find(words.front());
    if (command == all.end()) {
        throw ScriptError{"unknown command " + words.front()};
    }
    if (rest.size() < command->second.arguments) {
        throw ScriptError{"usage: " + command->second.usage};
    }
    command->second.action(rest);
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
