#pragma once

#include "core/result.h"
#include "core/time_ms.h"

#include <cstdint>
#include <memory>
#include <string>

namespace jujubevalve
{

/// Settings of a service_standin.
struct service_standin_options {
    std::string address{"127.0.0.1:0"}; ///< ip:port; port 0 picks a free port
    std::int64_t slots{16};
    time_ms duration{5};       ///< how long a call runs
    bool deduplicate{false};   ///< answers a known idempotency key without running it again
    bool check_fencing{false}; ///< refuses calls with an outdated fencing token
};

/// Faults injected by a service stand-in. A fault count drops by one each time the fault occurs.
struct service_faults {
    std::int64_t lost_answers{0};  ///< calls that run and whose connection is then cut
    std::int64_t dropped_calls{0}; ///< calls that do not run and whose connection is cut
    std::int64_t silent_calls{0};  ///< calls that run and are never answered
    time_ms delay{0};              ///< added before each call runs
    bool leaving{false};           ///< shown in the load report
    bool cuts_marked{false};       ///< calls for an order `cut-...` run, and are then cut each time

    friend bool operator==(const service_faults&, const service_faults&) = default;
};

/// A plain service with non-idempotent calls for tests and the demo. Protocol:
///
/// - `POST /v1/calls/<kind>` with Idempotency-Key and X-Fencing-Token: runs the call each time it
///   arrives and answers `{kind, answer, run}`.
/// - `GET /v1/load`: `{running, queued, slots, leaving, age_ms}`.
/// - `POST /admin/faults` and `GET /admin/stats`: for tests; the stats have the number of runs by
///   idempotency key (`runs`), by the field `order` of the body (`orders`) and by kind (`calls`).
class service_standin
{
public:
    /// Starts listening. Throws std::runtime_error on failure.
    explicit service_standin(const service_standin_options& options);
    ~service_standin();
    service_standin(const service_standin&) = delete;
    service_standin& operator=(const service_standin&) = delete;

    /// The listening address with the actual port.
    [[nodiscard]] std::string address() const;

    /// Replaces the faults.
    void set_faults(const service_faults& faults);

    /// Number of times the call with this idempotency key ran.
    [[nodiscard]] std::int64_t runs(const std::string& idempotency_key) const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace jujubevalve
