#include "dispatch/spend_row.h"

#include "budget/grant_row.h"
#include "budget/json_fields.h"
#include "budget/ledger_row.h"
#include "budget/row_keys.h"

#include <algorithm>
#include <limits>
#include <stdexcept>

namespace jujubevalve
{

namespace
{
const table_row& find_row(const std::vector<table_row>& rows, const std::string& key)
{
    static const table_row absent;
    const auto found = std::find_if(rows.begin(), rows.end(),
                                    [&key](const table_row& row) { return row.key == key; });
    return found == rows.end() ? absent : *found;
}

token_count read_tokens(const nlohmann::json& value)
{
    const auto tokens = value.get<token_count>();
    if (!value.is_number_integer() || tokens < 0 || tokens > max_token_count) {
        throw std::invalid_argument{"a ceiling is not a token count"};
    }
    return tokens;
}
} // namespace

std::string to_text(const spend_row& row)
{
    auto ceilings = nlohmann::json::object();
    for (const auto& [account, ceiling] : row.ceilings) {
        ceilings[account] = {ceiling.base, ceiling.growth_per_s, ceiling.late_growth_per_s};
    }
    return nlohmann::json{{"incarnation", row.incarnation},
                          {"address", row.address},
                          {"stamp_ms", row.stamp.count()},
                          {"ceilings", ceilings}}
        .dump();
}

result<spend_row> parse_spend_row(std::string_view text)
{
    return json_fields::read<spend_row>(text, "spend row", [](const nlohmann::json& object) {
        spend_row row;
        row.incarnation = json_fields::text(object, "incarnation");
        row.address = json_fields::text(object, "address");
        row.stamp = time_ms{json_fields::whole_number(object, "stamp_ms", 0,
                                                      std::numeric_limits<std::int64_t>::max())};
        for (const auto& [account, ceiling] : object.at("ceilings").items()) {
            row.ceilings[account] = {read_tokens(ceiling.at(0)), read_tokens(ceiling.at(1)),
                                     read_tokens(ceiling.at(2))};
        }
        return row;
    });
}

std::string spend_key(std::string_view instance, std::string_view incarnation)
{
    return "spend/" + std::string{instance}.append("/").append(incarnation);
}

std::vector<std::string> reclaim_read_set(const spend_row& terminated)
{
    std::vector<std::string> keys;
    for (const auto& [account, ceiling] : terminated.ceilings) {
        keys.push_back(ledger_key(account));
        keys.push_back(grant_key(account, terminated.incarnation));
    }
    return keys;
}

result<transaction> plan_reclaim(const spend_row& terminated, time_ms age,
                                 const std::vector<table_row>& rows)
{
    transaction change;
    for (const auto& [account, ceiling] : terminated.ceilings) {
        const auto& ledger_table_row = find_row(rows, ledger_key(account));
        const auto& grant_table_row = find_row(rows, grant_key(account, terminated.incarnation));
        const auto ledger = parse_ledger_row(ledger_table_row.value);
        auto grant = parse_grant_row(grant_table_row.value);
        if (!ledger || !grant) {
            return ledger ? grant.error() : ledger.error();
        }
        auto closed_grant = std::move(grant).value();
        if (grant_table_row.version == 0 || closed_grant.closed) {
            continue;
        }
        const auto charged = std::min(closed_grant.granted, ceiling.at(age));
        const auto returned = closed_grant.granted - charged;
        closed_grant.granted = charged;
        closed_grant.closed = true;
        closed_grant.charged_in_full = true;
        ++closed_grant.seq;
        change.conditions.push_back({grant_table_row.key, grant_table_row.version});
        change.writes.push_back({grant_table_row.key, to_text(closed_grant)});
        if (returned > 0) {
            change.conditions.push_back({ledger_table_row.key, ledger_table_row.version});
            change.writes.push_back(
                {ledger_table_row.key, to_text(ledger_row{ledger->allocated - returned})});
        }
    }
    return change;
}

} // namespace jujubevalve
