#include "router/server_pools.h"

#include <chrono>
#include <future>
#include <random>

namespace jujubevalve
{

namespace
{
// An instance may use twice its equal share of the slots before its requests are queued here,
// because engines queue and batch requests themselves and demand differs between instances.
constexpr std::int64_t share_factor = 2;

// A load report costs 0.2 ms of CPU time (docs/CAPACITY.md). Without a limit, 100 servers would use
// up the 4.6 % of a core allowed for control work. One round covers all servers of today's
// deployments.
constexpr std::size_t max_reports_per_round = 32;
} // namespace

server_pools::server_pools(backend_client& backends, counters& counts)
    : backends_{backends}
    , counts_{counts}
{
}

void server_pools::set_config(const config_snapshot& config)
{
    const std::lock_guard lock{mutex_};
    addresses_.clear();
    std::set<std::string> used;
    for (const auto& [name, row] : config.pools()) {
        if (!row.servers_of.empty()) {
            continue;
        }
        used.insert(name);
        auto& group =
            groups_.try_emplace(name, std::random_device{}(), admission_options{}).first->second;
        group.selector.servers().set_servers(row.servers);
        for (const auto& server : row.servers) {
            addresses_[server.name] = server.address;
            group.selector.servers().set_listed_leaving(server.name,
                                                        listed_leaving_.contains(server.name));
        }
    }
    std::erase_if(groups_, [&](const auto& item) {
        return !used.contains(item.first) && item.second.queue.running() == 0 &&
               item.second.queue.waiting() == 0;
    });
}

void server_pools::set_listed_leaving(const std::set<std::string>& names)
{
    const std::lock_guard lock{mutex_};
    listed_leaving_ = names;
    for (auto& [set, group] : groups_) {
        auto& servers = group.selector.servers();
        for (server_index i = 0; i < servers.size(); ++i) {
            const auto& name = servers.row(i).name;
            servers.set_listed_leaving(name, names.contains(name));
        }
    }
}

server_pools::server_group* server_pools::find(const std::string& server_set)
{
    const auto found = groups_.find(server_set);
    return found == groups_.end() ? nullptr : &found->second;
}

result<pool_slot> server_pools::admit(const std::string& server_set, const std::string& account,
                                      token_count cost, int priority, time_ms wait,
                                      time_ms& retry_after)
{
    std::unique_lock lock{mutex_};
    auto* const group = find(server_set);
    if (group == nullptr) {
        return failure{result_code::no_backend_server,
                       "no servers for pool \"" + server_set + "\""};
    }
    const auto id = ++last_id_;
    const auto now = clock_.now();
    const auto waiter = waiting_.emplace(id, waiting_request{}).first;
    apply(group->queue.offer({id, account, cost, priority, now + wait}, now));
    changed_.wait_for(lock, std::chrono::milliseconds{wait.count()},
                      [&] { return waiter->second.state != wait_state::waiting; });
    const auto ended = waiter->second;
    waiting_.erase(waiter);
    if (ended.state == wait_state::admitted) {
        return pool_slot{server_set, id};
    }
    ++counts_.at("admission_refused");
    retry_after = ended.retry_after;
    if (ended.state == wait_state::refused) {
        return ended.error;
    }
    group->queue.cancel(id);
    retry_after = group->queue.retry_after();
    return failure{result_code::overloaded, "no slot of pool \"" + server_set + "\" became free"};
}

void server_pools::apply(const admission_change& change)
{
    for (const auto id : change.admitted) {
        waiting_[id].state = wait_state::admitted;
    }
    for (const auto& refused : change.refused) {
        waiting_[refused.id] = {wait_state::refused, refused.error, refused.retry_after};
    }
    if (!change.admitted.empty() || !change.refused.empty()) {
        changed_.notify_all();
    }
}

void server_pools::release(const pool_slot& slot)
{
    const std::lock_guard lock{mutex_};
    if (auto* const group = find(slot.server_set)) {
        apply(group->queue.release(slot.id, clock_.now()));
    }
}

result<backend_choice> server_pools::choose(const std::string& server_set,
                                            const backend_query& query)
{
    const std::lock_guard lock{mutex_};
    auto* const group = find(server_set);
    if (group == nullptr) {
        return failure{result_code::no_backend_server,
                       "no servers for pool \"" + server_set + "\""};
    }
    return group->selector.choose(query, clock_.now());
}

void server_pools::finished(const std::string& server_set, const std::string& server,
                            backend_selector::ending how)
{
    const std::lock_guard lock{mutex_};
    if (auto* const group = find(server_set)) {
        group->selector.finished(server, how, clock_.now());
    }
}

void server_pools::poll_load()
{
    std::vector<std::pair<std::string, std::string>> addresses;
    {
        const std::lock_guard lock{mutex_};
        addresses = load_poll_rotation_.take(addresses_, max_reports_per_round);
    }
    std::map<std::string, std::future<result<server_load>>> requests;
    for (const auto& [name, address] : addresses) {
        requests.emplace(name, std::async(std::launch::async, [this, address = address] {
                             return backends_.load(address);
                         }));
    }
    for (auto& [name, answer] : requests) {
        const auto report = answer.get();
        if (!report) {
            ++counts_.at("load_reports_missing");
            continue;
        }
        const std::lock_guard lock{mutex_};
        const load_report received{report->running, report->queued, report->leaving,
                                   clock_.now() - report->age};
        for (auto& [set, group] : groups_) {
            group.selector.servers().set_report(name, received);
        }
    }
}

void server_pools::tick(std::int64_t live_instances)
{
    const std::lock_guard lock{mutex_};
    const auto now = clock_.now();
    for (auto& [set, group] : groups_) {
        const auto slots = group.selector.servers().slots() * share_factor;
        apply(group.queue.set_share(slots, live_instances, now));
        apply(group.queue.expire(now));
    }
}

std::optional<std::string> server_pools::address_of(const std::string& server) const
{
    const std::lock_guard lock{mutex_};
    const auto found = addresses_.find(server);
    return found == addresses_.end() ? std::nullopt : std::optional{found->second};
}

} // namespace jujubevalve
