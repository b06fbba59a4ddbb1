#include "budget/term_row.h"

#include "budget/json_fields.h"

namespace jujubevalve
{

std::string to_text(const term_row& row)
{
    return nlohmann::json{{"term", row.term}, {"operator", row.operator_name}}.dump();
}

result<term_row> parse_term_row(std::string_view text)
{
    return json_fields::read<term_row>(text, "term row", [](const nlohmann::json& object) {
        return term_row{json_fields::whole_number(object, "term", 0, INT64_MAX),
                        json_fields::text(object, "operator")};
    });
}

} // namespace jujubevalve
