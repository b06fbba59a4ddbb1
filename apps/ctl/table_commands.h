#pragma once

#include "ctl/command_result.h"
#include "ctl/ctl_context.h"

#include <cstdint>
#include <optional>
#include <string>

namespace jujubevalve
{

/// Prints the tables in force as a table file: `routes`, `pools` or `all`.
command_result fetch_tables(const ctl_context& context, const std::string& table);

/// Checks a table file as a whole. A table that the file lacks is taken from the platform.
command_result validate_tables(const ctl_context& context, const std::string& file);

/// Shows what applying the table file to the tables in force would change.
command_result diff_tables(const ctl_context& context, const std::string& file);

/// Options of `apply_tables`.
struct apply_options {
    std::optional<std::int64_t> base; ///< version that the edit was made from; else the file's
    std::string apply_id;             ///< of an earlier attempt with an unknown outcome
    std::string operator_name;        ///< if empty, the operator of the term
    std::int64_t term{0};             ///< if not 0, the term that must be in force
};

/// Applies a table file; a table that the file lacks stays as it is.
command_result apply_tables(const ctl_context& context, const std::string& file,
                            const apply_options& options);

} // namespace jujubevalve
