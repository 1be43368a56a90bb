#include "processmemory.h"

#include <unistd.h>

#include <fstream>

namespace MangoCourse {

std::optional<std::size_t> residentMemory()
{
    std::ifstream file("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    const long pageSize = sysconf(_SC_PAGESIZE);
    return file && pageSize > 0 ? std::optional(resident * static_cast<std::size_t>(pageSize)) : std::nullopt;
}

}
