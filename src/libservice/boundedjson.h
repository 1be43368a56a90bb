// Parsing of JSON and CBOR that other programs may have written. The nesting is limited, because copying, comparing and serializing a document
// of the JSON library, and reading CBOR, take a stack frame for each level.
#pragma once

#include <optional>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include <mangocourse/limits.h>

namespace MangoCourse {

// Far above that of any message.
inline constexpr std::size_t maxNestingDepth = 64;

// Builds a document from the events of a parser; stops the parser at the first error and at nesting beyond the limit.
class BoundedDocumentBuilder : public nlohmann::json_sax<nlohmann::json>
{
public:
    explicit BoundedDocumentBuilder(nlohmann::json &document)
        : document(document)
    {
    }

    bool null() override
    {
        this->add(nullptr);
        return true;
    }
    bool boolean(bool value) override
    {
        this->add(value);
        return true;
    }
    bool number_integer(number_integer_t value) override
    {
        this->add(value);
        return true;
    }
    bool number_unsigned(number_unsigned_t value) override
    {
        this->add(value);
        return true;
    }
    bool number_float(number_float_t value, const string_t &) override
    {
        this->add(value);
        return true;
    }
    bool string(string_t &value) override
    {
        this->add(std::move(value));
        return true;
    }
    bool binary(binary_t &value) override
    {
        this->add(nlohmann::json::binary(std::move(value)));
        return true;
    }
    bool start_object(std::size_t) override
    {
        return this->open(nlohmann::json::object());
    }
    bool key(string_t &name) override
    {
        this->member = &(*this->parents.back())[std::move(name)];
        return true;
    }
    bool end_object() override
    {
        this->parents.pop_back();
        return true;
    }
    bool start_array(std::size_t) override
    {
        return this->open(nlohmann::json::array());
    }
    bool end_array() override
    {
        this->parents.pop_back();
        return true;
    }
    bool parse_error(std::size_t, const std::string &, const nlohmann::detail::exception &) override
    {
        return false;
    }

private:
    template<typename Value>
    nlohmann::json *add(Value &&value)
    {
        if (this->parents.empty()) {
            this->document = std::forward<Value>(value);
            return &this->document;
        }
        nlohmann::json &parent = *this->parents.back();
        if (parent.is_array()) {
            return &parent.emplace_back(std::forward<Value>(value));
        }
        *this->member = std::forward<Value>(value);
        return this->member;
    }
    bool open(nlohmann::json container)
    {
        if (this->parents.size() >= maxNestingDepth) {
            return false;
        }
        this->parents.push_back(this->add(std::move(container)));
        return true;
    }

    nlohmann::json &document;
    // The containers that are not complete yet, the innermost last.
    std::vector<nlohmann::json *> parents;
    // Value of the key that was read last.
    nlohmann::json *member = nullptr;
};

// Returns a discarded value if the text is not valid JSON or is nested too deeply.
inline nlohmann::json parseBoundedJson(std::string_view text)
{
    nlohmann::json document;
    BoundedDocumentBuilder builder(document);
    if (!nlohmann::json::sax_parse(text.begin(), text.end(), &builder)) {
        document = nlohmann::json(nlohmann::json::value_t::discarded);
    }
    return document;
}

// Returns true for one CBOR item without tags and without parts of indefinite length, which is complete and not nested too deeply. Nested chunks of
// strings of indefinite length are read recursively too.
inline bool isBoundedCbor(std::string_view bytes)
{
    enum MajorType : unsigned {
        Bytes = 2,
        Text = 3,
        Array = 4,
        Map = 5,
        Tag = 6
    };
    constexpr unsigned maxDirectArgument = 23;
    constexpr unsigned maxArgumentInfo = 27;
    // The numbers of items that the containers still lack, the innermost last.
    std::vector<std::uint64_t> missing{1};
    while (!missing.empty()) {
        if (missing.back() == 0) {
            missing.pop_back();
            continue;
        }
        --missing.back();
        if (bytes.empty()) {
            return false;
        }
        const auto head = static_cast<unsigned char>(bytes.front());
        bytes.remove_prefix(1);
        const unsigned type = head >> 5U;
        const unsigned info = head & 31U;
        const std::size_t argumentBytes = info <= maxDirectArgument ? 0 : std::size_t(1) << ((info - maxDirectArgument - 1) & 3U);
        if (info > maxArgumentInfo || type == Tag || bytes.size() < argumentBytes) {
            return false;
        }
        std::uint64_t argument = argumentBytes == 0 ? info : 0;
        for (const char byte : bytes.substr(0, argumentBytes)) {
            argument = (argument << 8U) | static_cast<unsigned char>(byte);
        }
        bytes.remove_prefix(argumentBytes);
        const bool isContainer = type == Array || type == Map;
        // Each item takes a byte at least.
        if ((isContainer || type == Bytes || type == Text) && argument > bytes.size()) {
            return false;
        }
        if (type == Bytes || type == Text) {
            bytes.remove_prefix(argument);
        } else if (isContainer) {
            if (missing.size() > maxNestingDepth) {
                return false;
            }
            missing.push_back(type == Map ? 2 * argument : argument);
        }
    }
    return bytes.empty();
}

// Returns a discarded value if the bytes are not valid CBOR as isBoundedCbor() describes it.
inline nlohmann::json parseBoundedCbor(std::string_view bytes)
{
    if (!isBoundedCbor(bytes)) {
        return nlohmann::json(nlohmann::json::value_t::discarded);
    }
    return nlohmann::json::from_cbor(bytes.begin(), bytes.end(), true, false);
}

// Returns a whole number of the given range.
inline std::optional<std::int64_t> wholeNumber(const nlohmann::json &value, std::int64_t minimum = -maxWholeNumber, std::int64_t maximum = maxWholeNumber)
{
    const bool isTooLarge = value.is_number_unsigned() && value.get<std::uint64_t>() > static_cast<std::uint64_t>(maxWholeNumber);
    if (!value.is_number_integer() || isTooLarge) {
        return std::nullopt;
    }
    const auto number = value.get<std::int64_t>();
    return number >= minimum && number <= maximum ? std::optional(number) : std::nullopt;
}

}
