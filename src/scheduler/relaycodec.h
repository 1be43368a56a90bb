// Encoding of the appenders' addresses and of the calls that relay records to them, as CBOR.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <mangocourse/error.h>
#include <mangocourse/ids.h>
#include <mangocourse/job.h>
#include <mangocourse/processsettings.h>

#include "appendtarget.h"

namespace MangoCourse {

// Partition of Stream::Plan with the addresses of the partitions' appenders.
inline constexpr std::int32_t appenderPartition = 3;
// Longest body of a call that relays records; the store takes as much in one append.
inline constexpr std::size_t maxRelayBytes = 2 * 1024 * 1024;

// Where the owner of a partition takes records for it.
struct AppenderAddress {
    // Another process may have got the endpoint since.
    ProcessId process;
    Endpoint endpoint;
    // Of the ownership.
    std::int64_t token = 0;

    bool operator==(const AppenderAddress &) const = default;
};

std::string appenderKey(std::int32_t partition);
// Returns the partition, or Decode if the key is not that of an appender.
Result<std::int32_t> parseAppenderKey(std::string_view key);
std::string encodeAppenderAddress(const AppenderAddress &address);
Result<AppenderAddress> decodeAppenderAddress(std::string_view bytes);

// Records that one gateway relays.
struct RelayedBatch {
    // The process that the call is meant for.
    ProcessId process;
    std::int32_t partition = 0;
    // By the clock of the sender.
    WallTime sentAt{};
    // Time after which the sender takes the outcome as unknown.
    std::chrono::milliseconds timeout{};
    std::vector<StoredRecord> records;
};

std::string encodeRelayedBatch(const RelayedBatch &batch);
// Returns Decode unless each record is a submission or a cancellation of a job as this project writes them, for one of the partitions; a submission has to
// be for the partition of its service.
Result<RelayedBatch> decodeRelayedBatch(std::string_view bytes, std::int32_t partitions);

struct RelayAnswer {
    // Time of the appender's latest append to the store; zero if it has made none recently.
    std::chrono::milliseconds appendTime{};
    // One for each record, in order.
    std::vector<RecordAnswer> records;
};

std::string encodeRelayAnswer(const RelayAnswer &answer);
// Returns Decode unless there is one outcome for each of `count` records.
Result<RelayAnswer> decodeRelayAnswer(std::string_view bytes, std::size_t count);

}
