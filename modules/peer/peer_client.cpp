#include "peer/peer_client.h"

#include "core/clock.h"
#include "peer/client_link.h"
#include "peer/message_codec.h"

#include <algorithm>
#include <chrono>
#include <fmt/format.h>
#include <map>

namespace jujubevalve
{

namespace
{
namespace protocol = apache::thrift::protocol;

std::chrono::milliseconds time_until(time_ms deadline)
{
    const auto remaining_ms = (deadline - steady_clock_ms{}.now()).count();
    return std::chrono::milliseconds{std::max<std::int64_t>(0, remaining_ms)};
}

failure unreachable(std::string_view address, std::string_view what)
{
    return {result_code::peer_unreachable, fmt::format("peer {}: {}", address, what)};
}
} // namespace

class peer_client::impl
{
public:
    impl(peer_options options, counters& counts)
        : options_{std::move(options)}
        , counts_{counts}
        , traffic_{counts}
        , loop_{[] {}}
    {
    }

    ~impl()
    {
        const std::lock_guard lock{mutex_};
        for (const auto& [address, slot] : slots_) {
            const std::lock_guard slot_lock{slot->mutex};
            if (slot->link) {
                slot->link->close();
            }
        }
    }

    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    template <class Request>
    auto call(const std::string& address, const Request& request, time_ms timeout)
    {
        using traits = message_traits<Request>;
        peer_result<typename traits::reply> outcome;
        const auto deadline = steady_clock_ms{}.now() + timeout;
        const auto id = next_call_id();
        const auto link = get_or_open_link(address, deadline);
        if (!link) {
            outcome.error = link.error();
            ++counts_.at("peer_calls_not_delivered");
            return outcome;
        }
        auto future = (*link)->register_call(id);
        const auto payload = encode(traits::name, protocol::T_CALL, id, request);
        const auto sent = (*link)->send(traits::name, payload, deadline);
        if (!sent) {
            (*link)->abandon_call(id);
            outcome.error = {sent.error().code,
                             fmt::format("peer {}: {}", address, sent.error().message)};
            ++counts_.at("peer_calls_not_delivered");
            return outcome;
        }
        outcome.delivery = peer_delivery::answer_lost;
        if (future.wait_for(time_until(deadline)) != std::future_status::ready) {
            (*link)->abandon_call(id);
            outcome.error = unreachable(address, fmt::format("no answer to {} within {} ms",
                                                             traits::name, timeout.count()));
            ++counts_.at("peer_call_timeouts");
            return outcome;
        }
        read_answer(future.get(), address, outcome);
        return outcome;
    }

private:
    // State shared by all calls to one address.
    struct slot {
        std::timed_mutex connect_mutex; ///< held during a connection attempt
        std::mutex mutex;               ///< guards the members below
        std::shared_ptr<client_link> link;
        std::int64_t failed_attempts{0};
        failure last_failure;
    };
    using link_pointer = std::shared_ptr<client_link>;

    std::int32_t next_call_id() { return ++last_call_id_; }

    std::shared_ptr<slot> find_or_add_slot(const std::string& address)
    {
        const std::lock_guard lock{mutex_};
        auto& found = slots_[address];
        if (!found) {
            found = std::make_shared<slot>();
        }
        return found;
    }

    result<link_pointer> get_or_open_link(const std::string& address, time_ms deadline)
    {
        const auto target = find_or_add_slot(address);
        std::int64_t failed_before = 0;
        {
            const std::lock_guard lock{target->mutex};
            if (target->link && target->link->usable()) {
                return target->link;
            }
            failed_before = target->failed_attempts;
        }
        const std::unique_lock connecting{target->connect_mutex, time_until(deadline)};
        if (!connecting.owns_lock()) {
            return unreachable(address, "another call is still connecting");
        }
        {
            const std::lock_guard lock{target->mutex};
            if (target->link && target->link->usable()) {
                return target->link;
            }
            // If an attempt failed while this call waited for it, this call fails too, without a
            // retry.
            if (target->failed_attempts > failed_before) {
                return target->last_failure;
            }
        }
        return connect(address, *target, deadline);
    }

    result<link_pointer> connect(const std::string& address, slot& target, time_ms deadline)
    {
        auto link = std::make_shared<client_link>(options_, counts_, traffic_, loop_);
        const auto hello_deadline =
            std::min(deadline, steady_clock_ms{}.now() + options_.hello_timeout);
        const auto opened = open(*link, address, hello_deadline);
        const std::lock_guard lock{target.mutex};
        if (!opened) {
            ++target.failed_attempts;
            target.last_failure = opened.error();
            return opened.error();
        }
        ++counts_.at("peer_connections_opened");
        target.link = link;
        return link;
    }

    status open(client_link& link, const std::string& address, time_ms deadline)
    {
        try {
            return link.open(address, deadline);
        } catch (const apache::thrift::TException&) {
            ++counts_.at("peer_malformed_frames");
            return unreachable(address, "its hello is malformed");
        }
    }

    template <class Reply>
    void read_answer(const client_link::answer& payload, const std::string& address,
                     peer_result<Reply>& outcome)
    {
        if (!payload) {
            outcome.error = unreachable(address, "the connection was lost before the answer");
            ++counts_.at("peer_answers_lost");
            return;
        }
        try {
            message_reader reader{*payload};
            if (reader.type() != protocol::T_REPLY) {
                outcome.error = unreachable(address, "it could not handle the message");
                return;
            }
            outcome.value = reader.body<Reply>();
            outcome.delivery = peer_delivery::answered;
        } catch (const apache::thrift::TException& error) {
            ++counts_.at("peer_malformed_frames");
            outcome.error = unreachable(address, fmt::format("malformed answer: {}", error.what()));
        }
    }

    const peer_options options_;
    counters& counts_;
    traffic_counts traffic_;
    reactor_loop loop_;
    std::atomic<std::int32_t> last_call_id_{0};
    std::mutex mutex_;
    std::map<std::string, std::shared_ptr<slot>> slots_;
};

peer_client::peer_client(const peer_options& options, counters& counts)
    : impl_{std::make_unique<impl>(options, counts)}
{
}

peer_client::~peer_client() = default;

peer_result<wire::gossip> peer_client::call(const std::string& address, const wire::gossip& request,
                                            time_ms timeout)
{
    return impl_->call(address, request, timeout);
}

peer_result<wire::config_reply>
peer_client::call(const std::string& address, const wire::config_request& request, time_ms timeout)
{
    return impl_->call(address, request, timeout);
}

peer_result<wire::forward_reply>
peer_client::call(const std::string& address, const wire::forward_request& request, time_ms timeout)
{
    return impl_->call(address, request, timeout);
}

peer_result<wire::transfer_reply> peer_client::call(const std::string& address,
                                                    const wire::transfer_request& request,
                                                    time_ms timeout)
{
    return impl_->call(address, request, timeout);
}

peer_result<wire::transfer_ack>
peer_client::call(const std::string& address, const wire::transfer_offer& request, time_ms timeout)
{
    return impl_->call(address, request, timeout);
}

peer_result<wire::received_reply>
peer_client::call(const std::string& address, const wire::received_query& request, time_ms timeout)
{
    return impl_->call(address, request, timeout);
}

} // namespace jujubevalve
