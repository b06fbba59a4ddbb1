#include "budget/ledger_row.h"

#include "budget/json_fields.h"

namespace jujubevalve
{

std::string to_text(const ledger_row& row)
{
    return nlohmann::json{{"allocated", row.allocated}}.dump();
}

result<ledger_row> parse_ledger_row(std::string_view text)
{
    if (text.empty()) {
        return ledger_row{};
    }
    return json_fields::read<ledger_row>(text, "ledger row", [](const nlohmann::json& object) {
        return ledger_row{json_fields::tokens(object, "allocated")};
    });
}

} // namespace jujubevalve
