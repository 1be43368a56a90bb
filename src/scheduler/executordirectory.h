// Directory of the executors that discovery lists, read on demand.
#pragma once

#include <functional>
#include <map>

#include "eventlog.h"
#include "ports.h"
#include "streamreader.h"

namespace MangoCourse {

// Decodes a stored report. A report that cannot be decoded adds no executor.
using ExecutorDecoder = std::function<Result<ExecutorInfo>(const std::string &id, const std::string &report)>;

class ExecutorDirectory
{
public:
    ExecutorDirectory(net::io_context &context, RecordStore &store, EventLog &log, ExecutorDecoder decode);

    // Updates the list. The previous list is kept if the store cannot be read.
    net::awaitable<Result<void>> refresh();

    // Returns true once the list has been read.
    bool isLoaded() const;
    std::vector<ExecutorInfo> executors() const;
    // Returns the time up to which all stored reports are included. While the store cannot be read, executors cannot store new reports either, so
    // that a failed refresh counts like one that found no new reports.
    TimePoint currentAsOf() const;

private:
    void apply(const StoredRecord &record);

    EventLog &log;
    ExecutorDecoder decode;
    std::map<ExecutorId, ExecutorInfo> knownExecutors;
    // Entries that cannot be decoded, with the reason that was logged. Other writers may repeat them.
    std::map<ExecutorId, std::string> unreadableEntries;
    StreamReader reader;
};

}
