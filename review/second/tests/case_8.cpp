// A stream whose sound server pauses is cut while its machine stops, as no other server takes it.
#include "site.h"

#include <csignal>

using namespace review;

namespace
{
constexpr int events = 36;
constexpr std::int64_t event_ms = 100;
/// A preempted request comes back after this time. Clients abandon a stream after a gap of two
/// seconds, four times the objective (2.4 s) or eight times the longest pause (2 s).
constexpr std::int64_t pause_ms = 2000;
constexpr int pause_before_event = 15;
/// The machine is stopped this long after its stream has begun.
constexpr std::int64_t stop_after_ms = 1000;
constexpr std::int64_t grace_ms = 8000;

/// The engines of the service. Each of them is full as soon as it or another one has taken the
/// round's request, as at a busy hour.
class pool
{
public:
    pool(recorder& record, bool pauses)
        : record_{record}
        , pauses_{pauses}
    {
    }
    bool take(const std::string& engine, const std::string& id)
    {
        const std::lock_guard lock{mutex_};
        if (!holder_.empty()) {
            record_.line(engine + ": " + id + " refused as not run, all slots are taken");
            return false;
        }
        holder_ = engine;
        record_.line(engine + ": " + id + " runs");
        return true;
    }
    void begin_round()
    {
        const std::lock_guard lock{mutex_};
        holder_.clear();
    }
    [[nodiscard]] bool pauses() const { return pauses_; }
    void line(const std::string& text) { record_.line(text); }

private:
    recorder& record_;
    bool pauses_;
    std::mutex mutex_;
    std::string holder_;
};

class engine
{
public:
    engine(std::string id, pool& all)
        : id_{std::move(id)}
        , pool_{all}
        , listener_{[this](connection& peer) { serve(peer); }}
    {
    }
    [[nodiscard]] const std::string& id() const { return id_; }
    [[nodiscard]] const std::string& address() const { return listener_.address(); }

private:
    void serve(connection& peer)
    {
        message request;
        while (peer.read_request(request, 60'000)) {
            const auto id = request.header("x-request-id");
            if (request.header("x-expect-instance") != id_) {
                peer.send(refusal("421 Misdirected Request", id));
            } else if (!pool_.take(id_, id)) {
                peer.send(refusal("503 Service Unavailable", id));
            } else if (!stream(peer, id)) {
                return;
            }
        }
    }

    bool stream(connection& peer, const std::string& id)
    {
        for (int number = 1; number <= events; ++number) {
            if (number == pause_before_event && pool_.pauses()) {
                pool_.line(id_ + ": " + id + " is preempted");
                const bool left = peer.peer_leaves_within(pause_ms);
                pool_.line(id_ + ": " + id +
                           (left ? " is dropped, the machine has closed its "
                                   "connection"
                                 : " goes on"));
                if (left) {
                    return false;
                }
            }
            sleep_ms(event_ms);
            if (!peer.send((number == 1 ? stream_head(id) : "") + chunk(event(id, number)))) {
                return false;
            }
        }
        const bool sent = peer.send("0\r\n\r\n");
        pool_.line(id_ + ": " + id + " is complete");
        return sent;
    }

    std::string id_;
    pool& pool_;
    listener listener_;
};
} // namespace

int main(int argc, char** argv)
{
    auto made = read_setting(argc, argv);
    auto& record = *made.record;
    pool all{record, made.trouble};
    store rows;
    rows.put("op", "config", manifest(7, 100'000'000));
    std::vector<std::unique_ptr<engine>> servers;
    for (int i = 1; i <= 3; ++i) {
        servers.push_back(std::make_unique<engine>("i-engine" + std::to_string(i), all));
        rows.put("servers", servers.back()->id(),
                 server_entry(engines, servers.back()->address(), "jm-south-a", 64, "ready"));
    }
    auto gateways = start_gateways(made, 3, rows);

    // Each machine is stopped in turn, with one stream in progress, and starts again.
    int cut = 0;
    int whole = 0;
    for (int round = 1; round <= 6; ++round) {
        auto& machine = *gateways[static_cast<std::size_t>(round) % gateways.size()];
        const auto id = "9c41d07be2a35f" + std::to_string(10 + round);
        all.begin_round();
        connection caller{machine.frontend()};
        message got;
        std::atomic<std::int64_t> stopped_at{0};
        std::thread stop{[&] {
            sleep_ms(stop_after_ms);
            stopped_at = now_ms();
            record.line("SIGTERM of " + machine.name());
            machine.signal(SIGTERM);
        }};
        record.line(id + " sent to " + machine.name());
        int received = 0;
        std::int64_t last_event_at = now_ms();
        std::int64_t longest_gap = 0;
        const bool answered = caller.is_open() && caller.send(brief_request(id, events)) &&
                              caller.read_head(got, 2400);
        if (answered) {
            last_event_at = now_ms();
            caller.read_body(got, now_ms() + 8000, [&](std::string_view /*bytes*/) {
                ++received;
                longest_gap = std::max(longest_gap, now_ms() - last_event_at);
                last_event_at = now_ms();
            });
        }
        const auto ended_at = now_ms();
        stop.join();
        const bool is_whole = answered && got.whole && received >= events;
        record.line(id + " through " + machine.name() + ": status " + std::to_string(got.status()) +
                    ", " + std::to_string(received) + " events, " +
                    (is_whole ? "complete" : "cut without its end") + " " +
                    std::to_string(ended_at - stopped_at) + " ms after the SIGTERM; silence " +
                    std::to_string(std::max(longest_gap, ended_at - last_event_at)) + " ms");
        if (!answered) {
            record.line("the request was not answered before the stop");
            return could_not_run;
        }
        ++(is_whole ? whole : cut);
        const int status = machine.wait_end(grace_ms);
        record.line(machine.name() + " has ended with status " + std::to_string(status));
        machine.start();
        if (!machine.wait_ready(10'000)) {
            return could_not_run;
        }
        sleep_ms(1500);
    }
    record.line("streams: " + std::to_string(whole) + " complete, " + std::to_string(cut) + " cut");
    record.line(cut > 0 ? "BROKEN: requests were cut around planned work" : "held");
    return cut > 0 ? broken : held;
}
