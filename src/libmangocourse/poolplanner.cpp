// Placement: the order of the jobs and the executor of each run.
#include "poolscheduler_pvt.h"

#include <algorithm>

namespace MangoCourse {

namespace {

using std::chrono::milliseconds;

// Longest delivery time of an order on an undisturbed network.
constexpr milliseconds orderDeliveryTime{500};
// A speculative item gets a second run once its executor has failed to answer for this long, or once its run time without the slack exceeds
// the expected one by this factor.
constexpr milliseconds secondRunSilence{200};
constexpr double secondRunFactor = 2.0;
constexpr milliseconds secondRunSlack{300};
// Overload lasts for seconds and stalls are detected late anyway, so neither is checked in each plan.
constexpr milliseconds overloadCheckInterval{50};
constexpr milliseconds stallCheckInterval{200};
// An executor that has failed repeatedly gets one run at a time, and the next one when that has lasted this long.
constexpr milliseconds trialTime{800};
// Orders of other pools may hold those of this one back, and their ends do not wake it.
constexpr milliseconds heldOrdersInterval{20};
// Executors slower than others by this factor are avoided if there is a choice.
constexpr double slownessThreshold = 2.0;

bool hasLabel(const ExecutorInfo &info, const std::string &label)
{
    return std::find(info.labels.begin(), info.labels.end(), label) != info.labels.end();
}

bool hasRequiredLabel(const ExecutorInfo &info, const StepSpec &spec)
{
    return spec.requiredLabel.empty() || hasLabel(info, spec.requiredLabel);
}

// Returns the rack, which by convention is the second label.
std::string rackOf(const ExecutorInfo &info)
{
    return info.labels.size() > 1 ? info.labels[1] : std::string();
}

// Ranks an executor for a long-running item. Such items are packed onto few machines, so that the others can move to other pools, but one
// machine gets few items of the same step.
int longRunningRank(const Executor &executor, const ItemId &id)
{
    int ofStep = 0;
    bool holdsLongRunning = false;
    for (const auto &[other, run] : executor.runs) {
        holdsLongRunning = holdsLongRunning || run.isLongRunning;
        ofStep += other.job == id.job && other.occurrence == id.occurrence && other.step == id.step ? 1 : 0;
    }
    return (ofStep >= maxItemsOfStepPerExecutor ? 2 : 0) + (holdsLongRunning ? 0 : 1);
}

}

Resources demandOf(const StepSpec &spec)
{
    Resources demand = spec.resources;
    if (spec.isBestEffort) {
        demand.cpu = 0;
    }
    return demand;
}

std::int32_t countRunsOfStep(const Executor &executor, const ItemId &item)
{
    std::int32_t runs = 0;
    const auto first = executor.runs.lower_bound(ItemId{item.job, item.occurrence, item.step, 0});
    for (auto run = first; run != executor.runs.end() && run->first.job == item.job && run->first.occurrence == item.occurrence && run->first.step == item.step;
         ++run) {
        ++runs;
    }
    return runs;
}

bool PoolScheduler::Private::isUsable(const Executor &executor, TimePoint now) const
{
    return this->usabilityOf(executor, now) == ExecutorUsability::Usable;
}

bool PoolScheduler::Private::areWatermarksFresh(const PoolWatermarks &watermarks, TimePoint now) const
{
    const auto maxAge = [](milliseconds bound) {
        return std::max(bound - orderDeliveryTime, bound / 2);
    };
    return now - watermarks.requestWatermark <= maxAge(this->settings.maxCancelPropagation)
        && now - watermarks.executorWatermark <= maxAge(this->settings.maxDrainPropagation);
}

bool PoolScheduler::Private::checkWatermarks(const PoolWatermarks &watermarks, TimePoint now)
{
    const bool isFresh = this->areWatermarksFresh(watermarks, now);
    if (this->areStartsHeld == isFresh && this->observer) {
        const std::string ages = "requests known up to " + std::to_string(millisecondsBetween(watermarks.requestWatermark, now).count())
            + " ms ago, executors up to " + std::to_string(millisecondsBetween(watermarks.executorWatermark, now).count()) + " ms ago";
        this->observer(SchedulerEvent{isFresh ? "starts_resumed" : "starts_held", ItemId{}, {}, 0, ages});
    }
    this->areStartsHeld = !isFresh;
    return isFresh;
}

bool PoolScheduler::Private::isStepReady(const JobEntry &entry, const OccurrenceState &occurrence, std::size_t step) const
{
    const std::vector<StepSpec> &specs = entry.job.spec.steps;
    return std::all_of(specs[step].dependsOn.begin(), specs[step].dependsOn.end(), [&](std::int32_t earlier) {
        const auto index = static_cast<std::size_t>(earlier);
        return occurrence.steps[index].done >= specs[index].count;
    });
}

milliseconds PoolScheduler::Private::computeCriticalPath(const JobEntry &entry) const
{
    const std::vector<StepSpec> &specs = entry.job.spec.steps;
    std::vector<milliseconds> ends(specs.size());
    milliseconds longest{};
    for (std::size_t step = 0; step < specs.size(); ++step) {
        const bool isDone = !entry.occurrences.empty() && entry.occurrences.front().isOpen && entry.occurrences.front().steps[step].done >= specs[step].count;
        milliseconds start{};
        for (const std::int32_t earlier : specs[step].dependsOn) {
            start = std::max(start, ends[static_cast<std::size_t>(earlier)]);
        }
        ends[step] = start + (isDone ? milliseconds::zero() : this->expectedStepTime(entry, specs[step]));
        longest = std::max(longest, ends[step]);
    }
    return longest;
}

void PoolScheduler::Private::endTrial(Executor &executor, TimePoint now)
{
    const bool hasWorked = executor.hasFailedRepeatedly() && std::any_of(executor.runs.begin(), executor.runs.end(), [&executor, now](const auto &entry) {
        const Run &run = entry.second;
        return run.isLongRunning && run.phase == RunPhase::Running && run.startedAt >= executor.avoidedUntil && now - run.startedAt >= trialTime;
    });
    if (hasWorked) {
        executor.failedJobs.clear();
    }
}

bool PoolScheduler::Private::isOnTrial(const Executor &executor, TimePoint now)
{
    return executor.isTried(now) && std::any_of(executor.runs.begin(), executor.runs.end(), [now](const auto &entry) {
        return entry.second.startedAt == TimePoint{} || now - entry.second.startedAt < trialTime;
    });
}

PlacementObstacle PoolScheduler::Private::findConstraint(const Executor &executor, const JobEntry &entry, const ItemId &id, const StepSpec &spec) const
{
    if (!hasRequiredLabel(executor.info, spec)) {
        return PlacementObstacle::Label;
    }
    if (executor.runs.contains(id)) {
        return PlacementObstacle::RunsHere;
    }
    if (spec.perExecutorLimit > 0 && countRunsOfStep(executor, id) >= spec.perExecutorLimit) {
        return PlacementObstacle::PerExecutorLimit;
    }
    if (entry.hasPolicy) {
        const StepState &state = entry.occurrences[static_cast<std::size_t>(id.occurrence)].steps[static_cast<std::size_t>(id.step)];
        return hasPass(state, executor) ? PlacementObstacle::None : PlacementObstacle::Pass;
    }
    return PlacementObstacle::None;
}

void PoolScheduler::Private::refreshIndex(TimePoint now)
{
    for (auto &[key, executor] : this->executors) {
        endTrial(executor, now);
        if (this->isUsable(executor, now) && !isOnTrial(executor, now) && this->hasOrderRoom(executor, OrderKind::Start)) {
            this->index.put(executor);
        } else {
            this->index.remove(executor);
        }
    }
}

void PoolScheduler::Private::updateIndex(Executor &executor)
{
    if (executor.isIndexed) {
        this->index.put(executor);
    }
}

std::string PoolScheduler::Private::findSiblingRack(const JobEntry &entry, const ItemId &id)
{
    for (const Item &sibling : entry.occurrences[static_cast<std::size_t>(id.occurrence)].steps[static_cast<std::size_t>(id.step)].items) {
        if (!sibling.runningOn.empty()) {
            return rackOf(this->find(sibling.runningOn.front())->info);
        }
    }
    return {};
}

PoolScheduler::Private::CandidateRank PoolScheduler::Private::rankCandidate(
    const Executor &executor, const JobEntry &entry, const ItemId &id, const Item &item, const std::string &siblingRack) const
{
    const StepSpec &spec = entry.job.spec.steps[static_cast<std::size_t>(id.step)];
    const Resources demand = demandOf(spec);
    CandidateRank rank;
    rank.hasFailedHere = item.lastFailedOn == executor.info.id;
    rank.isOffRack
        = (!spec.preferredRack.empty() && !hasLabel(executor.info, spec.preferredRack)) || (!siblingRack.empty() && rackOf(executor.info) != siblingRack);
    rank.isSlow = executor.slowness > slownessThreshold;
    rank.hasRecentFailures = !executor.failedJobs.empty();
    rank.isMaintenanceDue = spec.isLongRunning && this->isMaintenanceDue(executor);
    rank.spread = spec.isLongRunning ? longRunningRank(executor, id) : 0;
    // Best fit: finite items go to the executor with the least free CPU, which keeps large gaps for large items.
    rank.cpuLeft = spec.isBestEffort ? demand.cpu - executor.free().cpu : executor.free().cpu - demand.cpu;
    return rank;
}

std::string PoolScheduler::Private::describePreviousOwnersRuns(const PlacementRound &round) const
{
    if (this->previousLeasesExpireAt == TimePoint{}) {
        return "no previous owner";
    }
    std::size_t listsRead = 0;
    std::size_t leasesOver = 0;
    // Only speculative items start in spite of them.
    std::size_t leasesOpen = 0;
    TimePoint oldest = round.now;
    const auto countLease = [&](TimePoint end) {
        ++(end <= round.now ? leasesOver : leasesOpen);
        oldest = std::min(oldest, end);
    };
    for (const auto &[key, executor] : this->executors) {
        if (executor.hasEnded || !executor.mayHoldPreviousRuns) {
            continue;
        }
        if (executor.isHistoryKnown()) {
            ++listsRead;
            oldest = std::min(oldest, executor.historyKnownAt);
        } else {
            countLease(unknownRunsEndAt(executor));
        }
    }
    for (const auto &[key, previous] : this->previousExecutors) {
        if (!this->executors.contains(key)) {
            countLease(previous.runsEndAt);
        }
    }
    std::string text = "previous owners: " + std::to_string(listsRead) + " lists read and " + std::to_string(leasesOver) + " leases over, up to "
        + std::to_string(millisecondsBetween(oldest, round.now).count()) + " ms ago";
    if (leasesOpen > 0) {
        text += ", " + std::to_string(leasesOpen) + " leases not over";
    }
    return text;
}

std::string PoolScheduler::Private::describeEarlierRuns(const JobEntry &entry, const Item &item, const PlacementRound &round)
{
    std::string text;
    for (const EarlierRun &earlier : item.earlierRuns) {
        text += std::to_string(earlier.number) + " on " + earlier.executor.id.value + " (" + std::to_string(earlier.executor.incarnation)
            + "): " + std::string(earlier.reason) + ", " + std::to_string(millisecondsBetween(earlier.knownAt, round.now).count()) + " ms ago; ";
    }
    if (item.forgottenRuns > 0) {
        text += std::to_string(item.forgottenRuns) + " before; ";
    }
    if (entry.isInherited && !this->previousOwnersRuns) {
        this->previousOwnersRuns = this->describePreviousOwnersRuns(round);
    }
    text += entry.isInherited ? *this->previousOwnersRuns : "none by a previous owner";
    return text + "; ownership confirmed " + std::to_string(millisecondsBetween(round.confirmedAt, round.now).count()) + " ms ago";
}

PoolScheduler::Private::Candidate PoolScheduler::Private::findBestExecutor(
    const CapacityIndex::Slots &slots, const JobEntry &entry, const ItemId &id, const Item &item, const std::string &siblingRack) const
{
    const StepSpec &spec = entry.job.spec.steps[static_cast<std::size_t>(id.step)];
    const Resources demand = demandOf(spec);
    Candidate best;
    const auto consider = [&](Executor &executor) {
        if (!executor.free().covers(demand) || this->findConstraint(executor, entry, id, spec) != PlacementObstacle::None) {
            return false;
        }
        const CandidateRank rank = this->rankCandidate(executor, entry, id, item, siblingRack);
        if (best.executor == nullptr || rank < best.rank) {
            best = Candidate{&executor, rank};
        }
        return rank.isIdeal();
    };
    // The slots are ordered by free CPU, so the first ideal candidate is the best one.
    if (spec.isBestEffort) {
        std::any_of(slots.rbegin(), slots.rend(), [&consider](const CapacitySlot &slot) {
            return consider(*slot.executor);
        });
    } else {
        std::any_of(slots.lower_bound(CapacitySlot{demand.cpu, 0, nullptr}), slots.end(), [&consider](const CapacitySlot &slot) {
            return consider(*slot.executor);
        });
    }
    return best;
}

Executor *PoolScheduler::Private::chooseExecutor(const JobEntry &entry, const ItemId &id, const Item &item)
{
    const StepSpec &spec = entry.job.spec.steps[static_cast<std::size_t>(id.step)];
    const std::string siblingRack = spec.prefersSameRack ? this->findSiblingRack(entry, id) : std::string();
    const std::string &nearRack = spec.preferredRack.empty() ? siblingRack : spec.preferredRack;
    if (!nearRack.empty()) {
        const Candidate near = this->findBestExecutor(this->index.slots(nearRack), entry, id, item, siblingRack);
        if (near.executor != nullptr && near.rank.isIdeal()) {
            return near.executor;
        }
    }
    return this->findBestExecutor(this->index.slots(spec.requiredLabel), entry, id, item, siblingRack).executor;
}

void PoolScheduler::Private::startOn(Executor &executor, JobEntry &entry, const ItemId &id, Item &item, std::int64_t number, const PlacementRound &round)
{
    const StepSpec &spec = entry.job.spec.steps[static_cast<std::size_t>(id.step)];
    item.closeRunsEndedBy(round.confirmedAt);
    const bool isRepeat = entry.isInherited || !item.earlierRuns.empty() || !item.runningOn.empty();
    if (isRepeat && this->observer) {
        std::string others;
        for (const ExecutorKey &other : item.runningOn) {
            others += "runs on " + other.id.value + " (speculative); ";
        }
        this->emitEvent("run_repeated", id, executor, number, others + this->describeEarlierRuns(entry, item, round));
    }
    Run &run = this->addRun(executor, id, number, round.now);
    run.phase = RunPhase::Starting;
    run.isStartInFlight = true;
    run.startedAt = TimePoint{};
    StartRun order{
        id, number, this->tokens->current(executor.info.id), this->computeLeaseExpiry(executor, round.now, round.expiresAt), entry.job.spec.payload, {}, {}};
    if (spec.isCheckpointing) {
        order.checkpoint = item.checkpoint;
    }
    if (entry.hasPolicy) {
        const StepState &state = entry.occurrences[static_cast<std::size_t>(id.occurrence)].steps[static_cast<std::size_t>(id.step)];
        order.pass = state.verdicts.at(executor.info.id).pass;
    }
    this->extendLease(executor, order.until, round.now);
    run.startableUntil = executor.leaseEnd;
    const OrderBudget::Place place = this->budgetOf(executor).take();
    const bool isFull = executor.isTried(round.now) || !this->hasOrderRoom(executor, OrderKind::Start);
    if (isFull && !spec.isGang) {
        this->index.remove(executor);
    } else {
        this->updateIndex(executor);
    }
    this->orders.starts.push_back(StartOrder{executor.info, std::move(order), round.now, round.watermarks, place, isRepeat});
}

bool PoolScheduler::Private::placeGang(JobEntry &entry, std::int32_t occurrence, std::int32_t step, const PlacementRound &round)
{
    StepState &state = entry.occurrences[static_cast<std::size_t>(occurrence)].steps[static_cast<std::size_t>(step)];
    std::int64_t number = 0;
    std::string checkpoint;
    for (const Item &item : state.items) {
        if (item.phase != ItemPhase::Waiting || item.possiblyActiveUntil() > round.confirmedAt) {
            return false;
        }
        number = std::max(number, item.lastRun);
        if (!item.checkpoint.empty()) {
            checkpoint = item.checkpoint;
        }
    }
    if (!entry.mayStart) {
        this->recordStartIntent(entry);
        return false;
    }
    if (!this->mayStartWithinQuota(entry, ItemId{entry.job.id, occurrence, step, 0}, round.now)) {
        return false;
    }
    const std::size_t startsBefore = this->orders.starts.size();
    const TimePoint waitingSince = entry.waitingSince;
    for (std::size_t index = 0; index < state.items.size(); ++index) {
        Item &item = state.items[index];
        const ItemId id{entry.job.id, occurrence, step, static_cast<std::int32_t>(index)};
        Executor *executor = this->chooseExecutor(entry, id, item);
        if (executor == nullptr) {
            // All members must start together, so the placements so far are rolled back.
            for (std::size_t placed = 0; placed < index; ++placed) {
                const ItemId member{entry.job.id, occurrence, step, static_cast<std::int32_t>(placed)};
                Executor &holder = *this->find(state.items[placed].runningOn.front());
                this->withdrawRun(holder, holder.runs.find(member));
                this->updateIndex(holder);
                state.items[placed].lastRun = number;
            }
            this->orders.starts.resize(startsBefore);
            entry.waitingSince = waitingSince;
            return false;
        }
        item.checkpoint = checkpoint;
        this->startOn(*executor, entry, id, item, number + 1, round);
    }
    for (const Item &item : state.items) {
        Executor &holder = *this->find(item.runningOn.front());
        if (holder.isTried(round.now) || !this->hasOrderRoom(holder, OrderKind::Start)) {
            this->index.remove(holder);
        }
    }
    this->shares.noteStart(*entry.share, round.now);
    entry.waitingSince = TimePoint{};
    return true;
}

void PoolScheduler::Private::recordStartIntent(JobEntry &entry)
{
    if (entry.hasStartIntent && !entry.earlierService) {
        return;
    }
    entry.hasStartIntent = true;
    entry.earlierService.reset();
    this->unpersistedStartIntents.insert(entry.job.id);
    this->markChanged(entry);
    this->isUrgent = true;
}

double PoolScheduler::Private::durationFactor(const JobEntry &entry)
{
    return entry.durationRatio == nullptr ? 1.0 : std::max(1.0, *entry.durationRatio);
}

bool PoolScheduler::Private::needsSecondRun(const JobEntry &entry, const ItemId &id, const Item &item, TimePoint now)
{
    const Executor &executor = *this->find(item.runningOn.front());
    const Run &run = executor.runs.at(id);
    if (executor.failingSince != TimePoint{} && now - executor.failingSince > secondRunSilence) {
        return true;
    }
    if (run.phase != RunPhase::Running || run.startedAt == TimePoint{} || run.expectedDuration.count() <= 0) {
        return false;
    }
    const double usual = static_cast<double>(run.expectedDuration.count()) * durationFactor(entry);
    return static_cast<double>((millisecondsBetween(run.startedAt, now) - secondRunSlack).count()) > secondRunFactor * usual;
}

bool PoolScheduler::Private::placeStep(JobEntry &entry, std::int32_t number, std::int32_t step, const PlacementRound &round, PlacementCursor &cursor)
{
    const StepSpec &spec = entry.job.spec.steps[static_cast<std::size_t>(step)];
    StepState &state = entry.occurrences[static_cast<std::size_t>(number)].steps[static_cast<std::size_t>(step)];
    bool hasUnplacedItems = false;
    for (std::size_t index = cursor.index; index < state.items.size(); ++index) {
        Item &item = state.items[index];
        const bool canSpeculate = spec.isSpeculative && item.phase == ItemPhase::Active && item.runningOn.size() == 1;
        if (item.phase != ItemPhase::Waiting && !canSpeculate) {
            continue;
        }
        hasUnplacedItems = true;
        if (!this->hasStartRoom()) {
            break;
        }
        // Another owner may have acknowledged the end of a run that this owner regards as lost.
        if (item.possiblyActiveUntil() > round.confirmedAt && !spec.isSpeculative) {
            continue;
        }
        const ItemId id{entry.job.id, number, step, static_cast<std::int32_t>(index)};
        if (canSpeculate && (round.isOverloaded || !this->needsSecondRun(entry, id, item, round.now))) {
            continue;
        }
        if (canSpeculate && !this->fitsQuota(entry, spec)) {
            continue;
        }
        if (!canSpeculate && !this->mayStartWithinQuota(entry, id, round.now)) {
            break;
        }
        Executor *executor = this->chooseExecutor(entry, id, item);
        if (executor == nullptr && canSpeculate) {
            // Unlike the items after it, a second copy has no place beside the first.
            continue;
        }
        if (executor == nullptr) {
            break;
        }
        if (!entry.mayStart) {
            this->recordStartIntent(entry);
            break;
        }
        this->startOn(*executor, entry, id, item, item.lastRun + 1, round);
        this->shares.noteStart(*entry.share, round.now);
        entry.waitingSince = TimePoint{};
        if (round.turn != nullptr && round.turn->isOverWithinJob()) {
            cursor.index = index + 1;
            cursor.isPaused = true;
            break;
        }
    }
    return hasUnplacedItems;
}

bool PoolScheduler::Private::placeJob(JobEntry &entry, const PlacementRound &round, PlacementCursor &cursor)
{
    cursor.isPaused = false;
    if (!this->hasStartRoom()) {
        return true;
    }
    bool &hasUnplacedItems = cursor.hasUnplacedItems;
    for (; cursor.occurrence < entry.occurrences.size(); ++cursor.occurrence, cursor.step = 0) {
        const std::size_t number = cursor.occurrence;
        OccurrenceState &occurrence = entry.occurrences[number];
        if (!occurrence.isOpen) {
            if (dueTime(entry.job.spec, number) > round.wallNow) {
                return true;
            }
            this->openOccurrence(entry, number);
        }
        for (; cursor.step < occurrence.steps.size(); ++cursor.step, cursor.index = 0) {
            const std::size_t step = cursor.step;
            const StepSpec &spec = entry.job.spec.steps[step];
            StepState &state = occurrence.steps[step];
            if (state.done >= spec.count || !this->isStepReady(entry, occurrence, step)) {
                continue;
            }
            expirePasses(state, round.now);
            const bool lacksPolicy = entry.hasPolicy && !hasAnyPass(state);
            // An unknown run of a previous owner may be active, and only speculative items may run twice.
            const bool mayRunUnseen = entry.isInherited && !round.arePreviousRunsKnown && !spec.isSpeculative;
            if (lacksPolicy || mayRunUnseen) {
                hasUnplacedItems = true;
            } else if (spec.isGang) {
                const bool isPlaced = this->placeGang(entry, static_cast<std::int32_t>(number), static_cast<std::int32_t>(step), round);
                hasUnplacedItems = !isPlaced || hasUnplacedItems;
                if (isPlaced && round.turn != nullptr && round.turn->isOver()) {
                    ++cursor.step;
                    cursor.isPaused = true;
                }
            } else {
                hasUnplacedItems
                    = this->placeStep(entry, static_cast<std::int32_t>(number), static_cast<std::int32_t>(step), round, cursor) || hasUnplacedItems;
            }
            if (cursor.isPaused) {
                return true;
            }
            if (entry.hasStartIntent && !entry.mayStart && !entry.earlierService) {
                return true;
            }
        }
    }
    return hasUnplacedItems;
}

bool PoolScheduler::Private::checkOverload(TimePoint now)
{
    if (this->overloadCheckedAt == TimePoint{} || now - this->overloadCheckedAt >= overloadCheckInterval) {
        this->overloadCheckedAt = now;
        this->wasOverloaded = this->isOverloaded();
    }
    return this->wasOverloaded;
}

PlacementRank PoolScheduler::Private::rankJob(const JobEntry &entry, TimePoint now, bool isOverloaded) const
{
    const StepSpec &first = entry.job.spec.steps.front();
    const auto slack = millisecondsBetween(now, entry.deadline) - entry.remainingCriticalPath;
    PlacementRank rank;
    rank.group = first.isLongRunning && !first.isBestEffort ? 0 : 1;
    rank.isBeyondRate = rank.group > 0 && entry.isBeyondRate && this->shares.areCompeting();
    rank.isLate = !first.isLongRunning && slack < milliseconds::zero();
    rank.priority = entry.priority;
    // Under overload, started jobs go first; of the others, the newest are the most likely to meet their deadline.
    rank.isDeferred = isOverloaded && !first.isLongRunning && !entry.hasStarted;
    rank.slack = rank.isDeferred ? -slack.count() : slack.count();
    return rank;
}

SchedulerOrders PoolScheduler::plan(TimePoint now, WallTime wallNow, const OwnershipTerm &term, const PoolWatermarks &watermarks)
{
    Private &state = *this->d;
    const TimePoint expiresAt = term.expiresAt;
    state.notePlan(now, term, watermarks);
    state.markJobsBeyondRate();
    state.orders = SchedulerOrders{};
    state.previousOwnersRuns.reset();
    state.areOrdersHeld = false;
    state.expireLeases(now, term.confirmedAt);
    state.updateQuotaUsage(now, term.confirmedAt);
    state.stopEvacuatedRuns(now);
    const bool isStallCheckDue = now - state.stallsCheckedAt >= stallCheckInterval;
    state.stallsCheckedAt = isStallCheckDue ? now : state.stallsCheckedAt;
    for (auto &[key, executor] : state.executors) {
        if (isStallCheckDue) {
            state.stopStalledRuns(executor, now);
        }
        state.resendStops(executor, now);
        state.stopOrphans(executor, now);
        state.paceBestEffortRuns(executor, now);
    }
    if (state.placeable.empty() || millisecondsBetween(now, expiresAt) < minStartLease || !state.checkWatermarks(watermarks, now)) {
        return std::move(state.orders);
    }
    state.refreshIndex(now);
    const PlacementRound round{now, wallNow, expiresAt, term.confirmedAt, watermarks, state.arePreviousRunsKnown(now), state.checkOverload(now)};
    if (state.shares.areCompeting()) {
        state.placeByAccount(round);
        return std::move(state.orders);
    }
    std::vector<std::pair<PlacementRank, JobEntry *>> order;
    order.reserve(state.placeable.size());
    for (JobEntry *entry : state.placeable) {
        order.emplace_back(state.rankJob(*entry, now, round.isOverloaded), entry);
    }
    std::sort(order.begin(), order.end(), [](const auto &left, const auto &right) {
        return left.first != right.first ? left.first < right.first : left.second->job.id < right.second->job.id;
    });
    for (const auto &[rank, entry] : order) {
        PlacementCursor cursor;
        const bool hasUnplacedItems = state.placeJob(*entry, round, cursor);
        if (!hasUnplacedItems) {
            state.placeable.erase(entry);
        }
    }
    return std::move(state.orders);
}

TimePoint PoolScheduler::nextWakeup(TimePoint now, WallTime wallNow) const
{
    TimePoint next = after(now, this->d->areOrdersHeld ? heldOrdersInterval : milliseconds(500));
    for (const auto &[key, executor] : this->d->executors) {
        if (!executor.runs.empty()) {
            next = std::min(next, std::max(executor.leaseEnd, after(now, milliseconds(20))));
        }
        if (executor.avoidedUntil > now) {
            next = std::min(next, executor.avoidedUntil);
        }
    }
    if (this->d->previousLeasesExpireAt > now) {
        next = std::min(next, this->d->previousLeasesExpireAt);
    }
    for (const auto &[key, previous] : this->d->previousExecutors) {
        if (previous.runsEndAt > now) {
            next = std::min(next, previous.runsEndAt);
        }
    }
    for (const JobEntry *placeable : this->d->placeable) {
        const JobEntry &entry = *placeable;
        const bool isScheduled = entry.job.spec.recurrence.count > 0;
        for (std::size_t number = 0; isScheduled && number < entry.occurrences.size(); ++number) {
            if (!entry.occurrences[number].isOpen) {
                const auto wait = std::max(milliseconds(1), dueTime(entry.job.spec, number) - wallNow);
                next = std::min(next, after(now, std::min(wait, milliseconds(500))));
                break;
            }
        }
    }
    return next;
}

}
