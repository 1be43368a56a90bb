// Loads the planner's state, follows the pool reports and gives orders.
#include "planningduty.h"

#include <algorithm>

#include "clocks.h"
#include "event.h"
#include "quotafeed.h"
#include "quotalog.h"
#include "recordcodec.h"
#include "segmentedrecord.h"
#include "streamreader.h"

namespace MangoCourse {

namespace {

using std::chrono::milliseconds;

constexpr const char *producerName = "planner";
constexpr const char *statusProducerName = "wave-status";
constexpr milliseconds appendTimeout{1000};
constexpr milliseconds retryDelay{120};
// The divisions of many accounts are divided into appends of this size; one record with the shares of 170 pools has at most 12 KB.
constexpr std::size_t maxDivisionBytes = 128 * 1024;
// Maximum time to wait for new pool reports.
constexpr milliseconds reportPollTimeout{250};
// Maximum time to wait for new pool reports while orders are being given.
constexpr milliseconds orderReportPollTimeout{100};
// Delay between planning cycles.
constexpr milliseconds planDelay{20};
// Intervals for reading the list of machines: while the planner has pending work, and otherwise.
constexpr milliseconds busyListInterval{450};
constexpr milliseconds idleListInterval{1500};
// Large enough for a load burst, which requires orders for many machines at the same time.
constexpr std::size_t maxConcurrentOrders = 12;
// An order that could not be given within this time after planning is dropped and planned again.
constexpr milliseconds maxOrderDelay{700};

}

class PlanningDuty::Private
{
public:
    Private(
        net::io_context &context, PlatformAdapter &platform, EventLog &log, const OperatorFeed &feed, std::int64_t token, std::optional<SeenOrders> seenOrders)
        : context(context)
        , platform(platform)
        , log(log)
        , feed(feed)
        , token(token)
        , seenOrders(std::move(seenOrders))
    {
    }

    net::io_context &context;
    PlatformAdapter &platform;
    EventLog &log;
    const OperatorFeed &feed;
    std::int64_t token;
    std::optional<SeenOrders> seenOrders;
    std::int64_t sequence = 0;
    bool isStopped = false;
    // The last append has failed and is repeated.
    bool isAppendDelayed = false;
    TimePoint orderDeadline{};
    TimePoint lastListedAt{};
    Revision configRevision = 0;
    PlannerState savedState;
    // Number of segments of the stored state.
    std::size_t storedSegments = 0;
    std::unique_ptr<FleetPlanner> planner;
    std::optional<QuotaDivider> divider;
    // Divisions that are not durable yet. Later ones must not be stored before them.
    std::vector<QuotaDivision> unsavedDivisions;
    std::unique_ptr<StreamReader> reportReader;
    // The last published status of each wave: true if it is completed.
    std::map<WaveId, bool> publishedWaves;
    // The status that is being published. It is repeated until it is durable, so that no earlier one can be stored after it.
    std::optional<std::pair<WaveId, bool>> unconfirmedStatus;
    std::int64_t statusSequence = 0;
    // The last logged need of each pool: needed and actual size.
    std::map<ServiceId, std::pair<std::int32_t, std::int32_t>> loggedNeeds;

    bool isEnded() const
    {
        return this->isStopped;
    }
    net::awaitable<bool> append(std::vector<StoredRecord> records);
    net::awaitable<bool> load();
    net::awaitable<void> readMachines();
    net::awaitable<void> runCycle();
    net::awaitable<bool> save();
    // Divides the accounts' limits and stores what has changed, in the order of the numbers.
    net::awaitable<void> saveDivisions();
    net::awaitable<void> publishWaveStatus();
    net::awaitable<void> executeMaintenance(Evacuation order);
    net::awaitable<void> executeMove(Evacuation order);
    net::awaitable<void> executeOrder(Evacuation order, TimePoint plannedAt);
    // Executes the orders, several at a time, and returns once each has an outcome. Follows the reports and saves divisions meanwhile.
    net::awaitable<void> executeOrders(PlannerOrders orders, TimePoint plannedAt);
    void logNeeds();
    void handleOutcome(const char *event, const Evacuation &order, MachineOutcome outcome);
    bool canOrder(TimePoint plannedAt) const;
    std::map<MachineId, TimePoint> machinesHeldByEarlierPlanner() const;
};

bool PlanningDuty::Private::canOrder(TimePoint plannedAt) const
{
    const TimePoint now = bootNow();
    return now < this->orderDeadline && now - plannedAt < maxOrderDelay && !this->isStopped;
}

std::map<MachineId, TimePoint> PlanningDuty::Private::machinesHeldByEarlierPlanner() const
{
    // Orders are recorded before they are given, and given at most maxOrderDelay after planning. So after this time no order of an earlier planner
    // is still in flight.
    const milliseconds holdTime = this->platform.settings().planLease + maxOrderDelay;
    std::map<MachineId, TimePoint> heldUntil;
    if (!this->seenOrders) {
        return heldUntil;
    }
    for (const auto &[machine, at] : this->savedState.orderedAt) {
        const auto seen = this->seenOrders->find(machine);
        const bool isSameOrder = seen != this->seenOrders->end() && seen->second.recordedAt == at;
        heldUntil[machine] = (isSameOrder ? seen->second.seenAt : bootNow()) + holdTime;
    }
    return heldUntil;
}

net::awaitable<bool> PlanningDuty::Private::append(std::vector<StoredRecord> records)
{
    while (!this->isStopped) {
        const ProducerStamp stamp{producerName, this->token, this->sequence};
        const Result<void> appended = co_await this->platform.store().append(Stream::Plan, plannerPartition, records, stamp, appendTimeout);
        if (appended) {
            ++this->sequence;
            this->isAppendDelayed = false;
            co_return true;
        }
        if (appended.error().code == ErrorCode::Conflict) {
            this->log.emit("planning_superseded", {{"token", this->token}, {"reason", appended.error().message}}, EventPriority::Essential);
            this->isStopped = true;
            co_return false;
        }
        const bool canSucceed = appended.error().code != ErrorCode::InvalidArgument;
        if (!canSucceed || !this->isAppendDelayed) {
            this->log.emit(
                canSucceed ? "plan_delayed" : "plan_unstorable", {{"token", this->token}, {"reason", describe(appended.error())}}, EventPriority::Essential);
        }
        this->isAppendDelayed = true;
        co_await sleepFor(this->context, retryDelay);
        if (!canSucceed) {
            // The next cycle plans anew; without its record no order is given.
            co_return false;
        }
    }
    co_return false;
}

net::awaitable<bool> PlanningDuty::Private::load()
{
    std::vector<StoredRecord> noRecords;
    // Appending no records sets the fence: the store then rejects the appends of earlier planners.
    const bool isFenceSet = co_await this->append(noRecords);
    if (!isFenceSet) {
        co_return false;
    }
    const Result<StreamBatch> batch = co_await this->platform.store().readSnapshot(Stream::Plan, plannerPartition);
    if (!batch) {
        co_return false;
    }
    SegmentedValue stored(plannerKey);
    this->storedSegments = 0;
    std::vector<QuotaDivision> divisions;
    for (const StoredRecord &record : batch->records) {
        if (isQuotaKey(record.key)) {
            const AccountId account{record.key.substr(std::string_view(quotaKeyPrefix).size())};
            Result<QuotaDivision> division = decodeQuotaDivision(account, record.value);
            if (division) {
                divisions.push_back(std::move(*division));
            } else if (!record.value.empty()) {
                // The account counts as not divided, so all that its pools may use is held until they have applied the next division.
                this->log.emit("quota_unreadable", {{"account", account.value}, {"offset", record.offset}, {"reason", describe(division.error())}},
                    EventPriority::Essential);
            }
            continue;
        }
        this->storedSegments += record.key != plannerKey ? 1 : 0;
        const std::optional<std::string> value = stored.add(record);
        if (!value) {
            continue;
        }
        if (Result<PlannerState> state = decodePlannerState(*value)) {
            this->savedState = std::move(*state);
        } else {
            this->log.emit("plan_unreadable", {{"offset", record.offset}, {"reason", describe(state.error())}}, EventPriority::Essential);
        }
    }
    Result<std::unique_ptr<FleetPlanner>> planner
        = FleetPlanner::create(this->platform.settings().planner, this->savedState, this->machinesHeldByEarlierPlanner());
    Result<QuotaDivider> newDivider = QuotaDivider::create(std::move(divisions));
    if (!planner || !newDivider) {
        co_return false;
    }
    this->divider = std::move(*newDivider);
    this->planner = std::move(*planner);
    co_return true;
}

net::awaitable<void> PlanningDuty::Private::readMachines()
{
    const TimePoint now = bootNow();
    const milliseconds interval = this->planner->hasPendingWork() ? busyListInterval : idleListInterval;
    if (now - this->lastListedAt < interval) {
        co_return;
    }
    this->lastListedAt = now;
    const Result<std::vector<MachineInfo>> machines = co_await this->platform.machines()->list();
    if (machines) {
        this->planner->setMachines(*machines, bootNow());
    } else {
        this->log.emit("machines_unknown", {{"reason", describe(machines.error())}}, EventPriority::Essential);
    }
}

net::awaitable<bool> PlanningDuty::Private::save()
{
    if (this->planner->state() == this->savedState) {
        co_return true;
    }
    const PlannerState state = this->planner->state();
    std::vector<StoredRecord> records = divideRecord(StoredRecord{plannerKey, encodePlannerState(state), -1}, this->platform.store());
    const std::size_t segments = records.size() - 1;
    for (std::size_t number = segments; number < this->storedSegments; ++number) {
        records.push_back(StoredRecord{segmentKey(plannerKey, number), {}, -1});
    }
    const bool isDurable = co_await this->append(std::move(records));
    if (isDurable) {
        this->savedState = state;
        this->storedSegments = segments;
    }
    co_return isDurable;
}

net::awaitable<void> PlanningDuty::Private::saveDivisions()
{
    if (this->unsavedDivisions.empty()) {
        this->unsavedDivisions = this->divider->plan(bootNow());
    }
    while (!this->unsavedDivisions.empty() && !this->isEnded()) {
        std::vector<StoredRecord> records;
        std::size_t bytes = 0;
        for (const QuotaDivision &division : this->unsavedDivisions) {
            StoredRecord record{quotaKey(division.account), encodeQuotaDivision(division), -1};
            bytes += record.key.size() + record.value.size();
            if (!records.empty() && bytes > maxDivisionBytes) {
                break;
            }
            records.push_back(std::move(record));
        }
        const auto count = static_cast<std::ptrdiff_t>(records.size());
        const bool isDurable = co_await this->append(std::move(records));
        if (!isDurable) {
            co_return;
        }
        const auto end = this->unsavedDivisions.begin() + count;
        std::for_each(this->unsavedDivisions.begin(), end, [this](const QuotaDivision &division) {
            logQuotaDivided(this->log, this->token, division);
        });
        this->unsavedDivisions.erase(this->unsavedDivisions.begin(), end);
    }
}

net::awaitable<void> PlanningDuty::Private::publishWaveStatus()
{
    while (!this->isEnded()) {
        const auto wave = std::find_if(this->savedState.waves.begin(), this->savedState.waves.end(), [this](const auto &entry) {
            const auto published = this->publishedWaves.find(entry.first);
            return published == this->publishedWaves.end() || published->second != entry.second.isCompleted;
        });
        if (!this->unconfirmedStatus && wave == this->savedState.waves.end()) {
            co_return;
        }
        if (!this->unconfirmedStatus) {
            this->unconfirmedStatus.emplace(wave->first, wave->second.isCompleted);
        }
        const auto [id, isCompleted] = *this->unconfirmedStatus;
        std::vector<StoredRecord> records(1, this->platform.encodeWaveStatus(id, isCompleted));
        const ProducerStamp stamp{statusProducerName, this->token, this->statusSequence};
        const Result<void> appended = co_await this->platform.store().append(Stream::Status, 0, std::move(records), stamp, appendTimeout);
        if (!appended) {
            if (appended.error().code == ErrorCode::Conflict) {
                this->log.emit("planning_superseded", {{"token", this->token}, {"reason", appended.error().message}}, EventPriority::Essential);
                this->isStopped = true;
            }
            co_return;
        }
        ++this->statusSequence;
        this->unconfirmedStatus.reset();
        this->publishedWaves[id] = isCompleted;
        const auto known = this->savedState.waves.find(id);
        const std::size_t begun = known == this->savedState.waves.end() ? 0 : known->second.startedMachines.size();
        this->log.emit("wave_status", {{"wave", id.value}, {"completed", isCompleted}, {"begun", std::int64_t(begun)}}, EventPriority::Essential);
    }
}

void PlanningDuty::Private::logNeeds()
{
    for (const PoolNeed &need : this->planner->needs()) {
        const std::pair sizes(need.needed, need.size);
        if (this->loggedNeeds[need.service] == sizes) {
            continue;
        }
        this->loggedNeeds[need.service] = sizes;
        this->log.emit("pool_need",
            {{"service", need.service.value}, {"needed", std::int64_t(need.needed)}, {"size", std::int64_t(need.size)}, {"inflow", need.inflow},
                {"backlog", need.backlog}, {"leaving", std::int64_t(need.leaving)}, {"unreachable", std::int64_t(need.unreachable)},
                {"report_age_ms", std::int64_t(need.reportAge.count())}});
    }
}

void PlanningDuty::Private::handleOutcome(const char *event, const Evacuation &order, MachineOutcome outcome)
{
    this->log.emit(event,
        {{"machine", order.machine.value}, {"wave", order.wave.value}, {"target", order.target.value}, {"token", this->token}, {"outcome", toString(outcome)}},
        EventPriority::Essential);
    if (outcome == MachineOutcome::Fenced) {
        this->isStopped = true;
    }
}

net::awaitable<void> PlanningDuty::Private::executeMaintenance(Evacuation order)
{
    const MachineOutcome outcome = co_await this->platform.machines()->maintain(order.machine, order.wave, this->token);
    this->handleOutcome("machine_maintained", order, outcome);
    if (outcome == MachineOutcome::NotInWave) {
        this->planner->onNotInWave(order);
    } else {
        this->planner->onMaintenanceOutcome(order, outcome == MachineOutcome::Done, outcome == MachineOutcome::Unknown, bootNow());
    }
    // Makes the next cycle read the list of machines again.
    this->lastListedAt = TimePoint{};
}

net::awaitable<void> PlanningDuty::Private::executeMove(Evacuation order)
{
    const MachineOutcome outcome = co_await this->platform.machines()->move(order.machine, order.target, this->token);
    this->handleOutcome("machine_moved", order, outcome);
    this->planner->onMoveOutcome(order, outcome == MachineOutcome::Done, outcome == MachineOutcome::Unknown, bootNow());
}

net::awaitable<void> PlanningDuty::Private::executeOrder(Evacuation order, TimePoint plannedAt)
{
    const bool isMaintenance = order.purpose == EvacuationPurpose::Maintenance;
    const bool isAllowed = this->canOrder(plannedAt);
    if (isAllowed && isMaintenance) {
        co_await this->executeMaintenance(order);
    } else if (isAllowed) {
        co_await this->executeMove(order);
    } else if (isMaintenance) {
        this->planner->onMaintenanceOutcome(order, false, false, bootNow());
    } else {
        this->planner->onMoveOutcome(order, false, false, bootNow());
    }
}

net::awaitable<void> PlanningDuty::Private::executeOrders(PlannerOrders orders, TimePoint plannedAt)
{
    std::vector<Evacuation> pendingOrders = std::move(orders.maintain);
    pendingOrders.insert(pendingOrders.end(), std::make_move_iterator(orders.move.begin()), std::make_move_iterator(orders.move.end()));
    std::size_t next = 0;
    std::size_t activeSenders = std::min(maxConcurrentOrders, pendingOrders.size());
    Event senderDone(this->context);
    const auto sendOrders = [this, &pendingOrders, &next, &activeSenders, &senderDone, plannedAt]() -> net::awaitable<void> {
        while (next < pendingOrders.size()) {
            const std::size_t index = next++;
            co_await this->executeOrder(pendingOrders[index], plannedAt);
        }
        --activeSenders;
        senderDone.notify();
    };
    for (std::size_t count = activeSenders; count > 0; --count) {
        net::co_spawn(this->context, sendOrders, net::detached);
    }
    // A call to a machine takes up to 1.5 s, and pools that wait for their shares must not wait for it.
    while (activeSenders > 0) {
        co_await senderDone.waitFor(planDelay);
        if (activeSenders == 0 || this->isEnded()) {
            continue;
        }
        const Result<void> read = co_await this->reportReader->follow(orderReportPollTimeout);
        if (read) {
            co_await this->saveDivisions();
        } else {
            co_await senderDone.waitFor(retryDelay);
        }
    }
}

net::awaitable<void> PlanningDuty::Private::runCycle()
{
    const Result<void> read = co_await this->reportReader->follow(reportPollTimeout);
    if (!read) {
        co_await sleepFor(this->context, retryDelay);
        co_return;
    }
    if (this->feed.config() && this->feed.config()->revision != this->configRevision) {
        this->configRevision = this->feed.config()->revision;
        this->planner->setConfig(*this->feed.config());
        this->divider->setConfig(*this->feed.config());
    }
    // A pool that waits for its share must not wait for the list of machines.
    co_await this->saveDivisions();
    co_await this->readMachines();
    this->planner->setWaves(this->feed.waves(), wallNow());
    const TimePoint plannedAt = bootNow();
    const PlannerOrders orders = this->planner->plan(plannedAt, wallNow());
    this->logNeeds();
    const bool isSaved = co_await this->save();
    if (!isSaved) {
        co_return;
    }
    co_await this->publishWaveStatus();
    co_await this->executeOrders(orders, plannedAt);
    co_await sleepFor(this->context, planDelay);
}

PlanningDuty::PlanningDuty(std::unique_ptr<Private> impl)
    : d(std::move(impl))
{
}

PlanningDuty::~PlanningDuty() = default;

std::shared_ptr<PlanningDuty> PlanningDuty::create(
    net::io_context &context, PlatformAdapter &platform, EventLog &log, const OperatorFeed &feed, std::int64_t token, std::optional<SeenOrders> seenOrders)
{
    return std::shared_ptr<PlanningDuty>(new PlanningDuty(std::make_unique<Private>(context, platform, log, feed, token, std::move(seenOrders))));
}

void PlanningDuty::start()
{
    Private *state = this->d.get();
    state->reportReader = std::make_unique<StreamReader>(state->context, state->platform.store(), Stream::Plan, reportPartition,
        StreamReader::Handlers{[] {
                               },
            [state](const StoredRecord &record) {
                if (record.value.empty()) {
                    return;
                }
                if (const auto report = decodePoolReport(record.value)) {
                    state->planner->setReport(*report, bootNow());
                    state->divider->setReport(*report, bootNow());
                } else {
                    state->log.emit("pool_report_unreadable", {{"key", record.key}, {"offset", record.offset}, {"reason", describe(report.error())}},
                        EventPriority::Essential);
                }
            }});
    net::co_spawn(
        state->context,
        [self = this->shared_from_this(), state]() -> net::awaitable<void> {
            while (!state->isEnded()) {
                const bool isLoaded = co_await state->load();
                if (isLoaded) {
                    break;
                }
                co_await sleepFor(state->context, retryDelay);
            }
            while (!state->isEnded()) {
                co_await state->runCycle();
            }
        },
        net::detached);
}

void PlanningDuty::stop()
{
    this->d->isStopped = true;
}

bool PlanningDuty::hasEnded() const
{
    return this->d->isEnded();
}

void PlanningDuty::setOrderDeadline(TimePoint orderDeadline)
{
    this->d->orderDeadline = orderDeadline;
}

}
