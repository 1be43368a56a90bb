// Tests of FleetPlanner with pools that take turns in bursting. Work arrives, and the instances work it off, as a fluid on simulated time.
#include <mangocourse/fleetplanner.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <random>

namespace MangoCourse {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr int poolCount = 4;
constexpr double cpuPerMachine = 16'000.0;
// A burst asks for 100 instances, a pool has 74 at first; the mean is 22.
constexpr double meanRate = 22.0 * cpuPerMachine * 0.85;
constexpr double step = 0.05;

struct Burst {
    double start = 0.0;
    double end = 0.0;
    double rate = 0.0;
};

struct Figures {
    double machineSeconds = 0.0;
    double inTime = 0.0;
    double late = 0.0;
    int moves = 0;
};

class BurstWorld
{
public:
    BurstWorld(bool usesForecast, unsigned seed)
        : random(seed)
    {
        this->settings.usesForecast = usesForecast;
        this->config.revision = 1;
        for (int pool = 0; pool <= poolCount; ++pool) {
            const ServiceId id = this->poolId(pool);
            this->config.services.emplace(id, ServiceConfig{id, {}, 64, true, pool == poolCount});
            for (int index = 0; index < (pool == poolCount ? 56 : 294 / poolCount + (pool < 2 ? 1 : 0)); ++index) {
                MachineInfo info;
                info.id = MachineId{"m" + std::to_string(this->machines.size())};
                info.pool = id;
                info.state = MachineState::Up;
                info.capacity = Resources{std::int64_t(cpuPerMachine), 32'000, 0};
                info.executor = ExecutorId{"x" + info.id.value};
                this->machines.push_back(info);
                this->arrivesAt.push_back(0.0);
                this->drainedAt.push_back(-1.0);
            }
        }
        this->replacePlanner();
    }

    static ServiceId poolId(int pool)
    {
        return ServiceId{"p" + std::to_string(pool)};
    }

    void replacePlanner()
    {
        const PlannerState state = this->planner ? this->planner->state() : PlannerState{};
        this->planner = std::move(*FleetPlanner::create(this->settings, state));
        this->planner->setConfig(this->config);
    }

    // Turns of 4 s in a cycle of 16 s, one pool after the other, with noise in start, length and height.
    void addTurns(int cycles, double scale = 1.0)
    {
        std::uniform_real_distribution<double> noise(-1.0, 1.0);
        for (int turn = 0; turn < cycles * poolCount; ++turn) {
            const double start = 2.0 + 4.0 * turn + 0.25 * noise(this->random);
            this->bursts[turn % poolCount].push_back(
                {start, start + 4.0 + 0.25 * noise(this->random), scale * meanRate * 4.5 * (1.0 + 0.1 * noise(this->random))});
        }
    }

    // As many turns of any length, at any time.
    void addIrregularTurns(double until)
    {
        std::exponential_distribution<double> pause(1.0 / 12.0);
        std::uniform_real_distribution<double> length(1.0, 7.0);
        for (auto &bursts : this->bursts) {
            for (double at = pause(this->random); at < until;) {
                bursts.push_back({at, at + length(this->random), meanRate * 4.5});
                at = bursts.back().end + pause(this->random);
            }
        }
    }

    void setWave(std::int32_t parallel, milliseconds duration)
    {
        MaintenanceWave wave;
        wave.id = WaveId{"1"};
        for (const MachineInfo &machine : this->machines) {
            wave.machines.push_back(machine.id);
        }
        wave.parallel = parallel;
        wave.duration = duration;
        this->planner->setWaves({{wave.id, wave}}, this->wall());
    }

    void run(double until)
    {
        for (; this->time < until; this->time += step) {
            this->work();
            this->planner->setMachines(this->machines, this->now());
            if (++this->steps % 2 == 0) {
                this->report();
            }
            const PlannerOrders orders = this->planner->plan(this->now(), this->wall());
            for (const Evacuation &order : orders.move) {
                this->planner->onMoveOutcome(order, true, false, this->now());
                this->begin(order, MachineState::Moving, 1.5);
                this->machineOf(order).pool = order.target;
                ++this->figures.moves;
            }
            for (const Evacuation &order : orders.maintain) {
                this->planner->onMaintenanceOutcome(order, true, false, this->now());
                this->begin(order, MachineState::InMaintenance, 2.0);
            }
        }
    }

    // Plans once with this report alone.
    void sendOnly(const PoolReport &report)
    {
        this->planner->setMachines(this->machines, this->now());
        this->planner->setReport(report, this->now());
        this->planner->plan(this->now(), this->wall());
    }

    int sizeOf(int pool) const
    {
        return static_cast<int>(std::count_if(this->machines.begin(), this->machines.end(), [pool](const MachineInfo &machine) {
            return machine.state == MachineState::Up && machine.pool == poolId(pool);
        }));
    }

    int forecasts() const
    {
        return static_cast<int>(std::count_if(this->planner->needs().begin(), this->planner->needs().end(), [](const PoolNeed &need) {
            return need.forecast.has_value();
        }));
    }

    std::unique_ptr<FleetPlanner> planner;
    std::deque<Burst> bursts[poolCount];
    Figures figures;
    double time = 0.0;

private:
    struct Piece {
        double at = 0.0;
        double amount = 0.0;
    };

    TimePoint now() const
    {
        return TimePoint{100s} + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(this->time));
    }

    WallTime wall() const
    {
        return WallTime{1'000'000s} + milliseconds(std::int64_t(this->time * 1000.0));
    }

    MachineInfo &machineOf(const Evacuation &order)
    {
        return this->machines[std::stoul(order.machine.value.substr(1))];
    }

    void begin(const Evacuation &order, MachineState state, double seconds)
    {
        MachineInfo &machine = this->machineOf(order);
        machine.state = state;
        machine.executor.value += "'";
        const std::size_t index = static_cast<std::size_t>(&machine - this->machines.data());
        this->arrivesAt[index] = this->time + seconds;
        this->drainedAt[index] = -1.0;
    }

    void work()
    {
        this->evacuating = this->planner->state().evacuationList().evacuating;
        double capacity[poolCount + 1] = {};
        for (std::size_t index = 0; index < this->machines.size(); ++index) {
            MachineInfo &machine = this->machines[index];
            if (machine.state != MachineState::Up && this->time >= this->arrivesAt[index]) {
                machine.state = MachineState::Up;
            }
            const int pool = machine.pool.value[1] - '0';
            this->figures.machineSeconds += pool < poolCount ? step : 0.0;
            if (!this->evacuating.contains(machine.executor)) {
                this->drainedAt[index] = -1.0;
                capacity[pool] += machine.state == MachineState::Up ? cpuPerMachine * 0.85 * step : 0.0;
            } else if (this->drainedAt[index] < 0.0) {
                this->drainedAt[index] = this->time + (this->open[pool].empty() ? 0.0 : 0.3);
            }
        }
        for (int pool = 0; pool < poolCount; ++pool) {
            double rate = meanRate / 20.0;
            for (const Burst &burst : this->bursts[pool]) {
                rate = this->time >= burst.start && this->time < burst.end ? burst.rate : rate;
            }
            this->open[pool].push_back({this->time, rate * step});
            this->arrived[pool].push_back({this->time, rate * step});
            // Work that is still in time goes first.
            for (const bool isLate : {false, true}) {
                for (Piece &piece : this->open[pool]) {
                    if (this->isLate(piece) == isLate) {
                        const double done = std::min(piece.amount, capacity[pool]);
                        piece.amount -= done;
                        capacity[pool] -= done;
                        (isLate ? this->figures.late : this->figures.inTime) += done;
                    }
                }
            }
            std::erase_if(this->open[pool], [](const Piece &piece) {
                return piece.amount <= 0.0;
            });
        }
    }

    bool isLate(const Piece &piece) const
    {
        return this->time - piece.at > 2.5;
    }

    void report()
    {
        for (int pool = 0; pool < poolCount; ++pool) {
            PoolReport report;
            report.service = poolId(pool);
            report.token = 1;
            report.number = this->steps;
            report.appliedEvacuationNumber = this->planner->state().number;
            double halves[2] = {};
            while (this->time - this->arrived[pool].front().at >= 1.0) {
                this->arrived[pool].pop_front();
            }
            for (const Piece &piece : this->arrived[pool]) {
                halves[this->time - piece.at < 0.5 ? 1 : 0] += piece.amount;
            }
            report.inflow = std::int64_t(std::max(halves[0] + halves[1], 2.0 * halves[1] + 2.0 * std::max(0.0, halves[1] - halves[0])));
            double all = 0.0;
            for (const Piece &piece : this->open[pool]) {
                (this->isLate(piece) ? report.lateBacklog : report.backlog) += std::int64_t(piece.amount);
                all += piece.amount;
            }
            // Items run for half a second.
            report.readyCpu = std::int64_t(all / 0.5);
            for (std::size_t index = 0; index < this->machines.size(); ++index) {
                const MachineInfo &machine = this->machines[index];
                if (machine.state == MachineState::Up && machine.pool == report.service) {
                    const bool isBusy = this->evacuating.contains(machine.executor) ? this->time < this->drainedAt[index] : all > 0.0;
                    report.executors.push_back(ExecutorUsage{machine.executor, 7, isBusy ? 1 : 0, 0, true});
                }
            }
            if (this->isReportDue(report, this->sent[pool])) {
                this->sentAt[pool] = this->time;
                this->sent[pool] = report;
                this->planner->setReport(report, this->now());
            }
        }
    }

    // As owners decide it: what has hardly changed is reported every 1.5 s.
    bool isReportDue(const PoolReport &report, const PoolReport &last) const
    {
        const auto differs = [](std::int64_t one, std::int64_t other) {
            return std::abs(one - other) > std::max<std::int64_t>(std::max(one, other) / 4, 64'000);
        };
        const bool isOverdue = this->time - this->sentAt[report.service.value[1] - '0'] > 1.5;
        const bool hasEvacuationChange
            = report.appliedEvacuationNumber != last.appliedEvacuationNumber || (!this->evacuating.empty() && report.executors != last.executors);
        return isOverdue || hasEvacuationChange || differs(report.inflow, last.inflow) || differs(report.backlog, last.backlog);
    }

    std::mt19937 random;
    PlannerSettings settings;
    FleetConfig config;
    std::vector<MachineInfo> machines;
    std::vector<double> arrivesAt;
    // When an evacuated instance has no more runs; negative until its evacuation is seen.
    std::vector<double> drainedAt;
    decltype(EvacuationList::evacuating) evacuating;
    PoolReport sent[poolCount];
    double sentAt[poolCount] = {-9.0, -9.0, -9.0, -9.0};
    std::deque<Piece> open[poolCount];
    std::deque<Piece> arrived[poolCount];
    std::int64_t steps = 0;
};

// Runs eight cycles. Returns the work of the whole run, as work that is open at any other time would be missing, and the cost since the third cycle began.
// `firstSizes` gets the size of the pool half a second into each turn since then.
Figures runCycles(BurstWorld &world, double scale, std::vector<int> &firstSizes)
{
    world.addTurns(8, scale);
    world.run(34.0);
    const Figures before = world.figures;
    for (std::size_t cycle = 2; cycle < 8; ++cycle) {
        for (int pool = 0; pool < poolCount; ++pool) {
            world.run(world.bursts[pool][cycle].start + 0.5);
            firstSizes.push_back(world.sizeOf(pool));
        }
    }
    world.run(134.0);
    return {world.figures.machineSeconds - before.machineSeconds, world.figures.inTime, world.figures.late, world.figures.moves - before.moves};
}

// Without a forecast the instances arrive in the second half of a turn and stand idle after it.
TEST(FleetForecastTest, TurnsCostAQuarterLessAndFindTheirInstances)
{
    for (const unsigned seed : {1U, 2U, 3U}) {
        BurstWorld with(true, seed);
        BurstWorld without(false, seed);
        std::vector<int> sizes;
        std::vector<int> sizesWithout;
        const Figures learned = runCycles(with, 1.0, sizes);
        const Figures reported = runCycles(without, 1.0, sizesWithout);
        EXPECT_GE(*std::min_element(sizes.begin(), sizes.end()), 85) << "seed " << seed;
        EXPECT_LE(learned.machineSeconds, 0.75 * reported.machineSeconds);
        EXPECT_GE(learned.inTime, 0.9999 * reported.inTime) << "beyond rounding";
        EXPECT_LT(learned.moves, 0.75 * reported.moves);
    }
}

// Two turns together need more than the fleet has, so what is kept ready for one is missing in the other.
TEST(FleetForecastTest, ForecastTakesNothingFromATurnWhenInstancesAreScarce)
{
    BurstWorld with(true, 1);
    BurstWorld without(false, 1);
    std::vector<int> sizes;
    const Figures learned = runCycles(with, 2.2, sizes);
    const Figures reported = runCycles(without, 2.2, sizes);
    EXPECT_GE(learned.inTime, reported.inTime);
    EXPECT_LE(learned.machineSeconds, reported.machineSeconds);
    EXPECT_LE(learned.moves, 1.05 * reported.moves);
}

// A pattern that is seen by chance moves instances for turns that do not come.
TEST(FleetForecastTest, IrregularDemandIsServedAsWithoutForecast)
{
    for (const unsigned seed : {1U, 3U}) {
        BurstWorld with(true, seed);
        BurstWorld without(false, seed);
        for (BurstWorld *world : {&with, &without}) {
            world->addIrregularTurns(130.0);
            world->run(130.0);
        }
        EXPECT_GE(with.figures.inTime, 0.99 * without.figures.inTime);
        EXPECT_LE(with.figures.machineSeconds, 1.01 * without.figures.machineSeconds);
        EXPECT_LE(with.figures.moves, 1.05 * without.figures.moves);
    }
}

// Callers that are refused do not show in the backlog, so that the pool would never grow for them.
TEST(FleetForecastTest, RefusedWorkCountsAsInflow)
{
    BurstWorld world(true, 7);
    PoolReport report;
    report.service = BurstWorld::poolId(0);
    report.token = 1;
    report.refusedWork = 50 * std::int64_t(cpuPerMachine);
    world.sendOnly(report);
    EXPECT_GE(world.planner->needs().front().needed, 50);
}

// A planner that begins in the middle of a turn does not know its start, and must not act on it.
TEST(FleetForecastTest, ReplacedPlannerLearnsThePatternAgain)
{
    BurstWorld world(true, 4);
    world.addTurns(8);
    world.run(60.0);
    EXPECT_EQ(world.forecasts(), poolCount);
    world.replacePlanner();
    world.run(70.0);
    EXPECT_EQ(world.forecasts(), 0);
    world.run(102.0);
    EXPECT_EQ(world.forecasts(), poolCount);
}

// A forecast that outlives its pattern would go on moving instances for turns that do not come.
TEST(FleetForecastTest, PatternThatEndsIsForgotten)
{
    BurstWorld world(true, 5);
    world.addTurns(4);
    world.run(66.0);
    EXPECT_EQ(world.forecasts(), poolCount);
    world.run(86.0);
    EXPECT_EQ(world.forecasts(), 0);
    const int moves = world.figures.moves;
    world.run(106.0);
    EXPECT_LE(world.figures.moves - moves, 110) << "only the instances of the last expected turn are parked";
}

// Smaller pools leave a wave fewer instances that it may take between turns.
TEST(FleetForecastTest, WaveBesideBurstsFinishesInTime)
{
    for (const bool usesForecast : {false, true}) {
        BurstWorld world(usesForecast, 6);
        world.addTurns(6);
        world.run(40.0);
        world.setWave(35, 55s);
        world.run(95.0);
        EXPECT_TRUE(world.planner->state().waves.at(WaveId{"1"}).isCompleted) << "forecast " << usesForecast;
    }
}

}
}
