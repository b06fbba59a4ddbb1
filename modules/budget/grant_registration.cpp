// The part of class grant_tracker for a store that has lost rows.
#include "budget/grant_tracker.h"

namespace jujubevalve
{

void grant_tracker::begin_store_era()
{
    for (auto& [name, state] : budgets_) {
        state.row_granted = state.granted();
        state.row_version = 0;
        state.in_flight.reset();
        state.lost.reset();
        state.observed = false;
        state.planned = false;
        state.own_transaction = false;
        state.failures = 0;
        state.next_attempt = {};
        state.check_requested = true;
        state.unregistered = !state.closed && (state.row_granted != 0 || state.spent != 0);
    }
}

std::vector<grant_tracker::unregistered_grant> grant_tracker::unregistered_grants() const
{
    std::vector<unregistered_grant> found;
    for (const auto& [name, state] : budgets_) {
        if (state.unregistered) {
            found.push_back({name, state.row_granted, state.spent + state.reserved});
        }
    }
    return found;
}

void grant_tracker::set_registered(std::string_view budget, token_count granted,
                                   std::int64_t row_version)
{
    const auto found = budgets_.find(budget);
    if (found == budgets_.end() || !found->second.unregistered) {
        return;
    }
    auto& state = found->second;
    state.row_granted = granted;
    state.row_version = row_version;
    state.unregistered = false;
}

} // namespace jujubevalve
