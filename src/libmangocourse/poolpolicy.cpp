// Requests to the placement policy: which steps need one, which executors it names, and what the answers mean.
#include "poolscheduler_pvt.h"

#include <algorithm>
#include <tuple>

namespace MangoCourse {

namespace {

using std::chrono::milliseconds;

// A step is not examined again for this long after all executors with room for it were found to be ruled out, since that costs a pass over them.
constexpr milliseconds passCheckInterval{250};
// The policy does not change its mind about a step. An executor that it ruled out is named again after this time in case its answer was incomplete.
constexpr milliseconds exclusionRetention{30'000};
// Pause before the next request for a step after an error of the policy, doubled with each further one.
constexpr milliseconds firstRetryDelay{100};
constexpr milliseconds maxRetryDelay{2000};
constexpr std::int32_t maxRetryDoublings = 8;
// Passes are taken for expired this much before they are, at most, so that the executor receives the start in time.
constexpr milliseconds maxExpiryMargin{100};
constexpr int expiryMarginDivisor = 10;
// Room on an executor is kept for a step for this long after its pass was granted. Then the step is taken to be held up by something else.
constexpr milliseconds claimDuration{1000};
// Weight of the earlier answers of a queue in the share of the executors that it is allowed.
constexpr double shareRetention = 0.9;
// Weight of the queue's share against the answers for the step itself, in executors.
constexpr double queueShareWeight = 4.0;
constexpr double minAllowedShare = 0.01;
// A request names no more executors than this time covers, or this multiple of what a further request costs: others wait until it ends.
constexpr milliseconds maxNamingTime{500};
constexpr int namingTimeFactor = 4;
// Costs of a policy whose queue has left the configuration before this owner read it.
constexpr PlacementPolicy undeclaredPolicy{milliseconds(100), milliseconds(10), milliseconds(1000)};
// Counting the items that a step could start stops here; no request names executors for more.
constexpr std::int32_t maxCountedItems = 1000;

// Returns true if items of the step can start once the policy allows it.
bool isForStart(PolicyPurpose purpose)
{
    return purpose == PolicyPurpose::Start || purpose == PolicyPurpose::Retry;
}

bool isAllowed(const PolicyVerdict &verdict)
{
    return verdict.kind == PolicyVerdictKind::Allowed;
}

bool isOfIncarnation(const PolicyVerdict &verdict, const Executor &executor)
{
    return verdict.incarnation == 0 || verdict.incarnation == executor.info.incarnation;
}

}

// The ready steps with a policy at one time. Room that steps will take with the passes that they have is not offered to others.
class PoolScheduler::Private::PolicyRound
{
public:
    // A ready step, and the items that it could start beyond those that its passes cover.
    struct Step {
        JobEntry *entry = nullptr;
        StepState *state = nullptr;
        const StepSpec *spec = nullptr;
        ItemId firstItem;
        std::int32_t uncoveredItems = 0;
        PlacementRank rank;
    };

    // An executor to name, and the number of items that it has room for.
    struct Candidate {
        const Executor *executor = nullptr;
        PolicyVerdictKind verdict = PolicyVerdictKind::Unknown;
        CandidateRank rank;
        std::int32_t slots = 0;
    };

    PolicyRound(PoolScheduler::Private &pool, TimePoint now)
        : pool(pool)
        , now(now)
    {
        this->pool.refreshIndex(now);
        this->collectSteps();
    }

    // Steps with uncovered items, the most urgent first.
    std::vector<Step> steps;

    // Returns what a request for the step would be for, or nothing if it needs none.
    std::optional<PolicyPurpose> findPurpose(const Step &step) const;
    // Returns the executors to name in a request for the purpose, the best first.
    std::vector<const Executor *> chooseExecutors(const Step &step, PolicyPurpose purpose) const;

private:
    void collectSteps();
    // Counts the items of the step that could start now, and names the first of them.
    std::int32_t countStartableItems(const JobEntry &entry, const StepState &state, const StepSpec &spec, ItemId &firstItem) const;
    void collectSteps(JobEntry &entry, const PlacementRank &rank);
    // Reserves room for the items that the step's passes cover, and returns how many are left.
    std::int32_t claimRoom(const JobEntry &entry, const StepState &state, const StepSpec &spec, const ItemId &firstItem, std::int32_t items);
    // Returns the number of items of the step that the executor can take, up to `limit`.
    std::int32_t countSlots(
        const Executor &executor, const JobEntry &entry, const StepSpec &spec, const ItemId &item, Resources room, std::int32_t limit) const;
    Resources roomOf(const Executor &executor) const;
    // Calls `visit` with each executor that has no pass and has room for the step, those with the least free CPU first, until it returns true.
    // `isRuledOut`: the policy has excluded the executor not long ago.
    template<typename Visitor>
    void visitRoom(const Step &step, Visitor visit) const;
    std::vector<Candidate> findCandidates(const Step &step) const;
    static bool isLargeEnough(const Executor &executor, const Step &step);
    // Returns the executors that could hold an item of the step if they were empty.
    std::vector<Candidate> findLargeEnough(const Step &step) const;

    PoolScheduler::Private &pool;
    TimePoint now;
    std::map<const Executor *, Resources> claimed;
};

void PoolScheduler::Private::PolicyRound::collectSteps()
{
    std::vector<std::pair<PlacementRank, JobEntry *>> entries;
    for (JobEntry *entry : this->pool.placeable) {
        if (entry->hasPolicy) {
            entries.emplace_back(this->pool.rankJob(*entry, this->now, false), entry);
        }
    }
    std::sort(entries.begin(), entries.end(), [](const auto &left, const auto &right) {
        return left.first != right.first ? left.first < right.first : left.second->job.id < right.second->job.id;
    });
    for (const auto &[rank, entry] : entries) {
        this->collectSteps(*entry, rank);
    }
}

void PoolScheduler::Private::PolicyRound::collectSteps(JobEntry &entry, const PlacementRank &rank)
{
    for (std::size_t number = 0; number < entry.occurrences.size(); ++number) {
        OccurrenceState &occurrence = entry.occurrences[number];
        for (std::size_t index = 0; occurrence.isOpen && index < occurrence.steps.size(); ++index) {
            StepState &state = occurrence.steps[index];
            const StepSpec &spec = entry.job.spec.steps[index];
            if (state.done >= spec.count || !this->pool.isStepReady(entry, occurrence, index)) {
                continue;
            }
            expirePasses(state, this->now);
            ItemId firstItem{entry.job.id, static_cast<std::int32_t>(number), static_cast<std::int32_t>(index), 0};
            const std::int32_t startable = this->countStartableItems(entry, state, spec, firstItem);
            const std::int32_t uncovered = startable > 0 ? this->claimRoom(entry, state, spec, firstItem, startable) : 0;
            const bool isPaused = !state.requestedExecutors.empty() || state.policyRetryAt > this->now
                || (state.policyCheckedAt != TimePoint{} && this->now - state.policyCheckedAt < passCheckInterval);
            if (uncovered > 0 && !isPaused) {
                this->steps.push_back(Step{&entry, &state, &spec, firstItem, uncovered, rank});
            }
        }
    }
}

std::int32_t PoolScheduler::Private::PolicyRound::countStartableItems(
    const JobEntry &entry, const StepState &state, const StepSpec &spec, ItemId &firstItem) const
{
    std::int32_t startable = 0;
    for (std::size_t index = 0; index < state.items.size() && startable < maxCountedItems; ++index) {
        const Item &item = state.items[index];
        ItemId id = firstItem;
        id.index = static_cast<std::int32_t>(index);
        const bool isWaiting = item.phase == ItemPhase::Waiting && (spec.isSpeculative || item.possiblyActiveUntil() <= this->now);
        const bool wantsCopy
            = spec.isSpeculative && item.phase == ItemPhase::Active && item.runningOn.size() == 1 && this->pool.needsSecondRun(entry, id, item, this->now);
        if (!isWaiting && !wantsCopy) {
            continue;
        }
        if (startable == 0) {
            firstItem.index = id.index;
        }
        ++startable;
    }
    return startable;
}

Resources PoolScheduler::Private::PolicyRound::roomOf(const Executor &executor) const
{
    Resources room = executor.free();
    const auto claims = this->claimed.find(&executor);
    if (claims != this->claimed.end()) {
        room -= claims->second;
    }
    return room;
}

std::int32_t PoolScheduler::Private::PolicyRound::countSlots(
    const Executor &executor, const JobEntry &entry, const StepSpec &spec, const ItemId &item, Resources room, std::int32_t limit) const
{
    const PlacementObstacle obstacle = this->pool.findConstraint(executor, entry, item, spec);
    if (obstacle != PlacementObstacle::None && obstacle != PlacementObstacle::Pass) {
        return 0;
    }
    const std::int32_t ofStep = countRunsOfStep(executor, item);
    if (spec.perExecutorLimit > 0) {
        limit = std::min(limit, spec.perExecutorLimit - ofStep);
    }
    if (spec.isLongRunning) {
        // Placement spreads them.
        limit = std::min(limit, std::max(1, maxItemsOfStepPerExecutor - ofStep));
    }
    if (executor.isTried(this->now) && !spec.isGang) {
        limit = std::min(limit, 1);
    }
    const Resources demand = demandOf(spec);
    std::int32_t slots = 0;
    for (; slots < limit && room.covers(demand); ++slots) {
        room -= demand;
    }
    return slots;
}

std::int32_t PoolScheduler::Private::PolicyRound::claimRoom(
    const JobEntry &entry, const StepState &state, const StepSpec &spec, const ItemId &firstItem, std::int32_t items)
{
    const Resources demand = demandOf(spec);
    std::map<const Executor *, Resources> claims;
    for (const auto &[id, verdict] : state.verdicts) {
        const Executor *executor = verdict.pass.empty() || items == 0 ? nullptr : this->pool.findIndexed(id);
        if (executor == nullptr || !isOfIncarnation(verdict, *executor)) {
            continue;
        }
        const std::int32_t slots = this->countSlots(*executor, entry, spec, firstItem, this->roomOf(*executor), items);
        for (std::int32_t count = 0; count < slots && this->now - verdict.grantedAt < claimDuration; ++count) {
            claims[executor] += demand;
        }
        items -= slots;
    }
    // A gang takes no room unless there is enough for all of it.
    if (items == 0 || !spec.isGang) {
        for (const auto &[executor, resources] : claims) {
            this->claimed[executor] += resources;
        }
    }
    return items;
}

template<typename Visitor>
void PoolScheduler::Private::PolicyRound::visitRoom(const Step &step, Visitor visit) const
{
    const CapacityIndex::Slots &slots = this->pool.index.slots(step.spec->requiredLabel);
    for (auto slot = slots.lower_bound(CapacitySlot{demandOf(*step.spec).cpu, 0, nullptr}); slot != slots.end(); ++slot) {
        const Executor &executor = *slot->executor;
        const auto known = step.state->verdicts.find(executor.info.id);
        const bool isKnown = known != step.state->verdicts.end() && isOfIncarnation(known->second, executor);
        if (isKnown && !known->second.pass.empty()) {
            continue;
        }
        const bool isRuledOut = isKnown && !isAllowed(known->second) && known->second.validUntil > this->now;
        const std::int32_t fitting
            = this->countSlots(executor, *step.entry, *step.spec, step.firstItem, this->roomOf(executor), isRuledOut ? 1 : step.uncoveredItems);
        const PolicyVerdictKind verdict = isKnown ? known->second.kind : PolicyVerdictKind::Unknown;
        if (fitting > 0 && visit(executor, verdict, isRuledOut, fitting)) {
            return;
        }
    }
}

std::vector<PoolScheduler::Private::PolicyRound::Candidate> PoolScheduler::Private::PolicyRound::findCandidates(const Step &step) const
{
    std::vector<Candidate> candidates;
    const Item &item = step.state->items[static_cast<std::size_t>(step.firstItem.index)];
    const std::string siblingRack = step.spec->prefersSameRack ? this->pool.findSiblingRack(*step.entry, step.firstItem) : std::string();
    this->visitRoom(step, [&](const Executor &executor, PolicyVerdictKind verdict, bool isRuledOut, std::int32_t fitting) {
        if (!isRuledOut) {
            const CandidateRank rank = this->pool.rankCandidate(executor, *step.entry, step.firstItem, item, siblingRack);
            candidates.push_back(Candidate{&executor, verdict, rank, fitting});
        }
        return false;
    });
    return candidates;
}

bool PoolScheduler::Private::PolicyRound::isLargeEnough(const Executor &executor, const Step &step)
{
    return executor.info.capacity.covers(demandOf(*step.spec));
}

std::vector<PoolScheduler::Private::PolicyRound::Candidate> PoolScheduler::Private::PolicyRound::findLargeEnough(const Step &step) const
{
    std::vector<Candidate> candidates;
    for (const CapacitySlot &slot : this->pool.index.slots(step.spec->requiredLabel)) {
        const Executor &executor = *slot.executor;
        if (isLargeEnough(executor, step)) {
            CandidateRank rank;
            rank.cpuLeft = -slot.cpu;
            candidates.push_back(Candidate{&executor, PolicyVerdictKind::Unknown, rank, 1});
        }
    }
    return candidates;
}

std::optional<PolicyPurpose> PoolScheduler::Private::PolicyRound::findPurpose(const Step &step) const
{
    // An unknown run of a previous owner may be active, so nothing can start yet.
    const bool mayRunUnseen = step.entry->isInherited && !step.spec->isSpeculative && !this->pool.arePreviousRunsKnown(this->now);
    const std::int64_t needed = step.spec->isGang ? step.uncoveredItems : 1;
    std::int64_t slots = 0;
    bool hasRoom = false;
    bool isAnyNotExcluded = false;
    if (!mayRunUnseen) {
        this->visitRoom(step, [&](const Executor &, PolicyVerdictKind verdict, bool isRuledOut, std::int32_t fitting) {
            hasRoom = true;
            slots += isRuledOut ? 0 : fitting;
            isAnyNotExcluded = isAnyNotExcluded || verdict != PolicyVerdictKind::Excluded;
            return isAnyNotExcluded && slots >= needed;
        });
    }
    if (slots >= needed) {
        const PolicyPurpose usual = step.state->policyFailures > 0 ? PolicyPurpose::Retry : PolicyPurpose::Start;
        return isAnyNotExcluded ? usual : PolicyPurpose::Recheck;
    }
    if (hasRoom && slots == 0) {
        step.state->policyCheckedAt = this->now;
        return std::nullopt;
    }
    const CapacityIndex::Slots &all = this->pool.index.slots(step.spec->requiredLabel);
    const bool canPrefetch = step.state->verdicts.empty() && std::any_of(all.begin(), all.end(), [&step](const CapacitySlot &slot) {
        return isLargeEnough(*slot.executor, step);
    });
    return canPrefetch ? std::optional(PolicyPurpose::Prefetch) : std::nullopt;
}

std::vector<const Executor *> PoolScheduler::Private::PolicyRound::chooseExecutors(const Step &step, PolicyPurpose purpose) const
{
    std::vector<Candidate> candidates = purpose == PolicyPurpose::Prefetch ? this->findLargeEnough(step) : this->findCandidates(step);
    std::sort(candidates.begin(), candidates.end(), [](const Candidate &left, const Candidate &right) {
        return left.verdict != right.verdict ? left.verdict < right.verdict : left.rank < right.rank;
    });
    std::vector<const Executor *> chosen;
    // If nothing is likely to start on the answer, one item is enough to ask for.
    std::int64_t uncovered = isForStart(purpose) ? step.uncoveredItems : 1;
    auto next = candidates.begin();
    for (; next != candidates.end() && next->verdict == PolicyVerdictKind::Allowed && uncovered > 0; ++next) {
        chosen.push_back(next->executor);
        uncovered -= next->slots;
    }
    if (uncovered > 0) {
        std::size_t needed = 0;
        for (auto candidate = next; candidate != candidates.end() && uncovered > 0; ++candidate) {
            ++needed;
            uncovered -= candidate->slots;
        }
        const std::size_t named = choosePolicyRequestSize(this->pool.policyOf(step.entry->job.queue), needed, static_cast<std::size_t>(candidates.end() - next),
            this->pool.allowedShare(step.entry->job.queue, *step.state));
        for (std::size_t count = 0; count < named; ++count, ++next) {
            chosen.push_back(next->executor);
        }
    }
    // The passes of a gang have to be valid together, so it is asked about at once.
    const std::size_t limit = step.spec->isGang ? maxExecutorsPerPolicyRequest : this->pool.longestRequest(step.entry->job.queue);
    chosen.resize(std::min(chosen.size(), limit));
    return chosen;
}

void PoolScheduler::Private::expirePasses(StepState &state, TimePoint now)
{
    for (auto &[id, verdict] : state.verdicts) {
        if (verdict.validUntil <= now) {
            verdict.pass.clear();
        }
    }
}

bool PoolScheduler::Private::hasPass(const StepState &state, const Executor &executor)
{
    const auto verdict = state.verdicts.find(executor.info.id);
    return verdict != state.verdicts.end() && !verdict->second.pass.empty() && isOfIncarnation(verdict->second, executor);
}

bool PoolScheduler::Private::hasAnyPass(const StepState &state)
{
    return std::any_of(state.verdicts.begin(), state.verdicts.end(), [](const auto &entry) {
        return !entry.second.pass.empty();
    });
}

bool PoolScheduler::Private::isPolicyUnanswered(const StepState &state)
{
    if (!state.requestedExecutors.empty() || state.verdicts.empty()) {
        return !hasAnyPass(state);
    }
    return !hasAnyPass(state) && std::any_of(state.verdicts.begin(), state.verdicts.end(), [](const auto &entry) {
        return isAllowed(entry.second);
    });
}

const PlacementPolicy &PoolScheduler::Private::policyOf(const QueueId &queue) const
{
    const auto policy = this->policies.find(queue);
    return policy == this->policies.end() ? undeclaredPolicy : policy->second;
}

std::size_t PoolScheduler::Private::longestRequest(const QueueId &queue) const
{
    const PlacementPolicy &policy = this->policyOf(queue);
    const milliseconds time = std::max(maxNamingTime, namingTimeFactor * policy.decisionTime);
    if (policy.timePerExecutor * static_cast<std::int64_t>(maxExecutorsPerPolicyRequest) <= time) {
        return maxExecutorsPerPolicyRequest;
    }
    return std::max<std::size_t>(1, static_cast<std::size_t>(time / policy.timePerExecutor));
}

double PoolScheduler::Private::allowedShare(const QueueId &queue, const StepState &state) const
{
    const auto known = this->policyShares.find(queue);
    const double share = known == this->policyShares.end() ? PolicyShare{}.value() : known->second.value();
    double allowed = 0;
    for (const auto &[id, verdict] : state.verdicts) {
        allowed += isAllowed(verdict) ? 1 : 0;
    }
    const double named = static_cast<double>(state.verdicts.size());
    return std::clamp((share * queueShareWeight + allowed) / (queueShareWeight + named), minAllowedShare, 1.0);
}

void PoolScheduler::Private::updatePolicies()
{
    std::erase_if(this->policies, [this](const auto &entry) {
        return std::none_of(this->openJobs.begin(), this->openJobs.end(), [this, &entry](const JobId &id) {
            const JobEntry &job = this->jobs.at(id);
            return job.hasPolicy && job.job.queue == entry.first;
        });
    });
    for (const auto &[id, queue] : this->queues) {
        if (queue.policy) {
            this->policies.insert_or_assign(id, *queue.policy);
        }
    }
    std::erase_if(this->policyShares, [this](const auto &entry) {
        return !this->policies.contains(entry.first);
    });
}

void PoolScheduler::Private::dropPass(const ItemId &id, const ExecutorId &executor)
{
    if (this->findItem(id) == nullptr) {
        return;
    }
    StepState &step = this->findJob(id.job)->occurrences[static_cast<std::size_t>(id.occurrence)].steps[static_cast<std::size_t>(id.step)];
    step.verdicts.erase(executor);
}

StepState *PoolScheduler::Private::findStep(const ItemId &step)
{
    JobEntry *entry = this->findJob(step.job);
    if (entry == nullptr || static_cast<std::size_t>(step.occurrence) >= entry->occurrences.size()) {
        return nullptr;
    }
    OccurrenceState &occurrence = entry->occurrences[static_cast<std::size_t>(step.occurrence)];
    const bool isKnown = occurrence.isOpen && static_cast<std::size_t>(step.step) < occurrence.steps.size();
    return isKnown ? &occurrence.steps[static_cast<std::size_t>(step.step)] : nullptr;
}

const Executor *PoolScheduler::Private::findIndexed(const ExecutorId &id) const
{
    for (auto known = this->executors.lower_bound(ExecutorKey{id, 0}); known != this->executors.end() && known->first.id == id; ++known) {
        if (known->second.isIndexed) {
            return &known->second;
        }
    }
    return nullptr;
}

bool PoolScheduler::mayNeedPolicy() const
{
    return this->d->hasPolicyJobs && std::any_of(this->d->placeable.begin(), this->d->placeable.end(), [](const JobEntry *entry) {
        return entry->hasPolicy;
    });
}

std::vector<QueuePolicyNeeds> PoolScheduler::policyNeeds(TimePoint now)
{
    std::vector<QueuePolicyNeeds> result;
    if (!this->mayNeedPolicy()) {
        return result;
    }
    Private::PolicyRound round(*this->d, now);
    std::map<QueueId, std::vector<std::pair<PolicyNeed, const JobEntry *>>> needs;
    for (const Private::PolicyRound::Step &step : round.steps) {
        const std::optional<PolicyPurpose> purpose = round.findPurpose(step);
        std::optional<TimePoint> &neededSince = step.state->policyNeededSince;
        neededSince = purpose && isForStart(*purpose) ? std::optional(neededSince.value_or(now)) : std::nullopt;
        if (purpose) {
            ItemId id = step.firstItem;
            id.index = 0;
            needs[step.entry->job.queue].emplace_back(PolicyNeed{id, *purpose, step.rank, neededSince.value_or(now)}, step.entry);
        }
    }
    for (auto &[queue, steps] : needs) {
        this->d->deferIfOverloaded(queue, steps, now);
        std::sort(steps.begin(), steps.end(), [](const auto &left, const auto &right) {
            const PolicyNeed &one = left.first;
            const PolicyNeed &other = right.first;
            return std::tie(one.purpose, one.rank, one.step) < std::tie(other.purpose, other.rank, other.step);
        });
        QueuePolicyNeeds summary{queue, steps.front().first, steps.front().first, 0};
        for (const auto &[need, entry] : steps) {
            if (isForStart(need.purpose)) {
                ++summary.waiting;
                summary.longestWaiting = need.since < summary.longestWaiting.since ? need : summary.longestWaiting;
            }
        }
        result.push_back(std::move(summary));
    }
    return result;
}

void PoolScheduler::Private::deferIfOverloaded(const QueueId &queue, std::vector<std::pair<PolicyNeed, const JobEntry *>> &steps, TimePoint now) const
{
    const PlacementPolicy &policy = this->policyOf(queue);
    const std::size_t named = choosePolicyRequestSize(policy, 1, maxExecutorsPerPolicyRequest, this->allowedShare(queue, StepState{}));
    const milliseconds smallest = policy.decisionTime + policy.timePerExecutor * static_cast<std::int64_t>(named);
    std::int64_t timely = 0;
    milliseconds longestSlack{};
    for (const auto &[need, entry] : steps) {
        const bool isLongRunning = entry->job.spec.steps.front().isLongRunning;
        if (need.purpose == PolicyPurpose::Start && !need.rank.isLate && !isLongRunning) {
            ++timely;
            longestSlack = std::max(longestSlack, milliseconds(need.rank.slack));
        }
    }
    if (smallest * timely <= longestSlack) {
        return;
    }
    // Not all can be asked about in time. Of those that have not started, the newest are the most likely to be in time.
    for (auto &[need, entry] : steps) {
        need.rank = rankJob(*entry, now, true);
    }
}

std::optional<PolicyRequest> PoolScheduler::takePolicyRequest(const ItemId &step, TimePoint now)
{
    Private::PolicyRound round(*this->d, now);
    const auto found = std::find_if(round.steps.begin(), round.steps.end(), [&step](const Private::PolicyRound::Step &candidate) {
        const ItemId &id = candidate.firstItem;
        return id.job == step.job && id.occurrence == step.occurrence && id.step == step.step;
    });
    if (found == round.steps.end()) {
        return std::nullopt;
    }
    const std::optional<PolicyPurpose> purpose = round.findPurpose(*found);
    if (!purpose) {
        return std::nullopt;
    }
    const PlacementPolicy &policy = this->d->policyOf(found->entry->job.queue);
    PolicyRequest request{step, {}, found->entry->job.queue, *purpose, {}, found->state->policyNeededSince.value_or(now)};
    for (const Executor *executor : round.chooseExecutors(*found, *purpose)) {
        request.executors.push_back(executor->info.id);
        found->state->requestedExecutors.emplace(executor->info.id, executor->info.incarnation);
    }
    request.expectedDuration = policy.decisionTime + policy.timePerExecutor * static_cast<std::int64_t>(request.executors.size());
    return request;
}

void PoolScheduler::onPolicyAnswer(const ItemId &step, const PolicyAnswer &answer, TimePoint now)
{
    if (answer.validity <= milliseconds::zero()) {
        this->onPolicyFailure(step, PolicyOutcome::Failed, now);
        return;
    }
    StepState *state = this->d->findStep(step);
    if (state == nullptr) {
        return;
    }
    const std::map<ExecutorId, std::int64_t> requested = std::exchange(state->requestedExecutors, {});
    std::set<ExecutorId> wereUnknown;
    for (const auto &[id, incarnation] : requested) {
        const auto known = state->verdicts.find(id);
        if (known == state->verdicts.end() || !isAllowed(known->second)) {
            wereUnknown.insert(id);
        }
        state->verdicts.insert_or_assign(id, PolicyVerdict{PolicyVerdictKind::Excluded, incarnation, {}, after(now, exclusionRetention), now});
    }
    const TimePoint validUntil = after(now, answer.validity - std::min(answer.validity / expiryMarginDivisor, maxExpiryMargin));
    PolicyShare &share = this->d->policyShares[this->d->findJob(step.job)->job.queue];
    if (!wereUnknown.empty()) {
        share.allowed *= shareRetention;
        share.named = share.named * shareRetention + static_cast<double>(wereUnknown.size());
    }
    for (const PlacementPass &pass : answer.passes) {
        const auto asked = requested.find(pass.executor);
        const std::int64_t incarnation = asked == requested.end() ? 0 : asked->second;
        state->verdicts.insert_or_assign(pass.executor, PolicyVerdict{PolicyVerdictKind::Allowed, incarnation, pass.pass, validUntil, now});
        share.allowed += wereUnknown.erase(pass.executor) > 0 ? 1 : 0;
    }
    state->policyFailures = 0;
    state->policyNeededSince.reset();
    this->d->markPlaceable(*this->d->findJob(step.job));
}

void PoolScheduler::onPolicyFailure(const ItemId &step, PolicyOutcome outcome, TimePoint now)
{
    StepState *state = this->d->findStep(step);
    if (state == nullptr) {
        return;
    }
    state->requestedExecutors.clear();
    if (outcome == PolicyOutcome::Failed) {
        state->policyRetryAt = after(now, std::min(firstRetryDelay * (1 << std::min(state->policyFailures, maxRetryDoublings)), maxRetryDelay));
        ++state->policyFailures;
    }
}

}
