// Typed access to TOML tables.
#include "tomlreader_pvt.h"

#include <sstream>

#include "nearestname_pvt.h"

namespace MangoCourse {

namespace {

std::string typeName(const toml::node &node)
{
    std::ostringstream out;
    out << node.type();
    return out.str();
}

template<typename T>
std::string rangeText(std::string_view kind, T minimum, T maximum)
{
    std::ostringstream out;
    out << "allowed is " << kind << " from " << minimum << " to " << maximum;
    return out.str();
}

}

void ConfigErrors::add(const toml::source_region &where, std::string_view key, std::string_view message)
{
    std::ostringstream out;
    out << this->file << ":" << where.begin.line << ": " << key << ": " << message;
    this->lines.push_back(out.str());
}

Result<void> ConfigErrors::result() const
{
    if (this->lines.empty()) {
        return {};
    }
    std::string all;
    for (const std::string &line : this->lines) {
        all += (all.empty() ? "" : "\n") + line;
    }
    return makeError(ErrorCode::InvalidConfig, all);
}

TableReader::TableReader(const toml::table &table, std::string prefix, ConfigErrors &errors)
    : source(table)
    , prefix(std::move(prefix))
    , errors(errors)
{
}

TableReader::~TableReader()
{
    const std::vector<std::string> names(this->requestedKeys.begin(), this->requestedKeys.end());
    for (const auto &[key, node] : this->source) {
        if (!this->requestedKeys.contains(key.str())) {
            this->errors.add(node.source(), this->prefix + std::string(key.str()), "unknown key; the nearest known key is " + nearestName(key.str(), names));
        }
    }
}

const toml::node *TableReader::find(std::string_view key, bool required, std::string_view expectedType)
{
    this->requestedKeys.emplace(key);
    const toml::node *node = this->source.get(key);
    if (node == nullptr && required) {
        this->errors.add(this->source.source(), this->prefix + std::string(key), "missing; needed is " + std::string(expectedType));
    }
    return node;
}

void TableReader::addError(std::string_view key, std::string_view message)
{
    const toml::node *node = this->source.get(key);
    this->errors.add(node == nullptr ? this->source.source() : node->source(), this->prefix + std::string(key), message);
}

std::string TableReader::string(std::string_view key, std::optional<std::string> fallback)
{
    const toml::node *node = this->find(key, !fallback, "a string");
    if (node == nullptr) {
        return fallback.value_or("");
    }
    const auto value = node->value_exact<std::string>();
    if (!value) {
        this->addError(key, "found a " + typeName(*node) + ", allowed is a string");
    }
    return value.value_or("");
}

std::int64_t TableReader::integer(std::string_view key, std::int64_t minimum, std::int64_t maximum, std::optional<std::int64_t> fallback)
{
    const toml::node *node = this->find(key, !fallback, "a whole number");
    if (node == nullptr) {
        return fallback.value_or(minimum);
    }
    const auto value = node->value_exact<std::int64_t>();
    if (!value) {
        this->addError(key, "found a " + typeName(*node) + ", " + rangeText("a whole number", minimum, maximum));
        return minimum;
    }
    if (*value < minimum || *value > maximum) {
        this->addError(key, "found " + std::to_string(*value) + ", " + rangeText("a whole number", minimum, maximum));
    }
    return *value;
}

std::optional<std::int64_t> TableReader::optionalInteger(std::string_view key, std::int64_t minimum, std::int64_t maximum)
{
    if (this->find(key, false, "") == nullptr) {
        return std::nullopt;
    }
    return this->integer(key, minimum, maximum);
}

double TableReader::number(std::string_view key, double minimum, double maximum, std::optional<double> fallback)
{
    const toml::node *node = this->find(key, !fallback, "a number");
    if (node == nullptr) {
        return fallback.value_or(minimum);
    }
    const auto value = node->value<double>();
    if (!value || *value < minimum || *value > maximum) {
        this->addError(key, "found " + (value ? std::to_string(*value) : "a " + typeName(*node)) + ", " + rangeText("a number", minimum, maximum));
    }
    return value.value_or(minimum);
}

bool TableReader::boolean(std::string_view key, std::optional<bool> fallback)
{
    const toml::node *node = this->find(key, !fallback, "true or false");
    if (node == nullptr) {
        return fallback.value_or(false);
    }
    const auto value = node->value_exact<bool>();
    if (!value) {
        this->addError(key, "found a " + typeName(*node) + ", allowed is true or false");
    }
    return value.value_or(false);
}

std::vector<std::string> TableReader::strings(std::string_view key, bool required)
{
    std::vector<std::string> values;
    const toml::node *node = this->find(key, required, "an array of strings");
    if (node == nullptr) {
        return values;
    }
    const toml::array *array = node->as_array();
    if (array == nullptr) {
        this->addError(key, "found a " + typeName(*node) + ", allowed is an array of strings");
        return values;
    }
    for (const toml::node &element : *array) {
        const auto value = element.value_exact<std::string>();
        if (!value) {
            this->errors.add(element.source(), this->prefix + std::string(key), "found a " + typeName(element) + ", allowed is a string");
            continue;
        }
        values.push_back(*value);
    }
    return values;
}

const toml::table *TableReader::table(std::string_view key, bool required)
{
    const toml::node *node = this->find(key, required, "a table");
    if (node == nullptr) {
        return nullptr;
    }
    if (node->as_table() == nullptr) {
        this->addError(key, "found a " + typeName(*node) + ", allowed is a table");
    }
    return node->as_table();
}

std::vector<const toml::table *> TableReader::tables(std::string_view key)
{
    std::vector<const toml::table *> all;
    const toml::node *node = this->find(key, false, "");
    if (node == nullptr) {
        return all;
    }
    const toml::array *array = node->as_array();
    if (array == nullptr) {
        this->addError(key, "found a " + typeName(*node) + ", allowed is an array of tables");
        return all;
    }
    for (const toml::node &element : *array) {
        if (element.as_table() == nullptr) {
            this->errors.add(element.source(), this->prefix + std::string(key), "found a " + typeName(element) + ", allowed is a table");
            continue;
        }
        all.push_back(element.as_table());
    }
    return all;
}

}
