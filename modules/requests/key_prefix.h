#pragma once

#include "core/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace jujubevalve
{

/// A key `<prefix><suffix>` whose prefix was issued by an instance of the fleet.
struct issued_key {
    std::string incarnation; ///< issued the prefix and is the only one that may run the key
    std::int64_t epoch{0};   ///< epoch of that incarnation in which the prefix was issued
    std::string suffix;      ///< chosen by the caller

    friend bool operator==(const issued_key&, const issued_key&) = default;
};

/// Max length of an idempotency key, in bytes.
inline constexpr std::size_t max_key_bytes = 256;

/// Issues and verifies key prefixes `jv1.<incarnation>.<epoch>.<mac>`. The MAC is HMAC-SHA256 with
/// the fleet secret over account, incarnation and epoch, truncated to 16 hex digits.
class key_prefix
{
public:
    /// While the fleet secret is being changed, `previous_secret` is the old secret, so that keys
    /// issued with it stay valid; otherwise it is empty.
    explicit key_prefix(std::string secret, std::string previous_secret = {});

    /// Returns a new prefix for the account. Throws std::invalid_argument if the incarnation's name
    /// is empty or contains a dot.
    [[nodiscard]] std::string issue(std::string_view incarnation, std::int64_t epoch,
                                    std::string_view account) const;

    /// Parses a complete key and checks its MAC for the account. Fails with `invalid_key_prefix`.
    [[nodiscard]] result<issued_key> verify(std::string_view key, std::string_view account) const;

    /// Returns whether the key starts like an issued prefix. Does not check the MAC.
    [[nodiscard]] static bool has_prefix(std::string_view key);

private:
    [[nodiscard]] static std::string mac(std::string_view secret, std::string_view incarnation,
                                         std::int64_t epoch, std::string_view account);

    std::string secret_;
    std::string previous_secret_;
};

/// Checks length and characters (visible ASCII) of an idempotency key. Fails with `invalid_field`.
status check_key(std::string_view key);

} // namespace jujubevalve
