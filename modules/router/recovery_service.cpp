#include "router/recovery_service.h"

#include "requests/server_sequence.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>
#include <utility>

namespace jujubevalve
{

namespace
{
template <class T>
recovery_answer to_recovery(const result<T>& answer)
{
    return answer ? recovery_answer{*answer} : recovery_answer{answer.error()};
}

std::string text_of(const nlohmann::json& metadata, const char* field)
{
    return metadata.value(field, std::string{});
}
} // namespace

recovery_service::recovery_service(const instance_row& own, const router_settings& settings,
                                   http_platform& platform, peer_client& peers,
                                   backend_client& backends, server_pools& pools,
                                   config_service& config, instance_directory& directory,
                                   counters& counts)
    : own_{own}
    , settings_{settings}
    , platform_{platform}
    , peers_{peers}
    , backends_{backends}
    , pools_{pools}
    , config_{config}
    , directory_{directory}
    , counts_{counts}
    , evidence_{settings.instance_list_lag, settings.request_timeout}
{
}

void recovery_service::list_read(const std::vector<std::string>& names, time_ms requested_at,
                                 time_ms received_at)
{
    const std::lock_guard lock{evidence_mutex_};
    evidence_.list_read(names, requested_at, received_at);
}

void recovery_service::run()
{
    update_watched_incarnations();
    auto terminated = terminated_incarnations();
    const std::lock_guard lock{plan_mutex_};
    if (terminated.empty() || !config_.is_ready()) {
        return;
    }
    if (terminated != incarnations_ || plan_ == nullptr) {
        incarnations_ = std::move(terminated);
        plan_ = std::make_unique<recovery_plan>(incarnations_, make_settings());
        spdlog::info("starting recovery of {} incarnations", incarnations_.size());
    } else {
        plan_->retry();
    }
    run_plan();
}

void recovery_service::update_watched_incarnations()
{
    const auto rows = directory_.rows();
    const std::lock_guard lock{evidence_mutex_};
    for (const auto& row : rows) {
        const bool open =
            row.state == incarnation_state::active || row.state == incarnation_state::recovering;
        if (open && row.incarnation != own_.incarnation &&
            watched_.insert(row.incarnation).second) {
            // An advertised address that the process has not bound proves nothing, so an empty one
            // is passed, which matches no successor.
            evidence_.watch(row.incarnation, row.instance, row.peer_bound ? row.peer_address : "",
                            clock_.now());
        }
        if (!open && watched_.erase(row.incarnation) > 0) {
            evidence_.forget(row.incarnation);
        }
    }
    // This process has bound its peer address, so earlier processes bound to it have terminated.
    if (own_.peer_bound) {
        evidence_.record_successor(own_.incarnation, own_.instance, own_.peer_address,
                                   clock_.now() + time_ms{1});
    }
}

std::set<std::string> recovery_service::terminated_incarnations()
{
    const std::lock_guard lock{evidence_mutex_};
    const auto terminated = evidence_.gone(clock_.now());
    return {terminated.begin(), terminated.end()};
}

void recovery_service::run_plan()
{
    for (auto commands = plan_->next(); !commands.empty(); commands = plan_->next()) {
        for (const auto& command : commands) {
            plan_->consume(command.id, execute(command));
        }
    }
    counts_.at("recoveries_waiting") =
        plan_->done() ? 0 : static_cast<std::int64_t>(incarnations_.size());
    if (!plan_->done()) {
        ++counts_.at("recovery_obstacles");
        return;
    }
    spdlog::info("finished recovery of {} incarnations", incarnations_.size());
    counts_.at("recoveries_done") += static_cast<std::int64_t>(incarnations_.size());
    const std::lock_guard lock{evidence_mutex_};
    for (const auto& incarnation : incarnations_) {
        evidence_.forget(incarnation);
    }
    plan_.reset();
    incarnations_.clear();
}

recovery_settings recovery_service::make_settings() const
{
    recovery_settings result;
    result.term = settings_.term;
    result.at_ms = wall_clock_ms{}.now().count();
    result.window = sequence_window;
    const auto config = config_.snapshot();
    for (const auto& [name, row] : config->pools()) {
        result.budgets.insert(row.budget);
        const bool plain = row.kind == service_kind::plain;
        if (plain) {
            result.charged_in_full.insert(row.budget);
        }
        for (const auto& server : config->servers_of(row)) {
            if (plain) {
                result.plain_servers.insert(server.name);
            } else {
                result.servers[server.name].insert(row.budget);
            }
        }
    }
    return result;
}

recovery_answer recovery_service::execute(const recovery_command& command)
{
    return std::visit([this](const auto& step) { return execute(step); }, command.what);
}

recovery_answer recovery_service::execute(const read_rows& step)
{
    return to_recovery(platform_.read(step.keys));
}

recovery_answer recovery_service::execute(const scan_rows& step)
{
    return to_recovery(scan_all(platform_, step.prefix));
}

recovery_answer recovery_service::execute(const list_objects& step)
{
    return to_recovery(platform_.list(step.prefix));
}

recovery_answer recovery_service::execute(const get_object& step)
{
    return to_recovery(platform_.get(step.name));
}

recovery_answer recovery_service::execute(const put_object& step)
{
    return to_recovery(platform_.put(step.name, step.content));
}

recovery_answer recovery_service::execute(const cancel_key& step)
{
    const auto address = pools_.address_of(step.server);
    if (!address) {
        return failure{result_code::unknown_name, "no address of backend server " + step.server};
    }
    const auto answer = backends_.cancel(*address, step.key);
    if (!answer) {
        return answer.error();
    }
    if (!answer->known && answer->records_age < settings_.recovery_records) {
        return failure{result_code::backend_lost,
                       "backend server " + step.server + " has lost its records"};
    }
    cancel_answer result;
    result.known = answer->known;
    result.marked_before = answer->marked_before;
    const auto metadata = nlohmann::json::parse(answer->metadata, nullptr, false);
    if (result.known && metadata.is_object()) {
        const auto reserved = metadata.value("reserved", token_count{0});
        result.used = answer->used ? answer->used->total() : reserved;
        result.bill = {text_of(metadata, "account"), text_of(metadata, "key"),
                       text_of(metadata, "budget"), result.used};
    }
    return result;
}

recovery_answer recovery_service::execute(const query_peer& step)
{
    wire::received_query query;
    query.gone = step.gone;
    const auto reply = peers_.call(step.peer_address, query, settings_.peer_timeout);
    if (!reply) {
        return reply.error;
    }
    if (reply->receiver != step.peer) {
        return failure{result_code::peer_unreachable,
                       "another incarnation answers at " + step.peer_address};
    }
    std::vector<peer_totals> result;
    for (const auto& message : reply->totals) {
        peer_totals totals;
        totals.gone = message.gone;
        for (const auto& item : message.totals) {
            totals.totals.push_back({item.budget, item.sent, item.received});
        }
        result.push_back(std::move(totals));
    }
    return result;
}

recovery_answer recovery_service::execute(const commit_rows& step)
{
    return platform_.commit(step.change);
}

} // namespace jujubevalve
