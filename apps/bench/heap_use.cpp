#include "heap_use.h"

#include <fstream>
#include <malloc.h>
#include <unistd.h>

namespace jujubevalve
{

std::int64_t heap_bytes()
{
    const auto info = mallinfo2();
    return static_cast<std::int64_t>(info.uordblks + info.hblkhd);
}

void trim_heap()
{
    malloc_trim(0);
}

std::int64_t resident_bytes()
{
    std::ifstream file{"/proc/self/statm"};
    std::int64_t total = 0;
    std::int64_t resident = 0;
    file >> total >> resident;
    return resident * sysconf(_SC_PAGESIZE);
}

} // namespace jujubevalve
