// Joins, their answers and what a silence means.
#include "groupmember.h"

#include "clocks.h"
#include "event.h"

namespace MangoCourse {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds joinInterval{200};
constexpr milliseconds joinRetry{100};

}

GroupMember::GroupMember(net::io_context &context, RecordStore &store, EventLog &log, Group group, milliseconds silenceLimit, Handlers handlers)
    : context(context)
    , store(store)
    , log(log)
    , group(group)
    , silenceLimit(silenceLimit)
    , handlers(std::move(handlers))
{
}

net::awaitable<void> GroupMember::leaveEarlierLife()
{
    // Under the same name and generation the token of the process's earlier life would be used again.
    while (!this->isStopped) {
        const Result<void> left = co_await this->store.leave(this->group);
        if (left || left.error().code == ErrorCode::Refused || left.error().code == ErrorCode::Conflict) {
            co_return;
        }
        co_await sleepFor(this->context, joinRetry);
    }
}

void GroupMember::noteConfirmed(Membership membership, TimePoint sentAt)
{
    const bool hadGap = this->lastConfirmed != TimePoint{} && sentAt - this->lastConfirmed > this->silenceLimit;
    const bool hasChanged = membership.generation != this->knownGeneration;
    this->knownGeneration = membership.generation;
    this->lastConfirmed = std::max(this->lastConfirmed, sentAt);
    this->handlers.confirmed(MembershipConfirmation{std::move(membership), hadGap && hasChanged});
}

net::awaitable<void> GroupMember::run()
{
    this->isStopped = false;
    co_await this->leaveEarlierLife();
    while (!this->isStopped) {
        const TimePoint sentAt = bootNow();
        Result<Membership> joined = co_await this->store.join(this->group, this->knownGeneration, this->silenceLimit);
        if (this->isStopped) {
            break;
        }
        const bool isReachable = joined.has_value();
        if (isReachable) {
            this->noteConfirmed(std::move(*joined), sentAt);
        } else {
            this->log.emit("join_failed", {{"group", toString(this->group)}, {"reason", describe(joined.error())}, {"generation", this->knownGeneration}});
        }
        this->handlers.contact(isReachable);
        co_await sleepFor(this->context, isReachable ? joinInterval : joinRetry);
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
        "left_group", {{"group", toString(this->group)}, {"generation", this->knownGeneration}, {"confirmed", left.has_value()}}, EventPriority::Essential);
    co_return left.has_value();
}

std::int64_t GroupMember::generation() const
{
    return this->knownGeneration;
}

TimePoint GroupMember::confirmedAt() const
{
    return this->lastConfirmed;
}

TimePoint GroupMember::confirmedUntil() const
{
    return this->lastConfirmed + this->silenceLimit;
}

}
