#pragma once

#include "harness.h"

namespace review
{

/// How requests with a part of their prompt that crashes servers come.
struct crashing_traffic {
    /// Parts that they share with the sound requests, before the one that crashes.
    std::string first_parts{"a1:200"};
    int gateways{3};
    int rounds{0};
    std::int64_t interval_ms{0}; ///< between rounds of one request each, at the machines in turn
    std::int64_t pause_ms{0};    ///< after the last round
    int last_at_once{0};         ///< requests after the pause, all at once
};

/// Gateways before nine model servers, each of which crashes when it begins to write an
/// answer to a prompt with the part. Returns whether no more than three such requests reach servers
/// later than contact-ms after the fifth crash.
bool keeps_crashing_part_from_servers(case_record& log, const crashing_traffic& traffic);

} // namespace review
