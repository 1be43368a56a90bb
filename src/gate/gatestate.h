// State that the duties of a gate share.
#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <unordered_map>

#include <mangocourse/dispatcher.h>
#include <mangocourse/fleetstate.h>
#include <mangocourse/guarded.h>
#include <mangocourse/processsettings.h>
#include <mangocourse/supervisor.h>

#include "asiotypes.h"
#include "metrics.h"
#include "unsettledrecords.h"
#include "upstreampool.h"

namespace MangoCourse {

// Definition and settings of one service at one settings revision.
struct ServiceView {
    PoolId pool;
    WorkClass workClass = WorkClass::Counter;
    bool idempotent = true;
    std::chrono::milliseconds timeout{};
};

// An immutable view of the fleet at one offset. A request holds one view from its arrival to its response.
struct GateView {
    Offset offset = 0;
    Revision revision = 0;
    std::map<ServiceId, ServiceView> services;
    std::unordered_map<InstanceId, Endpoint> endpoints;
};

// A queued request, waiting on its serving thread to be started.
struct Waiter {
    explicit Waiter(net::io_context &context)
        : context(context)
        , timer(context)
    {
    }
    net::io_context &context;
    net::steady_timer timer;
    bool started = false;
    InstanceId instance;
};

// State owned by one serving thread.
struct ServingThread {
    explicit ServingThread(int number)
        : number(number)
        , context(1)
        , upstreams(context)
    {
    }
    int number;
    net::io_context context;
    UpstreamPool upstreams;
    // Connections that are idle between two requests. Their reads are cancelled at a graceful stop.
    std::map<const void *, tcp::socket *> idleSessions;
};

// Thread-safe dispatcher that resumes queued requests on their own serving threads.
class SharedDispatcher
{
public:
    static Result<std::unique_ptr<SharedDispatcher>> create(std::uint64_t seed);

    explicit SharedDispatcher(Dispatcher created)
        : dispatcher(std::move(created))
    {
    }

    // Admits a request: starts it at once or queues it until its deadline. A refused admission carries the reason.
    net::awaitable<Admission> admit(net::io_context &context, WorkRequest request);

    void finish(Ticket ticket, AttemptResult result);
    void updateView(const DispatchView &view);
    bool tryRetry();
    void poll();

    DispatchStats stats() const;
    std::vector<ExecutorStats> executors() const;

private:
    void wake(const std::vector<Started> &started);

    mutable std::mutex mutex;
    Dispatcher dispatcher;
    std::unordered_map<Ticket, std::shared_ptr<Waiter>> waiters;
    SteadyClock clock;
};

struct GateState {
    explicit GateState(ProcessSettings given)
        : settings(std::move(given))
    {
    }

    ProcessSettings settings;
    std::unique_ptr<SharedDispatcher> dispatcher;
    std::vector<std::unique_ptr<ServingThread>> servingThreads;
    Metrics metrics;
    SteadyClock clock;
    std::atomic<bool> stopping{false};
    std::atomic<int> inFlight{0};
    std::atomic<int> callers{0};
    std::atomic<std::uint64_t> requestCounter{0};
    std::atomic<int> keeperIndex{0};
    std::atomic<bool> keeperReachable{false};
    std::atomic<int> liveGates{1};
    std::atomic<int> runningJobs{0};
    // Jobs whose submission is in progress, or ended without a verdict.
    Guarded<UnsettledRecords> unsettledJobs;

    std::shared_ptr<const GateView> view() const
    {
        const std::scoped_lock lock(this->viewMutex);
        return this->currentView;
    }
    void setView(std::shared_ptr<const GateView> next)
    {
        const std::scoped_lock lock(this->viewMutex);
        this->currentView = std::move(next);
    }

    // Returns an id that is unique across all gates and across restarts of this gate.
    std::string newRequestId();

    // Returns the address of the keeper that this gate follows at present.
    Endpoint currentKeeper() const
    {
        const auto index = static_cast<std::size_t>(this->keeperIndex.load());
        return this->settings.keepers.at(index % this->settings.keepers.size());
    }

private:
    mutable std::mutex viewMutex;
    std::shared_ptr<const GateView> currentView = std::make_shared<const GateView>();
    std::string incarnation = makeIncarnation();
    static std::string makeIncarnation();
};

}
