// The scheduler's own records in the store, as CBOR.
#pragma once

#include <string>
#include <string_view>

#include <mangocourse/error.h>
#include <mangocourse/fleetplanner.h>
#include <mangocourse/poolscheduler.h>

namespace MangoCourse {

std::string encodeAcceptedJob(const AcceptedJob &job);
Result<AcceptedJob> decodeAcceptedJob(const JobId &id, std::string_view bytes);

std::string encodeProgress(const JobProgress &progress);
Result<JobProgress> decodeProgress(const JobId &id, std::string_view bytes);

// Keys of one partition. Job identifiers are hexadecimal, so the other kinds start with a mark.
std::string cancellationKey(const JobId &job);
std::string executorKeyName(const ExecutorKey &executor);

enum class KeyKind {
    Job,
    Cancellation,
    Executor,
    Owner,
};

struct ParsedKey {
    KeyKind kind = KeyKind::Job;
    JobId job;
    ExecutorKey executor;
};

inline constexpr const char *ownerKey = "@owner";

ParsedKey parseKey(const std::string &key);

// The place of an executor's life whose use is recorded.
std::string encodeExecutorPlace(const ExecutorLocation &place);
Result<ExecutorLocation> decodeExecutorPlace(std::string_view bytes);

std::string encodePlannerState(const PlannerState &state);
Result<PlannerState> decodePlannerState(std::string_view bytes);

std::string encodePoolReport(const PoolReport &report);
Result<PoolReport> decodePoolReport(std::string_view bytes);

// Returns the partition that a service's jobs live in.
std::int32_t partitionOf(const ServiceId &service, std::int32_t partitions);

}
