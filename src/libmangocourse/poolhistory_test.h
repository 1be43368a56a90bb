// For the random histories of pools: the judge of what executors begin and end, and an executor as the platform describes it.
#pragma once

#include <algorithm>
#include <chrono>
#include <map>
#include <string>
#include <vector>

#include <mangocourse/poolscheduler.h>

namespace MangoCourse {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

inline constexpr milliseconds maxLeaseLength{6000};
inline constexpr int attempts = 3;

// Knows every start and end, and which of them break a promise. An end counts once it was acknowledged, unless the executor's lease lapsed before.
class Judge
{
public:
    std::vector<std::string> broken;

    void onStart(const ItemId &item, int executor, std::int64_t incarnation, const JobSpec &spec, milliseconds now)
    {
        const StepSpec &step = spec.steps[static_cast<std::size_t>(item.step)];
        Past &past = this->items[item];
        past.isSpeculative = step.isSpeculative;
        const bool runsElsewhere = std::any_of(past.runs.begin(), past.runs.end(), [](const Run &run) {
            return !run.isOver;
        });
        if (!step.isSpeculative && runsElsewhere) {
            this->note(now, item, "runs twice at once");
        }
        for (const std::int32_t earlier : step.dependsOn) {
            for (int index = 0; index < spec.steps[static_cast<std::size_t>(earlier)].count; ++index) {
                if (!this->items[ItemId{item.job, item.occurrence, earlier, index}].hasEndedDone) {
                    this->note(now, item, "starts before the steps that it depends on");
                }
            }
        }
        past.runs.push_back(Run{executor, incarnation, false});
        past.starts.push_back(++this->order);
        this->check(item, now);
    }
    void onEnd(const ItemId &item, int executor, std::int64_t incarnation, const ReportedEnd &end)
    {
        Past &past = this->items[item];
        for (Run &run : past.runs) {
            run.isOver = run.isOver || (run.executor == executor && run.incarnation == incarnation);
        }
        past.hasEndedDone = past.hasEndedDone || end.end == RunEnd::Done;
        if (end.end == RunEnd::Done || end.end == RunEnd::Failed) {
            past.ends.push_back(End{++this->order, end.end, end.run, executor, incarnation});
        }
    }
    void onAcknowledged(const ReportedEnd &acknowledged, milliseconds now)
    {
        for (End &end : this->items[acknowledged.item].ends) {
            end.isAcknowledged = end.isAcknowledged || (end.run == acknowledged.run && !end.isLapsed);
        }
        this->check(acknowledged.item, now);
    }
    void onLeaseLapsed(int executor, std::int64_t incarnation)
    {
        for (auto &[item, past] : this->items) {
            for (End &end : past.ends) {
                end.isLapsed = end.isLapsed || (end.executor == executor && end.incarnation == incarnation && !end.isAcknowledged);
            }
        }
    }
    void onLifeOver(int executor, std::int64_t incarnation)
    {
        for (auto &[item, past] : this->items) {
            for (Run &run : past.runs) {
                run.isOver = run.isOver || (run.executor == executor && run.incarnation == incarnation);
            }
        }
    }

private:
    struct Run {
        int executor = 0;
        std::int64_t incarnation = 0;
        bool isOver = false;
    };
    struct End {
        std::uint64_t at = 0;
        RunEnd end = RunEnd::Done;
        std::int64_t run = 0;
        int executor = 0;
        std::int64_t incarnation = 0;
        bool isLapsed = false;
        bool isAcknowledged = false;
    };
    struct Past {
        std::vector<Run> runs;
        std::vector<std::uint64_t> starts;
        std::vector<End> ends;
        bool hasEndedDone = false;
        bool isSpeculative = false;
    };

    void check(const ItemId &item, milliseconds now)
    {
        const Past &past = this->items[item];
        if (past.isSpeculative || past.starts.empty()) {
            return;
        }
        int failures = 0;
        for (const End &end : past.ends) {
            if (!end.isAcknowledged || end.at > past.starts.back()) {
                continue;
            }
            if (end.end == RunEnd::Done) {
                this->note(now, item, "starts after it was done");
            }
            failures += end.end == RunEnd::Failed ? 1 : 0;
        }
        if (failures >= attempts) {
            this->note(now, item, "starts after its last attempt");
        }
    }
    void note(milliseconds now, const ItemId &item, const char *what)
    {
        this->broken.push_back(
            std::to_string(now.count()) + " ms: " + item.job.value + "." + std::to_string(item.step) + "." + std::to_string(item.index) + " " + what);
    }

    std::map<ItemId, Past> items;
    std::uint64_t order = 0;
};

// An executor as the platform describes it: tokens, leases on its own clock, run numbers that only rise.
struct FakeExecutor {
    struct Work {
        std::int64_t run = 0;
        milliseconds endsAt{};
        RunEnd end = RunEnd::Done;
        Resources resources;
    };

    ExecutorInfo info;
    int number = 0;
    bool isUp = true;
    milliseconds backAt{};
    milliseconds cutUntil{};
    milliseconds listedSince{};
    double rate = 1.0;
    milliseconds bornAt{};
    milliseconds leaseEnd{};
    std::int64_t token = 0;
    std::int64_t lastEnd = 0;
    std::map<ItemId, Work> running;
    std::map<ItemId, std::int64_t> highest;
    std::vector<ReportedEnd> ended;

    milliseconds clock(milliseconds now) const
    {
        return milliseconds(static_cast<std::int64_t>(static_cast<double>((now - this->bornAt).count()) * this->rate)) + 1000ms;
    }
    void finish(const ItemId &item, RunEnd end, Judge &judge)
    {
        const Work work = this->running.at(item);
        this->running.erase(item);
        this->highest[item] = std::max(this->highest[item], work.run);
        this->ended.push_back(ReportedEnd{++this->lastEnd, item, work.run, end, {}});
        judge.onEnd(item, this->number, this->info.incarnation, this->ended.back());
    }
    void hold(milliseconds until, milliseconds now)
    {
        this->leaseEnd = std::max(this->leaseEnd, std::min(until, this->clock(now) + maxLeaseLength));
    }
};

}
