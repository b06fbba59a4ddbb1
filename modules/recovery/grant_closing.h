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

/// Transfer totals that a live incarnation told for a gone one under one budget.
struct told_totals {
    token_count sent{0};     ///< debited by the live one for the gone one
    token_count received{0}; ///< credited by the live one from the gone one
};

/// Everything known of one budget when the grants of gone incarnations are to be closed.
struct closing_input {
    std::string budget;
    std::map<std::string, token_count> spent; ///< exact spend of each gone incarnation
    /// What live incarnations told: (live, gone) to totals.
    std::map<std::pair<std::string, std::string>, told_totals> told;
    std::vector<table_row> grants; ///< all grant rows of the budget
    table_row ledger;
    bool charged_in_full{false}; ///< `spent` is only a lower bound; the whole grants count as spent
};

/// Adds the closing of all open grants of the gone incarnations under one budget to a transaction.
/// A closed grant holds what was spent plus what was sent less what was received; the rest goes
/// back to the ledger. Adds nothing if nothing is open. Returns whether something was added. Fails
/// with `malformed_row`, or with `ledger_mismatch` if the ledger would become negative.
result<bool> add_closing(transaction& change, const closing_input& input);

} // namespace jujubevalve
