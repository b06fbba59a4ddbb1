#pragma once

#include "core/result.h"
#include "core/time_ms.h"
#include "core/tokens.h"
#include "storage/table_store.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jujubevalve
{

// Rebuilds the ledgers after the store has lost rows. Each instance registers what it holds of a
// budget. One that has followed the grants of all opens the ledger: it charges what the others
// held that have not registered. Only then are further tokens granted.

/// The grant of one incarnation, as seen last.
struct known_grant {
    token_count granted{0};
    bool closed{false}; ///< its incarnation will not use it any more

    friend bool operator==(const known_grant&, const known_grant&) = default;
};

/// Grants of one account by incarnation.
using known_grants = std::map<std::string, known_grant, std::less<>>;

/// The row that opens a ledger: what was charged for incarnations that had not registered. The
/// entry without a name is the sum of the closed grants.
struct ledger_opening {
    std::map<std::string, token_count, std::less<>> charged;

    friend bool operator==(const ledger_opening&, const ledger_opening&) = default;
};

std::string to_text(const ledger_opening& opening);
/// Fails with `malformed_row`.
result<ledger_opening> parse_ledger_opening(std::string_view text);

/// Returns the key of the row that opens an account's ledger.
std::string opening_key(std::string_view account);

/// How far a follower has read the grants. One that has read later changes compares greater.
struct grants_read {
    std::int64_t era{0};     ///< whose open ledgers it has read in full
    std::int64_t version{0}; ///< of the newest grant row
    time_ms at{};            ///< the store's clock at the last response

    friend bool operator==(const grants_read&, const grants_read&) = default;
    friend auto operator<=>(const grants_read&, const grants_read&) = default;
};

/// What an instance has drawn of a budget, as it announces it to some followers before it uses it.
struct announced_grant {
    std::string account;
    std::string incarnation;
    token_count granted{0};  ///< in the instance's row
    std::int64_t era{0};     ///< of the row; 0 for the first
    std::int64_t version{0}; ///< of the row

    friend bool operator==(const announced_grant&, const announced_grant&) = default;
};

/// Returns whether a follower lacks the row that was announced.
bool is_unread(const announced_grant& announced, const grants_read& read);

/// Adds to the grants of an account, which were read up to `read`, those announced after it.
known_grants with_announced(std::string_view account, known_grants grants, const grants_read& read,
                            const std::vector<announced_grant>& announced);

/// Returns the grants that were announced last, at most `count`.
std::vector<announced_grant> newest_announced(std::vector<announced_grant> announced,
                                              std::size_t count);

/// Max number of instances that follow the grants of all. In a smaller fleet all do, so that each
/// survivor knows the grants; in a larger one their reads stay a small part of the store's load.
constexpr std::size_t max_followers = 16;

/// The instances with the largest weights are the followers.
std::uint64_t follower_weight(std::string_view instance);

/// Returns the followers among the listed instances.
std::vector<std::string> choose_followers(std::vector<std::string> listed);

/// The row by which a follower tells the others in a new era what it knows.
struct follower_row {
    std::int64_t era{0}; ///< the new one
    grants_read read;
    std::vector<announced_grant> announced; ///< unread

    friend bool operator==(const follower_row&, const follower_row&) = default;
};

std::string to_text(const follower_row& row);
/// Fails with `malformed_row`.
result<follower_row> parse_follower_row(std::string_view text);

/// Returns how many followers are to open the ledgers before `own`, which has read up to `read`:
/// those that have read more, and of those that have read as much, the ones with smaller names.
/// Returns nothing if one has read changes much later than `own`, which then does not know the
/// grants.
std::optional<std::size_t> opening_turn(std::string_view own, const grants_read& read,
                                        const std::map<std::string, grants_read>& others);

/// What an instance holds of a budget.
struct grant_registration {
    std::string account;
    std::string incarnation;
    token_count granted{0};
    token_count used{0};  ///< spent and reserved; at least this is registered
    token_count limit{0}; ///< of the budget

    friend bool operator==(const grant_registration&, const grant_registration&) = default;
};

/// Returns the rows that plan_registration() needs.
std::vector<std::string> registration_read_set(const grant_registration& held);

/// A transaction that registers a grant; empty if the grant is registered.
struct planned_registration {
    transaction change;
    token_count granted{0}; ///< in the instance's row after the change

    friend bool operator==(const planned_registration&, const planned_registration&) = default;
};

/// Plans to register a grant. If the ledger has been opened with a charge for the instance, the
/// instance takes that over; what it holds beyond it must be free. `rows`: of the read set.
/// Fails with `malformed_row`.
result<planned_registration> plan_registration(const grant_registration& held,
                                               const std::vector<table_row>& rows);

/// Plans to open the ledger of an account. `grants`: all that were known in the eras before;
/// nothing if nobody knows them, and then all that is left of `limit` is charged.
/// `registered`: the grant rows of the current era, read after the `ledger` row.
/// Fails with `malformed_row`.
result<transaction> plan_opening(std::string_view account,
                                 const std::optional<known_grants>& grants,
                                 const std::vector<table_row>& registered, const table_row& ledger,
                                 token_count limit);

} // namespace jujubevalve
