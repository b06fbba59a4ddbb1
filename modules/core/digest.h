#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace jujubevalve
{

/// SHA-256 of the data as 64 lower-case hex digits.
std::string sha256_hex(std::string_view data);

/// HMAC-SHA256 of the data as 64 lower-case hex digits.
std::string hmac_sha256_hex(std::string_view key, std::string_view data);

/// Compares two strings in time that depends only on their lengths.
bool equal_constant_time(std::string_view a, std::string_view b);

/// A fast 64-bit hash for placement, not for security.
std::uint64_t hash64(std::string_view data, std::uint64_t seed = 0);

/// Cryptographically random bytes as lower-case hex digits, two for each byte.
std::string random_hex(std::size_t bytes);

} // namespace jujubevalve
