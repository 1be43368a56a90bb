// Memory of this process.
#pragma once

#include <cstddef>
#include <optional>

namespace MangoCourse {

// Returns the resident memory in bytes, or nothing if the operating system does not tell.
std::optional<std::size_t> residentMemory();

}
