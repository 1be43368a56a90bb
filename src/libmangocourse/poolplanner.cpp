// Placement: what starts where, in which order.
#include "poolscheduler_pvt.h"

#include <algorithm>
#include <tuple>

namespace MangoCourse {

namespace {

using std::chrono::milliseconds;

// A start that would hold its lease for less than this is not worth sending.
constexpr milliseconds shortestLease{400};
// A speculative item gets a second run once its executor has been silent for this long, or once it takes this many times as long as expected.
constexpr milliseconds copyAfterSilence{200};
constexpr double copyFactor = 2.0;
constexpr milliseconds copySlack{300};
// Long-running items of one step that share a machine where there is a choice.
constexpr int mostTogether = 2;
// Ready work beyond this share of the pool's cores is overload.
constexpr double overloadFactor = 1.3;
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

Executor *PoolScheduler::Private::choose(const JobEntry &entry, const ItemId &id, const Item &item, TimePoint now)
{
    const StepSpec &spec = entry.job.spec.steps[static_cast<std::size_t>(id.step)];
    Room wanted = spec.room;
    if (spec.isFiller) {
        wanted.cpu = 0;
    }
    std::string siblingRack;
    if (spec.isSameRack) {
        for (const Item &sibling : entry.occurrences[static_cast<std::size_t>(id.occurrence)].steps[static_cast<std::size_t>(id.step)].items) {
            if (!sibling.where.empty()) {
                siblingRack = rackOf(this->find(sibling.where.front())->info);
                break;
            }
        }
    }
    Executor *best = nullptr;
    std::tuple<bool, bool, bool, bool, int, std::int64_t> bestScore;
    for (auto &[key, executor] : this->executors) {
        if (!this->isUsable(executor, now) || !executor.free().fits(wanted) || !this->admits(executor, entry, id, spec)) {
            continue;
        }
        const bool isOffRack
            = (!spec.preferredRack.empty() && !hasLabel(executor.info, spec.preferredRack)) || (!siblingRack.empty() && rackOf(executor.info) != siblingRack);
        const bool hasFailedHere = item.failedOn == executor.info.id;
        const bool isSuspect = !executor.failedJobs.empty();
        const bool isSlow = executor.slowness > slowExecutor;
        // Finite items fill the fullest executor, so that wide room stays for large items.
        const std::int64_t left = executor.free().cpu - wanted.cpu;
        const int spread = spec.isLongRunning ? longRunningRank(executor, id) : 0;
        const auto score = std::tuple(hasFailedHere, isOffRack, isSlow, isSuspect, spread, spec.isFiller ? -left : left);
        if (best == nullptr || score < bestScore) {
            best = &executor;
            bestScore = score;
        }
    }
    return best;
}

void PoolScheduler::Private::startOn(Executor &executor, JobEntry &entry, const ItemId &id, Item &item, std::int64_t number, TimePoint now, TimePoint horizon)
{
    const StepSpec &spec = entry.job.spec.steps[static_cast<std::size_t>(id.step)];
    Run &run = this->adopt(executor, id, number, now);
    run.phase = RunPhase::Starting;
    run.startedAt = TimePoint{};
    StartRun order{id, number, this->token, this->leaseUntil(executor, now, horizon), entry.job.spec.payload, {}, {}};
    if (spec.isCheckpointing) {
        order.checkpoint = item.checkpoint;
    }
    if (entry.hasPolicy) {
        const StepState &state = entry.occurrences[static_cast<std::size_t>(id.occurrence)].steps[static_cast<std::size_t>(id.step)];
        order.pass = state.passes.at(executor.info.id);
    }
    this->extendLease(executor, order.until, now);
    this->orders.starts.push_back(StartOrder{executor.info, std::move(order)});
}

bool PoolScheduler::Private::placeGang(JobEntry &entry, std::int32_t occurrence, std::int32_t step, const PlacementRound &round)
{
    const TimePoint now = round.now;
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
        Executor *executor = this->choose(entry, id, item, now);
        if (executor == nullptr) {
            // All members or none: take back what was placed.
            for (std::size_t placed = 0; placed < index; ++placed) {
                const ItemId member{entry.job.id, occurrence, step, static_cast<std::int32_t>(placed)};
                Executor &holder = *this->find(state.items[placed].where.front());
                this->release(holder, holder.runs.find(member));
                state.items[placed].lastRun = number;
            }
            this->orders.starts.resize(startsBefore);
            return false;
        }
        item.checkpoint = checkpoint;
        this->startOn(*executor, entry, id, item, number + 1, now, round.horizon);
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

double PoolScheduler::Private::learnedFactor(const QueueId &queue) const
{
    const auto ratio = this->timeRatio.find(queue);
    return ratio == this->timeRatio.end() ? 1.0 : std::max(1.0, ratio->second);
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
    const double usual = static_cast<double>(run.expected.count()) * this->learnedFactor(entry.job.queue);
    return static_cast<double>((span(run.startedAt, now) - copySlack).count()) > copyFactor * usual;
}

void PoolScheduler::Private::place(JobEntry &entry, const PlacementRound &round)
{
    const TimePoint now = round.now;
    const TimePoint horizon = round.horizon;
    for (std::size_t number = 0; number < entry.occurrences.size(); ++number) {
        OccurrenceState &occurrence = entry.occurrences[number];
        if (!occurrence.isOpen) {
            if (dueTime(entry.job.spec, number) > round.wallNow) {
                break;
            }
            this->openOccurrence(entry, number);
        }
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
            const StepSpec &spec = entry.job.spec.steps[step];
            StepState &state = occurrence.steps[step];
            const bool lacksPolicy = entry.hasPolicy && state.passesUntil <= now;
            if (state.done >= spec.count || lacksPolicy || !this->isStepReady(entry, occurrence, step)) {
                continue;
            }
            // What an earlier owner started may run unseen; only speculative items may run twice.
            if (entry.isInherited && !round.isClear && !spec.isSpeculative) {
                continue;
            }
            if (spec.isGang) {
                this->placeGang(entry, static_cast<std::int32_t>(number), static_cast<std::int32_t>(step), round);
                continue;
            }
            for (std::size_t index = 0; index < state.items.size(); ++index) {
                Item &item = state.items[index];
                const bool mayCopy = spec.isSpeculative && !round.isOverloaded && item.phase == ItemPhase::Active && item.where.size() == 1;
                if (item.phase != ItemPhase::Waiting && !mayCopy) {
                    continue;
                }
                // A successor may have acknowledged the end of a run that this owner takes as lost.
                if (item.lostAt > round.confirmedAt && !spec.isSpeculative) {
                    continue;
                }
                const ItemId id{entry.job.id, static_cast<std::int32_t>(number), static_cast<std::int32_t>(step), static_cast<std::int32_t>(index)};
                if (mayCopy && !this->wantsCopy(entry, id, item, now)) {
                    continue;
                }
                Executor *executor = this->choose(entry, id, item, now);
                if (executor == nullptr) {
                    break;
                }
                if (!entry.mayStart) {
                    this->announce(entry);
                    return;
                }
                this->startOn(*executor, entry, id, item, item.lastRun + 1, now, horizon);
            }
        }
    }
}

bool PoolScheduler::Private::isOverloaded() const
{
    Room capacity;
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
            if (!spec.isFiller && this->isStepReady(entry, entry.occurrences.front(), step)) {
                wanted += spec.room.cpu * (spec.count - entry.occurrences.front().steps[step].done);
            }
        }
    }
    return static_cast<double>(wanted) > overloadFactor * static_cast<double>(capacity.cpu);
}

SchedulerOrders PoolScheduler::plan(TimePoint now, WallTime wallNow, const OwnershipTerm &term)
{
    Private &state = *this->d;
    const TimePoint horizon = term.horizon;
    state.orders = SchedulerOrders{};
    state.expireLeases(now, term.confirmedAt);
    state.evacuate(now);
    for (auto &[key, executor] : state.executors) {
        state.stopStalled(executor, now);
        state.resendStops(executor, now);
        state.stopOrphans(executor, now);
        state.paceFillers(executor, now);
    }
    if (span(now, horizon) < shortestLease) {
        return std::move(state.orders);
    }
    // Long-running first, then by priority those that can still meet their objective, the least slack first.
    const PlacementRound round{now, wallNow, horizon, term.confirmedAt, state.isClear(now), state.isOverloaded()};
    std::vector<std::pair<std::tuple<int, bool, std::int32_t, bool, std::int64_t>, JobEntry *>> order;
    for (const JobId &id : state.open) {
        JobEntry &entry = *state.findJob(id);
        const bool isLongRunning = entry.job.spec.steps.front().isLongRunning;
        const bool isFiller = entry.job.spec.steps.front().isFiller;
        const double expected = static_cast<double>(state.remainingChain(entry).count()) * state.learnedFactor(entry.job.queue);
        const auto chain = milliseconds(static_cast<std::int64_t>(expected));
        const auto slack = span(now, entry.objective) - chain;
        const bool isLate = !isLongRunning && slack < milliseconds::zero();
        const int group = isLongRunning && !isFiller ? 0 : 1;
        // Under overload what has begun is finished, and of the rest the newest has the best chance to be in time.
        const bool isPutOff = round.isOverloaded && !isLongRunning && !entry.hasRun;
        order.emplace_back(std::tuple(group, isLate, entry.priority, isPutOff, isPutOff ? -slack.count() : slack.count()), &entry);
    }
    std::sort(order.begin(), order.end(), [](const auto &left, const auto &right) {
        return left.first < right.first;
    });
    for (auto &[key, entry] : order) {
        state.place(*entry, round);
    }
    return std::move(state.orders);
}

std::vector<PolicyQuestion> PoolScheduler::policyQuestions(TimePoint now) const
{
    std::vector<PolicyQuestion> questions;
    for (const JobId &id : this->d->open) {
        JobEntry &entry = *this->d->findJob(id);
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
                PolicyQuestion question{ItemId{id, static_cast<std::int32_t>(number), static_cast<std::int32_t>(step), 0}, {}};
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
    if (this->d->clearAt > now) {
        next = std::min(next, this->d->clearAt);
    }
    for (const JobId &id : this->d->open) {
        const JobEntry &entry = *this->d->findJob(id);
        for (std::size_t number = 0; number < entry.occurrences.size(); ++number) {
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
