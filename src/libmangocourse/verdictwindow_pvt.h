// The verdicts of the most recent records by identifier. Replay uses them to ignore a record that was appended twice.
#pragma once

#include <deque>
#include <optional>
#include <unordered_map>

#include <mangocourse/record.h>

namespace MangoCourse {

// Evicts the oldest verdict beyond its capacity. Every reader evicts at the same offset, so all of them decide alike.
class VerdictWindow
{
public:
    explicit VerdictWindow(std::size_t capacity)
        : capacity(capacity)
    {
    }

    std::optional<RecordVerdict> find(const RecordId &id) const
    {
        const auto found = this->verdicts.find(id);
        if (found == this->verdicts.end()) {
            return std::nullopt;
        }
        return found->second;
    }

    void recordVerdict(const RecordId &id, const RecordVerdict &verdict)
    {
        if (!this->verdicts.emplace(id, verdict).second) {
            return;
        }
        this->order.push_back(id);
        if (this->order.size() > this->capacity) {
            this->verdicts.erase(this->order.front());
            this->order.pop_front();
        }
    }

    const std::deque<RecordId> &idsOldestFirst() const
    {
        return this->order;
    }

private:
    std::size_t capacity;
    std::unordered_map<RecordId, RecordVerdict> verdicts;
    std::deque<RecordId> order;
};

}
