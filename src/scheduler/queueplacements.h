// The partitions that may hold jobs of each queue, as the store has them.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "batchappender.h"
#include "eventlog.h"
#include "recordcodec.h"
#include "streamreader.h"

namespace MangoCourse {

// The seals in one partition's stream of jobs; see QueuePlacements.
class PlacementSeals
{
public:
    // Applies a record of the stream; one that is no seal has no effect.
    void apply(const StoredRecord &record);
    // Returns true if the placement, or a later one of its address, was sealed before the offset. Without an offset: at all.
    bool isSealed(const JobPlacement &placement, std::optional<std::int64_t> offset = std::nullopt) const;
    // Returns the keys of the seals of the address.
    std::vector<std::string> keysOf(const std::string &address) const;

private:
    struct Seal {
        JobPlacement sealed;
        std::int64_t offset = -1;
    };
    std::map<std::string, Seal> seals;
};

// A job is stored in the partition of the service that its queue has when the job is accepted, and stays there when the queue moves to another service.
// The placement of the queue in the partition is made durable before the first such job, so that every process finds the jobs of every queue.
//
// Where a job lives is decided by the order of records in the store, not by when a process has read the move. Before a job is stored under a placement,
// all earlier placements of the address are sealed: a record in the partition's stream of jobs voids what is stored there later under them. The owner
// runs a job if its record precedes the seal. A void one it moves on to the current placement, unless the job is in another partition already.
class QueuePlacements
{
public:
    QueuePlacements(net::io_context &context, RecordStore &store, EventLog &log);

    // Reads all placements that are durable when the call begins. Fails at once while the store has been unreachable for a while and is being probed.
    net::awaitable<Result<void>> refresh();

    // Returns the partitions known to hold jobs of the queue, or of another queue that had the same address for callers.
    std::set<std::int32_t> partitionsOf(const QueueConfig &queue) const;
    // Returns the placements of the queue's address from the earliest to the current one. Those that follow one another in the same partition count as one,
    // with the latest revision. A placement is current until one of a later revision is durable; jobs are stored under the current one only.
    std::vector<QueuePlacement> historyOf(const QueueConfig &queue) const;
    std::vector<QueuePlacement> historyOf(const std::string &address) const;
    bool isRecorded(const QueuePlacement &placement) const;
    // Returns true if a placement of any revision has the partition, the queue and its address.
    bool isKnown(const QueuePlacement &placement) const;
    std::vector<QueuePlacement> placementsIn(std::int32_t partition) const;

    // Makes the placements durable. Returns false if that is not confirmed before the deadline.
    net::awaitable<bool> record(std::vector<QueuePlacement> placements, std::chrono::steady_clock::time_point deadline);
    // Seals a placement that a later one follows. Returns false if that is not confirmed before the deadline.
    net::awaitable<bool> seal(std::int32_t partition, JobPlacement sealed, std::chrono::steady_clock::time_point deadline);
    // Deletes placements in partitions that hold no jobs of their queues any more.
    net::awaitable<bool> remove(std::vector<QueuePlacement> placements, std::chrono::steady_clock::time_point deadline);

private:
    std::vector<QueuePlacement> history(const std::function<bool(const QueuePlacement &)> &isMember) const;
    void apply(const StoredRecord &record);
    net::awaitable<bool> append(std::vector<StoredRecord> records, std::chrono::steady_clock::time_point deadline);

    net::io_context &context;
    RecordStore &store;
    EventLog &log;
    std::shared_ptr<BatchAppender> appender;
    // Tells the seals of this process from those of all others.
    std::string sealWriter;
    std::uint64_t sealCount = 0;
    std::map<std::string, QueuePlacement> placements;
    StreamReader reader;
    std::optional<std::chrono::steady_clock::time_point> failingSince;
    int activeReads = 0;
};

}
