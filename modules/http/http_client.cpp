#include "http/http_client.h"

#include <algorithm>
#include <cctype>
#include <curl/curl.h>
#include <malloc.h>
#include <mutex>
#include <vector>

namespace jujubevalve
{

namespace
{
/// Max bytes of the heads of a response, interim ones and trailer fields included.
constexpr std::size_t max_head_bytes = 256 * 1024;

constexpr long first_final_status = 200;
/// Blocks of this size and above go back to the system when they are freed.
constexpr int mmap_threshold_bytes = 256 * 1024;

struct handle_deleter {
    void operator()(CURL* handle) const { curl_easy_cleanup(handle); }
};
using handle_ptr = std::unique_ptr<CURL, handle_deleter>;

struct list_deleter {
    void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};
using list_ptr = std::unique_ptr<curl_slist, list_deleter>;

// State of one request that the callbacks of curl work on.
struct transfer_state {
    const http_call& call;
    http_reply& reply;
    CURL* handle;
    limited_buffer body;
    curl_off_t last_received{0};
    std::int64_t last_progress_us{0};
    bool idle_timed_out{false};
    std::size_t head_bytes{0};
    bool is_head_complete{false};
    bool is_too_long{false};
};

std::size_t write_body(char* data, std::size_t size, std::size_t count, void* context)
{
    auto& transfer = *static_cast<transfer_state*>(context);
    const std::string_view bytes{data, size * count};
    long status = 0;
    curl_easy_getinfo(transfer.handle, CURLINFO_RESPONSE_CODE, &status);
    if (transfer.call.on_data && status >= 200 && status < 300) {
        return transfer.call.on_data(bytes) ? bytes.size() : 0;
    }
    if (!transfer.body.append(bytes)) {
        transfer.is_too_long = true;
        return 0;
    }
    return bytes.size();
}

std::size_t write_header(char* data, std::size_t size, std::size_t count, void* context)
{
    auto& transfer = *static_cast<transfer_state*>(context);
    const std::string_view line{data, size * count};
    transfer.head_bytes += line.size();
    if (transfer.head_bytes > max_head_bytes) {
        transfer.is_too_long = true;
        return 0;
    }
    if (transfer.is_head_complete) {
        return line.size(); // trailer fields are ignored
    }
    if (line.starts_with("HTTP/")) {
        transfer.reply.headers.clear(); // of an interim response
        return line.size();
    }
    if (line == "\r\n" || line == "\n") {
        long status = 0;
        curl_easy_getinfo(transfer.handle, CURLINFO_RESPONSE_CODE, &status);
        transfer.is_head_complete = status >= first_final_status;
        return line.size();
    }
    const auto colon = line.find(':');
    if (colon != std::string_view::npos) {
        std::string name{line.substr(0, colon)};
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        const auto first = line.find_first_not_of(' ', colon + 1);
        const auto last = line.find_last_not_of("\r\n");
        transfer.reply.headers[name] = first == std::string_view::npos || last < first
                                           ? std::string{}
                                           : std::string{line.substr(first, last - first + 1)};
    }
    return line.size();
}

int check_idle(void* context, curl_off_t /*total*/, curl_off_t received, curl_off_t /*up_total*/,
               curl_off_t /*uploaded*/)
{
    auto& transfer = *static_cast<transfer_state*>(context);
    curl_off_t elapsed_us = 0;
    curl_easy_getinfo(transfer.handle, CURLINFO_TOTAL_TIME_T, &elapsed_us);
    if (received != transfer.last_received) {
        transfer.last_received = received;
        transfer.last_progress_us = elapsed_us;
    }
    transfer.idle_timed_out =
        elapsed_us - transfer.last_progress_us > transfer.call.idle_timeout.count() * 1000;
    return transfer.idle_timed_out ? 1 : 0;
}

list_ptr make_headers(const http_headers& headers)
{
    list_ptr list;
    const auto append = [&list](const std::string& line) {
        list.reset(curl_slist_append(list.release(), line.c_str()));
    };
    // Disables "Expect: 100-continue": curl would wait up to 1 s for it before sending a body.
    append("Expect:");
    for (const auto& [name, value] : headers) {
        append(name + ": " + value);
    }
    return list;
}

void set_options(CURL* handle, transfer_state& transfer, const curl_slist* headers)
{
    const auto& call = transfer.call;
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
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &transfer);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &write_header);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, &transfer);
    if (call.send_once) {
        curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, 1L);
    }
    if (call.idle_timeout > time_ms{0}) {
        curl_easy_setopt(handle, CURLOPT_NOPROGRESS, 0L);
        curl_easy_setopt(handle, CURLOPT_XFERINFOFUNCTION, &check_idle);
        curl_easy_setopt(handle, CURLOPT_XFERINFODATA, &transfer);
    }
    if (!call.body.empty() || call.method == "POST" || call.method == "PUT") {
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, call.body.data());
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(call.body.size()));
    }
}

// curl repeats a request by itself if a reused connection closes before the first byte of the
// response. The first attempt may have been delivered even if the second connection is refused.
http_error classify_failure(CURLcode code, CURL* handle, bool may_reuse_connection)
{
    if (may_reuse_connection) {
        return http_error::answer_lost;
    }
    // Bytes that are no answer end with CURLE_UNSUPPORTED_PROTOCOL, too, so the code alone does not
    // tell that nothing was sent.
    curl_off_t connect_us = 0;
    long request_bytes = 0;
    curl_easy_getinfo(handle, CURLINFO_CONNECT_TIME_T, &connect_us);
    curl_easy_getinfo(handle, CURLINFO_REQUEST_SIZE, &request_bytes);
    const bool ended_before_sending =
        code == CURLE_COULDNT_CONNECT || code == CURLE_URL_MALFORMAT ||
        code == CURLE_UNSUPPORTED_PROTOCOL || code == CURLE_OPERATION_TIMEDOUT;
    const bool sent_nothing = ended_before_sending && connect_us == 0 && request_bytes == 0;
    return sent_nothing ? http_error::not_delivered : http_error::answer_lost;
}
} // namespace

class http_client::impl
{
public:
    // Returns an idle handle, which may have an open connection, or null if there is none.
    handle_ptr acquire_handle()
    {
        const std::lock_guard lock{mutex_};
        if (idle_handles_.empty()) {
            return nullptr;
        }
        auto handle = std::move(idle_handles_.back());
        idle_handles_.pop_back();
        return handle;
    }

    void release_handle(handle_ptr handle)
    {
        const std::lock_guard lock{mutex_};
        idle_handles_.push_back(std::move(handle));
    }

private:
    std::mutex mutex_;
    std::vector<handle_ptr> idle_handles_;
};

http_client::http_client()
    : impl_{std::make_unique<impl>()}
{
    static std::once_flag once;
    std::call_once(once, [] {
        curl_global_init(CURL_GLOBAL_DEFAULT);
        // Without a fixed threshold the arena of every thread keeps the memory of the longest
        // response that the thread has received.
        mallopt(M_MMAP_THRESHOLD, mmap_threshold_bytes);
    });
}

http_client::~http_client() = default;

http_reply http_client::perform(const http_call& call)
{
    http_reply reply;
    auto handle = impl_->acquire_handle();
    const bool may_reuse_connection = handle != nullptr && !call.send_once;
    if (handle == nullptr) {
        handle.reset(curl_easy_init());
    }
    buffer_memory own_memory{call.max_body_bytes, call.max_body_bytes};
    transfer_state transfer{
        call,
        reply,
        handle.get(),
        {call.memory != nullptr ? *call.memory : own_memory, call.max_body_bytes}};
    const auto headers = make_headers(call.headers);
    set_options(handle.get(), transfer, headers.get());
    const auto code = curl_easy_perform(handle.get());
    if (code != CURLE_OK) {
        // The connection is in an unknown state, so the handle is destroyed instead of reused.
        reply.error = transfer.is_too_long
                          ? http_error::answer_too_long
                          : classify_failure(code, handle.get(), may_reuse_connection);
        return reply;
    }
    if (!transfer.is_head_complete) {
        // curl reports success if the connection closes inside the head.
        reply.error = http_error::answer_lost;
        return reply;
    }
    long status = 0;
    curl_easy_getinfo(handle.get(), CURLINFO_RESPONSE_CODE, &status);
    reply.status = static_cast<int>(status);
    reply.body = transfer.body.take();
    impl_->release_handle(std::move(handle));
    return reply;
}

} // namespace jujubevalve
