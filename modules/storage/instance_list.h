#pragma once

#include "core/result.h"

#include <concepts>
#include <string>
#include <vector>

namespace jujubevalve
{

/// State of an instance or a backend server instance as reported by the platform.
enum class instance_state { live, leaving };

/// An entry of the platform's list, which lags behind the actual state.
struct listed_instance {
    std::string name;
    std::string address; ///< IP address, without a port
    std::string failure_domain;
    instance_state state{instance_state::live};

    friend bool operator==(const listed_instance&, const listed_instance&) = default;
};

/// The platform's list of live and leaving instances. It may be out of date. Calls block.
template <class T>
concept instance_list = requires(T& list)
{
    {
        list.instances()
        } -> std::same_as<result<std::vector<listed_instance>>>;
};

} // namespace jujubevalve
