#pragma once

#include "core/time_ms.h"
#include "core/tokens.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jujubevalve
{

/// The most that an incarnation may have spent, by account.
using ceiling_map = std::map<std::string, token_count, std::less<>>;

/// Settings of spend_ceilings.
struct spend_ceilings_options {
    /// After this time without a write the ceilings no longer bind, so that callers are served in
    /// an outage of the store; a successor that starts later than this must charge whole grants.
    time_ms offline_after{2500};
    /// Interval of writes while there is demand; the stamp is as old as this at most.
    time_ms interval{400};
};

/// Present spend and demand of one account.
struct spend_facts {
    std::string account;
    token_count total{0}; ///< spent and reserved
    token_count spare{0}; ///< room to leave even without demand
    double demand_per_ms{0};
    token_count most_room{max_token_count}; ///< bounds what a death strands

    friend bool operator==(const spend_facts&, const spend_facts&) = default;
};

/// Bounds that a process puts on its own spend and publishes ahead of it. If it is killed, its
/// successor knows that no more than the ceilings can have been spent, and returns the rest of the
/// grants. Not synchronised.
class spend_ceilings
{
public:
    explicit spend_ceilings(spend_ceilings_options options = {});

    /// Whether the account's total may become `total`. If not, the next plan raises the ceiling.
    [[nodiscard]] bool allow(std::string_view account, token_count total, time_ms now);

    /// The ceilings to publish now, if any are due and no write is under way.
    [[nodiscard]] std::optional<ceiling_map> plan(const std::vector<spend_facts>& facts,
                                                  time_ms now);

    /// A planned write was sent.
    void sent(const ceiling_map& ceilings, time_ms now);
    /// The write was acknowledged, so its ceilings may be used; or it may not have taken effect.
    void acknowledged(const ceiling_map& ceilings);
    void failed();

    /// The ceiling that binds the account; 0 if none is published.
    [[nodiscard]] token_count published(std::string_view account) const;

    /// Whether the ceilings no longer bind.
    [[nodiscard]] bool is_offline(time_ms now) const;

    /// Fleet size: with many instances each writes less often.
    void set_instances(std::int64_t instances);

    [[nodiscard]] const spend_ceilings_options& options() const { return options_; }

private:
    [[nodiscard]] token_count wanted(const spend_facts& facts) const;

    spend_ceilings_options options_;
    time_ms interval_;
    ceiling_map published_; ///< in force; lowered ones already when they are sent
    ceiling_map asked_;     ///< totals that were refused since the last write
    bool in_flight_{false};
    bool ever_sent_{false};
    time_ms sent_at_{};
};

} // namespace jujubevalve
