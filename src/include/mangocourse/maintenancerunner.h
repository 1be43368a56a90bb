// Runs a keeper's maintenance rounds: plan, propose each record once, check again immediately before each action.
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include <mangocourse/maintenanceplanner.h>

namespace MangoCourse {

// A type whose read(f) calls f with the newest replayed state, under any lock that it needs.
template<typename T>
concept FleetReader = requires(const T reader)
{
    {
        reader.read([](const FleetState &fleet) {
            return fleet.offset();
        })
        } -> std::same_as<Offset>;
};

// An action that was attempted and its result, for the log.
struct PerformedAction {
    PlatformAction action;
    Result<void> result;
};

// The result of one round: records to submit and the actions that were attempted.
struct MaintenanceRound {
    std::vector<RecordBody> proposals;
    std::vector<PerformedAction> actions;
};

class MaintenanceRunner
{
public:
    // Creates a runner that proposes on behalf of `holder`. Returns InvalidArgument for an empty identifier.
    static Result<MaintenanceRunner> create(const ProcessId &holder)
    {
        Result<MaintenancePlanner> planner = MaintenancePlanner::create(holder);
        if (!planner) {
            return tl::unexpected(planner.error());
        }
        return MaintenanceRunner(std::move(*planner));
    }

    // Plans from the newest state, performs the actions that are still allowed and returns the records to propose.
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
            if (!this->isDue(makeKey(action), now)) {
                continue;
            }
            const bool isAllowed = reader.read([&action](const FleetState &fleet) {
                return MaintenancePlanner::isStillAllowed(fleet, action);
            });
            if (isAllowed) {
                round.actions.push_back({action, perform(platform, action)});
            }
        }
        std::erase_if(this->lastAttemptAt, [now](const auto &entry) {
            return now - entry.second > repeatInterval;
        });
        return round;
    }

    // Interval before a proposal or action is repeated, so that its effect can show up in the replayed state or in the lagging listing.
    static constexpr Duration repeatInterval = std::chrono::milliseconds(1500);

private:
    explicit MaintenanceRunner(MaintenancePlanner created)
        : planner(std::move(created))
    {
    }

    static std::string makeKey(const PlatformAction &action)
    {
        return std::to_string(static_cast<int>(action.kind)) + "/" + action.instance.value + "/" + std::to_string(action.token);
    }

    bool isDue(const std::string &key, TimePoint now)
    {
        const auto [entry, isNew] = this->lastAttemptAt.try_emplace(key, now);
        if (isNew || now - entry->second > repeatInterval) {
            entry->second = now;
            return true;
        }
        return false;
    }

    MaintenancePlanner planner;
    std::unordered_map<std::string, TimePoint> lastAttemptAt;
};

}
