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

/// Passes connections of other instances on to the platform's store, byte by byte, for instances
/// that are cut off from it. It never goes through another relay.
class store_relay
{
public:
    /// `store`: address of the store. `reaches_store`: whether this instance gets answers from it
    /// without a relay; if not, connections are closed at once.
    store_relay(event_loop& loop, std::string store, std::function<bool()> reaches_store);
    ~store_relay();
    store_relay(const store_relay&) = delete;
    store_relay& operator=(const store_relay&) = delete;

    /// Fails with `invalid_setting`.
    [[nodiscard]] status open(const std::string& address);

    /// Connections that are passed on at present.
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
