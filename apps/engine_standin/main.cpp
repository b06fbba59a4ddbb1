#include "core/settings.h"
#include "standins/engine_standin.h"
#include "standins/stop_signal.h"

#include <exception>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(listen, "127.0.0.1:0", "ip:port to listen on; port 0 takes a free one");
DEFINE_int64(slots, 8, "requests that run at the same time");
DEFINE_int64(queue_limit, 1000, "requests that may wait for a slot");
DEFINE_int64(tokens_per_second, 100, "tokens generated for each running request");
DEFINE_int64(batching_delay_ms, 20, "time from the slot to the first token");
DEFINE_int64(load_lag_ms, 500, "age of the load report");
DEFINE_int64(heartbeat_ms, 500, "a stream without a token sends a comment this often");
DEFINE_int64(retention_ms, 3600000, "how long records of ended runs are kept");
DEFINE_bool(check_fencing, false, "refuse starts and orders with an outdated fencing token");

namespace
{
void check_settings()
{
    jujubevalve::settings_check check;
    check.address("listen", FLAGS_listen);
    check.range("slots", FLAGS_slots, 1, 100'000);
    check.range("queue_limit", FLAGS_queue_limit, 0, 1'000'000);
    check.range("tokens_per_second", FLAGS_tokens_per_second, 1, 1'000'000);
    check.range("batching_delay_ms", FLAGS_batching_delay_ms, 0, 60'000);
    check.range("load_lag_ms", FLAGS_load_lag_ms, 0, 60'000);
    check.range("heartbeat_ms", FLAGS_heartbeat_ms, 10, 600'000);
    check.range("retention_ms", FLAGS_retention_ms, 1000, 86'400'000);
    check.exit_on_error();
}

jujubevalve::engine_standin_options read_options()
{
    using jujubevalve::time_ms;
    jujubevalve::engine_standin_options options;
    options.address = FLAGS_listen;
    options.speed.slots = FLAGS_slots;
    options.speed.queue_limit = FLAGS_queue_limit;
    options.speed.tokens_per_second = FLAGS_tokens_per_second;
    options.speed.batching_delay = time_ms{FLAGS_batching_delay_ms};
    options.speed.retention = time_ms{FLAGS_retention_ms};
    options.load_lag = time_ms{FLAGS_load_lag_ms};
    options.heartbeat = time_ms{FLAGS_heartbeat_ms};
    options.check_fencing = FLAGS_check_fencing;
    return options;
}
} // namespace

int main(int argc, char** argv)
{
    jujubevalve::read_settings("jujubevalve-engine-standin: a model engine for tests and the demo",
                               argc, argv);
    check_settings();
    try {
        const jujubevalve::stop_signal stop;
        const jujubevalve::engine_standin engine{read_options()};
        std::cout << "listening " << engine.address() << std::endl;
        stop.wait();
    } catch (const std::exception& error) {
        std::cerr << "error: " << error.what() << "\n";
        return 1;
    }
    return 0;
}
