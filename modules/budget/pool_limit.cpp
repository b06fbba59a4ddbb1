#include "budget/pool_limit.h"

#include "budget/json_fields.h"

namespace jujubevalve
{

result<pool_limit> parse_pool_limit(std::string_view text)
{
    return json_fields::read<pool_limit>(text, "pools row", [](const nlohmann::json& object) {
        const bool has_margin = object.contains("safety_margin_tokens");
        return pool_limit{json_fields::text(object, "budget"),
                          json_fields::tokens(object, "limit_tokens"),
                          has_margin ? json_fields::tokens(object, "safety_margin_tokens") : 0};
    });
}

} // namespace jujubevalve
