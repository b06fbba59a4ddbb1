#pragma once

#include <ace/INET_Addr.h>
#include <optional>
#include <string>

namespace jujubevalve
{

/// Reads a numeric `ip:port` without any name lookup; empty if malformed.
std::optional<ACE_INET_Addr> to_inet_address(const std::string& text);

} // namespace jujubevalve
