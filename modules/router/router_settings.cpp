#include "router/router_settings.h"

#include <algorithm>

namespace jujubevalve
{

namespace
{
constexpr std::size_t min_secret_length = 16;

bool is_name(const std::string& text)
{
    constexpr std::size_t max_name_length = 63;
    const auto allowed = [](unsigned char c) {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
    };
    return !text.empty() && text.size() <= max_name_length &&
           std::all_of(text.begin(), text.end(), allowed);
}

void check_times(const router_settings& s, settings_check& errors)
{
    errors.range("settle_ms", s.settle_interval.count(), 50, 60'000);
    errors.range("config_poll_ms", s.config_poll_interval.count(), 50, 10'000);
    errors.range("gossip_ms", s.gossip_interval.count(), 50, 10'000);
    errors.range("load_ms", s.load_interval.count(), 50, 10'000);
    errors.range("instance_list_ms", s.instance_list_interval.count(), 50, 10'000);
    errors.range("instance_list_lag_ms", s.instance_list_lag.count(), 100, 600'000);
    errors.range("grant_horizon_ms", s.grant_horizon.count(), 1000, 86'400'000);
    errors.range("admission_wait_ms", s.admission_wait.count(), 0, 60'000);
    errors.range("budget_wait_ms", s.budget_wait.count(), 0, 60'000);
    errors.range("engine_idle_ms", s.engine_idle_timeout.count(), 100, 120'000);
    errors.range("request_timeout_ms", s.request_timeout.count(), 1000, 3'600'000);
    errors.range("peer_timeout_ms", s.peer_timeout.count(), 50, 60'000);
    errors.range("caller_idle_ms", s.caller_idle_timeout.count(), 1000, 600'000);
    errors.range("recovery_records_ms", s.recovery_records.count(), 0, 86'400'000);
    errors.range("stopping_grace_ms", s.stopping_grace.count(), 0, 60'000);
}

void check_names(const router_settings& s, settings_check& errors)
{
    constexpr auto expected = "1 to 63 characters of a-z, 0-9 and -";
    if (!is_name(s.instance)) {
        errors.fail("instance", s.instance, expected);
    }
    if (!is_name(s.failure_domain)) {
        errors.fail("failure_domain", s.failure_domain, expected);
    }
    if (!is_name(s.region)) {
        errors.fail("region", s.region, expected);
    }
}
} // namespace

void check(const router_settings& s, settings_check& errors)
{
    check_names(s, errors);
    errors.address("listen", s.listen);
    errors.address("peer_listen", s.peer_listen);
    if (!s.advertise.empty()) {
        errors.address("advertise", s.advertise);
    }
    if (!s.peer_advertise.empty()) {
        errors.address("peer_advertise", s.peer_advertise);
    }
    errors.address("platform", s.platform);
    for (const auto& seed : s.seeds) {
        errors.address("seeds", seed);
    }
    errors.required("platform_credential", s.platform_credential);
    if (s.fleet_secret.size() < min_secret_length) {
        errors.fail("fleet_secret", "(hidden)", "at least 16 characters");
    }
    errors.range("term", s.term, 1, INT64_MAX);
    errors.range("max_request_bytes", static_cast<std::int64_t>(s.max_request_bytes), 1024,
                 67'108'864);
    errors.range("max_connections", s.max_connections, 1, 20'000);
    errors.one_of("policy", s.policy, {"demand-driven", "static-shares", "platform-per-request"});
    check_times(s, errors);
}

} // namespace jujubevalve
