// Publication of pool loads.
#include "loadpublisher.h"

#include <algorithm>

#include "clocks.h"
#include "planningduty.h"
#include "recordcodec.h"

namespace MangoCourse {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds publishInterval{100};
// A load is of no use to gateways when it arrives later.
constexpr milliseconds publishTimeout{1000};
constexpr milliseconds seedRetryDelay{500};

}

LoadPublisher::LoadPublisher(net::io_context &context, RecordStore &store, EventLog &log, Metrics &metrics, ListOwners listOwners)
    : context(context)
    , store(store)
    , log(log)
    , metrics(metrics)
    , listOwners(std::move(listOwners))
    , reader(context, store, Stream::Plan, loadPartition,
          StreamReader::Handlers{[this] {
                                     this->storedLoads.clear();
                                 },
              [this](const StoredRecord &record) {
                  if (Result<PoolLoad> load = decodePoolLoad(record.value)) {
                      this->storedLoads[load->service] = std::move(*load);
                  }
              }})
{
}

net::awaitable<void> LoadPublisher::seedPools()
{
    const Result<void> read = co_await this->reader.catchUp();
    this->nextSeedingAt = bootNow() + seedRetryDelay;
    if (!read) {
        co_return;
    }
    const std::vector<std::shared_ptr<ShardOwner>> owners = this->listOwners();
    for (auto &[service, pool] : this->pools) {
        const auto stored = this->storedLoads.find(service);
        if (!pool.isSeeded && stored != this->storedLoads.end()) {
            pool.isQueueing = pool.isQueueing || stored->second.isQueueing;
            for (const std::shared_ptr<ShardOwner> &owner : owners) {
                owner->seedRunTimes(stored->second);
            }
        }
        pool.isSeeded = true;
    }
}

void LoadPublisher::noteStored(const PoolLoad &load)
{
    PoolState &pool = this->pools[load.service];
    this->metrics.add("mangocourse_pool_loads_total", "Loads of pools that were published.", "service=\"" + load.service.value + "\"");
    if (std::exchange(pool.isQueueing, load.isQueueing) != load.isQueueing) {
        std::int64_t ahead = load.lateRunning;
        for (const auto &[priority, work] : load.workAhead) {
            ahead += work;
        }
        this->log.emit(load.isQueueing ? "queueing_began" : "queueing_ended",
            {{"service", load.service.value}, {"token", load.token}, {"cpu", load.capacity.cpu}, {"work", ahead}, {"inflow", load.inflow}},
            EventPriority::Essential);
    }
}

net::awaitable<void> LoadPublisher::publish()
{
    std::vector<StoredRecord> records;
    std::vector<PoolLoad> loads;
    std::map<ServiceId, PoolState> current;
    for (const std::shared_ptr<ShardOwner> &owner : this->listOwners()) {
        for (PoolLoad &load : owner->loads()) {
            const auto known = this->pools.find(load.service);
            const bool isKnown = known != this->pools.end() && known->second.token == load.token;
            const PoolState &pool = current[load.service] = isKnown ? known->second : PoolState{load.token, false, false};
            if (load.isQueueing || pool.isQueueing) {
                records.push_back(StoredRecord{load.service.value, encodePoolLoad(load), -1});
                loads.push_back(std::move(load));
            }
        }
    }
    this->pools = std::move(current);
    if (records.empty()) {
        co_return;
    }
    // A load that a successor's load overtakes is told from it by its lower token, so the append needs no fence.
    const Result<void> appended = co_await this->store.append(Stream::Plan, loadPartition, std::move(records), std::nullopt, publishTimeout);
    if (appended) {
        for (const PoolLoad &load : loads) {
            this->noteStored(load);
        }
    } else {
        this->log.emit("loads_unpublished", {{"pools", std::int64_t(loads.size())}, {"reason", describe(appended.error())}});
    }
}

net::awaitable<void> LoadPublisher::run()
{
    while (!this->isStopped) {
        co_await sleepFor(this->context, publishInterval);
        co_await this->publish();
        const bool isSeedingDue = bootNow() >= this->nextSeedingAt && std::any_of(this->pools.begin(), this->pools.end(), [](const auto &entry) {
            return !entry.second.isSeeded;
        });
        if (isSeedingDue) {
            co_await this->seedPools();
        }
    }
}

void LoadPublisher::stop()
{
    this->isStopped = true;
}

}
