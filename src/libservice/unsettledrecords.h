// Records of which it is not known whether they are stored.
#pragma once

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

#include <mangocourse/bootclock.h>

namespace MangoCourse {

// The keys of records that are being appended, and of those whose append ended without an answer: they may be stored, or may still be.
class UnsettledRecords
{
public:
    // An append without an answer is not carried out any more after this time.
    static constexpr std::chrono::seconds maxExecutionDelay{30};

    void beginAppend(const std::string &key);
    // `mayBeStored`: the append ended without an answer. The append is not carried out any more `maxExecutionDelay` after `endedAt`; callers whose append may
    // take effect later than that after its end pass a correspondingly later time.
    void endAppend(const std::string &key, bool mayBeStored, TimePoint endedAt);
    // An append of the key was confirmed.
    void markStored(const std::string &key);
    // Removes the keys that a reader of the stream would have delivered if they were stored; it has read what was stored up to `asOf`.
    void settle(TimePoint asOf);

    bool contains(const std::string &key) const;

private:
    struct Entry {
        int appendsInProgress = 0;
        std::optional<TimePoint> unansweredAt;
    };

    std::unordered_map<std::string, Entry> entries;
    // The keys of unanswered appends in order of their ends. A key is listed again if another append of it got no answer.
    std::deque<std::pair<TimePoint, std::string>> unanswered;
    // While set, any key may be one of those that were removed for want of room.
    std::optional<TimePoint> lastForgottenAt;

    void forgetOldest();
};

}
