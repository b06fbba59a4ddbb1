#include "dispatch/request_identity.h"

#include "core/digest.h"

#include <string>

namespace jujubevalve
{

namespace
{
constexpr std::uint64_t tag_mask = 0xffff'0000'0000'0000;
constexpr std::uint64_t tag = 0x1de4'0000'0000'0000;
} // namespace

std::uint64_t request_identity(const call_request& request, std::string_view account,
                               std::string_view method, std::string_view body)
{
    auto hash = hash64(method);
    for (const auto field :
         {std::string_view{request.host}, std::string_view{request.target}, account, body}) {
        hash = hash64(field, hash);
    }
    if (request.generation) {
        for (const auto& block : request.generation->parts) {
            hash = hash64(std::to_string(block.id), hash);
        }
    }
    return tag | (hash & ~tag_mask);
}

bool is_request_identity(std::uint64_t number)
{
    return (number & tag_mask) == tag;
}

} // namespace jujubevalve
