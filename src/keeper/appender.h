// Appends records to the log in batches and retries appends whose answer was lost.
#pragma once

#include <atomic>
#include <memory>
#include <stop_token>
#include <string>

#include <mangocourse/clock.h>
#include <mangocourse/record.h>
#include <mangocourse/ring.h>

#include "platformclient.h"

namespace MangoCourse {

// State of an append. Unknown means that the record may be in the log; its verdict appears once the follower has applied it.
enum class AppendState {
    Queued,
    Appended,
    NotAppended,
    Unknown,
};

// Shared by the submitter that waits and the appender.
struct AppendTicket {
    std::atomic<AppendState> state{AppendState::Queued};
};

// A record that is queued for appending to a stream.
struct PendingAppend {
    std::string stream;
    std::string payload;
    std::shared_ptr<AppendTicket> ticket;
};

// Group commit of records. submit() may be called from any thread, run() from one thread only.
class Appender
{
public:
    explicit Appender(std::chrono::milliseconds interval)
        : interval(interval)
        , ring(ringCapacity)
    {
    }

    // Queues a record and returns its ticket. Returns nullptr if the ring is full; the record is not appended then.
    std::shared_ptr<AppendTicket> submit(const std::string &stream, const Record &record);

    // Appends at most one batch per interval until stop is requested.
    Result<void> run(const std::stop_token &stop, PlatformClient &platform);

    // Returns the number of append calls made, retries included.
    std::uint64_t appends() const
    {
        return this->appendCount;
    }

    static constexpr std::size_t ringCapacity = 4096;

private:
    std::vector<PendingAppend> takeBatch();
    void appendStream(const std::stop_token &stop, PlatformClient &platform, const std::string &stream, const std::vector<PendingAppend> &batch);

    std::chrono::milliseconds interval;
    MpscRing<PendingAppend> ring;
    std::atomic<std::uint64_t> appendCount{0};
};

}
