#include "http/http_server.h"

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cctype>
#include <cstring>
#include <microhttpd.h>
#include <netinet/in.h>
#include <stdexcept>
#include <unistd.h>
#include <utility>

namespace jujubevalve
{

namespace
{
constexpr std::size_t stream_block_bytes = 16 * 1024;

// State of one request, from its head to its completion.
struct request_state {
    http_request request;
    bool response_queued{false};
    std::function<void()> on_closed; // of the response
};

// State of one streamed response. libmicrohttpd owns it and calls free_stream().
struct response_stream {
    stream_source next;
    std::string pending;
    std::size_t offset{0};
};

sockaddr_in parse_address(const std::string& text)
{
    const auto colon = text.rfind(':');
    sockaddr_in address{};
    address.sin_family = AF_INET;
    const auto host = text.substr(0, colon);
    if (colon == std::string::npos || inet_pton(AF_INET, host.c_str(), &address.sin_addr) != 1) {
        throw std::runtime_error("cannot listen on \"" + text + "\": not an ip:port address");
    }
    address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
    return address;
}

std::string lower_case(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

MHD_Result add_header(void* target, MHD_ValueKind /*kind*/, const char* name, const char* value)
{
    auto& headers = *static_cast<http_headers*>(target);
    headers.insert_or_assign(lower_case(name), value == nullptr ? "" : value);
    return MHD_YES;
}

MHD_Result add_query(void* target, MHD_ValueKind /*kind*/, const char* name, const char* value)
{
    auto& query = *static_cast<std::map<std::string, std::string, std::less<>>*>(target);
    query.insert_or_assign(name, value == nullptr ? "" : value);
    return MHD_YES;
}

ssize_t read_stream(void* context, std::uint64_t /*position*/, char* buffer, std::size_t size)
{
    auto& stream = *static_cast<response_stream*>(context);
    while (stream.offset == stream.pending.size()) {
        stream.pending.clear();
        stream.offset = 0;
        switch (stream.next(stream.pending)) {
        case stream_step::data:
            break;
        case stream_step::end:
            return MHD_CONTENT_READER_END_OF_STREAM;
        case stream_step::cut:
            return MHD_CONTENT_READER_END_WITH_ERROR;
        }
    }
    const auto count = std::min(size, stream.pending.size() - stream.offset);
    std::memcpy(buffer, stream.pending.data() + stream.offset, count);
    stream.offset += count;
    return static_cast<ssize_t>(count);
}

void free_stream(void* context)
{
    const std::unique_ptr<response_stream> stream{static_cast<response_stream*>(context)};
}

MHD_Response* make_response(http_response& response)
{
    if (!response.stream) {
        return MHD_create_response_from_buffer(response.body.size(), response.body.data(),
                                               MHD_RESPMEM_MUST_COPY);
    }
    auto stream = std::make_unique<response_stream>();
    stream->next = std::move(response.stream);
    return MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, stream_block_bytes, &read_stream,
                                             stream.release(), &free_stream);
}

MHD_Result send(MHD_Connection* connection, http_response response)
{
    MHD_Response* const message = make_response(response);
    for (const auto& [name, value] : response.headers) {
        MHD_add_response_header(message, name.c_str(), value.c_str());
    }
    const auto queued =
        MHD_queue_response(connection, static_cast<unsigned>(response.status), message);
    MHD_destroy_response(message);
    return queued;
}
} // namespace

class http_server::impl
{
public:
    impl(const http_server_options& options, handler handle)
        : max_body_{options.max_body_bytes}
        , handle_{std::move(handle)}
        , listen_address_{parse_address(options.address)}
    {
        constexpr unsigned flags = MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION |
                                   MHD_USE_POLL | MHD_USE_ITC;
        const auto timeout =
            static_cast<unsigned>(std::max<std::int64_t>(1, options.idle_timeout.count() / 1000));
        daemon_ = MHD_start_daemon(
            flags, 0, nullptr, nullptr, &impl::on_request, this, MHD_OPTION_SOCK_ADDR,
            &listen_address_, MHD_OPTION_CONNECTION_LIMIT, options.max_connections,
            MHD_OPTION_CONNECTION_TIMEOUT, timeout, MHD_OPTION_NOTIFY_COMPLETED,
            &impl::on_completed, this, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
        if (daemon_ == nullptr) {
            throw std::runtime_error("cannot listen on " + options.address);
        }
        const auto* const info = MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_BIND_PORT);
        const auto host = options.address.substr(0, options.address.rfind(':'));
        bound_address_ = host + ":" + std::to_string(info->port);
    }

    ~impl() { stop(); }
    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    [[nodiscard]] const std::string& address() const { return bound_address_; }
    [[nodiscard]] std::int64_t unanswered() const { return unanswered_; }

    void stop_listening()
    {
        if (daemon_ == nullptr || !listening_) {
            return;
        }
        listening_ = false;
        const auto socket = MHD_quiesce_daemon(daemon_);
        if (socket != MHD_INVALID_SOCKET) {
            ::close(socket);
        }
    }

    void stop()
    {
        if (daemon_ != nullptr) {
            MHD_stop_daemon(std::exchange(daemon_, nullptr));
        }
    }

private:
    static MHD_Result on_request(void* self, MHD_Connection* connection, const char* url,
                                 const char* method, const char* /*version*/, const char* data,
                                 std::size_t* size, void** state)
    {
        return static_cast<impl*>(self)->receive(connection, url, method, {data, *size}, size,
                                                 state);
    }

    static void on_completed(void* self, MHD_Connection* /*connection*/, void** state,
                             MHD_RequestTerminationCode /*code*/)
    {
        const std::unique_ptr<request_state> finished{static_cast<request_state*>(*state)};
        *state = nullptr;
        if (finished && !finished->response_queued) {
            --static_cast<impl*>(self)->unanswered_;
        }
        if (finished && finished->on_closed) {
            finished->on_closed();
        }
    }

    MHD_Result receive(MHD_Connection* connection, const char* url, const char* method,
                       std::string_view data, std::size_t* size, void** state)
    {
        if (*state == nullptr) {
            auto new_request = std::make_unique<request_state>();
            new_request->request.method = method;
            new_request->request.path = url;
            *state = new_request.release();
            ++unanswered_;
            return MHD_YES;
        }
        auto& pending = *static_cast<request_state*>(*state);
        if (!data.empty()) {
            append_body(pending.request, data);
            *size = 0;
            return MHD_YES;
        }
        if (pending.response_queued) {
            return MHD_YES;
        }
        pending.response_queued = true;
        MHD_get_connection_values(connection, MHD_HEADER_KIND, &add_header,
                                  &pending.request.headers);
        MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &add_query,
                                  &pending.request.query);
        auto response = handle_(pending.request);
        pending.on_closed = std::move(response.on_closed);
        const auto queued = send(connection, std::move(response));
        --unanswered_;
        return queued;
    }

    void append_body(http_request& request, std::string_view data) const
    {
        if (request.body_too_large || request.body.size() + data.size() > max_body_) {
            request.body_too_large = true;
            request.body.clear();
            return;
        }
        request.body += data;
    }

    std::size_t max_body_;
    handler handle_;
    std::atomic<std::int64_t> unanswered_{0};
    sockaddr_in listen_address_;
    std::string bound_address_;
    MHD_Daemon* daemon_{nullptr};
    bool listening_{true};
};

http_server::http_server(const http_server_options& options, handler handle)
    : impl_{std::make_unique<impl>(options, std::move(handle))}
{
}

http_server::~http_server() = default;

std::string http_server::address() const
{
    return impl_->address();
}

std::int64_t http_server::unanswered() const
{
    return impl_->unanswered();
}

void http_server::stop_listening()
{
    impl_->stop_listening();
}

void http_server::stop()
{
    impl_->stop();
}

} // namespace jujubevalve
