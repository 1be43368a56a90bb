// Order between client accounts and overload: which account's job is placed next, and what is reported about accounts that wait.
#include "poolscheduler_pvt.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace MangoCourse {

namespace {

using std::chrono::milliseconds;

// The pool is overloaded if the CPU demand of ready work exceeds its capacity by this factor, and an account if its demand exceeds its share so.
constexpr double overloadFactor = 1.3;
// A job that has waited this long entitles its account to an overdue turn, one start before all other finite work, if the account's last overdue turn is
// as long ago. Longer than a burst of 4 s, so that bursts are ordered by rank only.
constexpr milliseconds overdueTurnWait{10000};
// An account is reported once its work has waited this long, and again after intervals that double up to the last one.
constexpr milliseconds firstAccountLine{1000};
constexpr int maxIntervalDoublings = 5;
constexpr std::size_t maxAccountLines = 3;

}

std::string_view toString(AccountWaitReason reason)
{
    static constexpr std::array<std::string_view, 4> names{"beyond-rate", "late", "position", "next"};
    return names.at(static_cast<std::size_t>(reason));
}

void PoolScheduler::Private::updateWeights(const FleetConfig &config)
{
    this->shares.setWeights([accounts = config.accounts](const AccountId &id) {
        const ClientAccount *account = accounts ? accounts->find(id) : nullptr;
        return account == nullptr ? defaultAccountWeight : account->weight;
    });
}

void PoolScheduler::Private::markJobsBeyondRate()
{
    if (this->unmarkedJobs.empty()) {
        return;
    }
    // After a takeover the jobs are added in any order.
    std::sort(this->unmarkedJobs.begin(), this->unmarkedJobs.end(), [](const JobEntry *left, const JobEntry *right) {
        return std::tie(left->job.acceptedAt, left->job.id) < std::tie(right->job.acceptedAt, right->job.id);
    });
    for (JobEntry *entry : this->unmarkedJobs) {
        // Callers of public queues have no agreed rate.
        entry->isBeyondRate = !entry->share->id.isEmpty() && !entry->share->bucket.take(entry->job.acceptedAt);
    }
    this->unmarkedJobs.clear();
}

Resources PoolScheduler::Private::usableCapacity() const
{
    Resources capacity;
    for (const auto &[key, executor] : this->executors) {
        if (executor.isListed && executor.hasAnswered() && !executor.info.isDraining) {
            capacity += executor.info.capacity;
        }
    }
    return capacity;
}

bool PoolScheduler::Private::hasWaitingItem(const JobEntry &entry) const
{
    for (const OccurrenceState &occurrence : entry.occurrences) {
        for (std::size_t step = 0; occurrence.isOpen && step < occurrence.steps.size(); ++step) {
            const std::vector<Item> &items = occurrence.steps[step].items;
            const auto isWaiting = [](const Item &item) {
                return item.phase == ItemPhase::Waiting;
            };
            if (this->isStepReady(entry, occurrence, step) && std::any_of(items.begin(), items.end(), isWaiting)) {
                return true;
            }
        }
    }
    return false;
}

void PoolScheduler::Private::noteOverloadedAccounts(const Resources &capacity)
{
    double weights = 0;
    for (const auto &[id, share] : this->shares.all()) {
        weights += share.wantedCpu > 0 ? share.weight : 0.0;
    }
    for (auto &[id, share] : this->shares.all()) {
        share.isOverloaded = static_cast<double>(share.wantedCpu) * weights > overloadFactor * static_cast<double>(capacity.cpu) * share.weight;
        share.wantedCpu = 0;
    }
}

bool PoolScheduler::Private::isOverloaded()
{
    const Resources capacity = this->usableCapacity();
    const bool areCompeting = this->shares.areCompeting();
    double wanted = 0;
    for (const JobId &id : this->openJobs) {
        const JobEntry &entry = this->jobs.at(id);
        if (entry.job.spec.recurrence.count > 0) {
            continue;
        }
        for (std::size_t step = 0; step < entry.job.spec.steps.size(); ++step) {
            const StepSpec &spec = entry.job.spec.steps[step];
            if (!spec.isBestEffort && this->isStepReady(entry, entry.occurrences.front(), step)) {
                const std::int64_t stepCpu = spec.resources.cpu * (spec.count - entry.occurrences.front().steps[step].done);
                wanted += static_cast<double>(stepCpu);
                entry.share->wantedCpu += areCompeting ? stepCpu : 0;
            }
        }
    }
    if (areCompeting) {
        this->noteOverloadedAccounts(capacity);
    }
    return wanted > overloadFactor * static_cast<double>(capacity.cpu);
}

// The placements of one plan. Within a rank class the account with the lowest position goes first, and gives way after the job whose starts lift it above
// the next one. The accounts are sorted once; only those that get a start in this plan move, in a heap, so a plan without starts costs no more.
class PoolScheduler::Private::FairRound
{
public:
    FairRound(Private &pool, const PlacementRound &round)
        : pool(pool)
        , round(round)
        , turn{nullptr, pool.usableCapacity(), 0}
    {
    }

    void place();

private:
    struct Slot {
        // Rank class, and below it the account's place at the beginning of the plan.
        std::uint64_t key = 0;
        std::int64_t slack = 0;
        JobEntry *entry = nullptr;
        // The job was placed as far as possible in an overdue turn.
        bool hadOverdueTurn = false;
    };

    // An account at its place by position at the beginning of the plan.
    struct Account {
        double position = 0;
        std::uint64_t lastStart = 0;
        AccountShare *share = nullptr;
        // It has got a start in this plan.
        bool hasMoved = false;
    };

    // The jobs of one account in a rank class: those from `begin` to `end`.
    struct Queue {
        Account *account = nullptr;
        std::size_t begin = 0;
        std::size_t next = 0;
        std::size_t end = 0;
        PlacementCursor cursor;
    };

    // Bits of a slot's key that hold the account's place.
    static constexpr int accountBits = 27;

    static std::uint64_t classOf(const PlacementRank &rank);
    static bool precedes(const Slot &left, const Slot &right);
    static bool follows(const Queue &left, const Queue &right);
    void updatePosition(Account &account) const;
    void sortAccounts();
    void collect();
    void placeOverdueAccounts(std::size_t begin);
    // Returns false if no other account may have an overdue turn in this plan.
    bool placeOverdueAccount(const std::vector<Slot *> &waiting);
    void placeInOrder(std::size_t end);
    void placeClass(std::size_t begin, std::size_t end);
    // Places jobs of the queue until its account's turn is over; returns false if none are left.
    bool placeTurn(Queue &queue);
    // Records the start intent of an account's first job ahead of room for it. Else the room that comes free goes to an account whose next job has a
    // durable intent already, although its position is higher. Left out are deferred jobs of accounts above their shares: the newest of them is the first,
    // so each arrival would store an intent.
    void prepareStart(const Slot &slot);
    // Returns true if the placement of the job is over for this plan.
    bool place(JobEntry &entry, PlacementCursor &cursor);

    Private &pool;
    PlacementRound round;
    AccountTurn turn;
    std::vector<Account> accounts;
    std::vector<Slot> slots;
    // Of one rank class: accounts without a start in this plan by position, and a heap of the others.
    std::vector<Queue> unmoved;
    std::vector<Queue> moved;
};

std::uint64_t PoolScheduler::Private::FairRound::classOf(const PlacementRank &rank)
{
    std::uint64_t key = rank.group > 0 ? 1 : 0;
    key = (key << 1U) | (rank.isBeyondRate ? 1U : 0U);
    key = (key << 1U) | (rank.isLate ? 1U : 0U);
    key = (key << 32U) | (static_cast<std::uint32_t>(rank.priority) ^ 0x80000000U);
    return (key << 1U) | (rank.isDeferred ? 1U : 0U);
}

bool PoolScheduler::Private::FairRound::precedes(const Slot &left, const Slot &right)
{
    if (left.key != right.key) {
        return left.key < right.key;
    }
    return left.slack != right.slack ? left.slack < right.slack : left.entry->job.id < right.entry->job.id;
}

bool PoolScheduler::Private::FairRound::follows(const Queue &left, const Queue &right)
{
    // Of accounts at the same position, usually without a run, the one whose last start is the longest ago goes first.
    return left.account->position != right.account->position ? left.account->position > right.account->position
                                                             : left.account->lastStart > right.account->lastStart;
}

void PoolScheduler::Private::FairRound::updatePosition(Account &account) const
{
    account.lastStart = account.share->lastStart;
    account.position = account.share->position(this->turn.capacity);
    account.hasMoved = true;
}

void PoolScheduler::Private::FairRound::sortAccounts()
{
    for (auto &[id, share] : this->pool.shares.all()) {
        if (share.openJobs > 0) {
            this->accounts.push_back(Account{share.position(this->turn.capacity), share.lastStart, &share, false});
        }
    }
    std::sort(this->accounts.begin(), this->accounts.end(), [](const Account &left, const Account &right) {
        if (left.position != right.position) {
            return left.position < right.position;
        }
        return left.lastStart != right.lastStart ? left.lastStart < right.lastStart : left.share->id < right.share->id;
    });
    for (std::size_t place = 0; place < this->accounts.size(); ++place) {
        this->accounts[place].share->place = place;
    }
}

void PoolScheduler::Private::FairRound::collect()
{
    this->sortAccounts();
    this->slots.reserve(this->pool.placeable.size());
    for (JobEntry *entry : this->pool.placeable) {
        PlacementRank rank = this->pool.rankJob(*entry, this->round.now, this->round.isOverloaded);
        if (rank.isDeferred && !entry->share->isOverloaded) {
            // Others cause the overload. The account is served from its share, so its oldest jobs can still be in time.
            rank.slack = -rank.slack;
        }
        if (entry->waitingSince == TimePoint{}) {
            entry->waitingSince = this->round.now;
        }
        // Long-running work keeps the order that it has without accounts.
        const std::uint64_t account = rank.group > 0 ? entry->share->place : 0;
        this->slots.push_back(Slot{(classOf(rank) << accountBits) | account, rank.slack, entry});
    }
    std::sort(this->slots.begin(), this->slots.end(), [](const Slot &left, const Slot &right) {
        return precedes(left, right);
    });
}

bool PoolScheduler::Private::FairRound::place(JobEntry &entry, PlacementCursor &cursor)
{
    const bool hasUnplacedItems = this->pool.placeJob(entry, this->round, cursor);
    if (!hasUnplacedItems) {
        this->pool.placeable.erase(&entry);
    }
    return !cursor.isPaused;
}

void PoolScheduler::Private::FairRound::prepareStart(const Slot &slot)
{
    JobEntry &entry = *slot.entry;
    const bool isDeferred = ((slot.key >> accountBits) & 1U) != 0;
    if (isDeferred && entry.share->isOverloaded) {
        return;
    }
    const bool mayRunElsewhere = entry.earlierService && !this->round.arePreviousRunsKnown;
    if (!entry.mayStart && !mayRunElsewhere && !entry.hasPolicy && entry.occurrences.front().isOpen && this->pool.placeable.contains(&entry)) {
        this->pool.recordStartIntent(entry);
    }
}

bool PoolScheduler::Private::FairRound::placeOverdueAccount(const std::vector<Slot *> &waiting)
{
    this->turn.share = waiting.front()->entry->share;
    this->turn.nextPosition = -1;
    Account &account = this->accounts[this->turn.share->place];
    for (Slot *slot : waiting) {
        const bool lackedIntent = !slot->entry->mayStart;
        PlacementCursor cursor;
        slot->hadOverdueTurn = this->place(*slot->entry, cursor);
        // The job starts in a plan after its intent is durable. Other accounts need not wait for that, as the store may be slow.
        const bool awaitsIntent = lackedIntent && slot->entry->hasStartIntent;
        if (this->turn.share->lastStart != account.lastStart) {
            this->updatePosition(account);
            this->pool.shares.noteOverdueTurn(*account.share, this->round.now);
            return false;
        }
        if (awaitsIntent) {
            return true;
        }
    }
    return true;
}

void PoolScheduler::Private::FairRound::placeOverdueAccounts(std::size_t begin)
{
    if (!this->pool.shares.mayGrantOverdueTurn()) {
        return;
    }
    const TimePoint bound = after(this->round.now, -overdueTurnWait);
    std::map<std::size_t, std::vector<Slot *>> waitingOf;
    for (std::size_t index = begin; index < this->slots.size(); ++index) {
        Slot &slot = this->slots[index];
        JobEntry &entry = *slot.entry;
        if (entry.waitingSince > bound || entry.share->lastOverdueTurnAt > bound) {
            continue;
        }
        if (this->pool.hasWaitingItem(entry)) {
            waitingOf[entry.share->place].push_back(&slot);
        } else {
            // Between two occurrences, or with items that may get a second run only.
            entry.waitingSince = TimePoint{};
        }
    }
    std::vector<std::vector<Slot *>> overdue;
    for (auto &[account, waiting] : waitingOf) {
        std::sort(waiting.begin(), waiting.end(), [](const Slot *left, const Slot *right) {
            return std::tie(left->entry->waitingSince, left->entry->job.id) < std::tie(right->entry->waitingSince, right->entry->job.id);
        });
        overdue.push_back(std::move(waiting));
    }
    std::sort(overdue.begin(), overdue.end(), [](const auto &left, const auto &right) {
        const JobEntry &first = *left.front()->entry;
        const JobEntry &second = *right.front()->entry;
        return std::tie(first.share->lastOverdueTurnAt, first.waitingSince, first.share->id)
            < std::tie(second.share->lastOverdueTurnAt, second.waitingSince, second.share->id);
    });
    this->round.turn = &this->turn;
    for (const std::vector<Slot *> &waiting : overdue) {
        if (!this->placeOverdueAccount(waiting)) {
            return;
        }
    }
}

void PoolScheduler::Private::FairRound::placeInOrder(std::size_t end)
{
    this->round.turn = nullptr;
    for (std::size_t index = 0; index < end; ++index) {
        JobEntry &entry = *this->slots[index].entry;
        Account &account = this->accounts[entry.share->place];
        PlacementCursor cursor;
        this->place(entry, cursor);
        if (account.share->lastStart != account.lastStart) {
            this->updatePosition(account);
        }
    }
}

bool PoolScheduler::Private::FairRound::placeTurn(Queue &queue)
{
    Account &account = *queue.account;
    this->turn.share = account.share;
    while (queue.next < queue.end) {
        const Slot &slot = this->slots[queue.next];
        if (slot.hadOverdueTurn || this->place(*slot.entry, queue.cursor)) {
            if (queue.next == queue.begin) {
                this->prepareStart(slot);
            }
            ++queue.next;
            queue.cursor = PlacementCursor{};
        }
        if (account.share->lastStart != account.lastStart) {
            this->updatePosition(account);
            if (this->turn.isOver()) {
                return queue.next < queue.end;
            }
        }
    }
    return false;
}

void PoolScheduler::Private::FairRound::placeClass(std::size_t begin, std::size_t end)
{
    this->unmoved.clear();
    this->moved.clear();
    for (std::size_t first = begin; first < end;) {
        std::size_t last = first + 1;
        while (last < end && this->slots[last].key == this->slots[first].key) {
            ++last;
        }
        Account &account = this->accounts[this->slots[first].key & ((std::uint64_t(1) << accountBits) - 1)];
        (account.hasMoved ? this->moved : this->unmoved).push_back(Queue{&account, first, first, last, {}});
        first = last;
    }
    std::make_heap(this->moved.begin(), this->moved.end(), follows);
    this->round.turn = &this->turn;
    std::size_t next = 0;
    while (next < this->unmoved.size() || !this->moved.empty()) {
        const bool isMovedFirst = !this->moved.empty() && (next == this->unmoved.size() || follows(this->unmoved[next], this->moved.front()));
        Queue queue;
        if (isMovedFirst) {
            std::pop_heap(this->moved.begin(), this->moved.end(), follows);
            queue = this->moved.back();
            this->moved.pop_back();
        } else {
            queue = this->unmoved[next++];
        }
        this->turn.nextPosition = std::numeric_limits<double>::infinity();
        if (next < this->unmoved.size()) {
            this->turn.nextPosition = this->unmoved[next].account->position;
        }
        if (!this->moved.empty()) {
            this->turn.nextPosition = std::min(this->turn.nextPosition, this->moved.front().account->position);
        }
        if (this->placeTurn(queue)) {
            this->moved.push_back(queue);
            std::push_heap(this->moved.begin(), this->moved.end(), follows);
        }
    }
}

void PoolScheduler::Private::FairRound::place()
{
    this->collect();
    const auto finite = std::find_if(this->slots.begin(), this->slots.end(), [](const Slot &slot) {
        return (slot.key >> (accountBits + 35)) != 0;
    });
    const auto firstFinite = static_cast<std::size_t>(finite - this->slots.begin());
    this->placeInOrder(firstFinite);
    this->placeOverdueAccounts(firstFinite);
    for (std::size_t begin = firstFinite; begin < this->slots.size();) {
        std::size_t end = begin + 1;
        while (end < this->slots.size() && this->slots[end].key >> accountBits == this->slots[begin].key >> accountBits) {
            ++end;
        }
        this->placeClass(begin, end);
        begin = end;
    }
}

void PoolScheduler::Private::placeByAccount(const PlacementRound &round)
{
    FairRound(*this, round).place();
}

std::vector<WaitingAccount> PoolScheduler::Private::reviewAccounts(TimePoint now)
{
    std::vector<WaitingAccount> lines;
    std::map<const AccountShare *, std::size_t> lineOf;
    for (auto &[id, watch] : this->waiting.accounts) {
        watch.waitingJobs = 0;
    }
    const Resources capacity = this->usableCapacity();
    for (const auto &[id, job] : this->waiting.jobs) {
        const JobEntry &entry = this->jobs.at(id);
        const AccountShare &share = *entry.share;
        const auto [known, isNew] = lineOf.try_emplace(&share, lines.size());
        if (isNew) {
            const milliseconds sinceStart = share.lastStart == 0 ? milliseconds(-1) : millisecondsBetween(share.lastStartAt, now);
            lines.push_back(WaitingAccount{share.id, {}, share.weight, share.position(capacity), 0, 0, share.running, 0, 0, 0, {}, sinceStart});
        }
        WaitingAccount &line = lines[known->second];
        const PlacementRank rank = this->rankJob(entry, now, false);
        ++line.waitingJobs;
        line.beyondRate += rank.isBeyondRate ? 1 : 0;
        line.late += rank.isLate && !rank.isBeyondRate ? 1 : 0;
        line.age = std::max(line.age, millisecondsBetween(job.since, now));
        ++this->waiting.accounts[share.id].waitingJobs;
    }
    std::erase_if(this->waiting.accounts, [](const auto &known) {
        return known.second.waitingJobs == 0;
    });
    if (!this->shares.areCompeting()) {
        return {};
    }
    std::sort(lines.begin(), lines.end(), [](const WaitingAccount &left, const WaitingAccount &right) {
        return std::tie(left.position, left.account) < std::tie(right.position, right.account);
    });
    for (std::size_t index = 0; index < lines.size(); ++index) {
        WaitingAccount &line = lines[index];
        line.rank = static_cast<std::int32_t>(index) + 1;
        line.accounts = static_cast<std::int32_t>(lines.size());
        if (line.beyondRate == line.waitingJobs) {
            line.reason = AccountWaitReason::BeyondRate;
        } else if (line.beyondRate + line.late == line.waitingJobs) {
            line.reason = AccountWaitReason::Late;
        } else {
            line.reason = index > 0 ? AccountWaitReason::Position : AccountWaitReason::Next;
        }
    }
    // Accounts that were reported less often come first, so that each has its line in time.
    std::stable_sort(lines.begin(), lines.end(), [this](const WaitingAccount &left, const WaitingAccount &right) {
        const int leftLines = this->waiting.accounts.at(left.account).lines;
        const int rightLines = this->waiting.accounts.at(right.account).lines;
        return leftLines != rightLines ? leftLines < rightLines : left.age > right.age;
    });
    std::erase_if(lines, [this, now](const WaitingAccount &line) {
        return line.age < firstAccountLine || this->waiting.accounts.at(line.account).nextLineAt > now;
    });
    lines.resize(std::min(lines.size(), maxAccountLines));
    for (const WaitingAccount &line : lines) {
        AccountWatch &watch = this->waiting.accounts.at(line.account);
        watch.nextLineAt = after(now, firstAccountLine * (1 << std::min(watch.lines++, maxIntervalDoublings)));
    }
    return lines;
}

std::vector<AccountLoad> PoolScheduler::Private::accountLoads() const
{
    std::vector<AccountLoad> loads;
    const std::map<AccountId, AccountShare> &all = this->shares.all();
    const bool hasAccounts = !all.empty() && !all.rbegin()->first.isEmpty();
    for (const auto &[id, share] : all) {
        if (hasAccounts && (share.openJobs > 0 || share.running != Resources{})) {
            const auto watch = this->waiting.accounts.find(id);
            loads.push_back(AccountLoad{id, share.running, watch == this->waiting.accounts.end() ? 0 : watch->second.waitingJobs});
        }
    }
    return loads;
}

}
