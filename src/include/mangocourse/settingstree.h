// The operators' settings tree: fleet, then team, pool, service. A node has its parent's value unless it says otherwise.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <mangocourse/error.h>
#include <mangocourse/ids.h>

namespace MangoCourse {

// One key that the tree may hold, with the whole numbers it takes.
struct SettingKey {
    std::string_view name;
    std::int64_t minimum = 0;
    std::int64_t maximum = 0;
    std::int64_t defaultValue = 0;
    std::string_view help;
};

// Keys that the daemons read; any other is refused.
namespace Keys {
inline constexpr std::string_view requestTimeoutMs = "request.timeout_ms";
inline constexpr std::string_view queueLimit = "admission.queue_limit";
inline constexpr std::string_view retryPercent = "retry.budget_percent";
inline constexpr std::string_view ejectPercent = "outlier.max_ejected_percent";
inline constexpr std::string_view maintenanceEnabled = "maintenance.enabled";
inline constexpr std::string_view drainTimeoutMs = "maintenance.drain_timeout_ms";
inline constexpr std::string_view jobLeaseMs = "jobs.lease_ms";
}

// Returns all keys with their ranges and defaults.
const std::vector<SettingKey> &settingKeys();

// Checks a path ("" is the fleet, then "pool" or "pool/service"), key and value.
// Returns the parsed value, or InvalidArgument saying what is allowed and the nearest known key.
Result<std::int64_t> checkSetting(std::string_view path, std::string_view key, std::string_view value);

// Where a node's value comes from; `path` is empty for the fleet and `isDefault` set where nobody said anything.
struct SettingOrigin {
    std::int64_t value = 0;
    std::string path;
    bool isDefault = true;
    Revision revision = 0;
};

// A small value type: copying it copies what operators have set, nothing else.
class SettingsTree
{
public:
    // Sets or unsets one value at the next revision. The caller has checked it.
    void change(const std::string &path, const std::string &key, std::optional<std::int64_t> value);

    // Returns the value in force at the node and the ancestor that it comes from. Unknown keys give 0.
    SettingOrigin explain(std::string_view path, std::string_view key) const;

    // Returns the value in force at the node.
    std::int64_t value(std::string_view path, std::string_view key) const;

    // Returns the number of accepted changes so far.
    Revision revision() const;

    // What operators have set: path, key, value and the revision of the change.
    struct Entry {
        std::string path;
        std::string key;
        std::int64_t value = 0;
        Revision revision = 0;
    };
    std::vector<Entry> entries() const;

    // Rebuilds a tree from entries, as a snapshot's reader does.
    static SettingsTree fromEntries(const std::vector<Entry> &entries, Revision revision);

private:
    struct Stored {
        std::int64_t value = 0;
        Revision revision = 0;
    };
    std::map<std::string, std::map<std::string, Stored, std::less<>>, std::less<>> nodes;
    Revision currentRevision = 0;
};

}
