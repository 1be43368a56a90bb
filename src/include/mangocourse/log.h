// The platform's append-only log as the coordination parts see it.
#pragma once

#include <chrono>
#include <concepts>
#include <string>
#include <vector>

#include <mangocourse/error.h>
#include <mangocourse/ids.h>

namespace MangoCourse {

// Records read from a stream. `oldest` is the first offset still kept, `end` the last one written.
struct LogBatch {
    struct Entry {
        Offset offset = 0;
        std::string payload;
    };
    std::vector<Entry> entries;
    Offset oldest = 1;
    Offset end = 0;
};

// A log service. append() returns the first record's offset; Unavailable or Refused where nothing was appended, Timeout where the answer
// was lost: then the same records are appended again and the fold drops the second ones. read() waits up to the limit for news.
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
