// Group commit to the platform's log.
#include "appender.h"

#include <map>
#include <thread>

#include <spdlog/spdlog.h>

namespace MangoCourse {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t maxBatchRecords = 512;
constexpr std::chrono::milliseconds stopPollInterval = 200ms;
constexpr std::chrono::milliseconds retryDelay = 200ms;
// An append whose answer was lost is retried for this time before its state becomes Unknown.
constexpr std::chrono::milliseconds lostAnswerRetryTimeout = 10s;

void setState(const std::vector<PendingAppend> &batch, AppendState state)
{
    for (const PendingAppend &pending : batch) {
        pending.ticket->state = state;
    }
}

// A failed connect or a 503 means that nothing was appended. After any other error the records may be in the log.
bool isDefinitelyNotAppended(const Error &error)
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
    while (batch.size() < maxBatchRecords) {
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
    bool mayBeAppended = false;
    while (true) {
        ++this->appendCount;
        const Result<Offset> offset = platform.append(stream, payloads);
        if (offset) {
            setState(batch, AppendState::Appended);
            return;
        }
        if (!mayBeAppended && isDefinitelyNotAppended(offset.error())) {
            spdlog::warn("event=append_refused stream={} records={} reason={}", stream, batch.size(), describe(offset.error()));
            setState(batch, AppendState::NotAppended);
            return;
        }
        // The retry sends the same records with the same ids, and followers ignore ids that they have already applied.
        mayBeAppended = true;
        if (stop.stop_requested() || SteadyClock().now() - started > lostAnswerRetryTimeout) {
            spdlog::warn("event=append_unknown stream={} records={} reason={}", stream, batch.size(), describe(offset.error()));
            setState(batch, AppendState::Unknown);
            return;
        }
        std::this_thread::sleep_for(retryDelay);
    }
}

Result<void> Appender::run(const std::stop_token &stop, PlatformClient &platform)
{
    while (!stop.stop_requested()) {
        this->ring.waitForItem(stopPollInterval);
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
        // The first record after an idle time is appended at once; the records that follow are collected for an interval.
        std::this_thread::sleep_for(this->interval);
    }
    return {};
}

}
