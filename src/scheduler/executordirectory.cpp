// Builds the list of executors from their stored reports.
#include "executordirectory.h"

#include <algorithm>

namespace MangoCourse {

ExecutorDirectory::ExecutorDirectory(net::io_context &context, RecordStore &store, EventLog &log, ExecutorDecoder decode)
    : log(log)
    , decode(std::move(decode))
    , reader(context, store, Stream::Executors, 0,
          StreamReader::Handlers{[this] {
                                     this->knownExecutors.clear();
                                 },
              [this](const StoredRecord &record) {
                  this->apply(record);
              }})
{
}

void ExecutorDirectory::apply(const StoredRecord &record)
{
    const ExecutorId id{record.key};
    if (record.value.empty()) {
        this->unreadableEntries.erase(id);
        if (this->knownExecutors.erase(id) > 0) {
            this->log.emit("executor_left", {{"executor", id.value}, {"offset", record.offset}});
        }
        return;
    }
    Result<ExecutorInfo> info = this->decode(record.key, record.value);
    if (!info) {
        this->knownExecutors.erase(id);
        std::string reason = describe(info.error());
        std::string &loggedReason = this->unreadableEntries[id];
        if (loggedReason != reason) {
            this->log.emit("executor_unreadable", {{"executor", id.value}, {"reason", reason}, {"offset", record.offset}}, EventPriority::Essential);
            loggedReason = std::move(reason);
        }
        return;
    }
    this->unreadableEntries.erase(id);
    const auto before = this->knownExecutors.find(id);
    const bool hasChanged
        = before == this->knownExecutors.end() || before->second.incarnation != info->incarnation || before->second.isDraining != info->isDraining;
    if (hasChanged) {
        this->log.emit("executor_seen",
            {{"executor", id.value}, {"service", info->service.value}, {"machine", info->machine.value}, {"born", info->incarnation},
                {"draining", info->isDraining}, {"offset", record.offset}});
    }
    this->knownExecutors[id] = std::move(*info);
}

net::awaitable<Result<void>> ExecutorDirectory::refresh()
{
    return this->reader.catchUp();
}

std::vector<ExecutorInfo> ExecutorDirectory::executors() const
{
    std::vector<ExecutorInfo> list;
    for (const auto &[id, info] : this->knownExecutors) {
        list.push_back(info);
    }
    return list;
}

bool ExecutorDirectory::isLoaded() const
{
    return this->reader.isLoaded();
}

TimePoint ExecutorDirectory::currentAsOf() const
{
    return std::max(this->reader.currentAsOf(), this->reader.lastUnreachableAt());
}

}
