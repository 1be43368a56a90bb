// Random histories of pool schedulers, executors and a store on a virtual clock, checked only by the starts and ends on the executors.
#include "poolhistory_test.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <queue>
#include <random>

namespace MangoCourse {
namespace {

constexpr milliseconds tick{10};
constexpr milliseconds callTimeout{1000};
constexpr milliseconds maxStopDuration{400};
constexpr int executorCount = 4;

// A simulated owner: its scheduler, its calls in flight, and its ownership.
struct FakeOwner {
    std::unique_ptr<PoolScheduler> scheduler;
    std::int64_t token = 0;
    milliseconds confirmedAt{};
    milliseconds readsRecordsUntil{};
    milliseconds pausedUntil{};
    bool isStopped = false;
    bool isPersisting = false;
    std::set<ExecutorKey> activeRenewals;
    std::map<ExecutorKey, ExecutorLocation> recorded;
};

class History
{
public:
    explicit History(std::uint32_t seed)
        : random(seed)
    {
        QueueConfig queue;
        queue.id = QueueId{"counter"};
        queue.service = ServiceId{"desk"};
        queue.attempts = attempts;
        queue.slackFactor = 2;
        this->config.revision = 1;
        this->config.queues.push_back(queue);
        this->config.services.emplace(ServiceId{"desk"}, ServiceConfig{ServiceId{"desk"}, {}, 64, true, false});
        for (int number = 0; number < executorCount; ++number) {
            FakeExecutor executor;
            executor.number = number;
            executor.info.id = ExecutorId{"e" + std::to_string(number)};
            executor.info.machine = MachineId{"m" + std::to_string(number)};
            executor.info.service = ServiceId{"desk"};
            executor.info.incarnation = 1;
            executor.info.capacity = Resources{16000, 64000, 0};
            executor.info.labels = {"a", "rack-" + std::to_string(number / 2)};
            executor.clockRate = this->randomChance(50) ? 1.0 : 0.98;
            this->executors.push_back(std::move(executor));
        }
        this->takeOver();
    }

    void run(milliseconds length)
    {
        for (; this->now < length && this->checker.violations.empty(); this->now += tick) {
            this->injectFault();
            while (!this->calls.empty() && this->calls.top().at <= this->now) {
                const auto action = this->calls.top().action;
                this->calls.pop();
                action();
            }
            this->advanceExecutors();
            for (const auto &owner : this->owners) {
                this->step(owner);
            }
        }
    }

    InvariantChecker checker;
    std::map<JobId, JobSpec> specs;
    int completed = 0;
    int takeovers = 0;

private:
    struct Call {
        milliseconds at{};
        std::uint64_t order = 0;
        std::function<void()> action;

        bool operator<(const Call &other) const
        {
            return std::pair(this->at, this->order) > std::pair(other.at, other.order);
        }
    };

    int randomBelow(int below)
    {
        return static_cast<int>(this->random() % static_cast<std::uint32_t>(below));
    }
    bool randomChance(int percent)
    {
        return this->randomBelow(100) < percent;
    }
    void schedule(milliseconds wait, std::function<void()> action)
    {
        this->calls.push(Call{this->now + wait, ++this->order, std::move(action)});
    }
    TimePoint time() const
    {
        return TimePoint(100s) + this->now;
    }
    WallTime wall() const
    {
        return WallTime(1'000'000s) + this->now;
    }
    milliseconds randomNetworkDelay()
    {
        return milliseconds(1 + this->randomBelow(30));
    }

    std::vector<ExecutorInfo> discoveredExecutors() const
    {
        std::vector<ExecutorInfo> infos;
        for (const FakeExecutor &executor : this->executors) {
            const bool isUnresponsive = (!executor.isUp || executor.partitionedUntil > this->now) && this->now - executor.lastListedAt > 3000ms;
            if (!isUnresponsive) {
                infos.push_back(executor.info);
            }
        }
        return infos;
    }

    void takeOver()
    {
        const auto owner = std::make_shared<FakeOwner>();
        owner->token = ++this->tokens;
        owner->confirmedAt = this->now;
        owner->readsRecordsUntil = milliseconds::max();
        owner->recorded = this->recorded;
        const TimePoint previousLeasesExpireAt = this->takeovers == 0 ? TimePoint{} : this->time() + maxLeaseLength + 350ms;
        SchedulerSettings settings;
        settings.maxLeaseLength = maxLeaseLength;
        settings.maxStopDuration = maxStopDuration;
        owner->scheduler = std::move(*PoolScheduler::create(ServiceId{"desk"}, settings, owner->token, this->takeovers * 100'000, previousLeasesExpireAt));
        ++this->takeovers;
        owner->scheduler->setConfig(this->config);
        owner->scheduler->setPreviousExecutors(this->recorded);
        owner->scheduler->setExecutors(this->discoveredExecutors(), this->time());
        for (const AcceptedJob &job : this->jobs) {
            this->deliverJob(*owner, job);
        }
        this->owners.push_back(owner);
    }

    void deliverJob(FakeOwner &owner, const AcceptedJob &job)
    {
        const auto known = this->progress.find(job.id);
        owner.scheduler->addJob(job, known == this->progress.end() ? nullptr : &known->second, this->time(), this->wall());
        if (this->cancelled.contains(job.id)) {
            owner.scheduler->cancelJob(job.id, this->time(), this->wall());
        }
    }

    void addJob()
    {
        AcceptedJob job;
        job.id = JobId{"j" + std::to_string(this->jobs.size())};
        job.queue = QueueId{"counter"};
        job.service = ServiceId{"desk"};
        job.acceptedAt = this->wall();
        StepSpec step;
        step.count = 1 + this->randomBelow(4);
        step.resources = Resources{4000, 1000, 0};
        step.estimate = milliseconds(300 + this->randomBelow(1500));
        step.isSpeculative = this->randomChance(15);
        job.spec.steps.push_back(step);
        if (this->randomChance(40)) {
            step.dependsOn = {0};
            step.count = 1 + this->randomBelow(3);
            job.spec.steps.push_back(step);
        }
        this->specs.emplace(job.id, job.spec);
        this->jobs.push_back(job);
        for (const auto &owner : this->owners) {
            if (owner->readsRecordsUntil > this->now) {
                this->deliverJob(*owner, job);
            }
        }
    }

    void cancel()
    {
        const JobId job = this->jobs[static_cast<std::size_t>(this->randomBelow(static_cast<int>(this->jobs.size())))].id;
        this->cancelled.insert(job);
        for (const auto &owner : this->owners) {
            if (owner->readsRecordsUntil > this->now) {
                owner->scheduler->cancelJob(job, this->time(), this->wall());
            }
        }
    }

    void injectFault()
    {
        const int fault = this->randomBelow(1500);
        FakeExecutor &executor = this->executors[static_cast<std::size_t>(this->randomBelow(executorCount))];
        if (fault < 12) {
            this->addJob();
        } else if (fault < 13 && !this->jobs.empty()) {
            this->cancel();
        } else if (fault < 15) {
            executor.partitionedUntil = this->now + milliseconds(500 + this->randomBelow(9000));
        } else if (fault < 17 && executor.isUp) {
            this->checker.onIncarnationEnded(executor.number, executor.info.incarnation);
            executor.isUp = false;
            executor.running.clear();
            executor.restartAt = this->now + milliseconds(200 + this->randomBelow(5000));
        } else if (fault < 20) {
            this->changeOwner();
        } else if (fault < 21) {
            this->storeDownUntil = this->now + milliseconds(300 + this->randomBelow(5000));
        } else if (fault < 23) {
            this->owners.back()->pausedUntil = this->now + milliseconds(300 + this->randomBelow(4000));
        }
    }

    void changeOwner()
    {
        FakeOwner &last = *this->owners.back();
        if (this->now < this->storeDownUntil) {
            return;
        }
        // The owner is killed at once, or continues without knowledge of its successor until its ownership expires.
        last.isStopped = this->randomChance(40);
        last.readsRecordsUntil = this->now;
        if (this->randomChance(50)) {
            this->takeOver();
        } else {
            this->schedule(milliseconds(50 + this->randomBelow(1500)), [this, before = this->owners.size()] {
                if (this->owners.size() == before) {
                    this->takeOver();
                }
            });
        }
    }

    void advanceExecutors()
    {
        for (FakeExecutor &executor : this->executors) {
            if (!executor.isUp && executor.restartAt <= this->now) {
                const ExecutorInfo info = executor.info;
                const double clockRate = executor.clockRate;
                const int number = executor.number;
                executor = FakeExecutor{};
                executor.info = info;
                executor.info.incarnation = this->now.count() + 2;
                executor.number = number;
                executor.clockRate = clockRate;
                executor.bootedAt = this->now;
            }
            if (executor.isUp && executor.partitionedUntil <= this->now) {
                executor.lastListedAt = this->now;
            }
            std::vector<std::pair<ItemId, RunEnd>> ends;
            for (const auto &[item, active] : executor.running) {
                const bool isLeaseExpired = executor.leaseEnd < executor.clock(this->now);
                if (isLeaseExpired || active.endsAt <= this->now) {
                    ends.emplace_back(item, isLeaseExpired ? RunEnd::Lapsed : active.end);
                }
            }
            for (const auto &[item, end] : ends) {
                executor.finish(item, end, this->checker);
            }
            if (executor.leaseEnd < executor.clock(this->now)) {
                this->checker.onLeaseExpired(executor.number, executor.info.incarnation);
            }
        }
    }

    OrderReply execute(FakeExecutor &executor, const StartRun &order)
    {
        const milliseconds clock = executor.clock(this->now);
        if (order.token < executor.token) {
            return OrderReply{OrderOutcome::Fenced, clock};
        }
        executor.token = order.token;
        const auto known = executor.running.find(order.item);
        if (known != executor.running.end() && known->second.run == order.run) {
            executor.extendLease(order.until, this->now);
            return OrderReply{OrderOutcome::Done, clock};
        }
        if (known != executor.running.end() || order.run <= executor.highestRun[order.item]) {
            executor.extendLease(order.until, this->now);
            return OrderReply{OrderOutcome::Stale, clock};
        }
        if (order.until <= clock) {
            return OrderReply{OrderOutcome::Late, clock};
        }
        const StepSpec &step = this->specs.at(order.item.job).steps[static_cast<std::size_t>(order.item.step)];
        Resources used;
        for (const auto &[item, active] : executor.running) {
            used += active.resources;
        }
        used += step.resources;
        if (!executor.info.capacity.covers(used)) {
            executor.extendLease(order.until, this->now);
            return OrderReply{OrderOutcome::NoRoom, clock};
        }
        executor.extendLease(order.until, this->now);
        const auto length = milliseconds(step.estimate.count() / 2 + this->randomBelow(static_cast<int>(step.estimate.count())));
        executor.running[order.item]
            = FakeExecutor::ActiveRun{order.run, this->now + length, this->randomChance(12) ? RunEnd::Failed : RunEnd::Done, step.resources};
        this->checker.onStart(order.item, executor.number, executor.info.incarnation, this->specs.at(order.item.job), this->now);
        return OrderReply{OrderOutcome::Done, clock};
    }

    OrderReply execute(FakeExecutor &executor, const StopRun &order)
    {
        const milliseconds clock = executor.clock(this->now);
        if (order.token < executor.token) {
            return OrderReply{OrderOutcome::Fenced, clock};
        }
        executor.token = order.token;
        executor.highestRun[order.item] = std::max(executor.highestRun[order.item], order.run);
        const auto known = executor.running.find(order.item);
        if (known != executor.running.end() && known->second.run <= order.run) {
            known->second.endsAt = std::min(known->second.endsAt, this->now + milliseconds(this->randomBelow(static_cast<int>(maxStopDuration.count()))));
            known->second.end = RunEnd::Stopped;
        }
        return OrderReply{OrderOutcome::Done, clock};
    }

    ExecutorReport execute(FakeExecutor &executor, const LeaseRenewal &renewal)
    {
        ExecutorReport report;
        report.clock = executor.clock(this->now);
        if (renewal.token < executor.token) {
            report.outcome = OrderOutcome::Fenced;
            return report;
        }
        executor.token = renewal.token;
        if (renewal.until) {
            executor.extendLease(*renewal.until, this->now);
        }
        std::erase_if(executor.ended, [this, &renewal](const ReportedEnd &end) {
            if (end.number <= renewal.acknowledgedEnd) {
                this->checker.onAcknowledged(end, this->now);
            }
            return end.number <= renewal.acknowledgedEnd;
        });
        report.outcome = OrderOutcome::Done;
        report.incarnation = executor.info.incarnation;
        for (const auto &[item, active] : executor.running) {
            report.running.push_back(ReportedRun{item, active.run, {}, 100, 0});
        }
        report.ended = executor.ended;
        return report;
    }

    // Simulates a call to an executor. The request or the reply may be lost, and an order may be executed late.
    template<typename Order, typename Answer>
    void call(const std::shared_ptr<FakeOwner> &owner, const ExecutorInfo &to, Order order, Answer answer, bool canBeDelayed)
    {
        const auto target = std::find_if(this->executors.begin(), this->executors.end(), [&to](const FakeExecutor &executor) {
            return executor.info.id == to.id;
        });
        FakeExecutor *executor = &*target;
        using Reply = decltype(this->execute(*executor, order));
        const auto isReached = [this, executor, incarnation = to.incarnation] {
            return executor->isUp && executor->partitionedUntil <= this->now && executor->info.incarnation == incarnation;
        };
        const auto replyWithTimeout = [this, owner, answer] {
            this->schedule(callTimeout, [owner, answer] {
                if (!owner->isStopped) {
                    answer(Reply{});
                }
            });
        };
        if (canBeDelayed && this->randomChance(2)) {
            replyWithTimeout();
            this->schedule(milliseconds(500 + this->randomBelow(5000)), [this, executor, isReached, order] {
                if (isReached()) {
                    this->execute(*executor, order);
                }
            });
            return;
        }
        this->schedule(this->randomNetworkDelay(), [this, owner, executor, isReached, order, answer, replyWithTimeout] {
            if (!isReached()) {
                replyWithTimeout();
                return;
            }
            const Reply reply = this->execute(*executor, order);
            if (this->randomChance(2)) {
                replyWithTimeout();
                return;
            }
            this->schedule(this->randomNetworkDelay(), [owner, answer, reply] {
                if (!owner->isStopped) {
                    answer(reply);
                }
            });
        });
    }

    void step(const std::shared_ptr<FakeOwner> &owner)
    {
        if (owner->isStopped || owner->pausedUntil > this->now) {
            return;
        }
        const bool isCurrentOwner = owner == this->owners.back() && owner->readsRecordsUntil > this->now;
        if (isCurrentOwner && this->now >= this->storeDownUntil && this->now - owner->confirmedAt > 200ms) {
            owner->confirmedAt = this->now;
        }
        PoolScheduler &scheduler = *owner->scheduler;
        if (this->now.count() % 200 == 0) {
            scheduler.setExecutors(this->discoveredExecutors(), this->time());
        }
        this->persist(owner, isCurrentOwner);
        const TimePoint confirmedAt = TimePoint(100s) + owner->confirmedAt;
        const OwnershipTerm term{confirmedAt, confirmedAt + maxLeaseLength};
        SchedulerOrders orders = scheduler.plan(this->time(), this->wall(), term, PoolWatermarks{this->time(), this->time()});
        for (const StopOrder &stop : orders.stops) {
            const ExecutorKey key{stop.executor.id, stop.executor.incarnation};
            this->call(
                owner, stop.executor, stop.run,
                [this, owner, key, run = stop.run](const OrderReply &reply) {
                    this->stopIfFenced(*owner, reply.outcome);
                    owner->scheduler->onStopped(key, run, reply, this->time());
                },
                true);
        }
        for (const StartOrder &start : orders.starts) {
            const ExecutorKey key{start.executor.id, start.executor.incarnation};
            this->call(
                owner, start.executor, start.run,
                [this, owner, key, run = start.run, sentAt = this->time()](const OrderReply &reply) {
                    this->stopIfFenced(*owner, reply.outcome);
                    owner->scheduler->onStarted(key, run, reply, sentAt, this->time());
                },
                true);
        }
        this->renew(owner, term);
    }

    void stopIfFenced(FakeOwner &owner, OrderOutcome outcome)
    {
        owner.isStopped = owner.isStopped || outcome == OrderOutcome::Fenced;
    }

    void renew(const std::shared_ptr<FakeOwner> &owner, const OwnershipTerm &term)
    {
        for (const ExecutorKey &key : owner->scheduler->executors()) {
            if (owner->activeRenewals.contains(key)) {
                continue;
            }
            const std::optional<RenewalPlan> plan = owner->scheduler->renewal(key, this->time(), term.expiresAt);
            if (!plan) {
                continue;
            }
            owner->activeRenewals.insert(key);
            this->call(
                owner, plan->executor, plan->renewal,
                [this, owner, key, sentAt = this->time()](const ExecutorReport &report) {
                    this->stopIfFenced(*owner, report.outcome);
                    if (!owner->isStopped) {
                        owner->scheduler->onReport(key, report, sentAt, this->time(), this->wall());
                        this->schedule(report.outcome == OrderOutcome::Done ? 60ms : 150ms, [owner, key] {
                            owner->activeRenewals.erase(key);
                        });
                    }
                },
                false);
        }
    }

    void persist(const std::shared_ptr<FakeOwner> &owner, bool isCurrentOwner)
    {
        if (owner->isPersisting) {
            return;
        }
        const std::vector<ExecutorKey> used = owner->scheduler->takeUnrecordedExecutors();
        const std::vector<ExecutorKey> ended = owner->scheduler->takeEndedExecutors();
        std::vector<JobProgress> changed = owner->scheduler->takeChangedJobs();
        if (used.empty() && ended.empty() && changed.empty()) {
            return;
        }
        owner->isPersisting = true;
        const milliseconds wait = std::max(this->randomNetworkDelay(), this->storeDownUntil - this->now);
        this->schedule(wait, [this, owner, isCurrentOwner, used, ended, changed = std::move(changed)] {
            owner->isPersisting = false;
            if (owner->isStopped || owner->token != this->tokens || !isCurrentOwner) {
                // The store fences the append by the epoch of a newer owner.
                owner->isStopped = true;
                return;
            }
            for (const JobProgress &progress : changed) {
                this->completed += progress.state == JobState::Completed && this->progress[progress.id].state != JobState::Completed ? 1 : 0;
                this->progress[progress.id] = progress;
            }
            for (const ExecutorKey &key : used) {
                this->recorded[key] = ExecutorLocation{MachineId{"m" + key.id.value.substr(1)}, ServiceId{"desk"}};
            }
            for (const ExecutorKey &key : ended) {
                this->recorded.erase(key);
            }
            owner->scheduler->markPersisted();
            for (const ExecutorKey &key : used) {
                owner->scheduler->markRecorded(key);
            }
        });
    }

    std::mt19937 random;
    milliseconds now{};
    std::uint64_t order = 0;
    std::priority_queue<Call> calls;
    FleetConfig config;
    std::vector<FakeExecutor> executors;
    std::vector<std::shared_ptr<FakeOwner>> owners;
    std::int64_t tokens = 0;
    milliseconds storeDownUntil{};
    std::vector<AcceptedJob> jobs;
    std::set<JobId> cancelled;
    std::map<JobId, JobProgress> progress;
    std::map<ExecutorKey, ExecutorLocation> recorded;
};

// Returns a number from the environment: HISTORIES sets the number of histories, SEED the first seed.
std::uint32_t environmentValue(const char *name, std::uint32_t defaultValue)
{
    const char *text = std::getenv(name);
    return text == nullptr ? defaultValue : static_cast<std::uint32_t>(std::strtoul(text, nullptr, 10));
}

TEST(PoolHistory, SeedsThatOnceFailed)
{
    // 500959: an executor that returned while the deletion of its record was pending stayed in use without a record.
    // 4002148: an owner that resumed after a pause, with its ownership not expired, restarted an item whose end its successor had acknowledged.
    for (const std::uint32_t seed : {500959U, 4002148U}) {
        History history(seed);
        history.run(40'000ms);
        EXPECT_TRUE(history.checker.violations.empty()) << "seed " << seed << ": " << history.checker.violations.front();
    }
}

TEST(PoolHistory, NoPromiseIsBrokenInRandomHistories)
{
    const std::uint32_t first = environmentValue("SEED", 1);
    const std::uint32_t count = environmentValue("HISTORIES", 60);
    int completed = 0;
    int takeovers = 0;
    for (std::uint32_t seed = first; seed < first + count; ++seed) {
        History history(seed);
        history.run(40'000ms);
        EXPECT_TRUE(history.checker.violations.empty()) << "seed " << seed << ": " << history.checker.violations.front();
        completed += history.completed;
        takeovers += history.takeovers;
    }
    // The histories are meaningful only if jobs complete despite the injected faults.
    EXPECT_GT(completed, static_cast<int>(count) * 10);
    EXPECT_GT(takeovers, static_cast<int>(count) * 3);
    std::printf("%u histories, %d jobs completed, %d takeovers\n", count, completed, takeovers);
}

}
}
