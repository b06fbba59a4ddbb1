#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace jujubevalve
{

/// Returns the SHA-256 of the data as 64 lower-case hex digits.
std::string sha256_hex(std::string_view data);

/// Returns the HMAC-SHA256 of the data as 64 lower-case hex digits.
std::string hmac_sha256_hex(std::string_view key, std::string_view data);

/// Compares two strings in time that depends only on their lengths.
bool equal_constant_time(std::string_view a, std::string_view b);

/// Returns a fast, non-cryptographic 64-bit hash, for placement, lookup and seeds. Not for
/// security.
std::uint64_t hash64(std::string_view data, std::uint64_t seed = 0);

/// Returns `bytes` cryptographically secure random bytes as lower-case hex digits, two per byte.
/// Throws std::runtime_error if the system provides none.
std::string random_hex(std::size_t bytes);

} // namespace jujubevalve
