// JSON encoding of records.
#include <mangocourse/record.h>

#include "record_pvt.h"

namespace MangoCourse {

namespace {

using Json = nlohmann::json;

// Wire names of the record kinds, in the order of RecordBody's alternatives.
constexpr std::array<std::string_view, std::variant_size_v<RecordBody>> kindNames = {
    "define-pool",
    "define-instance",
    "change-setting",
    "start-wave",
    "control-wave",
    "grant-maintenance",
    "advance-maintenance",
    "report-health",
    "start-move",
    "finish-move",
    "accept-job",
    "claim-job",
    "finish-job",
    "release-job",
    "cancel-job",
    "define-service",
};

template<std::size_t Index = 0>
std::optional<RecordBody> decodeBody(std::string_view kind, const Json &json)
{
    if constexpr (Index < std::variant_size_v<RecordBody>) {
        if (kindNames[Index] == kind) {
            return json.get<std::variant_alternative_t<Index, RecordBody>>();
        }
        return decodeBody<Index + 1>(kind, json);
    } else {
        return std::nullopt;
    }
}

}

std::string_view toString(Refusal refusal)
{
    static constexpr std::array<std::string_view, 19> names = {
        "none",
        "unknown-pool",
        "unknown-instance",
        "unknown-wave",
        "unknown-job",
        "already-exists",
        "stale-revision",
        "invalid-setting",
        "budget-exhausted",
        "wave-paused",
        "not-in-wave",
        "stale-token",
        "wrong-pool",
        "busy",
        "already-claimed",
        "already-final",
        "unchanged",
        "not-for-this-stream",
        "undecodable",
    };
    return names.at(static_cast<std::size_t>(refusal));
}

std::string encodeRecord(const Record &record)
{
    Json json;
    std::visit(
        [&json](const auto &body) {
            json = body;
        },
        record.body);
    json["id"] = record.id.value;
    json["kind"] = kindNames.at(record.body.index());
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<Record> decodeRecord(std::string_view text)
{
    // The JSON library reports invalid input by exceptions, which become errors here.
    try {
        const Json json = Json::parse(text);
        const auto kind = json.at("kind").get<std::string>();
        std::optional<RecordBody> body = decodeBody(kind, json);
        if (!body) {
            return makeError(ErrorCode::Decode, "unknown record kind \"" + kind + "\"", "kind");
        }
        return Record{RecordId{json.at("id").get<std::string>()}, std::move(*body)};
    } catch (const Json::exception &exception) {
        return makeError(ErrorCode::Decode, exception.what(), "record");
    }
}

}
