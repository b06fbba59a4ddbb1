#pragma once

#include "core/time_ms.h"
#include "http/http_server.h"
#include "standins/site/run_tracker.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

namespace jujubevalve::site
{

/// Tokens in each event of a server_standin.
inline constexpr token_count tokens_per_event = 3;

/// A backend server: responds to plain calls, and to generation requests with event streams.
class server_standin
{
public:
    server_standin(std::string id, run_tracker& tracker, std::uint64_t seed);
    ~server_standin();
    server_standin(const server_standin&) = delete;
    server_standin& operator=(const server_standin&) = delete;

    [[nodiscard]] const std::string& id() const { return id_; }
    [[nodiscard]] std::string address() const { return server_->address(); }

    /// Number of requests received so far, also of those that it refused.
    [[nodiscard]] int requests() const { return requests_; }

    /// Fault rates, in requests per thousand.
    std::atomic<int> refuse{0};      ///< refused without running
    std::atomic<int> fail{0};        ///< fail with a signed error
    std::atomic<int> lose_answer{0}; ///< run, but the connection closes without a response
    std::atomic<int> late_loss{0};   ///< streams that do so late, when callers may have left
    std::atomic<int> cut_stream{0};  ///< cut inside an event
    std::atomic<int> skip_event{0};  ///< leave out an event that follows others at once
    std::atomic<int> endless{0};     ///< run, but send bytes without end instead of a response
    std::atomic<int> work_ms{5};     ///< duration of a plain call, and interval between events

    /// Requests in a thousand seconds that it names as its limit for all instances; 0: names none.
    std::atomic<int> limit_per_1000_s{0};
    /// Arrivals of requests since the last call of this function.
    std::vector<time_ms> take_arrivals();

    /// Says in all answers that it leaves. Every answer names the server and its start.
    std::atomic<bool> is_leaving{false};
    /// Number of its start, see site_server.
    std::atomic<std::int64_t> start{1};
    /// Called with the id of each request that arrives, and the server and start it arrives at.
    std::function<void(const std::string& id, const std::string& at)> on_arrival;

    /// Shared prompt block whose requests crash the server when their answer begins; 0: none.
    std::atomic<std::uint64_t> crash_block{0};
    /// Crashes at all requests if 1000, else at that many of a thousand.
    std::atomic<int> crash_share{1000};
    /// Number of the account whose requests to crash_path, without a body or with crash_body, crash
    /// the server when they begin to run; 0: none, all_accounts: any.
    std::atomic<int> crash_account{0};
    static constexpr int all_accounts = -1;
    static constexpr const char* crash_path = "/crash";
    static constexpr const char* crash_body = "the same body";
    /// Called at the arrival of a request that crashes the server. `what`: the same for requests
    /// that come again; "block" for those with the block.
    std::function<void(const std::string& what)> on_crashing_request;
    /// Ends the process that this server stands for. Set it before the first request.
    std::function<void(const std::string& what)> crash;

private:
    http_response handle(const http_request& request);
    http_response answer(const http_request& request);
    http_response stream(const http_request& request, const std::string& id);
    [[nodiscard]] bool draw(int thousandths);
    [[nodiscard]] bool has_crash_block(const http_request& request) const;
    [[nodiscard]] bool has_crash_path(const http_request& request) const;

    std::string id_;
    run_tracker& tracker_;
    std::atomic<int> requests_{0};
    std::mutex mutex_;
    std::minstd_rand random_;
    std::vector<time_ms> arrivals_;
    std::unique_ptr<http_server> server_;
};

} // namespace jujubevalve::site
