// Follows the partition of the pool loads.
#include "loadview.h"

#include <algorithm>

#include "clocks.h"
#include "planningduty.h"
#include "recordcodec.h"

namespace MangoCourse {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds readInterval{250};
// Delay after a read that took longer, so that a slow store gets no read after another.
constexpr milliseconds minReadDelay{125};
// Reading goes on for this long after the last submission, so that a steady trickle always finds a current view.
constexpr milliseconds followTime{3000};

}

LoadView::LoadView(net::io_context &context, RecordStore &store, EventLog &log)
    : context(context)
    , log(log)
    , reader(context, store, Stream::Plan, loadPartition,
          StreamReader::Handlers{[this] {
                                     this->knownUpTo.reset();
                                     this->control.reset();
                                 },
              [this](const StoredRecord &record) {
                  this->apply(record);
              }})
{
}

std::shared_ptr<LoadView> LoadView::create(net::io_context &context, RecordStore &store, EventLog &log)
{
    return std::shared_ptr<LoadView>(new LoadView(context, store, log));
}

void LoadView::apply(const StoredRecord &record)
{
    if (record.value.empty()) {
        return;
    }
    const Result<PoolLoad> load = decodePoolLoad(record.value);
    if (!load) {
        this->log.emit("load_unreadable", {{"key", record.key}, {"offset", record.offset}, {"reason", describe(load.error())}}, EventPriority::Essential);
        return;
    }
    // The clocks of two processes may differ, but a load that the previous read did not deliver is not older than that read.
    const TimePoint now = bootNow();
    Duration age = std::max(Duration::zero(), std::chrono::duration_cast<Duration>(wallNow() - load->at));
    if (this->knownUpTo) {
        age = std::min<Duration>(age, now - *this->knownUpTo);
    }
    this->control.setLoad(*load, now - age);
}

net::awaitable<void> LoadView::follow()
{
    while (bootNow() - this->lastSubmissionAt <= followTime) {
        const TimePoint startedAt = bootNow();
        this->knownUpTo = this->reader.isLoaded() ? std::optional(this->reader.currentAsOf()) : std::nullopt;
        const Result<void> read = co_await this->reader.catchUp();
        if (read) {
            this->control.setCurrentAsOf(this->reader.currentAsOf());
        }
        if (read.has_value() != this->wasRead) {
            this->wasRead = read.has_value();
            this->log.emit(
                this->wasRead ? "loads_read" : "loads_unread", {{"reason", this->wasRead ? std::string() : describe(read.error())}}, EventPriority::Essential);
        }
        const auto elapsed = std::chrono::duration_cast<milliseconds>(bootNow() - startedAt);
        co_await sleepFor(this->context, std::max(readInterval - elapsed, minReadDelay));
    }
    this->isFollowing = false;
}

void LoadView::noteSubmission()
{
    this->lastSubmissionAt = bootNow();
    if (this->isFollowing) {
        return;
    }
    this->isFollowing = true;
    net::co_spawn(
        this->context,
        [self = this->shared_from_this()]() -> net::awaitable<void> {
            co_await self->follow();
        },
        net::detached);
}

AdmissionDecision LoadView::decide(const JobDemand &demand, TimePoint now)
{
    return this->control.decide(demand, now);
}

}
