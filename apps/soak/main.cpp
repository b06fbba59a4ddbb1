#include "core/clock.h"
#include "core/settings.h"
#include "fault_plan.h"
#include "standins/site/kept_caller.h"

#include <array>
#include <atomic>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <random>
#include <thread>

DEFINE_int64(seed, 1, "seed of the faults, 1 to 1000000000");
DEFINE_int64(seconds, 20, "length of the disturbed part, 1 to 3600 s");
DEFINE_int64(gateways, 3, "gateway processes, 1 to 100");
DEFINE_int64(callers, 6, "threads that send requests, 1 to 64");
DEFINE_int64(kept_callers, 6, "threads that send many requests on each connection, 0 to 64");
DEFINE_int64(faulty_servers, 1, "servers of each service with faults on the wire, 0 to 8");
DEFINE_bool(planned_only, false,
            "only planned work: stops, reloads, changes; no request may be lost");
DEFINE_int64(chat_attempts, 2, "attempts of streams that may be resumed, 1 to 8");
DEFINE_int64(work_ms, 5, "interval between the events of a stream, 1 to 1000 ms");
DEFINE_int64(prepaid, 150000, "tokens of each account at the start, 0 to 1000000000");
DEFINE_string(logs, "",
              "folder for the gateways' logs; empty: a new one below the temporary folder");
DEFINE_bool(verbose, false, "print each fault");

using namespace jujubevalve;

namespace
{
site::site_options options()
{
    site::site_options made;
    made.gateways = static_cast<int>(FLAGS_gateways);
    made.seed = static_cast<std::uint64_t>(FLAGS_seed);
    made.prepaid = FLAGS_prepaid;
    made.chat_attempts = static_cast<int>(FLAGS_chat_attempts);
    made.faulty_servers = static_cast<int>(FLAGS_faulty_servers);
    made.failure_domains = 2;
    made.cold_limit_per_s = 4;
    made.log_folder = FLAGS_logs.empty() ? (std::filesystem::temp_directory_path() /
                                            ("jujubevalve-soak-" + std::to_string(FLAGS_seed)))
                                               .string()
                                         : FLAGS_logs;
    std::filesystem::remove_all(made.log_folder);
    std::filesystem::create_directories(made.log_folder);
    return made;
}

/// Sends calls of all kinds to gateways that the directories name, until it is stopped.
void send_calls(site::site& deployment, site::site_caller& caller, std::uint64_t seed,
                const std::atomic<bool>& stop)
{
    std::minstd_rand random{static_cast<std::minstd_rand::result_type>(seed)};
    const auto draw = [&](std::size_t n) {
        return std::uniform_int_distribution<std::size_t>{0, n - 1}(random);
    };
    std::vector<std::string> addresses;
    for (int n = 0; !stop; ++n) {
        if (n % 20 == 0 || addresses.empty()) {
            const auto& asked = deployment.gateways()[draw(deployment.gateways().size())];
            auto found = caller.resolve(asked.directory);
            addresses = found.empty() ? addresses : found;
        }
        if (!addresses.empty()) {
            constexpr std::array kinds{site::site_call::chat, site::site_call::note,
                                       site::site_call::order, site::site_call::stock};
            // Some prompts have the part that a fault lets crash servers.
            constexpr std::size_t prompts_per_crashing_one = 20;
            constexpr std::size_t calls_per_crashing_one = 40;
            const auto prefix = draw(prompts_per_crashing_one) == 0
                                    ? soak::fault_plan::crashing_prefix + std::to_string(n) + ":50"
                                    : std::string{};
            caller.call(addresses[draw(addresses.size())], kinds.at(draw(kinds.size())),
                        1 + static_cast<int>(draw(2)), prefix);
            if (draw(calls_per_crashing_one) == 0) {
                caller.call(addresses[draw(addresses.size())],
                            draw(2) == 0 ? site::site_call::crashing_order
                                         : site::site_call::crashing_stock,
                            1);
            }
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{draw(20)});
    }
}

/// Sends requests on kept connections to gateways that the directories name, until it is stopped.
void keep_connections(site::site& deployment, site::site_caller& caller, std::uint64_t seed,
                      const std::atomic<bool>& stop)
{
    std::minstd_rand random{static_cast<std::minstd_rand::result_type>(seed)};
    const auto draw = [&](std::size_t n) {
        return std::uniform_int_distribution<std::size_t>{0, n - 1}(random);
    };
    site::kept_caller_options options;
    options.expects_all = FLAGS_planned_only;
    options.http_1_0 = 200;
    options.leaves = FLAGS_planned_only ? 0 : 250;
    options.short_limits = FLAGS_planned_only ? 0 : 100;
    options.requests = 12;
    site::kept_caller kept{caller, options, seed};
    std::vector<std::string> addresses;
    while (!stop) {
        const auto& asked = deployment.gateways()[draw(deployment.gateways().size())];
        auto found = caller.resolve(asked.directory);
        addresses = found.empty() ? addresses : found;
        if (!addresses.empty()) {
            kept.run_connection(addresses[draw(addresses.size())]);
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{draw(20)});
    }
}

int report(const site::site_caller& caller, const soak::fault_plan& faults,
           std::size_t announcements)
{
    for (const auto& [status, count] : caller.statuses()) {
        std::cout << "status " << status << ": " << count << "\n";
    }
    std::cout << "complete answers: " << caller.complete() << "\n";
    std::cout << "leaving servers that gateways passed on: " << announcements << "\n";
    auto wrong = caller.violations();
    wrong.insert(wrong.end(), faults.violations().begin(), faults.violations().end());
    for (const auto& what : wrong) {
        std::cout << "violation: " << what << "\n";
    }
    if (caller.complete() == 0) {
        std::cout << "violation: nothing was served\n";
        return 1;
    }
    std::cout << "seed " << FLAGS_seed << ": "
              << (wrong.empty() ? "every promise held" : "promises were broken") << std::endl;
    return wrong.empty() ? 0 : 1;
}
} // namespace

int main(int argc, char** argv)
{
    read_settings(
        "jujubevalve-soak: runs gateways on loopback under faults and checks every answer", argc,
        argv);
    settings_check check;
    check.range("seed", FLAGS_seed, 1, 1'000'000'000);
    check.range("seconds", FLAGS_seconds, 1, 3600);
    check.range("gateways", FLAGS_gateways, 1, 100);
    check.range("callers", FLAGS_callers, 1, 64);
    check.range("kept_callers", FLAGS_kept_callers, 0, 64);
    check.range("faulty_servers", FLAGS_faulty_servers, 0, 8);
    check.range("chat_attempts", FLAGS_chat_attempts, 1, 8);
    check.range("work_ms", FLAGS_work_ms, 1, 1000);
    check.range("prepaid", FLAGS_prepaid, 0, 1'000'000'000);
    check.exit_on_error();
    try {
        const auto made = options();
        site::site deployment{made};
        site::site_caller caller{deployment};
        soak::fault_plan faults{deployment, caller, static_cast<std::uint64_t>(FLAGS_seed)};
        for (const auto& gateway : deployment.gateways()) {
            deployment.wait_ready(gateway);
        }
        std::atomic<bool> stop{false};
        std::vector<std::thread> callers;
        callers.reserve(static_cast<std::size_t>(FLAGS_callers));
        for (int i = 0; i < FLAGS_callers; ++i) {
            callers.emplace_back([&, i] {
                send_calls(deployment, caller, static_cast<std::uint64_t>(FLAGS_seed * 100 + i),
                           stop);
            });
        }
        for (int i = 0; i < FLAGS_kept_callers; ++i) {
            callers.emplace_back([&, i] {
                keep_connections(deployment, caller,
                                 static_cast<std::uint64_t>(FLAGS_seed * 100 + 50 + i), stop);
            });
        }
        for (auto& server : deployment.servers()) {
            server.server->work_ms = static_cast<int>(FLAGS_work_ms);
        }
        const auto end = steady_clock_ms{}.now() + seconds(FLAGS_seconds);
        while (steady_clock_ms{}.now() < end) {
            const auto name = FLAGS_planned_only ? faults.step_planned() : faults.step();
            if (FLAGS_verbose) {
                std::cout << "fault: " << name << std::endl;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds{faults.pause().count()});
        }
        if (FLAGS_planned_only) {
            faults.await_calm();
        } else {
            faults.check_calm();
        }
        stop = true;
        for (auto& thread : callers) {
            thread.join();
        }
        caller.check_responses_against_runs();
        // Kept beside the gateways' logs, which name what each call was charged.
        std::ofstream{std::filesystem::path{made.log_folder} / "spent"}
            << deployment.book().to_text();
        return report(caller, faults, deployment.leaving().announcements());
    } catch (const std::exception& error) {
        std::cerr << "error: " << error.what() << "\n";
        return 1;
    }
}
