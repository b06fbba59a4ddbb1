#include "experiment/sim_server.h"

#include <utility>

namespace jujubevalve::experiment
{

sim_server::sim_server(backend_server row, event_queue& events, arbiter& truth)
    : row_{std::move(row)}
    , events_{events}
    , truth_{truth}
{
}

void sim_server::submit(const std::string& key, const sim_request& request, server_reply reply)
{
    for (const auto& since : {leaving_since_, announced_since_}) {
        if (since) {
            truth_.sent_to_leaving(events_.now() - *since);
        }
    }
    if (blocked_.contains(key) || records_.contains(key) || leaving_since_) {
        reply({server_answer::ending::refused, key, 0, 0});
        return;
    }
    record made;
    made.request = request;
    made.incarnation = key.substr(0, key.find('.'));
    made.readers.push_back(std::move(reply));
    records_.emplace(key, std::move(made));
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
    auto& item = records_.find(key)->second;
    if (item.state != run_state::queued) {
        return;
    }
    item.state = run_state::running;
    item.started = events_.now();
    ++running_;
    truth_.run_started(item.request, item.incarnation);
    events_.after(item.request.duration, [this, key] { finish(key); });
}

void sim_server::finish(const std::string& key)
{
    auto& item = records_.find(key)->second;
    if (item.state != run_state::running) {
        return;
    }
    item.state = run_state::ended;
    item.used = item.request.shape.used;
    --running_;
    truth_.run_ended(item.request, item.incarnation, item.used);
    answer(key, item);
    start_next();
}

void sim_server::answer(const std::string& key, record& item)
{
    const auto how = item.state == run_state::ended ? server_answer::ending::ended
                                                    : server_answer::ending::cancelled;
    for (const auto& reader : std::exchange(item.readers, {})) {
        reader({how, key, item.request.id, item.used});
    }
}

bool sim_server::resume(const std::string& key, server_reply reply)
{
    const auto found = records_.find(key);
    if (found == records_.end() || found->second.state == run_state::cancelled) {
        return false;
    }
    found->second.readers.push_back(std::move(reply));
    if (found->second.state == run_state::ended) {
        answer(key, found->second);
    }
    return true;
}

cancel_answer sim_server::cancel(const std::string& key)
{
    const auto found = records_.find(key);
    if (found == records_.end()) {
        blocked_.insert(key);
        return {};
    }
    auto& item = found->second;
    if (item.state == run_state::running && item.request.idempotent) {
        const auto part =
            static_cast<double>((events_.now() - item.started).count()) /
            static_cast<double>(std::max<std::int64_t>(1, item.request.duration.count()));
        item.used = static_cast<token_count>(part * static_cast<double>(item.request.shape.used));
        --running_;
        truth_.run_ended(item.request, item.incarnation, item.used);
        item.state = run_state::cancelled;
        answer(key, item);
        start_next();
    } else if (item.state == run_state::running) {
        // A plain call cannot be undone; it ends soon and costs what it costs.
        return {
            true,
            item.request.shape.used,
            {item.request.account, item.request.key, item.request.budget, item.request.shape.used}};
    } else if (item.state == run_state::queued) {
        item.state = run_state::cancelled;
        answer(key, item);
    }
    return {
        true, item.used, {item.request.account, item.request.key, item.request.budget, item.used}};
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
