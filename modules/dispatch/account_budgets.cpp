#include "dispatch/account_budgets.h"

#include "budget/instance_row.h"
#include "budget/row_keys.h"
#include "config/config_rows.h"

#include <algorithm>
#include <functional>
#include <nlohmann/json.hpp>
#include <utility>

namespace jujubevalve
{

namespace
{
constexpr std::int64_t fleet_term = 1; ///< this deployment's fleet has no handover of terms
/// Instances that can retry a conflict on one ledger without waiting for each other.
constexpr std::int64_t instances_without_delay = 8;
/// Age at which a remembered ledger is read again before a refusal.
constexpr time_ms ledger_max_age{400};

/// A request may wait so long for its ceiling to rise; about half of the tightest objective of a
/// stream.
constexpr time_ms ceiling_wait{300};
/// Requests for each instance that must be free of a budget for a ceiling to leave room for one
/// without demand: the death of all instances then strands a twentieth or so.
constexpr std::int64_t plenty_requests = 20;
/// The death of all instances strands at most this part of what is left of a budget.
constexpr std::int64_t stranded_divisor = 16;

std::string pool_row_text(const std::string& account, token_count limit)
{
    return nlohmann::json{{"budget", account}, {"limit_tokens", limit}, {"safety_margin_tokens", 0}}
        .dump();
}
} // namespace

account_budgets::account_budgets(std::string incarnation, account_budget_options options)
    : options_{options}
    , book_{incarnation, options.timing}
    , planner_{std::move(incarnation), fleet_term}
    , policy_{options.policy}
    , ceilings_{options.ceilings}
{
}

void account_budgets::set_limits(const std::map<std::string, token_count>& limits, time_ms now)
{
    limits_.clear();
    budget_sources sources;
    for (const auto& [account, limit] : limits) {
        limits_.emplace(account, limit);
        sources[account] = {account};
    }
    planner_.set_sources(std::move(sources));
    if (limits.size() <= options_.prefetched_accounts) {
        for (const auto& [account, limit] : limits) {
            book_.open(account, now);
        }
    }
}

bool account_budgets::is_limited(std::string_view account) const
{
    return limits_.find(account) != limits_.end();
}

reserve_outcome account_budgets::reserve(std::string_view account, token_count tokens, time_ms now)
{
    const auto total = book_.spent(account) + book_.reserved(account) + tokens;
    // Asked in any case, so that the ceiling is raised while the grant is refilled.
    const bool allowed = ceilings_.allow(account, total, now);
    if (book_.available(account) >= tokens && !allowed) {
        const bool rises = total <= ceilings_.bound(account, now + ceiling_wait);
        return {0, result_code::budget_unavailable, store_reachable_ || rises};
    }
    return book_.reserve(account, tokens, now);
}

bool account_budgets::is_exhausted(std::string_view account, token_count tokens) const
{
    const auto facts = book_.facts(account, 1, time_ms{});
    return facts.limit > 0 && facts.free + facts.available < tokens;
}

void account_budgets::settle(reservation_id id, token_count used, time_ms now)
{
    book_.settle(id, used, now);
}

void account_budgets::settle_in_full(reservation_id id, time_ms now)
{
    book_.settle_in_full(id, now);
}

void account_budgets::release(reservation_id id)
{
    book_.release(id);
}

std::string account_budgets::ledger_row_key(std::string_view account)
{
    return ledger_key(account);
}

grant_step account_budgets::next_step(std::int64_t instances, time_ms now)
{
    auto batch = book_.plan_refill(policy_, instances, now);
    if (batch.empty()) {
        batch = book_.plan_close(now);
    }
    if (batch.empty()) {
        return {};
    }
    const auto rows = known_rows(batch);
    auto planned = batch.purpose == refill_purpose::close
                       ? planner_.build_close(book_, batch, rows, now)
                       : planner_.build(book_, policy_, instances, batch, rows, now);
    if (!planned) {
        book_.give_up(batch, true, now);
        return {};
    }
    grant_write write{std::move(batch), std::move(planned).value()};
    if (!write.planned.empty()) {
        drop_virtual_conditions(write.planned.change);
        return {std::move(write), std::nullopt};
    }
    book_.give_up(write.batch, true, now);
    // Nothing is free as far as remembered: others may have returned tokens since.
    for (const auto& account : write.batch.budgets) {
        auto& read_at = read_at_[account];
        if (now - read_at >= ledger_max_age) {
            read_at = now;
            return {std::nullopt, account};
        }
    }
    return {};
}

std::vector<table_row> account_budgets::known_rows(const refill_batch& batch) const
{
    instance_row self;
    self.instance = book_.incarnation();
    self.incarnation = book_.incarnation();
    self.term = fleet_term;
    std::vector<table_row> rows{{std::string{term_key},
                                 nlohmann::json{{"term", fleet_term}, {"operator", "fleet"}}.dump(),
                                 1},
                                {instance_key(book_.incarnation()), to_text(self), 1}};
    for (const auto& account : batch.budgets) {
        const auto limit = limits_.find(account);
        if (limit != limits_.end()) {
            rows.push_back({pool_key(account), pool_row_text(account, limit->second), 1});
        }
        for (const auto& key : {ledger_key(account), grant_key(account, book_.incarnation())}) {
            const auto known = rows_.find(key);
            rows.push_back(known == rows_.end() ? table_row{key, "", 0} : known->second);
        }
    }
    return rows;
}

// The term, the instance and the limits are not rows of the store here.
void account_budgets::drop_virtual_conditions(transaction& change) const
{
    std::erase_if(change.conditions, [this](const row_condition& condition) {
        return condition.key == term_key || condition.key == instance_key(book_.incarnation()) ||
               condition.key.starts_with(pool_key(""));
    });
}

void account_budgets::set_instances(std::int64_t instances)
{
    instances_ = std::max<std::int64_t>(1, instances);
    book_.set_retry_last(options_.timing.retry_last *
                         std::max<std::int64_t>(1, instances / instances_without_delay));
}

void account_budgets::committed(const grant_write& write, const commit_result& outcome,
                                const std::vector<table_row>& current, time_ms now)
{
    rows_read(current, now);
    if (outcome.outcome == commit_outcome::committed &&
        outcome.versions.size() == write.planned.change.writes.size()) {
        for (std::size_t i = 0; i < outcome.versions.size(); ++i) {
            const auto& row = write.planned.change.writes[i];
            rows_[row.key] = {row.key, row.value, outcome.versions[i]};
        }
    }
    book_.apply(write.batch, write.planned, outcome, now);
}

void account_budgets::rows_read(const std::vector<table_row>& rows, time_ms /*now*/)
{
    for (const auto& row : rows) {
        auto& known = rows_[row.key];
        if (row.version >= known.version) {
            known = row;
        }
    }
}

token_count account_budgets::room_below_ceiling(std::string_view account, time_ms now) const
{
    return ceilings_.bound(account, now) - book_.spent(account) - book_.reserved(account);
}

std::vector<spend_facts> account_budgets::spend(time_ms now) const
{
    std::vector<spend_facts> found;
    for (const auto& account : book_.budgets()) {
        const auto facts = book_.facts(account, 1, now);
        const bool plenty = facts.free > plenty_requests * instances_ * facts.request;
        found.push_back(
            {account, book_.spent(account) + book_.reserved(account), plenty ? facts.request : 0,
             facts.demand_per_ms,
             std::max(policy_.share_of_rest(facts) / stranded_divisor, plenty ? facts.request : 0),
             facts.available});
    }
    return found;
}

account_demand account_budgets::largest_demand(std::size_t most, time_ms now) const
{
    std::vector<std::pair<token_count, std::string>> found;
    for (const auto& [account, limit] : limits_) {
        const auto per_second = static_cast<token_count>(book_.demand(account, now) * 1000);
        if (per_second > 0) {
            found.emplace_back(per_second, account);
        }
    }
    const auto kept = std::min(most, found.size());
    std::partial_sort(found.begin(), found.begin() + static_cast<std::ptrdiff_t>(kept), found.end(),
                      std::greater<>{});
    account_demand demand;
    for (std::size_t i = 0; i < kept; ++i) {
        demand.emplace(found[i].second, found[i].first);
    }
    return demand;
}

std::vector<std::string> account_budgets::short_accounts(std::size_t most, time_ms now) const
{
    std::vector<std::string> found;
    for (const auto& account : book_.budgets()) {
        if (found.size() < most && policy_.is_short(book_.facts(account, 1, now))) {
            found.push_back(account);
        }
    }
    return found;
}

void account_budgets::begin_close()
{
    book_.begin_close();
}

bool account_budgets::all_closed() const
{
    return book_.all_closed();
}

} // namespace jujubevalve
