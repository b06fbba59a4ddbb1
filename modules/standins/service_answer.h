#pragma once

#include <string>
#include <string_view>

namespace jujubevalve
{

/// The text that the service stand-in answers to a call. It depends on the kind and the body only,
/// so a caller can check it.
std::string service_answer(std::string_view kind, std::string_view body);

} // namespace jujubevalve
