// Parts of the progress of large jobs.
#include "progressrecords.h"

#include <algorithm>
#include <functional>
#include <tuple>

namespace MangoCourse {

namespace {

std::size_t hashOf(const std::string &bytes)
{
    return std::hash<std::string>{}(bytes);
}

// Merges items that are both in the job's own record and in a part.
std::vector<ItemProgress> mergeItems(std::vector<ItemProgress> items)
{
    const auto position = [](const ItemProgress &item) {
        return std::tuple(item.occurrence, item.step, item.index);
    };
    std::stable_sort(items.begin(), items.end(), [&position](const ItemProgress &one, const ItemProgress &other) {
        return position(one) < position(other);
    });
    std::vector<ItemProgress> merged;
    for (ItemProgress &item : items) {
        if (merged.empty() || position(merged.back()) != position(item)) {
            merged.push_back(std::move(item));
            continue;
        }
        ItemProgress &known = merged.back();
        known.isDone = known.isDone || item.isDone;
        if (item.failures > known.failures) {
            known.failures = item.failures;
            known.failedRuns = std::move(item.failedRuns);
        }
    }
    return merged;
}

}

ProgressRecords::ProgressRecords(const RecordStore &store)
    : store(store)
{
}

std::vector<StoredRecord> ProgressRecords::encode(const JobProgress &progress)
{
    const auto known = this->parts.find(progress.id);
    std::vector<StoredRecord> records;
    if (known == this->parts.end() || isFinal(progress.state)) {
        records.push_back(StoredRecord{progress.id.value, encodeProgress(progress), -1});
    }
    if (known == this->parts.end() && this->store.accepts(records.front())) {
        return records;
    }
    if (known != this->parts.end() && isFinal(progress.state)) {
        for (const auto &[number, hash] : known->second) {
            records.push_back(StoredRecord{progressPartKey(progress.id, number), {}, -1});
        }
        this->parts.erase(known);
        return records;
    }
    records.clear();
    std::map<std::int64_t, std::size_t> &stored = this->parts[progress.id];
    for (auto &[number, bytes] : encodeProgressParts(progress)) {
        const std::size_t hash = hashOf(bytes);
        const auto [part, isNew] = stored.try_emplace(number, hash);
        if (isNew || part->second != hash) {
            part->second = hash;
            records.push_back(StoredRecord{progressPartKey(progress.id, number), std::move(bytes), -1});
        }
    }
    JobProgress rest = progress;
    rest.items.clear();
    records.push_back(StoredRecord{progress.id.value, encodeProgress(rest), -1});
    return records;
}

Result<void> ProgressRecords::loadJob(const JobId &job, const StoredRecord &record)
{
    Result<JobProgress> progress = decodeProgress(job, record.value);
    if (!progress) {
        return tl::unexpected(progress.error());
    }
    this->loadedJobs[job] = std::move(*progress);
    return {};
}

Result<void> ProgressRecords::loadPart(const ParsedKey &key, const StoredRecord &record)
{
    this->parts[key.job][key.part] = hashOf(record.value);
    Result<std::vector<ItemProgress>> items = decodeProgressPart(record.value);
    if (!items) {
        return tl::unexpected(items.error());
    }
    std::vector<ItemProgress> &all = this->loadedItems[key.job];
    all.insert(all.end(), std::make_move_iterator(items->begin()), std::make_move_iterator(items->end()));
    return {};
}

std::map<JobId, JobProgress> ProgressRecords::takeLoaded(std::vector<StoredRecord> &obsolete)
{
    for (auto known = this->parts.begin(); known != this->parts.end();) {
        const auto job = this->loadedJobs.find(known->first);
        if (job == this->loadedJobs.end() || isFinal(job->second.state)) {
            for (const auto &[number, hash] : known->second) {
                obsolete.push_back(StoredRecord{progressPartKey(known->first, number), {}, -1});
            }
            known = this->parts.erase(known);
            continue;
        }
        std::vector<ItemProgress> &items = this->loadedItems[known->first];
        items.insert(items.begin(), job->second.items.begin(), job->second.items.end());
        job->second.items = mergeItems(std::move(items));
        ++known;
    }
    this->loadedItems.clear();
    return std::exchange(this->loadedJobs, {});
}

}
