#pragma once

#include "standins/engine_faults.h"
#include "standins/engine_run_tracker.h"

#include <memory>
#include <string>

namespace jujubevalve
{

/// Settings of an engine_standin.
struct engine_standin_options {
    std::string address{"127.0.0.1:0"}; ///< ip:port; port 0 picks a free port
    engine_speed speed;
    time_ms load_lag{500};     ///< age of the load report
    time_ms heartbeat{500};    ///< interval of comments in an idle stream
    bool check_fencing{false}; ///< refuses starts and orders with an old token
};

/// A model engine for tests and the demo. Protocol:
///
/// - `POST /v1/chat/completions` with X-Request-Key, X-Priority, X-Fencing-Token, X-Metadata:
///   streams chat chunks with `id` = request key and a running `index`; the last has
///   `finish_reason` and `usage`. The run continues if the connection is lost.
/// - `POST /v1/resume {key, from}`: the same stream from an index.
/// - `POST /v1/cancel {key}`: `{known, marked_before, finished, usage, metadata, records_age_ms}`.
/// - `GET /v1/load`: `{running, queued, slots, leaving, age_ms}`.
/// - `POST /v1/orders {fencing_token}`: recorded only.
/// - `POST /admin/faults` and `GET /admin/stats`: for tests.
class engine_standin
{
public:
    /// Starts listening. Throws std::runtime_error on failure.
    explicit engine_standin(const engine_standin_options& options);
    ~engine_standin();
    engine_standin(const engine_standin&) = delete;
    engine_standin& operator=(const engine_standin&) = delete;

    /// The listening address with the actual port.
    [[nodiscard]] std::string address() const;

    /// Replaces the faults.
    void set_faults(const engine_faults& faults);

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace jujubevalve
