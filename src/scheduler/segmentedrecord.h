// Values that are larger than one record of the store, divided into several.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "ports.h"

namespace MangoCourse {

// Returns the record as it is if the store accepts it, or else segments of the value and a record under the key that names them. All belong in one append.
std::vector<StoredRecord> divideRecord(StoredRecord record, const RecordStore &store);

std::string segmentKey(const std::string &key, std::size_t number);

// Puts the value of one key together from the records of a stream or a snapshot, which may come in any order.
class SegmentedValue
{
public:
    explicit SegmentedValue(std::string key);

    // Returns the value if the record belongs to the key and completes it. Records of other keys are ignored.
    std::optional<std::string> add(const StoredRecord &record);

private:
    std::optional<std::string> assemble() const;

    std::string key;
    // The record under the key, if it names segments.
    std::string header;
    std::map<std::size_t, std::string> segments;
};

}
