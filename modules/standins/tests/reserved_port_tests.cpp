#include "standins/reserved_port.h"
#include "standins/tcp_relay.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <arpa/inet.h>
#include <memory>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

using namespace jujubevalve;

TEST_GROUP(reserved_port){};

// Guards against a process under test that cannot listen, because a socket opened after its port
// was chosen was given the same port.
TEST(reserved_port, is_not_given_to_another_socket)
{
    constexpr std::size_t ports = 300;
    std::vector<reserved_port> reserved;
    std::vector<std::unique_ptr<tcp_relay>> listeners;
    std::vector<std::string> addresses;
    for (std::size_t i = 0; i < ports; ++i) {
        reserved.emplace_back();
        addresses.push_back(reserved.back().address());
    }
    for (std::size_t i = 0; i < ports / 3; ++i) {
        listeners.push_back(std::make_unique<tcp_relay>());
        addresses.push_back(listeners.back()->address());
    }
    std::sort(addresses.begin(), addresses.end());
    CHECK(std::adjacent_find(addresses.begin(), addresses.end()) == addresses.end());
}

TEST(reserved_port, can_be_listened_on_by_its_owner)
{
    const reserved_port reserved;
    const auto port = std::stoi(reserved.address().substr(reserved.address().find(':') + 1));
    const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    const int enabled = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    sockaddr_in local{};
    local.sin_family = AF_INET;
    local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    local.sin_port = htons(static_cast<std::uint16_t>(port));
    const bool listens =
        ::bind(descriptor, reinterpret_cast<sockaddr*>(&local), sizeof local) == 0 &&
        ::listen(descriptor, 1) == 0;
    ::close(descriptor);
    CHECK(listens);
}
