// Append-only log streams of the stand-in platform, with retention and injected faults.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <vector>

#include <mangocourse/ids.h>

namespace MangoCourse {

// A log stream. Offsets start at 1; a record keeps its offset when retention removes older ones.
class LogStream
{
public:
    // Appends the payloads, removes the oldest records beyond the retention, and returns the offset of the first payload appended.
    Offset append(const std::vector<std::string> &payloads, std::size_t retention)
    {
        const Offset first = this->end() + 1;
        for (const std::string &payload : payloads) {
            this->records.push_back(payload);
        }
        while (this->records.size() > retention) {
            this->records.pop_front();
            ++this->oldestOffset;
        }
        return first;
    }

    Offset oldest() const
    {
        return this->oldestOffset;
    }
    Offset end() const
    {
        return this->oldestOffset + static_cast<Offset>(this->records.size()) - 1;
    }
    const std::string &at(Offset offset) const
    {
        return this->records.at(static_cast<std::size_t>(offset - this->oldestOffset));
    }

private:
    std::deque<std::string> records;
    Offset oldestOffset = 1;
};

// Injected fault of the log service: Down refuses calls, LoseAnswers appends and then answers with an error.
enum class LogFault {
    None,
    Down,
    LoseAnswers,
};

// All streams with the injected fault, the injected delay per call, and counts of calls and bytes read.
struct LogStore {
    std::map<std::string, LogStream> streams;
    std::size_t retention = 100'000;
    LogFault fault = LogFault::None;
    std::chrono::milliseconds delay{};
    std::uint64_t appends = 0;
    std::uint64_t reads = 0;
    std::uint64_t bytesRead = 0;
};

}
