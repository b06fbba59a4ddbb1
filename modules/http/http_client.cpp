#include "http/http_client.h"

#include <algorithm>
#include <cctype>
#include <curl/curl.h>
#include <mutex>
#include <vector>

namespace jujubevalve
{

namespace
{
struct handle_deleter {
    void operator()(CURL* handle) const { curl_easy_cleanup(handle); }
};
using handle_ptr = std::unique_ptr<CURL, handle_deleter>;

struct list_deleter {
    void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};
using list_ptr = std::unique_ptr<curl_slist, list_deleter>;

// One running exchange, seen from curl's callbacks.
struct exchange {
    const http_call& call;
    http_reply& reply;
    CURL* handle{nullptr};
    curl_off_t last_received{0};
    std::int64_t last_change_us{0};
    bool idle{false};
};

std::size_t write_body(char* data, std::size_t size, std::size_t count, void* context)
{
    auto& running = *static_cast<exchange*>(context);
    const std::string_view bytes{data, size * count};
    long status = 0;
    curl_easy_getinfo(running.handle, CURLINFO_RESPONSE_CODE, &status);
    if (running.call.on_data && status >= 200 && status < 300) {
        return running.call.on_data(bytes) ? bytes.size() : 0;
    }
    running.reply.body += bytes;
    return bytes.size();
}

std::size_t write_header(char* data, std::size_t size, std::size_t count, void* context)
{
    auto& running = *static_cast<exchange*>(context);
    const std::string_view line{data, size * count};
    const auto colon = line.find(':');
    if (colon != std::string_view::npos) {
        std::string name{line.substr(0, colon)};
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        const auto first = line.find_first_not_of(' ', colon + 1);
        const auto last = line.find_last_not_of("\r\n");
        running.reply.headers[name] = first == std::string_view::npos || last < first
                                          ? std::string{}
                                          : std::string{line.substr(first, last - first + 1)};
    }
    return line.size();
}

int check_idle(void* context, curl_off_t /*total*/, curl_off_t received, curl_off_t /*up_total*/,
               curl_off_t /*uploaded*/)
{
    auto& running = *static_cast<exchange*>(context);
    curl_off_t now_us = 0;
    curl_easy_getinfo(running.handle, CURLINFO_TOTAL_TIME_T, &now_us);
    if (received != running.last_received) {
        running.last_received = received;
        running.last_change_us = now_us;
    }
    running.idle = now_us - running.last_change_us > running.call.idle_timeout.count() * 1000;
    return running.idle ? 1 : 0;
}

list_ptr make_headers(const http_headers& headers)
{
    list_ptr list;
    const auto append = [&list](const std::string& line) {
        list.reset(curl_slist_append(list.release(), line.c_str()));
    };
    // Without this, curl waits up to a second for "100 Continue" before it sends a body.
    append("Expect:");
    for (const auto& [name, value] : headers) {
        append(name + ": " + value);
    }
    return list;
}

void set_options(CURL* handle, exchange& running, const curl_slist* headers)
{
    const auto& call = running.call;
    curl_easy_reset(handle);
    curl_easy_setopt(handle, CURLOPT_URL, call.url.c_str());
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, call.method.c_str());
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(call.connect_timeout.count()));
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(call.timeout.count()));
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &write_body);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &running);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &write_header);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, &running);
    if (call.send_once) {
        curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, 1L);
    }
    if (call.idle_timeout > time_ms{0}) {
        curl_easy_setopt(handle, CURLOPT_NOPROGRESS, 0L);
        curl_easy_setopt(handle, CURLOPT_XFERINFOFUNCTION, &check_idle);
        curl_easy_setopt(handle, CURLOPT_XFERINFODATA, &running);
    }
    if (!call.body.empty() || call.method == "POST" || call.method == "PUT") {
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, call.body.data());
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(call.body.size()));
    }
}

// curl sends a request a second time if a kept connection closes before the first byte of the
// answer; a refusal of the second connection then says nothing about the first.
http_error classify(CURLcode code, CURL* handle, bool kept_connection)
{
    if (kept_connection) {
        return http_error::answer_lost;
    }
    if (code == CURLE_COULDNT_CONNECT || code == CURLE_URL_MALFORMAT ||
        code == CURLE_UNSUPPORTED_PROTOCOL) {
        return http_error::not_delivered;
    }
    // A time-out before the connection stood: nothing can have been sent.
    curl_off_t connect_us = 0;
    long request_bytes = 0;
    curl_easy_getinfo(handle, CURLINFO_CONNECT_TIME_T, &connect_us);
    curl_easy_getinfo(handle, CURLINFO_REQUEST_SIZE, &request_bytes);
    const bool sent_nothing =
        code == CURLE_OPERATION_TIMEDOUT && connect_us == 0 && request_bytes == 0;
    return sent_nothing ? http_error::not_delivered : http_error::answer_lost;
}
} // namespace

class http_client::impl
{
public:
    // A handle that may hold a kept connection, or null.
    handle_ptr take_idle()
    {
        const std::lock_guard lock{mutex_};
        if (idle_.empty()) {
            return nullptr;
        }
        auto handle = std::move(idle_.back());
        idle_.pop_back();
        return handle;
    }

    void give_back(handle_ptr handle)
    {
        const std::lock_guard lock{mutex_};
        idle_.push_back(std::move(handle));
    }

private:
    std::mutex mutex_;
    std::vector<handle_ptr> idle_;
};

http_client::http_client()
    : impl_{std::make_unique<impl>()}
{
    static std::once_flag once;
    std::call_once(once, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
}

http_client::~http_client() = default;

http_reply http_client::perform(const http_call& call)
{
    http_reply reply;
    auto handle = impl_->take_idle();
    const bool kept_connection = handle != nullptr && !call.send_once;
    if (handle == nullptr) {
        handle.reset(curl_easy_init());
    }
    exchange running{call, reply, handle.get()};
    const auto headers = make_headers(call.headers);
    set_options(handle.get(), running, headers.get());
    const auto code = curl_easy_perform(handle.get());
    if (code != CURLE_OK) {
        // The handle's connection is in an unknown state; the next call starts a new one.
        reply.error = classify(code, handle.get(), kept_connection);
        return reply;
    }
    long status = 0;
    curl_easy_getinfo(handle.get(), CURLINFO_RESPONSE_CODE, &status);
    reply.status = static_cast<int>(status);
    impl_->give_back(std::move(handle));
    return reply;
}

} // namespace jujubevalve
