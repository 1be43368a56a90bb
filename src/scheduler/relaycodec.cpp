// CBOR encoding of relayed records with the JSON library.
#include "relaycodec.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <stdexcept>

#include "boundedjson.h"
#include "recordcodec.h"

namespace MangoCourse {

namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr std::string_view appenderPrefix = "appender/";
constexpr const char *cancellationValue = "1";
constexpr std::size_t jobIdDigits = 16;
constexpr milliseconds maxRelayTimeout{10'000};
constexpr std::int64_t maxPort = 65535;

std::string toBytes(const Json &json)
{
    std::string bytes;
    Json::to_cbor(json, nlohmann::detail::output_adapter<char>(bytes));
    return bytes;
}

std::int64_t toWhole(const Json &json, std::int64_t minimum, std::int64_t maximum)
{
    const std::optional<std::int64_t> number = wholeNumber(json, minimum, maximum);
    if (!number) {
        throw std::out_of_range("must be a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
    }
    return *number;
}

std::string toName(const Json &json)
{
    const auto &text = json.get_ref<const std::string &>();
    if (!isPlainName(text, maxNameBytes)) {
        throw std::out_of_range("must be a name of at most " + std::to_string(maxNameBytes) + " bytes");
    }
    return text;
}

Json bytesToJson(const std::string &bytes)
{
    return Json::binary(std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

std::string bytesFromJson(const Json &json)
{
    const Json::binary_t &bytes = json.get_binary();
    return {bytes.begin(), bytes.end()};
}

// Calls a function that reads a message and throws a standard exception if a value is missing, has another type or is out of range.
template<typename Reader>
auto decode(std::string where, Reader reader) -> decltype(reader())
{
    try {
        return reader();
    } catch (const std::exception &exception) {
        return makeError(ErrorCode::Decode, exception.what(), std::move(where));
    }
}

bool isHexadecimal(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](unsigned char character) {
        return std::isxdigit(character) != 0;
    });
}

// Returns nothing, or what is wrong with the record.
Result<void> checkRecord(const StoredRecord &record, std::int32_t partition, std::int32_t partitions)
{
    const ParsedKey key = parseKey(record.key);
    const bool isJob = key.kind == KeyKind::Job || key.kind == KeyKind::Cancellation;
    if (!isJob || key.job.value.size() != jobIdDigits || !isHexadecimal(key.job.value)) {
        return makeError(ErrorCode::Decode, "is neither the key of a submission nor of a cancellation", "record");
    }
    if (key.kind == KeyKind::Cancellation) {
        return record.value == cancellationValue ? Result<void>{} : makeError(ErrorCode::Decode, "is not a cancellation", record.key);
    }
    const Result<AcceptedJob> job = decodeAcceptedJob(key.job, record.value);
    if (!job) {
        return tl::unexpected(job.error());
    }
    if (partitionOf(job->service, partitions) != partition) {
        return makeError(ErrorCode::Decode, "is not a submission of the partition", record.key);
    }
    return {};
}

}

std::string appenderKey(std::int32_t partition)
{
    return std::string(appenderPrefix) + std::to_string(partition);
}

Result<std::int32_t> parseAppenderKey(std::string_view key)
{
    std::int32_t partition = -1;
    if (key.starts_with(appenderPrefix)) {
        const char *last = key.data() + key.size();
        const auto [end, error] = std::from_chars(key.data() + appenderPrefix.size(), last, partition);
        if (error == std::errc{} && end == last && partition >= 0) {
            return partition;
        }
    }
    return makeError(ErrorCode::Decode, "is not the key of an appender", "key");
}

std::string encodeAppenderAddress(const AppenderAddress &address)
{
    return toBytes(Json::array({address.process.value, address.endpoint.host, address.endpoint.port, address.token}));
}

Result<AppenderAddress> decodeAppenderAddress(std::string_view bytes)
{
    return decode("appender", [&]() -> Result<AppenderAddress> {
        const Json json = parseBoundedCbor(bytes);
        AppenderAddress address;
        address.process = ProcessId{toName(json.at(0))};
        address.endpoint.host = toName(json.at(1));
        address.endpoint.port = static_cast<std::uint16_t>(toWhole(json.at(2), 1, maxPort));
        address.token = toWhole(json.at(3), 0, maxWholeNumber);
        return address;
    });
}

std::string encodeRelayedBatch(const RelayedBatch &batch)
{
    Json records = Json::array();
    for (const StoredRecord &record : batch.records) {
        records.push_back(Json::array({record.key, bytesToJson(record.value)}));
    }
    return toBytes(Json::array({batch.process.value, batch.partition, batch.sentAt.time_since_epoch().count(), batch.timeout.count(), std::move(records)}));
}

Result<RelayedBatch> decodeRelayedBatch(std::string_view bytes, std::int32_t partitions)
{
    if (bytes.size() > maxRelayBytes) {
        return makeError(ErrorCode::Decode, "is too long", "relayed records");
    }
    return decode("relayed records", [&]() -> Result<RelayedBatch> {
        const Json json = parseBoundedCbor(bytes);
        RelayedBatch batch;
        batch.process = ProcessId{toName(json.at(0))};
        batch.partition = static_cast<std::int32_t>(toWhole(json.at(1), 0, partitions - 1));
        batch.sentAt = WallTime(milliseconds(toWhole(json.at(2), 0, maxUnixTime.count())));
        batch.timeout = milliseconds(toWhole(json.at(3), 1, maxRelayTimeout.count()));
        const Json::array_t &records = json.at(4).get_ref<const Json::array_t &>();
        for (const Json &row : records) {
            StoredRecord record{row.at(0).get<std::string>(), bytesFromJson(row.at(1)), -1};
            if (const Result<void> checked = checkRecord(record, batch.partition, partitions); !checked) {
                return tl::unexpected(checked.error());
            }
            batch.records.push_back(std::move(record));
        }
        return batch;
    });
}

std::string encodeRelayAnswer(const RelayAnswer &answer)
{
    Json records = Json::array();
    for (const RecordAnswer &record : answer.records) {
        records.push_back(Json::array({static_cast<int>(record.outcome), record.reason.substr(0, maxTextBytes)}));
    }
    return toBytes(Json::array({answer.appendTime.count(), std::move(records)}));
}

Result<RelayAnswer> decodeRelayAnswer(std::string_view bytes, std::size_t count)
{
    return decode("answer of the appender", [&]() -> Result<RelayAnswer> {
        const Json json = parseBoundedCbor(bytes);
        RelayAnswer answer;
        answer.appendTime = milliseconds(toWhole(json.at(0), 0, maxTimeSpan.count()));
        const Json::array_t &records = json.at(1).get_ref<const Json::array_t &>();
        for (const Json &row : records) {
            RecordAnswer record;
            record.outcome = static_cast<AppendOutcome>(toWhole(row.at(0), 0, static_cast<int>(AppendOutcome::Unknown)));
            record.reason = row.at(1).get<std::string>();
            answer.records.push_back(std::move(record));
        }
        if (answer.records.size() != count) {
            return makeError(ErrorCode::Decode, "has not one outcome for each record", "answer of the appender");
        }
        return answer;
    });
}

}
