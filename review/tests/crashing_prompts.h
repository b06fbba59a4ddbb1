#pragma once

#include "harness.h"

namespace review
{

/// How requests with a part of their prompt that crashes servers come.
struct crashing_traffic {
    /// Parts that they share with the sound requests, before the one that crashes.
    std::string first_parts{"a1:200"};
    int rounds{0};
    int at_once{1}; ///< requests in each round, at as many machines
    std::int64_t interval_ms{0};
};

/// Three gateways before nine model servers, each of which crashes when it begins to write an
/// answer to a prompt with the part. Returns whether no more than three such requests reach servers
/// later than contact-ms after the fifth crash.
bool keeps_crashing_part_from_servers(case_record& log, const crashing_traffic& traffic);

} // namespace review
