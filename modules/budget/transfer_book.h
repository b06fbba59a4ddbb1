#pragma once

#include "budget/grant_book.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace jujubevalve
{

/// Moves available tokens of a budget from one incarnation to another.
struct transfer {
    std::string from;
    std::string to;
    std::int64_t n{0}; ///< gap-free for each (from, to), beginning with 1
    std::string budget;
    token_count amount{0};

    friend bool operator==(const transfer&, const transfer&) = default;
};

/// The receiver's answer. `credited`: now or earlier. `refused`: it is not credited and never will
/// be, so the sender may take it back.
enum class transfer_answer { credited, refused };

/// Totals between the answering incarnation and another one under one budget.
struct transfer_totals {
    std::string budget;
    token_count sent{0};     ///< debited here for the other
    token_count received{0}; ///< credited here from the other

    friend bool operator==(const transfer_totals&, const transfer_totals&) = default;
};

/// Both sides of the transfers of this incarnation. Messages may be lost, repeated, late and out of
/// order.
class transfer_book
{
public:
    explicit transfer_book(grant_book& book);

    /// Debits the tokens and returns the message, or nothing if less is available or the receiver
    /// takes no more. Repeat the message until it is acknowledged.
    std::optional<transfer> send(std::string_view to, std::string_view budget, token_count amount);

    /// Messages to repeat, in order of receiver and number.
    [[nodiscard]] std::vector<transfer> unacknowledged() const;

    /// The receiver answered `credited`. Ignores numbers that are not outstanding.
    void acknowledge(std::string_view to, std::int64_t n);

    /// The receiver answered `refused`: the tokens are available again, nothing more is sent to it.
    void take_back(std::string_view to, std::int64_t n);

    /// Receives a message and credits it unless it was credited before. Fails with
    /// `invalid_field` for a message that is not for this incarnation or has no valid amount.
    result<transfer_answer> receive(const transfer& message, time_ms now);

    /// Answers a recovery of `gone`: the totals exchanged with it. From now on transfers from it
    /// are refused and none is sent to it.
    std::vector<transfer_totals> totals_for_recovery(std::string_view gone);

    /// The other incarnation has closed its grant under a budget and recorded that it received
    /// `total` tokens from here; what it did not credit is available again.
    void settle_closed(std::string_view to, std::string_view budget, token_count total);

    /// Refuses all transfers from now on, in both directions; call before closing the grants.
    void refuse_all() { refuse_all_ = true; }

    /// Whether every transfer sent is acknowledged or settled.
    [[nodiscard]] bool all_acknowledged() const { return pending_.empty(); }

private:
    /// Numbers credited from one sender: all up to `up_to` and those in `beyond`.
    struct credited_numbers {
        std::int64_t up_to{0};
        std::set<std::int64_t> beyond;
    };

    grant_book& book_;
    std::map<std::string, std::int64_t, std::less<>> last_sent_;
    std::map<std::pair<std::string, std::int64_t>, transfer> pending_;
    std::map<std::string, credited_numbers, std::less<>> credited_;
    std::set<std::string, std::less<>> refused_;
    bool refuse_all_{false};
};

} // namespace jujubevalve
