// The operators' settings tree with the levels fleet, pool and service. A node inherits each value that it does not set itself.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <mangocourse/error.h>
#include <mangocourse/ids.h>

namespace MangoCourse {

// A known key with the range of its integer value, both bounds inclusive, and its default.
struct SettingKey {
    std::string_view name;
    std::int64_t minimum = 0;
    std::int64_t maximum = 0;
    std::int64_t defaultValue = 0;
    std::string_view help;
};

// The known keys; changes of any other key are refused.
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

// Validates a path (empty for the fleet, else "POOL" or "POOL/SERVICE"), a key and a value.
// Returns the parsed value, or InvalidArgument with what is allowed or the nearest known key.
Result<std::int64_t> checkSetting(std::string_view path, std::string_view key, std::string_view value);

// A value in force and the node that sets it. `path` is empty for the fleet; `isDefault` means that no node sets the value.
struct SettingOrigin {
    std::int64_t value = 0;
    std::string path;
    bool isDefault = true;
    Revision revision = 0;
};

// A value type that stores only the values set by operators, so that a copy is cheap.
class SettingsTree
{
public:
    // Sets one value, or unsets it if `value` is empty, and increments the revision. Requires a key and value that checkSetting() accepts.
    void change(const std::string &path, const std::string &key, std::optional<std::int64_t> value);

    // Returns the value in force at the node, with the node or ancestor that sets it; 0 for an unknown key.
    SettingOrigin explain(std::string_view path, std::string_view key) const;

    // Returns the value in force at the node; 0 for an unknown key.
    std::int64_t value(std::string_view path, std::string_view key) const;

    // Returns the number of accepted changes.
    Revision revision() const;

    // A value set by an operator; `revision` is that of the change.
    struct Entry {
        std::string path;
        std::string key;
        std::int64_t value = 0;
        Revision revision = 0;
    };
    std::vector<Entry> entries() const;

    // Restores a tree from the entries and the revision of a snapshot.
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
