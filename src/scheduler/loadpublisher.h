// Publishes the loads of the pools that this process owns.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "shardowner.h"
#include "streamreader.h"

namespace MangoCourse {

// Publishes the load of a pool while work queues there, every 100 ms at most, and once more when that has ended. Hands what earlier owners have
// published about run times on to the pools that this process takes over.
class LoadPublisher
{
public:
    using ListOwners = std::function<std::vector<std::shared_ptr<ShardOwner>>()>;

    LoadPublisher(net::io_context &context, RecordStore &store, EventLog &log, Metrics &metrics, ListOwners listOwners);

    // Publishes until stop().
    net::awaitable<void> run();
    void stop();

private:
    struct PoolState {
        std::int64_t token = 0;
        // The newest stored load says that work queues.
        bool isQueueing = false;
        // The load that an earlier owner has stored, if any, has been read.
        bool isSeeded = false;
    };

    net::awaitable<void> seedPools();
    net::awaitable<void> publish();
    void noteStored(const PoolLoad &load);

    net::io_context &context;
    RecordStore &store;
    EventLog &log;
    Metrics &metrics;
    ListOwners listOwners;
    StreamReader reader;
    std::map<ServiceId, PoolLoad> storedLoads;
    std::map<ServiceId, PoolState> pools;
    TimePoint nextSeedingAt{};
    bool isStopped = false;
};

}
