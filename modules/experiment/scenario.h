#pragma once

#include "experiment/run_report.h"
#include "experiment/world.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jujubevalve::experiment
{

/// A workload and the faults that are injected during it.
struct scenario {
    std::string name;
    std::string summary;
    time_ms length{}; ///< callers send requests for this long
    world_options options;
    std::function<void(world&)> script; ///< schedules the faults; may be empty
};

/// Selects a scenario and its parameters.
struct run_settings {
    std::string scenario;
    std::string deployment{"braithwaite"};
    std::uint64_t seed{1};
    std::string policy; ///< empty: the scenario's default
    bool trace{false};  ///< prints refusals to standard error
};

/// Returns all scenarios in listing order.
const std::vector<scenario>& all_scenarios();

/// Returns the valid values of `run_settings::policy`.
const std::vector<std::string>& all_policies();

/// Runs one scenario. Fails with `invalid_setting` for an unknown scenario, deployment or policy.
result<run_report> run_scenario(const run_settings& settings);

} // namespace jujubevalve::experiment
