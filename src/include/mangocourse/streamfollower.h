// Applies the records of one stream to a state; restores a snapshot if retention has deleted the records that come next.
#pragma once

#include <atomic>
#include <functional>
#include <string>
#include <vector>

#include <mangocourse/guarded.h>
#include <mangocourse/log.h>
#include <mangocourse/record.h>

namespace MangoCourse {

// Status of a follower, for state dumps and readiness. `hasGap` means that records are gone that no snapshot covers, `end` is the offset of
// the stream's last record, `snapshotOffset` that of the last snapshot read or written.
struct FollowerStatus {
    std::atomic<bool> isReachable{false};
    std::atomic<bool> caughtUp{false};
    std::atomic<bool> hasGap{false};
    std::atomic<Offset> end{0};
    std::atomic<Offset> snapshotOffset{0};
};

// Decodes a payload and applies the record. Skips an undecodable one, as every other reader does.
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

// State is FleetState or JobLedger. One thread calls step() in a loop.
template<typename State>
class StreamFollower
{
public:
    // Called with the offset and payload of each applied record.
    using RecordObserver = std::function<void(Offset, const std::string &)>;

    StreamFollower(std::string stream, Guarded<State> &state, FollowerStatus &status, RecordObserver onRecord)
        : stream(std::move(stream))
        , state(state)
        , status(status)
        , onRecord(std::move(onRecord))
    {
    }

    // Reads one batch and applies it. Waits up to `wait` for new records once it has caught up. Returns the log's error, such as
    // Unavailable or Timeout, if the log cannot be read, and Gap if records are gone that no snapshot covers.
    template<Log L>
    Result<void> step(L &log, std::chrono::milliseconds wait)
    {
        const Offset after = this->offset();
        const Result<LogBatch> batch = log.read(this->stream, after, maxBatchRecords, this->status.caughtUp ? wait : std::chrono::milliseconds(0));
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

    // Applies records in order, from the log or from a peer. Ignores a record that does not directly follow the current offset.
    void apply(const std::vector<LogBatch::Entry> &entries)
    {
        if (entries.empty()) {
            return;
        }
        this->state.write([&](State &current) {
            for (const LogBatch::Entry &entry : entries) {
                if (entry.offset == current.offset() + 1) {
                    applyPayload(current, entry.offset, entry.payload);
                    this->onRecord(entry.offset, entry.payload);
                }
            }
        });
    }

    // Replaces the state with a newer snapshot. Ignores an older one, so that the offset never goes back.
    void replace(State snapshot)
    {
        this->state.write([&snapshot](State &current) {
            if (snapshot.offset() > current.offset()) {
                current = std::move(snapshot);
            }
        });
    }

    Offset offset() const
    {
        return this->state.read([](const State &current) {
            return current.offset();
        });
    }

    // Returns the name of the stream that stores this stream's snapshots.
    std::string snapshotStreamName() const
    {
        return this->stream + "-snapshots";
    }

    static constexpr int maxBatchRecords = 2000;

private:
    template<Log L>
    Result<void> restore(L &log, Offset oldest)
    {
        const Result<LogBatch> newest = log.readNewest(this->snapshotStreamName());
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
    RecordObserver onRecord;
};

}
