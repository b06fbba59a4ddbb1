#pragma once

#include "dispatch/fleet_config.h"

#include <cstddef>
#include <string>
#include <vector>

namespace jujubevalve
{

enum class finding_severity {
    error,   ///< the configuration must not be sent
    warning, ///< takes effect as written, which is probably not what was meant
};

/// The part of a configuration that a finding is about.
enum class config_section { document, routes, services, accounts, limits };

/// What a check of a configuration found in one place.
struct config_finding {
    finding_severity severity{finding_severity::error};
    config_section section{config_section::document};
    std::size_t row{0}; ///< position in the section, from 0
    std::string field;  ///< name of the member; empty if the finding is about the whole row
    std::string message;

    friend bool operator==(const config_finding&, const config_finding&) = default;
};

/// Finds what is wrong with a configuration although it can be read: names that do not exist or
/// exist twice, entries that can never match, and limits that contradict each other.
[[nodiscard]] std::vector<config_finding> check_config(const fleet_config_content& config);

/// One row or value that differs between two configurations.
struct config_difference {
    enum class kind { added, removed, changed };

    kind change{kind::changed};
    config_section section{config_section::document};
    std::string name;  ///< of the row; empty for limits and the version
    std::string field; ///< empty if the whole row was added or removed
    std::string before;
    std::string after;

    friend bool operator==(const config_difference&, const config_difference&) = default;
};

/// Returns what changes if `proposed` replaces `in_force`. Keys of accounts are not shown in full.
[[nodiscard]] std::vector<config_difference> compare_configs(const fleet_config_content& in_force,
                                                             const fleet_config_content& proposed);

} // namespace jujubevalve
