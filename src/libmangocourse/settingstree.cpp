// Inheritance and validation in the settings tree.
#include <mangocourse/settingstree.h>

#include <algorithm>
#include <charconv>

#include "nearestname_pvt.h"

namespace MangoCourse {

const std::vector<SettingKey> &settingKeys()
{
    static const std::vector<SettingKey> keys = {
        {Keys::queueLimit, 0, 100'000, 512, "requests that may wait per pool and class at one gate"},
        {Keys::drainTimeoutMs, 100, 3'600'000, 60'000, "how long a drain may take before the instance is handed back, ms"},
        {Keys::maintenanceEnabled, 0, 1, 1, "0 stops new maintenance grants in the pool"},
        {Keys::requestTimeoutMs, 50, 3'600'000, 4'000, "time from a request's arrival to its whole answer, ms"},
        {Keys::retryPercent, 0, 100, 10, "retries allowed per hundred requests"},
        {Keys::ejectPercent, 0, 100, 30, "share of a pool's instances that outlier ejection may take out"},
        {Keys::jobLeaseMs, 500, 3'600'000, 30'000, "lease of a claim: time without an outcome until it expires, ms"},
    };
    return keys;
}

namespace {

constexpr std::ptrdiff_t maxPathDepth = 2;

const SettingKey *findKey(std::string_view key)
{
    const auto &keys = settingKeys();
    const auto found = std::find_if(keys.begin(), keys.end(), [key](const SettingKey &known) {
        return known.name == key;
    });
    return found == keys.end() ? nullptr : &*found;
}

bool isValidPath(std::string_view path)
{
    if (path.empty()) {
        return true;
    }
    if (path.front() == '/' || path.back() == '/' || path.find("//") != std::string_view::npos) {
        return false;
    }
    return std::count(path.begin(), path.end(), '/') < maxPathDepth;
}

std::optional<std::string_view> parentOf(std::string_view path)
{
    if (path.empty()) {
        return std::nullopt;
    }
    const auto slash = path.rfind('/');
    return slash == std::string_view::npos ? std::string_view{} : path.substr(0, slash);
}

}

Result<std::int64_t> checkSetting(std::string_view path, std::string_view key, std::string_view value)
{
    if (!isValidPath(path)) {
        return makeError(ErrorCode::InvalidArgument, "unknown path; allowed is an empty path (the fleet), POOL or POOL/SERVICE", std::string(path));
    }
    const SettingKey *known = findKey(key);
    if (known == nullptr) {
        std::vector<std::string> names;
        for (const SettingKey &candidate : settingKeys()) {
            names.emplace_back(candidate.name);
        }
        return makeError(ErrorCode::InvalidArgument, "unknown key; the nearest known key is " + nearestName(key, names), std::string(key));
    }
    std::int64_t number = 0;
    const char *end = value.data() + value.size();
    const auto [rest, code] = std::from_chars(value.data(), end, number);
    if (code != std::errc{} || rest != end || number < known->minimum || number > known->maximum) {
        return makeError(ErrorCode::InvalidArgument,
            "found \"" + std::string(value) + "\", allowed is a whole number from " + std::to_string(known->minimum) + " to " + std::to_string(known->maximum),
            std::string(key));
    }
    return number;
}

void SettingsTree::change(const std::string &path, const std::string &key, std::optional<std::int64_t> value)
{
    ++this->currentRevision;
    if (value) {
        this->nodes[path][key] = Stored{*value, this->currentRevision};
        return;
    }
    const auto node = this->nodes.find(path);
    if (node == this->nodes.end()) {
        return;
    }
    node->second.erase(key);
    if (node->second.empty()) {
        this->nodes.erase(node);
    }
}

SettingOrigin SettingsTree::explain(std::string_view path, std::string_view key) const
{
    for (std::optional<std::string_view> at = path; at; at = parentOf(*at)) {
        const auto node = this->nodes.find(*at);
        if (node == this->nodes.end()) {
            continue;
        }
        const auto stored = node->second.find(key);
        if (stored != node->second.end()) {
            return SettingOrigin{stored->second.value, std::string(*at), false, stored->second.revision};
        }
    }
    const SettingKey *known = findKey(key);
    return SettingOrigin{known == nullptr ? 0 : known->defaultValue, {}, true, 0};
}

std::int64_t SettingsTree::value(std::string_view path, std::string_view key) const
{
    return this->explain(path, key).value;
}

Revision SettingsTree::revision() const
{
    return this->currentRevision;
}

std::vector<SettingsTree::Entry> SettingsTree::entries() const
{
    std::vector<Entry> all;
    for (const auto &[path, keys] : this->nodes) {
        for (const auto &[key, stored] : keys) {
            all.push_back(Entry{path, key, stored.value, stored.revision});
        }
    }
    return all;
}

SettingsTree SettingsTree::fromEntries(const std::vector<Entry> &entries, Revision revision)
{
    SettingsTree tree;
    for (const Entry &entry : entries) {
        tree.nodes[entry.path][entry.key] = Stored{entry.value, entry.revision};
    }
    tree.currentRevision = revision;
    return tree;
}

}
