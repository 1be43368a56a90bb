// Usable executors by free room.
#include "roomindex_pvt.h"

#include "poolscheduler_pvt.h"

namespace MangoCourse {

void RoomIndex::insert(const RoomSlot &slot, const std::vector<std::string> &labels)
{
    this->byLabel[std::string()].insert(slot);
    for (const std::string &label : labels) {
        if (!label.empty()) {
            this->byLabel[label].insert(slot);
        }
    }
}

void RoomIndex::erase(const RoomSlot &slot, const std::vector<std::string> &labels)
{
    this->byLabel[std::string()].erase(slot);
    for (const std::string &label : labels) {
        const auto slots = this->byLabel.find(label);
        if (!label.empty() && slots != this->byLabel.end()) {
            slots->second.erase(slot);
        }
    }
}

void RoomIndex::put(Executor &executor)
{
    const std::int64_t cpu = executor.free().cpu;
    if (executor.isIndexed && executor.indexedCpu == cpu) {
        return;
    }
    this->remove(executor);
    executor.isIndexed = true;
    executor.indexedCpu = cpu;
    executor.indexedLabels = executor.info.labels;
    this->insert(RoomSlot{cpu, executor.ordinal, &executor}, executor.indexedLabels);
}

void RoomIndex::remove(Executor &executor)
{
    if (!executor.isIndexed) {
        return;
    }
    this->erase(RoomSlot{executor.indexedCpu, executor.ordinal, &executor}, executor.indexedLabels);
    executor.isIndexed = false;
}

const RoomIndex::Slots &RoomIndex::slots(const std::string &label) const
{
    static const Slots none;
    const auto found = this->byLabel.find(label);
    return found == this->byLabel.end() ? none : found->second;
}

}
