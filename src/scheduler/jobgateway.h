// Accepts, cancels and reports jobs. Any gateway serves any job, because all state is in the store.
#pragma once

#include <memory>

#include "callerrequest.h"
#include "eventlog.h"
#include "metrics.h"
#include "nodesettings.h"
#include "ports.h"
#include "queueplacements.h"

namespace MangoCourse {

class JobGateway : public CallerService
{
public:
    // Creates placements of its own if none are passed.
    static Result<std::unique_ptr<JobGateway>> create(net::io_context &context, RecordStore &store, EventLog &log, Metrics &metrics,
        const NodeSettings &settings, std::shared_ptr<QueuePlacements> placements = nullptr);
    ~JobGateway() override;

    // Puts a configuration in force. Revisions that are not newer than the current one are ignored.
    void setConfig(std::shared_ptr<const FleetConfig> config);

    // Confirms that no configuration was published before this time, in boot time, that has not been put in force. A gateway whose configuration
    // has not been confirmed for too long neither accepts jobs nor denies queues. Without any confirmation the configuration does not expire.
    void setConfigCurrentAsOf(TimePoint asOf);

    // Records the outcome of a contact with the store, which readiness depends on.
    void noteStoreContact(bool isReachable);

    // Makes isReady() return false, so that callers are directed elsewhere. Requests are still served.
    void startDraining();

    // Appends the records that another process relays to this one; see receiveRelayedRecords().
    net::awaitable<HttpResponse> appendForOther(std::string body);

    net::awaitable<CallerReply> handle(CallerRequest request) override;
    bool isReady() const override;

private:
    class Private;
    explicit JobGateway(std::unique_ptr<Private> impl);
    std::unique_ptr<Private> d;
};

}
