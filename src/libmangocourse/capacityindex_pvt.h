// Index of the usable executors by free CPU, so that placing an item does not scan all executors.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <mangocourse/job.h>

namespace MangoCourse {

struct Executor;

// An executor and its free CPU in thousandths of a core; the ordinal breaks ties.
struct CapacitySlot {
    std::int64_t cpu = 0;
    std::uint64_t ordinal = 0;
    Executor *executor = nullptr;

    bool operator<(const CapacitySlot &other) const
    {
        return this->cpu != other.cpu ? this->cpu < other.cpu : this->ordinal < other.ordinal;
    }
};

// Orders the executors by free CPU, once for all of them and once for each label.
class CapacityIndex
{
public:
    using Slots = std::set<CapacitySlot>;

    // Adds the executor, or updates its position after its free CPU changed.
    void put(Executor &executor);
    void remove(Executor &executor);

    // Returns the executors with the label, or all of them if the label is empty.
    const Slots &slots(const std::string &label) const;

private:
    void insert(const CapacitySlot &slot, const std::vector<std::string> &labels);
    void erase(const CapacitySlot &slot, const std::vector<std::string> &labels);

    // The entry of the empty label holds all executors.
    std::map<std::string, Slots, std::less<>> byLabel;
};

}
