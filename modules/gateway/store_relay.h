#pragma once

#include "core/result.h"
#include "net/event_loop.h"
#include "net/tcp_listener.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace jujubevalve
{

/// TCP relay to the platform's store for instances that are cut off from it. Always connects to
/// the store directly, never through another relay.
class store_relay
{
public:
    /// `store`: address of the store. `reaches_store`: returns whether this instance gets responses
    /// from the store without a relay; if not, incoming connections are closed at once.
    store_relay(event_loop& loop, std::string store, std::function<bool()> reaches_store);
    ~store_relay();
    store_relay(const store_relay&) = delete;
    store_relay& operator=(const store_relay&) = delete;

    /// Fails with `invalid_setting`.
    [[nodiscard]] status open(const std::string& address);

    /// Returns the number of connections being relayed.
    [[nodiscard]] std::size_t links() const { return links_.size(); }

private:
    class link;

    void accept(int descriptor);

    event_loop& loop_;
    std::string store_;
    std::function<bool()> reaches_store_;
    tcp_listener listener_;
    std::unordered_map<std::uint64_t, std::unique_ptr<link>> links_;
    std::uint64_t last_id_{0};
};

} // namespace jujubevalve
