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
    time_ms idle_timeout{3000};      ///< a stream without a byte for so long is silent
    time_ms stream_timeout{600'000}; ///< of one exchange of a stream
    time_ms call_timeout{10'000};    ///< of a plain call
    time_ms control_timeout{2000};   ///< of a cancel or load report
    resume_limits resume;
};

/// Receives the events of an answer in order, each exactly once; returns false to stop. It is
/// called from within curl and must not throw.
using event_sink = std::function<bool(const engine_event&)>;

/// Runs requests at backend servers. All members block the calling thread and may be called from
/// many threads at a time. Servers are named by `ip:port`.
///
/// All but load reports use a connection of their own: an open one may have gone silent, and on a
/// reused one that closes without a response curl sends the request a second time.
class backend_client
{
public:
    /// Counts `backend_*` events in `counted`, which must outlive the client.
    backend_client(const backend_options& options, counters& counted);
    ~backend_client();
    backend_client(const backend_client&) = delete;
    backend_client& operator=(const backend_client&) = delete;

    /// Starts a chat at an engine and returns when it has ended, resuming it by key on a new
    /// connection whenever its connection breaks, goes silent or skips an event. To end it early
    /// from another thread, cancel its key: the engine then cuts the stream.
    stream_result run(const std::string& address, const engine_request& request,
                      const event_sink& sink);

    /// Continues a run that was started earlier, possibly by another router, at
    /// `request.from_index`. Only `key`, `fencing_token` and `from_index` are used.
    stream_result resume(const std::string& address, const engine_request& request,
                         const event_sink& sink);

    /// Cancels a run by key. Fails with `backend_lost` if the engine did not answer; repeating it
    /// is safe.
    result<cancel_result> cancel(const std::string& address, const std::string& key);

    /// Makes one call of a plain service; never sends it twice.
    call_result call(const std::string& address, const plain_call& call);

    /// Fetches a server's load report. Fails with `backend_lost` or `malformed_json`.
    result<server_load> load(const std::string& address);

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace jujubevalve
