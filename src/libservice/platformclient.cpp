// Client of the platform's service: JSON over HTTP.
#include "platformclient.h"

#include <array>
#include <limits>

#include <spdlog/spdlog.h>

#include "boundedjson.h"
#include "httpclient.h"

namespace MangoCourse {

namespace {

using Json = nlohmann::json;

Result<Json> parseResponse(const Result<std::string> &response)
{
    if (!response) {
        return tl::unexpected(response.error());
    }
    Json json = Json::parse(*response, nullptr, false);
    if (json.is_discarded()) {
        return makeError(ErrorCode::Decode, "the platform's response is not valid JSON");
    }
    return json;
}

Result<AddressedInstance> parseInstance(const Json &json)
{
    const Result<InstanceState> state = parseInstanceState(json.at("state").get<std::string>());
    if (!state) {
        return tl::unexpected(state.error());
    }
    const auto port = wholeNumber(json.at("port"), 0, std::numeric_limits<std::uint16_t>::max());
    if (!port) {
        return makeError(ErrorCode::Decode, "must be a port number", "port");
    }
    std::array<Offset, 4> offsets{};
    constexpr std::array names{"token", "rebooted", "closed", "version"};
    for (std::size_t index = 0; index < names.size(); ++index) {
        const auto offset = wholeNumber(json.at(names[index]), 0);
        if (!offset) {
            return makeError(ErrorCode::Decode, "must be an offset", names[index]);
        }
        offsets[index] = *offset;
    }
    AddressedInstance instance;
    instance.listed = {*state, PoolId{json.at("pool")}, offsets[0], offsets[1], offsets[2]};
    instance.endpoint = {json.at("host"), static_cast<std::uint16_t>(*port)};
    instance.version = offsets[3];
    return instance;
}

// Calls a function that reads the platform's JSON. Returns ErrorCode::Decode if a field is missing or has the wrong type.
template<typename Reader>
auto decode(Reader reader) -> decltype(reader())
{
    try {
        return reader();
    } catch (const Json::exception &exception) {
        return makeError(ErrorCode::Decode, exception.what(), "platform");
    }
}

// Skips an entry that cannot be read, so that the others hold.
void addInstance(ListingDelta &delta, const Json &entry)
{
    const std::string id = entry.is_object() && entry.contains("id") && entry["id"].is_string() ? entry["id"].get<std::string>() : "";
    Result<AddressedInstance> instance = decode([&entry]() -> Result<AddressedInstance> {
        return parseInstance(entry);
    });
    if (!instance || id.empty()) {
        spdlog::warn("event=instance_unreadable instance={} reason={}", id, instance ? "the id is missing" : describe(instance.error()));
        return;
    }
    delta.changed.emplace(InstanceId{id}, std::move(*instance));
}

}

class PlatformClient::Private
{
public:
    std::unique_ptr<HttpClient> http;

    Result<LogBatch> readFrom(const std::string &target, std::chrono::milliseconds timeout)
    {
        const Result<Json> json = parseResponse(this->http->call(http::verb::get, target, {}, timeout));
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

    Result<void> postAction(const InstanceId &instance, std::string_view action, const Json &body)
    {
        const std::string target = "/instances/" + instance.value + "/" + std::string(action);
        const Result<std::string> response = this->http->call(http::verb::post, target, body.dump(), callTimeout);
        if (!response) {
            return tl::unexpected(response.error());
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
    const Result<Json> json = parseResponse(this->d->http->call(http::verb::post, target, Json(payloads).dump(), callTimeout));
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
    return this->d->readFrom(target, wait + callTimeout);
}

Result<LogBatch> PlatformClient::readNewest(const std::string &stream)
{
    return this->d->readFrom("/streams/" + stream + "/read?newest=1", callTimeout);
}

Result<ListingDelta> PlatformClient::listing(std::int64_t sinceVersion, std::chrono::milliseconds wait)
{
    const std::string target = "/instances?since=" + std::to_string(sinceVersion) + "&wait_ms=" + std::to_string(wait.count());
    const Result<Json> json = parseResponse(this->d->http->call(http::verb::get, target, {}, wait + callTimeout));
    if (!json) {
        return tl::unexpected(json.error());
    }
    return decode([&json]() -> Result<ListingDelta> {
        ListingDelta delta;
        delta.version = json->at("version");
        for (const Json &entry : json->at("instances")) {
            addInstance(delta, entry);
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
    return this->d->postAction(instance, "drain", {{"token", token}});
}

Result<void> PlatformClient::undrain(const InstanceId &instance, Offset token)
{
    return this->d->postAction(instance, "undrain", {{"token", token}});
}

Result<void> PlatformClient::reboot(const InstanceId &instance, Offset token)
{
    return this->d->postAction(instance, "reboot", {{"token", token}});
}

Result<void> PlatformClient::relabel(const InstanceId &instance, Offset token, const PoolId &pool)
{
    return this->d->postAction(instance, "relabel", {{"token", token}, {"pool", pool.value}});
}

}
