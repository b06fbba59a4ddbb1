#pragma once

#include <memory>
#include <string>

namespace jujubevalve::site
{

/// An address at which connections are never established, as the listener's queue is full: what is
/// sent there hangs until the sender gives up.
class full_listener
{
public:
    /// Listens on a free loopback port. Throws std::system_error on failure.
    full_listener();
    ~full_listener();
    full_listener(const full_listener&) = delete;
    full_listener& operator=(const full_listener&) = delete;

    [[nodiscard]] const std::string& address() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace jujubevalve::site
