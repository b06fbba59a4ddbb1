#pragma once

#include "core/result.h"

#include <string>
#include <vector>

namespace jujubevalve
{

/// A client account that the load driver sends requests for.
struct load_account {
    std::string account;
    std::string bearer_key;
    std::string chat_kind; ///< model name of chat requests; empty for none
    std::string call_kind; ///< kind of plain calls; empty for none
    double weight{1};      ///< share of the requests, relative to the other accounts

    friend bool operator==(const load_account&, const load_account&) = default;
};

/// Parses a JSON list of accounts. Fails with `malformed_json`, or with `invalid_field` for an
/// entry without account, bearer key, a kind or a positive weight.
result<std::vector<load_account>> parse_accounts(const std::string& text);

} // namespace jujubevalve
