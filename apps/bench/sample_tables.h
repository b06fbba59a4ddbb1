#pragma once

#include "config/config.h"

#include <cstdint>
#include <string>
#include <vector>

namespace jujubevalve
{

/// Size of the generated tables.
struct table_size {
    std::int64_t pools{1000};  ///< each with its own budget
    std::int64_t routes{4600}; ///< spread over the accounts
    std::int64_t accounts{4600};
    std::int64_t models{33}; ///< server lists
    std::int64_t servers{2500};
};

std::string sample_account(std::int64_t number);
std::string sample_bearer_key(std::int64_t account);
std::string sample_pool_name(std::int64_t number);
std::string sample_budget(std::int64_t number);

/// Request kind of a route: routes count through the accounts, then through the kinds.
std::string sample_kind(std::int64_t route, std::int64_t accounts);

/// Returns servers `first` to `first + count - 1`.
std::vector<backend_server> sample_servers(std::int64_t first, std::int64_t count);

/// Tables at version 1: the first `models` pools list the servers, the others use their lists.
config_snapshot make_tables(const table_size& size);

/// The entries of the next versions, each a top-up of the same pool.
std::vector<config_log_entry> make_top_ups(const config_snapshot& tables, std::int64_t count);

} // namespace jujubevalve
