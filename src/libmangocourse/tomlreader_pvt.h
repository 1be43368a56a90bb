// Reads TOML tables against what is allowed and collects every fault with its file and line.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <toml++/toml.h>

#include <mangocourse/error.h>

namespace MangoCourse {

// The faults found in one file so far.
class ConfigFaults
{
public:
    explicit ConfigFaults(std::string file)
        : file(std::move(file))
    {
    }

    // Adds "file:line: key: message".
    void add(const toml::source_region &where, std::string_view key, std::string_view message);

    // Returns success, or all faults as one InvalidConfig error.
    Result<void> result() const;

private:
    std::string file;
    std::vector<std::string> lines;
};

// One table. Keys that nobody asked for are faults, reported when the reader goes.
class TableReader
{
public:
    TableReader(const toml::table &table, std::string prefix, ConfigFaults &faults);
    ~TableReader();
    TableReader(const TableReader &) = delete;
    TableReader &operator=(const TableReader &) = delete;

    // Each returns the value. A missing key without a fallback, a wrong type or a value out of range is a fault.
    std::string string(std::string_view key, std::optional<std::string> fallback = std::nullopt);
    std::int64_t integer(std::string_view key, std::int64_t minimum, std::int64_t maximum, std::optional<std::int64_t> fallback = std::nullopt);
    std::optional<std::int64_t> optionalInteger(std::string_view key, std::int64_t minimum, std::int64_t maximum);
    double number(std::string_view key, double minimum, double maximum, std::optional<double> fallback = std::nullopt);
    bool boolean(std::string_view key, std::optional<bool> fallback = std::nullopt);
    std::vector<std::string> strings(std::string_view key, bool required);

    // Returns the sub-table or nullptr; a missing one is a fault where it is required.
    const toml::table *table(std::string_view key, bool required);

    // Returns the tables of an array of tables; a missing one is empty.
    std::vector<const toml::table *> tables(std::string_view key);

    // Adds a fault at a key of this table.
    void fault(std::string_view key, std::string_view message);

private:
    const toml::node *find(std::string_view key, bool required, std::string_view wanted);

    const toml::table &source;
    std::string prefix;
    ConfigFaults &faults;
    std::set<std::string, std::less<>> known;
};

}
