#include "experiment/sim_server.h"

#include <utility>

namespace jujubevalve::experiment
{

sim_server::sim_server(backend_server row, event_queue& events, invariant_checker& checker)
    : row_{std::move(row)}
    , events_{events}
    , checker_{checker}
{
}

void sim_server::submit(const std::string& key, const sim_request& request, server_reply reply)
{
    for (const auto& since : {leaving_since_, announced_since_}) {
        if (since) {
            checker_.request_sent_to_leaving_server(events_.now() - *since);
        }
    }
    if (cancelled_before_arrival_.contains(key) || runs_.contains(key) || leaving_since_) {
        reply({server_answer::ending::refused, key, 0, 0});
        return;
    }
    server_run run;
    run.request = request;
    run.incarnation = key.substr(0, key.find('.'));
    run.replies.push_back(std::move(reply));
    runs_.emplace(key, std::move(run));
    queue_.push_back(key);
    start_next();
}

void sim_server::start_next()
{
    while (running_ < row_.slots && !queue_.empty()) {
        const auto key = queue_.front();
        queue_.pop_front();
        start(key);
    }
}

void sim_server::start(const std::string& key)
{
    auto& run = runs_.find(key)->second;
    if (run.state != run_state::queued) {
        return;
    }
    run.state = run_state::running;
    run.started = events_.now();
    ++running_;
    checker_.run_started(run.request, run.incarnation);
    events_.after(run.request.duration, [this, key] { finish(key); });
}

void sim_server::finish(const std::string& key)
{
    auto& run = runs_.find(key)->second;
    if (run.state != run_state::running) {
        return;
    }
    run.state = run_state::ended;
    run.used = run.request.shape.used;
    --running_;
    checker_.run_ended(run.request, run.incarnation, run.used);
    answer(key, run);
    start_next();
}

void sim_server::answer(const std::string& key, server_run& run)
{
    const auto outcome = run.state == run_state::ended ? server_answer::ending::ended
                                                       : server_answer::ending::cancelled;
    for (const auto& reply : std::exchange(run.replies, {})) {
        reply({outcome, key, run.request.id, run.used});
    }
}

bool sim_server::resume(const std::string& key, server_reply reply)
{
    const auto found = runs_.find(key);
    if (found == runs_.end() || found->second.state == run_state::cancelled) {
        return false;
    }
    found->second.replies.push_back(std::move(reply));
    if (found->second.state == run_state::ended) {
        answer(key, found->second);
    }
    return true;
}

cancel_answer sim_server::cancel(const std::string& key)
{
    const auto found = runs_.find(key);
    if (found == runs_.end()) {
        cancelled_before_arrival_.insert(key);
        return {};
    }
    auto& run = found->second;
    if (run.state == run_state::running && run.request.idempotent) {
        const auto completed_fraction =
            static_cast<double>((events_.now() - run.started).count()) /
            static_cast<double>(std::max<std::int64_t>(1, run.request.duration.count()));
        run.used = static_cast<token_count>(completed_fraction *
                                            static_cast<double>(run.request.shape.used));
        --running_;
        checker_.run_ended(run.request, run.incarnation, run.used);
        run.state = run_state::cancelled;
        answer(key, run);
        start_next();
    } else if (run.state == run_state::running) {
        // A running plain call cannot be cancelled; it runs to its end and is charged in full.
        return {true,
                run.request.shape.used,
                {run.request.account, run.request.key, run.request.budget, run.request.shape.used}};
    } else if (run.state == run_state::queued) {
        run.state = run_state::cancelled;
        answer(key, run);
    }
    return {true, run.used, {run.request.account, run.request.key, run.request.budget, run.used}};
}

load_report sim_server::report() const
{
    return {running_, static_cast<std::int64_t>(queue_.size()), leaving_since_.has_value(),
            events_.now()};
}

std::int64_t sim_server::free_slots() const
{
    return leaving_since_ || announced_since_ ? 0 : row_.slots - running_;
}

} // namespace jujubevalve::experiment
