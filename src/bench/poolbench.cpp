// poolbench: microbenchmarks of the pool scheduler's decisions, by number of executors, of open jobs and of client accounts.
#include <benchmark/benchmark.h>

#include <deque>

#include <mangocourse/poolscheduler.h>

namespace MangoCourse {

namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr int itemsPerJob = 10;
constexpr std::int64_t milliCoresPerItem = 6200;
// Virtual time between two rounds, the interval at which an owner plans, renews and saves under load.
constexpr milliseconds roundInterval{10};
constexpr milliseconds runDuration{1000};

// A full pool whose executors acknowledge every order immediately and end each item after `runDuration`.
class SaturatedPool
{
public:
    // With 0 accounts the jobs have none.
    SaturatedPool(int executors, int openJobs, int accounts = 0)
        : accounts(accounts)
    {
        FleetConfig config;
        config.revision = 1;
        QueueConfig queue;
        queue.id = QueueId{"counter"};
        queue.service = ServiceId{"desk"};
        queue.attempts = 3;
        queue.slackFactor = 1.6;
        config.queues.push_back(queue);
        config.services.emplace(ServiceId{"desk"}, ServiceConfig{ServiceId{"desk"}, {}, 64, true, false});
        this->scheduler = std::move(*PoolScheduler::create(ServiceId{"desk"}, SchedulerSettings{}, 1, 0, TimePoint{}));
        this->scheduler->setConfig(config);
        for (int number = 0; number < executors; ++number) {
            ExecutorInfo info;
            info.id = ExecutorId{"executor-" + std::to_string(number)};
            info.machine = MachineId{"machine-" + std::to_string(number)};
            info.service = ServiceId{"desk"};
            info.incarnation = 1;
            info.capacity = Resources{64'000, 256 * 1024, 0};
            info.labels = {"a", "rack-" + std::to_string(number / 20)};
            this->executorInfos.push_back(info);
        }
        this->listExecutors();
        for (const ExecutorInfo &info : this->executorInfos) {
            this->report(ExecutorKey{info.id, info.incarnation}, {});
        }
        for (int number = 0; number < openJobs; ++number) {
            this->addJob();
        }
        this->persistProgress();
        for (int round = 0; round < 3; ++round) {
            this->step();
        }
    }

    void listExecutors()
    {
        this->scheduler->setExecutors(this->executorInfos, this->now);
        for (const ExecutorKey &key : this->scheduler->takeUnrecordedExecutors()) {
            this->scheduler->markRecorded(key);
        }
    }

    // Runs one round: reports ended runs, plans, acknowledges the starts and persists the progress. Each finished job is replaced by a new one.
    void step()
    {
        this->now += roundInterval;
        this->wall += roundInterval;
        std::map<ExecutorKey, std::vector<ReportedEnd>> ends;
        while (!this->running.empty() && this->running.front().endsAt <= this->now) {
            const RunningItem &work = this->running.front();
            ends[work.executor].push_back(ReportedEnd{++this->lastEndNumbers[work.executor], work.item, work.run, RunEnd::Done, {}});
            this->runningByExecutor[work.executor].erase(work.item);
            this->running.pop_front();
        }
        for (const auto &[key, ended] : ends) {
            this->report(key, ended);
            this->ended += static_cast<std::int64_t>(ended.size());
        }
        const SchedulerOrders orders
            = this->scheduler->plan(this->now, this->wall, OwnershipTerm{this->now, this->now + 6s}, PoolWatermarks{this->now, this->now});
        for (const StartOrder &order : orders.starts) {
            const ExecutorKey key{order.executor.id, order.executor.incarnation};
            this->scheduler->onStarted(key, order.run, OrderReply{OrderOutcome::Done, std::nullopt}, this->now, this->now);
            this->running.push_back(RunningItem{key, order.run.item, order.run.run, this->now + runDuration});
            this->runningByExecutor[key][order.run.item] = order.run.run;
        }
        this->started += static_cast<std::int64_t>(orders.starts.size());
        this->persistProgress();
        for (const auto &[key, ended] : ends) {
            benchmark::DoNotOptimize(this->scheduler->renewal(key, this->now, this->now + 6s));
        }
        benchmark::DoNotOptimize(this->scheduler->nextWakeup(this->now, this->wall));
    }

    SchedulerOrders plan()
    {
        return this->scheduler->plan(this->now, this->wall, OwnershipTerm{this->now, this->now + 6s}, PoolWatermarks{this->now, this->now});
    }

    std::int64_t started = 0;
    std::int64_t ended = 0;

private:
    struct RunningItem {
        ExecutorKey executor;
        ItemId item;
        std::int64_t run = 0;
        TimePoint endsAt{};
    };

    void addJob()
    {
        AcceptedJob job;
        std::string name = std::to_string(++this->jobCount);
        job.id = JobId{std::string(16 - name.size(), '0') + name};
        job.queue = QueueId{"counter"};
        job.service = ServiceId{"desk"};
        job.acceptedAt = this->wall;
        if (this->accounts > 0) {
            job.account = AccountId{"account-" + std::to_string(this->jobCount % this->accounts)};
        }
        StepSpec step;
        step.count = itemsPerJob;
        step.resources = Resources{milliCoresPerItem, 1024, 0};
        step.estimate = runDuration;
        job.spec.payload = "work";
        job.spec.steps.push_back(step);
        this->scheduler->addJob(job, nullptr, this->now, this->wall);
    }

    void report(const ExecutorKey &key, const std::vector<ReportedEnd> &ended)
    {
        ExecutorReport report;
        report.outcome = OrderOutcome::Done;
        report.clock = std::chrono::duration_cast<milliseconds>(this->now.time_since_epoch());
        report.incarnation = key.incarnation;
        for (const auto &[item, run] : this->runningByExecutor[key]) {
            report.running.push_back(ReportedRun{item, run, {}, 100, 0});
        }
        report.ended = ended;
        this->scheduler->onReport(key, report, this->now, this->now, this->wall);
    }

    void persistProgress()
    {
        const std::vector<JobProgress> changed = this->scheduler->takeChangedJobs();
        this->scheduler->markPersisted();
        for (const JobProgress &progress : changed) {
            if (isFinal(progress.state)) {
                this->addJob();
            }
        }
    }

    std::unique_ptr<PoolScheduler> scheduler;
    std::vector<ExecutorInfo> executorInfos;
    std::deque<RunningItem> running;
    std::map<ExecutorKey, std::map<ItemId, std::int64_t>> runningByExecutor;
    std::map<ExecutorKey, std::int64_t> lastEndNumbers;
    int accounts = 0;
    int jobCount = 0;
    TimePoint now{100s};
    WallTime wall{1'000'000s};
};

// Measures one item from its start to its persisted end, in a full pool with a backlog.
void itemUnderLoad(benchmark::State &state)
{
    SaturatedPool pool(static_cast<int>(state.range(0)), static_cast<int>(state.range(1)));
    const std::int64_t before = pool.started;
    for ([[maybe_unused]] auto round : state) {
        pool.step();
    }
    state.counters["per_item"] = benchmark::Counter(static_cast<double>(pool.started - before), benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
}

// As itemUnderLoad, with client accounts that compete.
void itemOfAccount(benchmark::State &state)
{
    SaturatedPool pool(static_cast<int>(state.range(0)), static_cast<int>(state.range(1)), static_cast<int>(state.range(2)));
    const std::int64_t before = pool.started;
    for ([[maybe_unused]] auto round : state) {
        pool.step();
    }
    state.counters["per_item"] = benchmark::Counter(static_cast<double>(pool.started - before), benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
}

void planOfAccounts(benchmark::State &state)
{
    SaturatedPool pool(static_cast<int>(state.range(0)), static_cast<int>(state.range(1)), static_cast<int>(state.range(2)));
    for ([[maybe_unused]] auto round : state) {
        benchmark::DoNotOptimize(pool.plan());
    }
}

void planWithNothingToDo(benchmark::State &state)
{
    SaturatedPool pool(static_cast<int>(state.range(0)), static_cast<int>(state.range(1)));
    for ([[maybe_unused]] auto round : state) {
        benchmark::DoNotOptimize(pool.plan());
    }
}

void listRead(benchmark::State &state)
{
    SaturatedPool pool(static_cast<int>(state.range(0)), 10);
    for ([[maybe_unused]] auto round : state) {
        pool.listExecutors();
    }
}

void applySizes(benchmark::internal::Benchmark *benchmark)
{
    for (const int executors : {80, 300, 2400}) {
        for (const int jobs : {10, 100, 1000}) {
            benchmark->Args({executors, jobs});
        }
    }
    benchmark->MinTime(0.2);
}

void applyAccounts(benchmark::internal::Benchmark *benchmark)
{
    for (const int executors : {80, 300}) {
        for (const int jobs : {100, 1000}) {
            for (const int accounts : {0, 1, 20, 700}) {
                benchmark->Args({executors, jobs, accounts});
            }
        }
    }
    benchmark->MinTime(0.2);
}

BENCHMARK(itemUnderLoad)->Apply(applySizes)->Unit(benchmark::kMicrosecond);
BENCHMARK(planWithNothingToDo)->Apply(applySizes)->Unit(benchmark::kMicrosecond);
BENCHMARK(itemOfAccount)->Apply(applyAccounts)->Unit(benchmark::kMicrosecond);
BENCHMARK(planOfAccounts)->Apply(applyAccounts)->Unit(benchmark::kMicrosecond);
BENCHMARK(listRead)->Arg(80)->Arg(300)->Arg(2400)->Unit(benchmark::kMicrosecond);

}

}

BENCHMARK_MAIN();
