#include "dispatch/ledger_recovery.h"

#include "budget/grant_row.h"
#include "budget/json_fields.h"
#include "budget/ledger_row.h"
#include "budget/row_keys.h"
#include "core/digest.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace jujubevalve
{

namespace
{
/// Changes of so short a time are lost with an instance anyway, if it ends before others read them.
constexpr time_ms max_read_lag{1000};

const table_row& find_row(const std::vector<table_row>& rows, const std::string& key)
{
    static const table_row absent;
    const auto found = std::find_if(rows.begin(), rows.end(),
                                    [&key](const table_row& row) { return row.key == key; });
    return found == rows.end() ? absent : *found;
}

std::int64_t read_number(const nlohmann::json& object, const char* name)
{
    return json_fields::whole_number(object, name, 0, std::int64_t{1} << 53U);
}

announced_grant read_announced(const nlohmann::json& object)
{
    return {json_fields::text(object, "account"), json_fields::text(object, "incarnation"),
            json_fields::tokens(object, "granted"), read_number(object, "era"),
            read_number(object, "version")};
}
} // namespace

std::string to_text(const ledger_opening& opening)
{
    return nlohmann::json{{"charged", opening.charged}}.dump();
}

result<ledger_opening> parse_ledger_opening(std::string_view text)
{
    return json_fields::read<ledger_opening>(
        text, "opening of a ledger", [](const nlohmann::json& object) {
            return ledger_opening{json_fields::token_counts(object, "charged")};
        });
}

std::string opening_key(std::string_view account)
{
    return ledger_key(account) + "/opened";
}

bool is_unread(const announced_grant& announced, const grants_read& read)
{
    return std::tie(announced.era, announced.version) > std::tie(read.era, read.version);
}

known_grants with_announced(std::string_view account, known_grants grants, const grants_read& read,
                            const std::vector<announced_grant>& announced)
{
    std::map<std::string_view, const announced_grant*> newest;
    for (const auto& grant : announced) {
        if (grant.account != account || !is_unread(grant, read)) {
            continue;
        }
        auto& known = newest[grant.incarnation];
        if (known == nullptr ||
            std::tie(known->era, known->version) < std::tie(grant.era, grant.version)) {
            known = &grant;
        }
    }
    for (const auto& [incarnation, grant] : newest) {
        grants[std::string{incarnation}] = {grant->granted, false};
    }
    return grants;
}

std::vector<announced_grant> newest_announced(std::vector<announced_grant> announced,
                                              std::size_t count)
{
    std::sort(announced.begin(), announced.end(), [](const auto& a, const auto& b) {
        return std::tie(a.era, a.version) > std::tie(b.era, b.version);
    });
    announced.resize(std::min(announced.size(), count));
    return announced;
}

std::uint64_t follower_weight(std::string_view instance)
{
    constexpr std::uint64_t seed = 2;
    return hash64(instance, seed);
}

std::vector<std::string> choose_followers(std::vector<std::string> listed)
{
    std::sort(listed.begin(), listed.end(),
              [](const auto& a, const auto& b) { return follower_weight(a) > follower_weight(b); });
    listed.resize(std::min(listed.size(), max_followers));
    return listed;
}

std::string to_text(const follower_row& row)
{
    auto announced = nlohmann::json::array();
    for (const auto& grant : row.announced) {
        announced.push_back({{"account", grant.account},
                             {"incarnation", grant.incarnation},
                             {"granted", grant.granted},
                             {"era", grant.era},
                             {"version", grant.version}});
    }
    return nlohmann::json{{"era", row.era},
                          {"read-era", row.read.era},
                          {"version", row.read.version},
                          {"at-ms", row.read.at.count()},
                          {"announced", std::move(announced)}}
        .dump();
}

result<follower_row> parse_follower_row(std::string_view text)
{
    return json_fields::read<follower_row>(
        text, "row of a follower", [](const nlohmann::json& object) {
            follower_row row{read_number(object, "era"),
                             {read_number(object, "read-era"), read_number(object, "version"),
                              time_ms{read_number(object, "at-ms")}},
                             {}};
            if (object.contains("announced")) {
                for (const auto& grant : json_fields::array(object, "announced")) {
                    row.announced.push_back(read_announced(grant));
                }
            }
            return row;
        });
}

std::optional<std::size_t> opening_turn(std::string_view own, const grants_read& read,
                                        const std::map<std::string, grants_read>& others)
{
    std::size_t before = 0;
    for (const auto& [name, other] : others) {
        const bool lacks_changes =
            other.era > read.era || (other.era == read.era && other.version > read.version &&
                                     other.at > read.at + max_read_lag);
        if (lacks_changes) {
            return std::nullopt;
        }
        before += other > read || (other == read && name < own) ? 1U : 0U;
    }
    return before;
}

std::vector<std::string> registration_read_set(const grant_registration& held)
{
    return {ledger_key(held.account), grant_key(held.account, held.incarnation),
            opening_key(held.account)};
}

result<planned_registration> plan_registration(const grant_registration& held,
                                               const std::vector<table_row>& rows)
{
    const auto keys = registration_read_set(held);
    const auto& own_row = find_row(rows, keys[1]);
    if (own_row.version != 0) {
        const auto own = parse_grant_row(own_row.value);
        if (!own) {
            return own.error();
        }
        return planned_registration{{}, own->granted};
    }
    const auto& ledger_table_row = find_row(rows, keys[0]);
    const auto& opening_row = find_row(rows, keys[2]);
    const auto ledger = parse_ledger_row(ledger_table_row.value);
    if (!ledger) {
        return ledger.error();
    }
    planned_registration planned;
    planned.granted = held.granted;
    token_count charged = 0;
    if (opening_row.version != 0) {
        auto parsed = parse_ledger_opening(opening_row.value);
        if (!parsed) {
            return parsed.error();
        }
        auto opening = std::move(parsed).value();
        if (const auto own = opening.charged.find(held.incarnation); own != opening.charged.end()) {
            charged = own->second;
            opening.charged.erase(own);
            planned.change.writes.push_back({keys[2], to_text(opening)});
        }
        const auto free = std::max<token_count>(0, held.limit - ledger->allocated);
        planned.granted = std::max(held.used, std::min(held.granted, charged + free));
    }
    grant_row own;
    own.granted = planned.granted;
    own.seq = 1;
    planned.change.conditions = {
        {keys[0], ledger_table_row.version}, {keys[1], 0}, {keys[2], opening_row.version}};
    planned.change.writes.push_back(
        {keys[0], to_text(ledger_row{ledger->allocated + planned.granted - charged})});
    planned.change.writes.push_back({keys[1], to_text(own)});
    return planned;
}

result<transaction> plan_opening(std::string_view account,
                                 const std::optional<known_grants>& grants,
                                 const std::vector<table_row>& registered, const table_row& ledger,
                                 token_count limit)
{
    const auto content = parse_ledger_row(ledger.value);
    if (!content) {
        return content.error();
    }
    ledger_opening opening;
    auto allocated = content->allocated;
    for (const auto& [incarnation, grant] : grants.value_or(known_grants{})) {
        if (find_row(registered, grant_key(account, incarnation)).version == 0) {
            allocated += grant.granted;
            opening.charged[grant.closed ? std::string{} : incarnation] += grant.granted;
        }
    }
    if (!grants && allocated < limit) {
        opening.charged[std::string{}] = limit - allocated;
        allocated = limit;
    }
    transaction change;
    change.conditions = {{ledger_key(account), ledger.version}, {opening_key(account), 0}};
    change.writes = {{ledger_key(account), to_text(ledger_row{allocated})},
                     {opening_key(account), to_text(opening)}};
    return change;
}

} // namespace jujubevalve
