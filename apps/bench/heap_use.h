#pragma once

#include <cstdint>

namespace jujubevalve
{

/// Bytes that the process has allocated and not freed, with the allocator's own headers.
std::int64_t heap_bytes();

/// Returns free memory to the system, so that resident_bytes() shows what is in use.
void trim_heap();

/// Resident memory of the process in bytes.
std::int64_t resident_bytes();

} // namespace jujubevalve
