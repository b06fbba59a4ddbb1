#include "recovery/grant_closing.h"

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

token_count total_of(const incarnation_totals& totals, const std::string& name)
{
    const auto found = totals.find(name);
    return found == totals.end() ? 0 : found->second;
}

result<grant_map> read_grants(const closing_input& input)
{
    grant_map grants;
    const auto prefix = grant_prefix(input.budget);
    for (const auto& stored : input.grants) {
        if (stored.key.find('/', prefix.size()) != std::string::npos) {
            continue; // of another budget whose name begins with this one's
        }
        auto row = parse_grant_row(stored.value);
        if (!row) {
            return row.why();
        }
        grants[stored.key.substr(prefix.size())] = {std::move(row).value(), stored.version, false};
    }
    return grants;
}

/// The gone incarnations with an open grant, or with spend or transfers but no row.
std::set<std::string> open_members(const closing_input& input, const grant_map& grants)
{
    // Incarnations that others exchanged tokens with, even if they have no row of their own.
    std::set<std::string> exchanged;
    for (const auto& [pair, totals] : input.told) {
        exchanged.insert(pair.second);
    }
    for (const auto& [other, grant] : grants) {
        for (const auto* const totals : {&grant.row.sent, &grant.row.received}) {
            for (const auto& [name, total] : *totals) {
                exchanged.insert(name);
            }
        }
    }
    std::set<std::string> open;
    for (const auto& [name, spent] : input.spent) {
        const auto grant = grants.find(name);
        const bool is_open = grant == grants.end() ? spent > 0 || exchanged.contains(name)
                                                   : !grant->second.row.closed;
        if (is_open) {
            open.insert(name);
        }
    }
    return open;
}

/// Brings the totals between a gone incarnation and another one to the same value in both rows.
/// Of several sources the largest is right: totals only grow, and a source can only lag behind.
void match_totals(versioned_grant& gone, const std::string& gone_name, versioned_grant& other,
                  const std::string& other_name, const told_totals& told)
{
    const auto sent = std::max({total_of(gone.row.sent, other_name),
                                total_of(other.row.received, gone_name), told.received});
    const auto received = std::max(
        {total_of(gone.row.received, other_name), total_of(other.row.sent, gone_name), told.sent});
    const auto raise = [](incarnation_totals& totals, const std::string& name, token_count value) {
        if (value == total_of(totals, name)) {
            return false;
        }
        totals[name] = value;
        return true;
    };
    raise(gone.row.sent, other_name, sent);
    raise(gone.row.received, other_name, received);
    // A closed row stays as it is: its own closing has used all its totals.
    if (!other.row.closed) {
        const bool a = raise(other.row.received, gone_name, sent);
        const bool b = raise(other.row.sent, gone_name, received);
        other.changed = other.changed || a || b;
    }
}

void match_all(const closing_input& input, grant_map& grants, const std::set<std::string>& open)
{
    for (const auto& [pair, told] : input.told) {
        grants.try_emplace(pair.first);
    }
    for (const auto& name : open) {
        grants.try_emplace(name);
    }
    for (const auto& name : open) {
        auto& gone = grants.at(name);
        for (auto& [other_name, other] : grants) {
            const auto told = input.told.find({other_name, name});
            if (other_name != name) {
                match_totals(gone, name, other, other_name,
                             told == input.told.end() ? told_totals{} : told->second);
            }
        }
    }
}
} // namespace

result<bool> add_closing(transaction& change, const closing_input& input)
{
    auto grants = read_grants(input);
    if (!grants) {
        return grants.why();
    }
    const auto ledger = parse_ledger_row(input.ledger.value);
    if (!ledger) {
        return ledger.why();
    }
    auto by_name = std::move(grants).value();
    const auto open = open_members(input, by_name);
    if (open.empty()) {
        return false;
    }
    match_all(input, by_name, open);
    auto allocated = ledger->allocated;
    for (const auto& name : open) {
        auto& grant = by_name.at(name);
        const auto spent =
            input.spent.at(name) + sum_of(grant.row.sent) - sum_of(grant.row.received);
        const auto kept = input.charged_in_full ? std::max(spent, grant.row.granted) : spent;
        grant.row.charged_in_full = input.charged_in_full;
        allocated += kept - grant.row.granted;
        grant.row.granted = kept;
        grant.row.closed = true;
        grant.changed = true;
    }
    if (allocated < 0) {
        return failure{result_code::ledger_mismatch,
                       "budget " + input.budget + ": closing would make the ledger negative"};
    }
    const auto key = ledger_key(input.budget);
    change.conditions.push_back({key, input.ledger.version});
    change.writes.push_back({key, to_text(ledger_row{allocated})});
    for (auto& [name, grant] : by_name) {
        if (grant.changed) {
            ++grant.row.seq;
            change.conditions.push_back({grant_key(input.budget, name), grant.version});
            change.writes.push_back({grant_key(input.budget, name), to_text(grant.row)});
        }
    }
    return true;
}

} // namespace jujubevalve
