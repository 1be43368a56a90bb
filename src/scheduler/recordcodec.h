// Encoding of the scheduler's own records in the store, as CBOR.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <mangocourse/admission.h>
#include <mangocourse/error.h>
#include <mangocourse/fleetconfig.h>
#include <mangocourse/fleetplanner.h>
#include <mangocourse/poolscheduler.h>

namespace MangoCourse {

std::string encodeAcceptedJob(const AcceptedJob &job);
Result<AcceptedJob> decodeAcceptedJob(const JobId &id, std::string_view bytes);

std::string encodeProgress(const JobProgress &progress);
Result<JobProgress> decodeProgress(const JobId &id, std::string_view bytes);

// Number of items of a job whose progress is in one part.
inline constexpr std::int64_t itemsPerProgressPart = 256;

// Returns the items of the progress in parts, by the number of the part.
std::map<std::int64_t, std::string> encodeProgressParts(const JobProgress &progress);
Result<std::vector<ItemProgress>> decodeProgressPart(std::string_view bytes);

// Record keys within one partition. Job identifiers are hexadecimal, so that the keys of other kinds start with a prefix that is no hexadecimal
// digit.
std::string cancellationKey(const JobId &job);
std::string executorRecordKey(const ExecutorKey &executor);
std::string progressPartKey(const JobId &job, std::int64_t part);

enum class KeyKind {
    Job,
    Cancellation,
    Executor,
    Owner,
    // A part of the progress of a large job.
    ProgressPart,
    // The end of a queue's placement in the partition.
    Seal,
    // A key that no version of the scheduler writes.
    Unknown,
};

struct ParsedKey {
    KeyKind kind = KeyKind::Job;
    JobId job;
    ExecutorKey executor;
    // Number of the part, for KeyKind::ProgressPart.
    std::int64_t part = 0;
    // For KeyKind::Seal.
    JobPlacement sealed;
};

inline constexpr const char *ownerKey = "@owner";

ParsedKey parseKey(const std::string &key);

// The location of an executor incarnation whose use is recorded.
std::string encodeExecutorLocation(const ExecutorLocation &location);
Result<ExecutorLocation> decodeExecutorLocation(std::string_view bytes);

std::string encodePlannerState(const PlannerState &state);
Result<PlannerState> decodePlannerState(std::string_view bytes);

std::string encodePoolReport(const PoolReport &report);
Result<PoolReport> decodePoolReport(std::string_view bytes);

std::string encodePoolLoad(const PoolLoad &load);
Result<PoolLoad> decodePoolLoad(std::string_view bytes);

// Key of a record that seals a placement: jobs that are stored in the partition later under this placement, or an earlier one of the same address, are
// not run there. No key is written twice, so that the offset of the first seal is never lost. `writer`: differs for each seal.
std::string sealKey(const JobPlacement &sealed, const std::string &writer);

// Returns the address of a queue in the form of JobPlacement.
std::string addressOf(const std::string &host, const std::string &pathPrefix);

// A partition that may hold jobs of a queue. The host and the path prefix for callers are empty if the configuration no longer has the queue.
struct QueuePlacement {
    std::int32_t partition = 0;
    QueueId queue;
    std::string host;
    std::string pathPrefix;
    // Revision of the configuration that has sent the queue to the partition; 0 in records of earlier versions.
    std::int64_t revision = 0;

    bool operator==(const QueuePlacement &) const = default;
};

std::string queuePlacementKey(const QueuePlacement &placement);
std::string encodeQueuePlacement(const QueuePlacement &placement);
Result<QueuePlacement> decodeQueuePlacement(std::string_view bytes);

// FNV-1a, which is identical in every process and version.
std::uint64_t stableHash(std::string_view text);

// Returns the partition of a service's jobs.
std::int32_t partitionOf(const ServiceId &service, std::int32_t partitions);

}
