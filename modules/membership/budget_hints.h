#pragma once

#include "membership/gossip_digest.h"
#include "membership/membership_settings.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace jujubevalve
{

/// Hints about available budget: those received from other incarnations and those that this
/// incarnation announces. Bounded in size; hints expire. A hint reserves nothing: the holder
/// decides when it receives a request for tokens.
class budget_hints
{
public:
    explicit budget_hints(const membership_settings& settings);

    /// Replaces the announced amounts of this incarnation: available tokens by budget.
    void announce(std::map<std::string, std::int64_t, std::less<>> available);

    /// Records that this incarnation has run short of a budget. Digests request hints about it from
    /// peers for `hint_lifetime`.
    void seek(std::string_view budget, time_ms now);

    /// Stores the hints and the budget requests of a received digest.
    void merge(const gossip_digest& digest, time_ms now);

    /// Fills the hint fields of a digest of this incarnation: the budgets it requests, hints about
    /// budgets that peers request, then up to `max_unrequested` hints about own budgets in
    /// rotation.
    void fill(gossip_digest& digest, time_ms now, std::size_t max_unrequested);

    /// Returns the unexpired hints about a budget, largest amount first.
    [[nodiscard]] std::vector<budget_hint> ranked(std::string_view budget, time_ms now) const;

    /// Removes all hints received about an incarnation.
    void forget(member_id id);

    [[nodiscard]] std::size_t size() const { return received_.size(); }

private:
    struct received_hint {
        std::int64_t available{0};
        time_ms announced_at{};
    };
    using hint_key = std::pair<std::string, member_id>;

    void add(const budget_hint& hint, time_ms now);
    void add_requested(gossip_digest& digest, std::string_view budget, time_ms now) const;
    void add_own(gossip_digest& digest, std::size_t count);
    void expire(time_ms now);

    membership_settings settings_;
    std::map<std::string, std::int64_t, std::less<>> own_;
    std::string next_own_; ///< budget at which the rotation over own budgets continues
    std::map<hint_key, received_hint> received_;
    std::map<std::string, time_ms, std::less<>> requested_;          ///< expiry times
    std::map<std::string, time_ms, std::less<>> requested_by_peers_; ///< expiry times
};

} // namespace jujubevalve
