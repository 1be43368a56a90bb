// The fake log and the fake platform.
#include "fakes.h"

namespace MangoCourse {

Result<Offset> FakeLog::append(const std::string &stream, const std::vector<std::string> &payloads)
{
    if (this->isDown()) {
        return makeError(ErrorCode::Unavailable, "the log cannot be reached");
    }
    const Offset first = this->service.store.streams[stream].append(payloads, this->service.store.retention);
    ++this->service.store.appends;
    if (this->service.appendTimeoutsToInject > 0) {
        --this->service.appendTimeoutsToInject;
        return makeError(ErrorCode::Timeout, "the answer was lost");
    }
    return first;
}

Result<LogBatch> FakeLog::read(const std::string &stream, Offset after, int limit, std::chrono::milliseconds /*wait*/)
{
    if (this->isDown()) {
        return makeError(ErrorCode::Unavailable, "the log cannot be reached");
    }
    const LogStream &records = this->service.store.streams[stream];
    LogBatch batch;
    batch.oldest = records.oldest();
    batch.end = records.end();
    const Offset from = std::max(after + 1, records.oldest());
    for (Offset offset = from; offset <= records.end() && offset < from + limit; ++offset) {
        batch.entries.push_back({offset, records.at(offset)});
    }
    return batch;
}

Result<LogBatch> FakeLog::readNewest(const std::string &stream)
{
    const Offset end = this->service.store.streams[stream].end();
    return this->read(stream, std::max<Offset>(0, end - 1), 1, {});
}

RefusalReason FakePlatform::execute(const PlatformAction &action)
{
    const TimePoint now = this->clock.now();
    switch (action.kind) {
    case PlatformAction::Kind::Drain:
        return this->store.drain(action.instance, action.token, now);
    case PlatformAction::Kind::Undrain:
        return this->store.undrain(action.instance, action.token, now);
    case PlatformAction::Kind::Reboot:
        return this->store.reboot(action.instance, action.token, now);
    case PlatformAction::Kind::Relabel:
        return this->store.relabel(action.instance, action.token, action.pool, now);
    }
    return "unknown act";
}

Result<void> FakePlatform::send(const PlatformAction &action)
{
    if (this->isDisconnected) {
        return makeError(ErrorCode::Unavailable, "the platform cannot be reached");
    }
    if (this->delaysActions) {
        this->delayedActions.push_back(action);
        return makeError(ErrorCode::Timeout, "no answer");
    }
    const RefusalReason refusal = this->execute(action);
    if (!refusal.empty()) {
        return makeError(ErrorCode::Refused, refusal);
    }
    return {};
}

Result<void> FakePlatform::drain(const InstanceId &instance, Offset token)
{
    return this->send({PlatformAction::Kind::Drain, instance, token, {}});
}

Result<void> FakePlatform::undrain(const InstanceId &instance, Offset token)
{
    return this->send({PlatformAction::Kind::Undrain, instance, token, {}});
}

Result<void> FakePlatform::reboot(const InstanceId &instance, Offset token)
{
    return this->send({PlatformAction::Kind::Reboot, instance, token, {}});
}

Result<void> FakePlatform::relabel(const InstanceId &instance, Offset token, const PoolId &pool)
{
    return this->send({PlatformAction::Kind::Relabel, instance, token, pool});
}

void FakePlatform::deliverDelayedActions()
{
    this->delaysActions = false;
    for (const PlatformAction &action : this->delayedActions) {
        this->execute(action);
    }
    this->delayedActions.clear();
}

}
