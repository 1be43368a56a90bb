// Log lines, gauges and the state dump about work that waits.
#include "waitinglog.h"

namespace MangoCourse {

namespace {

constexpr const char *waitingGauge = "mangocourse_waiting_jobs";
constexpr const char *executorGauge = "mangocourse_executors";
constexpr const char *accountCoresGauge = "mangocourse_account_running_cores";
constexpr const char *accountJobsGauge = "mangocourse_account_waiting_jobs";

template<typename Enum, typename Counts>
std::int64_t countOf(const Counts &counts, Enum value)
{
    return static_cast<std::int64_t>(counts.at(static_cast<std::size_t>(value)));
}

std::int64_t countListed(const UsabilityCounts &executors)
{
    std::int64_t listed = 0;
    for (const std::int32_t count : executors) {
        listed += count;
    }
    return listed - countOf(executors, ExecutorUsability::Unlisted);
}

// Calls `visit` with the name and the number of each value of the enumeration.
template<typename Enum, typename Counts, typename Visitor>
void visitCounts(const Counts &counts, Visitor visit)
{
    for (std::size_t value = 0; value < counts.size(); ++value) {
        visit(std::string(toString(static_cast<Enum>(value))), counts[value]);
    }
}

// Escapes a label value for the export.
std::string escaped(const std::string &value)
{
    std::string result;
    for (const char character : value) {
        if (character == '\n') {
            result += "\\n";
            continue;
        }
        if (character == '"' || character == '\\') {
            result += '\\';
        }
        result += character;
    }
    return result;
}

void logItem(EventLog &log, const ServiceId &service, std::int64_t token, const WaitingItem &line)
{
    const UsabilityCounts &executors = line.executors;
    const ObstacleCounts &obstacles = line.obstacles;
    log.emit("work_waiting",
        {{"job", line.item.job.value}, {"occurrence", std::int64_t(line.item.occurrence)}, {"step", std::int64_t(line.item.step)},
            {"index", std::int64_t(line.item.index)}, {"service", service.value}, {"token", token}, {"reason", toString(line.reason)},
            {"age_ms", std::int64_t(line.age.count())}, {"accepted_ms", std::int64_t(line.sinceAccepted.count())}, {"listed", countListed(executors)},
            {"usable", countOf(executors, ExecutorUsability::Usable)}, {"never_contacted", countOf(executors, ExecutorUsability::NeverContacted)},
            {"not_recorded", countOf(executors, ExecutorUsability::NotRecorded)}, {"no_clock", countOf(executors, ExecutorUsability::NoClock)},
            {"draining", countOf(executors, ExecutorUsability::Draining)}, {"evacuated", countOf(executors, ExecutorUsability::Evacuated)},
            {"unproven", countOf(executors, ExecutorUsability::Unproven)}, {"unread_ends", countOf(executors, ExecutorUsability::UnreadEnds)},
            {"clearing", countOf(executors, ExecutorUsability::Clearing)}, {"avoided", countOf(executors, ExecutorUsability::Avoided)},
            {"failing", countOf(executors, ExecutorUsability::Failing)}, {"failing_ms", std::int64_t(line.failingFor.count())},
            {"suitable", countOf(obstacles, PlacementObstacle::None)}, {"no_cpu", countOf(obstacles, PlacementObstacle::Cpu)},
            {"no_memory", countOf(obstacles, PlacementObstacle::Memory)}, {"no_accelerator", countOf(obstacles, PlacementObstacle::Accelerators)},
            {"no_label", countOf(obstacles, PlacementObstacle::Label)}, {"runs_here", countOf(obstacles, PlacementObstacle::RunsHere)},
            {"at_limit", countOf(obstacles, PlacementObstacle::PerExecutorLimit)}, {"no_pass", countOf(obstacles, PlacementObstacle::Pass)},
            {"unlisted_runs", std::int64_t(line.unlistedRuns)}, {"plan_gap_ms", std::int64_t(line.planGap.count())},
            {"requests_age_ms", std::int64_t(line.requestsAge.count())}, {"executors_age_ms", std::int64_t(line.executorsAge.count())},
            {"confirmed_age_ms", std::int64_t(line.confirmedAge.count())}, {"term_left_ms", std::int64_t(line.termLeft.count())},
            {"waits_for", line.waitsFor}});
}

}

void logReview(EventLog &log, const ServiceId &service, std::int64_t token, const WaitingReview &review)
{
    for (const WaitingItem &line : review.items) {
        logItem(log, service, token, line);
    }
    for (const UnlistedRun &run : review.runs) {
        log.emit("run_unlisted",
            {{"job", run.item.job.value}, {"occurrence", std::int64_t(run.item.occurrence)}, {"step", std::int64_t(run.item.step)},
                {"index", std::int64_t(run.item.index)}, {"run", run.run}, {"executor", run.executor.value}, {"token", token}, {"phase", run.phase},
                {"age_ms", std::int64_t(run.age.count())}, {"report_age_ms", std::int64_t(run.reportAge.count())}});
    }
    for (const WaitingAccount &line : review.accounts) {
        log.emit("account_waiting",
            {{"account", line.account.value}, {"service", service.value}, {"token", token}, {"reason", toString(line.reason)}, {"position", line.position},
                {"weight", line.weight}, {"rank", std::int64_t(line.rank)}, {"accounts", std::int64_t(line.accounts)}, {"jobs", std::int64_t(line.waitingJobs)},
                {"beyond_rate", std::int64_t(line.beyondRate)}, {"late", std::int64_t(line.late)}, {"running_cpu", line.running.cpu},
                {"running_memory", line.running.memory}, {"running_accelerators", line.running.accelerators}, {"age_ms", std::int64_t(line.age.count())},
                {"since_start_ms", std::int64_t(line.sinceStart.count())}});
    }
}

void logExecutorEvent(EventLog &log, std::int64_t token, const SchedulerEvent &event)
{
    const std::int64_t lasted = event.lasted ? std::int64_t(event.lasted->count()) : -1;
    log.emit(event.event, {{"executor", event.executor.value}, {"token", token}, {"outcome", event.outcome}, {"lasted_ms", lasted}});
}

nlohmann::json asJson(const PoolWaiting &waiting)
{
    nlohmann::json jobs = nlohmann::json::object();
    visitCounts<WaitReason>(waiting.jobs, [&jobs](const std::string &name, std::size_t count) {
        if (count > 0) {
            jobs[name] = count;
        }
    });
    nlohmann::json executors = nlohmann::json::object();
    visitCounts<ExecutorUsability>(waiting.executors, [&executors](const std::string &name, std::int32_t count) {
        if (count > 0) {
            executors[name] = count;
        }
    });
    nlohmann::json result{{"jobs", jobs}, {"executors", executors}};
    for (const AccountLoad &load : waiting.accounts) {
        result["accounts"].push_back({{"account", load.account.value}, {"cpu_used", load.running.cpu}, {"memory_used", load.running.memory},
            {"accelerators_used", load.running.accelerators}, {"waiting", load.waitingJobs}});
    }
    return result;
}

void clearGauges(Metrics &metrics)
{
    metrics.removeGauge(waitingGauge);
    metrics.removeGauge(executorGauge);
    metrics.removeGauge(accountCoresGauge);
    metrics.removeGauge(accountJobsGauge);
}

void setGauges(Metrics &metrics, const ServiceId &service, const PoolWaiting &waiting)
{
    const std::string pool = "service=\"" + service.value + "\"";
    visitCounts<WaitReason>(waiting.jobs, [&](const std::string &name, std::size_t count) {
        metrics.set(waitingGauge, "Jobs with a ready item that waits, by reason.", static_cast<double>(count), pool + ",reason=\"" + name + "\"");
    });
    visitCounts<ExecutorUsability>(waiting.executors, [&](const std::string &name, std::int32_t count) {
        metrics.set(executorGauge, "Executors of the pools owned here, by usability.", static_cast<double>(count), pool + ",usability=\"" + name + "\"");
    });
    for (const AccountLoad &load : waiting.accounts) {
        const std::string labels = pool + ",account=\"" + escaped(load.account.value) + "\"";
        metrics.set(accountCoresGauge, "Cores that runs of client accounts reserve.", static_cast<double>(load.running.cpu) / 1000.0, labels);
        metrics.set(accountJobsGauge, "Jobs of client accounts with a ready item that waits.", static_cast<double>(load.waitingJobs), labels);
    }
}

}
