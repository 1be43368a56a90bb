// Ranges of the values that other programs send. Sums and products of values within them, as they are computed here, do not overflow.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string_view>

namespace MangoCourse {

// Whole numbers up to this are exact in every implementation of JSON.
inline constexpr std::int64_t maxWholeNumber = (std::int64_t(1) << 53) - 1;
// The last millisecond of the year 9999, since the Unix epoch.
inline constexpr std::chrono::milliseconds maxUnixTime{253'402'300'799'999};
// Longest time between two events that settings or messages may name.
inline constexpr std::chrono::milliseconds maxTimeSpan = std::chrono::hours(24 * 3660);
// Longest estimate or target of a work item.
inline constexpr std::chrono::milliseconds maxItemTime = std::chrono::hours(24 * 366);
// Largest amount of each resource of an executor or a work item, in the units of Resources.
inline constexpr std::int64_t maxResourceAmount = 1'000'000'000;
// Largest factor of an objective; a larger one only means that there is no hurry.
inline constexpr double maxSlackFactor = 100.0;
// Work items of one occurrence of a job, which take about 150 bytes of memory each in its owner, and of all occurrences.
inline constexpr std::int32_t maxItems = 100'000;
inline constexpr std::int64_t maxItemsOfAllOccurrences = 200'000;
// Largest amount of work that a pool reports, in core-ms.
inline constexpr std::int64_t maxReportedWork = 1'000'000'000'000'000;
// The keys of the scheduler's records, which contain names and a number, are limited to 255 bytes by the store.
inline constexpr std::size_t maxNameBytes = 200;
// Longest text of a message that is used as a label, a path or an image.
inline constexpr std::size_t maxTextBytes = 1024;
inline constexpr std::size_t maxPayloadBytes = 4000;

// Returns true for 1 to `maxBytes` printable ASCII characters other than the space, which can stand in keys, headers and messages.
inline bool isPlainName(std::string_view text, std::size_t maxBytes)
{
    return !text.empty() && text.size() <= maxBytes && std::all_of(text.begin(), text.end(), [](unsigned char character) {
        return character > 0x20 && character < 0x7f;
    });
}

}
