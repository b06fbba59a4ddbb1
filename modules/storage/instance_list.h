#pragma once

#include "core/result.h"

#include <concepts>
#include <string>
#include <vector>

namespace jujubevalve
{

/// What the platform says about an instance or a backend server instance.
enum class instance_state { live, leaving };

/// An entry of the platform's list. The list lags behind the truth.
struct listed_instance {
    std::string name;
    std::string address; ///< IP number
    std::string failure_domain;
    instance_state state{instance_state::live};

    friend bool operator==(const listed_instance&, const listed_instance&) = default;
};

/// The platform's lagging list of live and leaving instances. Calls block.
template <class T>
concept instance_list = requires(T& list)
{
    {
        list.instances()
        } -> std::same_as<result<std::vector<listed_instance>>>;
};

} // namespace jujubevalve
