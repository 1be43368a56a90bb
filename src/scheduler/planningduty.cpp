// Loads the planner's state, follows the pools' reports, gives orders.
#include "planningduty.h"

#include "clocks.h"
#include "event.h"
#include "recordcodec.h"
#include "streamreader.h"

namespace MangoCourse {

namespace {

using std::chrono::milliseconds;

constexpr const char *producerName = "planner";
constexpr milliseconds appendLimit{1000};
constexpr milliseconds retryPause{120};
// How long the duty waits for news of the pools.
constexpr milliseconds reportWait{250};
constexpr milliseconds planPause{20};
// The list of machines is read this often while something moves, and else.
constexpr milliseconds busyListInterval{450};
constexpr milliseconds calmListInterval{1500};
// Orders under way at a time: a burst wants many machines at once.
constexpr std::size_t orderLanes = 12;
// An order that could not be given within this time of its plan is planned anew.
constexpr milliseconds orderPatience{700};

}

class PlanningDuty::Private
{
public:
    Private(
        net::io_context &context, PlatformAdapter &platform, EventLog &log, const OperatorFeed &feed, std::int64_t token, std::optional<SeenOrders> ordersSeen)
        : context(context)
        , platform(platform)
        , log(log)
        , feed(feed)
        , token(token)
        , ordersSeen(std::move(ordersSeen))
    {
    }

    net::io_context &context;
    PlatformAdapter &platform;
    EventLog &log;
    const OperatorFeed &feed;
    std::int64_t token;
    std::optional<SeenOrders> ordersSeen;
    std::int64_t sequence = 0;
    bool isStopped = false;
    TimePoint horizon{};
    TimePoint listedAt{};
    Revision plannedRevision = 0;
    PlannerState saved;
    std::unique_ptr<FleetPlanner> planner;
    std::unique_ptr<StreamReader> reports;
    std::map<WaveId, bool> told;
    std::map<ServiceId, std::pair<std::int32_t, std::int32_t>> notedNeeds;

    bool isOver() const
    {
        return this->isStopped;
    }
    net::awaitable<bool> append(std::vector<StoredRecord> records);
    net::awaitable<bool> load();
    net::awaitable<void> readMachines();
    net::awaitable<void> step();
    net::awaitable<bool> save();
    net::awaitable<void> tellOperator();
    net::awaitable<void> maintain(Evacuation order);
    net::awaitable<void> move(Evacuation order);
    net::awaitable<void> give(Evacuation order, TimePoint plannedAt);
    // Gives the orders, several at a time, and returns once all have their outcome.
    net::awaitable<void> giveOrders(PlannerOrders orders, TimePoint plannedAt);
    void noteNeeds();
    void noteOutcome(const char *event, const Evacuation &order, MachineOutcome outcome);
    bool mayOrder(TimePoint plannedAt) const;
    std::map<MachineId, TimePoint> machinesOfEarlierPlanner() const;
};

bool PlanningDuty::Private::mayOrder(TimePoint plannedAt) const
{
    const TimePoint now = bootNow();
    return now < this->horizon && now - plannedAt < orderPatience && !this->isStopped;
}

std::map<MachineId, TimePoint> PlanningDuty::Private::machinesOfEarlierPlanner() const
{
    // Recorded before the order is given, which happens within the patience.
    const milliseconds hold = this->platform.settings().planLease + orderPatience;
    std::map<MachineId, TimePoint> heldUntil;
    if (!this->ordersSeen) {
        return heldUntil;
    }
    for (const auto &[machine, at] : this->saved.orderedAt) {
        const auto seen = this->ordersSeen->find(machine);
        const bool isThatOrder = seen != this->ordersSeen->end() && seen->second.recordedAt == at;
        heldUntil[machine] = (isThatOrder ? seen->second.seenAt : bootNow()) + hold;
    }
    return heldUntil;
}

net::awaitable<bool> PlanningDuty::Private::append(std::vector<StoredRecord> records)
{
    while (!this->isStopped) {
        const ProducerStamp stamp{producerName, this->token, this->sequence};
        const Result<void> appended = co_await this->platform.store().append(Stream::Plan, plannerPartition, records, stamp, appendLimit);
        if (appended) {
            ++this->sequence;
            co_return true;
        }
        if (appended.error().code == ErrorCode::Conflict) {
            this->log.emit("planning_superseded", {{"token", this->token}, {"reason", appended.error().message}}, EventPriority::Essential);
            this->isStopped = true;
            co_return false;
        }
        co_await sleepFor(this->context, retryPause);
    }
    co_return false;
}

net::awaitable<bool> PlanningDuty::Private::load()
{
    std::vector<StoredRecord> none;
    const bool isFenceSet = co_await this->append(none);
    if (!isFenceSet) {
        co_return false;
    }
    const Result<StreamBatch> batch = co_await this->platform.store().readSnapshot(Stream::Plan, plannerPartition);
    if (!batch) {
        co_return false;
    }
    for (const StoredRecord &record : batch->records) {
        if (record.key != plannerKey) {
            continue;
        }
        if (Result<PlannerState> state = decodePlannerState(record.value)) {
            this->saved = std::move(*state);
        }
    }
    Result<std::unique_ptr<FleetPlanner>> planner = FleetPlanner::create(this->platform.settings().planner, this->saved, this->machinesOfEarlierPlanner());
    if (!planner) {
        co_return false;
    }
    this->planner = std::move(*planner);
    co_return true;
}

net::awaitable<void> PlanningDuty::Private::readMachines()
{
    const TimePoint now = bootNow();
    const milliseconds interval = this->planner->hasPendingWork() ? busyListInterval : calmListInterval;
    if (now - this->listedAt < interval) {
        co_return;
    }
    this->listedAt = now;
    const Result<std::vector<MachineInfo>> machines = co_await this->platform.machines()->list();
    if (machines) {
        this->planner->setMachines(*machines, bootNow());
    } else {
        this->log.emit("machines_unknown", {{"reason", describe(machines.error())}}, EventPriority::Essential);
    }
}

net::awaitable<bool> PlanningDuty::Private::save()
{
    if (this->planner->state() == this->saved) {
        co_return true;
    }
    const PlannerState state = this->planner->state();
    std::vector<StoredRecord> records{StoredRecord{plannerKey, encodePlannerState(state), -1}};
    const bool isDurable = co_await this->append(std::move(records));
    if (isDurable) {
        this->saved = state;
    }
    co_return isDurable;
}

net::awaitable<void> PlanningDuty::Private::tellOperator()
{
    for (const auto &[id, wave] : this->saved.waves) {
        const auto told = this->told.find(id);
        if (told != this->told.end() && told->second == wave.isCompleted) {
            continue;
        }
        std::vector<StoredRecord> records{this->platform.encodeWaveStatus(id, wave.isCompleted)};
        const Result<void> appended = co_await this->platform.store().append(Stream::Status, 0, std::move(records), std::nullopt, appendLimit);
        if (!appended) {
            co_return;
        }
        this->told[id] = wave.isCompleted;
        this->log.emit(
            "wave_status", {{"wave", id.value}, {"completed", wave.isCompleted}, {"begun", std::int64_t(wave.startedMachines.size())}}, EventPriority::Essential);
    }
}

void PlanningDuty::Private::noteNeeds()
{
    for (const PoolNeed &need : this->planner->needs()) {
        const std::pair figures(need.needed, need.size);
        if (this->notedNeeds[need.service] == figures) {
            continue;
        }
        this->notedNeeds[need.service] = figures;
        this->log.emit("pool_need",
            {{"service", need.service.value}, {"needed", std::int64_t(need.needed)}, {"size", std::int64_t(need.size)}, {"inflow", need.inflow},
                {"backlog", need.backlog}, {"leaving", std::int64_t(need.leaving)}, {"unreachable", std::int64_t(need.unreachable)},
                {"report_age_ms", std::int64_t(need.reportAge.count())}});
    }
}

void PlanningDuty::Private::noteOutcome(const char *event, const Evacuation &order, MachineOutcome outcome)
{
    this->log.emit(event,
        {{"machine", order.machine.value}, {"wave", order.wave.value}, {"target", order.target.value}, {"token", this->token}, {"outcome", toString(outcome)}},
        EventPriority::Essential);
    if (outcome == MachineOutcome::Fenced) {
        this->isStopped = true;
    }
}

net::awaitable<void> PlanningDuty::Private::maintain(Evacuation order)
{
    const MachineOutcome outcome = co_await this->platform.machines()->maintain(order.machine, order.wave, this->token);
    this->noteOutcome("machine_maintained", order, outcome);
    const bool isDone = outcome == MachineOutcome::Done || outcome == MachineOutcome::NotInWave;
    this->planner->onMaintenanceOutcome(order, isDone, outcome == MachineOutcome::Unknown, bootNow());
    this->listedAt = TimePoint{};
}

net::awaitable<void> PlanningDuty::Private::move(Evacuation order)
{
    const MachineOutcome outcome = co_await this->platform.machines()->move(order.machine, order.target, this->token);
    this->noteOutcome("machine_moved", order, outcome);
    this->planner->onMoveOutcome(order, outcome == MachineOutcome::Done, outcome == MachineOutcome::Unknown, bootNow());
}

net::awaitable<void> PlanningDuty::Private::give(Evacuation order, TimePoint plannedAt)
{
    const bool isMaintenance = order.purpose == EvacuationPurpose::Maintenance;
    const bool isAllowed = this->mayOrder(plannedAt);
    if (isAllowed && isMaintenance) {
        co_await this->maintain(order);
    } else if (isAllowed) {
        co_await this->move(order);
    } else if (isMaintenance) {
        this->planner->onMaintenanceOutcome(order, false, false, bootNow());
    } else {
        this->planner->onMoveOutcome(order, false, false, bootNow());
    }
}

net::awaitable<void> PlanningDuty::Private::giveOrders(PlannerOrders orders, TimePoint plannedAt)
{
    std::vector<Evacuation> all = std::move(orders.maintain);
    all.insert(all.end(), std::make_move_iterator(orders.move.begin()), std::make_move_iterator(orders.move.end()));
    std::size_t next = 0;
    std::size_t lanes = std::min(orderLanes, all.size());
    Event isDone(this->context);
    const auto lane = [this, &all, &next, &lanes, &isDone, plannedAt]() -> net::awaitable<void> {
        while (next < all.size()) {
            const std::size_t own = next++;
            co_await this->give(all[own], plannedAt);
        }
        --lanes;
        isDone.notify();
    };
    for (std::size_t count = lanes; count > 0; --count) {
        net::co_spawn(this->context, lane, net::detached);
    }
    while (lanes > 0) {
        co_await isDone.waitFor(orderPatience);
    }
}

net::awaitable<void> PlanningDuty::Private::step()
{
    const Result<void> read = co_await this->reports->follow(reportWait);
    if (!read) {
        co_await sleepFor(this->context, retryPause);
        co_return;
    }
    co_await this->readMachines();
    if (this->feed.config() && this->feed.config()->revision != this->plannedRevision) {
        this->plannedRevision = this->feed.config()->revision;
        this->planner->setConfig(*this->feed.config());
    }
    this->planner->setWaves(this->feed.waves(), wallNow());
    const TimePoint plannedAt = bootNow();
    const PlannerOrders orders = this->planner->plan(plannedAt, wallNow());
    this->noteNeeds();
    const bool isSaved = co_await this->save();
    if (!isSaved) {
        co_return;
    }
    co_await this->tellOperator();
    co_await this->giveOrders(orders, plannedAt);
    co_await sleepFor(this->context, planPause);
}

PlanningDuty::PlanningDuty(std::unique_ptr<Private> impl)
    : d(std::move(impl))
{
}

PlanningDuty::~PlanningDuty() = default;

std::shared_ptr<PlanningDuty> PlanningDuty::create(
    net::io_context &context, PlatformAdapter &platform, EventLog &log, const OperatorFeed &feed, std::int64_t token, std::optional<SeenOrders> ordersSeen)
{
    return std::shared_ptr<PlanningDuty>(new PlanningDuty(std::make_unique<Private>(context, platform, log, feed, token, std::move(ordersSeen))));
}

void PlanningDuty::start()
{
    Private *state = this->d.get();
    state->reports = std::make_unique<StreamReader>(state->context, state->platform.store(), Stream::Plan, reportPartition,
        StreamReader::Handlers{[] {
                               },
            [state](const StoredRecord &record) {
                if (const auto report = decodePoolReport(record.value)) {
                    state->planner->setReport(*report, bootNow());
                }
            }});
    net::co_spawn(
        state->context,
        [self = this->shared_from_this(), state]() -> net::awaitable<void> {
            while (!state->isOver()) {
                const bool isLoaded = co_await state->load();
                if (isLoaded) {
                    break;
                }
                co_await sleepFor(state->context, retryPause);
            }
            while (!state->isOver()) {
                co_await state->step();
            }
        },
        net::detached);
}

void PlanningDuty::stop()
{
    this->d->isStopped = true;
}

void PlanningDuty::setHorizon(TimePoint horizon)
{
    this->d->horizon = horizon;
}

}
