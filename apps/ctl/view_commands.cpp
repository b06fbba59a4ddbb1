#include "ctl/view_commands.h"

#include "config/config.h"
#include "ctl/fleet_rows.h"
#include "ctl/row_differences.h"
#include "ctl/text_table.h"
#include "storage/platform_codec.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>

namespace jujubevalve
{

using nlohmann::json;

namespace
{
struct budget_view {
    bool has_pool{false};
    token_count limit{0};
    token_count margin{0};
    token_count granted{0};
    token_count spent{0};
    bool spent_is_lower_bound{false};

    [[nodiscard]] token_count free() const { return limit - margin - granted; }
};

using budget_map = std::map<std::string, budget_view>;

// Adds what one live incarnation spent. Segments name only budgets that changed, so that they are
// read from the newest back until each of its budgets was seen.
status add_spent(http_platform& platform, const std::vector<std::string>& names,
                 std::set<std::string> open, std::size_t max_segments, budget_map& budgets)
{
    for (std::size_t i = 0; i < names.size() && i < max_segments && !open.empty(); ++i) {
        const auto segment = load_segment(platform, names[names.size() - 1 - i]);
        if (!segment) {
            return segment.error();
        }
        for (const auto& [budget, spent] : segment->spent) {
            if (open.erase(budget) > 0) {
                budgets[budget].spent += spent;
            }
        }
    }
    if (names.size() > max_segments) {
        for (const auto& budget : open) {
            budgets[budget].spent_is_lower_bound = true;
        }
    }
    return success();
}

status add_all_spent(http_platform& platform, std::size_t max_segments, budget_map& budgets)
{
    const auto grants = load_grants(platform);
    const auto names = load_segment_names(platform);
    if (!grants || !names) {
        return !grants ? grants.error() : names.error();
    }
    std::map<std::string, std::set<std::string>> open;
    for (const auto& grant : *grants) {
        if (grant.closed) {
            // A grant is closed at its exact spend.
            budgets[grant.budget].spent += grant.entitled();
        } else {
            open[grant.incarnation].insert(grant.budget);
        }
    }
    for (const auto& [incarnation, budgets_of] : open) {
        const auto found = names->find(incarnation);
        if (found == names->end()) {
            continue;
        }
        auto added = add_spent(platform, found->second, budgets_of, max_segments, budgets);
        if (!added) {
            return added;
        }
    }
    return success();
}

result<budget_map> load_budgets(http_platform& platform, std::size_t max_segments)
{
    const auto tables = load_snapshot(platform);
    const auto ledgers = load_ledgers(platform);
    if (!tables || !ledgers) {
        return !tables ? tables.error() : ledgers.error();
    }
    budget_map budgets;
    for (const auto& [name, row] : tables->pools()) {
        budgets[row.budget] = {true, row.limit_tokens, row.safety_margin_tokens};
    }
    for (const auto& [budget, ledger] : *ledgers) {
        budgets[budget].granted = ledger.allocated;
    }
    const auto spent = add_all_spent(platform, max_segments, budgets);
    return spent ? result<budget_map>{std::move(budgets)} : result<budget_map>{spent.error()};
}

json budget_json(const std::string& name, const budget_view& budget)
{
    return {{"budget", name},
            {"has_pool", budget.has_pool},
            {"limit_tokens", budget.limit},
            {"safety_margin_tokens", budget.margin},
            {"granted_tokens", budget.granted},
            {"spent_tokens", budget.spent},
            {"spent_is_lower_bound", budget.spent_is_lower_bound},
            {"free_tokens", budget.free()}};
}

std::string state_in_list(const std::vector<listed_instance>& list, const std::string& name)
{
    const auto found = std::find_if(list.begin(), list.end(),
                                    [&](const auto& listed) { return listed.name == name; });
    return found == list.end() ? "not listed" : std::string{to_string(found->state)};
}

struct audit_entry {
    std::int64_t at_ms{0};
    std::string kind;
    std::string operator_name;
    std::string details;
};

std::string text_of(const json& object, const char* field)
{
    const auto found = object.find(field);
    return found != object.end() && found->is_string() ? found->get<std::string>() : "";
}

// Rows of other modules may have any further fields; these are shown as they are.
audit_entry decode_audit(const table_row& row)
{
    const auto object = json::parse(row.value, nullptr, false);
    if (!object.is_object()) {
        return {0, "malformed", "", row.key};
    }
    audit_entry entry{0, text_of(object, "kind"), text_of(object, "operator"), {}};
    const auto at = object.find("at_ms");
    entry.at_ms = at != object.end() && at->is_number_integer() ? at->get<std::int64_t>() : 0;
    for (const auto& [field, value] : object.items()) {
        if (field != "kind" && field != "operator" && field != "at_ms") {
            entry.details +=
                fmt::format("{}{}={}", entry.details.empty() ? "" : " ", field,
                            value.is_string() ? value.get<std::string>() : value.dump());
        }
    }
    return entry;
}

std::string names_of(const config_changes& changes)
{
    std::string names;
    const auto append = [&](const char* prefix, const auto& rows) {
        for (const auto& row : rows) {
            names += fmt::format(" {}{}", prefix, row.name);
        }
    };
    append("routes/", changes.routes);
    append("pools/", changes.pools);
    return names;
}

result<std::vector<config_log_entry>> newest_versions(http_platform& platform, std::size_t limit)
{
    const auto head = load_config_version(platform);
    if (!head) {
        return head.error();
    }
    return load_log(platform, std::max<std::int64_t>(0, *head - static_cast<std::int64_t>(limit)));
}
} // namespace

command_result show_budgets(const ctl_context& context, std::size_t max_segments)
{
    const auto budgets = load_budgets(context.platform, max_segments);
    if (!budgets) {
        return failed(context.json, {budgets.error()});
    }
    auto list = json::array();
    text_table table{{"BUDGET", "LIMIT", "MARGIN", "GRANTED", "SPENT", "FREE"}};
    for (const auto& [name, budget] : *budgets) {
        list.push_back(budget_json(name, budget));
        table.add({name, budget.has_pool ? std::to_string(budget.limit) : "no pool",
                   std::to_string(budget.margin), std::to_string(budget.granted),
                   fmt::format("{}{}", budget.spent_is_lower_bound ? ">=" : "", budget.spent),
                   budget.has_pool ? std::to_string(budget.free()) : "-"});
    }
    return succeeded(context.json, list, table.to_text());
}

command_result show_instances(const ctl_context& context)
{
    const auto instances = load_instances(context.platform);
    const auto listed = context.platform.instances();
    if (!instances || !listed) {
        return failed(context.json, {!instances ? instances.error() : listed.error()});
    }
    auto list = json::array();
    text_table table{
        {"INCARNATION", "STATE", "LIST", "TERM", "FAILURE DOMAIN", "HTTP", "PEER", "LAST SEGMENT"}};
    for (const auto& [incarnation, row] : *instances) {
        const auto in_list = state_in_list(*listed, row.instance);
        list.push_back({{"incarnation", incarnation},
                        {"instance", row.instance},
                        {"state", row.state},
                        {"list", in_list},
                        {"term", row.term},
                        {"failure_domain", row.failure_domain},
                        {"http_address", row.http_address},
                        {"peer_address", row.peer_address},
                        {"final_segment", row.final_segment}});
        table.add({incarnation, row.state, in_list, std::to_string(row.term), row.failure_domain,
                   row.http_address, row.peer_address,
                   row.final_segment == 0 ? "-" : std::to_string(row.final_segment)});
    }
    return succeeded(context.json, list, table.to_text());
}

command_result show_versions(const ctl_context& context, std::size_t limit)
{
    const auto log = newest_versions(context.platform, limit);
    if (!log) {
        return failed(context.json, {log.error()});
    }
    auto list = json::array();
    text_table table{{"VERSION", "TIME", "TERM", "OPERATOR", "APPLY ID", "ROUTES", "POOLS"}};
    for (const auto& entry : *log) {
        list.push_back({{"version", entry.version},
                        {"at_ms", entry.at.count()},
                        {"term", entry.term},
                        {"operator", entry.operator_name},
                        {"apply_id", entry.apply_id},
                        {"changes", changes_json(entry.changes)}});
        table.add({std::to_string(entry.version), utc_text(entry.at), std::to_string(entry.term),
                   entry.operator_name, entry.apply_id, std::to_string(entry.changes.routes.size()),
                   std::to_string(entry.changes.pools.size())});
    }
    return succeeded(context.json, list, table.to_text());
}

command_result show_audit(const ctl_context& context, std::size_t limit)
{
    const auto log = newest_versions(context.platform, limit);
    const auto rows = scan_all(context.platform, "audit/");
    if (!log || !rows) {
        return failed(context.json, {!log ? log.error() : rows.error()});
    }
    std::vector<audit_entry> entries;
    for (const auto& entry : *log) {
        entries.push_back({entry.at.count(), "apply", entry.operator_name,
                           fmt::format("version={} term={} rows:{}", entry.version, entry.term,
                                       names_of(entry.changes))});
    }
    std::transform(rows->begin(), rows->end(), std::back_inserter(entries), &decode_audit);
    std::stable_sort(entries.begin(), entries.end(),
                     [](const auto& a, const auto& b) { return a.at_ms < b.at_ms; });
    if (entries.size() > limit) {
        entries.erase(entries.begin(), entries.end() - static_cast<std::ptrdiff_t>(limit));
    }
    auto list = json::array();
    text_table table{{"TIME", "WHAT", "OPERATOR", "DETAILS"}};
    for (const auto& entry : entries) {
        list.push_back({{"at_ms", entry.at_ms},
                        {"kind", entry.kind},
                        {"operator", entry.operator_name},
                        {"details", entry.details}});
        table.add({utc_text(time_ms{entry.at_ms}), entry.kind, entry.operator_name, entry.details});
    }
    return succeeded(context.json, list, table.to_text());
}

} // namespace jujubevalve
