#pragma once

#include "dispatch/fleet_retry_budget.h"
#include "dispatch/server_choice.h"
#include "gateway/abandoned_runs.h"
#include "gateway/decision_log.h"
#include "gateway/fleet_view.h"
#include "gateway/gateway_metrics.h"
#include "gateway/gateway_settings.h"
#include "gateway/grant_service.h"
#include "gateway/server_connections.h"
#include "net/event_loop.h"

#include <map>
#include <random>
#include <string>

namespace jujubevalve
{

/// What all calls of a process share.
struct call_context {
    event_loop& loop;
    const gateway_settings& settings;
    decision_log& log;
    gateway_metrics& metrics;
    fleet_view& view;
    grant_service& grants;
    server_connections& connections;
    abandoned_runs& abandoned;
    server_choice& choice;
    std::minstd_rand random;
    std::map<std::string, fleet_retry_budget, std::less<>> retry_budgets; ///< by service
    std::int64_t calls{0};                                                ///< that have arrived

    /// The budget of repeats for a service.
    fleet_retry_budget& retries_of(const std::string& service)
    {
        return retry_budgets.try_emplace(service, settings.retry_limit).first->second;
    }
};

/// The connection of the caller, as a call sees it.
class caller_port
{
public:
    caller_port() = default;
    caller_port(const caller_port&) = delete;
    caller_port& operator=(const caller_port&) = delete;
    virtual ~caller_port() = default;

    /// Sends bytes of the answer.
    virtual void send(std::string_view bytes) = 0;
    /// Bytes that the caller has not taken yet.
    [[nodiscard]] virtual std::size_t unsent() const = 0;
    /// Whether the connection has to be closed behind the answer.
    [[nodiscard]] virtual bool must_close() const = 0;
    /// The answer is complete. `close`: the answer said so.
    virtual void finish(bool close) = 0;
    /// The answer stays incomplete; the connection is closed so that it shows.
    virtual void break_off() = 0;
};

} // namespace jujubevalve
