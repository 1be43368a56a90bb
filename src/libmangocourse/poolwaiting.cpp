// Review of waiting work: tells why an accepted job waits. Changes no decision.
#include "poolscheduler_pvt.h"

#include <algorithm>
#include <tuple>

namespace MangoCourse {

namespace {

using std::chrono::milliseconds;

// Shorter than half a second, so that timers of half a second are never too early.
constexpr milliseconds minReviewInterval{400};
// An item is reported once it has waited this long, and a run once it was unlisted this long, which exceeds the long poll of a renewal.
constexpr milliseconds firstWaitingLine{1000};
constexpr milliseconds firstUnlistedLine{2500};
// The first interval between two lines about the same item or run; it doubles with each line, up to the second one.
constexpr milliseconds firstLineInterval{1000};
constexpr int maxIntervalDoublings = 5;
// Bounds of one review: items whose reason is determined, and lines of each kind.
constexpr std::size_t maxExaminedItems = 16;
constexpr std::size_t maxLines = 3;
// Executors that one line names.
constexpr std::size_t maxNames = 4;

TimePoint nextLine(TimePoint now, int lines)
{
    return after(now, firstLineInterval * (1 << std::min(lines, maxIntervalDoublings)));
}

template<typename Enum, std::size_t size>
std::string_view nameOf(Enum value, const std::array<std::string_view, size> &names)
{
    return names.at(static_cast<std::size_t>(value));
}

template<typename Enum, typename Counts>
auto &countOf(Counts &counts, Enum value)
{
    return counts.at(static_cast<std::size_t>(value));
}

std::string_view toString(RunPhase phase)
{
    static constexpr std::array<std::string_view, 4> names{"starting", "unacknowledged", "running", "stopping"};
    return nameOf(phase, names);
}

PlacementObstacle findShortage(const Resources &free, const Resources &demand)
{
    if (free.cpu < demand.cpu) {
        return PlacementObstacle::Cpu;
    }
    if (free.memory < demand.memory) {
        return PlacementObstacle::Memory;
    }
    return free.accelerators < demand.accelerators ? PlacementObstacle::Accelerators : PlacementObstacle::None;
}

// Returns how many more members of a gang fit into the resources.
std::int32_t countFitting(Resources free, const Resources &demand, std::int32_t limit)
{
    std::int32_t fitting = 0;
    for (; fitting < limit && free.covers(demand); ++fitting) {
        free -= demand;
    }
    return fitting;
}

}

std::string_view toString(WaitReason reason)
{
    static constexpr std::array<std::string_view, waitReasonCount> names{"unexamined", "no-plan", "short-term", "old-watermarks", "unassigned", "not-placeable",
        "intent-not-durable", "previous-runs", "possibly-active", "gang-incomplete", "policy-unanswered", "no-executor", "no-usable-executor", "no-room",
        "constraint", "no-pass", "account-limit", "orders-held", "not-tried", "run-unlisted"};
    return nameOf(reason, names);
}

std::string_view toString(ExecutorUsability usability)
{
    static constexpr std::array<std::string_view, executorUsabilityCount> names{
        "usable", "unlisted", "draining", "never-contacted", "failing", "not-recorded", "no-clock", "avoided", "evacuated", "clearing"};
    return nameOf(usability, names);
}

std::string_view toString(PlacementObstacle obstacle)
{
    static constexpr std::array<std::string_view, placementObstacleCount> names{
        "suitable", "no-cpu", "no-memory", "no-accelerator", "no-label", "runs-here", "per-executor-limit", "no-pass"};
    return nameOf(obstacle, names);
}

// One review of a pool.
class PoolScheduler::Private::Reviewer
{
public:
    Reviewer(Private &pool, TimePoint now, WallTime wallNow)
        : pool(pool)
        , now(now)
        , wallNow(wallNow)
    {
    }

    WaitingReview review();
    UsabilityCounts countExecutors() const;

private:
    void reviewRuns();
    bool isLineDue(const Executor &executor, const Run &run);
    void updateWatches();
    std::optional<ItemId> findWaitingItem(const JobEntry &entry) const;
    void watch(const JobEntry &entry, const ItemId &id);
    TimePoint readySince(const JobEntry &entry, const ItemId &id) const;
    std::vector<WaitingJob *> findDueItems();
    void reviewItems();
    WaitingItem examine(const WaitingJob &waiting);
    std::optional<WaitReason> findPlanReason() const;
    std::optional<WaitReason> findHold(JobEntry &entry, const ItemId &id, WaitingItem &line) const;
    bool isPossiblyActive(const StepState &state, const StepSpec &spec, const ItemId &id) const;
    bool isGangIncomplete(const StepState &state) const;
    WaitReason findPlacementReason(const JobEntry &entry, const ItemId &id, WaitingItem &line) const;
    WaitReason nameObstacle(const ObstacleCounts &obstacles) const;
    std::string namePreviousExecutors() const;
    void countJobs();

    Private &pool;
    TimePoint now;
    WallTime wallNow;
    WaitingReview result;
    // Jobs with a run that is not listed.
    std::set<JobId> jobsWithUnlistedRuns;
    std::int32_t unlistedRuns = 0;
    milliseconds failingFor{};
    UsabilityCounts executors{};
};

ExecutorUsability PoolScheduler::Private::usabilityOf(const Executor &executor, TimePoint now) const
{
    if (!executor.isListed) {
        return ExecutorUsability::Unlisted;
    }
    if (executor.info.isDraining) {
        return ExecutorUsability::Draining;
    }
    if (!executor.hasAnswered()) {
        return ExecutorUsability::NeverContacted;
    }
    if (executor.failingSince != TimePoint{}) {
        return ExecutorUsability::Failing;
    }
    if (!executor.isRecorded) {
        return ExecutorUsability::NotRecorded;
    }
    if (!executor.clock || now - executor.clockReadAt > maxClockAge) {
        return ExecutorUsability::NoClock;
    }
    if (executor.avoidedUntil > now) {
        return ExecutorUsability::Avoided;
    }
    if (this->isEvacuated(executor)) {
        return ExecutorUsability::Evacuated;
    }
    if (executor.withheldAt != TimePoint{}) {
        return ExecutorUsability::Unproven;
    }
    if (executor.hasUnreadEnds) {
        // Another start would hold up the acknowledgement, without which the other ends are not listed.
        return ExecutorUsability::UnreadEnds;
    }
    return executor.orphans.empty() ? ExecutorUsability::Usable : ExecutorUsability::Clearing;
}

void PoolScheduler::Private::notePlan(TimePoint now, const OwnershipTerm &term, const PoolWatermarks &watermarks)
{
    PlanInputs &plan = this->waiting.plan;
    const Duration gap = plan.at == TimePoint{} ? Duration::zero() : now - plan.at;
    plan = PlanInputs{now, term.confirmedAt, term.expiresAt, watermarks.requestWatermark, watermarks.executorWatermark, std::max(plan.longestGap, gap)};
}

void PoolScheduler::Private::noteUnreachable(Executor &executor, OrderOutcome outcome, TimePoint now)
{
    if (!this->observer) {
        return;
    }
    SchedulerEvent event{"executor_unreachable", ItemId{}, executor.info.id, 0, std::string(MangoCourse::toString(outcome))};
    if (executor.reportedAt != TimePoint{}) {
        event.lasted = millisecondsBetween(executor.reportedAt, now);
    }
    this->observer(event);
}

void PoolScheduler::Private::noteReachable(Executor &executor, TimePoint now)
{
    if (this->observer && executor.failingSince != TimePoint{}) {
        this->observer(SchedulerEvent{"executor_reachable", ItemId{}, executor.info.id, 0, "done", millisecondsBetween(executor.failingSince, now)});
    }
    executor.reportedAt = now;
}

WaitingReview PoolScheduler::Private::Reviewer::review()
{
    WaitingWatch &watch = this->pool.waiting;
    ++watch.review;
    watch.reviewedAt = this->now;
    this->executors = this->countExecutors();
    this->reviewRuns();
    this->updateWatches();
    this->reviewItems();
    this->countJobs();
    this->result.accounts = this->pool.reviewAccounts(this->now);
    watch.plan.longestGap = Duration::zero();
    return std::move(this->result);
}

UsabilityCounts PoolScheduler::Private::Reviewer::countExecutors() const
{
    UsabilityCounts counts{};
    for (const auto &[key, executor] : this->pool.executors) {
        ++countOf(counts, this->pool.usabilityOf(executor, this->now));
    }
    return counts;
}

bool PoolScheduler::Private::Reviewer::isLineDue(const Executor &executor, const Run &run)
{
    auto &watches = this->pool.waiting.runs;
    const bool isFull = this->result.runs.size() >= maxLines;
    const auto watch = isFull ? watches.find({run.item, executor.info.id}) : watches.try_emplace({run.item, executor.info.id}).first;
    if (watch == watches.end()) {
        return false;
    }
    UnlistedWatch &known = watch->second;
    known = known.run == run.number ? known : UnlistedWatch{run.number, {}, 0, 0};
    known.review = this->pool.waiting.review;
    if (known.nextLineAt > this->now || isFull) {
        return false;
    }
    known.nextLineAt = nextLine(this->now, known.lines++);
    return true;
}

void PoolScheduler::Private::Reviewer::reviewRuns()
{
    for (const auto &[key, executor] : this->pool.executors) {
        if (executor.isListed && executor.failingSince != TimePoint{}) {
            this->failingFor = std::max(this->failingFor, millisecondsBetween(executor.failingSince, this->now));
        }
        for (const auto &[id, run] : executor.runs) {
            const milliseconds age = millisecondsBetween(run.seenAt, this->now);
            if (age < firstUnlistedLine) {
                continue;
            }
            ++this->unlistedRuns;
            this->jobsWithUnlistedRuns.insert(id.job);
            if (this->isLineDue(executor, run)) {
                const milliseconds reportAge = executor.reportedAt == TimePoint{} ? milliseconds(-1) : millisecondsBetween(executor.reportedAt, this->now);
                this->result.runs.push_back(UnlistedRun{id, executor.info.id, run.number, toString(run.phase), age, reportAge});
            }
        }
    }
    std::erase_if(this->pool.waiting.runs, [this](const auto &known) {
        return known.second.review != this->pool.waiting.review;
    });
}

std::optional<ItemId> PoolScheduler::Private::Reviewer::findWaitingItem(const JobEntry &entry) const
{
    ItemId id{entry.job.id, 0, 0, 0};
    for (std::size_t number = 0; number < entry.occurrences.size(); ++number) {
        const OccurrenceState &occurrence = entry.occurrences[number];
        id.occurrence = static_cast<std::int32_t>(number);
        if (!occurrence.isOpen) {
            return dueTime(entry.job.spec, number) <= this->wallNow ? std::optional(id) : std::nullopt;
        }
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
            if (occurrence.steps[step].done >= entry.job.spec.steps[step].count || !this->pool.isStepReady(entry, occurrence, step)) {
                continue;
            }
            const std::vector<Item> &items = occurrence.steps[step].items;
            const auto waiting = std::find_if(items.begin(), items.end(), [](const Item &item) {
                return item.phase == ItemPhase::Waiting;
            });
            if (waiting != items.end()) {
                id.step = static_cast<std::int32_t>(step);
                id.index = static_cast<std::int32_t>(waiting - items.begin());
                return id;
            }
        }
    }
    return std::nullopt;
}

TimePoint PoolScheduler::Private::Reviewer::readySince(const JobEntry &entry, const ItemId &id) const
{
    const StepSpec &spec = entry.job.spec.steps[static_cast<std::size_t>(id.step)];
    const OccurrenceState &occurrence = entry.occurrences[static_cast<std::size_t>(id.occurrence)];
    const bool hasRun
        = occurrence.isOpen && occurrence.steps[static_cast<std::size_t>(id.step)].items[static_cast<std::size_t>(id.index)].lastRun > this->pool.runNumberBase;
    if (entry.isInherited || hasRun || !spec.dependsOn.empty()) {
        return this->now;
    }
    if (entry.job.spec.recurrence.count == 0) {
        return entry.addedAt;
    }
    const auto sinceDue = this->wallNow - dueTime(entry.job.spec, static_cast<std::size_t>(id.occurrence));
    return std::max(entry.addedAt, after(this->now, -sinceDue));
}

void PoolScheduler::Private::Reviewer::watch(const JobEntry &entry, const ItemId &id)
{
    const auto [known, isNew] = this->pool.waiting.jobs.try_emplace(id.job);
    WaitingJob &waiting = known->second;
    const bool isSameStep = !isNew && waiting.item.occurrence == id.occurrence && waiting.item.step == id.step;
    if (!isSameStep) {
        waiting = WaitingJob{};
        waiting.since = this->readySince(entry, id);
    }
    waiting.item = id;
    waiting.review = this->pool.waiting.review;
}

void PoolScheduler::Private::Reviewer::updateWatches()
{
    for (const JobId &id : this->pool.openJobs) {
        const JobEntry &entry = this->pool.jobs.at(id);
        if (const std::optional<ItemId> item = this->findWaitingItem(entry)) {
            this->watch(entry, *item);
        }
    }
    std::erase_if(this->pool.waiting.jobs, [this](const auto &known) {
        return known.second.review != this->pool.waiting.review;
    });
}

std::vector<WaitingJob *> PoolScheduler::Private::Reviewer::findDueItems()
{
    std::vector<WaitingJob *> due;
    for (auto &[id, waiting] : this->pool.waiting.jobs) {
        if (this->now - waiting.since >= firstWaitingLine && waiting.nextLineAt <= this->now) {
            due.push_back(&waiting);
        }
    }
    const auto count = static_cast<std::ptrdiff_t>(std::min(due.size(), maxExaminedItems));
    std::partial_sort(due.begin(), due.begin() + count, due.end(), [](const WaitingJob *left, const WaitingJob *right) {
        return std::tie(left->lines, left->examinedAt, left->since, left->item) < std::tie(right->lines, right->examinedAt, right->since, right->item);
    });
    due.resize(static_cast<std::size_t>(count));
    return due;
}

void PoolScheduler::Private::Reviewer::reviewItems()
{
    std::vector<std::pair<WaitingJob *, WaitingItem>> examined;
    for (WaitingJob *waiting : this->findDueItems()) {
        examined.emplace_back(waiting, this->examine(*waiting));
        waiting->reason = examined.back().second.reason;
        waiting->examinedAt = this->now;
    }
    // Work that waits for room is the usual case, so the others are told first.
    std::stable_partition(examined.begin(), examined.end(), [](const auto &entry) {
        return entry.second.reason != WaitReason::NoRoom;
    });
    examined.erase(examined.begin() + static_cast<std::ptrdiff_t>(std::min(examined.size(), maxLines)), examined.end());
    for (auto &[waiting, line] : examined) {
        waiting->nextLineAt = nextLine(this->now, waiting->lines++);
        this->result.items.push_back(std::move(line));
    }
}

WaitingItem PoolScheduler::Private::Reviewer::examine(const WaitingJob &waiting)
{
    JobEntry &entry = this->pool.jobs.at(waiting.item.job);
    const PlanInputs &plan = this->pool.waiting.plan;
    WaitingItem line;
    line.item = waiting.item;
    line.age = millisecondsBetween(waiting.since, this->now);
    line.sinceAccepted = millisecondsBetween(entry.addedAt, this->now);
    line.executors = this->executors;
    line.failingFor = this->failingFor;
    line.unlistedRuns = this->unlistedRuns;
    line.planGap = std::chrono::duration_cast<milliseconds>(std::max(plan.longestGap, this->now - plan.at));
    line.requestsAge = millisecondsBetween(plan.requestWatermark, this->now);
    line.executorsAge = millisecondsBetween(plan.executorWatermark, this->now);
    line.confirmedAge = millisecondsBetween(plan.confirmedAt, this->now);
    line.termLeft = millisecondsBetween(this->now, plan.expiresAt);
    // The counts are of use whatever the reason is.
    const WaitReason placement = this->findPlacementReason(entry, waiting.item, line);
    std::optional<WaitReason> reason = this->findPlanReason();
    reason = reason ? reason : this->findHold(entry, waiting.item, line);
    line.reason = reason.value_or(placement);
    return line;
}

std::optional<WaitReason> PoolScheduler::Private::Reviewer::findPlanReason() const
{
    const PlanInputs &plan = this->pool.waiting.plan;
    if (plan.at == TimePoint{} || this->now - plan.at >= firstWaitingLine) {
        return WaitReason::NoPlan;
    }
    if (millisecondsBetween(plan.at, plan.expiresAt) < minStartLease) {
        return WaitReason::ShortTerm;
    }
    const PoolWatermarks watermarks{plan.requestWatermark, plan.executorWatermark};
    return this->pool.areWatermarksFresh(watermarks, plan.at) ? std::nullopt : std::optional(WaitReason::OldWatermarks);
}

bool PoolScheduler::Private::Reviewer::isGangIncomplete(const StepState &state) const
{
    return std::any_of(state.items.begin(), state.items.end(), [](const Item &item) {
        return item.phase != ItemPhase::Waiting;
    });
}

bool PoolScheduler::Private::Reviewer::isPossiblyActive(const StepState &state, const StepSpec &spec, const ItemId &id) const
{
    const TimePoint confirmedAt = this->pool.waiting.plan.confirmedAt;
    const auto isHeld = [confirmedAt](const Item &item) {
        return item.possiblyActiveUntil() > confirmedAt;
    };
    if (spec.isGang) {
        return std::any_of(state.items.begin(), state.items.end(), isHeld);
    }
    return !spec.isSpeculative && isHeld(state.items[static_cast<std::size_t>(id.index)]);
}

std::optional<WaitReason> PoolScheduler::Private::Reviewer::findHold(JobEntry &entry, const ItemId &id, WaitingItem &line) const
{
    if (!this->pool.placeable.contains(&entry)) {
        return WaitReason::NotPlaceable;
    }
    const OccurrenceState &occurrence = entry.occurrences[static_cast<std::size_t>(id.occurrence)];
    if (!occurrence.isOpen) {
        return WaitReason::NotTried;
    }
    const StepSpec &spec = entry.job.spec.steps[static_cast<std::size_t>(id.step)];
    const StepState &state = occurrence.steps[static_cast<std::size_t>(id.step)];
    if (entry.hasPolicy && isPolicyUnanswered(state)) {
        return WaitReason::PolicyUnanswered;
    }
    if (entry.isInherited && !spec.isSpeculative && !this->pool.arePreviousRunsKnown(this->now)) {
        line.waitsFor = this->namePreviousExecutors();
        return WaitReason::PreviousRuns;
    }
    if (spec.isGang && this->isGangIncomplete(state)) {
        return WaitReason::GangIncomplete;
    }
    if (this->isPossiblyActive(state, spec, id)) {
        return WaitReason::PossiblyActive;
    }
    if (!this->pool.fitsQuota(entry, spec)) {
        line.waitsFor = "account " + entry.job.account.value;
        return WaitReason::AccountLimit;
    }
    return std::nullopt;
}

WaitReason PoolScheduler::Private::Reviewer::findPlacementReason(const JobEntry &entry, const ItemId &id, WaitingItem &line) const
{
    if (!entry.occurrences[static_cast<std::size_t>(id.occurrence)].isOpen) {
        return WaitReason::NotTried;
    }
    const StepSpec &spec = entry.job.spec.steps[static_cast<std::size_t>(id.step)];
    Resources demand = spec.resources;
    demand.cpu = spec.isBestEffort ? 0 : demand.cpu;
    std::int32_t fitting = 0;
    bool canOrder = false;
    for (const auto &[key, executor] : this->pool.executors) {
        if (this->pool.usabilityOf(executor, this->now) != ExecutorUsability::Usable) {
            continue;
        }
        PlacementObstacle obstacle = findShortage(executor.free(), demand);
        obstacle = obstacle == PlacementObstacle::None ? this->pool.findConstraint(executor, entry, id, spec) : obstacle;
        ++countOf(line.obstacles, obstacle);
        canOrder = canOrder || (obstacle == PlacementObstacle::None && this->pool.hasStartRoom(executor));
        if (obstacle == PlacementObstacle::None && spec.isGang) {
            fitting += countFitting(executor.free(), demand, spec.perExecutorLimit > 0 ? spec.perExecutorLimit : spec.count);
        }
    }
    if (countOf(line.obstacles, PlacementObstacle::None) == 0) {
        return this->nameObstacle(line.obstacles);
    }
    if (spec.isGang && fitting < spec.count) {
        return WaitReason::NoRoom;
    }
    if (!canOrder) {
        return WaitReason::OrdersHeld;
    }
    return entry.mayStart ? WaitReason::NotTried : WaitReason::IntentNotDurable;
}

WaitReason PoolScheduler::Private::Reviewer::nameObstacle(const ObstacleCounts &obstacles) const
{
    const std::int32_t unlisted = countOf(this->executors, ExecutorUsability::Unlisted);
    if (static_cast<std::int32_t>(this->pool.executors.size()) == unlisted) {
        return WaitReason::NoExecutor;
    }
    if (countOf(this->executors, ExecutorUsability::Usable) == 0) {
        return WaitReason::NoUsableExecutor;
    }
    if (countOf(obstacles, PlacementObstacle::Pass) > 0) {
        return WaitReason::NoPass;
    }
    const bool isConstrained = countOf(obstacles, PlacementObstacle::Label) > 0 || countOf(obstacles, PlacementObstacle::RunsHere) > 0
        || countOf(obstacles, PlacementObstacle::PerExecutorLimit) > 0;
    return isConstrained ? WaitReason::Constraint : WaitReason::NoRoom;
}

std::string PoolScheduler::Private::Reviewer::namePreviousExecutors() const
{
    std::vector<std::string> names;
    for (const auto &[key, executor] : this->pool.executors) {
        if (this->pool.mayHoldUnknownRuns(executor, this->now)) {
            names.push_back(key.id.value);
        }
    }
    for (const auto &[key, previous] : this->pool.previousExecutors) {
        const auto known = this->pool.executors.find(key);
        const bool isMissing = known == this->pool.executors.end() || !known->second.isListed;
        if (isMissing && !this->pool.arePreviousRunsOver(key, previous, this->now)) {
            names.push_back(key.id.value);
        }
    }
    std::string text;
    for (std::size_t number = 0; number < std::min(names.size(), maxNames); ++number) {
        text += (number > 0 ? ", " : "") + names[number];
    }
    return names.size() > maxNames ? text + " and " + std::to_string(names.size() - maxNames) + " more" : text;
}

void PoolScheduler::Private::Reviewer::countJobs()
{
    auto &counts = this->pool.waiting.jobsByReason;
    counts.fill(0);
    for (const auto &[id, waiting] : this->pool.waiting.jobs) {
        if (this->now - waiting.since >= firstWaitingLine) {
            ++countOf(counts, waiting.reason);
            this->jobsWithUnlistedRuns.erase(id);
        }
    }
    countOf(counts, WaitReason::RunUnlisted) = this->jobsWithUnlistedRuns.size();
}

WaitingReview PoolScheduler::reviewWaiting(TimePoint now, WallTime wallNow)
{
    const TimePoint last = this->d->waiting.reviewedAt;
    if (last != TimePoint{} && now - last < minReviewInterval) {
        return {};
    }
    return Private::Reviewer(*this->d, now, wallNow).review();
}

PoolWaiting PoolScheduler::waiting(TimePoint now) const
{
    return PoolWaiting{this->d->waiting.jobsByReason, Private::Reviewer(*this->d, now, WallTime{}).countExecutors(), this->d->accountLoads()};
}

}
