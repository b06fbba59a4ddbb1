#pragma once

#include "core/limited_buffer.h"
#include "dispatch/entry_admission.h"
#include "dispatch/fleet_retry_budget.h"
#include "dispatch/link_budget.h"
#include "dispatch/retry_advisor.h"
#include "dispatch/server_choice.h"
#include "gateway/abandoned_request_tracker.h"
#include "gateway/decision_log.h"
#include "gateway/fleet_notice_service.h"
#include "gateway/fleet_view.h"
#include "gateway/gateway_metrics.h"
#include "gateway/gateway_settings.h"
#include "gateway/reservation_service.h"
#include "gateway/server_connections.h"
#include "gateway/server_crash_detector.h"
#include "gateway/stop_sequence.h"
#include "gateway/unreadable_inputs.h"
#include "net/event_loop.h"

#include <map>
#include <random>
#include <string>

namespace jujubevalve
{

/// Services and state that all calls of a process share.
struct call_context {
    event_loop& loop;
    const gateway_settings& settings;
    decision_log& log;
    gateway_metrics& metrics;
    fleet_view& view;
    reservation_service& budgets;
    server_connections& connections;
    abandoned_request_tracker& abandoned;
    server_choice& choice;
    server_crash_detector& crashes;
    fleet_notice_service& notices;
    std::minstd_rand random;
    retry_advisor retry_advice;
    link_budget& link;
    entry_admission& entry;
    std::map<std::string, fleet_retry_budget, std::less<>> retry_budgets; ///< by service name
    std::int64_t calls{0};                                                ///< calls received so far
    std::optional<stop_in_progress> stopping{};                           ///< since the stop signal

    unreadable_inputs unreadable{log, metrics}; ///< headers of servers that cannot be decoded

    /// Memory for responses that are buffered until they are complete. Below a fifth of the
    /// smallest machine's, as a response is copied twice on its way to the caller.
    static constexpr std::size_t response_memory_bytes = 16 * 1024 * 1024;
    static constexpr std::size_t guaranteed_response_bytes = 64 * 1024;
    buffer_memory response_memory{response_memory_bytes, guaranteed_response_bytes};

    /// Memory for the bodies of requests, from their first byte to the end of the request.
    static constexpr std::size_t request_memory_bytes = 32 * 1024 * 1024;
    static constexpr std::size_t guaranteed_request_bytes = 64 * 1024;
    buffer_memory request_memory{request_memory_bytes, guaranteed_request_bytes};

    /// Returns the retry budget of a service.
    fleet_retry_budget& retry_budget_for(const std::string& service)
    {
        return retry_budgets.try_emplace(service, settings.retry_limit).first->second;
    }
};

/// Interface through which a call responds to its caller.
class caller_connection
{
public:
    caller_connection() = default;
    caller_connection(const caller_connection&) = delete;
    caller_connection& operator=(const caller_connection&) = delete;
    virtual ~caller_connection() = default;

    /// Sends bytes of the response.
    virtual void send(std::string_view bytes) = 0;
    /// Returns whether the caller has closed the connection, also if that was not reported yet.
    [[nodiscard]] virtual bool has_left() const = 0;
    /// Returns the number of response bytes that are not yet written to the socket.
    [[nodiscard]] virtual std::size_t unsent() const = 0;
    /// Returns whether the connection must close after the response.
    [[nodiscard]] virtual bool must_close() const = 0;
    /// The end of the connection ends the response. Whatever closes it before finish() was called
    /// and all bytes were sent, also the end of this process, resets it.
    virtual void set_ends_with_close() = 0;
    /// Completes the response. `close`: the response announced that the connection closes.
    virtual void finish(bool close) = 0;
    /// Closes the connection so that the caller can tell that the response is incomplete.
    virtual void abort_response() = 0;
};

} // namespace jujubevalve
