#include "gateway/abandoned_request_tracker.h"

#include "platform/call_codec.h"

#include <utility>

namespace jujubevalve
{

namespace
{
/// Max wait for the server to close the connection. Work for a caller that has disconnected must
/// end within 500 ms.
constexpr time_ms max_close_wait{200};
} // namespace

/// One abandoned request and its connection.
class abandoned_request_tracker::pending_request final : public exchange_listener
{
public:
    pending_request(abandoned_request_tracker& owner, std::uint64_t id,
                    std::unique_ptr<http_exchange> connection, abandoned_request request)
        : owner_{owner}
        , id_{id}
        , connection_{std::move(connection)}
        , request_{std::move(request)}
    {
        timer_ = owner_.loop_.schedule(max_close_wait, [this] {
            timer_ = 0;
            end("no_end", true);
        });
    }
    ~pending_request() override { owner_.loop_.cancel(timer_); }
    pending_request(const pending_request&) = delete;
    pending_request& operator=(const pending_request&) = delete;

    /// Shuts down the sending side, which tells the server that the caller has left.
    void begin()
    {
        if (!connection_->stop_sending(*this)) {
            end("closed_here", true);
        }
    }

    [[nodiscard]] const abandoned_request& request() const { return request_; }

private:
    bool on_response_head(const http_head& head) override
    {
        const auto response = decode_response(head);
        if (response.request_id && *response.request_id != request_.id) {
            return false; // a late response to an earlier request
        }
        const bool is_identified = response.request_id || !connection_->is_reused();
        const bool is_refused = is_identified && response.proves_not_run();
        end(is_refused ? "refused" : "response", !is_refused);
        return true;
    }
    void on_response_body(std::string_view /*bytes*/) override {}
    void on_response_end() override {}
    void on_exchange_failed(exchange_failure failure) override
    {
        end(connection_->closed_cleanly() ? "closed" : to_string(failure), true);
    }

    void end(std::string_view outcome, bool may_have_run)
    {
        if (std::exchange(ended_, true)) {
            return;
        }
        owner_.end(id_, outcome, may_have_run);
    }

    abandoned_request_tracker& owner_;
    std::uint64_t id_;
    std::unique_ptr<http_exchange> connection_;
    abandoned_request request_;
    timer_id timer_{0};
    bool ended_{false};
};

abandoned_request_tracker::abandoned_request_tracker(event_loop& loop, reservation_service& budgets,
                                                     decision_log& log)
    : loop_{loop}
    , budgets_{budgets}
    , log_{log}
{
}

abandoned_request_tracker::~abandoned_request_tracker() = default;

void abandoned_request_tracker::add(std::unique_ptr<http_exchange> connection,
                                    abandoned_request request)
{
    const auto id = ++last_id_;
    auto& added = *pending_requests_
                       .emplace(id, std::make_unique<pending_request>(
                                        *this, id, std::move(connection), std::move(request)))
                       .first->second;
    added.begin();
}

void abandoned_request_tracker::end(std::uint64_t id, std::string_view outcome, bool may_have_run)
{
    const auto& request = pending_requests_.at(id)->request();
    if (may_have_run) {
        budgets_.settle(request.reservation, request.charge);
    } else {
        budgets_.release(request.reservation);
    }
    log_.write("abandoned",
               log_fields{}
                   .add("id", request.id)
                   .add("end", outcome)
                   .add("charged", may_have_run ? request.charge : 0),
               loop_.now());
    // Deferred, since the request's connection may still be on the stack.
    loop_.defer([this, id] { pending_requests_.erase(id); });
}

} // namespace jujubevalve
