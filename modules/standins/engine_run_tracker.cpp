#include "standins/engine_run_tracker.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace jujubevalve
{

namespace
{
constexpr time_ms eviction_interval{1000};

std::string budget_in(const std::string& metadata)
{
    const auto parsed = nlohmann::json::parse(metadata, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("budget") || !parsed["budget"].is_string()) {
        return {};
    }
    return parsed["budget"].get<std::string>();
}
} // namespace

engine_run_tracker::engine_run_tracker(const engine_speed& speed, time_ms now)
    : speed_{speed}
    , started_{now}
{
}

engine_denial engine_run_tracker::start(const engine_start& request, time_ms now)
{
    advance(now);
    const auto denial = find(request.key);
    if (denial != engine_denial::unknown_key) {
        return denial == engine_denial::none ? engine_denial::key_known : denial;
    }
    if (static_cast<std::int64_t>(queue_.size()) >= speed_.queue_limit) {
        return engine_denial::queue_full;
    }
    known_.emplace(request.key,
                   run{run_state::queued, engine_answer{request.prompt, request.max_tokens},
                       request.metadata, budget_in(request.metadata),
                       count_prompt_tokens(request.prompt), 0, now});
    const queued_request added{request.priority, next_number_++, request.key};
    const auto behind =
        std::upper_bound(queue_.begin(), queue_.end(), added, [](const auto& a, const auto& b) {
            return a.priority != b.priority ? a.priority > b.priority : a.number < b.number;
        });
    queue_.insert(behind, added);
    fill_slots(now);
    return engine_denial::none;
}

engine_denial engine_run_tracker::find(const std::string& key) const
{
    const auto found = known_.find(key);
    if (found == known_.end()) {
        return cancelled_keys_.contains(key) ? engine_denial::cancelled
                                             : engine_denial::unknown_key;
    }
    return found->second.state == run_state::cancelled ? engine_denial::cancelled
                                                       : engine_denial::none;
}

run_progress engine_run_tracker::read(const std::string& key, token_count index) const
{
    const auto found = known_.find(key);
    if (found == known_.end() || found->second.state == run_state::cancelled) {
        return {};
    }
    const auto& read = found->second;
    if (index < read.generated) {
        return {run_progress::state::token, read.answer.token(index), {}, {}};
    }
    if (read.state != run_state::ended) {
        return {run_progress::state::waiting, {}, {}, {}};
    }
    if (index > read.generated) {
        return {};
    }
    return {run_progress::state::last,
            {},
            std::string{read.answer.finish()},
            {read.prompt_tokens, read.generated}};
}

cancel_result engine_run_tracker::cancel(const std::string& key, time_ms now)
{
    advance(now);
    cancel_result cancelled;
    cancelled.records_age = std::min(now - started_, speed_.retention);
    const auto found = known_.find(key);
    if (found == known_.end()) {
        cancelled.marked_before = !cancelled_keys_.emplace(key, now).second;
        return cancelled;
    }
    auto& target = found->second;
    cancelled.known = true;
    cancelled.finished = target.state == run_state::ended;
    cancelled.metadata = target.metadata;
    if (target.state == run_state::queued) {
        std::erase_if(queue_, [&](const auto& waiting) { return waiting.key == key; });
        target.prompt_tokens = 0;
    }
    if (target.state == run_state::queued || target.state == run_state::running) {
        end(target, run_state::cancelled, now);
        running_.erase(key);
        fill_slots(now);
    }
    cancelled.used = usage{target.prompt_tokens, target.generated};
    return cancelled;
}

void engine_run_tracker::advance(time_ms now)
{
    std::vector<std::string> ended;
    for (const auto& key : running_) {
        auto& running = known_.at(key);
        generate(running, now);
        if (running.generated == running.answer.size()) {
            end(running, run_state::ended, now);
            ended.push_back(key);
        }
    }
    for (const auto& key : ended) {
        running_.erase(key);
    }
    fill_slots(now);
    if (now >= next_eviction_) {
        next_eviction_ = now + eviction_interval;
        evict_expired(now);
    }
}

server_load engine_run_tracker::load() const
{
    server_load report;
    report.running = static_cast<std::int64_t>(running_.size());
    report.queued = static_cast<std::int64_t>(queue_.size());
    report.slots = speed_.slots;
    return report;
}

std::string engine_run_tracker::other_key(const std::string& key) const
{
    for (const auto& other : running_) {
        if (other != key) {
            return other;
        }
    }
    return key + "0";
}

void engine_run_tracker::fill_slots(time_ms now)
{
    while (!queue_.empty() && static_cast<std::int64_t>(running_.size()) < speed_.slots) {
        const auto key = queue_.front().key;
        queue_.erase(queue_.begin());
        auto& started = known_.at(key);
        started.state = run_state::running;
        started.since = now;
        // The whole prompt is charged when the run gets a slot.
        spend_[started.budget].prompt_tokens += started.prompt_tokens;
        ++runs_[key];
        running_.insert(key);
    }
}

void engine_run_tracker::generate(run& running, time_ms now)
{
    const auto elapsed = (now - running.since - speed_.batching_delay).count();
    if (elapsed < 0) {
        return;
    }
    const auto due = std::min(running.answer.size(), 1 + elapsed * speed_.tokens_per_second / 1000);
    spend_[running.budget].completion_tokens += due - running.generated;
    running.generated = due;
}

void engine_run_tracker::evict_expired(time_ms now)
{
    const auto oldest = now - speed_.retention;
    std::erase_if(known_, [&](const auto& entry) {
        const auto state = entry.second.state;
        return (state == run_state::ended || state == run_state::cancelled) &&
               entry.second.since < oldest;
    });
    std::erase_if(cancelled_keys_, [&](const auto& entry) { return entry.second < oldest; });
}

void engine_run_tracker::end(run& ended, run_state state, time_ms now)
{
    ended.state = state;
    ended.since = now;
}

} // namespace jujubevalve
