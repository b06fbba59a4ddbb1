#include "gateway/gateway_settings.h"

#include "core/settings.h"

#include <algorithm>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(settings, "", "path of a file with one --flag=value on each line");
DEFINE_string(instance, "", "name of this instance, unique in the deployment");
DEFINE_string(failure_domain, "", "failure domain of this instance");
DEFINE_string(listen, "", "ip:port for callers");
DEFINE_string(readiness_listen, "", "ip:port that answers whether this instance is ready");
DEFINE_string(directory_listen, "",
              "ip:port that answers with addresses for callers; may be empty");
DEFINE_string(metrics_listen, "", "ip:port of counters and histograms as text; may be empty");
DEFINE_string(store, "", "ip:port of the platform's table store");
DEFINE_string(relay_listen, "",
              "ip:port that passes other instances' calls on to the store; may be empty");
DEFINE_string(peer_listen, "",
              "ip:port where other instances reserve tokens of budgets held here; may be empty");
DEFINE_string(peer_advertise, "",
              "ip:port at which other instances reach --peer_listen; if empty, that address");
DEFINE_int64(address_ttl_ms, 2000, "how long callers may keep addresses, 500 to 60000 ms");
DEFINE_double(stop_limit_s, 8, "longest time from SIGTERM to the end, 1 to 600 s");
DEFINE_double(retry_ratio, 0.2, "repeats for each request of a service, whole fleet, 0 to 10");
DEFINE_double(retry_window_s, 10, "window of the bound on repeats, 1 to 600 s");
DEFINE_double(retry_slack, 10, "repeats in a window beyond the ratio, whole fleet, 0 to 100000");
DEFINE_double(cpu_cores, 1, "part of a core, or cores, that this process may use, 0.01 to 1024");
DEFINE_double(link_mbps, 1000, "speed of this machine's link, 0.1 to 1000000 Mbit/s");
DEFINE_double(store_writes_per_s, 800,
              "writes a second that the store takes from the whole fleet, 1 to 1000000");
DEFINE_int64(grant_horizon_ms, 10000,
             "demand that a grant covers at least, so that an outage of the store of that length "
             "refuses nobody; twice this is kept at most, 100 to 600000 ms");
DEFINE_double(warm_up_overage, 1.5,
              "requests in a second that a cold server may get from the whole fleet, as a multiple "
              "of the rate that its service names, 1 to 10");
DEFINE_int64(
    digest_min_instances, 128,
    "live instances from which on two of them publish a digest for the others, 3 to 100000");

namespace jujubevalve
{

namespace
{
void check_number(settings_check& check, std::string_view flag, double value, double low,
                  double high)
{
    if (!(value >= low && value <= high)) {
        check.fail(flag, std::to_string(value),
                   "a number from " + std::to_string(low) + " to " + std::to_string(high));
    }
}

// Takes a fraction, since the platform may give seconds as whole numbers or as fractions.
time_ms from_seconds(double count)
{
    return time_ms{static_cast<std::int64_t>(count * 1000)};
}

settings_check check_flags()
{
    settings_check check;
    check.required("instance", FLAGS_instance);
    check.address("listen", FLAGS_listen);
    check.address("readiness_listen", FLAGS_readiness_listen);
    check.address("store", FLAGS_store);
    if (!FLAGS_directory_listen.empty()) {
        check.address("directory_listen", FLAGS_directory_listen);
    }
    if (!FLAGS_metrics_listen.empty()) {
        check.address("metrics_listen", FLAGS_metrics_listen);
    }
    if (!FLAGS_relay_listen.empty()) {
        check.address("relay_listen", FLAGS_relay_listen);
    }
    if (!FLAGS_peer_listen.empty()) {
        check.address("peer_listen", FLAGS_peer_listen);
    }
    if (!FLAGS_peer_advertise.empty()) {
        check.address("peer_advertise", FLAGS_peer_advertise);
    }
    check.range("address_ttl_ms", FLAGS_address_ttl_ms, 500, 60'000);
    check_number(check, "stop_limit_s", FLAGS_stop_limit_s, 1, 600);
    check_number(check, "retry_window_s", FLAGS_retry_window_s, 1, 600);
    check_number(check, "retry_slack", FLAGS_retry_slack, 0, 100'000);
    check_number(check, "retry_ratio", FLAGS_retry_ratio, 0, 10);
    check_number(check, "cpu_cores", FLAGS_cpu_cores, 0.01, 1024);
    check_number(check, "link_mbps", FLAGS_link_mbps, 0.1, 1'000'000);
    check_number(check, "store_writes_per_s", FLAGS_store_writes_per_s, 1, 1'000'000);
    check.range("grant_horizon_ms", FLAGS_grant_horizon_ms, 100, 600'000);
    check_number(check, "warm_up_overage", FLAGS_warm_up_overage, 1, 10);
    check.range("digest_min_instances", FLAGS_digest_min_instances, 3, 100'000);
    return check;
}

/// CPU time of a request with its events on a busy machine. machine_capacity() allows for twice as
/// much, so that callers are sent elsewhere long before requests wait at the door.
constexpr double cpu_s_per_request = 0.0004;

// Requests per second that the CPU and the link allow: a request with its events takes 0.8 ms of
// CPU time, at most 60 % of the CPU is used, and a request and its response transfer 40 KB.
std::int64_t machine_capacity()
{
    constexpr double requests_per_core = 0.6 / 0.0008;
    constexpr double requests_per_mbps = 1e6 / 8 / 40'000;
    return static_cast<std::int64_t>(
        std::min(FLAGS_cpu_cores * requests_per_core, FLAGS_link_mbps * requests_per_mbps));
}

gateway_settings from_flags()
{
    gateway_settings settings;
    settings.instance = FLAGS_instance;
    settings.failure_domain = FLAGS_failure_domain;
    settings.listen = FLAGS_listen;
    settings.readiness_listen = FLAGS_readiness_listen;
    settings.directory_listen = FLAGS_directory_listen;
    settings.metrics_listen = FLAGS_metrics_listen;
    settings.store = FLAGS_store;
    settings.relay_listen = FLAGS_relay_listen;
    settings.peer_listen = FLAGS_peer_listen;
    settings.peer_advertise =
        FLAGS_peer_advertise.empty() ? FLAGS_peer_listen : FLAGS_peer_advertise;
    settings.address_ttl = time_ms{FLAGS_address_ttl_ms};
    settings.stop_limit = from_seconds(FLAGS_stop_limit_s);
    settings.retry_limit = {FLAGS_retry_ratio, from_seconds(FLAGS_retry_window_s),
                            static_cast<std::int64_t>(FLAGS_retry_slack)};
    settings.capacity = machine_capacity();
    settings.link_mbps = FLAGS_link_mbps;
    settings.cpu_requests_per_s = FLAGS_cpu_cores / cpu_s_per_request;
    settings.store_writes_per_s = FLAGS_store_writes_per_s;
    settings.grant_horizon = time_ms{FLAGS_grant_horizon_ms};
    settings.warm_up_overage = FLAGS_warm_up_overage;
    settings.digest_min_instances = FLAGS_digest_min_instances;
    return settings;
}
} // namespace

gateway_settings read_gateway_settings(int& argc, char** argv)
{
    read_settings("jujubevalve-gateway: routes callers' requests to backend servers", argc, argv);
    if (!FLAGS_settings.empty() && !gflags::ReadFromFlagsFile(FLAGS_settings, argv[0], false)) {
        std::cerr << "error: settings file " << FLAGS_settings << " is not valid\n";
        std::exit(2);
    }
    check_flags().exit_on_error();
    return from_flags();
}

result<gateway_settings> reload_gateway_settings()
{
    if (FLAGS_settings.empty()) {
        return from_flags();
    }
    if (!gflags::ReadFromFlagsFile(FLAGS_settings, "jujubevalve-gateway", false)) {
        return failure{result_code::invalid_setting,
                       "settings file " + FLAGS_settings + " is not valid"};
    }
    const auto check = check_flags();
    if (!check.errors().empty()) {
        return failure{result_code::invalid_setting, check.errors().front()};
    }
    return from_flags();
}

} // namespace jujubevalve
