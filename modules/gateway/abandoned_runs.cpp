#include "gateway/abandoned_runs.h"

#include <utility>

namespace jujubevalve
{

namespace
{
/// Longest wait for the server's close; well below the half second within which work for a caller
/// that has left must end.
constexpr time_ms longest_wait{200};
} // namespace

/// One request and its connection.
class abandoned_runs::run final : public exchange_listener
{
public:
    run(abandoned_runs& owner, std::uint64_t id, std::unique_ptr<http_exchange> connection,
        abandoned_request request)
        : owner_{owner}
        , id_{id}
        , connection_{std::move(connection)}
        , request_{std::move(request)}
    {
        timer_ = owner_.loop_.schedule(longest_wait, [this] {
            timer_ = 0;
            end(true);
        });
    }
    ~run() override { owner_.loop_.cancel(timer_); }
    run(const run&) = delete;
    run& operator=(const run&) = delete;

    /// Tells the server that nobody waits any more.
    void begin()
    {
        if (!connection_->stop_sending(*this)) {
            end(true);
        }
    }

    [[nodiscard]] const abandoned_request& request() const { return request_; }

private:
    bool on_response_head(const http_head& /*head*/) override
    {
        end(true);
        return true;
    }
    void on_response_body(std::string_view /*bytes*/) override {}
    void on_response_end() override { end(true); }
    void on_exchange_failed(exchange_failure failure) override
    {
        end(failure != exchange_failure::no_response || !connection_->closed_in_order());
    }

    void end(bool has_run)
    {
        if (std::exchange(ended_, true)) {
            return;
        }
        owner_.end(id_, has_run);
    }

    abandoned_runs& owner_;
    std::uint64_t id_;
    std::unique_ptr<http_exchange> connection_;
    abandoned_request request_;
    timer_id timer_{0};
    bool ended_{false};
};

abandoned_runs::abandoned_runs(event_loop& loop, grant_service& grants, decision_log& log)
    : loop_{loop}
    , grants_{grants}
    , log_{log}
{
}

abandoned_runs::~abandoned_runs() = default;

void abandoned_runs::add(std::unique_ptr<http_exchange> connection, abandoned_request request)
{
    const auto id = ++last_id_;
    auto& made = *runs_
                      .emplace(id, std::make_unique<run>(*this, id, std::move(connection),
                                                         std::move(request)))
                      .first->second;
    made.begin();
}

void abandoned_runs::end(std::uint64_t id, bool has_run)
{
    const auto& request = runs_.at(id)->request();
    if (has_run) {
        grants_.settle(request.reservation, request.charge);
    } else {
        grants_.release(request.reservation);
    }
    log_.write("abandoned",
               log_fields{}
                   .add("id", request.id)
                   .add("ran", static_cast<int>(has_run))
                   .add("charged", has_run ? request.charge : 0),
               loop_.now());
    // Its connection may be on the stack.
    loop_.defer([this, id] { runs_.erase(id); });
}

} // namespace jujubevalve
