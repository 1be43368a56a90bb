// The commands with which operators inspect and change the fleet.
#include "commands.h"

#include <chrono>
#include <functional>
#include <iostream>
#include <map>
#include <random>
#include <thread>

#include <nlohmann/json.hpp>

#include <mangocourse/fleetfile.h>
#include <mangocourse/maintenanceplanner.h>

#include "keeperclient.h"
#include "table.h"
#include "tool.h"

namespace MangoCourse {

namespace {

using Json = nlohmann::json;
using Words = std::vector<std::string>;

constexpr std::chrono::milliseconds watchInterval{1000};

class Session
{
public:
    Session(CommandOptions options, KeeperClient client)
        : options(std::move(options))
        , client(std::move(client))
    {
    }

    int showStatus(const Words &words);
    int listPools(const Words &words);
    int listInstances(const Words &words);
    int explainInstance(const Words &words);
    int listWaves(const Words &words);
    int startWave(const Words &words);
    int controlWave(const Words &words, WaveAction action);
    int showWaveExplanation(const Words &words);
    int watchWave(const Words &words);
    int listSettings(const Words &words);
    int showSetting(const Words &words);
    int changeSetting(const Words &words);
    int unsetSetting(const Words &words);
    int applyFleetFile(const Words &words);
    int moveInstance(const Words &words);
    int showJob(const Words &words);
    int showState(const Words &words);

private:
    int reportError(const Error &error);
    int submit(std::vector<RecordBody> bodies, const std::string &subject);
    int print(const Json &json, const std::vector<TableRow> &rows);
    bool confirm(const std::string &question) const;
    RecordId makeRecordId();

    CommandOptions options;
    KeeperClient client;
    std::random_device random;
};

std::string_view toText(WaveStatus status)
{
    static constexpr std::array<std::string_view, 4> names = {"running", "paused", "aborted", "finished"};
    return names.at(static_cast<std::size_t>(status));
}

std::string instanceStateText(const Instance &instance)
{
    if (!instance.available) {
        return "down";
    }
    if (instance.move) {
        return "moving to " + instance.move->to.value;
    }
    if (instance.grant && instance.grant->isOpen()) {
        return instance.grant->phase == MaintenancePhase::Draining ? "draining" : "rebooting";
    }
    return "serving";
}

RecordId Session::makeRecordId()
{
    return RecordId{"ctl-" + std::to_string((static_cast<std::uint64_t>(this->random()) << 32) | this->random())};
}

int Session::reportError(const Error &error)
{
    std::cerr << "error: " << describe(error) << "\n";
    if (error.code == ErrorCode::Unavailable || error.code == ErrorCode::Timeout) {
        std::cerr << "next: check that a keeper runs at the address given with --keepers\n";
        return ExitCode::unavailable;
    }
    return error.code == ErrorCode::InvalidArgument || error.code == ErrorCode::InvalidConfig ? ExitCode::badUsage : ExitCode::refused;
}

int Session::print(const Json &json, const std::vector<TableRow> &rows)
{
    if (this->options.json) {
        std::cout << json.dump() << "\n";
    } else {
        writeTable(std::cout, rows);
    }
    return ExitCode::success;
}

bool Session::confirm(const std::string &question) const
{
    if (this->options.assumeYes || this->options.dryRun) {
        return true;
    }
    std::cerr << question << " Type yes to continue: ";
    std::string answer;
    std::getline(std::cin, answer);
    return answer == "yes";
}

int Session::submit(std::vector<RecordBody> bodies, const std::string &subject)
{
    std::vector<Record> records;
    for (RecordBody &body : bodies) {
        records.push_back(Record{this->makeRecordId(), std::move(body)});
    }
    if (this->options.dryRun) {
        std::cout << "would append:\n";
        for (const Record &record : records) {
            std::cout << "  " << encodeRecord(record) << "\n";
        }
        return ExitCode::success;
    }
    const Result<std::vector<RecordResult>> results = this->client.submit(records);
    if (!results) {
        return this->reportError(results.error());
    }
    std::map<std::string, int> counts;
    Json json = Json::array();
    for (const RecordResult &result : *results) {
        ++counts[result.result == "accepted" ? "accepted" : result.result + " (" + result.reason + ")"];
        json.push_back({{"id", result.id}, {"result", result.result}, {"reason", result.reason}, {"offset", result.offset}});
    }
    if (this->options.json) {
        std::cout << json.dump() << "\n";
    } else {
        for (const auto &[result, count] : counts) {
            std::cout << subject << ": " << result << (count > 1 ? " x " + std::to_string(count) : "") << "\n";
        }
    }
    return counts.contains("accepted") ? ExitCode::success : ExitCode::refused;
}

int Session::showStatus(const Words & /*words*/)
{
    const Result<FleetState> fleet = this->client.fleet();
    const Result<std::string> dump = this->client.get("/state");
    if (!fleet || !dump) {
        return this->reportError(fleet ? dump.error() : fleet.error());
    }
    const Json state = Json::parse(*dump);
    std::vector<std::string> problems;
    if (!state.at("fleet_follower").at("reachable").get<bool>()) {
        problems.emplace_back(
            "the platform's log cannot be reached: requests are still served, no maintenance starts, settings cannot change; contact the platform's operators");
    }
    if (state.at("fleet_follower").at("gap").get<bool>()) {
        problems.emplace_back("records of the log are missing and no maintenance is granted; restart this keeper when the log is reachable again");
    }
    for (const auto &[id, pool] : fleet->pools()) {
        if (pool.available < pool.spec.minAvailable) {
            problems.push_back("pool " + id.value + " has " + std::to_string(pool.available) + " of " + std::to_string(pool.spec.minAvailable)
                + " available instances that its budget requires; see: mangoctl instances " + id.value);
        }
    }
    if (this->options.json) {
        std::cout << Json{{"ok", problems.empty()}, {"problems", problems}, {"state", state}}.dump() << "\n";
        return ExitCode::success;
    }
    std::cout << (problems.empty() ? "Everything is all right." : "Problems found:") << "\n";
    for (const std::string &problem : problems) {
        std::cout << "  - " << problem << "\n";
    }
    std::cout << "\n";
    return this->listPools({});
}

int Session::listPools(const Words & /*words*/)
{
    const Result<FleetState> fleet = this->client.fleet();
    if (!fleet) {
        return this->reportError(fleet.error());
    }
    std::vector<TableRow> rows = {{"POOL", "INSTANCES", "AVAILABLE", "BUDGET", "MARGIN", "MAY GO DOWN"}};
    Json json = Json::array();
    for (const auto &[id, pool] : fleet->pools()) {
        rows.push_back({id.value, std::to_string(pool.members.size()), std::to_string(pool.available), std::to_string(pool.spec.minAvailable),
            std::to_string(fleet->margin(id)), std::to_string(fleet->headroom(id))});
        json.push_back({{"pool", id.value}, {"instances", pool.members.size()}, {"available", pool.available}, {"budget", pool.spec.minAvailable},
            {"margin", fleet->margin(id)}, {"headroom", fleet->headroom(id)}});
    }
    return this->print(json, rows);
}

int Session::listInstances(const Words &words)
{
    const Result<FleetState> fleet = this->client.fleet();
    if (!fleet) {
        return this->reportError(fleet.error());
    }
    std::vector<TableRow> rows = {{"INSTANCE", "POOL", "DATA CENTRE", "RACK", "STATE"}};
    Json json = Json::array();
    for (const auto &[id, instance] : fleet->instances()) {
        if (!words.empty() && instance.pool.value != words.front()) {
            continue;
        }
        const std::string state = instanceStateText(instance);
        rows.push_back({id.value, instance.pool.value, instance.spec.dataCentre.value, instance.spec.rack.value, state});
        json.push_back({{"instance", id.value}, {"pool", instance.pool.value}, {"data_centre", instance.spec.dataCentre.value},
            {"rack", instance.spec.rack.value}, {"state", state}});
    }
    return this->print(json, rows);
}

int Session::explainInstance(const Words &words)
{
    const Result<FleetState> fleet = this->client.fleet();
    if (!fleet) {
        return this->reportError(fleet.error());
    }
    const Instance *instance = fleet->instance(InstanceId{words.front()});
    if (instance == nullptr) {
        return this->reportError(Error{ErrorCode::NotFound, "no such instance; see: mangoctl instances", words.front()});
    }
    std::cout << words.front() << " is in pool " << instance->pool.value << " and is " << instanceStateText(*instance) << ".\n";
    if (instance->grant && instance->grant->isOpen()) {
        std::cout << "Wave " << instance->grant->wave.value << " granted its maintenance at offset " << instance->grant->token << ".\n";
    } else if (!instance->available) {
        std::cout << "The platform's listing shows it down or no longer holds it; it takes work again when the listing shows it live.\n";
    }
    return ExitCode::success;
}

int Session::listWaves(const Words & /*words*/)
{
    const Result<FleetState> fleet = this->client.fleet();
    if (!fleet) {
        return this->reportError(fleet.error());
    }
    std::vector<TableRow> rows = {{"WAVE", "POOL", "STATUS", "DONE", "LEFT", "WAITS FOR"}};
    Json json = Json::array();
    for (const auto &[id, wave] : fleet->waves()) {
        const WaveExplanation explanation = explainWave(*fleet, id);
        rows.push_back({id.value, wave.pool.value, std::string(toText(wave.status)), std::to_string(wave.maintained), std::to_string(wave.remaining.size()),
            explanation.summary});
        json.push_back({{"wave", id.value}, {"pool", wave.pool.value}, {"status", toText(wave.status)}, {"maintained", wave.maintained},
            {"remaining", wave.remaining.size()}, {"explanation", explanation.summary}});
    }
    return this->print(json, rows);
}

int Session::startWave(const Words &words)
{
    const WaveId wave{words.size() > 1 ? words[1] : words[0] + "-" + std::to_string(this->random() % 100'000)};
    if (!this->confirm("Every instance of pool " + words[0] + " will be drained and rebooted, as its budget allows.")) {
        return ExitCode::refused;
    }
    return this->submit({StartWave{wave, PoolId{words[0]}}}, "wave " + wave.value);
}

int Session::controlWave(const Words &words, WaveAction action)
{
    return this->submit({ControlWave{WaveId{words[0]}, action}}, "wave " + words[0]);
}

int Session::showWaveExplanation(const Words &words)
{
    const Result<FleetState> fleet = this->client.fleet();
    if (!fleet) {
        return this->reportError(fleet.error());
    }
    const WaveExplanation explanation = explainWave(*fleet, WaveId{words[0]});
    const Json json = {{"wave", words[0]}, {"summary", explanation.summary}, {"granted", explanation.granted}, {"waiting", explanation.waiting},
        {"headroom", explanation.headroom}};
    return this->print(json, {{explanation.summary}});
}

int Session::watchWave(const Words &words)
{
    const WaveId id{words[0]};
    while (true) {
        const Result<FleetState> fleet = this->client.fleet();
        if (!fleet) {
            return this->reportError(fleet.error());
        }
        const auto found = fleet->waves().find(id);
        if (found == fleet->waves().end()) {
            return this->reportError(Error{ErrorCode::NotFound, "no such wave", words[0]});
        }
        const Wave &wave = found->second;
        std::cout << wave.maintained << " done, " << wave.remaining.size() << " left: " << explainWave(*fleet, id).summary << std::endl;
        if (wave.status == WaveStatus::Finished || wave.status == WaveStatus::Aborted) {
            return ExitCode::success;
        }
        std::this_thread::sleep_for(watchInterval);
    }
}

int Session::listSettings(const Words & /*words*/)
{
    const Result<FleetState> fleet = this->client.fleet();
    if (!fleet) {
        return this->reportError(fleet.error());
    }
    std::vector<TableRow> rows = {{"KEY", "PATH", "VALUE", "REVISION", "MEANING"}};
    Json json = Json::array();
    const std::vector<SettingsTree::Entry> entries = fleet->settings().entries();
    for (const SettingKey &key : settingKeys()) {
        rows.push_back({std::string(key.name), "(default)", std::to_string(key.defaultValue), "", std::string(key.help)});
        for (const SettingsTree::Entry &entry : entries) {
            if (entry.key == key.name) {
                rows.push_back({"", entry.path.empty() ? "(fleet)" : entry.path, std::to_string(entry.value), std::to_string(entry.revision), ""});
                json.push_back({{"path", entry.path}, {"key", entry.key}, {"value", entry.value}, {"revision", entry.revision}});
            }
        }
    }
    return this->print(json, rows);
}

int Session::showSetting(const Words &words)
{
    const std::string path = words.size() > 1 ? words[1] : "";
    const Result<FleetState> fleet = this->client.fleet();
    if (!fleet) {
        return this->reportError(fleet.error());
    }
    const SettingOrigin origin = fleet->settings().explain(path, words[0]);
    const std::string from = origin.isDefault ? "the default" : origin.path.empty() ? "the fleet" : origin.path;
    const Json json = {{"key", words[0]}, {"path", path}, {"value", origin.value}, {"from", from}, {"revision", origin.revision},
        {"tree_revision", fleet->settings().revision()}};
    return this->print(json, {{words[0] + " = " + std::to_string(origin.value) + " (from " + from + ")"}});
}

int Session::changeSetting(const Words &words)
{
    const std::string path = words.size() > 2 ? words[2] : "";
    if (const auto checked = checkSetting(path, words[0], words[1]); !checked) {
        return this->reportError(checked.error());
    }
    const Result<Revision> revision = this->client.settingsRevision();
    if (!revision) {
        return this->reportError(revision.error());
    }
    return this->submit({ChangeSetting{path, words[0], words[1], *revision}}, words[0]);
}

int Session::unsetSetting(const Words &words)
{
    const std::string path = words.size() > 1 ? words[1] : "";
    const Result<Revision> revision = this->client.settingsRevision();
    if (!revision) {
        return this->reportError(revision.error());
    }
    return this->submit({ChangeSetting{path, words[0], std::nullopt, *revision}}, words[0]);
}

int Session::applyFleetFile(const Words &words)
{
    const Result<FleetFile> file = readFleetFile(words[0]);
    if (!file) {
        return this->reportError(file.error());
    }
    std::vector<RecordBody> bodies;
    for (const Record &record : buildFleetRecords(*file)) {
        bodies.push_back(record.body);
    }
    return this->submit(std::move(bodies), "fleet " + file->name);
}

int Session::moveInstance(const Words &words)
{
    const Result<FleetState> fleet = this->client.fleet();
    if (!fleet) {
        return this->reportError(fleet.error());
    }
    const Instance *instance = fleet->instance(InstanceId{words[0]});
    if (instance == nullptr) {
        return this->reportError(Error{ErrorCode::NotFound, "no such instance; see: mangoctl instances", words[0]});
    }
    return this->submit({StartMove{InstanceId{words[0]}, instance->pool, PoolId{words[1]}}}, "move of " + words[0]);
}

int Session::showJob(const Words &words)
{
    const Result<std::string> answer = this->client.get("/v1/jobs/" + words[0]);
    if (!answer) {
        return this->reportError(answer.error());
    }
    const Json json = Json::parse(*answer);
    return this->print(json, {{"JOB", "STATUS", "HOLDER", "REASON"}, {words[0], json.at("status"), json.at("holder"), json.at("reason")}});
}

int Session::showState(const Words & /*words*/)
{
    const Result<std::string> answer = this->client.get("/state");
    if (!answer) {
        return this->reportError(answer.error());
    }
    std::cout << (this->options.json ? *answer : Json::parse(*answer).dump(2)) << "\n";
    return ExitCode::success;
}

// A command: the words that select it, the least number of arguments, and the function that runs it.
struct Command {
    Words words;
    std::size_t minArguments = 0;
    std::string usage;
    std::function<int(Session &, const Words &)> run;
};

std::vector<Command> allCommands()
{
    const auto control = [](WaveAction action) {
        return [action](Session &session, const Words &rest) {
            return session.controlWave(rest, action);
        };
    };
    return {
        {{"status"}, 0, "status", &Session::showStatus},
        {{"pools"}, 0, "pools", &Session::listPools},
        {{"instances"}, 0, "instances [POOL]", &Session::listInstances},
        {{"why"}, 1, "why INSTANCE", &Session::explainInstance},
        {{"waves"}, 0, "waves", &Session::listWaves},
        {{"wave", "start"}, 1, "wave start POOL [WAVE]", &Session::startWave},
        {{"wave", "pause"}, 1, "wave pause WAVE", control(WaveAction::Pause)},
        {{"wave", "resume"}, 1, "wave resume WAVE", control(WaveAction::Resume)},
        {{"wave", "abort"}, 1, "wave abort WAVE", control(WaveAction::Abort)},
        {{"wave", "explain"}, 1, "wave explain WAVE", &Session::showWaveExplanation},
        {{"wave", "watch"}, 1, "wave watch WAVE", &Session::watchWave},
        {{"settings", "list"}, 0, "settings list", &Session::listSettings},
        {{"settings", "get"}, 1, "settings get KEY [PATH]", &Session::showSetting},
        {{"settings", "explain"}, 1, "settings explain KEY [PATH]", &Session::showSetting},
        {{"settings", "set"}, 2, "settings set KEY VALUE [PATH]", &Session::changeSetting},
        {{"settings", "unset"}, 1, "settings unset KEY [PATH]", &Session::unsetSetting},
        {{"fleet", "apply"}, 1, "fleet apply FILE", &Session::applyFleetFile},
        {{"move"}, 2, "move INSTANCE POOL", &Session::moveInstance},
        {{"job"}, 1, "job TEAM:KEY", &Session::showJob},
        {{"state"}, 0, "state", &Session::showState},
    };
}

bool startsWith(const Words &words, const Words &prefix)
{
    return words.size() >= prefix.size() && std::equal(prefix.begin(), prefix.end(), words.begin());
}

int printUsage(const std::vector<Command> &commands)
{
    std::cerr << "commands:\n";
    for (const Command &command : commands) {
        std::cerr << "  mangoctl " << command.usage << "\n";
    }
    return ExitCode::badUsage;
}

// Validates a fleet file. Needs no keeper.
int checkFleet(const std::string &path)
{
    const Result<FleetFile> file = readFleetFile(path);
    if (!file) {
        std::cerr << describe(file.error()) << "\n";
        return ExitCode::badUsage;
    }
    std::cout << path << ": valid; " << file->pools.size() << " pools, " << file->instances.size() << " instances, " << file->services.size() << " services\n";
    return ExitCode::success;
}

}

int runCommand(const CommandOptions &options, const Words &words)
{
    if (startsWith(words, {"fleet", "check"}) && words.size() == 3) {
        return checkFleet(words[2]);
    }
    const std::vector<Command> commands = allCommands();
    for (const Command &command : commands) {
        if (!startsWith(words, command.words)) {
            continue;
        }
        const Words rest(words.begin() + static_cast<std::ptrdiff_t>(command.words.size()), words.end());
        if (rest.size() < command.minArguments) {
            std::cerr << "usage: mangoctl " << command.usage << "\n";
            return ExitCode::badUsage;
        }
        Result<KeeperClient> client = KeeperClient::create(options.keepers, options.token);
        if (!client) {
            std::cerr << describe(client.error()) << "\n";
            return ExitCode::badUsage;
        }
        Session session(options, std::move(*client));
        return command.run(session, rest);
    }
    return printUsage(commands);
}

}
