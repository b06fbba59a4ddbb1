#include "recovery/grant_reclaim.h"

#include "budget/row_keys.h"

#include <algorithm>

namespace jujubevalve
{

namespace
{
struct versioned_grant {
    grant_row row;
    std::int64_t version{0};
    bool changed{false};
};

using grant_map = std::map<std::string, versioned_grant>;

token_count total_for(const incarnation_totals& totals, const std::string& name)
{
    const auto found = totals.find(name);
    return found == totals.end() ? 0 : found->second;
}

result<grant_map> read_grants(const reclaim_input& input)
{
    grant_map grants;
    const auto prefix = grant_prefix(input.budget);
    for (const auto& stored : input.grants) {
        if (stored.key.find('/', prefix.size()) != std::string::npos) {
            continue; // grant of another budget whose name starts with `input.budget` and "/"
        }
        auto row = parse_grant_row(stored.value);
        if (!row) {
            return row.error();
        }
        grants[stored.key.substr(prefix.size())] = {std::move(row).value(), stored.version, false};
    }
    return grants;
}

/// The terminated incarnations whose grants have not been closed yet, or that have no grant row but
/// spent or transferred tokens.
std::set<std::string> incarnations_to_reclaim(const reclaim_input& input, const grant_map& grants)
{
    // Incarnations that took part in transfers, even if they have no grant row.
    std::set<std::string> with_transfers;
    for (const auto& [pair, totals] : input.reported) {
        with_transfers.insert(pair.second);
    }
    for (const auto& [other, grant] : grants) {
        for (const auto* const totals : {&grant.row.sent, &grant.row.received}) {
            for (const auto& [name, total] : *totals) {
                with_transfers.insert(name);
            }
        }
    }
    std::set<std::string> to_reclaim;
    for (const auto& [name, spent] : input.spent) {
        const auto grant = grants.find(name);
        const bool is_open = grant == grants.end() ? spent > 0 || with_transfers.contains(name)
                                                   : !grant->second.row.closed;
        if (is_open) {
            to_reclaim.insert(name);
        }
    }
    return to_reclaim;
}

/// Sets the transfer totals between a terminated incarnation and another one to the same values in
/// both rows. Takes the maximum of all sources: totals only grow, so a lower value is outdated.
void reconcile_totals(versioned_grant& terminated, const std::string& terminated_name,
                      versioned_grant& other, const std::string& other_name,
                      const reported_totals& reported)
{
    const auto sent = std::max({total_for(terminated.row.sent, other_name),
                                total_for(other.row.received, terminated_name), reported.received});
    const auto received = std::max({total_for(terminated.row.received, other_name),
                                    total_for(other.row.sent, terminated_name), reported.sent});
    const auto raise = [](incarnation_totals& totals, const std::string& name, token_count value) {
        if (value == total_for(totals, name)) {
            return false;
        }
        totals[name] = value;
        return true;
    };
    raise(terminated.row.sent, other_name, sent);
    raise(terminated.row.received, other_name, received);
    // A closed row never changes: its transfer totals are already part of its final grant.
    if (!other.row.closed) {
        const bool received_raised = raise(other.row.received, terminated_name, sent);
        const bool sent_raised = raise(other.row.sent, terminated_name, received);
        other.changed = other.changed || received_raised || sent_raised;
    }
}

void reconcile_all(const reclaim_input& input, grant_map& grants,
                   const std::set<std::string>& to_reclaim)
{
    for (const auto& [pair, reported] : input.reported) {
        grants.try_emplace(pair.first);
    }
    for (const auto& name : to_reclaim) {
        grants.try_emplace(name);
    }
    for (const auto& name : to_reclaim) {
        auto& terminated = grants.at(name);
        for (auto& [other_name, other] : grants) {
            const auto reported = input.reported.find({other_name, name});
            if (other_name != name) {
                reconcile_totals(terminated, name, other, other_name,
                                 reported == input.reported.end() ? reported_totals{}
                                                                  : reported->second);
            }
        }
    }
}
} // namespace

result<bool> add_reclaim(transaction& change, const reclaim_input& input)
{
    auto grants = read_grants(input);
    if (!grants) {
        return grants.error();
    }
    const auto ledger = parse_ledger_row(input.ledger.value);
    if (!ledger) {
        return ledger.error();
    }
    auto by_incarnation = std::move(grants).value();
    const auto to_reclaim = incarnations_to_reclaim(input, by_incarnation);
    if (to_reclaim.empty()) {
        return false;
    }
    reconcile_all(input, by_incarnation, to_reclaim);
    auto allocated = ledger->allocated;
    for (const auto& name : to_reclaim) {
        auto& grant = by_incarnation.at(name);
        const auto spent =
            input.spent.at(name) + sum_of(grant.row.sent) - sum_of(grant.row.received);
        const auto charged = input.charged_in_full ? std::max(spent, grant.row.granted) : spent;
        grant.row.charged_in_full = input.charged_in_full;
        allocated += charged - grant.row.granted;
        grant.row.granted = charged;
        grant.row.closed = true;
        grant.changed = true;
    }
    if (allocated < 0) {
        return failure{result_code::ledger_mismatch,
                       "budget " + input.budget +
                           ": reclaiming grants would make the ledger negative"};
    }
    const auto key = ledger_key(input.budget);
    change.conditions.push_back({key, input.ledger.version});
    change.writes.push_back({key, to_text(ledger_row{allocated})});
    for (auto& [name, grant] : by_incarnation) {
        if (grant.changed) {
            ++grant.row.seq;
            change.conditions.push_back({grant_key(input.budget, name), grant.version});
            change.writes.push_back({grant_key(input.budget, name), to_text(grant.row)});
        }
    }
    return true;
}

} // namespace jujubevalve
