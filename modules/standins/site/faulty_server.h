#pragma once

#include "standins/site/raw_server.h"
#include "standins/site/run_tracker.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>

namespace jujubevalve::site
{

/// A backend server with faults on the wire: it sends answers twice, the second time late, breaks
/// off or goes silent inside a stream, begins streams late, and answers with errors instead of
/// going on with one.
class faulty_server
{
public:
    faulty_server(std::string id, run_tracker& tracker, std::uint64_t seed);
    ~faulty_server();
    faulty_server(const faulty_server&) = delete;
    faulty_server& operator=(const faulty_server&) = delete;

    [[nodiscard]] const std::string& id() const { return id_; }
    [[nodiscard]] const std::string& address() const { return server_->address(); }

    /// Fault rates, in requests per thousand.
    std::atomic<int> repeat{0};    ///< the answer is sent once more, at another moment
    std::atomic<int> refuse{0};    ///< refused without running
    std::atomic<int> fail{0};      ///< signed errors, also where a stream should go on
    std::atomic<int> break_off{0}; ///< streams that end inside an event, in order or with a reset
    std::atomic<int> stall{0};     ///< streams that stop without an end of the connection
    /// Streams that begin to run long before the first event. If the caller leaves meanwhile, the
    /// connection closes in order without a byte.
    std::atomic<int> slow_start{0};
    std::atomic<int> work_ms{5}; ///< duration of a plain call, and interval between events

private:
    enum class framing { length, chunks, close };

    void handle(const raw_connection& connection, const raw_request& request);
    void send_stream(const raw_connection& connection, const raw_request& request);
    void send_whole(const raw_connection& connection, const std::string& status,
                    const std::string& headers, const std::string& body);
    /// Sends an answer with, at times, a second copy of it or of the one before.
    void send_repeated(const raw_connection& connection, const std::string& answer);
    [[nodiscard]] int draw(int low, int high);
    [[nodiscard]] bool happens(int thousandths) { return draw(0, 999) < thousandths; }

    std::string id_;
    run_tracker& tracker_;
    std::mutex mutex_;
    std::minstd_rand random_;
    std::map<const raw_connection*, std::string> late_copies_; ///< due before the next answer
    std::unique_ptr<raw_server> server_;
};

} // namespace jujubevalve::site
