#pragma once

#include <string>
#include <string_view>

namespace jujubevalve
{

/// The text that the service stand-in returns for a call. It is derived from the kind and the body
/// alone, so a caller can verify it.
std::string service_answer(std::string_view kind, std::string_view body);

} // namespace jujubevalve
