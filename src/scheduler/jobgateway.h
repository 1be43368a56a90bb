// Accepts, cancels and shows jobs. Any gateway serves any job; the store is all that they share.
#pragma once

#include <memory>

#include "callerrequest.h"
#include "eventlog.h"
#include "metrics.h"
#include "nodesettings.h"
#include "ports.h"

namespace MangoCourse {

class JobGateway : public CallerService
{
public:
    static Result<std::unique_ptr<JobGateway>> create(
        net::io_context &context, RecordStore &store, EventLog &log, Metrics &metrics, const NodeSettings &settings);
    ~JobGateway() override;

    // Puts a configuration in force. Older revisions than the current one are ignored.
    void setConfig(std::shared_ptr<const FleetConfig> config);

    // Tells of each contact with the store, good or bad.
    void noteStore(bool isReachable);

    // From now on the gateway says that it wants no further callers.
    void retire();

    net::awaitable<CallerReply> handle(CallerRequest request) override;
    bool isReady() const override;

private:
    class Private;
    explicit JobGateway(std::unique_ptr<Private> impl);
    std::unique_ptr<Private> d;
};

}
