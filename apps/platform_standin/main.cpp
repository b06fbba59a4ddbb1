#include "core/settings.h"
#include "standins/platform_server.h"

#include <csignal>
#include <exception>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(listen, "127.0.0.1:0", "ip:port to listen on; port 0 takes a free one");
DEFINE_string(credential, "", "bearer credential that every call has to show");
DEFINE_int64(instance_list_lag_ms, 2000, "time until the instance list shows a change");
DEFINE_int64(delay_ms, 0, "time that every call waits before it runs");
DEFINE_double(lost_answers, 0.0, "share of writes that take effect and lose their answer, 0 to 1");
DEFINE_uint64(seed, 1, "seed of the choice which answers are lost");

using namespace jujubevalve;

namespace
{
constexpr std::string_view usage = R"(jujubevalve-platform-standin [flags]

Stands in for the platform: table service, object store and instance list over HTTP, all in memory.
Prints "listening <ip:port>" and serves until SIGTERM or SIGINT. Every call needs the credential.

  POST /v1/commit /v1/read /v1/scan    table service
  PUT, GET /v1/objects/<name>          object store; GET /v1/objects?prefix=P lists names
  GET /v1/instances                    instance list
  POST /admin/faults                   {"outage":bool,"delay_ms":N,"lost_answers":0..1,"seed":N}
  POST /admin/instances                {"action":"add|leaving|remove","name":N,"address":IP,
                                        "failure_domain":D}
  GET /admin/counts                    calls so far

Exit codes: 0 stopped by a signal, 1 cannot listen, 2 wrong usage.

Example:
  jujubevalve-platform-standin --listen=127.0.0.1:7400 --credential=demo)";

void check_settings()
{
    settings_check check;
    check.address("listen", FLAGS_listen);
    check.required("credential", FLAGS_credential);
    check.range("instance_list_lag_ms", FLAGS_instance_list_lag_ms, 0, 600'000);
    check.range("delay_ms", FLAGS_delay_ms, 0, 600'000);
    if (!(FLAGS_lost_answers >= 0.0 && FLAGS_lost_answers <= 1.0)) {
        check.fail("lost_answers", std::to_string(FLAGS_lost_answers), "a number from 0 to 1");
    }
    check.exit_on_error();
}

void serve_until_signal()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    // Blocked before the server starts its threads, so that only sigwait takes them.
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    platform_server server{{FLAGS_listen, FLAGS_credential, time_ms{FLAGS_instance_list_lag_ms}}};
    server.faults().set({false, time_ms{FLAGS_delay_ms}, FLAGS_lost_answers, 0.0, FLAGS_seed});
    std::cout << "listening " << server.address() << std::endl;
    int signal = 0;
    sigwait(&signals, &signal);
}
} // namespace

int main(int argc, char** argv)
{
    read_settings(usage, argc, argv);
    check_settings();
    try {
        serve_until_signal();
    } catch (const std::exception& error) {
        std::cerr << "error: " << error.what() << "\n";
        return 1;
    }
    return 0;
}
