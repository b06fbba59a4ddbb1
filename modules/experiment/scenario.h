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

/// A situation that the fleet has to stand.
struct scenario {
    std::string name;
    std::string summary;
    time_ms length{}; ///< callers send requests so long
    world_options options;
    std::function<void(world&)> script; ///< plans the faults; may be empty
};

/// What to run.
struct run_settings {
    std::string scenario;
    std::string deployment{"braithwaite"};
    std::uint64_t seed{1};
    std::string policy; ///< empty: the scenario's default
    bool trace{false};  ///< prints refusals to standard error
};

/// All scenarios in the order of their listing.
const std::vector<scenario>& all_scenarios();

/// The policies that `run_settings::policy` may name.
const std::vector<std::string>& all_policies();

/// Runs one scenario. Fails with `invalid_setting` for a name that does not exist.
result<run_report> run_scenario(const run_settings& settings);

} // namespace jujubevalve::experiment
