#pragma once

#include "backend/call_result.h"
#include "backend/cancel_result.h"
#include "backend/engine_event.h"
#include "backend/engine_request.h"
#include "backend/plain_call.h"
#include "backend/resume_policy.h"
#include "backend/server_load.h"
#include "backend/stream_result.h"
#include "core/counters.h"
#include "core/result.h"

#include <functional>
#include <memory>
#include <string>

namespace jujubevalve
{

/// Time limits of a backend_client.
struct backend_options {
    time_ms connect_timeout{1000};
    time_ms idle_timeout{3000};      ///< without a received byte, a stream counts as silent
    time_ms stream_timeout{600'000}; ///< of one HTTP exchange of a stream
    time_ms call_timeout{10'000};    ///< of a plain call
    time_ms control_timeout{2000};   ///< of a cancel or load report request
    resume_limits resume;
};

/// Receives the events of an answer in order, each exactly once; returns false to stop the stream.
/// Called from a curl callback, so it must not throw.
using event_sink = std::function<bool(const engine_event&)>;

/// Sends requests to backend servers. All member functions block and are thread-safe. Server
/// addresses have the form `ip:port`.
///
/// Every request except a load report opens a new connection: a kept-alive connection may have
/// gone silent, and if it closes without a response, curl sends the request a second time.
class backend_client
{
public:
    /// Increments the `backend_*` counters in `counts`, which must outlive the client.
    backend_client(const backend_options& options, counters& counts);
    ~backend_client();
    backend_client(const backend_client&) = delete;
    backend_client& operator=(const backend_client&) = delete;

    /// Starts a chat at an engine and blocks until it ends. Resumes it by key on a new connection
    /// when the connection breaks, goes silent or skips an event. To end the chat early from
    /// another thread, cancel its key: the engine then closes the stream.
    stream_result run(const std::string& address, const engine_request& request,
                      const event_sink& sink);

    /// Continues a run that was started earlier, possibly by another router, at
    /// `request.from_index`. Only `key`, `fencing_token` and `from_index` are used.
    stream_result resume(const std::string& address, const engine_request& request,
                         const event_sink& sink);

    /// Cancels a run by key. Fails with `backend_lost` if the engine did not answer. Idempotent.
    result<cancel_result> cancel(const std::string& address, const std::string& key);

    /// Sends one call to a plain service, without retries.
    call_result call(const std::string& address, const plain_call& call);

    /// Fetches a server's load report. Fails with `backend_lost` or `malformed_json`.
    result<server_load> load(const std::string& address);

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace jujubevalve
