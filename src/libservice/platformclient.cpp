// JSON over HTTP to the platform.
#include "platformclient.h"

#include <nlohmann/json.hpp>

#include "httpclient.h"

namespace MangoCourse {

namespace {

using Json = nlohmann::json;

Result<Json> parseAnswer(const Result<std::string> &answer)
{
    if (!answer) {
        return tl::unexpected(answer.error());
    }
    Json json = Json::parse(*answer, nullptr, false);
    if (json.is_discarded()) {
        return makeError(ErrorCode::Decode, "the platform's answer is no JSON");
    }
    return json;
}

Result<AddressedInstance> parseInstance(const Json &json)
{
    const Result<InstanceState> state = parseInstanceState(json.at("state").get<std::string>());
    if (!state) {
        return tl::unexpected(state.error());
    }
    AddressedInstance instance;
    instance.listed = {*state, PoolId{json.at("pool")}, json.at("token"), json.at("rebooted"), json.at("closed")};
    instance.endpoint = {json.at("host"), json.at("port")};
    instance.version = json.at("version");
    return instance;
}

// Runs a reader of the platform's JSON; a missing field or a wrong type is ErrorCode::Decode.
template<typename Reader>
auto decode(Reader reader) -> decltype(reader())
{
    try {
        return reader();
    } catch (const Json::exception &exception) {
        return makeError(ErrorCode::Decode, exception.what(), "platform");
    }
}

}

class PlatformClient::Private
{
public:
    std::unique_ptr<HttpClient> http;

    Result<LogBatch> readFrom(const std::string &target, std::chrono::milliseconds limit)
    {
        const Result<Json> json = parseAnswer(this->http->call(http::verb::get, target, {}, limit));
        if (!json) {
            return tl::unexpected(json.error());
        }
        return decode([&json]() -> Result<LogBatch> {
            LogBatch batch;
            batch.oldest = json->at("oldest");
            batch.end = json->at("end");
            for (const Json &entry : json->at("records")) {
                batch.entries.push_back({entry.at("offset"), entry.at("payload")});
            }
            return batch;
        });
    }

    Result<void> act(const InstanceId &instance, std::string_view verb, const Json &body)
    {
        const std::string target = "/instances/" + instance.value + "/" + std::string(verb);
        const Result<std::string> answer = this->http->call(http::verb::post, target, body.dump(), callLimit);
        if (!answer) {
            return tl::unexpected(answer.error());
        }
        return {};
    }
};

PlatformClient::PlatformClient(std::unique_ptr<Private> impl)
    : d(std::move(impl))
{
}

PlatformClient::~PlatformClient() = default;

Result<std::unique_ptr<PlatformClient>> PlatformClient::create(const Endpoint &endpoint)
{
    auto client = HttpClient::create(endpoint);
    if (!client) {
        return tl::unexpected(client.error());
    }
    auto impl = std::make_unique<Private>();
    impl->http = std::move(*client);
    return std::unique_ptr<PlatformClient>(new PlatformClient(std::move(impl)));
}

Result<Offset> PlatformClient::append(const std::string &stream, const std::vector<std::string> &payloads)
{
    const std::string target = "/streams/" + stream + "/append";
    const Result<Json> json = parseAnswer(this->d->http->call(http::verb::post, target, Json(payloads).dump(), callLimit));
    if (!json) {
        return tl::unexpected(json.error());
    }
    return decode([&json]() -> Result<Offset> {
        return json->at("offset").get<Offset>();
    });
}

Result<LogBatch> PlatformClient::read(const std::string &stream, Offset after, int limit, std::chrono::milliseconds wait)
{
    const std::string target
        = "/streams/" + stream + "/read?after=" + std::to_string(after) + "&limit=" + std::to_string(limit) + "&wait_ms=" + std::to_string(wait.count());
    return this->d->readFrom(target, wait + callLimit);
}

Result<LogBatch> PlatformClient::readNewest(const std::string &stream)
{
    return this->d->readFrom("/streams/" + stream + "/read?newest=1", callLimit);
}

Result<ListingDelta> PlatformClient::listing(std::int64_t sinceVersion, std::chrono::milliseconds wait)
{
    const std::string target = "/instances?since=" + std::to_string(sinceVersion) + "&wait_ms=" + std::to_string(wait.count());
    const Result<Json> json = parseAnswer(this->d->http->call(http::verb::get, target, {}, wait + callLimit));
    if (!json) {
        return tl::unexpected(json.error());
    }
    return decode([&json]() -> Result<ListingDelta> {
        ListingDelta delta;
        delta.version = json->at("version");
        for (const Json &entry : json->at("instances")) {
            Result<AddressedInstance> instance = parseInstance(entry);
            if (!instance) {
                return tl::unexpected(instance.error());
            }
            delta.changed.emplace(InstanceId{entry.at("id")}, std::move(*instance));
        }
        return delta;
    });
}

void PlatformClient::interrupt()
{
    this->d->http->interrupt();
}

Result<void> PlatformClient::drain(const InstanceId &instance, Offset token)
{
    return this->d->act(instance, "drain", {{"token", token}});
}

Result<void> PlatformClient::undrain(const InstanceId &instance, Offset token)
{
    return this->d->act(instance, "undrain", {{"token", token}});
}

Result<void> PlatformClient::reboot(const InstanceId &instance, Offset token)
{
    return this->d->act(instance, "reboot", {{"token", token}});
}

Result<void> PlatformClient::relabel(const InstanceId &instance, Offset token, const PoolId &pool)
{
    return this->d->act(instance, "relabel", {{"token", token}, {"pool", pool.value}});
}

}
