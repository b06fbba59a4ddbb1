#pragma once

#include "dispatch/call_request.h"

#include <cstdint>
#include <string_view>

namespace jujubevalve
{

/// Returns a number that identifies what a request asks for, whatever its id and the instance that
/// it comes to: its caller, method, host, path, prompt and body. Differs from the ids of prompt
/// blocks in its highest bits, see is_request_identity().
std::uint64_t request_identity(const call_request& request, std::string_view account,
                               std::string_view method, std::string_view body);

/// Returns whether a number is the identity of a request. A prompt block whose id begins with the
/// same bits passes for one.
bool is_request_identity(std::uint64_t number);

} // namespace jujubevalve
