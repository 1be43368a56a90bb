// Renewal of group memberships.
#include "groupmember.h"

#include <algorithm>

#include "clocks.h"
#include "event.h"

namespace MangoCourse {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds heartbeatInterval{200};
constexpr milliseconds joinRetryDelay{100};

}

GroupMember::GroupMember(net::io_context &context, RecordStore &store, EventLog &log, Group group, milliseconds membershipTimeout, Handlers handlers)
    : context(context)
    , store(store)
    , log(log)
    , group(group)
    , membershipTimeout(membershipTimeout)
    , handlers(std::move(handlers))
{
}

net::awaitable<void> GroupMember::leaveStaleMembership()
{
    // Rejoining with the name and generation of the process's previous run would reuse its token.
    while (!this->isStopped) {
        const Result<void> left = co_await this->store.leave(this->group);
        if (left || left.error().code == ErrorCode::Refused || left.error().code == ErrorCode::Conflict) {
            co_return;
        }
        co_await sleepFor(this->context, joinRetryDelay);
    }
}

net::awaitable<std::set<OwnedPartition>> GroupMember::findReassigned(Membership membership, bool hasGap)
{
    std::set<OwnedPartition> reassigned;
    // With a single new generation, a partition that is still listed has not been anyone else's.
    const bool hasSkippedOne = membership.generation > this->currentGeneration + 1;
    for (const OwnedPartition &partition : membership.owned) {
        if (!this->held.contains(partition) || membership.generation == this->currentGeneration || !(hasGap || hasSkippedOne)) {
            continue;
        }
        const Result<bool> isStillHeld = co_await this->store.hasHeldSince(this->group, partition, this->currentGeneration);
        if (!isStillHeld || !*isStillHeld) {
            reassigned.insert(partition);
        }
        this->log.emit("membership_checked",
            {{"group", toString(this->group)}, {"partition", std::int64_t(partition.partition)}, {"since", this->currentGeneration},
                {"generation", membership.generation}, {"held", isStillHeld.has_value() && *isStillHeld},
                {"reason", isStillHeld ? std::string() : describe(isStillHeld.error())}},
            EventPriority::Essential);
    }
    co_return reassigned;
}

net::awaitable<void> GroupMember::handleConfirmation(Membership membership, TimePoint sentAt)
{
    const bool hasGap = this->lastConfirmedAt != TimePoint{} && sentAt - this->lastConfirmedAt > this->membershipTimeout;
    std::set<OwnedPartition> reassigned = co_await this->findReassigned(membership, hasGap);
    if (this->isStopped) {
        co_return;
    }
    this->held = std::set<OwnedPartition>(membership.owned.begin(), membership.owned.end());
    this->currentGeneration = membership.generation;
    this->lastConfirmedAt = std::max(this->lastConfirmedAt, sentAt);
    this->handlers.onConfirmed(MembershipConfirmation{std::move(membership), std::move(reassigned)});
}

net::awaitable<void> GroupMember::run()
{
    this->isStopped = false;
    this->held.clear();
    co_await this->leaveStaleMembership();
    while (!this->isStopped) {
        const TimePoint sentAt = bootNow();
        Result<Membership> joined = co_await this->store.join(this->group, this->currentGeneration, this->membershipTimeout);
        if (this->isStopped) {
            break;
        }
        const bool isReachable = joined.has_value();
        if (isReachable) {
            co_await this->handleConfirmation(std::move(*joined), sentAt);
            if (this->isStopped) {
                break;
            }
        } else {
            this->log.emit("join_failed", {{"group", toString(this->group)}, {"reason", describe(joined.error())}, {"generation", this->currentGeneration}});
        }
        this->handlers.onStoreContact(isReachable);
        co_await sleepFor(this->context, isReachable ? heartbeatInterval : joinRetryDelay);
    }
}

void GroupMember::stop()
{
    this->isStopped = true;
}

net::awaitable<bool> GroupMember::leave()
{
    this->isStopped = true;
    const Result<void> left = co_await this->store.leave(this->group);
    this->log.emit(
        "left_group", {{"group", toString(this->group)}, {"generation", this->currentGeneration}, {"confirmed", left.has_value()}}, EventPriority::Essential);
    co_return left.has_value();
}

std::int64_t GroupMember::generation() const
{
    return this->currentGeneration;
}

TimePoint GroupMember::confirmedAt() const
{
    return this->lastConfirmedAt;
}

TimePoint GroupMember::confirmedUntil() const
{
    return this->lastConfirmedAt + this->membershipTimeout;
}

}
