// Divides the progress of jobs into records that the store takes, and puts it together again.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "ports.h"
#include "recordcodec.h"

namespace MangoCourse {

// The progress of a job is one record as long as the store takes that. Beyond, the items are in parts, one record for each itemsPerProgressPart of
// them, and the job's own record has the rest. A part is at most about 45 KB, whatever has become of its items. Not thread-safe.
class ProgressRecords
{
public:
    explicit ProgressRecords(const RecordStore &store);

    // Returns the records to append for a change of the progress: parts only if they differ from those returned or loaded before. The parts of a job
    // whose state is final are deleted.
    std::vector<StoredRecord> encode(const JobProgress &progress);

    // Take a stored record. Return ErrorCode::Decode if it is malformed.
    Result<void> loadJob(const JobId &job, const StoredRecord &record);
    Result<void> loadPart(const ParsedKey &key, const StoredRecord &record);
    // Returns the progress of all loaded jobs, and deletions of parts that belong to none of them in `obsolete`.
    std::map<JobId, JobProgress> takeLoaded(std::vector<StoredRecord> &obsolete);

private:
    const RecordStore &store;
    // Hashes of the stored parts.
    std::map<JobId, std::map<std::int64_t, std::size_t>> parts;
    std::map<JobId, JobProgress> loadedJobs;
    std::map<JobId, std::vector<ItemProgress>> loadedItems;
};

}
