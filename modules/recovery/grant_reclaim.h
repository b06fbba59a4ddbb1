#pragma once

#include "budget/grant_row.h"
#include "budget/ledger_row.h"
#include "core/result.h"
#include "storage/table_store.h"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace jujubevalve
{

/// Transfer totals of one budget that a live incarnation reported for a terminated one.
struct reported_totals {
    token_count sent{0};     ///< debited by the live one for transfers to the terminated one
    token_count received{0}; ///< credited by the live one for transfers from the terminated one
};

/// Input for reclaiming the grants of terminated incarnations under one budget.
struct reclaim_input {
    std::string budget;
    std::map<std::string, token_count> spent; ///< exact spend of each terminated incarnation
    /// Totals reported by live incarnations; the key is the pair (live, terminated).
    std::map<std::pair<std::string, std::string>, reported_totals> reported;
    std::vector<table_row> grants; ///< all grant rows of the budget
    table_row ledger;
    /// `spent` is only a lower bound, so each grant counts as spent in full.
    bool charged_in_full{false};
};

/// Adds the writes to a transaction that close all open grants of the terminated incarnations under
/// one budget. A closed grant holds the tokens spent plus sent minus received; the rest returns to
/// the ledger. Returns whether anything was added, which is false if no grant is open.
/// Fails with `malformed_row`, or with `ledger_mismatch` if the ledger would become negative.
result<bool> add_reclaim(transaction& change, const reclaim_input& input);

} // namespace jujubevalve
