#include "core/core.h"
#include "membership/tests/fake_network.h"
#include "peer/frame_codec.h"
#include "peer/message_codec.h"
#include "peer/peer.h"

#include <algorithm>
#include <ctime>
#include <fmt/format.h>
#include <gflags/gflags.h>
#include <iostream>
#include <nlohmann/json.hpp>

DEFINE_string(sizes, "3,9,27,81,243,450", "fleet sizes to measure");
DEFINE_int32(runs, 3, "runs for each size, each with its own seed");
DEFINE_int32(steady_s, 120, "simulated seconds over which traffic and suspicions are counted");
DEFINE_double(lost, 0.01, "part of the messages that are lost");
DEFINE_double(late, 0.01, "part of the messages that arrive 2.5 s late");
DEFINE_int32(interval_ms, 1000, "time between two rounds");
DEFINE_int32(fan_out, 2, "peers asked in each round");
DEFINE_int32(heartbeats, 16, "heartbeats in one digest");
DEFINE_int32(exchanges, 0,
             "instead: exchanges between a client and a server of the peer protocol over loopback, "
             "with full digests; prints the CPU time of both ends for one exchange");
DEFINE_bool(json, false, "print JSON instead of a table");

namespace
{
using namespace jujubevalve;

// Worst values over the runs of one size.
struct measurement {
    std::int64_t join_ms{0};    ///< from a start of all instances until each knows all
    std::int64_t rejoin_ms{0};  ///< until a restarted instance knows all and is known to all
    std::int64_t version_ms{0}; ///< until a new configuration version is in force everywhere
    std::int64_t drain_ms{0};   ///< until a drain is known everywhere
    std::int64_t death_ms{0};   ///< until a killed instance is suspected or removed everywhere
    std::int64_t oldest_ms{0};  ///< longest time that a live entry made no progress
    std::int64_t suspect_ms{0}; ///< the suspicion timeout at this size
    std::int64_t false_suspicions{0}; ///< (observer, live instance) pairs, sampled every second
    double max_sent_bytes_per_s{0};   ///< bytes/s of the node that sends most
    double total_bytes_per_s{0};      ///< bytes/s sent and received, mean over the nodes
    double messages_per_s{0};         ///< sent per second, mean over the nodes
    double cpu_ms{0};                 ///< CPU time per node and second, with encoding
};

std::size_t wire_bytes(const gossip_digest& digest)
{
    const auto payload = encode(message_traits<wire::gossip>::name,
                                apache::thrift::protocol::T_CALL, 1000, to_message(digest));
    return payload.size() + frame_codec::overhead_bytes;
}

double cpu_ms(clockid_t clock = CLOCK_THREAD_CPUTIME_ID)
{
    timespec used{};
    clock_gettime(clock, &used);
    return static_cast<double>(used.tv_sec) * 1e3 + static_cast<double>(used.tv_nsec) / 1e6;
}

// Keeps the larger time; -1 (limit exceeded) counts as the largest.
void keep_worst(std::int64_t& measured, std::int64_t value)
{
    measured = measured < 0 || value < 0 ? -1 : std::max(measured, value);
}

void measure_steady(fake_network& network, measurement& measured)
{
    network.reset_traffic();
    double used = 0;
    for (int second = 0; second < FLAGS_steady_s; ++second) {
        const auto begin = cpu_ms();
        network.run_for(seconds(1));
        used += cpu_ms() - begin;
        measured.false_suspicions += network.false_suspicions();
        keep_worst(measured.oldest_ms, network.oldest_progress().count());
    }
    const double time = FLAGS_steady_s;
    double total_bytes_per_s = 0;
    double messages_per_s = 0;
    for (const auto& node : network.nodes()) {
        measured.max_sent_bytes_per_s =
            std::max(measured.max_sent_bytes_per_s, static_cast<double>(node.bytes_sent) / time);
        total_bytes_per_s += static_cast<double>(node.bytes_sent + node.bytes_received) / time;
        messages_per_s += static_cast<double>(node.messages_sent) / time;
    }
    const auto size = static_cast<double>(network.nodes().size());
    measured.total_bytes_per_s = std::max(measured.total_bytes_per_s, total_bytes_per_s / size);
    measured.messages_per_s = std::max(measured.messages_per_s, messages_per_s / size);
    measured.cpu_ms = std::max(measured.cpu_ms, used / size / time);
}

void measure_changes(fake_network& network, measurement& measured)
{
    const auto limit = minutes(5);
    network.table(0).set_config(1, 7);
    const auto in_force = [](member_table& table) { return table.own().config_version == 7; };
    keep_worst(measured.version_ms,
               network.run_until([&] { return network.all(in_force); }, limit));

    const auto drained = network.nodes().size() - 1;
    const auto name = network.table(drained).own().incarnation;
    network.table(drained).set_draining();
    const auto knows = [&](member_table& table) {
        const auto view = table.find(name, network.now());
        return table.own().incarnation == name ||
               (view && view->entry.state == member_state::draining);
    };
    keep_worst(measured.drain_ms, network.run_until([&] { return network.all(knows); }, limit));

    const auto killed = network.table(1).own().incarnation;
    network.kill(1);
    const auto left_or_suspected = [&](member_table& table) {
        const auto view = table.find(killed, network.now());
        return !view || view->suspected;
    };
    keep_worst(measured.death_ms,
               network.run_until([&] { return network.all(left_or_suspected); }, limit));
}

void measure_restart(fake_network& network, measurement& measured)
{
    const auto restarted = network.nodes().size() - 1;
    network.kill(restarted);
    network.start(restarted);
    const auto name = network.table(restarted).own().incarnation;
    const auto size = static_cast<int>(network.nodes().size());
    const auto joined = [&](member_table& table) {
        return table.own().incarnation == name ? table.live_instances(network.now()) == size
                                               : table.find(name, network.now()).has_value();
    };
    keep_worst(measured.rejoin_ms,
               network.run_until([&] { return network.all(joined); }, minutes(5)));
}

measurement measure(std::size_t size)
{
    measurement measured;
    for (int run = 1; run <= FLAGS_runs; ++run) {
        fake_network_options options;
        options.size = size;
        options.lost = FLAGS_lost;
        options.late = FLAGS_late;
        options.seed = static_cast<std::uint32_t>(run);
        options.size_of = wire_bytes;
        options.settings.interval = time_ms{FLAGS_interval_ms};
        options.settings.fan_out = static_cast<std::size_t>(FLAGS_fan_out);
        options.settings.max_heartbeats = static_cast<std::size_t>(FLAGS_heartbeats);
        fake_network network{options};
        const auto live = static_cast<int>(size);
        keep_worst(measured.join_ms,
                   network.run_until([&] { return network.all_know(live); }, minutes(10)));
        network.run_for(seconds(60));
        measured.suspect_ms = network.table(0).suspicion_timeout().count();
        measure_steady(network, measured);
        measure_restart(network, measured);
        measure_changes(network, measured);
    }
    return measured;
}

nlohmann::json to_json(std::size_t size, const measurement& m)
{
    return {{"instances", size},
            {"join_ms", m.join_ms},
            {"rejoin_ms", m.rejoin_ms},
            {"version_ms", m.version_ms},
            {"drain_ms", m.drain_ms},
            {"death_ms", m.death_ms},
            {"suspect_after_ms", m.suspect_ms},
            {"oldest_progress_ms", m.oldest_ms},
            {"false_suspicions", m.false_suspicions},
            {"max_bytes_sent_per_s", m.max_sent_bytes_per_s},
            {"mean_bytes_sent_and_received_per_s", m.total_bytes_per_s},
            {"messages_sent_per_s", m.messages_per_s},
            {"cpu_ms_per_s", m.cpu_ms}};
}

gossip_digest full_digest()
{
    gossip_digest digest;
    for (int i = 0; i < FLAGS_heartbeats; ++i) {
        digest.heartbeats.push_back({id_of(std::to_string(i)), 100'000 + i, member_state::active});
    }
    return digest;
}

void measure_transport()
{
    counters counts;
    peer_options options;
    options.secret = "measure";
    peer_handler handler;
    handler.gossip = [](const wire::gossip& request, const peer_caller&) {
        return to_message(to_digest(request));
    };
    const peer_server server{options, handler, counts};
    peer_client client{options, counts};
    const auto digest = full_digest();
    int answered = 0;
    const auto begin = cpu_ms(CLOCK_PROCESS_CPUTIME_ID);
    for (int i = 0; i < FLAGS_exchanges; ++i) {
        answered += client.call(server.address(), to_message(digest), seconds(5)) ? 1 : 0;
    }
    const auto used = cpu_ms(CLOCK_PROCESS_CPUTIME_ID) - begin;
    const auto bytes = counts.at("peer_control_bytes_sent").load();
    fmt::print("{} of {} exchanges answered, {:.3f} ms CPU and {} bytes for one\n", answered,
               FLAGS_exchanges, used / FLAGS_exchanges, bytes / FLAGS_exchanges);
}
} // namespace

int main(int argc, char** argv)
{
    read_settings("jujubevalve-gossip-measure [--sizes 3,9,27] [--json]: gossip between member "
                  "tables over a network in memory; prints the worst value of all runs",
                  argc, argv);
    settings_check check;
    check.range("runs", FLAGS_runs, 1, 100);
    check.range("steady_s", FLAGS_steady_s, 1, 3600);
    check.range("interval_ms", FLAGS_interval_ms, 100, 60'000);
    check.range("fan_out", FLAGS_fan_out, 1, 16);
    check.range("heartbeats", FLAGS_heartbeats, 1, 1000);
    check.range("exchanges", FLAGS_exchanges, 0, 1'000'000);
    check.exit_on_error();
    if (FLAGS_exchanges > 0) {
        measure_transport();
        return 0;
    }
    auto rows = nlohmann::json::array();
    if (!FLAGS_json) {
        fmt::print(
            "{:>9} {:>7} {:>8} {:>9} {:>8} {:>8} {:>10} {:>9} {:>6} {:>7} {:>8} {:>6} {:>8}\n",
            "instances", "join s", "rejoin s", "version s", "drain s", "death s", "suspect s",
            "oldest s", "false", "sent/s", "s+r/s", "msg/s", "cpu ms/s");
    }
    for (const auto& text : split_list(FLAGS_sizes)) {
        const auto size = std::stoul(text);
        const auto m = measure(size);
        if (FLAGS_json) {
            rows.push_back(to_json(size, m));
            continue;
        }
        const auto s = [](std::int64_t ms) { return static_cast<double>(ms) / 1000; };
        fmt::print(
            "{:>9} {:>7.1f} {:>8.1f} {:>9.1f} {:>8.1f} {:>8.1f} {:>10.1f} {:>9.1f} {:>6} {:>7.0f} "
            "{:>8.0f} {:>6.2f} {:>8.3f}\n",
            size, s(m.join_ms), s(m.rejoin_ms), s(m.version_ms), s(m.drain_ms), s(m.death_ms),
            s(m.suspect_ms), s(m.oldest_ms), m.false_suspicions, m.max_sent_bytes_per_s,
            m.total_bytes_per_s, m.messages_per_s, m.cpu_ms);
    }
    if (FLAGS_json) {
        std::cout << rows.dump(2) << "\n";
    }
    return 0;
}
