#include "standins/site/full_listener.h"

#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <sys/socket.h>
#include <system_error>
#include <unistd.h>

namespace jujubevalve::site
{

class full_listener::impl
{
public:
    impl()
        : listener_{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)}
    {
        sockaddr_in local{};
        local.sin_family = AF_INET;
        local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof local;
        auto* const address = reinterpret_cast<sockaddr*>(&local);
        if (::bind(listener_, address, size) != 0 || ::listen(listener_, 0) != 0 ||
            ::getsockname(listener_, address, &size) != 0) {
            const int error = errno;
            ::close(listener_);
            throw std::system_error{error, std::generic_category(), "cannot listen on loopback"};
        }
        address_ = "127.0.0.1:" + std::to_string(ntohs(local.sin_port));
        for (int& waiting : waiting_) {
            waiting = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
            (void)::connect(waiting, address, size);
        }
    }
    ~impl()
    {
        for (const int waiting : waiting_) {
            ::close(waiting);
        }
        ::close(listener_);
    }
    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    [[nodiscard]] const std::string& address() const { return address_; }

private:
    int listener_;
    std::array<int, 4> waiting_{}; ///< more than a queue of length 0 holds
    std::string address_;
};

full_listener::full_listener()
    : impl_{std::make_unique<impl>()}
{
}

full_listener::~full_listener() = default;

const std::string& full_listener::address() const
{
    return impl_->address();
}

} // namespace jujubevalve::site
