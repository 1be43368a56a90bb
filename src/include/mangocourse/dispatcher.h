// One gate's decisions: which request starts now, where, which waits, and which is refused as not run.
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

// One executor as the gate sees it.
struct DispatchExecutor {
    InstanceId instance;
    PoolId pool;
    int slots = 0;
    bool local = true;
    bool takesNewWork = true;
};

// One pool with the settings that bear on dispatch.
struct DispatchPool {
    PoolId pool;
    std::vector<ServiceId> services;
    std::vector<PoolId> lenders;
    int queueLimit = 0;
    int ejectPercent = 0;
};

// What a gate knows at one settings revision. `gates` is the number of live gates that share the data centre's executors.
struct DispatchView {
    std::vector<DispatchPool> pools;
    std::vector<DispatchExecutor> executors;
    int gates = 1;
    int retryPercent = 10;
};

// One request as admission sees it.
struct WorkRequest {
    ServiceId service;
    TeamId team;
    WorkClass workClass = WorkClass::Counter;
    TimePoint deadline;
    // Executors that this request has tried; they come last.
    std::vector<InstanceId> tried;
};

// Names one submitted request until it finishes or is cancelled.
using Ticket = std::uint64_t;

// Why a request is refused before it ran.
enum class RefuseReason {
    None,
    UnknownService,
    NoExecutor,
    QueueFull,
    WouldMissDeadline,
};

// Returns the wire spelling, such as "queue-full".
std::string_view toString(RefuseReason reason);

// The answer to submit(): started on an executor, waiting, or refused with an advice when to come back.
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

// A waiting request that may start now.
struct Started {
    Ticket ticket = 0;
    InstanceId instance;
};

// How an attempt ended, for the executor's record.
enum class AttemptResult {
    Succeeded,
    Failed,
    RefusedBusy,
    RefusedLeaving,
    Unreachable,
    Abandoned,
};

// Figures for state dumps and metrics.
struct DispatchStats {
    std::uint64_t submitted = 0;
    std::uint64_t started = 0;
    std::uint64_t refused = 0;
    std::uint64_t retries = 0;
    std::uint64_t ejections = 0;
    std::size_t waiting = 0;
    std::size_t running = 0;
};

// One executor's record, for state dumps.
struct ExecutorStats {
    InstanceId instance;
    PoolId pool;
    int running = 0;
    double limit = 0;
    bool takesNewWork = true;
    bool isEjected = false;
};

// Several gates share executors without talking: each starts from an equal share of the slots, raises its limit while work waits,
// and lowers it when an executor refuses. Not safe for concurrent use.
class Dispatcher
{
public:
    // Creates an empty dispatcher; `seed` fixes its random choices. Never fails today, but callers must check.
    static Result<Dispatcher> create(std::uint64_t seed);

    Dispatcher(Dispatcher &&other) noexcept;
    Dispatcher &operator=(Dispatcher &&other) noexcept;
    Dispatcher(const Dispatcher &) = delete;
    Dispatcher &operator=(const Dispatcher &) = delete;
    ~Dispatcher();

    // Replaces the view and returns the waiters that may start under the new one. Records of executors that stay are kept.
    std::vector<Started> updateView(const DispatchView &view, TimePoint now);

    // Starts, queues or refuses a request.
    Admission submit(const WorkRequest &request, TimePoint now);

    // Ends a started request and returns the waiters that may start in its place.
    std::vector<Started> finish(Ticket ticket, AttemptResult result, TimePoint now);

    // Drops a waiting request in constant time. Returns false where it has started already: it must then be finished.
    bool cancel(Ticket ticket);

    // Returns true where the retry budget allows another attempt, and takes it.
    bool tryRetry();

    // Marks an executor as leaving before the log says so, after it said so itself.
    void markLeaving(const InstanceId &instance, TimePoint now);

    // Lets time pass: ejections end, waiters may start.
    std::vector<Started> poll(TimePoint now);

    DispatchStats stats() const;
    std::vector<ExecutorStats> executors(TimePoint now) const;

private:
    class Private;
    explicit Dispatcher(std::unique_ptr<Private> impl);
    std::unique_ptr<Private> d;
};

}
