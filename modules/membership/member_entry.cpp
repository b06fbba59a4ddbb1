#include "membership/member_entry.h"

#include "core/digest.h"

namespace jujubevalve
{

member_id id_of(std::string_view incarnation)
{
    return static_cast<member_id>(hash64(incarnation) >> 23U);
}

} // namespace jujubevalve
