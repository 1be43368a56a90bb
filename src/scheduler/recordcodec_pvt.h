// Encoding and decoding of the values that the scheduler's records consist of.
#pragma once

#include <limits>
#include <stdexcept>
#include <string>
#include <string_view>

#include <mangocourse/error.h>
#include <mangocourse/job.h>
#include <mangocourse/limits.h>

#include "boundedjson.h"

namespace MangoCourse {

using Json = nlohmann::json;

inline std::string toBytes(const Json &json)
{
    std::string bytes;
    Json::to_cbor(json, nlohmann::detail::output_adapter<char>(bytes));
    return bytes;
}

inline Json fromBytes(std::string_view bytes)
{
    return parseBoundedCbor(bytes);
}

// The functions below throw a standard exception if the value has another type or is out of range; decode() makes an error of it.

inline std::int64_t toWhole(const Json &json, std::int64_t minimum = 0, std::int64_t maximum = maxWholeNumber)
{
    const std::optional<std::int64_t> number = wholeNumber(json, minimum, maximum);
    if (!number) {
        throw std::out_of_range("must be a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
    }
    return *number;
}

inline std::int32_t toCount(const Json &json)
{
    return static_cast<std::int32_t>(toWhole(json, 0, std::numeric_limits<std::int32_t>::max()));
}

inline WallTime toWallTime(const Json &json)
{
    return WallTime(std::chrono::milliseconds(toWhole(json, 0, maxUnixTime.count())));
}

// Returns a name, which may be empty.
inline std::string toName(const Json &json)
{
    const auto &text = json.get_ref<const std::string &>();
    if (text.size() > maxNameBytes) {
        throw std::out_of_range("must be a name of at most " + std::to_string(maxNameBytes) + " bytes");
    }
    return text;
}

inline std::string toText(const Json &json)
{
    const auto &text = json.get_ref<const std::string &>();
    if (text.size() > maxTextBytes) {
        throw std::out_of_range("must be a text of at most " + std::to_string(maxTextBytes) + " bytes");
    }
    return text;
}

// Calls a function that reads a record. Returns ErrorCode::Decode if a value is missing, has another type or is out of range.
template<typename Reader>
auto decode(std::string where, Reader reader) -> decltype(reader())
{
    try {
        return reader();
    } catch (const std::exception &exception) {
        return makeError(ErrorCode::Decode, exception.what(), std::move(where));
    }
}

}
