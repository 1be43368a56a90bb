// Usable executors by free room.
#include "capacityindex_pvt.h"

#include "poolscheduler_pvt.h"

namespace MangoCourse {

void CapacityIndex::insert(const CapacitySlot &slot, const std::vector<std::string> &labels)
{
    this->byLabel[std::string()].insert(slot);
    for (const std::string &label : labels) {
        if (!label.empty()) {
            this->byLabel[label].insert(slot);
        }
    }
}

void CapacityIndex::erase(const CapacitySlot &slot, const std::vector<std::string> &labels)
{
    this->byLabel[std::string()].erase(slot);
    for (const std::string &label : labels) {
        const auto slots = this->byLabel.find(label);
        if (!label.empty() && slots != this->byLabel.end()) {
            slots->second.erase(slot);
        }
    }
}

void CapacityIndex::put(Executor &executor)
{
    const std::int64_t cpu = executor.free().cpu;
    if (executor.isIndexed && executor.indexedCpu == cpu) {
        return;
    }
    this->remove(executor);
    executor.isIndexed = true;
    executor.indexedCpu = cpu;
    executor.indexedLabels = executor.info.labels;
    this->insert(CapacitySlot{cpu, executor.ordinal, &executor}, executor.indexedLabels);
}

void CapacityIndex::remove(Executor &executor)
{
    if (!executor.isIndexed) {
        return;
    }
    this->erase(CapacitySlot{executor.indexedCpu, executor.ordinal, &executor}, executor.indexedLabels);
    executor.isIndexed = false;
}

const CapacityIndex::Slots &CapacityIndex::slots(const std::string &label) const
{
    static const Slots none;
    const auto found = this->byLabel.find(label);
    return found == this->byLabel.end() ? none : found->second;
}

}
