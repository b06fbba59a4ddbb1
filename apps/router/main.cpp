#include "core/core.h"
#include "router/router.h"

#include <chrono>
#include <csignal>
#include <exception>
#include <gflags/gflags.h>
#include <iostream>
#include <spdlog/sinks/stdout_color_sinks.h>
#include <spdlog/spdlog.h>
#include <thread>

DEFINE_string(instance, "", "name of this instance: 1 to 63 characters of a-z, 0-9 and -");
DEFINE_string(failure_domain, "", "failure domain of this instance");
DEFINE_string(region, "", "region of this instance");
DEFINE_string(listen, "127.0.0.1:0", "ip:port of the caller API; port 0 takes a free one");
DEFINE_string(peer_listen, "127.0.0.1:0", "ip:port of the peer protocol; port 0 takes a free one");
DEFINE_string(advertise, "",
              "ip:port under which callers reach --listen; empty takes the address it is bound to");
DEFINE_string(peer_advertise, "",
              "ip:port under which peers reach --peer_listen; empty takes the address it is bound "
              "to. With another address, a successor on the same instance does not prove that this "
              "process is gone; recovery then needs the platform's instance list");
DEFINE_string(seeds, "", "ip:port,... of peers to ask first");
DEFINE_string(platform, "", "ip:port of the platform's services");
DEFINE_string(platform_credential, "",
              "bearer credential for the platform; better set by "
              "JUJUBEVALVE_PLATFORM_CREDENTIAL");
DEFINE_string(fleet_secret, "",
              "secret of the fleet, at least 16 characters; better set by "
              "JUJUBEVALVE_FLEET_SECRET");
DEFINE_int64(term, 1, "contract term that this fleet serves");
DEFINE_string(policy, "demand-driven",
              "grant policy: demand-driven, static-shares or platform-per-request");
DEFINE_int64(max_request_bytes, 4194304, "longest request body, 1024 to 67108864 bytes");
DEFINE_int64(max_connections, 2000, "most caller connections at a time, 1 to 20000");
DEFINE_int64(settle_ms, 2000, "interval of settlement segments, 50 to 60000 ms");
DEFINE_int64(config_poll_ms, 2000, "interval of configuration polls, 50 to 10000 ms");
DEFINE_int64(gossip_ms, 1000, "interval of gossip rounds, 50 to 10000 ms");
DEFINE_int64(load_ms, 500, "interval of load reports, 50 to 10000 ms");
DEFINE_int64(instance_list_ms, 1000, "interval of reads of the instance list, 50 to 10000 ms");
DEFINE_int64(instance_list_lag_ms, 10000,
             "longest lag of the platform's instance list, 100 to 600000 ms");
DEFINE_int64(grant_horizon_ms, 4200000, "demand that a grant covers, 1000 to 86400000 ms");
DEFINE_int64(admission_wait_ms, 2000, "longest wait for a slot, 0 to 60000 ms");
DEFINE_int64(budget_wait_ms, 1500, "longest wait for a refill, 0 to 60000 ms");
DEFINE_int64(engine_idle_ms, 3000, "silence after which a stream is resumed, 100 to 120000 ms");
DEFINE_int64(request_timeout_ms, 300000, "longest run of one request, 1000 to 3600000 ms");
DEFINE_int64(peer_timeout_ms, 2000, "longest wait for a peer, 50 to 60000 ms");
DEFINE_int64(caller_idle_ms, 30000,
             "a caller connection without a byte is closed after 1000 to 600000 ms");
DEFINE_int64(stopping_grace_ms, 2000,
             "time after the announcement of a drain during which retries are pointed elsewhere, "
             "0 to 60000 ms");
DEFINE_int64(drain_limit_ms, 600000,
             "longest time for returning grants at the end of a drain, 1000 to 3600000 ms");
DEFINE_int64(recovery_records_ms, 600000,
             "how far back a backend server's records must go before an unknown request counts as "
             "not run, 0 to 86400000 ms");

namespace
{
volatile std::sig_atomic_t stop_requested = 0;

void request_stop(int /*signal*/)
{
    stop_requested = 1;
}

using jujubevalve::time_ms;

void read_times(jujubevalve::router_settings& settings)
{
    settings.settle_interval = time_ms{FLAGS_settle_ms};
    settings.config_poll_interval = time_ms{FLAGS_config_poll_ms};
    settings.gossip_interval = time_ms{FLAGS_gossip_ms};
    settings.load_interval = time_ms{FLAGS_load_ms};
    settings.instance_list_interval = time_ms{FLAGS_instance_list_ms};
    settings.instance_list_lag = time_ms{FLAGS_instance_list_lag_ms};
    settings.grant_horizon = time_ms{FLAGS_grant_horizon_ms};
    settings.admission_wait = time_ms{FLAGS_admission_wait_ms};
    settings.budget_wait = time_ms{FLAGS_budget_wait_ms};
    settings.engine_idle_timeout = time_ms{FLAGS_engine_idle_ms};
    settings.request_timeout = time_ms{FLAGS_request_timeout_ms};
    settings.peer_timeout = time_ms{FLAGS_peer_timeout_ms};
    settings.caller_idle_timeout = time_ms{FLAGS_caller_idle_ms};
    settings.stopping_grace = time_ms{FLAGS_stopping_grace_ms};
    settings.recovery_records = time_ms{FLAGS_recovery_records_ms};
}

jujubevalve::router_settings read_flags()
{
    jujubevalve::router_settings settings;
    settings.instance = FLAGS_instance;
    settings.failure_domain = FLAGS_failure_domain;
    settings.region = FLAGS_region;
    settings.listen = FLAGS_listen;
    settings.peer_listen = FLAGS_peer_listen;
    settings.advertise = FLAGS_advertise;
    settings.peer_advertise = FLAGS_peer_advertise;
    settings.seeds = jujubevalve::split_list(FLAGS_seeds);
    settings.platform = FLAGS_platform;
    settings.platform_credential = FLAGS_platform_credential;
    settings.fleet_secret = FLAGS_fleet_secret;
    settings.term = FLAGS_term;
    settings.policy = FLAGS_policy;
    settings.max_request_bytes = static_cast<std::size_t>(FLAGS_max_request_bytes);
    settings.max_connections = FLAGS_max_connections;
    read_times(settings);
    return settings;
}

int serve(const jujubevalve::router_settings& settings)
{
    jujubevalve::router router{settings};
    std::cout << "listening " << router.http_address() << " peer " << router.peer_address()
              << " incarnation " << router.incarnation() << std::endl;
    while (stop_requested == 0 && !router.must_stop()) {
        std::this_thread::sleep_for(std::chrono::milliseconds{50});
    }
    if (router.must_stop()) {
        spdlog::error("this incarnation was closed or its term is over");
        return 1;
    }
    return router.drain(time_ms{FLAGS_drain_limit_ms}) ? 0 : 3;
}
} // namespace

int main(int argc, char** argv)
{
    jujubevalve::read_settings(
        "jujubevalve-router: routes requests of callers to backend servers under prepaid budgets.\n"
        "SIGTERM drains: no new work, requests in flight end, grants are returned.\n"
        "Exit codes: 0 drained, 1 closed by others or term over, 2 wrong setting, 3 drained but "
        "the platform did not take the grants back.",
        argc, argv);
    const auto settings = read_flags();
    jujubevalve::settings_check errors;
    check(settings, errors);
    errors.range("drain_limit_ms", FLAGS_drain_limit_ms, 1000, 3'600'000);
    errors.exit_on_error();
    spdlog::set_default_logger(spdlog::stderr_color_mt("jujubevalve-router"));
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGTERM, &request_stop);
    std::signal(SIGINT, &request_stop);
    try {
        return serve(settings);
    } catch (const std::exception& error) {
        std::cerr << "error: " << error.what() << "\n";
        return 1;
    }
}
