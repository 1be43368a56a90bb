// What the load tool counted.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace MangoCourse {

// Figures of one class of work.
struct ClassFigures {
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t inTime = 0;
    std::uint64_t notRun = 0;
    std::uint64_t mayHaveRun = 0;
    std::vector<std::int64_t> latencies;
};

struct LoadReport {
    std::map<std::string, ClassFigures> classes;
    std::uint64_t wrong = 0;
    std::uint64_t partial = 0;
    std::uint64_t cut = 0;
    std::uint64_t clientTimeouts = 0;
    std::vector<std::string> notRunIds;
    std::map<std::string, std::uint64_t> reasons;
};

// Returns the value below which the share of the sorted times lies, in milliseconds.
inline double percentileMs(const std::vector<std::int64_t> &sorted, double share)
{
    if (sorted.empty()) {
        return 0;
    }
    const auto index = std::min(sorted.size() - 1, static_cast<std::size_t>(share * static_cast<double>(sorted.size())));
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
