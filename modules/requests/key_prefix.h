#pragma once

#include "core/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace jujubevalve
{

/// A key `<prefix><suffix>` whose prefix was issued by the fleet.
struct issued_key {
    std::string incarnation; ///< the incarnation that issued the prefix and alone runs the key
    std::int64_t epoch{0};   ///< epoch of that incarnation in which the prefix was issued
    std::string suffix;      ///< the caller's own part

    friend bool operator==(const issued_key&, const issued_key&) = default;
};

/// Longest idempotency key that is accepted, in bytes.
inline constexpr std::size_t max_key_bytes = 256;

/// Issues and verifies key prefixes `jv1.<incarnation>.<epoch>.<mac>`. The MAC is HMAC-SHA256 with
/// the fleet secret over account, incarnation and epoch, truncated to 16 hex digits.
class key_prefix
{
public:
    /// During a change of the fleet secret `previous` is the old one, so that keys that it issued
    /// stay valid; empty otherwise.
    explicit key_prefix(std::string secret, std::string previous = {});

    /// A prefix for the account. The incarnation's name must not contain a dot.
    [[nodiscard]] std::string issue(std::string_view incarnation, std::int64_t epoch,
                                    std::string_view account) const;

    /// Takes a full key apart and checks its MAC for the account. Fails with `invalid_key_prefix`.
    [[nodiscard]] result<issued_key> verify(std::string_view key, std::string_view account) const;

    /// Whether the key claims to have an issued prefix.
    [[nodiscard]] static bool has_prefix(std::string_view key);

private:
    [[nodiscard]] static std::string mac(std::string_view secret, std::string_view incarnation,
                                         std::int64_t epoch, std::string_view account);

    std::string secret_;
    std::string previous_;
};

/// Checks length and characters (visible ASCII) of an idempotency key. Fails with `invalid_field`.
status check_key(std::string_view key);

} // namespace jujubevalve
