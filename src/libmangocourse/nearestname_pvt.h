// Suggests a known name for a misspelt one.
#pragma once

#include <algorithm>
#include <numeric>
#include <string>
#include <string_view>
#include <vector>

namespace MangoCourse {

// Returns the Levenshtein distance of two words.
inline std::size_t editDistance(std::string_view left, std::string_view right)
{
    std::vector<std::size_t> row(right.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 1; i <= left.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= right.size(); ++j) {
            const std::size_t substituted = diagonal + (left[i - 1] == right[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({row[j] + 1, row[j - 1] + 1, substituted});
        }
    }
    return row.back();
}

// Returns the name with the smallest edit distance to the word, or an empty string if there are no names.
inline std::string nearestName(std::string_view word, const std::vector<std::string> &names)
{
    const auto nearest = std::min_element(names.begin(), names.end(), [word](const std::string &left, const std::string &right) {
        return editDistance(word, left) < editDistance(word, right);
    });
    return nearest == names.end() ? std::string{} : *nearest;
}

}
