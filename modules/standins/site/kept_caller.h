#pragma once

#include "net/http_reader.h"
#include "standins/site/site_caller.h"

#include <cstdint>
#include <random>
#include <string>

namespace jujubevalve::site
{

/// What a kept_caller does besides sending requests and reading their answers.
struct kept_caller_options {
    int requests{8};         ///< on a connection, at most
    int leaves{0};           ///< of a thousand requests, ends the connection before the answer
    int short_limits{0};     ///< of a thousand requests, with a time limit that may end a stream
    int http_1_0{0};         ///< of a thousand connections
    bool expects_all{false}; ///< nothing but a planned stop may end a request without an answer
};

/// A caller that sends many requests on one connection, with bodies in chunks or pieces, and reads
/// strictly what comes: each byte must belong to the answer of the request that waits.
class kept_caller final : private http_reader_listener
{
public:
    kept_caller(site_caller& record, kept_caller_options options, std::uint64_t seed);

    /// Opens a connection to a gateway and sends requests until it ends.
    void run_connection(const std::string& gateway);

private:
    enum class outcome { answered, incomplete, malformed, left };

    void on_head(http_head head) override { head_ = std::move(head); }
    void on_body(std::string_view bytes) override { body_.append(bytes); }
    void on_message_end() override {}

    [[nodiscard]] int draw(int low, int high);
    [[nodiscard]] bool happens(int thousandths) { return draw(0, 999) < thousandths; }
    [[nodiscard]] bool send_request(int descriptor, const std::string& id, site_call kind);
    [[nodiscard]] outcome read_answer(int descriptor, time_ms limit);
    void check(const std::string& id, site_call kind, outcome how);
    [[nodiscard]] bool has_stray_bytes(int descriptor);

    site_caller& record_;
    kept_caller_options options_;
    std::minstd_rand random_;
    http_reader reader_;
    bool http_1_1_{true};
    http_head head_;
    std::string body_;
    std::string received_; ///< on this connection, for reports
};

} // namespace jujubevalve::site
