// Admission control and placement at one gate: starts a request on an executor, queues it, or refuses it before it has run.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <mangocourse/clock.h>
#include <mangocourse/error.h>
#include <mangocourse/ids.h>
#include <mangocourse/verdict.h>
#include <mangocourse/workclass.h>

namespace MangoCourse {

// One executor as the settings and the instance listing describe it.
struct DispatchExecutor {
    InstanceId instance;
    PoolId pool;
    int slots = 0;
    // The executor is in the gate's data centre.
    bool isLocal = true;
    bool takesNewWork = true;
};

// One pool with the settings that affect dispatch.
struct DispatchPool {
    PoolId pool;
    std::vector<ServiceId> services;
    // Pools whose executors may also run this pool's requests, in order of preference.
    std::vector<PoolId> lenders;
    // Most waiting requests of one work class.
    int queueLimit = 0;
    // Most executors of the pool that may be ejected at a time, in percent.
    int ejectPercent = 0;
};

// The configuration of a gate at one settings revision. `gates` counts the live gates that share the executors of the data centre;
// `retryPercent` is the number of retries allowed per hundred requests.
struct DispatchView {
    std::vector<DispatchPool> pools;
    std::vector<DispatchExecutor> executors;
    int gates = 1;
    int retryPercent = 10;
};

// The properties of a request that admission depends on.
struct WorkRequest {
    ServiceId service;
    TeamId team;
    WorkClass workClass = WorkClass::Counter;
    TimePoint deadline;
    // Instances that earlier attempts have used. They are skipped when the request is submitted, but not once it has waited.
    std::vector<InstanceId> tried;
};

// Identifies a submitted request until it finishes or is cancelled.
using Ticket = std::uint64_t;

// Why a request is refused before it has run.
enum class RefuseReason {
    None,
    UnknownService,
    NoExecutor,
    QueueFull,
    WouldMissDeadline,
};

// Returns the wire spelling, such as "queue-full".
std::string_view toString(RefuseReason reason);

// The result of submit(). `instance` is set for a started request; `reason` and `retryAfter`, the time after which to retry, for a refused one.
struct Admission {
    enum class Kind {
        Started,
        Waiting,
        Refused,
    };
    Kind kind = Kind::Refused;
    Ticket ticket = 0;
    InstanceId instance;
    RefuseReason reason = RefuseReason::None;
    Duration retryAfter{};
};

// A waiting request that has been given a slot on an executor.
struct Started {
    Ticket ticket = 0;
    InstanceId instance;
};

// How an attempt ended. Updates the executor's concurrency limit, failure count and ejection.
enum class AttemptResult {
    Succeeded,
    Failed,
    RefusedBusy,
    RefusedLeaving,
    Unreachable,
    Abandoned,
};

// Counters for state dumps and metrics; `waiting` and `running` are current values.
struct DispatchStats {
    std::uint64_t submitted = 0;
    std::uint64_t started = 0;
    std::uint64_t refused = 0;
    std::uint64_t retries = 0;
    std::uint64_t ejections = 0;
    std::size_t waiting = 0;
    std::size_t running = 0;
};

// The state of one executor at this gate, for state dumps. `limit` is the concurrency limit.
struct ExecutorStats {
    InstanceId instance;
    PoolId pool;
    int running = 0;
    double limit = 0;
    bool takesNewWork = true;
    bool isEjected = false;
};

// Gates share executors without communicating: each one starts with an equal share of an executor's slots as its concurrency limit, raises the
// limit while requests wait, and lowers it when the executor refuses. Not safe for concurrent use.
class Dispatcher
{
public:
    // Creates an empty dispatcher; `seed` makes its random choices reproducible. Does not fail at present, but callers must check.
    static Result<Dispatcher> create(std::uint64_t seed);

    Dispatcher(Dispatcher &&other) noexcept;
    Dispatcher &operator=(Dispatcher &&other) noexcept;
    Dispatcher(const Dispatcher &) = delete;
    Dispatcher &operator=(const Dispatcher &) = delete;
    ~Dispatcher();

    // Replaces the configuration and returns the waiting requests that it lets start. Keeps the state of known executors.
    std::vector<Started> updateView(const DispatchView &view, TimePoint now);

    // Starts, queues or refuses a request. Requests of one work class never overtake those that already wait.
    Admission submit(const WorkRequest &request, TimePoint now);

    // Ends a started request and returns the waiting requests that start on the freed slot.
    std::vector<Started> finish(Ticket ticket, AttemptResult result, TimePoint now);

    // Removes a waiting request in constant time. Returns false when it has already started or is unknown; a started request must be finished.
    bool cancel(Ticket ticket);

    // Returns true when the retry budget allows another attempt, and charges it.
    bool tryRetry();

    // Stops new work on an executor that has announced that it is leaving, before the log shows it.
    void markLeaving(const InstanceId &instance, TimePoint now);

    // Returns the waiting requests that start because an ejection or a pause has ended.
    std::vector<Started> poll(TimePoint now);

    DispatchStats stats() const;
    std::vector<ExecutorStats> executors(TimePoint now) const;

private:
    class Private;
    explicit Dispatcher(std::unique_ptr<Private> impl);
    std::unique_ptr<Private> d;
};

}
