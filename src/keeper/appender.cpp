// Group commit towards the platform's log.
#include "appender.h"

#include <map>
#include <thread>

#include <spdlog/spdlog.h>

namespace MangoCourse {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t largestBatch = 512;
constexpr std::chrono::milliseconds stopPoll = 200ms;
constexpr std::chrono::milliseconds retryPause = 200ms;
// How long an append whose answer was lost is repeated before its waiters are told that it is unknown.
constexpr std::chrono::milliseconds doubtLimit = 10s;

void settle(const std::vector<PendingAppend> &batch, AppendState state)
{
    for (const PendingAppend &pending : batch) {
        pending.ticket->state = state;
    }
}

// Refusals and failed connects say that nothing was appended; anything else leaves doubt.
bool isSurelyNotAppended(const Error &error)
{
    return error.code == ErrorCode::Unavailable || (error.code == ErrorCode::Refused && error.message.starts_with("503"));
}

}

std::shared_ptr<AppendTicket> Appender::submit(const std::string &stream, const Record &record)
{
    auto ticket = std::make_shared<AppendTicket>();
    if (!this->ring.tryPush(PendingAppend{stream, encodeRecord(record), ticket})) {
        return nullptr;
    }
    return ticket;
}

std::vector<PendingAppend> Appender::takeBatch()
{
    std::vector<PendingAppend> batch;
    while (batch.size() < largestBatch) {
        std::optional<PendingAppend> pending = this->ring.tryPop();
        if (!pending) {
            break;
        }
        batch.push_back(std::move(*pending));
    }
    return batch;
}

void Appender::appendStream(const std::stop_token &stop, PlatformClient &platform, const std::string &stream, const std::vector<PendingAppend> &batch)
{
    std::vector<std::string> payloads;
    for (const PendingAppend &pending : batch) {
        payloads.push_back(pending.payload);
    }
    const TimePoint started = SteadyClock().now();
    bool inDoubt = false;
    while (true) {
        ++this->appendCount;
        const Result<Offset> offset = platform.append(stream, payloads);
        if (offset) {
            settle(batch, AppendState::Appended);
            return;
        }
        if (!inDoubt && isSurelyNotAppended(offset.error())) {
            spdlog::warn("event=append_refused stream={} records={} reason={}", stream, batch.size(), describe(offset.error()));
            settle(batch, AppendState::NotAppended);
            return;
        }
        // The same records with the same ids again: the fold drops those that were there already.
        inDoubt = true;
        if (stop.stop_requested() || SteadyClock().now() - started > doubtLimit) {
            spdlog::warn("event=append_unknown stream={} records={} reason={}", stream, batch.size(), describe(offset.error()));
            settle(batch, AppendState::Unknown);
            return;
        }
        std::this_thread::sleep_for(retryPause);
    }
}

Result<void> Appender::run(const std::stop_token &stop, PlatformClient &platform)
{
    while (!stop.stop_requested()) {
        this->ring.waitForItem(stopPoll);
        std::map<std::string, std::vector<PendingAppend>> byStream;
        for (PendingAppend &pending : this->takeBatch()) {
            byStream[pending.stream].push_back(std::move(pending));
        }
        if (byStream.empty()) {
            continue;
        }
        for (const auto &[stream, batch] : byStream) {
            this->appendStream(stop, platform, stream, batch);
        }
        // The first record of a quiet time goes at once; those that follow gather for an interval.
        std::this_thread::sleep_for(this->interval);
    }
    return {};
}

}
