#include "budget/grant_planner.h"

#include "budget/instance_row.h"
#include "budget/ledger_row.h"
#include "budget/row_keys.h"

#include <algorithm>
#include <utility>

namespace jujubevalve
{

namespace
{
using row_map = std::map<std::string, const table_row*, std::less<>>;

// Returns an absent row with version 0 if the key was not read. If the row exists, the transaction
// then conflicts on that version.
const table_row& row_at(const row_map& rows, const std::string& key)
{
    static const table_row absent;
    const auto found = rows.find(key);
    return found == rows.end() ? absent : *found->second;
}

using sender_grants = std::vector<std::pair<std::string, grant_row>>;

result<sender_grants> read_sender_grants(const std::vector<std::string>& senders,
                                         const std::string& budget, const row_map& rows)
{
    sender_grants grants;
    for (const auto& sender : senders) {
        auto grant = parse_grant_row(row_at(rows, grant_key(budget, sender)).value);
        if (!grant) {
            return grant.error();
        }
        grants.emplace_back(sender, std::move(grant).value());
    }
    return grants;
}

/// Adds conditions and writes to a transaction, each key once.
class transaction_builder
{
public:
    explicit transaction_builder(transaction& change)
        : change_{change}
    {
        for (const auto& condition : change.conditions) {
            keys_.insert(condition.key);
        }
    }

    void require(const std::string& key, std::int64_t version)
    {
        if (keys_.insert(key).second) {
            change_.conditions.push_back({key, version});
        }
    }

    std::size_t replace(const std::string& key, std::int64_t version, std::string value)
    {
        require(key, version);
        change_.writes.push_back({key, std::move(value)});
        return change_.writes.size() - 1;
    }

private:
    transaction& change_;
    std::set<std::string> keys_;
};
} // namespace

grant_planner::grant_planner(std::string incarnation, std::int64_t term)
    : incarnation_{std::move(incarnation)}
    , term_{term}
{
}

std::vector<std::string> grant_planner::read_set(const grant_tracker& book,
                                                 const refill_batch& batch) const
{
    std::set<std::string> keys{std::string{term_key}, instance_key(incarnation_)};
    for (const auto& budget : batch.budgets) {
        keys.insert(ledger_key(budget));
        keys.insert(grant_key(budget, incarnation_));
        const auto source = sources_.find(budget);
        if (source != sources_.end()) {
            for (const auto& pool : source->second) {
                keys.insert(pool_key(pool));
            }
        }
        for (const auto& sender : book.unrecorded_senders(budget)) {
            keys.insert(grant_key(budget, sender));
        }
    }
    return {keys.begin(), keys.end()};
}

status grant_planner::check_fences(grant_tracker& book, const row_map& rows) const
{
    const auto term = decode_term(row_at(rows, std::string{term_key}).value);
    if (!term) {
        return term.error();
    }
    if (term->term != term_) {
        book.fence();
        return failure{result_code::term_fenced, "the term is " + std::to_string(term->term) +
                                                     ", this process was started for " +
                                                     std::to_string(term_)};
    }
    // A recovery finds the grants of an incarnation through its instance row, so the row must
    // exist.
    const auto instance = parse_instance_row(row_at(rows, instance_key(incarnation_)).value);
    if (!instance) {
        return instance.error();
    }
    if (instance->state != incarnation_state::active) {
        book.stop();
        return failure{result_code::stopped,
                       "incarnation " + incarnation_ + " was closed by others"};
    }
    return success();
}

result<budget_observation> grant_planner::observe(const std::string& budget,
                                                  const row_map& rows) const
{
    const auto source = sources_.find(budget);
    if (source == sources_.end() || source->second.empty()) {
        return failure{result_code::unknown_name, "budget " + budget + " is in no pool"};
    }
    budget_observation observation{budget, max_token_count, max_token_count, 0, {}, 0};
    for (const auto& pool : source->second) {
        const auto limit = parse_pool_limit(row_at(rows, pool_key(pool)).value);
        if (!limit) {
            return limit.error();
        }
        if (limit->budget != budget) {
            return failure{result_code::unknown_name, "pool " + pool + " is not under " + budget};
        }
        observation.limit = std::min(observation.limit, limit->limit_tokens);
        observation.grantable =
            std::min(observation.grantable, limit->limit_tokens - limit->safety_margin_tokens);
    }
    const auto ledger = parse_ledger_row(row_at(rows, ledger_key(budget)).value);
    if (!ledger) {
        return ledger.error();
    }
    const auto& row = row_at(rows, grant_key(budget, incarnation_));
    auto grant = parse_grant_row(row.value);
    if (!grant) {
        return grant.error();
    }
    observation.allocated = ledger->allocated;
    observation.grant = std::move(grant).value();
    observation.grant_version = row.version;
    return observation;
}

token_count grant_planner::bounded_change(const grant_tracker& book, const std::string& budget,
                                          std::int64_t live_instances, time_ms now,
                                          const change_function& policy_change) const
{
    const auto facts = book.facts(budget, live_instances, now);
    const auto surplus = std::max<token_count>(0, facts.available);
    const auto delta = book.is_idle(budget, now) ? -surplus : policy_change(facts);
    return delta > 0 ? std::min(delta, std::max<token_count>(0, facts.free))
                     : std::max(delta, -surplus);
}

status grant_planner::add_change(planned_refill& planned, const grant_tracker& book,
                                 const budget_observation& observation, token_count delta,
                                 bool close, const row_map& rows) const
{
    const auto& budget = observation.budget;
    const auto senders = read_sender_grants(book.unrecorded_senders(budget), budget, rows);
    if (!senders) {
        return senders.error();
    }
    planned_change change;
    change.budget = budget;
    change.closed = close;
    change.row_version = observation.grant_version;
    change.free_after = observation.grantable - observation.allocated - delta;

    // The new value is based on the row that was read, not on the local value. An earlier write
    // whose response was lost is then either included or can no longer apply.
    auto grant = observation.grant;
    grant.granted += delta;
    ++grant.seq;
    grant.sent = merge_max(grant.sent, book.confirmed(budget));
    grant.received = merge_max(grant.received, book.received(budget));
    grant.closed = close;
    change.granted = grant.granted;
    change.received = grant.received;

    transaction_builder builder{planned.change};
    const auto replace = [&](const std::string& key, std::int64_t version, std::string value) {
        change.row_keys.push_back(key);
        return builder.replace(key, version, std::move(value));
    };
    for (auto [sender, row] : *senders) {
        const auto key = grant_key(budget, sender);
        // The recovery of a closed sender has already requested and recorded the total.
        if (!row.closed) {
            row.sent = merge_max(std::move(row.sent),
                                 {{incarnation_, grant.received.find(sender)->second}});
            ++row.seq;
            replace(key, row_at(rows, key).version, to_text(row));
        }
    }
    if (delta != 0) {
        for (const auto& pool : sources_.at(budget)) {
            change.row_keys.push_back(pool_key(pool));
            builder.require(pool_key(pool), row_at(rows, pool_key(pool)).version);
        }
        const auto key = ledger_key(budget);
        replace(key, row_at(rows, key).version, to_text(ledger_row{observation.allocated + delta}));
    }
    change.write_index =
        replace(grant_key(budget, incarnation_), observation.grant_version, to_text(grant));
    planned.changes.push_back(std::move(change));
    return success();
}

result<planned_refill> grant_planner::build_with(grant_tracker& book, std::int64_t live_instances,
                                                 const refill_batch& batch,
                                                 const std::vector<table_row>& rows, time_ms now,
                                                 const change_function& policy_change) const
{
    row_map by_key;
    for (const auto& row : rows) {
        by_key.emplace(row.key, &row);
    }
    const auto fences = check_fences(book, by_key);
    if (!fences) {
        return fences.error();
    }
    planned_refill planned;
    transaction_builder builder{planned.change};
    for (const auto& key : {std::string{term_key}, instance_key(incarnation_)}) {
        builder.require(key, row_at(by_key, key).version);
    }
    const bool close = batch.purpose == refill_purpose::close;
    for (const auto& budget : batch.budgets) {
        const auto observation = observe(budget, by_key);
        if (!observation) {
            book.count_unreadable();
            continue;
        }
        book.observe(*observation, now);
        if (book.is_stopped()) {
            return failure{result_code::stopped, "the grant under " + budget + " is closed"};
        }
        add_if_needed(planned, book, *observation, close, by_key,
                      close ? 0 : bounded_change(book, budget, live_instances, now, policy_change));
    }
    for (const auto& change : planned.changes) {
        book.begin_change(change);
    }
    return planned;
}

void grant_planner::add_if_needed(planned_refill& planned, grant_tracker& book,
                                  const budget_observation& observation, bool close,
                                  const row_map& rows, token_count delta) const
{
    if (observation.grant.closed) {
        return;
    }
    if (close) {
        // The final grant is the spend, adjusted by the transfers that the row records separately.
        const auto spent = book.spent(observation.budget) + sum_of(book.sent(observation.budget)) -
                           sum_of(book.received(observation.budget));
        if (observation.grant_version == 0 && spent == 0 &&
            book.received(observation.budget).empty() && book.granted(observation.budget) == 0 &&
            !book.has_pending_write(observation.budget)) {
            return;
        }
        delta = spent - observation.grant.granted;
    } else if (delta == 0 && book.unrecorded_senders(observation.budget).empty()) {
        return;
    }
    const bool is_ledger_negative = observation.allocated + delta < 0;
    if (is_ledger_negative || !add_change(planned, book, observation, delta, close, rows)) {
        book.count_unreadable();
    }
}

result<planned_refill> grant_planner::build_close(grant_tracker& book, const refill_batch& batch,
                                                  const std::vector<table_row>& rows,
                                                  time_ms now) const
{
    return build_with(book, 1, batch, rows, now, [](const grant_policy_input&) { return 0; });
}

} // namespace jujubevalve
