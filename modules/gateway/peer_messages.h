#pragma once

#include "core/result.h"
#include "core/time_ms.h"
#include "core/tokens.h"
#include "dispatch/fleet_notices.h"
#include "dispatch/ledger_recovery.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace jujubevalve
{

/// First message on a connection between instances: who has connected.
struct peer_hello {
    std::string incarnation;

    friend bool operator==(const peer_hello&, const peer_hello&) = default;
};

/// Asks the home of an account to reserve tokens for a request of the sender.
struct reserve_tokens {
    std::uint64_t number{0}; ///< unique among the messages of the sender's incarnation
    std::string account;
    token_count tokens{0};
    time_ms max_wait{}; ///< for a refill

    friend bool operator==(const reserve_tokens&, const reserve_tokens&) = default;
};

/// Answers reserve_tokens.
struct tokens_reserved {
    std::uint64_t number{0};
    result_code code{result_code::ok}; ///< the reason for a refusal
    /// After a refusal: when the home expects to have the tokens; nothing if unknown.
    std::optional<time_ms> room_expected_in{};

    friend bool operator==(const tokens_reserved&, const tokens_reserved&) = default;
};

/// Ends a reservation. Repeated until it is acknowledged.
struct end_reservation {
    std::uint64_t number{0};
    std::optional<token_count> used; ///< nothing: the request did not run

    friend bool operator==(const end_reservation&, const end_reservation&) = default;
};

/// Acknowledges end_reservation.
struct reservation_ended {
    std::uint64_t number{0};

    friend bool operator==(const reservation_ended&, const reservation_ended&) = default;
};

/// Notices that the sender knows; may be repeated.
struct share_notices {
    std::vector<fleet_notice> notices;

    friend bool operator==(const share_notices&, const share_notices&) = default;
};

/// Tells what notices the sender knows, so that a receiver with others sends its own.
struct compare_notices {
    std::uint64_t digest{0}; ///< of its notice_board

    friend bool operator==(const compare_notices&, const compare_notices&) = default;
};

/// An instance that does not know a type of message closes the connection.
using peer_message =
    std::variant<peer_hello, reserve_tokens, tokens_reserved, end_reservation, reservation_ended,
                 share_notices, compare_notices, announced_grant>;

/// Distributes notices over messages that are within the limit of their size.
std::vector<share_notices> to_messages(const std::vector<fleet_notice>& notices);

/// Returns the message as CBOR, preceded by its length.
std::string encode_peer_message(const peer_message& message);

/// Splits a byte stream into messages.
class peer_message_reader
{
public:
    void add(std::string_view bytes) { buffer_.append(bytes); }

    /// Returns the next complete message, or nothing if more bytes are needed. Fails with
    /// `malformed_json` if the bytes are no message; the stream cannot be read any further then.
    [[nodiscard]] result<std::optional<peer_message>> next();

private:
    std::string buffer_;
};

} // namespace jujubevalve
