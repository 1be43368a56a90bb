#include "capacityindex_pvt.h"

#include "poolscheduler_pvt.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

namespace MangoCourse {
namespace {

// The executors with that label by free room, found by looking at each of them.
std::vector<Executor *> scan(std::vector<Executor> &executors, const std::vector<bool> &isIn, const std::string &label)
{
    std::vector<Executor *> found;
    for (std::size_t number = 0; number < executors.size(); ++number) {
        const std::vector<std::string> &labels = executors[number].info.labels;
        if (isIn[number] && (label.empty() || std::find(labels.begin(), labels.end(), label) != labels.end())) {
            found.push_back(&executors[number]);
        }
    }
    std::sort(found.begin(), found.end(), [](const Executor *one, const Executor *other) {
        return std::pair(one->free().cpu, one->ordinal) < std::pair(other->free().cpu, other->ordinal);
    });
    return found;
}

std::vector<Executor *> listed(const CapacityIndex &index, const std::string &label)
{
    std::vector<Executor *> found;
    for (const CapacitySlot &slot : index.slots(label)) {
        found.push_back(slot.executor);
    }
    return found;
}

TEST(RoomIndexTest, ListsWhatAScanOfAllExecutorsFindsInRandomHistories)
{
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        std::mt19937 random(seed);
        std::vector<Executor> executors(40);
        std::vector<bool> isIn(executors.size(), false);
        for (std::size_t number = 0; number < executors.size(); ++number) {
            executors[number].ordinal = number + 1;
            executors[number].info.capacity = Resources{64'000, 1024, 0};
            executors[number].info.labels = {number % 2 == 0 ? "a" : "b", "rack-" + std::to_string(number / 8)};
        }
        CapacityIndex index;
        for (int step = 0; step < 400; ++step) {
            const std::size_t number = random() % executors.size();
            Executor &executor = executors[number];
            if (random() % 4 == 0) {
                index.remove(executor);
                isIn[number] = false;
                if (random() % 8 == 0) {
                    executor.info.labels[1] = "rack-" + std::to_string(random() % 5);
                }
            } else {
                executor.used.cpu = static_cast<std::int64_t>(random() % 10) * 6400;
                index.put(executor);
                isIn[number] = true;
            }
            for (const char *label : {"", "a", "b", "rack-0", "rack-3", "no such label"}) {
                ASSERT_EQ(listed(index, label), scan(executors, isIn, label)) << "seed " << seed << ", step " << step << ", label '" << label << "'";
            }
        }
    }
}

}
}
