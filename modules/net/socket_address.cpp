#include "net/socket_address.h"

#include <arpa/inet.h>
#include <charconv>

namespace jujubevalve
{

std::optional<ACE_INET_Addr> to_inet_address(const std::string& text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    in_addr ip{};
    std::uint16_t port = 0;
    const char* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    if (parsed.ec != std::errc{} || parsed.ptr != end ||
        inet_pton(AF_INET, text.substr(0, colon).c_str(), &ip) != 1) {
        return std::nullopt;
    }
    return ACE_INET_Addr{port, ntohl(ip.s_addr)};
}

} // namespace jujubevalve
