// Appends of a gateway to one partition, to the store or through the partition's appender; and the appender's side.
#pragma once

#include <functional>
#include <map>
#include <memory>

#include <mangocourse/submissionrelay.h>

#include "asiotypes.h"
#include "batchappender.h"
#include "connectionpool.h"
#include "eventlog.h"
#include "metrics.h"
#include "relaycodec.h"
#include "streamreader.h"

namespace MangoCourse {

// The addresses of the partitions' appenders, read from the store when they are needed.
class AppenderDirectory : public std::enable_shared_from_this<AppenderDirectory>
{
public:
    AppenderDirectory(net::io_context &context, RecordStore &store, EventLog &log);

    // Returns the address with the highest token; nullptr if none has been read.
    const AppenderAddress *find(std::int32_t partition) const;
    // Reads the addresses in the background, soon if that was done very recently.
    void requestRead();

private:
    void apply(const StoredRecord &record);

    net::io_context &context;
    EventLog &log;
    StreamReader reader;
    std::map<std::int32_t, AppenderAddress> addresses;
    bool isReading = false;
    TimePoint nextReadAt{};
};

// Dependencies that the relays of all partitions share.
struct RelayContext {
    net::io_context &context;
    RecordStore &store;
    EventLog &log;
    Metrics &metrics;
    // Name of this process.
    ProcessId process;
    std::shared_ptr<AppenderDirectory> directory;
};

// Has to outlive its appends, as each target of a BatchAppender does.
class SubmissionRelay : public AppendTarget
{
public:
    SubmissionRelay(const RelayContext &relay, std::int32_t partition);

    net::awaitable<TargetAnswer> append(std::vector<StoredRecord> records, AppendOrigin origin, std::chrono::milliseconds timeout) override;
    int maxConcurrentAppends() override;
    std::chrono::milliseconds expectedWait() override;
    std::chrono::milliseconds appendTime() const override;
    std::chrono::milliseconds retryAfter(std::size_t waitingRecords) override;

private:
    // Returns the route of the next append: the relay is used only if another process is known as the appender. Has the address read if it is needed.
    AppendRoute route();
    net::awaitable<TargetAnswer> appendDirectly(std::vector<StoredRecord> records, AppendOrigin origin, std::chrono::milliseconds timeout);
    // Returns nothing if the call proves that no record was stored; the relay is closed for a while then.
    net::awaitable<std::optional<TargetAnswer>> sendToAppender(std::vector<StoredRecord> records, AppenderAddress address, std::chrono::milliseconds timeout);
    std::shared_ptr<ConnectionPool> connectTo(const Endpoint &endpoint);
    // Ends the use of the address for that long, and has it read again.
    void abandon(std::chrono::milliseconds time, const AppenderAddress &address, const std::string &reason);
    void logRoute(AppendRoute next);
    void countRelayed(const std::vector<RecordAnswer> &records);

    RelayContext relay;
    std::int32_t partition;
    StoreTarget direct;
    RelayPolicy policy;
    AppendRoute lastRoute = AppendRoute::Direct;
    std::optional<Endpoint> connectedTo;
    std::shared_ptr<ConnectionPool> connections;
};

// Takes the records that other processes relay to this one.
struct RelayReceiver {
    net::io_context &context;
    Metrics &metrics;
    ProcessId process;
    std::int32_t partitions = 0;
    std::function<bool(const StoredRecord &)> isStorable;
    std::function<std::shared_ptr<BatchAppender>(std::int32_t partition)> appenderOf;
    // Reads the partition to its end, which settles earlier appends.
    std::function<void(std::int32_t partition)> startReading;
};

// Appends the records of the request's body and answers for each of them, at the latest when the request's time is over: the outcome of appends in progress
// is unknown then. Any status but 200 says that none was stored.
net::awaitable<HttpResponse> receiveRelayedRecords(RelayReceiver receiver, std::string body);

}
