#pragma once

#include "core/time_ms.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jujubevalve
{

/// Chooses the route to the platform's store: direct, or through the relay of another instance
/// while this instance cannot reach the store and the other one can. Returns to the direct route as
/// soon as that works again.
class store_route
{
public:
    /// `store`: address of the store.
    explicit store_route(std::string store);

    /// Sets the relay addresses of the other instances. They are probed in this order.
    void set_relays(std::vector<std::string> addresses);

    /// Sets the fleet size; the more instances there are, the less often each probes.
    void set_instances(std::int64_t instances);

    /// Returns the address of the route in use; the last that worked if none does.
    [[nodiscard]] const std::string& address() const { return address_; }
    [[nodiscard]] bool is_direct() const { return address_ == store_; }

    /// Returns whether calls on the route in use get responses.
    [[nodiscard]] bool is_working() const { return is_working_; }

    /// Records that a call on the route in use got no response.
    void note_failure() { is_working_ = false; }

    /// Returns the addresses to probe now. Report the outcome of each with probed().
    [[nodiscard]] std::vector<std::string> next_probes(time_ms now);

    /// Handles the outcome of a probe. Returns true if the probed address is now the route in use,
    /// that is, the route changed or works again.
    [[nodiscard]] bool probed(const std::string& address, bool responded);

private:
    std::string store_;
    std::string address_;
    bool is_working_{false};
    std::vector<std::string> relays_;
    std::size_t next_relay_{0};
    bool relay_probe_in_flight_{false};
    std::optional<time_ms> last_direct_probe_;
    time_ms lost_route_interval_{}; ///< between probes while no route works
};

} // namespace jujubevalve
