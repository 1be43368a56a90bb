// Threads of the supervisor tree.
#include <mangocourse/supervisor.h>

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace MangoCourse {

namespace {

struct RunningDuty {
    Duty duty;
    mutable std::mutex mutex;
    std::condition_variable_any wake;
    DutyReport report;
    std::jthread thread;
};

Result<void> runOnce(const Duty &duty, const std::stop_token &stop)
{
    // A fault in one duty must not end the process: it becomes an error that the supervisor records.
    try {
        return duty.run(stop);
    } catch (const std::exception &exception) {
        return makeError(ErrorCode::Unavailable, exception.what(), duty.name);
    }
}

void superviseDuty(RunningDuty &running, const std::stop_token &stop)
{
    auto pause = Supervisor::initialBackoff;
    while (!stop.stop_requested()) {
        const Result<void> result = runOnce(running.duty, stop);
        if (result || stop.stop_requested()) {
            break;
        }
        std::unique_lock lock(running.mutex);
        ++running.report.restarts;
        running.report.lastError = describe(result.error());
        running.wake.wait_for(lock, stop, pause, [] {
            return false;
        });
        pause = std::min(pause * 2, Supervisor::maxBackoff);
    }
    const std::scoped_lock lock(running.mutex);
    running.report.running = false;
}

}

class Supervisor::Private
{
public:
    std::string name;
    mutable std::mutex mutex;
    std::vector<std::unique_ptr<RunningDuty>> duties;
    bool stopped = false;
};

Supervisor::Supervisor(std::unique_ptr<Private> impl)
    : d(std::move(impl))
{
}

Result<std::unique_ptr<Supervisor>> Supervisor::create(std::string name)
{
    auto impl = std::make_unique<Private>();
    impl->name = std::move(name);
    return std::unique_ptr<Supervisor>(new Supervisor(std::move(impl)));
}

Supervisor::~Supervisor()
{
    this->stop();
}

Result<void> Supervisor::start(Duty duty)
{
    const std::scoped_lock lock(this->d->mutex);
    if (this->d->stopped) {
        return makeError(ErrorCode::Refused, "the supervisor has stopped", duty.name);
    }
    auto running = std::make_unique<RunningDuty>();
    running->report.name = this->d->name + "/" + duty.name;
    running->report.running = true;
    running->duty = std::move(duty);
    RunningDuty &started = *running;
    this->d->duties.push_back(std::move(running));
    started.thread = std::jthread([&started](const std::stop_token &stop) {
        superviseDuty(started, stop);
    });
    return {};
}

void Supervisor::stop()
{
    const std::scoped_lock lock(this->d->mutex);
    this->d->stopped = true;
    std::for_each(this->d->duties.rbegin(), this->d->duties.rend(), [](const std::unique_ptr<RunningDuty> &duty) {
        duty->thread.request_stop();
        if (duty->thread.joinable()) {
            duty->thread.join();
        }
    });
}

std::vector<DutyReport> Supervisor::report() const
{
    const std::scoped_lock lock(this->d->mutex);
    std::vector<DutyReport> reports;
    for (const auto &duty : this->d->duties) {
        const std::scoped_lock dutyLock(duty->mutex);
        reports.push_back(duty->report);
    }
    return reports;
}

}
