#pragma once

#include "core/time_ms.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace jujubevalve
{

/// Chooses the way to the platform's store: straight, or through another instance while this one
/// is cut off from it and others are not. The straight way is taken again as soon as it works.
class store_route
{
public:
    /// `store`: address of the store.
    explicit store_route(std::string store);

    /// The instances that pass calls on, as addresses. The order is kept for probing.
    void set_relays(std::vector<std::string> addresses);

    /// The way in use; the last one that worked if none does.
    [[nodiscard]] const std::string& address() const { return in_use_; }
    [[nodiscard]] bool is_straight() const { return in_use_ == store_; }

    /// Whether calls on the way in use are answered.
    [[nodiscard]] bool works() const { return works_; }

    /// A call on the way in use brought no answer.
    void note_failure() { works_ = false; }

    /// Ways to try now. Answer each with probed().
    [[nodiscard]] std::vector<std::string> next_probes(time_ms now);

    /// Outcome of a probe. Returns whether calls are to be made on `address()` from now on: it is
    /// another way than before, or it works again.
    [[nodiscard]] bool probed(const std::string& address, bool answered);

private:
    std::string store_;
    std::string in_use_;
    bool works_{false};
    std::vector<std::string> relays_;
    std::size_t next_relay_{0};
    bool relay_probed_{false}; ///< a probe of a relay is under way
    time_ms next_straight_probe_{};
};

} // namespace jujubevalve
