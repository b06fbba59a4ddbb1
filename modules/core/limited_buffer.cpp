#include "core/limited_buffer.h"

#include <utility>

namespace jujubevalve
{

buffer_memory::buffer_memory(std::size_t total_bytes, std::size_t guaranteed_bytes)
    : total_bytes_{total_bytes}
    , guaranteed_bytes_{guaranteed_bytes}
{
}

bool buffer_memory::grow(std::size_t size, std::size_t by)
{
    if (used_.fetch_add(by) + by > total_bytes_ && size + by > guaranteed_bytes_) {
        used_ -= by;
        return false;
    }
    return true;
}

limited_buffer::limited_buffer(buffer_memory& memory, std::size_t max_bytes)
    : memory_{memory}
    , max_bytes_{max_bytes}
{
}

bool limited_buffer::append(std::string_view bytes)
{
    if (bytes_.size() + bytes.size() > max_bytes_ || !memory_.grow(bytes_.size(), bytes.size())) {
        return false;
    }
    bytes_.append(bytes);
    return true;
}

void limited_buffer::clear()
{
    memory_.release(bytes_.size());
    bytes_ = {};
}

std::string limited_buffer::take()
{
    memory_.release(bytes_.size());
    return std::exchange(bytes_, {});
}

} // namespace jujubevalve
