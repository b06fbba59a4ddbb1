#pragma once

#include "http/http_server.h"
#include "standins/site/row_store.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <utility>

namespace jujubevalve::site
{

/// Stand-in, on loopback, for the store that users provide, with fault injection.
class store_standin
{
public:
    explicit store_standin(std::uint64_t seed = 1);
    ~store_standin();
    store_standin(const store_standin&) = delete;
    store_standin& operator=(const store_standin&) = delete;

    [[nodiscard]] std::string address() const { return server_->address(); }
    [[nodiscard]] row_store& rows() { return rows_; }

    /// Rejects every call with this HTTP status without running it; 0: off.
    std::atomic<int> refuse_with{0};
    /// Writes per thousand that take effect but whose response is lost.
    std::atomic<int> lose_answers{0};
    /// Delay added to each response.
    std::atomic<int> delay_ms{0};

private:
    http_response handle(const http_request& request);
    [[nodiscard]] bool draw(int thousandths);
    [[nodiscard]] std::pair<std::string, std::string> era_header() const;

    row_store rows_;
    std::mutex mutex_;
    std::minstd_rand random_;
    std::unique_ptr<http_server> server_;
};

} // namespace jujubevalve::site
