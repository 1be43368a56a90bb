// Records of which it is not known whether they are stored.
#include "unsettledrecords.h"

#include <algorithm>

namespace MangoCourse {

namespace {

constexpr std::size_t maxUnansweredKeys = 4096;

}

void UnsettledRecords::beginAppend(const std::string &key)
{
    ++this->entries[key].appendsInProgress;
}

void UnsettledRecords::endAppend(const std::string &key, bool mayBeStored, TimePoint endedAt)
{
    const auto found = this->entries.find(key);
    --found->second.appendsInProgress;
    if (mayBeStored) {
        // An earlier append of the key may be carried out later than this one.
        const TimePoint unansweredAt = std::max(found->second.unansweredAt.value_or(endedAt), endedAt);
        found->second.unansweredAt = unansweredAt;
        this->unanswered.emplace_back(unansweredAt, key);
    }
    if (found->second.appendsInProgress == 0 && !found->second.unansweredAt) {
        this->entries.erase(found);
    }
    if (this->unanswered.size() > maxUnansweredKeys) {
        // Ends are listed in order of the appends, which differ in how late they may be carried out.
        this->lastForgottenAt = std::max(this->lastForgottenAt.value_or(TimePoint{}), this->unanswered.front().first);
        this->forgetOldest();
    }
}

void UnsettledRecords::markStored(const std::string &key)
{
    const auto found = this->entries.find(key);
    if (found != this->entries.end()) {
        found->second.unansweredAt.reset();
    }
}

void UnsettledRecords::settle(TimePoint asOf)
{
    while (!this->unanswered.empty() && this->unanswered.front().first + maxExecutionDelay <= asOf) {
        this->forgetOldest();
    }
    if (this->lastForgottenAt && *this->lastForgottenAt + maxExecutionDelay <= asOf) {
        this->lastForgottenAt.reset();
    }
}

void UnsettledRecords::forgetOldest()
{
    const auto [unansweredAt, key] = std::move(this->unanswered.front());
    this->unanswered.pop_front();
    const auto found = this->entries.find(key);
    if (found == this->entries.end() || found->second.unansweredAt != unansweredAt) {
        return;
    }
    found->second.unansweredAt.reset();
    if (found->second.appendsInProgress == 0) {
        this->entries.erase(found);
    }
}

bool UnsettledRecords::contains(const std::string &key) const
{
    return this->lastForgottenAt || this->entries.contains(key);
}

}
