// Work classes, most urgent first.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace MangoCourse {

enum class WorkClass {
    Counter,
    Shop,
    Overnight,
};

inline constexpr std::size_t workClassCount = 3;

// Returns "counter", "shop" or "overnight".
constexpr std::string_view toString(WorkClass workClass)
{
    constexpr std::array<std::string_view, workClassCount> names = {"counter", "shop", "overnight"};
    return names.at(static_cast<std::size_t>(workClass));
}

// Returns the class with this name, or nothing when there is none.
constexpr std::optional<WorkClass> parseWorkClass(std::string_view name)
{
    for (std::size_t index = 0; index < workClassCount; ++index) {
        const auto workClass = static_cast<WorkClass>(index);
        if (toString(workClass) == name) {
            return workClass;
        }
    }
    return std::nullopt;
}

}
