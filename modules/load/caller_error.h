#pragma once

#include "core/time_ms.h"
#include "http/http_message.h"

#include <string>
#include <vector>

namespace jujubevalve
{

/// An error response of the caller API.
struct caller_error {
    int http_status{0};
    std::string type;    ///< such as `budget_exhausted`; empty if the body is malformed
    bool not_run{false}; ///< true for outcome `not_run`; otherwise the outcome is unknown
    std::vector<std::string> try_addresses; ///< addresses to retry at, from the body
    time_ms retry_after{0};                 ///< 0 if there is no Retry-After

    friend bool operator==(const caller_error&, const caller_error&) = default;
};

/// Parses an error response. A malformed body leaves the outcome unknown.
caller_error read_caller_error(int http_status, const http_headers& headers,
                               const std::string& body);

} // namespace jujubevalve
