#include "dispatch/spend_row.h"

#include "budget/grant_row.h"
#include "budget/json_fields.h"
#include "budget/ledger_row.h"
#include "budget/row_keys.h"

#include <algorithm>
#include <limits>

namespace jujubevalve
{

namespace
{
const table_row& row_at(const std::vector<table_row>& rows, const std::string& key)
{
    static const table_row absent;
    const auto found = std::find_if(rows.begin(), rows.end(),
                                    [&key](const table_row& row) { return row.key == key; });
    return found == rows.end() ? absent : *found;
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
            row.ceilings[account] = {ceiling.at(0).get<token_count>(),
                                     ceiling.at(1).get<token_count>(),
                                     ceiling.at(2).get<token_count>()};
        }
        return row;
    });
}

std::string spend_key(std::string_view instance, std::string_view incarnation)
{
    return "spend/" + std::string{instance}.append("/").append(incarnation);
}

std::vector<std::string> reclaim_read_set(const spend_row& dead)
{
    std::vector<std::string> keys;
    for (const auto& [account, ceiling] : dead.ceilings) {
        keys.push_back(ledger_key(account));
        keys.push_back(grant_key(account, dead.incarnation));
    }
    return keys;
}

result<transaction> plan_reclaim(const spend_row& dead, time_ms age,
                                 const std::vector<table_row>& rows)
{
    transaction change;
    for (const auto& [account, ceiling] : dead.ceilings) {
        const auto& ledger_at = row_at(rows, ledger_key(account));
        const auto& grant_at = row_at(rows, grant_key(account, dead.incarnation));
        const auto ledger = parse_ledger_row(ledger_at.value);
        auto grant = parse_grant_row(grant_at.value);
        if (!ledger || !grant) {
            return ledger ? grant.why() : ledger.why();
        }
        auto closed = std::move(grant).value();
        if (grant_at.version == 0 || closed.closed) {
            continue;
        }
        const auto kept = std::min(closed.granted, ceiling.at(age));
        const auto returned = closed.granted - kept;
        closed.granted = kept;
        closed.closed = true;
        closed.charged_in_full = true;
        ++closed.seq;
        change.conditions.push_back({grant_at.key, grant_at.version});
        change.writes.push_back({grant_at.key, to_text(closed)});
        if (returned > 0) {
            change.conditions.push_back({ledger_at.key, ledger_at.version});
            change.writes.push_back(
                {ledger_at.key, to_text(ledger_row{ledger->allocated - returned})});
        }
    }
    return change;
}

} // namespace jujubevalve
