#include "standins/site/kept_caller.h"

#include "core/clock.h"
#include "net/socket_address.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace jujubevalve::site
{

namespace
{
constexpr std::size_t max_head_bytes = 64 * 1024;
constexpr time_ms time_limit{4000};
/// An answer must have come by then.
constexpr time_ms answer_limit{6500};
/// A request that the close of its connection crosses is not lost if the close comes this soon.
constexpr time_ms crossing_time{200};
constexpr std::size_t max_report_bytes = 600;

void pause(int ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds{ms});
}

time_ms now()
{
    return steady_clock_ms{}.now();
}

bool send_all(int descriptor, std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto sent = ::send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

/// A descriptor that is closed at the end of its scope.
class socket_handle
{
public:
    explicit socket_handle(const std::string& address)
        : descriptor_{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)}
    {
        const auto remote = to_inet_address(address);
        if (!remote || ::connect(descriptor_, static_cast<const sockaddr*>(remote->get_addr()),
                                 static_cast<socklen_t>(remote->get_size())) != 0) {
            ::close(std::exchange(descriptor_, -1));
        }
    }
    ~socket_handle()
    {
        if (descriptor_ >= 0) {
            ::close(descriptor_);
        }
    }
    socket_handle(const socket_handle&) = delete;
    socket_handle& operator=(const socket_handle&) = delete;

    [[nodiscard]] int get() const { return descriptor_; }

private:
    int descriptor_;
};
} // namespace

kept_caller::kept_caller(site_caller& record, kept_caller_options options, std::uint64_t seed)
    : record_{record}
    , options_{options}
    , random_{static_cast<std::minstd_rand::result_type>(seed)}
    , reader_{http_reader::kind::responses, max_head_bytes, *this}
{
}

int kept_caller::draw(int low, int high)
{
    return std::uniform_int_distribution<int>{low, high}(random_);
}

bool kept_caller::send_request(int descriptor, const std::string& id, site_call kind)
{
    const bool has_body = kind != site_call::stock;
    const std::string body = has_body ? "body of " + id : "";
    const bool is_chunked = has_body && http_1_1_ && draw(0, 1) == 0;
    const auto limit =
        happens(options_.short_limits) ? draw(20, 300) : static_cast<int>(time_limit.count());
    std::string head = std::string{has_body ? "POST " : "GET "} + path_of(kind) + " HTTP/1." +
                       (http_1_1_ ? "1" : "0") + "\r\nHost: " + site::host +
                       "\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: " + std::to_string(limit) +
                       "\r\nX-Key: key-1\r\n";
    if (is_stream(kind)) {
        head += "X-Model: m\r\nX-Token-Usage: 500," +
                std::to_string(event_count(id) * tokens_per_event) +
                "\r\nX-Prefix-Hash: a1:300,b1:100,c1:100\r\n";
    }
    if (!is_chunked) {
        head += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
        return send_all(descriptor, head + body);
    }
    head += "Transfer-Encoding: chunked\r\n\r\n";
    if (!send_all(descriptor, head)) {
        return false;
    }
    for (const char byte : body) {
        if (draw(0, 9) == 0) {
            pause(1);
        }
        if (!send_all(descriptor, std::string{"1\r\n"} + byte + "\r\n")) {
            return false;
        }
    }
    return send_all(descriptor, "0\r\n\r\n");
}

kept_caller::outcome kept_caller::read_answer(int descriptor, time_ms limit)
{
    std::array<char, 16 * 1024> bytes{};
    const auto deadline = now() + limit;
    while (true) {
        pollfd wait{descriptor, POLLIN, 0};
        const auto left = std::max<std::int64_t>(0, (deadline - now()).count());
        if (::poll(&wait, 1, static_cast<int>(left)) <= 0) {
            return outcome::left;
        }
        const auto count = ::recv(descriptor, bytes.data(), bytes.size(), 0);
        if (count < 0) {
            return outcome::incomplete;
        }
        if (count == 0) {
            if (head_.status != 0 && head_.close_delimited) {
                reader_.feed_end();
            }
            return reader_.state() == read_state::message_ended ? outcome::answered
                                                                : outcome::incomplete;
        }
        const std::string_view arrived{bytes.data(), static_cast<std::size_t>(count)};
        received_.append(arrived);
        const auto consumed = reader_.feed(arrived);
        if (reader_.state() == read_state::message_ended) {
            return consumed == arrived.size() ? outcome::answered : outcome::malformed;
        }
        if (reader_.state() != read_state::reading) {
            return outcome::malformed;
        }
    }
}

bool kept_caller::has_stray_bytes(int descriptor)
{
    pollfd wait{descriptor, POLLIN, 0};
    char byte = 0;
    return ::poll(&wait, 1, draw(0, 30)) > 0 &&
           ::recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

void kept_caller::check(const std::string& id, site_call kind, outcome how)
{
    const auto violate = [&](const std::string& what) {
        const auto shown = std::min(received_.size(), max_report_bytes);
        record_.violate(id + (http_1_1_ ? ": " : " (HTTP/1.0): ") + what + ": " +
                        received_.substr(received_.size() - shown));
    };
    if (how == outcome::malformed) {
        violate("bytes that are no answer");
    }
    if (how != outcome::answered) {
        return;
    }
    const bool is_success = head_.status / 100 == 2;
    const auto signature = head_.headers.get("X-Server-Signature");
    const auto answered_id = head_.headers.get("X-Request-Id");
    if (!answered_id.empty() && answered_id != id) {
        violate("the answer to another request");
    }
    if (is_success && (signature != signature_of(id) || body_ != whole_answer(id, kind))) {
        violate("a success that is not the server's whole answer");
    }
}

void kept_caller::run_connection(const std::string& gateway)
{
    const socket_handle connection{gateway};
    if (connection.get() < 0) {
        return;
    }
    http_1_1_ = !happens(options_.http_1_0);
    received_.clear();
    for (int i = 0; i < options_.requests; ++i) {
        const auto id = record_.next_id();
        const auto kind = static_cast<site_call>(draw(0, 3));
        head_ = {};
        body_.clear();
        reader_.next();
        const auto answered_bytes = received_.size();
        record_.note_sent(id, gateway);
        const bool is_sent = send_request(connection.get(), id, kind);
        const auto sent_at = now();
        const bool leaves = happens(options_.leaves);
        const auto how =
            read_answer(connection.get(), leaves ? time_ms{draw(0, 80)} : answer_limit);
        check(id, kind, how);
        record_.note_leaving(id, head_.headers.get("Server-Leaving"),
                             head_.headers.get("X-Instance-Id"));
        const bool is_complete = how == outcome::answered;
        record_.record(id, kind, is_complete ? head_.status : 0,
                       is_complete && head_.status / 100 == 2);
        if (options_.expects_all && how == outcome::incomplete && is_sent &&
            (received_.size() > answered_bytes || now() - sent_at > crossing_time)) {
            record_.violate(id + ": lost, " + std::to_string((now() - sent_at).count()) +
                            " ms after it was sent, with " +
                            std::to_string(received_.size() - answered_bytes) + " bytes");
        }
        if (!is_complete || !head_.keep_alive || head_.close_delimited) {
            return;
        }
        if (has_stray_bytes(connection.get())) {
            record_.violate(id + ": bytes behind its answer, with no request waiting");
            return;
        }
    }
}

} // namespace jujubevalve::site
