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

/// A bound on spend that rises with the age of its publication: a process that is cut off from the
/// store can go on, and one that dies strands the less the sooner its successor starts.
struct spend_ceiling {
    /// Age from which `late_growth_per_s` is added. Processes that are killed one by one start
    /// again sooner; outages of the store last longer.
    static constexpr time_ms rises_faster_after{2500};

    token_count base{0};
    token_count growth_per_s{0};      ///< tokens per second of age
    token_count late_growth_per_s{0}; ///< tokens per second of age beyond `rises_faster_after`

    /// The bound at an age; negative ages count as none.
    [[nodiscard]] token_count at(time_ms age) const;

    friend bool operator==(const spend_ceiling&, const spend_ceiling&) = default;
};

/// The most that an incarnation may have spent, by account.
using ceiling_map = std::map<std::string, spend_ceiling, std::less<>>;

/// Settings of spend_ceilings.
struct spend_ceilings_options {
    /// Interval of writes while there is demand; the stamp is as old as this at most.
    time_ms interval{200};
};

/// Present spend and demand of one account.
struct spend_facts {
    std::string account;
    token_count total{0}; ///< spent and reserved
    token_count spare{0}; ///< room to leave, and growth in a second, even without demand
    double demand_per_ms{0};
    token_count most_room{max_token_count}; ///< bounds what a death strands
    token_count stock{0};                   ///< available beyond the total

    friend bool operator==(const spend_facts&, const spend_facts&) = default;
};

/// Bounds that a process puts on its own spend and publishes ahead of it. If it is killed, its
/// successor knows that no more than the ceilings can have been spent, and returns the rest of the
/// grants. Writes replace each other in the order in which they are sent: each must be conditional
/// on the version of the one before it. An account that was never published is not bound, as
/// nobody reclaims its grants. Not synchronised.
class spend_ceilings
{
public:
    explicit spend_ceilings(spend_ceilings_options options = {});

    /// Whether the account's total may become `total`. If not, or if the account is not bound yet,
    /// the next plan leaves room for it.
    [[nodiscard]] bool allow(std::string_view account, token_count total, time_ms now);

    /// The ceilings to publish now, if any are due and no write is under way.
    [[nodiscard]] std::optional<ceiling_map> plan(const std::vector<spend_facts>& facts,
                                                  time_ms now);

    /// A planned write was sent.
    void sent(const ceiling_map& ceilings, time_ms now);
    /// The write that was sent last was acknowledged: its ceilings alone bind.
    void acknowledged();
    /// The write that was sent last failed, or may still take effect: its ceilings bind as well.
    void failed();

    /// The most that the account's total may be at a time without a further write;
    /// `max_token_count` if it is not bound.
    [[nodiscard]] token_count bound(std::string_view account, time_ms then) const;

    /// Fleet size: with many instances each writes less often.
    void set_instances(std::int64_t instances);

private:
    /// Ceilings as written at one time.
    struct publication {
        ceiling_map ceilings;
        time_ms at{};

        [[nodiscard]] token_count bound(std::string_view account, time_ms then) const;
    };

    [[nodiscard]] spend_ceiling wanted(const spend_facts& facts) const;

    spend_ceilings_options options_;
    time_ms interval_;
    publication acknowledged_;
    std::vector<publication> open_; ///< sent later; may be in force or come into force
    std::map<std::string, token_count, std::less<>> asked_; ///< refused since the last write
    bool in_flight_{false};
    time_ms sent_at_{};
    bool ever_sent_{false};
};

} // namespace jujubevalve
