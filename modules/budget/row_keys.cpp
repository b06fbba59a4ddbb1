#include "budget/row_keys.h"

#include <fmt/format.h>

namespace jujubevalve
{

std::string grant_prefix(std::string_view budget)
{
    return fmt::format("grant/{}/", budget);
}

std::string grant_key(std::string_view budget, std::string_view incarnation)
{
    return fmt::format("grant/{}/{}", budget, incarnation);
}

std::string instance_key(std::string_view incarnation)
{
    return fmt::format("instance/{}", incarnation);
}

std::string segment_prefix(std::string_view incarnation)
{
    return fmt::format("segments/{}/", incarnation);
}

std::string segment_name(std::string_view incarnation, std::int64_t seq)
{
    return fmt::format("segments/{}/{:012}", incarnation, seq);
}

std::string server_request_key(std::string_view incarnation, std::string_view server,
                               std::int64_t n)
{
    return fmt::format("{}.{}.{}", incarnation, server, n);
}

} // namespace jujubevalve
