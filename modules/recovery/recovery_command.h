#pragma once

#include "budget/segment.h"
#include "budget/transfer_book.h"
#include "core/result.h"
#include "storage/table_store.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace jujubevalve
{

/// Read rows of the table service.
struct read_rows {
    std::vector<std::string> keys;
    friend bool operator==(const read_rows&, const read_rows&) = default;
};

/// Scan rows of the table service; the answer holds all rows with the prefix.
struct scan_rows {
    std::string prefix;
    friend bool operator==(const scan_rows&, const scan_rows&) = default;
};

/// List object names with the prefix.
struct list_objects {
    std::string prefix;
    friend bool operator==(const list_objects&, const list_objects&) = default;
};

/// Get one object.
struct get_object {
    std::string name;
    friend bool operator==(const get_object&, const get_object&) = default;
};

/// Put one object.
struct put_object {
    std::string name;
    std::string content;
    friend bool operator==(const put_object&, const put_object&) = default;
};

/// Cancel a request key at a backend server; an unknown key is marked so that a late arrival is
/// refused.
struct cancel_key {
    std::string server;
    std::int64_t n{0};
    std::string key;
    friend bool operator==(const cancel_key&, const cancel_key&) = default;
};

/// Ask a live incarnation for its transfer totals with incarnations that are gone.
struct ask_peer {
    std::string peer;
    std::string peer_address;
    std::vector<std::string> gone;
    friend bool operator==(const ask_peer&, const ask_peer&) = default;
};

/// Commit a transaction.
struct commit_rows {
    transaction change;
    friend bool operator==(const commit_rows&, const commit_rows&) = default;
};

/// One step of a recovery for its runner to carry out.
struct recovery_command {
    std::uint64_t id{0}; ///< names the command in `recovery_plan::consume`
    std::variant<read_rows, scan_rows, list_objects, get_object, put_object, cancel_key, ask_peer,
                 commit_rows>
        what;
};

/// What a backend server says about a cancelled key.
struct cancel_answer {
    bool known{false};
    token_count used{0}; ///< final usage of a known key
    bill_entry bill;     ///< account, caller's key and budget of a known key; tokens to bill
    bool marked_before{
        false}; ///< unknown, but an earlier cancel has marked it: the number was used

    friend bool operator==(const cancel_answer&, const cancel_answer&) = default;
};

/// Transfer totals with one gone incarnation.
struct peer_totals {
    std::string gone;
    std::vector<transfer_totals> totals;

    friend bool operator==(const peer_totals&, const peer_totals&) = default;
};

/// The answer to a command: `failure` if it could not be carried out (unreachable, not found).
using recovery_answer =
    std::variant<failure, std::vector<table_row>, std::vector<std::string>, std::string,
                 std::monostate, cancel_answer, std::vector<peer_totals>, commit_result>;

} // namespace jujubevalve
