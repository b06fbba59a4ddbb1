#pragma once

#include "membership/gossip_digest.h"
#include "membership/membership_settings.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace jujubevalve
{

/// What this incarnation has heard about available budget elsewhere, and what it states itself.
/// Bounded in size; hints expire. A hint promises nothing: the holder decides when it is asked.
class budget_hints
{
public:
    explicit budget_hints(const membership_settings& settings);

    /// Replaces what this incarnation states about its own available budget.
    void announce(std::map<std::string, std::int64_t, std::less<>> available);

    /// Notes that this incarnation has run short of a budget; peers are asked for hints about it.
    void seek(std::string_view budget, time_ms now);

    /// Adds what a digest says.
    void merge(const gossip_digest& digest, time_ms now);

    /// Fills the hint fields of a digest of this incarnation: budgets that are sought, hints about
    /// budgets that somebody seeks, then up to `unasked` hints about own budgets in rotation.
    void fill(gossip_digest& digest, time_ms now, std::size_t unasked);

    /// Hints about a budget that have not expired, the largest amount first.
    [[nodiscard]] std::vector<budget_hint> ranked(std::string_view budget, time_ms now) const;

    /// Drops all hints of an incarnation.
    void forget(member_id id);

    [[nodiscard]] std::size_t size() const { return heard_.size(); }

private:
    struct heard_hint {
        std::int64_t available{0};
        time_ms stated_at{};
    };
    using hint_key = std::pair<std::string, member_id>;

    void add(const budget_hint& hint, time_ms now);
    void add_about(gossip_digest& digest, std::string_view budget, time_ms now) const;
    void add_own(gossip_digest& digest, std::size_t count);
    void expire(time_ms now);

    membership_settings settings_;
    std::map<std::string, std::int64_t, std::less<>> own_;
    std::string next_own_; ///< where the rotation over own budgets continues
    std::map<hint_key, heard_hint> heard_;
    std::map<std::string, time_ms, std::less<>> sought_;           ///< by this incarnation, until
    std::map<std::string, time_ms, std::less<>> sought_elsewhere_; ///< by others, until
};

} // namespace jujubevalve
