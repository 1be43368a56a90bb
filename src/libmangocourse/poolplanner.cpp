// Placement: what starts where, in which order.
#include "poolscheduler_pvt.h"

#include <algorithm>

namespace MangoCourse {

namespace {

using std::chrono::milliseconds;

// A start that would hold its lease for less than this is not worth sending.
constexpr milliseconds shortestLease{400};
// An order reaches its executor within this time unless the way there is disturbed.
constexpr milliseconds orderTime{500};
// A speculative item gets a second run once its executor has been silent for this long, or once it takes this many times as long as expected.
constexpr milliseconds copyAfterSilence{200};
constexpr double copyFactor = 2.0;
constexpr milliseconds copySlack{300};
// Long-running items of one step that share a machine where there is a choice.
constexpr int mostTogether = 2;
// Ready work beyond this share of the pool's cores is overload.
constexpr double overloadFactor = 1.3;
// Overload is a state of seconds, and runs that stand still are noticed late anyway: neither is looked at in each plan.
constexpr milliseconds overloadInterval{50};
constexpr milliseconds stallInterval{200};
// An executor that takes this many times as long as others is avoided where there is a choice.
constexpr double slowExecutor = 2.0;

bool hasLabel(const ExecutorInfo &info, const std::string &label)
{
    return std::find(info.labels.begin(), info.labels.end(), label) != info.labels.end();
}

// The rack is the label that two executors of one rack share; it is the second label by convention.
std::string rackOf(const ExecutorInfo &info)
{
    return info.labels.size() > 1 ? info.labels[1] : std::string();
}

// Long-running items share few machines, so that the others can be given to other pools, but one machine holds few of the same step.
int longRunningRank(const Executor &executor, const ItemId &id)
{
    int ofStep = 0;
    bool holdsLongRunning = false;
    for (const auto &[other, run] : executor.runs) {
        holdsLongRunning = holdsLongRunning || run.isLongRunning;
        ofStep += other.job == id.job && other.occurrence == id.occurrence && other.step == id.step ? 1 : 0;
    }
    return (ofStep >= mostTogether ? 2 : 0) + (holdsLongRunning ? 0 : 1);
}

}

bool PoolScheduler::Private::isUsable(const Executor &executor, TimePoint now) const
{
    return executor.isListed && executor.isContacted && executor.isRecorded && executor.clock && !executor.info.isDraining && executor.avoidedUntil <= now
        && executor.failingSince == TimePoint{} && !this->isEvacuated(executor);
}

bool PoolScheduler::Private::isCurrent(const PoolWatermarks &view, TimePoint now) const
{
    const auto oldest = [](milliseconds bound) {
        return std::max(bound - orderTime, bound / 2);
    };
    return now - view.requestWatermark <= oldest(this->settings.maxCancelPropagation) && now - view.executorWatermark <= oldest(this->settings.maxDrainPropagation);
}

bool PoolScheduler::Private::checkView(const PoolWatermarks &view, TimePoint now)
{
    const bool isCurrent = this->isCurrent(view, now);
    if (this->isHeld == isCurrent && this->observer) {
        const std::string ages = "requests known up to " + std::to_string(span(view.requestWatermark, now).count()) + " ms ago, executors up to "
            + std::to_string(span(view.executorWatermark, now).count()) + " ms ago";
        this->observer(SchedulerEvent{isCurrent ? "starts_resumed" : "starts_held", ItemId{}, {}, 0, ages});
    }
    this->isHeld = !isCurrent;
    return isCurrent;
}

bool PoolScheduler::Private::isStepReady(const JobEntry &entry, const OccurrenceState &occurrence, std::size_t step) const
{
    const std::vector<StepSpec> &specs = entry.job.spec.steps;
    return std::all_of(specs[step].dependsOn.begin(), specs[step].dependsOn.end(), [&](std::int32_t earlier) {
        const auto index = static_cast<std::size_t>(earlier);
        return occurrence.steps[index].done >= specs[index].count;
    });
}

milliseconds PoolScheduler::Private::remainingChain(const JobEntry &entry) const
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
        ends[step] = start + (isDone ? milliseconds::zero() : specs[step].estimate);
        longest = std::max(longest, ends[step]);
    }
    return longest;
}

bool PoolScheduler::Private::admits(const Executor &executor, const JobEntry &entry, const ItemId &id, const StepSpec &spec) const
{
    if (!spec.requiredLabel.empty() && !hasLabel(executor.info, spec.requiredLabel)) {
        return false;
    }
    if (executor.runs.contains(id)) {
        return false;
    }
    if (spec.perExecutorLimit > 0) {
        std::int32_t here = 0;
        const auto first = executor.runs.lower_bound(ItemId{id.job, id.occurrence, id.step, 0});
        for (auto run = first; run != executor.runs.end() && run->first.job == id.job && run->first.occurrence == id.occurrence && run->first.step == id.step;
             ++run) {
            ++here;
        }
        if (here >= spec.perExecutorLimit) {
            return false;
        }
    }
    if (entry.hasPolicy) {
        const StepState &state = entry.occurrences[static_cast<std::size_t>(id.occurrence)].steps[static_cast<std::size_t>(id.step)];
        return state.passes.contains(executor.info.id);
    }
    return true;
}

void PoolScheduler::Private::refreshIndex(TimePoint now)
{
    for (auto &[key, executor] : this->executors) {
        if (this->isUsable(executor, now)) {
            this->index.put(executor);
        } else {
            this->index.remove(executor);
        }
    }
}

void PoolScheduler::Private::reindex(Executor &executor)
{
    if (executor.isIndexed) {
        this->index.put(executor);
    }
}

std::string PoolScheduler::Private::rackOfSiblings(const JobEntry &entry, const ItemId &id)
{
    for (const Item &sibling : entry.occurrences[static_cast<std::size_t>(id.occurrence)].steps[static_cast<std::size_t>(id.step)].items) {
        if (!sibling.where.empty()) {
            return rackOf(this->find(sibling.where.front())->info);
        }
    }
    return {};
}

PoolScheduler::Private::Candidate PoolScheduler::Private::bestOf(
    const CapacityIndex::Slots &slots, const JobEntry &entry, const ItemId &id, const Item &item, const std::string &siblingRack) const
{
    const StepSpec &spec = entry.job.spec.steps[static_cast<std::size_t>(id.step)];
    Resources wanted = spec.resources;
    if (spec.isBestEffort) {
        wanted.cpu = 0;
    }
    Candidate best;
    const auto consider = [&](Executor &executor) {
        if (!executor.free().covers(wanted) || !this->admits(executor, entry, id, spec)) {
            return false;
        }
        const bool isOffRack
            = (!spec.preferredRack.empty() && !hasLabel(executor.info, spec.preferredRack)) || (!siblingRack.empty() && rackOf(executor.info) != siblingRack);
        CandidateRank rank;
        rank.hasFailedHere = item.failedOn == executor.info.id;
        rank.isOffRack = isOffRack;
        rank.isSlow = executor.slowness > slowExecutor;
        rank.isSuspect = !executor.failedJobs.empty();
        rank.isDue = spec.isLongRunning && this->isDue(executor);
        rank.spread = spec.isLongRunning ? longRunningRank(executor, id) : 0;
        // Finite items fill the fullest executor, so that wide room stays for large items.
        rank.left = spec.isBestEffort ? wanted.cpu - executor.free().cpu : executor.free().cpu - wanted.cpu;
        if (best.executor == nullptr || rank < best.rank) {
            best = Candidate{&executor, rank};
        }
        return rank.isIdeal();
    };
    // In this order of the slots the first ideal one is the best of all.
    if (spec.isBestEffort) {
        std::any_of(slots.rbegin(), slots.rend(), [&consider](const CapacitySlot &slot) {
            return consider(*slot.executor);
        });
    } else {
        std::any_of(slots.lower_bound(CapacitySlot{wanted.cpu, 0, nullptr}), slots.end(), [&consider](const CapacitySlot &slot) {
            return consider(*slot.executor);
        });
    }
    return best;
}

Executor *PoolScheduler::Private::choose(const JobEntry &entry, const ItemId &id, const Item &item)
{
    const StepSpec &spec = entry.job.spec.steps[static_cast<std::size_t>(id.step)];
    const std::string siblingRack = spec.prefersSameRack ? this->rackOfSiblings(entry, id) : std::string();
    const std::string &nearRack = spec.preferredRack.empty() ? siblingRack : spec.preferredRack;
    if (!nearRack.empty()) {
        const Candidate near = this->bestOf(this->index.slots(nearRack), entry, id, item, siblingRack);
        if (near.executor != nullptr && near.rank.isIdeal()) {
            return near.executor;
        }
    }
    return this->bestOf(this->index.slots(spec.requiredLabel), entry, id, item, siblingRack).executor;
}

void PoolScheduler::Private::startOn(Executor &executor, JobEntry &entry, const ItemId &id, Item &item, std::int64_t number, const PlacementRound &round)
{
    const StepSpec &spec = entry.job.spec.steps[static_cast<std::size_t>(id.step)];
    Run &run = this->adopt(executor, id, number, round.now);
    run.phase = RunPhase::Starting;
    run.startedAt = TimePoint{};
    StartRun order{id, number, this->token, this->leaseUntil(executor, round.now, round.expiresAt), entry.job.spec.payload, {}, {}};
    if (spec.isCheckpointing) {
        order.checkpoint = item.checkpoint;
    }
    if (entry.hasPolicy) {
        const StepState &state = entry.occurrences[static_cast<std::size_t>(id.occurrence)].steps[static_cast<std::size_t>(id.step)];
        order.pass = state.passes.at(executor.info.id);
    }
    this->extendLease(executor, order.until, round.now);
    this->reindex(executor);
    this->orders.starts.push_back(StartOrder{executor.info, std::move(order), round.now, round.view});
}

bool PoolScheduler::Private::placeGang(JobEntry &entry, std::int32_t occurrence, std::int32_t step, const PlacementRound &round)
{
    StepState &state = entry.occurrences[static_cast<std::size_t>(occurrence)].steps[static_cast<std::size_t>(step)];
    std::int64_t number = 0;
    std::string checkpoint;
    for (const Item &item : state.items) {
        if (item.phase != ItemPhase::Waiting || item.lostAt > round.confirmedAt) {
            return false;
        }
        number = std::max(number, item.lastRun);
        if (!item.checkpoint.empty()) {
            checkpoint = item.checkpoint;
        }
    }
    if (!entry.mayStart) {
        this->announce(entry);
        return false;
    }
    const std::size_t startsBefore = this->orders.starts.size();
    for (std::size_t index = 0; index < state.items.size(); ++index) {
        Item &item = state.items[index];
        const ItemId id{entry.job.id, occurrence, step, static_cast<std::int32_t>(index)};
        Executor *executor = this->choose(entry, id, item);
        if (executor == nullptr) {
            // All members or none: take back what was placed.
            for (std::size_t placed = 0; placed < index; ++placed) {
                const ItemId member{entry.job.id, occurrence, step, static_cast<std::int32_t>(placed)};
                Executor &holder = *this->find(state.items[placed].where.front());
                this->release(holder, holder.runs.find(member));
                this->reindex(holder);
                state.items[placed].lastRun = number;
            }
            this->orders.starts.resize(startsBefore);
            return false;
        }
        item.checkpoint = checkpoint;
        this->startOn(*executor, entry, id, item, number + 1, round);
    }
    return true;
}

void PoolScheduler::Private::announce(JobEntry &entry)
{
    if (entry.isAnnounced) {
        return;
    }
    entry.isAnnounced = true;
    this->announced.insert(entry.job.id);
    this->touch(entry);
    this->isUrgent = true;
}

double PoolScheduler::Private::learnedFactor(const JobEntry &entry)
{
    return entry.timeRatio == nullptr ? 1.0 : std::max(1.0, *entry.timeRatio);
}

bool PoolScheduler::Private::wantsCopy(const JobEntry &entry, const ItemId &id, const Item &item, TimePoint now)
{
    const Executor &executor = *this->find(item.where.front());
    const Run &run = executor.runs.at(id);
    if (executor.failingSince != TimePoint{} && now - executor.failingSince > copyAfterSilence) {
        return true;
    }
    if (run.phase != RunPhase::Running || run.startedAt == TimePoint{} || run.expected.count() <= 0) {
        return false;
    }
    const double usual = static_cast<double>(run.expected.count()) * learnedFactor(entry);
    return static_cast<double>((span(run.startedAt, now) - copySlack).count()) > copyFactor * usual;
}

bool PoolScheduler::Private::placeStep(JobEntry &entry, std::int32_t number, std::int32_t step, const PlacementRound &round)
{
    const StepSpec &spec = entry.job.spec.steps[static_cast<std::size_t>(step)];
    StepState &state = entry.occurrences[static_cast<std::size_t>(number)].steps[static_cast<std::size_t>(step)];
    bool isLeft = false;
    for (std::size_t index = 0; index < state.items.size(); ++index) {
        Item &item = state.items[index];
        const bool mayCopy = spec.isSpeculative && item.phase == ItemPhase::Active && item.where.size() == 1;
        if (item.phase != ItemPhase::Waiting && !mayCopy) {
            continue;
        }
        isLeft = true;
        // A successor may have acknowledged the end of a run that this owner takes as lost.
        if (item.lostAt > round.confirmedAt && !spec.isSpeculative) {
            continue;
        }
        const ItemId id{entry.job.id, number, step, static_cast<std::int32_t>(index)};
        if (mayCopy && (round.isOverloaded || !this->wantsCopy(entry, id, item, round.now))) {
            continue;
        }
        Executor *executor = this->choose(entry, id, item);
        if (executor == nullptr) {
            break;
        }
        if (!entry.mayStart) {
            this->announce(entry);
            break;
        }
        this->startOn(*executor, entry, id, item, item.lastRun + 1, round);
    }
    return isLeft;
}

bool PoolScheduler::Private::place(JobEntry &entry, const PlacementRound &round)
{
    bool isLeft = false;
    for (std::size_t number = 0; number < entry.occurrences.size(); ++number) {
        OccurrenceState &occurrence = entry.occurrences[number];
        if (!occurrence.isOpen) {
            if (dueTime(entry.job.spec, number) > round.wallNow) {
                return true;
            }
            this->openOccurrence(entry, number);
        }
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
            const StepSpec &spec = entry.job.spec.steps[step];
            StepState &state = occurrence.steps[step];
            if (state.done >= spec.count || !this->isStepReady(entry, occurrence, step)) {
                continue;
            }
            const bool lacksPolicy = entry.hasPolicy && state.passesUntil <= round.now;
            // What an earlier owner started may run unseen; only speculative items may run twice.
            const bool mayRunUnseen = entry.isInherited && !round.isClear && !spec.isSpeculative;
            if (lacksPolicy || mayRunUnseen) {
                isLeft = true;
            } else if (spec.isGang) {
                isLeft = !this->placeGang(entry, static_cast<std::int32_t>(number), static_cast<std::int32_t>(step), round) || isLeft;
            } else {
                isLeft = this->placeStep(entry, static_cast<std::int32_t>(number), static_cast<std::int32_t>(step), round) || isLeft;
            }
            if (entry.isAnnounced && !entry.mayStart) {
                return true;
            }
        }
    }
    return isLeft;
}

bool PoolScheduler::Private::isOverloaded() const
{
    Resources capacity;
    for (const auto &[key, executor] : this->executors) {
        if (executor.isListed && executor.isContacted && !executor.info.isDraining) {
            capacity += executor.info.capacity;
        }
    }
    std::int64_t wanted = 0;
    for (const JobId &id : this->open) {
        const JobEntry &entry = this->jobs.at(id);
        if (entry.job.spec.recurrence.count > 0) {
            continue;
        }
        for (std::size_t step = 0; step < entry.job.spec.steps.size(); ++step) {
            const StepSpec &spec = entry.job.spec.steps[step];
            if (!spec.isBestEffort && this->isStepReady(entry, entry.occurrences.front(), step)) {
                wanted += spec.resources.cpu * (spec.count - entry.occurrences.front().steps[step].done);
            }
        }
    }
    return static_cast<double>(wanted) > overloadFactor * static_cast<double>(capacity.cpu);
}

bool PoolScheduler::Private::checkOverload(TimePoint now)
{
    if (this->overloadCheckedAt == TimePoint{} || now - this->overloadCheckedAt >= overloadInterval) {
        this->overloadCheckedAt = now;
        this->wasOverloaded = this->isOverloaded();
    }
    return this->wasOverloaded;
}

PlacementRank PoolScheduler::Private::rankOf(const JobEntry &entry, const PlacementRound &round) const
{
    const StepSpec &first = entry.job.spec.steps.front();
    const double expected = static_cast<double>(entry.chainLeft.count()) * learnedFactor(entry);
    const auto slack = span(round.now, entry.objective) - milliseconds(static_cast<std::int64_t>(expected));
    PlacementRank rank;
    rank.group = first.isLongRunning && !first.isBestEffort ? 0 : 1;
    rank.isLate = !first.isLongRunning && slack < milliseconds::zero();
    rank.priority = entry.priority;
    // Under overload what has begun is finished, and of the rest the newest has the best chance to be in time.
    rank.isPutOff = round.isOverloaded && !first.isLongRunning && !entry.hasRun;
    rank.slack = rank.isPutOff ? -slack.count() : slack.count();
    return rank;
}

SchedulerOrders PoolScheduler::plan(TimePoint now, WallTime wallNow, const OwnershipTerm &term, const PoolWatermarks &view)
{
    Private &state = *this->d;
    const TimePoint expiresAt = term.expiresAt;
    state.orders = SchedulerOrders{};
    state.expireLeases(now, term.confirmedAt);
    state.evacuate(now);
    const bool checksStalls = now - state.stallsCheckedAt >= stallInterval;
    state.stallsCheckedAt = checksStalls ? now : state.stallsCheckedAt;
    for (auto &[key, executor] : state.executors) {
        if (checksStalls) {
            state.stopStalled(executor, now);
        }
        state.resendStops(executor, now);
        state.stopOrphans(executor, now);
        state.paceFillers(executor, now);
    }
    if (state.placeable.empty() || span(now, expiresAt) < shortestLease || !state.checkView(view, now)) {
        return std::move(state.orders);
    }
    state.refreshIndex(now);
    const PlacementRound round{now, wallNow, expiresAt, term.confirmedAt, view, state.isClear(now), state.checkOverload(now)};
    std::vector<std::pair<PlacementRank, JobEntry *>> order;
    order.reserve(state.placeable.size());
    for (JobEntry *entry : state.placeable) {
        order.emplace_back(state.rankOf(*entry, round), entry);
    }
    std::sort(order.begin(), order.end(), [](const auto &left, const auto &right) {
        return left.first != right.first ? left.first < right.first : left.second->job.id < right.second->job.id;
    });
    for (const auto &[rank, entry] : order) {
        const bool isLeft = state.place(*entry, round);
        if (!isLeft) {
            state.placeable.erase(entry);
        }
    }
    return std::move(state.orders);
}

bool PoolScheduler::confirmStart(const StartOrder &order, const PoolWatermarks &view, TimePoint now)
{
    Executor *executor = this->d->find(ExecutorKey{order.executor.id, order.executor.incarnation});
    if (executor == nullptr) {
        return false;
    }
    const auto run = executor->runs.find(order.run.item);
    if (run == executor->runs.end() || run->second.number != order.run.run || run->second.isListed) {
        return false;
    }
    const JobEntry *entry = this->d->findJob(order.run.item.job);
    const bool isOpen = entry != nullptr && entry->isOpen();
    // A member that stays away would leave the rest of its gang waiting.
    const bool isGang = isOpen && this->d->stepOf(order.run.item).isGang;
    const bool isLeaving = executor->info.isDraining || this->d->isEvacuated(*executor);
    const bool isWanted = isOpen && (isGang || (run->second.phase == RunPhase::Starting && !isLeaving));
    if (isWanted && (isGang || this->d->isCurrent(view, now))) {
        return true;
    }
    this->d->note("start_withheld", order.run.item, *executor, order.run.run, isWanted ? "the view has become too old" : "no longer wanted");
    this->d->release(*executor, run);
    return false;
}

std::vector<PolicyRequest> PoolScheduler::takePolicyRequests(TimePoint now) const
{
    std::vector<PolicyRequest> questions;
    for (JobEntry *placeable : this->d->placeable) {
        JobEntry &entry = *placeable;
        const JobId &id = entry.job.id;
        if (!entry.hasPolicy) {
            continue;
        }
        for (std::size_t number = 0; number < entry.occurrences.size(); ++number) {
            OccurrenceState &occurrence = entry.occurrences[number];
            for (std::size_t step = 0; occurrence.isOpen && step < occurrence.steps.size(); ++step) {
                StepState &state = occurrence.steps[step];
                const bool isWanted = state.done < entry.job.spec.steps[step].count && state.passesUntil <= now && !state.isPolicyAsked;
                if (!isWanted || !this->d->isStepReady(entry, occurrence, step)) {
                    continue;
                }
                PolicyRequest question{ItemId{id, static_cast<std::int32_t>(number), static_cast<std::int32_t>(step), 0}, {}};
                for (const auto &[key, executor] : this->d->executors) {
                    if (this->d->isUsable(executor, now) && question.executors.size() < 100) {
                        question.executors.push_back(executor.info.id);
                    }
                }
                state.isPolicyAsked = true;
                questions.push_back(std::move(question));
            }
        }
    }
    return questions;
}

TimePoint PoolScheduler::nextWakeup(TimePoint now, WallTime wallNow) const
{
    TimePoint next = after(now, milliseconds(500));
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
