// Counters of the load tool and their JSON report.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace MangoCourse {

// Counters of one work class; `latencies` are in microseconds.
struct ClassFigures {
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t inTime = 0;
    std::uint64_t notRun = 0;
    std::uint64_t mayHaveRun = 0;
    std::vector<std::int64_t> latencies;
};

// Counters of one load run. `wrong` counts answers that belong to another request, `partial` those that were incomplete, `cut` the connections that
// failed before an answer; `reasons` counts refusals and failures by text.
struct LoadReport {
    std::map<std::string, ClassFigures> classes;
    std::uint64_t wrong = 0;
    std::uint64_t partial = 0;
    std::uint64_t cut = 0;
    std::uint64_t clientTimeouts = 0;
    std::vector<std::string> notRunIds;
    std::map<std::string, std::uint64_t> reasons;
};

// Returns the percentile of sorted latencies (microseconds) in milliseconds; `quantile` is between 0 and 1.
inline double percentileMs(const std::vector<std::int64_t> &sorted, double quantile)
{
    if (sorted.empty()) {
        return 0;
    }
    const auto index = std::min(sorted.size() - 1, static_cast<std::size_t>(quantile * static_cast<double>(sorted.size())));
    return static_cast<double>(sorted[index]) / 1000.0;
}

inline nlohmann::json toJson(ClassFigures &figures)
{
    std::sort(figures.latencies.begin(), figures.latencies.end());
    return {{"requests", figures.requests}, {"answered", figures.answered}, {"in_time", figures.inTime}, {"not_run", figures.notRun},
        {"may_have_run", figures.mayHaveRun}, {"p50_ms", percentileMs(figures.latencies, 0.5)}, {"p99_ms", percentileMs(figures.latencies, 0.99)},
        {"p999_ms", percentileMs(figures.latencies, 0.999)}};
}

inline nlohmann::json toJson(LoadReport &report)
{
    nlohmann::json classes = nlohmann::json::object();
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    for (auto &[name, figures] : report.classes) {
        classes[name] = toJson(figures);
        requests += figures.requests;
        answered += figures.answered;
    }
    const ClassFigures &counter = report.classes["counter"];
    const double inTime = counter.requests == 0 ? 1.0 : static_cast<double>(counter.inTime) / static_cast<double>(counter.requests);
    return {{"requests", requests}, {"answered", answered}, {"counter_in_time", inTime}, {"wrong", report.wrong}, {"partial", report.partial},
        {"cut", report.cut}, {"client_timeouts", report.clientTimeouts}, {"reasons", report.reasons}, {"classes", std::move(classes)}};
}

}
