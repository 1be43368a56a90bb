// Requests to the placement policy on behalf of all owners of one process.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "event.h"
#include "shardowner.h"

namespace MangoCourse {

// Asks the policy one request at a time, as it answers the requests of one process in turn. Which step is asked about, and which executors are named, is
// chosen when the turn begins.
class PolicyDuty : public std::enable_shared_from_this<PolicyDuty>
{
public:
    using ListOwners = std::function<std::vector<std::shared_ptr<ShardOwner>>()>;

    // `wanted` is notified when an owner may have a step to ask about. It must outlive the duty.
    static std::shared_ptr<PolicyDuty> create(
        net::io_context &context, PolicyPort &policy, EventLog &log, Metrics &metrics, Event &wanted, ListOwners listOwners);
    ~PolicyDuty();

    void start();
    // Begins no further request. One that is in progress goes on to its answer or its time-out.
    void stop();

private:
    class Private;
    explicit PolicyDuty(std::unique_ptr<Private> impl);
    std::unique_ptr<Private> d;
};

}
