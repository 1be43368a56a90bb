// Snapshots of FleetState as JSON.
#include "fleetsnapshot_pvt.h"

#include "verdictsnapshot_pvt.h"

namespace MangoCourse {

NLOHMANN_JSON_SERIALIZE_ENUM(
    WaveStatus, {{WaveStatus::Running, "running"}, {WaveStatus::Paused, "paused"}, {WaveStatus::Aborted, "aborted"}, {WaveStatus::Finished, "finished"}})
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Grant, wave, holder, token, phase)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Move, to, token)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Instance, spec, pool, available, grant, move)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Wave, pool, status, remaining, maintained)

namespace {

using Json = nlohmann::json;

Json settingsToJson(const SettingsTree &tree)
{
    Json entries = Json::array();
    for (const SettingsTree::Entry &entry : tree.entries()) {
        entries.push_back({{"path", entry.path}, {"key", entry.key}, {"value", entry.value}, {"revision", entry.revision}});
    }
    return {{"revision", tree.revision()}, {"entries", std::move(entries)}};
}

SettingsTree settingsFromJson(const Json &json)
{
    std::vector<SettingsTree::Entry> entries;
    for (const Json &entry : json.at("entries")) {
        entries.push_back({entry.at("path"), entry.at("key"), entry.at("value"), entry.at("revision")});
    }
    return SettingsTree::fromEntries(entries, json.at("revision"));
}

template<typename Key, typename Value>
Json mapToJson(const std::map<Key, Value> &map)
{
    Json json = Json::object();
    for (const auto &[key, value] : map) {
        json[key.value] = value;
    }
    return json;
}

void restoreInstances(const Json &json, FleetState::Private &state)
{
    for (const auto &[name, value] : json.items()) {
        auto instance = value.get<Instance>();
        state.pools.at(instance.pool).members.insert(InstanceId{name});
        state.instances.emplace(InstanceId{name}, std::move(instance));
    }
}

}

Json fleetToJson(const FleetState::Private &state)
{
    Json pools = Json::object();
    for (const auto &[id, pool] : state.pools) {
        pools[id.value] = {{"spec", pool.spec}, {"available", pool.available}, {"margin", state.margin(pool)}, {"size", pool.members.size()}};
    }
    return {{"offset", state.offset}, {"pools", std::move(pools)}, {"instances", mapToJson(state.instances)}, {"waves", mapToJson(state.waves)},
        {"services", mapToJson(state.services)}, {"settings", settingsToJson(state.settings)}, {"verdicts", verdictsToJson(state.verdicts)}};
}

Result<void> fleetFromJson(std::string_view text, FleetState::Private &state)
{
    try {
        const Json json = Json::parse(text);
        state.offset = json.at("offset");
        for (const auto &[name, value] : json.at("pools").items()) {
            state.pools[PoolId{name}].spec = value.at("spec").get<PoolSpec>();
        }
        restoreInstances(json.at("instances"), state);
        for (const auto &[name, value] : json.at("services").items()) {
            state.services.emplace(ServiceId{name}, value.get<ServiceDefinition>());
        }
        for (const auto &[name, value] : json.at("waves").items()) {
            state.waves.emplace(WaveId{name}, value.get<Wave>());
        }
        state.settings = settingsFromJson(json.at("settings"));
        verdictsFromJson(json.at("verdicts"), state.verdicts);
        for (const auto &[id, pool] : state.pools) {
            state.recountAvailable(id);
        }
    } catch (const std::exception &exception) {
        return makeError(ErrorCode::Decode, exception.what(), "fleet snapshot");
    }
    return {};
}

}
