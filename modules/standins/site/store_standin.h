#pragma once

#include "http/http_server.h"
#include "standins/site/row_store.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <random>
#include <string>

namespace jujubevalve::site
{

/// The users' store on loopback, with its faults.
class store_standin
{
public:
    explicit store_standin(std::uint64_t seed = 1);
    ~store_standin();
    store_standin(const store_standin&) = delete;
    store_standin& operator=(const store_standin&) = delete;

    [[nodiscard]] std::string address() const { return server_->address(); }
    [[nodiscard]] row_store& rows() { return rows_; }

    /// Answers every call with this status without doing it; 0: works.
    std::atomic<int> refuse_with{0};
    /// Part of the writes, in thousandths, that are done while their answer is lost.
    std::atomic<int> lose_answers{0};
    /// Added to each answer.
    std::atomic<int> delay_ms{0};

private:
    http_response handle(const http_request& request);
    [[nodiscard]] bool draw(int thousandths);

    row_store rows_;
    std::mutex mutex_;
    std::minstd_rand random_;
    std::unique_ptr<http_server> server_;
};

} // namespace jujubevalve::site
