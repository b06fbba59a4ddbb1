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
constexpr std::int64_t fleet_term = 1; ///< constant: this deployment has no handover of terms
/// Up to this many instances can retry a conflict on one ledger without waiting for each other.
/// With more of them the max retry delay grows in proportion.
constexpr std::int64_t instances_per_retry_delay = 8;
/// Age from which a cached ledger row that shows nothing free is read again before a refusal.
constexpr time_ms ledger_max_age{400};

/// Max time a request may wait for its ceiling to rise: about half of the tightest latency
/// objective of a stream.
constexpr time_ms max_ceiling_wait{300};
/// A ceiling includes headroom for one request even without demand if more than this many requests
/// per instance are free of the budget. Killing all instances then strands about 1/20 of that.
constexpr std::int64_t ample_free_requests = 20;
/// Killing all holders of a budget that restart soon strands at most 1/80 of the budget, and a
/// standby 1/400 of it, once less than 1/8 is left: callers count on nearly all that was paid for.
/// While more is left, 1/2 of what exceeds that may be stranded in addition, since the headroom
/// serves callers in an outage of the store.
constexpr std::int64_t max_stranded_divisor = 80;
constexpr std::int64_t max_stranded_at_standby_divisor = 400;
constexpr std::int64_t ample_remaining_divisor = 8;
constexpr std::int64_t spare_divisor = 2;
/// Requests of an account without demand for which the ceiling of its home leaves room until the
/// late growth begins: one at once, and one a second after that.
constexpr std::int64_t idle_requests_without_store = 4;
/// The base of a ceiling strands at most 1/16 of what is left of a budget.
constexpr std::int64_t max_stranded_of_remaining_divisor = 16;

/// Demand in excess of its average, and requests of an account without demand, for which a home's
/// ceiling leaves room in a long outage, over this time.
constexpr double excess_demand = 1.5;
constexpr std::int64_t idle_requests_per_s = 2;
constexpr time_ms outage_spend_time{5000};
/// A standby may spend this fraction (1/n) of its stock in that time.
constexpr std::int64_t standby_spend_divisor = 4;

/// Returns how much of its stock an instance may spend in a long outage before its ceiling is
/// raised. What its process has not spent when it is killed is lost to the account. The demand that
/// a home sees is that of the whole fleet, so it needs no more than a multiple of that; that of
/// other holders may change at once, when callers move.
token_count outage_spend(const grant_policy_input& facts, grant_role role)
{
    const auto available = std::max<token_count>(0, facts.available);
    if (role == grant_role::standby) {
        return available / standby_spend_divisor;
    }
    if (role != grant_role::home) {
        return available;
    }
    const auto needed = static_cast<token_count>(excess_demand * facts.demand_per_ms *
                                                 static_cast<double>(outage_spend_time.count())) +
                        idle_requests_per_s * facts.request * outage_spend_time.count() / 1000;
    return std::min(available, needed);
}

/// Returns how many tokens the death of all holders of the budget may strand if their successors
/// start soon.
token_count max_stranded(const grant_policy_input& facts)
{
    const auto remaining =
        std::max<token_count>(0, facts.available) + std::max<token_count>(0, facts.free);
    const auto spare = std::max<token_count>(0, remaining - facts.limit / ample_remaining_divisor);
    return facts.limit / max_stranded_divisor + spare / spare_divisor;
}

std::string pool_row_text(const std::string& account, token_count limit)
{
    return nlohmann::json{{"budget", account}, {"limit_tokens", limit}, {"safety_margin_tokens", 0}}
        .dump();
}
} // namespace

account_budgets::account_budgets(std::string incarnation, account_budget_options options)
    : options_{options}
    , grants_{incarnation, options.timing}
    , planner_{std::move(incarnation), fleet_term}
    , policy_{options.policy}
    , ceilings_{options.ceilings}
{
}

void account_budgets::set_limits(const std::map<std::string, token_count>& limits, time_ms now)
{
    limits_.clear();
    budget_pools sources;
    for (const auto& [account, limit] : limits) {
        limits_.emplace(account, limit);
        sources[account] = {account};
    }
    planner_.set_budget_pools(std::move(sources));
    open_ahead(now);
}

void account_budgets::set_roles(std::function<grant_role(std::string_view account)> roles,
                                time_ms now)
{
    policy_.set_roles(std::move(roles));
    open_ahead(now);
}

void account_budgets::set_stocks_ahead(bool stocks_ahead, time_ms now)
{
    if (stocks_ahead != policy_.stocks_ahead()) {
        policy_.set_stocks_ahead(stocks_ahead);
        open_ahead(now);
    }
}

void account_budgets::open_ahead(time_ms now)
{
    if (!policy_.stocks_ahead()) {
        return;
    }
    std::size_t opened = 0;
    for (const auto& [account, limit] : limits_) {
        const auto role = policy_.role_of(account);
        if (role != grant_role::none && role != grant_role::local &&
            ++opened <= options_.max_prefetched_accounts) {
            grants_.open(account, now);
        }
    }
}

bool account_budgets::covers(std::string_view account, token_count tokens, time_ms now) const
{
    return grants_.available(account) >= tokens && headroom_below_ceiling(account, now) >= tokens;
}

bool account_budgets::is_limited(std::string_view account) const
{
    return limits_.find(account) != limits_.end();
}

reserve_outcome account_budgets::reserve(std::string_view account, token_count tokens, time_ms now)
{
    const auto total = grants_.spent(account) + grants_.reserved(account) + tokens;
    // Always called, so that the ceiling is raised while the grant is refilled.
    const bool allowed = ceilings_.allow(account, total, now);
    if (grants_.available(account) >= tokens && !allowed) {
        const bool ceiling_rises_in_time =
            total <= ceilings_.bound(account, now + max_ceiling_wait);
        return {0, result_code::budget_unavailable, store_reachable_ || ceiling_rises_in_time};
    }
    return grants_.reserve(account, tokens, now);
}

std::optional<time_ms> account_budgets::room_expected_in(std::string_view account,
                                                         token_count tokens, time_ms now)
{
    if (grants_.available(account) < tokens) {
        return std::nullopt;
    }
    auto& promised = promised_[std::string{account}];
    if (now >= promised.until) {
        promised.tokens = 0;
    }
    const auto total = grants_.spent(account) + grants_.reserved(account) + tokens;
    const auto room = ceilings_.time_until_allowed(
        account, std::min(total + promised.tokens, max_token_count), now);
    if (room) {
        promised.tokens = std::min(promised.tokens + tokens, max_token_count);
        promised.until = std::max(promised.until, now + *room);
    }
    return room;
}

bool account_budgets::is_exhausted(std::string_view account, token_count tokens) const
{
    const auto facts = grants_.facts(account, 1, time_ms{});
    return facts.limit > 0 && facts.free + facts.available < tokens;
}

void account_budgets::settle(reservation_id id, token_count used, time_ms now)
{
    grants_.settle(id, used, now);
}

void account_budgets::settle_in_full(reservation_id id, time_ms now)
{
    grants_.settle_in_full(id, now);
}

void account_budgets::release(reservation_id id)
{
    grants_.release(id);
}

std::string account_budgets::ledger_row_key(std::string_view account)
{
    return ledger_key(account);
}

grant_step account_budgets::next_step(std::int64_t instances, time_ms now)
{
    auto batch = grants_.plan_refill(policy_, instances, now);
    if (batch.empty()) {
        batch = grants_.plan_close(now);
    }
    if (batch.empty()) {
        return {};
    }
    const auto rows = planning_rows(batch);
    auto planned = batch.purpose == refill_purpose::close
                       ? planner_.build_close(grants_, batch, rows, now)
                       : planner_.build(grants_, policy_, instances, batch, rows, now);
    if (!planned) {
        grants_.give_up(batch, true, now);
        return {};
    }
    grant_write write{std::move(batch), std::move(planned).value()};
    if (!write.planned.empty()) {
        drop_virtual_conditions(write.planned.change);
        return {std::move(write), std::nullopt};
    }
    grants_.give_up(write.batch, true, now);
    // The cached ledgers show nothing free, but other instances may have returned tokens since.
    for (const auto& account : write.batch.budgets) {
        auto& read_at = ledger_read_at_[account];
        if (now - read_at >= ledger_max_age) {
            read_at = now;
            return {std::nullopt, account};
        }
    }
    return {};
}

std::vector<table_row> account_budgets::planning_rows(const refill_batch& batch) const
{
    instance_row self;
    self.instance = grants_.incarnation();
    self.incarnation = grants_.incarnation();
    self.term = fleet_term;
    std::vector<table_row> rows{{std::string{term_key},
                                 nlohmann::json{{"term", fleet_term}, {"operator", "fleet"}}.dump(),
                                 1},
                                {instance_key(grants_.incarnation()), to_text(self), 1}};
    for (const auto& account : batch.budgets) {
        const auto limit = limits_.find(account);
        if (limit != limits_.end()) {
            rows.push_back({pool_key(account), pool_row_text(account, limit->second), 1});
        }
        for (const auto& key : {ledger_key(account), grant_key(account, grants_.incarnation())}) {
            const auto cached = cached_rows_.find(key);
            rows.push_back(cached == cached_rows_.end() ? table_row{key, "", 0} : cached->second);
        }
    }
    return rows;
}

// In this deployment the term, the instance and the limits are not rows of the store.
void account_budgets::drop_virtual_conditions(transaction& change) const
{
    std::erase_if(change.conditions, [this](const row_condition& condition) {
        return condition.key == term_key || condition.key == instance_key(grants_.incarnation()) ||
               condition.key.starts_with(pool_key(""));
    });
}

void account_budgets::set_instances(std::int64_t instances)
{
    instances_ = std::max<std::int64_t>(1, instances);
    grants_.set_max_retry_delay(options_.timing.max_retry_delay *
                                std::max<std::int64_t>(1, instances / instances_per_retry_delay));
}

void account_budgets::committed(const grant_write& write, const commit_result& outcome,
                                const std::vector<table_row>& current, time_ms now)
{
    cache_rows(current);
    if (outcome.outcome == commit_outcome::committed &&
        outcome.versions.size() == write.planned.change.writes.size()) {
        for (std::size_t i = 0; i < outcome.versions.size(); ++i) {
            const auto& row = write.planned.change.writes[i];
            cached_rows_[row.key] = {row.key, row.value, outcome.versions[i]};
        }
    }
    grants_.apply(write.batch, write.planned, outcome, now);
}

void account_budgets::record_peer_shortage(std::string_view account, time_ms now)
{
    grants_.record_peer_shortage(account, now);
    if (grants_.available(account) > 0) {
        lacked_elsewhere_.emplace(account);
    }
}

// The surplus depends on what is free, of which the ledger seen last may show too much.
void account_budgets::rows_read(const std::vector<table_row>& rows, time_ms /*now*/)
{
    cache_rows(rows);
    for (const auto& row : rows) {
        const auto lacked = std::find_if(
            lacked_elsewhere_.begin(), lacked_elsewhere_.end(),
            [&row](const std::string& account) { return ledger_row_key(account) == row.key; });
        if (lacked != lacked_elsewhere_.end()) {
            grants_.request_check(*lacked);
            lacked_elsewhere_.erase(lacked);
        }
    }
}

void account_budgets::cache_rows(const std::vector<table_row>& rows)
{
    for (const auto& row : rows) {
        auto& cached = cached_rows_[row.key];
        if (row.version >= cached.version) {
            cached = row;
        }
    }
}

token_count account_budgets::headroom_below_ceiling(std::string_view account, time_ms now) const
{
    return ceilings_.bound(account, now) - grants_.spent(account) - grants_.reserved(account);
}

std::vector<spend_facts> account_budgets::spend(time_ms now) const
{
    std::vector<spend_facts> found;
    const auto accounts = grants_.budgets();
    // An account that has had no request yet is assumed to get requests like those of the others.
    token_count usual_request = 1;
    for (const auto& account : accounts) {
        usual_request = std::max(usual_request, grants_.facts(account, 1, now).request);
    }
    for (const auto& account : accounts) {
        auto facts = grants_.facts(account, 1, now);
        facts.request = std::max(facts.request, usual_request);
        const auto role = policy_.role_of(account);
        const bool is_shared = role == grant_role::shared || role == grant_role::none;
        const bool has_ample_free =
            facts.free > ample_free_requests * (is_shared ? instances_ : 1) * facts.request;
        const auto stranded_by_all = max_stranded(facts);
        // A standby raises its ceiling when it is asked; that takes one write.
        const bool has_room_for_idle_request =
            has_ample_free && role != grant_role::standby && facts.request <= stranded_by_all;
        const auto min_headroom = has_room_for_idle_request ? facts.request : 0;
        // The home serves callers of all instances, also if the store fails before they have come:
        // its ceiling grows by a request a second from the start.
        const auto stranded_at_home =
            std::min(stranded_by_all, idle_requests_without_store * min_headroom);
        const auto stranded_without_demand = role == grant_role::standby
                                                 ? facts.limit / max_stranded_at_standby_divisor
                                             : is_shared ? min_headroom
                                                         : stranded_at_home;
        const auto stranded_by_share = static_cast<token_count>(
            policy_.share_of_demand(facts) * static_cast<double>(stranded_by_all));
        found.push_back(
            {account, grants_.spent(account) + grants_.reserved(account), min_headroom,
             facts.demand_per_ms,
             std::max(policy_.share_of_remaining(facts) / max_stranded_of_remaining_divisor,
                      min_headroom),
             outage_spend(facts, role), facts.available > 0 || facts.reserved > 0,
             std::max(stranded_by_share, stranded_without_demand)});
    }
    return found;
}

account_demand account_budgets::largest_demand(std::size_t max_accounts, time_ms now) const
{
    std::vector<std::pair<token_count, std::string>> found;
    for (const auto& [account, limit] : limits_) {
        const auto per_second = static_cast<token_count>(grants_.demand(account, now) * 1000);
        if (per_second > 0 && policy_.role_of(account) != grant_role::none) {
            found.emplace_back(per_second, account);
        }
    }
    const auto kept = std::min(max_accounts, found.size());
    std::partial_sort(found.begin(), found.begin() + static_cast<std::ptrdiff_t>(kept), found.end(),
                      std::greater<>{});
    account_demand demand;
    for (std::size_t i = 0; i < kept; ++i) {
        demand.emplace(found[i].second, found[i].first);
    }
    return demand;
}

std::vector<std::string> account_budgets::short_accounts(std::size_t max_accounts,
                                                         time_ms now) const
{
    std::vector<std::string> found;
    for (const auto& account : grants_.budgets()) {
        if (found.size() < max_accounts &&
            policy_.is_short_of_tokens(grants_.facts(account, 1, now))) {
            found.push_back(account);
        }
    }
    return found;
}

void account_budgets::begin_store_era()
{
    grants_.begin_store_era();
    cached_rows_.clear();
    ledger_read_at_.clear();
    ceilings_ = spend_ceilings{options_.ceilings};
    ceilings_.set_instances(instances_);
}

std::vector<grant_registration> account_budgets::unregistered_grants() const
{
    std::vector<grant_registration> found;
    for (const auto& held : grants_.unregistered_grants()) {
        const auto limit = limits_.find(held.budget);
        found.push_back({held.budget, grants_.incarnation(), held.granted, held.used,
                         limit == limits_.end() ? 0 : limit->second});
    }
    return found;
}

void account_budgets::registered(const grant_registration& held, token_count granted,
                                 const std::vector<table_row>& rows)
{
    cache_rows(rows);
    const auto own = cached_rows_.find(grant_key(held.account, held.incarnation));
    grants_.set_registered(held.account, granted,
                           own == cached_rows_.end() ? 0 : own->second.version);
}

void account_budgets::begin_close()
{
    grants_.begin_close();
}

bool account_budgets::all_closed() const
{
    return grants_.all_closed();
}

} // namespace jujubevalve
