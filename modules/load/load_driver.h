#pragma once

#include "load/load_account.h"
#include "load/load_request.h"
#include "load/load_stats.h"

#include <memory>
#include <ostream>
#include <string>
#include <vector>

namespace jujubevalve
{

/// Settings of a load_driver.
struct load_options {
    std::vector<std::string> routers; ///< bootstrap addresses, ip:port
    std::vector<load_account> accounts;
    load_mix mix;
    std::int64_t requests{100};
    time_ms duration{30'000}; ///< no request starts later than this
    int concurrency{4};
    double rate{0}; ///< requests started per second, 0 for no limit
    std::uint64_t seed{1};
    time_ms attempt_timeout{60'000};
    time_ms idle_timeout{10'000}; ///< a stream that is silent for this long is lost
    time_ms max_retry_after{10'000};
    attempt_limits limits;
};

/// Simulates callers of the fleet, which look up addresses, retry as `attempt_policy` decides and
/// check every answer.
class load_driver
{
public:
    /// Writes a JSON line for each request to `records` if it is set; it must outlive the driver.
    explicit load_driver(load_options options, std::ostream* records = nullptr);
    ~load_driver();
    load_driver(const load_driver&) = delete;
    load_driver& operator=(const load_driver&) = delete;

    /// Sends the requests and blocks until all have ended.
    void run();

    /// Returns the counts and latencies so far.
    [[nodiscard]] const load_stats& stats() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace jujubevalve
