#pragma once

#include "config/config_changes.h"
#include "core/time_ms.h"

#include <cstdint>
#include <string>

namespace jujubevalve
{

/// A committed configuration change. The entries form the change history and the audit trail.
struct config_log_entry {
    std::int64_t version{0};
    std::string apply_id;      ///< shows after a lost response which apply made the entry
    std::string operator_name; ///< who applied it
    time_ms at{};              ///< Unix time
    std::int64_t term{0};      ///< contract term in which it was applied
    config_changes changes;

    friend bool operator==(const config_log_entry&, const config_log_entry&) = default;
};

} // namespace jujubevalve
