// State that the duties of a gate share.
#include "gatestate.h"

#include <random>

namespace MangoCourse {

Result<std::unique_ptr<SharedDispatcher>> SharedDispatcher::create(std::uint64_t seed)
{
    Result<Dispatcher> dispatcher = Dispatcher::create(seed);
    if (!dispatcher) {
        return tl::unexpected(dispatcher.error());
    }
    return std::make_unique<SharedDispatcher>(std::move(*dispatcher));
}

void SharedDispatcher::wake(const std::vector<Started> &started)
{
    for (const Started &next : started) {
        const auto found = this->waiters.find(next.ticket);
        if (found == this->waiters.end()) {
            continue;
        }
        const std::shared_ptr<Waiter> waiter = found->second;
        this->waiters.erase(found);
        waiter->started = true;
        waiter->instance = next.instance;
        net::post(waiter->context, [waiter] {
            waiter->timer.cancel();
        });
    }
}

net::awaitable<Admission> SharedDispatcher::admit(net::io_context &context, WorkRequest request)
{
    std::shared_ptr<Waiter> waiter;
    Admission admission;
    {
        const std::scoped_lock lock(this->mutex);
        admission = this->dispatcher.submit(request, this->clock.now());
        if (admission.kind != Admission::Kind::Waiting) {
            co_return admission;
        }
        waiter = std::make_shared<Waiter>(context);
        this->waiters.emplace(admission.ticket, waiter);
    }
    SystemErrorCode error;
    waiter->timer.expires_at(request.deadline);
    bool started = false;
    while (!started && this->clock.now() < request.deadline) {
        co_await waiter->timer.async_wait(captureError(error));
        const std::scoped_lock lock(this->mutex);
        started = waiter->started;
    }
    const std::scoped_lock lock(this->mutex);
    if (!waiter->started && this->dispatcher.cancel(admission.ticket)) {
        this->waiters.erase(admission.ticket);
        admission.kind = Admission::Kind::Refused;
        admission.reason = RefuseReason::WouldMissDeadline;
        co_return admission;
    }
    admission.kind = Admission::Kind::Started;
    admission.instance = waiter->instance;
    co_return admission;
}

void SharedDispatcher::finish(Ticket ticket, AttemptResult result)
{
    const std::scoped_lock lock(this->mutex);
    this->wake(this->dispatcher.finish(ticket, result, this->clock.now()));
}

void SharedDispatcher::updateView(const DispatchView &view)
{
    const std::scoped_lock lock(this->mutex);
    this->wake(this->dispatcher.updateView(view, this->clock.now()));
}

bool SharedDispatcher::tryRetry()
{
    const std::scoped_lock lock(this->mutex);
    return this->dispatcher.tryRetry();
}

void SharedDispatcher::poll()
{
    const std::scoped_lock lock(this->mutex);
    this->wake(this->dispatcher.poll(this->clock.now()));
}

DispatchStats SharedDispatcher::stats() const
{
    const std::scoped_lock lock(this->mutex);
    return this->dispatcher.stats();
}

std::vector<ExecutorStats> SharedDispatcher::executors() const
{
    const std::scoped_lock lock(this->mutex);
    return this->dispatcher.executors(this->clock.now());
}

std::string GateState::makeIncarnation()
{
    std::random_device device;
    return std::to_string((static_cast<std::uint64_t>(device()) << 32) | device());
}

std::string GateState::newRequestId()
{
    return this->settings.name.value + "-" + this->incarnation + "-" + std::to_string(++this->requestCounter);
}

}
