// Batches records into few appends and settles answers that were lost.
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

// How far an append has come. Unknown: it may be in the log; the fold tells when it is.
enum class AppendState {
    Queued,
    Appended,
    NotAppended,
    Unknown,
};

// Shared by the one who waits and the appender.
struct AppendTicket {
    std::atomic<AppendState> state{AppendState::Queued};
};

// One record on its way to a stream.
struct PendingAppend {
    std::string stream;
    std::string payload;
    std::shared_ptr<AppendTicket> ticket;
};

// One duty runs it; any thread may submit.
class Appender
{
public:
    explicit Appender(std::chrono::milliseconds interval)
        : interval(interval)
        , ring(ringCapacity)
    {
    }

    // Returns the ticket, or nullptr where the ring is full: the record is then surely not appended.
    std::shared_ptr<AppendTicket> submit(const std::string &stream, const Record &record);

    // Appends batches at most once per interval until asked to stop.
    Result<void> run(const std::stop_token &stop, PlatformClient &platform);

    // Counts append calls made.
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
