// Interface of the platform's append-only log.
#pragma once

#include <chrono>
#include <concepts>
#include <string>
#include <vector>

#include <mangocourse/error.h>
#include <mangocourse/ids.h>

namespace MangoCourse {

// Records read from a stream. `oldest` is the lowest offset that is still retained, `end` the offset of the last record written.
struct LogBatch {
    struct Entry {
        Offset offset = 0;
        std::string payload;
    };
    std::vector<Entry> entries;
    Offset oldest = 1;
    Offset end = 0;
};

// A log service. append() returns the offset of the first record. It returns Unavailable or Refused when nothing was appended, and Timeout
// when the response was lost; the caller then appends the same records again, and replay ignores the duplicates. read() returns up to
// `limit` records after offset `after` and waits up to `wait` for the first one.
template<typename T>
concept Log = requires(T log, const std::string &stream, const std::vector<std::string> &payloads, Offset after, int limit, std::chrono::milliseconds wait)
{
    {
        log.append(stream, payloads)
        } -> std::same_as<Result<Offset>>;
    {
        log.read(stream, after, limit, wait)
        } -> std::same_as<Result<LogBatch>>;
    {
        log.readNewest(stream)
        } -> std::same_as<Result<LogBatch>>;
};

}
