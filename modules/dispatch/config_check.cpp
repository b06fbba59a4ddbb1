#include "dispatch/config_check.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace jujubevalve
{

namespace
{
std::string quoted(const std::string& text)
{
    return "\"" + text + "\"";
}

std::string in_ms(time_ms time)
{
    return std::to_string(time.count()) + " ms";
}

class checker
{
public:
    explicit checker(const fleet_config_content& config)
        : config_{config}
    {
    }

    std::vector<config_finding> run()
    {
        check_services();
        for (std::size_t i = 0; i < config_.routes.size(); ++i) {
            check_route(i, config_.routes[i]);
        }
        if (config_.accounts) {
            for (std::size_t i = 0; i < config_.accounts->size(); ++i) {
                check_account(i, config_.accounts->at(i));
            }
        }
        check_unused_services();
        check_limits();
        return std::move(findings_);
    }

private:
    void add(finding_severity severity, config_section section, std::size_t row, std::string field,
             std::string message)
    {
        findings_.push_back({severity, section, row, std::move(field), std::move(message)});
    }
    void route_error(std::size_t row, std::string field, std::string message)
    {
        add(finding_severity::error, config_section::routes, row, std::move(field),
            std::move(message));
    }
    void route_warning(std::size_t row, std::string field, std::string message)
    {
        add(finding_severity::warning, config_section::routes, row, std::move(field),
            std::move(message));
    }

    void check_services()
    {
        for (std::size_t i = 0; i < config_.services.size(); ++i) {
            const auto& service = config_.services[i];
            if (!services_.emplace(service.name, i).second) {
                add(finding_severity::error, config_section::services, i, "name",
                    "another service has the name " + quoted(service.name));
            }
            if (!service.engine) {
                continue;
            }
            if (service.engine->memory_tokens == 0) {
                add(finding_severity::error, config_section::services, i, "memory_tokens",
                    "an engine without memory takes no request");
            }
            if (service.max_connections > 0 && service.max_connections < service.engine->slots) {
                add(finding_severity::warning, config_section::services, i, "max_connections",
                    "a server takes " + std::to_string(service.max_connections) +
                        " connections, so that some of its " +
                        std::to_string(service.engine->slots) + " slots are never used");
            }
        }
    }

    void check_route(std::size_t row, const call_route& route)
    {
        if (!route_names_.insert(route.name).second) {
            route_error(row, "name", "another route has the name " + quoted(route.name));
        }
        const bool is_path = route.prefix.starts_with('/') && route.prefix.ends_with('/');
        if (!is_path) {
            route_error(row, "prefix",
                        quoted(route.prefix) + " does not begin and end with a slash");
        } else if (const auto* const other = match(route); other != &route) {
            route_error(row, "prefix",
                        "never matches: route " + quoted(other->name) +
                            " has the same host and prefix");
        }
        check_route_services(row, route);
        check_route_times(row, route);
    }

    /// Returns the route that takes requests for the prefix of a route.
    const call_route* match(const call_route& route)
    {
        return taken_by_.emplace(std::pair{host_name(route.host), route.prefix}, &route)
            .first->second;
    }

    void check_route_services(std::size_t row, const call_route& route)
    {
        std::int64_t total_weight = 0;
        for (const auto& weighted : route.services) {
            total_weight += weighted.weight;
            used_services_.insert(weighted.service);
            if (!services_.contains(weighted.service)) {
                route_error(row, "service", "there is no service " + quoted(weighted.service));
            }
        }
        if (route.services.empty() || total_weight == 0) {
            route_error(row, "service", "no service has a weight, so that none gets requests");
            return;
        }
        for (const auto& weighted : route.services) {
            if (weighted.weight == 0) {
                route_warning(row, "weight",
                              "service " + quoted(weighted.service) + " never gets a request");
            }
        }
    }

    void check_route_times(std::size_t row, const call_route& route)
    {
        if (route.timeout.count() == 0) {
            route_error(row, "timeout", "every request has timed out when it arrives");
            return;
        }
        if (route.objective > route.timeout) {
            route_warning(row, "objective",
                          in_ms(route.objective) + " is beyond the time-out of " +
                              in_ms(route.timeout) + ", so that no answer is late");
        }
        // A request is sent to a second server after twice the objective without an answer.
        if (route.max_attempts > 1 && route.may_rerun() && route.kind != call_kind::stream &&
            route.objective * 2 >= route.timeout) {
            route_warning(row, "max_attempts",
                          "the time-out of " + in_ms(route.timeout) +
                              " passes before a silent server's request is sent elsewhere, after " +
                              in_ms(route.objective * 2));
        }
        const bool is_stream = route.kind == call_kind::stream;
        if (!is_stream && route.resumable) {
            route_warning(row, "resumable", "has no effect: the route has no streams");
        }
        if (!is_stream && route.event_gap.count() > 0) {
            route_warning(row, "event_gap", "has no effect: the route has no streams");
        }
        if (is_stream && route.event_gap > route.timeout) {
            route_warning(row, "event_gap",
                          in_ms(route.event_gap) + " is beyond the time-out of " +
                              in_ms(route.timeout));
        }
    }

    void check_account(std::size_t row, const client_account& account)
    {
        const auto add_error = [&](std::string field, std::string message) {
            add(finding_severity::error, config_section::accounts, row, std::move(field),
                std::move(message));
        };
        if (!account_names_.insert(account.name).second) {
            add_error("name", "another account has the name " + quoted(account.name));
        }
        for (const auto& key : account.keys) {
            const auto [holder, is_new] = key_holders_.emplace(key, account.name);
            if (!is_new && holder->second != account.name) {
                add_error("keys", "never matches: a key of account " + quoted(holder->second) +
                                      " is the same");
            } else if (!is_new) {
                add(finding_severity::warning, config_section::accounts, row, "keys",
                    "a key is listed twice");
            }
        }
        if (account.keys.empty()) {
            add(finding_severity::warning, config_section::accounts, row, "keys",
                "without a key nobody can use the account");
        }
        if (account.prepaid == token_count{0}) {
            add(finding_severity::warning, config_section::accounts, row, "prepaid",
                "an empty budget refuses every request to an engine");
        }
    }

    void check_unused_services()
    {
        for (const auto& [name, row] : services_) {
            if (!used_services_.contains(name)) {
                add(finding_severity::warning, config_section::services, row, "",
                    "no route leads to service " + quoted(name));
            }
        }
    }

    void check_limits()
    {
        const auto& limits = config_.limits;
        if (limits.max_head_bytes == 0) {
            add(finding_severity::error, config_section::limits, 0, "max_head_bytes",
                "every request is too large");
        }
        if (limits.head_timeout > limits.idle_timeout) {
            add(finding_severity::warning, config_section::limits, 0, "head_timeout",
                in_ms(limits.head_timeout) + " is longer than a connection may be idle, " +
                    in_ms(limits.idle_timeout));
        }
    }

    const fleet_config_content& config_;
    std::vector<config_finding> findings_;
    std::map<std::string, std::size_t> services_; ///< first row by name
    std::set<std::string> used_services_;
    std::set<std::string> route_names_;
    std::map<std::pair<std::string, std::string>, const call_route*> taken_by_; ///< host, prefix
    std::set<std::string> account_names_;
    std::map<std::string, std::string> key_holders_;
};

using field_texts = std::vector<std::pair<std::string, std::string>>;

std::string text_of(const std::vector<weighted_service>& services)
{
    std::string text;
    for (const auto& weighted : services) {
        text +=
            (text.empty() ? "" : ", ") + weighted.service + " " + std::to_string(weighted.weight);
    }
    return text;
}

std::string_view text_of(call_kind kind)
{
    switch (kind) {
    case call_kind::idempotent:
        return "idempotent";
    case call_kind::non_idempotent:
        return "non-idempotent";
    case call_kind::stream:
        break;
    }
    return "stream";
}

/// Keys are secret: shows their number and enough of each to tell them apart.
std::string text_of_keys(const std::vector<std::string>& keys)
{
    constexpr std::size_t shown = 4;
    std::string text;
    for (const auto& key : keys) {
        text += (text.empty() ? "" : ", ") + key.substr(0, std::min(shown, key.size() / 2)) + "...";
    }
    return text;
}

field_texts fields_of(const call_route& route)
{
    return {{"host", route.host},
            {"prefix", route.prefix},
            {"kind", std::string{text_of(route.kind)}},
            {"timeout", in_ms(route.timeout)},
            {"objective", in_ms(route.objective)},
            {"priority", std::to_string(route.priority)},
            {"services", text_of(route.services)},
            {"max_attempts", std::to_string(route.max_attempts)},
            {"is_public", route.is_public ? "true" : "false"},
            {"resumable", route.resumable ? "true" : "false"},
            {"event_gap", in_ms(route.event_gap)}};
}

field_texts fields_of(const service_options& service)
{
    field_texts fields{
        {"health_path", service.health_path},
        {"max_connections", std::to_string(service.max_connections)},
        {"warm_up", in_ms(service.warm_up)},
        {"warm_up_limit_per_1000_s", std::to_string(service.warm_up_limit_per_1000_s)}};
    if (service.engine) {
        fields.emplace_back("slots", std::to_string(service.engine->slots));
        fields.emplace_back("memory_tokens", std::to_string(service.engine->memory_tokens));
        fields.emplace_back("tokens_per_event", std::to_string(service.engine->tokens_per_event));
    }
    return fields;
}

field_texts fields_of(const client_account& account)
{
    return {{"keys", text_of_keys(account.keys)},
            {"priority", account.priority ? std::to_string(*account.priority) : "of the route"},
            {"prepaid", account.prepaid ? std::to_string(*account.prepaid) : "unlimited"}};
}

template <class Row>
std::map<std::string, const Row*> by_name(const std::vector<Row>& rows)
{
    std::map<std::string, const Row*> found;
    for (const auto& row : rows) {
        found.emplace(row.name, &row);
    }
    return found;
}

/// Compares the fields of one row; either list may lack fields.
void compare_fields(config_section section, const std::string& name, const field_texts& before,
                    const field_texts& after, std::vector<config_difference>& differences)
{
    std::map<std::string, std::pair<std::string, std::string>> values;
    for (const auto& [field, text] : before) {
        values[field].first = text;
    }
    for (const auto& [field, text] : after) {
        values[field].second = text;
    }
    for (const auto& [field, texts] : values) {
        if (texts.first != texts.second) {
            differences.push_back({config_difference::kind::changed, section, name, field,
                                   texts.first, texts.second});
        }
    }
}

template <class Row>
void compare_rows(config_section section, const std::vector<Row>& before,
                  const std::vector<Row>& after, std::vector<config_difference>& differences)
{
    const auto old_rows = by_name(before);
    const auto new_rows = by_name(after);
    for (const auto& [name, row] : old_rows) {
        const auto found = new_rows.find(name);
        if (found == new_rows.end()) {
            differences.push_back({config_difference::kind::removed, section, name, "", "", ""});
        } else if (*row != *found->second) {
            const auto count = differences.size();
            compare_fields(section, name, fields_of(*row), fields_of(*found->second), differences);
            if (differences.size() == count) {
                // The texts of two keys can be the same.
                differences.push_back(
                    {config_difference::kind::changed, section, name, "", "", ""});
            }
        }
    }
    for (const auto& [name, row] : new_rows) {
        if (!old_rows.contains(name)) {
            differences.push_back({config_difference::kind::added, section, name, "", "", ""});
        }
    }
}

field_texts fields_of(const caller_limits& limits)
{
    return {{"max_head_bytes", std::to_string(limits.max_head_bytes)},
            {"max_body_bytes", std::to_string(limits.max_body_bytes)},
            {"head_timeout", in_ms(limits.head_timeout)},
            {"idle_timeout", in_ms(limits.idle_timeout)}};
}
} // namespace

std::vector<config_finding> check_config(const fleet_config_content& config)
{
    return checker{config}.run();
}

std::vector<config_difference> compare_configs(const fleet_config_content& in_force,
                                               const fleet_config_content& proposed)
{
    std::vector<config_difference> differences;
    compare_fields(config_section::document, "", {{"version", std::to_string(in_force.version)}},
                   {{"version", std::to_string(proposed.version)}}, differences);
    compare_rows(config_section::routes, in_force.routes, proposed.routes, differences);
    compare_rows(config_section::services, in_force.services, proposed.services, differences);
    compare_rows(config_section::accounts,
                 in_force.accounts.value_or(std::vector<client_account>{}),
                 proposed.accounts.value_or(std::vector<client_account>{}), differences);
    if (in_force.accounts.has_value() != proposed.accounts.has_value()) {
        differences.push_back({config_difference::kind::changed, config_section::accounts, "", "",
                               in_force.accounts ? "keys needed" : "no keys needed",
                               proposed.accounts ? "keys needed" : "no keys needed"});
    }
    compare_fields(config_section::limits, "", fields_of(in_force.limits),
                   fields_of(proposed.limits), differences);
    return differences;
}

} // namespace jujubevalve
