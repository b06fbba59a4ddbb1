#pragma once

#include <string>

namespace jujubevalve
{

/// A free loopback port for a process that is started later. The port stays bound, without
/// listening, until destruction: connections to it are refused and no other socket is given it, but
/// a process that sets SO_REUSEADDR can listen on it.
class reserved_port
{
public:
    /// Throws std::system_error if no port can be reserved.
    reserved_port();
    ~reserved_port();
    reserved_port(reserved_port&& other) noexcept;
    reserved_port& operator=(reserved_port&& other) noexcept;
    reserved_port(const reserved_port&) = delete;
    reserved_port& operator=(const reserved_port&) = delete;

    /// Returns ip:port.
    [[nodiscard]] const std::string& address() const { return address_; }

private:
    int descriptor_{-1};
    std::string address_;
};

} // namespace jujubevalve
