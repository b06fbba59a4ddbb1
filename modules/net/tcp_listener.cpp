#include "net/tcp_listener.h"

#include "net/socket_address.h"

#include <ace/OS_NS_sys_socket.h>
#include <ace/SOCK_Stream.h>
#include <cstring>
#include <utility>

namespace jujubevalve
{

namespace
{
/// Max connections waiting to be accepted.
constexpr int listen_backlog = 512;
/// Leaves time for open connections during a flood of new ones.
constexpr int max_accepts_per_event = 32;
} // namespace

tcp_listener::tcp_listener(event_loop& loop, accept_handler handler)
    : loop_{loop}
    , handler_{std::move(handler)}
    , backlog_{listen_backlog}
{
}

tcp_listener::~tcp_listener()
{
    if (std::exchange(open_, false)) {
        loop_.unwatch(acceptor_.get_handle());
        acceptor_.close();
    }
}

status tcp_listener::open(const std::string& address)
{
    const auto local = to_inet_address(address);
    if (!local || acceptor_.open(*local, 1, PF_INET, backlog_) != 0) {
        return failure{result_code::invalid_setting, "cannot listen on " + address + ": " +
                                                         (local ? std::strerror(errno) // NOLINT
                                                                : "not an ip:port address")};
    }
    acceptor_.enable(ACE_NONBLOCK);
    open_ = loop_.watch(acceptor_.get_handle(), *this, {true, false});
    return open_ ? success()
                 : status{failure{result_code::invalid_setting,
                                  "too many descriptors to listen on " + address}};
}

int tcp_listener::port() const
{
    ACE_INET_Addr local;
    return acceptor_.get_local_addr(local) == 0 ? local.get_port_number() : 0;
}

void tcp_listener::close()
{
    if (open_) {
        // Their callers may have sent requests already.
        accept(listen_backlog);
        open_ = false;
        loop_.unwatch(acceptor_.get_handle());
        acceptor_.close();
    }
}

void tcp_listener::limit(std::function<int(int most)> room, int backlog)
{
    room_ = std::move(room);
    backlog_ = backlog;
}

void tcp_listener::resume()
{
    if (open_ && paused_) {
        // It was watched before, so its place in the reactor is still there.
        paused_ = !loop_.watch(acceptor_.get_handle(), *this, {true, false});
    }
}

void tcp_listener::on_readable()
{
    const int room = room_ ? room_(max_accepts_per_event) : max_accepts_per_event;
    if (room > 0) {
        accept(room);
    } else {
        paused_ = loop_.watch(acceptor_.get_handle(), *this, {false, false});
    }
}

void tcp_listener::accept(int max_count)
{
    for (int i = 0; i < max_count && open_; ++i) {
        const auto descriptor = ACE_OS::accept(acceptor_.get_handle(), nullptr, nullptr);
        if (descriptor < 0) {
            return;
        }
        ACE_SOCK_Stream socket{descriptor};
        socket.enable(ACE_NONBLOCK);
        handler_(descriptor);
    }
}

} // namespace jujubevalve
