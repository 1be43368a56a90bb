// The partitions that may hold jobs of each queue, as the store has them.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "batchappender.h"
#include "eventlog.h"
#include "recordcodec.h"
#include "streamreader.h"

namespace MangoCourse {

// A job is stored in the partition of the service that its queue has when the job is accepted, and stays there when the queue moves to another service.
// The placement of the queue in the partition is made durable before the first such job, so that every process finds the jobs of every queue, and none
// accepts a job that another one has stored in an earlier or a later partition of the queue.
class QueuePlacements
{
public:
    QueuePlacements(net::io_context &context, RecordStore &store, EventLog &log);

    // Reads all placements that are durable when the call begins. Fails at once while the store has been unreachable for a while and is being probed.
    net::awaitable<Result<void>> refresh();

    // Returns the partitions known to hold jobs of the queue, or of another queue that had the same address for callers.
    std::set<std::int32_t> partitionsOf(const QueueConfig &queue) const;
    bool isRecorded(const QueuePlacement &placement) const;
    std::vector<QueuePlacement> placementsIn(std::int32_t partition) const;

    // Makes the placements durable. Returns false if that is not confirmed before the deadline.
    net::awaitable<bool> record(std::vector<QueuePlacement> placements, std::chrono::steady_clock::time_point deadline);
    // Deletes placements in partitions that hold no jobs of their queues any more.
    net::awaitable<bool> remove(std::vector<QueuePlacement> placements, std::chrono::steady_clock::time_point deadline);

private:
    void apply(const StoredRecord &record);
    net::awaitable<bool> append(std::vector<StoredRecord> records, std::chrono::steady_clock::time_point deadline);

    net::io_context &context;
    EventLog &log;
    std::shared_ptr<BatchAppender> appender;
    std::map<std::string, QueuePlacement> placements;
    StreamReader reader;
    std::optional<std::chrono::steady_clock::time_point> failingSince;
    int activeReads = 0;
};

}
