// Memory of this process.
#pragma once

#include <cstddef>

namespace MangoCourse {

// Returns the resident memory in bytes; 0 if the operating system does not tell.
std::size_t residentMemory();

}
