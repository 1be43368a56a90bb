// One keeper's maintenance rounds: plan, propose once, recheck immediately before each act.
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include <mangocourse/maintenanceplanner.h>

namespace MangoCourse {

// Something whose read(f) calls f with the newest folded state, under whatever lock it needs.
template<typename T>
concept FleetReader = requires(const T reader)
{
    {
        reader.read([](const FleetState &fleet) {
            return fleet.offset();
        })
        } -> std::same_as<Offset>;
};

// An act that was tried, for logs.
struct PerformedAction {
    PlatformAction action;
    Result<void> result;
};

// What one round came to: records to submit and the acts that were tried.
struct MaintenanceRound {
    std::vector<RecordBody> proposals;
    std::vector<PerformedAction> actions;
};

class MaintenanceRunner
{
public:
    // Creates a runner that proposes in the name of `holder`.
    static Result<MaintenanceRunner> create(const ProcessId &holder)
    {
        Result<MaintenancePlanner> planner = MaintenancePlanner::create(holder);
        if (!planner) {
            return tl::unexpected(planner.error());
        }
        return MaintenanceRunner(std::move(*planner));
    }

    // Plans from the newest state, performs the allowed acts on the platform and returns what to propose.
    template<FleetReader R, Platform P>
    MaintenanceRound round(const R &reader, const InstanceListing &listing, P &platform, TimePoint now)
    {
        const MaintenancePlan plan = reader.read([&](const FleetState &fleet) {
            return this->planner.plan(fleet, listing, now);
        });
        MaintenanceRound round;
        for (const RecordBody &body : plan.records) {
            if (this->isDue(encodeRecord(Record{RecordId{}, body}), now)) {
                round.proposals.push_back(body);
            }
        }
        for (const PlatformAction &action : plan.actions) {
            if (!this->isDue(keyOf(action), now)) {
                continue;
            }
            const bool isAllowed = reader.read([&action](const FleetState &fleet) {
                return MaintenancePlanner::isStillAllowed(fleet, action);
            });
            if (isAllowed) {
                round.actions.push_back({action, perform(platform, action)});
            }
        }
        std::erase_if(this->doneAt, [now](const auto &entry) {
            return now - entry.second > repeatAfter;
        });
        return round;
    }

    // A proposal or act is repeated only after this: the fold or the lagging list needs time to answer.
    static constexpr Duration repeatAfter = std::chrono::milliseconds(1500);

private:
    explicit MaintenanceRunner(MaintenancePlanner created)
        : planner(std::move(created))
    {
    }

    static std::string keyOf(const PlatformAction &action)
    {
        return std::to_string(static_cast<int>(action.kind)) + "/" + action.instance.value + "/" + std::to_string(action.token);
    }

    bool isDue(const std::string &key, TimePoint now)
    {
        const auto [entry, isNew] = this->doneAt.try_emplace(key, now);
        if (isNew || now - entry->second > repeatAfter) {
            entry->second = now;
            return true;
        }
        return false;
    }

    MaintenancePlanner planner;
    std::unordered_map<std::string, TimePoint> doneAt;
};

}
