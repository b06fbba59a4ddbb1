#pragma once

#include "gateway/decision_log.h"
#include "gateway/reservation_service.h"
#include "net/event_loop.h"
#include "net/http_exchange.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace jujubevalve
{

/// A request whose caller disconnected before the first event of the response.
struct abandoned_request {
    std::string id;
    reservation_id reservation{0};
    token_count charge{0}; ///< unless the server states that it has not run the request
};

/// Charges requests whose callers disconnected before the response began. The sending side of the
/// connection is closed, so that the server drops the request. It is charged however the connection
/// ends, as the server may have begun to run it without a byte to show for it; only a response that
/// states the contrary, sent before the server noticed, makes it free.
class abandoned_request_tracker
{
public:
    abandoned_request_tracker(event_loop& loop, reservation_service& budgets, decision_log& log);
    ~abandoned_request_tracker();
    abandoned_request_tracker(const abandoned_request_tracker&) = delete;
    abandoned_request_tracker& operator=(const abandoned_request_tracker&) = delete;

    /// Takes over the connection that the request was sent on, and the reservation.
    void add(std::unique_ptr<http_exchange> connection, abandoned_request request);

private:
    class pending_request;

    /// `outcome`: for the log.
    void end(std::uint64_t id, std::string_view outcome, bool may_have_run);

    event_loop& loop_;
    reservation_service& budgets_;
    decision_log& log_;
    std::unordered_map<std::uint64_t, std::unique_ptr<pending_request>> pending_requests_;
    std::uint64_t last_id_{0};
};

} // namespace jujubevalve
