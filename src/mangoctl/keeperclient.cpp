// Calls of mangoctl to the keepers over HTTP.
#include "keeperclient.h"

#include <sstream>

#include <nlohmann/json.hpp>

namespace MangoCourse {

namespace {

constexpr std::chrono::milliseconds callTimeout{12'000};

}

Result<KeeperClient> KeeperClient::create(const std::string &addresses, const std::string &token)
{
    KeeperClient client;
    client.token = token;
    std::stringstream stream(addresses);
    std::string text;
    while (std::getline(stream, text, ',')) {
        const Result<Endpoint> endpoint = parseEndpoint(text);
        if (!endpoint) {
            return tl::unexpected(endpoint.error());
        }
        client.addresses.push_back(*endpoint);
    }
    if (client.addresses.empty()) {
        return makeError(ErrorCode::InvalidArgument, "the list of keepers is empty; give at least one address, such as --keepers=127.0.0.1:8181", "--keepers");
    }
    return client;
}

Result<std::string> KeeperClient::call(http::verb method, const std::string &target, const std::string &body)
{
    Result<std::string> answer = makeError(ErrorCode::Unavailable, "no keeper could be reached");
    for (const Endpoint &endpoint : this->addresses) {
        auto http = HttpClient::create(endpoint, this->token);
        answer = (*http)->call(method, target, body, callTimeout);
        // Fails over to the next keeper only if this one cannot be reached. After any other error the records may have been submitted; a retry with the
        // same ids is safe.
        if (answer || answer.error().code != ErrorCode::Unavailable) {
            return answer;
        }
    }
    return answer;
}

Result<std::string> KeeperClient::get(const std::string &target)
{
    return this->call(http::verb::get, target, {});
}

Result<FleetState> KeeperClient::fleet()
{
    const Result<std::string> text = this->get("/v1/fleet");
    if (!text) {
        return tl::unexpected(text.error());
    }
    return FleetState::fromJson(*text);
}

Result<Revision> KeeperClient::settingsRevision()
{
    const Result<std::string> text = this->get("/state");
    if (!text) {
        return tl::unexpected(text.error());
    }
    const auto json = nlohmann::json::parse(*text, nullptr, false);
    if (!json.is_object() || !json.contains("settings_revision")) {
        return makeError(ErrorCode::Decode, "the keeper's state has no field settings_revision");
    }
    return json.at("settings_revision").get<Revision>();
}

Result<std::vector<RecordResult>> KeeperClient::submit(const std::vector<Record> &records)
{
    nlohmann::json body = nlohmann::json::array();
    for (const Record &record : records) {
        body.push_back(nlohmann::json::parse(encodeRecord(record)));
    }
    const Result<std::string> answer = this->call(http::verb::post, "/v1/records", body.dump());
    if (!answer) {
        return tl::unexpected(answer.error());
    }
    std::vector<RecordResult> results;
    for (const auto &entry : nlohmann::json::parse(*answer)) {
        results.push_back({entry.at("id"), entry.at("result"), entry.at("reason"), entry.at("offset")});
    }
    return results;
}

}
