#include "config/apply_planner.h"

#include "config/config_codec.h"
#include "config/config_rows.h"
#include "config/table_validation.h"

#include <algorithm>
#include <fmt/format.h>

namespace jujubevalve
{

namespace
{
std::map<std::string, const pool*> pools_by_budget(const config_snapshot::pool_table& pools)
{
    std::map<std::string, const pool*> budgets;
    for (const auto& [name, row] : pools) {
        budgets.emplace(row.budget, &row);
    }
    return budgets;
}

// Returns the budgets whose grantable tokens the edit lowers, each with one of its pools. A budget
// that had no pool before the edit counts as lowered too: its ledger may still exist from a pool
// that was removed earlier.
std::map<std::string, const pool*> lowered_budgets(const config_snapshot::pool_table& before,
                                                   const config_snapshot::pool_table& after)
{
    const auto old_budgets = pools_by_budget(before);
    auto lowered = pools_by_budget(after);
    std::erase_if(lowered, [&](const auto& entry) {
        const auto old = old_budgets.find(entry.first);
        return old != old_budgets.end() && entry.second->grantable() >= old->second->grantable();
    });
    return lowered;
}

const table_row* find_row(const std::vector<table_row>& rows, std::string_view key)
{
    const auto found =
        std::find_if(rows.begin(), rows.end(), [&](const auto& row) { return row.key == key; });
    return found == rows.end() ? nullptr : &*found;
}

std::string_view value_of(const table_row& row)
{
    return row.version == 0 ? std::string_view{} : std::string_view{row.value};
}

failure missing_row_error(std::string_view key)
{
    return {result_code::malformed_row, fmt::format("row {}: it was not read", key)};
}

template <class Row>
void add_writes(transaction& planned, std::string_view prefix,
                const std::vector<row_change<Row>>& rows)
{
    for (const auto& row : rows) {
        const auto key = std::string{prefix}.append(row.name);
        if (row.after) {
            planned.writes.push_back({key, encode(*row.after)});
        } else {
            planned.deletes.push_back(key);
        }
    }
}
} // namespace

apply_planner::apply_planner(apply_request request)
    : request_{std::move(request)}
    , changes_{diff(request_.base, {0, 0, request_.routes, request_.pools})}
    , lowered_budgets_{lowered_budgets(request_.base.pools(), request_.pools)}
{
}

std::vector<std::string> apply_planner::keys() const
{
    std::vector<std::string> keys{std::string{term_key}, std::string{config_head_key}};
    for (const auto& [budget, row] : lowered_budgets_) {
        keys.push_back(ledger_key(budget));
    }
    return keys;
}

result<transaction> apply_planner::plan(const std::vector<table_row>& rows) const
{
    if (const auto errors = validate(request_.routes, request_.pools); !errors.empty()) {
        return join(errors);
    }
    const auto term = check_term(rows);
    if (!term) {
        return term.error();
    }
    if (const auto head = check_head(rows); !head) {
        return head.error();
    }
    if (const auto ledgers = check_ledgers(rows); !ledgers) {
        return ledgers.error();
    }
    transaction planned;
    for (const auto& key : keys()) {
        planned.conditions.push_back({key, find_row(rows, key)->version});
    }
    add_writes(planned, routes_prefix, changes_.routes);
    add_writes(planned, pools_prefix, changes_.pools);
    const config_log_entry entry{version(),
                                 request_.apply_id,
                                 request_.operator_name.empty() ? term->operator_name
                                                                : request_.operator_name,
                                 request_.at,
                                 term->term,
                                 changes_};
    planned.writes.push_back({config_log_key(version()), encode(entry)});
    planned.writes.push_back({std::string{config_head_key}, encode_config_head(version())});
    return planned;
}

apply_step apply_planner::classify(const commit_result& commit) const
{
    switch (commit.outcome) {
    case commit_outcome::committed:
        return apply_step::done;
    case commit_outcome::unavailable:
        return apply_step::unavailable;
    case commit_outcome::unknown:
        return apply_step::read_log;
    case commit_outcome::conflict:
        break;
    }
    const bool head_changed = std::find(commit.conflicts.begin(), commit.conflicts.end(),
                                        config_head_key) != commit.conflicts.end();
    // An earlier commit of this apply, whose response was lost, may have changed the head.
    return head_changed ? apply_step::read_log : apply_step::plan_again;
}

std::vector<std::string> apply_planner::resolve_keys() const
{
    return {config_log_key(version())};
}

result<apply_step> apply_planner::resolve(const std::vector<table_row>& rows) const
{
    const auto key = config_log_key(version());
    const auto* const row = find_row(rows, key);
    if (row == nullptr) {
        return missing_row_error(key);
    }
    if (row->version == 0) {
        return apply_step::plan_again;
    }
    const auto entry = decode_log_entry(row->value);
    if (!entry) {
        return entry.error();
    }
    return entry->apply_id == request_.apply_id ? apply_step::done : apply_step::stale;
}

result<term_row> apply_planner::check_term(const std::vector<table_row>& rows) const
{
    const auto* const row = find_row(rows, term_key);
    if (row == nullptr) {
        return missing_row_error(term_key);
    }
    auto term = decode_term(value_of(*row));
    if (!term) {
        return term.error();
    }
    if (term->term == 0) {
        return failure{result_code::term_fenced,
                       "the platform has no term yet; jujubevalve-ctl init makes the first one"};
    }
    if (request_.term != 0 && request_.term != term->term) {
        return failure{result_code::term_fenced,
                       fmt::format("term {} is in force (operator \"{}\"), expected term {}",
                                   term->term, term->operator_name, request_.term)};
    }
    return term;
}

status apply_planner::check_head(const std::vector<table_row>& rows) const
{
    const auto* const row = find_row(rows, config_head_key);
    if (row == nullptr) {
        return missing_row_error(config_head_key);
    }
    const auto head = decode_config_head(value_of(*row));
    if (!head) {
        return head.error();
    }
    if (*head != request_.base.version()) {
        return failure{result_code::stale_version,
                       fmt::format("version {} is in force, the edit was made from version {}",
                                   *head, request_.base.version())};
    }
    return success();
}

status apply_planner::check_ledgers(const std::vector<table_row>& rows) const
{
    std::vector<failure> errors;
    for (const auto& [budget, row] : lowered_budgets_) {
        const auto key = ledger_key(budget);
        const auto* const ledger = find_row(rows, key);
        if (ledger == nullptr) {
            return missing_row_error(key);
        }
        const auto allocated = decode_allocated(value_of(*ledger));
        if (!allocated) {
            return failure{allocated.error().code,
                           fmt::format("row {}: {}", key, allocated.error().message)};
        }
        if (*allocated > row->grantable()) {
            errors.push_back(
                {result_code::limit_below_allocated,
                 fmt::format(
                     "pools row \"{}\": field \"limit_tokens\" is {}, expected at least {}: "
                     "{} tokens of budget \"{}\" are allocated and the safety margin is {}",
                     row->name, row->limit_tokens, *allocated + row->safety_margin_tokens,
                     *allocated, budget, row->safety_margin_tokens)});
        }
    }
    return errors.empty() ? success() : status{join(errors)};
}

std::vector<changed_row> changed_rows(const std::vector<config_log_entry>& entries)
{
    std::map<std::pair<std::string, std::string>, changed_row> rows;
    const auto add = [&](const char* table, const std::string& name, const auto& entry) {
        rows[{table, name}] = {table, name, entry.version, entry.operator_name};
    };
    for (const auto& entry : entries) {
        for (const auto& change : entry.changes.routes) {
            add("routes", change.name, entry);
        }
        for (const auto& change : entry.changes.pools) {
            add("pools", change.name, entry);
        }
    }
    std::vector<changed_row> ordered;
    ordered.reserve(rows.size());
    for (auto& [key, row] : rows) {
        ordered.push_back(std::move(row));
    }
    return ordered;
}

} // namespace jujubevalve
