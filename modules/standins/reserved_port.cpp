#include "standins/reserved_port.h"

#include <arpa/inet.h>
#include <cerrno>
#include <netinet/in.h>
#include <sys/socket.h>
#include <system_error>
#include <unistd.h>
#include <utility>

namespace jujubevalve
{

reserved_port::reserved_port()
    : descriptor_{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)}
{
    sockaddr_in local{};
    local.sin_family = AF_INET;
    local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof local;
    auto* const address = reinterpret_cast<sockaddr*>(&local);
    const int enabled = 1;
    if (descriptor_ < 0 ||
        ::setsockopt(descriptor_, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled) != 0 ||
        ::bind(descriptor_, address, size) != 0 ||
        ::getsockname(descriptor_, address, &size) != 0) {
        const int error = errno;
        ::close(descriptor_);
        throw std::system_error{error, std::generic_category(), "cannot reserve a loopback port"};
    }
    address_ = "127.0.0.1:" + std::to_string(ntohs(local.sin_port));
}

reserved_port::~reserved_port()
{
    if (descriptor_ >= 0) {
        ::close(descriptor_);
    }
}

reserved_port::reserved_port(reserved_port&& other) noexcept
    : descriptor_{std::exchange(other.descriptor_, -1)}
    , address_{std::move(other.address_)}
{
}

reserved_port& reserved_port::operator=(reserved_port&& other) noexcept
{
    std::swap(descriptor_, other.descriptor_);
    std::swap(address_, other.address_);
    return *this;
}

} // namespace jujubevalve
