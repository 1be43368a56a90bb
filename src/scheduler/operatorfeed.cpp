// Applies the operator's records.
#include "operatorfeed.h"

#include "event.h"

namespace MangoCourse {

namespace {

using std::chrono::milliseconds;

// A read proves what was stored when it was sent. Just before an answer, the configuration has thus been confirmed up to two polls ago, which must be
// less than the gateway's maximum age.
constexpr milliseconds feedPollTimeout{500};
constexpr milliseconds retryDelay{150};
// Records of one key that are kept from one read for the case that newer ones cannot be decoded.
constexpr std::size_t maxUndecodedRecords = 8;

}

OperatorFeed::OperatorFeed(net::io_context &context, PlatformAdapter &platform, EventLog &log, Handlers handlers)
    : context(context)
    , platform(platform)
    , log(log)
    , handlers(std::move(handlers))
    , reader(context, platform.store(), Stream::Operator, 0,
          StreamReader::Handlers{[] {
                                 },
              [this](const StoredRecord &record) {
                  // Only the newest readable record of each key counts. Older ones are not decoded, because configurations are large.
                  std::vector<StoredRecord> &records = this->undecodedRecords[record.key];
                  if (records.size() == maxUndecodedRecords) {
                      records.erase(records.begin());
                  }
                  records.push_back(record);
              }})
{
}

bool OperatorFeed::apply(const StoredRecord &record)
{
    if (record.value.empty()) {
        return true;
    }
    Result<OperatorRecord> decoded = this->platform.decodeOperatorRecord(record.key, record.value);
    if (!decoded) {
        this->log.emit(
            "operator_record_unreadable", {{"key", record.key}, {"offset", record.offset}, {"reason", describe(decoded.error())}}, EventPriority::Essential);
        return false;
    }
    if (auto *config = std::get_if<FleetConfig>(&*decoded)) {
        if (this->currentConfig && this->currentConfig->revision >= config->revision) {
            return true;
        }
        this->log.emit("config_in_force", {{"revision", config->revision}, {"offset", record.offset}, {"queues", std::int64_t(config->queues.size())}},
            EventPriority::Essential);
        this->currentConfig = std::make_shared<const FleetConfig>(std::move(*config));
        this->handlers.onConfig(this->currentConfig);
    } else if (auto *wave = std::get_if<MaintenanceWave>(&*decoded)) {
        this->log.emit("wave_requested",
            {{"wave", wave->id.value}, {"machines", std::int64_t(wave->machines.size())}, {"parallel", std::int64_t(wave->parallel)},
                {"duration_ms", std::int64_t(wave->duration.count())}},
            EventPriority::Essential);
        MaintenanceWave &knownWave = this->knownWaves[wave->id];
        knownWave = std::move(*wave);
        this->handlers.onWave(knownWave);
    }
    return true;
}

net::awaitable<void> OperatorFeed::run()
{
    bool wasReachable = true;
    while (!this->isStopped) {
        const Result<void> read = co_await this->reader.follow(feedPollTimeout);
        for (const auto &[key, records] : std::exchange(this->undecodedRecords, {})) {
            auto record = records.rbegin();
            while (record != records.rend() && !this->apply(*record)) {
                ++record;
            }
        }
        const bool isReachable = read.has_value();
        if (isReachable != wasReachable) {
            this->log.emit(
                isReachable ? "store_regained" : "store_lost", {{"reason", isReachable ? std::string() : describe(read.error())}}, EventPriority::Essential);
            wasReachable = isReachable;
        }
        this->handlers.onStoreContact(isReachable);
        this->handlers.onCurrent(this->reader.currentAsOf());
        if (!isReachable) {
            co_await sleepFor(this->context, retryDelay);
        }
    }
}

void OperatorFeed::stop()
{
    this->isStopped = true;
}

std::shared_ptr<const FleetConfig> OperatorFeed::config() const
{
    return this->currentConfig;
}

std::map<WaveId, MaintenanceWave> OperatorFeed::waves() const
{
    return this->knownWaves;
}

}
