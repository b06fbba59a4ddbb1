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

/// An upper bound on spend that grows with the time since its publication. A process that is cut
/// off from the store can continue to spend, and a killed one strands fewer tokens the sooner its
/// successor starts.
struct spend_ceiling {
    /// Age from which `late_growth_per_s` is added. A single killed process restarts sooner than
    /// this; outages of the store last longer.
    static constexpr time_ms late_growth_after{2500};

    token_count base{0};
    token_count growth_per_s{0};      ///< tokens per second of age
    token_count late_growth_per_s{0}; ///< tokens per second of age beyond `late_growth_after`

    /// Returns the bound in tokens at an age; a negative age counts as 0.
    [[nodiscard]] token_count at(time_ms age) const;

    /// Returns the age at which the bound reaches `total`; nothing if it never does.
    [[nodiscard]] std::optional<time_ms> age_of(token_count total) const;

    friend bool operator==(const spend_ceiling&, const spend_ceiling&) = default;
};

/// Upper bounds on what an incarnation may have spent, by account.
using ceiling_map = std::map<std::string, spend_ceiling, std::less<>>;

/// Settings of spend_ceilings.
struct spend_ceilings_options {
    /// Interval of writes while there is demand; limits the age of the published row.
    time_ms interval{200};
};

/// Spend and demand of one account, as input for its ceiling.
struct spend_facts {
    std::string account;
    token_count total{0};        ///< spent and reserved
    token_count min_headroom{0}; ///< even without demand; also the min growth per second
    double demand_per_ms{0};
    token_count max_headroom{max_token_count}; ///< limits what a killed process strands
    token_count stock{0};                      ///< granted and still available, beyond `total`
    bool is_spendable{true}; ///< false: all granted tokens are spent, so no ceiling is needed
    /// Limits the headroom until the faster growth begins, and thereby what a process strands whose
    /// successor starts before.
    token_count max_early_headroom{max_token_count};

    friend bool operator==(const spend_facts&, const spend_facts&) = default;
};

/// Limits that a process sets on its own spend and publishes before it spends up to them. If the
/// process is killed, its successor knows that no more than the ceilings can have been spent and
/// returns the rest of the grants. Writes must take effect in the order in which they are sent, so
/// each must be conditional on the version written by the one before. An account that was never
/// published has no limit, since its grants are not reclaimed. Not synchronised.
class spend_ceilings
{
public:
    explicit spend_ceilings(spend_ceilings_options options = {});

    /// Returns whether the account's total may become `total`. If not, or if the account has no
    /// ceiling yet, the next plan includes headroom for it.
    [[nodiscard]] bool allow(std::string_view account, token_count total, time_ms now);

    /// Returns the ceilings to publish now, if a write is due and none is in flight.
    [[nodiscard]] std::optional<ceiling_map> plan(const std::vector<spend_facts>& facts,
                                                  time_ms now);

    /// Records that a planned write was sent.
    void sent(const ceiling_map& ceilings, time_ms now);
    /// Records that the last write was acknowledged: only its ceilings apply from now on. The next
    /// ones leave room for the demand of the time that a write takes.
    void acknowledged(time_ms write_time = time_ms{0});
    /// Records that the last write failed or its response was lost. It may still take effect, so
    /// its ceilings apply in addition.
    void failed();

    /// Returns the max total of the account at time `when` without a further write;
    /// `max_token_count` if it has no ceiling.
    [[nodiscard]] token_count bound(std::string_view account, time_ms when) const;

    /// Returns after what time the ceilings allow `total` without a further write; nothing if they
    /// never do.
    [[nodiscard]] std::optional<time_ms> time_until_allowed(std::string_view account,
                                                            token_count total, time_ms now) const;

    /// Sets the fleet size; the more instances there are, the less often each writes.
    void set_instances(std::int64_t instances);

private:
    /// Ceilings of one write, with the time when it was sent.
    struct publication {
        ceiling_map ceilings;
        time_ms sent_at{};

        [[nodiscard]] token_count bound(std::string_view account, time_ms when) const;
    };

    [[nodiscard]] spend_ceiling target_ceiling(const spend_facts& facts) const;

    spend_ceilings_options options_;
    time_ms interval_;
    publication acknowledged_;
    std::vector<publication> unacknowledged_; ///< sent later; may have taken effect or still do so
    /// Totals requested since the last write that need a ceiling or a higher one, by account.
    std::map<std::string, token_count, std::less<>> requested_totals_;
    bool in_flight_{false};
    time_ms sent_at_{};
    time_ms write_time_{}; ///< recent ones, at most max_write_time
    bool ever_sent_{false};
};

} // namespace jujubevalve
