// mangobench: microbenchmarks of the coordination code at today's fleet size and at the size expected in two years.
#include <benchmark/benchmark.h>

#include <mangocourse/dispatcher.h>
#include <mangocourse/fleetstate.h>
#include <mangocourse/jobledger.h>
#include <mangocourse/maintenanceplanner.h>

namespace MangoCourse {

namespace {

using namespace std::chrono_literals;

constexpr int twoYearInstances = 2400;
constexpr int instancesPerPool = 14;
constexpr int instancesPerRack = 4;

std::string poolName(int instance)
{
    return "pool-" + std::to_string(instance / instancesPerPool);
}

std::vector<Record> buildBenchmarkFleet(int instances)
{
    std::vector<Record> records;
    const auto add = [&records](RecordBody body) {
        records.push_back(Record{RecordId{"fleet-" + std::to_string(records.size())}, std::move(body)});
    };
    for (int number = 0; number < instances; ++number) {
        if (number % instancesPerPool == 0) {
            PoolSpec spec;
            spec.minAvailable = instancesPerPool / 2;
            add(DefinePool{PoolId{poolName(number)}, spec});
        }
        const InstanceSpec spec{DataCentreId{"dc-" + std::to_string(number % 13)}, RackId{"rack-" + std::to_string(number / instancesPerRack)}, 8, 64};
        add(DefineInstance{InstanceId{"instance-" + std::to_string(number)}, PoolId{poolName(number)}, spec});
    }
    return records;
}

FleetState buildFleetState(int instances)
{
    FleetState fleet;
    Offset offset = 0;
    for (const Record &record : buildBenchmarkFleet(instances)) {
        fleet.apply(++offset, record);
    }
    return fleet;
}

// Returns `count` records in the mix of one day: settings changes of 700 teams, and a health report as every eighth record.
std::vector<Record> buildDayRecords(int instances, int count)
{
    std::vector<Record> records;
    for (int number = 0; number < count; ++number) {
        const RecordId id{"day-" + std::to_string(number)};
        if (number % 8 == 0) {
            records.push_back({id, ReportHealth{InstanceId{"instance-" + std::to_string(number % instances)}, number % 16 == 0}});
        } else {
            records.push_back({id, ChangeSetting{poolName(number % instances) + "/service-" + std::to_string(number % 700), "request.timeout_ms", "500", -1}});
        }
    }
    return records;
}

void foldApply(benchmark::State &state)
{
    const int instances = static_cast<int>(state.range(0));
    FleetState fleet = buildFleetState(instances);
    const std::vector<Record> day = buildDayRecords(instances, 20'000);
    Offset offset = fleet.offset();
    std::size_t next = 0;
    for (auto _ : state) {
        benchmark::DoNotOptimize(fleet.apply(++offset, day[next++ % day.size()]));
    }
    state.SetItemsProcessed(state.iterations());
}
BENCHMARK(foldApply)->Arg(50)->Arg(600)->Arg(twoYearInstances);

void recordDecode(benchmark::State &state)
{
    const std::string text = encodeRecord({RecordId{"ctl-1234567890"}, ChangeSetting{"pool-1/service-7", "request.timeout_ms", "500", 812}});
    for (auto _ : state) {
        benchmark::DoNotOptimize(decodeRecord(text));
    }
    state.SetItemsProcessed(state.iterations());
}
BENCHMARK(recordDecode);

// Measures a restart: parsing a snapshot of the fleet and replaying one hour of records. 6,200 changes a day are 259 an hour.
void restoreSnapshot(benchmark::State &state)
{
    const int instances = static_cast<int>(state.range(0));
    FleetState fleet = buildFleetState(instances);
    Offset offset = fleet.offset();
    for (const Record &record : buildDayRecords(instances, 6200)) {
        fleet.apply(++offset, record);
    }
    const std::string snapshot = fleet.toJson();
    std::vector<std::string> tail;
    for (const Record &record : buildDayRecords(instances, 259)) {
        tail.push_back(encodeRecord(record));
    }
    for (auto _ : state) {
        Result<FleetState> restored = FleetState::fromJson(snapshot);
        Offset at = offset;
        for (const std::string &payload : tail) {
            restored->apply(++at, *decodeRecord(payload));
        }
        benchmark::DoNotOptimize(restored);
    }
    state.counters["snapshot_bytes"] = static_cast<double>(snapshot.size());
}
BENCHMARK(restoreSnapshot)->Arg(50)->Arg(600)->Arg(twoYearInstances)->Unit(benchmark::kMillisecond);

void placeRequest(benchmark::State &state)
{
    Dispatcher dispatcher = std::move(*Dispatcher::create(1));
    DispatchView view;
    view.pools.push_back({PoolId{"pool"}, {ServiceId{"service"}}, {}, 1000, 30});
    for (int number = 0; number < state.range(0); ++number) {
        view.executors.push_back({InstanceId{"instance-" + std::to_string(number)}, PoolId{"pool"}, 8, true, true});
    }
    const TimePoint now{10s};
    dispatcher.updateView(view, now);
    const WorkRequest request{ServiceId{"service"}, TeamId{"team"}, WorkClass::Counter, now + 2s, {}};
    for (auto _ : state) {
        const Admission admission = dispatcher.submit(request, now);
        benchmark::DoNotOptimize(dispatcher.finish(admission.ticket, AttemptResult::Succeeded, now));
    }
}
BENCHMARK(placeRequest)->Arg(50)->Arg(185)->Arg(600)->Arg(twoYearInstances);

void planRound(benchmark::State &state)
{
    const int instances = static_cast<int>(state.range(0));
    FleetState fleet = buildFleetState(instances);
    fleet.apply(fleet.offset() + 1, {RecordId{"wave"}, StartWave{WaveId{"wave"}, PoolId{"pool-0"}}});
    InstanceListing listing;
    for (const auto &[id, instance] : fleet.instances()) {
        listing.emplace(id, ListedInstance{InstanceState::Live, instance.pool, 0, 0, 0});
    }
    MaintenancePlanner planner = std::move(*MaintenancePlanner::create(ProcessId{"keeper"}));
    for (auto _ : state) {
        benchmark::DoNotOptimize(planner.plan(fleet, listing, TimePoint{10s}));
    }
}
BENCHMARK(planRound)->Arg(50)->Arg(600)->Arg(twoYearInstances)->Unit(benchmark::kMicrosecond);

void ledgerJob(benchmark::State &state)
{
    JobLedger ledger;
    Offset offset = 0;
    std::uint64_t number = 0;
    for (auto _ : state) {
        const std::string name = std::to_string(++number);
        const JobId job{"team:" + name};
        ledger.apply(++offset, {RecordId{"a" + name}, AcceptJob{job, ServiceId{"s"}, TeamId{"team"}, false, "payload"}});
        const Offset claim = ++offset;
        ledger.apply(claim, {RecordId{"c" + name}, ClaimJob{job, ProcessId{"gate"}}});
        ledger.apply(++offset, {RecordId{"f" + name}, FinishJob{job, claim, 200, "done"}});
    }
    state.SetItemsProcessed(state.iterations() * 3);
}
BENCHMARK(ledgerJob);

}

}

BENCHMARK_MAIN();
