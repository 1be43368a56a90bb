// Plain-text tables.
#pragma once

#include <algorithm>
#include <ostream>
#include <string>
#include <vector>

namespace MangoCourse {

using TableRow = std::vector<std::string>;

// Writes rows in left-aligned columns, two spaces apart. The first row is the heading.
inline void writeTable(std::ostream &out, const std::vector<TableRow> &rows)
{
    std::vector<std::size_t> widths;
    for (const TableRow &row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t column = 0; column < row.size(); ++column) {
            widths[column] = std::max(widths[column], row[column].size());
        }
    }
    for (const TableRow &row : rows) {
        std::string line;
        for (std::size_t column = 0; column < row.size(); ++column) {
            line += row[column];
            if (column + 1 < row.size()) {
                line += std::string(widths[column] - row[column].size() + 2, ' ');
            }
        }
        out << line << "\n";
    }
}

}
