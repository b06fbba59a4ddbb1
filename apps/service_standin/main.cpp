#include "core/settings.h"
#include "standins/service_standin.h"
#include "standins/stop_signal.h"

#include <exception>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(listen, "127.0.0.1:0", "ip:port to listen on; port 0 takes a free one");
DEFINE_int64(slots, 16, "slots named in the load report");
DEFINE_int64(duration_ms, 5, "how long a call runs");
DEFINE_bool(deduplicate, false, "answer a known idempotency key without running it again");
DEFINE_bool(check_fencing, false, "refuse calls with an outdated fencing token");

namespace
{
void check_settings()
{
    jujubevalve::settings_check check;
    check.address("listen", FLAGS_listen);
    check.range("slots", FLAGS_slots, 1, 100'000);
    check.range("duration_ms", FLAGS_duration_ms, 0, 600'000);
    check.exit_on_error();
}
} // namespace

int main(int argc, char** argv)
{
    jujubevalve::read_settings("jujubevalve-service-standin: a plain service with non-idempotent "
                               "calls for tests and the demo",
                               argc, argv);
    check_settings();
    try {
        const jujubevalve::stop_signal stop;
        const jujubevalve::service_standin service{{FLAGS_listen, FLAGS_slots,
                                                    jujubevalve::time_ms{FLAGS_duration_ms},
                                                    FLAGS_deduplicate, FLAGS_check_fencing}};
        std::cout << "listening " << service.address() << std::endl;
        stop.wait();
    } catch (const std::exception& error) {
        std::cerr << "error: " << error.what() << "\n";
        return 1;
    }
    return 0;
}
