#pragma once

#include "budget/segment.h"
#include "budget/transfer_tracker.h"
#include "core/result.h"
#include "storage/table_store.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace jujubevalve
{

/// Reads rows of the table service.
struct read_rows {
    std::vector<std::string> keys;
    friend bool operator==(const read_rows&, const read_rows&) = default;
};

/// Reads all rows of the table service whose key starts with the prefix.
struct scan_rows {
    std::string prefix;
    friend bool operator==(const scan_rows&, const scan_rows&) = default;
};

/// Lists the names of all objects that start with the prefix.
struct list_objects {
    std::string prefix;
    friend bool operator==(const list_objects&, const list_objects&) = default;
};

/// Reads one object.
struct get_object {
    std::string name;
    friend bool operator==(const get_object&, const get_object&) = default;
};

/// Writes one object.
struct put_object {
    std::string name;
    std::string content;
    friend bool operator==(const put_object&, const put_object&) = default;
};

/// Cancels a request at a backend server. The server marks an unknown key, so that it refuses the
/// request if it arrives later.
struct cancel_key {
    std::string server;
    std::int64_t number{0}; ///< request number at the server
    std::string key;
    friend bool operator==(const cancel_key&, const cancel_key&) = default;
};

/// Requests the transfer totals of a live incarnation with the terminated incarnations in `gone`.
struct query_peer {
    std::string peer;
    std::string peer_address;
    std::vector<std::string> gone;
    friend bool operator==(const query_peer&, const query_peer&) = default;
};

/// Commits a transaction.
struct commit_rows {
    transaction change;
    friend bool operator==(const commit_rows&, const commit_rows&) = default;
};

/// A command that the caller of `recovery_plan::next` executes.
struct recovery_command {
    std::uint64_t id{0}; ///< passed to `recovery_plan::consume` with the answer
    std::variant<read_rows, scan_rows, list_objects, get_object, put_object, cancel_key, query_peer,
                 commit_rows>
        what;
};

/// A backend server's response to the cancellation of a request key.
struct cancel_answer {
    bool known{false};
    token_count used{0}; ///< final usage of a known key
    bill_entry bill;     ///< account, caller's key and budget of a known key; tokens to bill
    /// The key is unknown, but an earlier cancel has marked it, so its number was used.
    bool marked_before{false};

    friend bool operator==(const cancel_answer&, const cancel_answer&) = default;
};

/// Transfer totals of a live incarnation with the terminated incarnation `gone`.
struct peer_totals {
    std::string gone;
    std::vector<transfer_totals> totals;

    friend bool operator==(const peer_totals&, const peer_totals&) = default;
};

/// The answer to a command, or a `failure` if its execution failed (unreachable, not found).
using recovery_answer =
    std::variant<failure, std::vector<table_row>, std::vector<std::string>, std::string,
                 std::monostate, cancel_answer, std::vector<peer_totals>, commit_result>;

} // namespace jujubevalve
