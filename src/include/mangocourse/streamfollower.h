// Follows one stream of the log and folds it, with a snapshot where retention has taken the start.
#pragma once

#include <atomic>
#include <functional>
#include <string>
#include <vector>

#include <mangocourse/guarded.h>
#include <mangocourse/log.h>
#include <mangocourse/record.h>

namespace MangoCourse {

// What a follower knows of its stream, for dumps and readiness.
struct FollowerStatus {
    std::atomic<bool> isReachable{false};
    std::atomic<bool> caughtUp{false};
    std::atomic<bool> hasGap{false};
    std::atomic<Offset> end{0};
    std::atomic<Offset> snapshotOffset{0};
};

// Applies one payload to a state; an undecodable one is counted and skipped, the same at every reader.
template<typename State>
void applyPayload(State &state, Offset offset, const std::string &payload)
{
    const Result<Record> record = decodeRecord(payload);
    if (record) {
        state.apply(offset, *record);
        return;
    }
    state.skipUndecodable(offset);
}

// State is FleetState or JobLedger. One duty calls step() in a loop.
template<typename State>
class StreamFollower
{
public:
    using RecordObserver = std::function<void(Offset, const std::string &)>;

    StreamFollower(std::string stream, Guarded<State> &state, FollowerStatus &status, RecordObserver seen)
        : stream(std::move(stream))
        , state(state)
        , status(status)
        , seen(std::move(seen))
    {
    }

    // Reads and folds once, waiting up to `wait` for news. Unavailable or Timeout where the log cannot be reached, Gap where
    // records are gone that no snapshot covers.
    template<Log L>
    Result<void> step(L &log, std::chrono::milliseconds wait)
    {
        const Offset after = this->offset();
        const Result<LogBatch> batch = log.read(this->stream, after, batchLimit, this->status.caughtUp ? wait : std::chrono::milliseconds(0));
        if (!batch) {
            this->status.isReachable = false;
            return tl::unexpected(batch.error());
        }
        this->status.isReachable = true;
        this->status.end = batch->end;
        if (batch->oldest > after + 1) {
            return this->restore(log, batch->oldest);
        }
        this->apply(batch->entries);
        this->status.caughtUp = this->offset() >= batch->end;
        return {};
    }

    // Applies records in order, from the log or from a peer. Records at or below the current offset are dropped.
    void apply(const std::vector<LogBatch::Entry> &entries)
    {
        if (entries.empty()) {
            return;
        }
        this->state.write([&](State &folded) {
            for (const LogBatch::Entry &entry : entries) {
                if (entry.offset == folded.offset() + 1) {
                    applyPayload(folded, entry.offset, entry.payload);
                    this->seen(entry.offset, entry.payload);
                }
            }
        });
    }

    // Replaces the state by a newer snapshot; an older one is ignored, so that nothing reverts.
    void replace(State snapshot)
    {
        this->state.write([&snapshot](State &folded) {
            if (snapshot.offset() > folded.offset()) {
                folded = std::move(snapshot);
            }
        });
    }

    Offset offset() const
    {
        return this->state.read([](const State &folded) {
            return folded.offset();
        });
    }

    // Returns the name of the stream that holds this stream's snapshots.
    std::string snapshotStream() const
    {
        return this->stream + "-snapshots";
    }

    static constexpr int batchLimit = 2000;

private:
    template<Log L>
    Result<void> restore(L &log, Offset oldest)
    {
        const Result<LogBatch> newest = log.readNewest(this->snapshotStream());
        if (!newest) {
            return tl::unexpected(newest.error());
        }
        if (!newest->entries.empty()) {
            Result<State> snapshot = State::fromJson(newest->entries.back().payload);
            if (snapshot && snapshot->offset() + 1 >= oldest) {
                this->status.snapshotOffset = snapshot->offset();
                this->replace(std::move(*snapshot));
                this->status.hasGap = false;
                return {};
            }
        }
        this->status.hasGap = true;
        return makeError(ErrorCode::Gap, "records up to " + std::to_string(oldest - 1) + " are gone and no snapshot covers them", this->stream);
    }

    std::string stream;
    Guarded<State> &state;
    FollowerStatus &status;
    RecordObserver seen;
};

}
