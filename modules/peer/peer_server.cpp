#include "peer/peer_server.h"

#include "peer/message_codec.h"
#include "peer/server_connection.h"
#include "peer/worker_pool.h"

#include <ace/INET_Addr.h>
#include <ace/SOCK_Acceptor.h>
#include <array>
#include <cstring>
#include <fmt/format.h>
#include <map>
#include <stdexcept>
#include <vector>

namespace jujubevalve
{

namespace
{
namespace protocol = apache::thrift::protocol;

// Control messages have their own threads so that blocking forwarded calls do not delay gossip.
constexpr unsigned control_workers = 2;
} // namespace

class peer_server::impl : private ACE_Event_Handler
{
public:
    impl(peer_options options, peer_handler handler, counters& counts)
        : options_{std::move(options)}
        , handler_{std::move(handler)}
        , counts_{counts}
        , traffic_{counts}
        , acceptor_{listen(options_.address)}
        , address_{address_of(*acceptor_)}
        , loop_{[this] { close_idle(); }}
        , control_pool_{control_workers, options_.max_queued_calls}
        , forward_pool_{options_.workers, options_.max_queued_calls}
    {
        loop_.run([this] {
            loop_.event_reactor().register_handler(this, ACE_Event_Handler::ACCEPT_MASK);
        });
    }

    ~impl() override
    {
        loop_.run([this] {
            loop_.event_reactor().remove_handler(this, ACE_Event_Handler::ACCEPT_MASK |
                                                           ACE_Event_Handler::DONT_CALL);
            reactor(nullptr);
            const auto open = connections_;
            for (const auto& [handle, connection] : open) {
                connection->close();
            }
        });
    }

    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    [[nodiscard]] const std::string& address() const { return address_; }

private:
    struct acceptor_closer {
        void operator()(ACE_SOCK_Acceptor* acceptor) const
        {
            acceptor->close();
            std::default_delete<ACE_SOCK_Acceptor>{}(acceptor);
        }
    };
    using acceptor_pointer = std::unique_ptr<ACE_SOCK_Acceptor, acceptor_closer>;

    // reuse_addr allows the bind while connections of a previous process are in TIME_WAIT. It does
    // not allow a second listener: that takes SO_REUSEPORT, which ACE does not set here.
    static acceptor_pointer listen(const std::string& address)
    {
        acceptor_pointer acceptor{std::make_unique<ACE_SOCK_Acceptor>().release()};
        const ACE_INET_Addr local{address.c_str()};
        constexpr int reuse_addr = 1;
        if (acceptor->open(local, reuse_addr, PF_INET) != 0) {
            throw std::runtime_error(
                fmt::format("cannot listen for peers on {}: {}", address,
                            std::error_code{errno, std::generic_category()}.message()));
        }
        acceptor->enable(ACE_NONBLOCK);
        return acceptor;
    }

    static std::string address_of(const ACE_SOCK_Acceptor& acceptor)
    {
        ACE_INET_Addr bound;
        acceptor.get_local_addr(bound);
        std::array<char, 64> host{};
        bound.get_host_addr(host.data(), static_cast<int>(host.size()));
        return fmt::format("{}:{}", host.data(), bound.get_port_number());
    }

    ACE_HANDLE get_handle() const override { return acceptor_->get_handle(); }

    int handle_input(ACE_HANDLE /*handle*/) override
    {
        ACE_SOCK_Stream stream;
        if (acceptor_->accept(stream) != 0) {
            return 0;
        }
        if (connections_.size() >= options_.max_connections) {
            ++counts_.at("peer_connections_refused");
            stream.close();
            return 0;
        }
        ++counts_.at("peer_connections_accepted");
        const server_connection::context server{
            options_,
            counts_,
            traffic_,
            loop_,
            [this](const auto& connection, const std::string& payload) {
                return dispatch(connection, payload);
            },
            [this](ACE_HANDLE handle) { connections_.erase(handle); }};
        const auto connection = std::make_shared<server_connection>(server, stream);
        if (connection->start()) {
            connections_.emplace(stream.get_handle(), connection);
        }
        return 0;
    }

    void close_idle()
    {
        const auto now = steady_clock_ms{}.now();
        const auto open = connections_;
        for (const auto& [handle, connection] : open) {
            connection->close_if_idle(now);
        }
    }

    bool dispatch(const std::shared_ptr<server_connection>& connection, const std::string& payload)
    {
        const auto reader = std::make_shared<message_reader>(payload);
        traffic_.received(reader->name(), payload.size() + frame_codec::overhead_bytes);
        const bool forward = reader->name() == message_traits<wire::forward_request>::name;
        return (forward ? forward_pool_ : control_pool_)
            .add([this, reader, caller = connection->caller(), target = std::weak_ptr{connection}] {
                auto answer = make_answer(*reader, caller);
                loop_.post([reader, target, answer = std::move(answer)] {
                    if (const auto open = target.lock()) {
                        open->send(reader->name(), answer);
                    }
                });
            });
    }

    // Returns the answer to a message, or a Thrift exception with an empty body if the message has
    // no handler or the handler throws.
    std::string make_answer(message_reader& reader, const peer_caller& caller)
    {
        try {
            std::string answer;
            const bool handled = try_handle(handler_.gossip, reader, caller, answer) ||
                                 try_handle(handler_.config, reader, caller, answer) ||
                                 try_handle(handler_.forward, reader, caller, answer) ||
                                 try_handle(handler_.request_transfer, reader, caller, answer) ||
                                 try_handle(handler_.offer_transfer, reader, caller, answer) ||
                                 try_handle(handler_.query_received, reader, caller, answer);
            if (handled) {
                return answer;
            }
        } catch (const std::exception&) {
            ++counts_.at("peer_handler_failures");
        }
        return encode(reader.name().c_str(), protocol::T_EXCEPTION, reader.call_id(),
                      wire::hello_reply{});
    }

    template <class Request, class Reply>
    static bool try_handle(const std::function<Reply(const Request&, const peer_caller&)>& handle,
                           message_reader& reader, const peer_caller& caller, std::string& answer)
    {
        if (reader.name() != message_traits<Request>::name || !handle) {
            return false;
        }
        const Reply reply = handle(reader.template body<Request>(), caller);
        answer = encode(message_traits<Request>::name, protocol::T_REPLY, reader.call_id(), reply);
        return true;
    }

    peer_options options_;
    peer_handler handler_;
    counters& counts_;
    traffic_counts traffic_;
    acceptor_pointer acceptor_; // declared before its users, so that it is released last
    std::string address_;
    std::map<ACE_HANDLE, std::shared_ptr<server_connection>> connections_;
    reactor_loop loop_;
    worker_pool control_pool_; // declared after the loop, to which running jobs post their answers
    worker_pool forward_pool_;
};

peer_server::peer_server(const peer_options& options, peer_handler handler, counters& counts)
    : impl_{std::make_unique<impl>(options, std::move(handler), counts)}
{
}

peer_server::~peer_server() = default;

std::string peer_server::address() const
{
    return impl_->address();
}

} // namespace jujubevalve
