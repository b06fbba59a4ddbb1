#pragma once

#include "budget/grant_tracker.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace jujubevalve
{

/// A message that moves available tokens of a budget from one incarnation to another.
struct transfer {
    std::string from;
    std::string to;
    std::int64_t n{0}; ///< sequence number for each (from, to), from 1 without gaps
    std::string budget;
    token_count amount{0};

    friend bool operator==(const transfer&, const transfer&) = default;
};

/// The receiver's response. `credited`: credited now or earlier. `refused`: not credited now or
/// later, so the sender may make the tokens available again.
enum class transfer_response { credited, refused };

/// Totals exchanged between the responding incarnation and another one under one budget.
struct transfer_totals {
    std::string budget;
    token_count sent{0};     ///< debited here for the other incarnation
    token_count received{0}; ///< credited here from the other incarnation

    friend bool operator==(const transfer_totals&, const transfer_totals&) = default;
};

/// Tracks the transfers that this incarnation sends and receives. Messages may be lost, duplicated,
/// delayed and reordered.
class transfer_tracker
{
public:
    explicit transfer_tracker(grant_tracker& book);

    /// Debits the tokens and returns the message. Returns nothing if too few tokens are available,
    /// the receiver is this incarnation, or transfers to the receiver have ended. Repeat the
    /// message until it is acknowledged.
    std::optional<transfer> send(std::string_view to, std::string_view budget, token_count amount);

    /// Returns the messages to repeat, in order of receiver and number.
    [[nodiscard]] std::vector<transfer> unacknowledged() const;

    /// Handles the response `credited`. Ignores numbers that are not outstanding.
    void acknowledge(std::string_view to, std::int64_t n);

    /// Handles the response `refused`: makes the tokens available again and sends nothing more to
    /// the receiver.
    void take_back(std::string_view to, std::int64_t n);

    /// Handles a received message and credits it unless it was credited before. Fails with
    /// `invalid_field` if the message is not for this incarnation or has an invalid number, amount
    /// or budget.
    result<transfer_response> receive(const transfer& message, time_ms now);

    /// Returns the totals exchanged with a terminated incarnation, for its recovery. Transfers from
    /// and to that incarnation are refused from now on.
    std::vector<transfer_totals> totals_for_recovery(std::string_view terminated);

    /// Handles that another incarnation has closed its grant under a budget with `total` tokens
    /// received from here. Makes the tokens that it did not credit available again.
    void settle_closed(std::string_view to, std::string_view budget, token_count total);

    /// Refuses all transfers in both directions from now on; call before closing the grants.
    void refuse_all() { refuse_all_ = true; }

    /// Returns whether every sent transfer is acknowledged or settled.
    [[nodiscard]] bool all_acknowledged() const { return pending_.empty(); }

private:
    /// Numbers credited from one sender: all up to `contiguous_up_to` and those in `out_of_order`.
    struct credited_numbers {
        std::int64_t contiguous_up_to{0};
        std::set<std::int64_t> out_of_order;
    };

    grant_tracker& book_;
    std::map<std::string, std::int64_t, std::less<>> last_numbers_;
    std::map<std::pair<std::string, std::int64_t>, transfer> pending_;
    std::map<std::string, credited_numbers, std::less<>> credited_;
    std::set<std::string, std::less<>> refused_peers_;
    bool refuse_all_{false};
};

} // namespace jujubevalve
