#pragma once

#include <ace/INET_Addr.h>
#include <optional>
#include <string>

namespace jujubevalve
{

/// Parses a numeric IPv4 `ip:port` without a name lookup. Returns nullopt if it is malformed.
std::optional<ACE_INET_Addr> to_inet_address(const std::string& text);

} // namespace jujubevalve
