// Reads and validates TOML tables; collects all errors with their file and line.
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

// The errors found in one file.
class ConfigErrors
{
public:
    explicit ConfigErrors(std::string file)
        : file(std::move(file))
    {
    }

    // Adds "file:line: key: message".
    void add(const toml::source_region &where, std::string_view key, std::string_view message);

    // Returns success, or all errors as one InvalidConfig error.
    Result<void> result() const;

private:
    std::string file;
    std::vector<std::string> lines;
};

// Reads one table. The destructor reports each key that was not requested as unknown.
class TableReader
{
public:
    TableReader(const toml::table &table, std::string prefix, ConfigErrors &errors);
    ~TableReader();
    TableReader(const TableReader &) = delete;
    TableReader &operator=(const TableReader &) = delete;

    // The following readers return the value, or the fallback if the key is missing. A missing key without a fallback, a wrong type and a value
    // out of range are reported as errors.
    std::string string(std::string_view key, std::optional<std::string> fallback = std::nullopt);
    std::int64_t integer(std::string_view key, std::int64_t minimum, std::int64_t maximum, std::optional<std::int64_t> fallback = std::nullopt);
    std::optional<std::int64_t> optionalInteger(std::string_view key, std::int64_t minimum, std::int64_t maximum);
    double number(std::string_view key, double minimum, double maximum, std::optional<double> fallback = std::nullopt);
    bool boolean(std::string_view key, std::optional<bool> fallback = std::nullopt);
    std::vector<std::string> strings(std::string_view key, bool required);

    // Returns the sub-table or nullptr. Reports an error if it is required and missing.
    const toml::table *table(std::string_view key, bool required);

    // Returns the tables of an array of tables; none if the key is missing.
    std::vector<const toml::table *> tables(std::string_view key);

    // Reports an error at a key of this table.
    void addError(std::string_view key, std::string_view message);

private:
    const toml::node *find(std::string_view key, bool required, std::string_view expectedType);

    const toml::table &source;
    std::string prefix;
    ConfigErrors &errors;
    std::set<std::string, std::less<>> requestedKeys;
};

}
