// Segments of large values.
#include "segmentedrecord.h"

#include <algorithm>
#include <charconv>

#include "recordcodec.h"

namespace MangoCourse {

namespace {

// Starts a record that names segments; no CBOR array of the scheduler's records starts so.
constexpr std::string_view headerMark = "segments ";
constexpr char segmentMark = '#';
// Size of a segment; halved until the store accepts it.
constexpr std::size_t maxSegmentBytes = 256 * 1024;
constexpr std::size_t minSegmentBytes = 1024;

std::string checksumOf(std::string_view value)
{
    return std::to_string(stableHash(value));
}

}

std::string segmentKey(const std::string &key, std::size_t number)
{
    return key + segmentMark + std::to_string(number);
}

std::vector<StoredRecord> divideRecord(StoredRecord record, const RecordStore &store)
{
    if (store.accepts(record)) {
        return {std::move(record)};
    }
    const auto isAccepted = [&record, &store](std::size_t bytes) {
        return store.accepts(StoredRecord{segmentKey(record.key, record.value.size()), std::string(bytes, '\0'), -1});
    };
    std::size_t bytes = maxSegmentBytes;
    while (bytes > minSegmentBytes && !isAccepted(bytes)) {
        bytes /= 2;
    }
    std::vector<StoredRecord> records;
    for (std::size_t start = 0; start < record.value.size(); start += bytes) {
        records.push_back(StoredRecord{segmentKey(record.key, records.size()), record.value.substr(start, bytes), -1});
    }
    const std::string header = std::string(headerMark) + std::to_string(records.size()) + " " + checksumOf(record.value);
    records.push_back(StoredRecord{record.key, header, -1});
    return records;
}

SegmentedValue::SegmentedValue(std::string key)
    : key(std::move(key))
{
}

std::optional<std::string> SegmentedValue::add(const StoredRecord &record)
{
    if (record.key == this->key) {
        this->header = record.value.starts_with(headerMark) ? record.value : std::string();
        return this->header.empty() ? std::optional(record.value) : this->assemble();
    }
    const std::string prefix = this->key + segmentMark;
    if (!record.key.starts_with(prefix)) {
        return std::nullopt;
    }
    std::size_t number = 0;
    const char *last = record.key.data() + record.key.size();
    const auto [end, error] = std::from_chars(record.key.data() + prefix.size(), last, number);
    if (error != std::errc{} || end != last) {
        return std::nullopt;
    }
    this->segments[number] = record.value;
    return this->header.empty() ? std::nullopt : this->assemble();
}

std::optional<std::string> SegmentedValue::assemble() const
{
    const std::size_t separator = this->header.rfind(' ');
    std::size_t count = 0;
    std::from_chars(this->header.data() + headerMark.size(), this->header.data() + separator, count);
    std::string value;
    for (std::size_t number = 0; number < count; ++number) {
        const auto segment = this->segments.find(number);
        if (segment == this->segments.end()) {
            return std::nullopt;
        }
        value += segment->second;
    }
    // Segments of another version of the value may have been read beside the header.
    const bool isWhole = checksumOf(value) == this->header.substr(separator + 1);
    return isWhole ? std::optional(std::move(value)) : std::nullopt;
}

}
