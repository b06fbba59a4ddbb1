#pragma once

#include "http/http_server.h"
#include "standins/site/run_book.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <random>
#include <string>

namespace jujubevalve::site
{

/// Tokens in each event of a server_standin.
inline constexpr token_count tokens_per_event = 3;

/// A backend server of the users: answers plain calls, and generations with event streams.
class server_standin
{
public:
    server_standin(std::string id, run_book& book, std::uint64_t seed);
    ~server_standin();
    server_standin(const server_standin&) = delete;
    server_standin& operator=(const server_standin&) = delete;

    [[nodiscard]] const std::string& id() const { return id_; }
    [[nodiscard]] std::string address() const { return server_->address(); }

    /// Parts of the requests, in thousandths.
    std::atomic<int> refuse{0};      ///< are refused as not run
    std::atomic<int> fail{0};        ///< end with a signed error
    std::atomic<int> lose_answer{0}; ///< run, and the connection ends without the answer
    std::atomic<int> cut_stream{0};  ///< break off inside an event
    std::atomic<int> work_ms{5};     ///< time of a plain call and between events

private:
    http_response handle(const http_request& request);
    http_response stream(const http_request& request, const std::string& id);
    [[nodiscard]] bool draw(int thousandths);

    std::string id_;
    run_book& book_;
    std::mutex mutex_;
    std::minstd_rand random_;
    std::unique_ptr<http_server> server_;
};

} // namespace jujubevalve::site
