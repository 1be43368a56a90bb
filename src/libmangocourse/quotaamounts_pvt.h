// Resources by index, for rules that apply to each of them.
#pragma once

#include <algorithm>
#include <array>

#include <mangocourse/quotadivision.h>

namespace MangoCourse {

inline constexpr std::size_t resourceKinds = 3;
using Amounts = std::array<std::int64_t, resourceKinds>;

inline Amounts toAmounts(const Resources &resources)
{
    return {resources.cpu, resources.memory, resources.accelerators};
}

inline Resources toResources(const Amounts &amounts)
{
    return Resources{amounts[0], amounts[1], amounts[2]};
}

inline Amounts largerOf(const Amounts &one, const Amounts &other)
{
    return {std::max(one[0], other[0]), std::max(one[1], other[1]), std::max(one[2], other[2])};
}

// Returns amount * numerator / denominator rounded down, for 0 <= numerator <= denominator.
inline std::int64_t scaleDown(std::int64_t amount, std::int64_t numerator, std::int64_t denominator)
{
    constexpr std::int64_t maxFactor = 3'000'000'000;
    const std::int64_t whole = amount / denominator;
    const std::int64_t rest = amount % denominator;
    if (rest <= maxFactor && numerator <= maxFactor) {
        return whole * numerator + rest * numerator / denominator;
    }
    const double part = static_cast<double>(rest) * (static_cast<double>(numerator) / static_cast<double>(denominator));
    // The rounding of doubles must not make the sum of shares exceed the limit.
    return whole * numerator + std::max<std::int64_t>(0, static_cast<std::int64_t>(part * (1 - 1e-12)) - 1);
}

}
