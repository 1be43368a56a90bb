// The executors that discovery shows, read while somebody needs them.
#pragma once

#include <functional>
#include <map>

#include "eventlog.h"
#include "ports.h"
#include "streamreader.h"

namespace MangoCourse {

// Turns a stored report into an executor; reports that cannot be read name none.
using ExecutorDecoder = std::function<Result<ExecutorInfo>(const std::string &id, const std::string &report)>;

class ExecutorDirectory
{
public:
    ExecutorDirectory(net::io_context &context, RecordStore &store, EventLog &log, ExecutorDecoder decode);

    // Brings the list up to date. A list that came before stays when the store cannot be read.
    net::awaitable<Result<void>> refresh();

    // Returns true once the list has been read.
    bool isLoaded() const;
    std::vector<ExecutorInfo> executors() const;
    // Reports that were stored before this are included. While the store does not give them out executors cannot report anything new to it
    // either, so that a failed refresh counts like one without news.
    TimePoint currentAsOf() const;

private:
    void apply(const StoredRecord &record);

    EventLog &log;
    ExecutorDecoder decode;
    std::map<ExecutorId, ExecutorInfo> known;
    StreamReader reader;
};

}
