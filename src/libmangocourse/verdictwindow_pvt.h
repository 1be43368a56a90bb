// The verdicts of the last records, by id: how a fold makes a second append of the same record harmless.
#pragma once

#include <deque>
#include <optional>
#include <unordered_map>

#include <mangocourse/record.h>

namespace MangoCourse {

// Forgets the oldest beyond its capacity, at the same offset in every reader.
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
