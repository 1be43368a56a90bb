// Usable executors by free room, so that the choice for one item does not look at each of them.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <mangocourse/job.h>

namespace MangoCourse {

struct Executor;

// One executor by its free processor time, in thousandths of a core; the ordinal tells executors with the same room apart.
struct CapacitySlot {
    std::int64_t cpu = 0;
    std::uint64_t ordinal = 0;
    Executor *executor = nullptr;

    bool operator<(const CapacitySlot &other) const
    {
        return this->cpu != other.cpu ? this->cpu < other.cpu : this->ordinal < other.ordinal;
    }
};

// Keeps the executors in the order of their free processor time, all of them and those of each label.
class CapacityIndex
{
public:
    using Slots = std::set<CapacitySlot>;

    // Adds the executor, or moves it to where its free room has it now.
    void put(Executor &executor);
    void remove(Executor &executor);

    // The executors with that label; all of them for an empty label.
    const Slots &slots(const std::string &label) const;

private:
    void insert(const CapacitySlot &slot, const std::vector<std::string> &labels);
    void erase(const CapacitySlot &slot, const std::vector<std::string> &labels);

    // The empty label holds all.
    std::map<std::string, Slots, std::less<>> byLabel;
};

}
