// A server that leaves says so in its answers, and gets orders from the machines until it is gone.
#include "site.h"

#include <algorithm>
#include <set>

using namespace review;

namespace
{
/// Of the smallest installation.
constexpr std::int64_t drain_ms = 2000;
/// The store is down for this long, as on the days of that installation.
constexpr std::int64_t down_ms = 4500;
/// The store has accepted that the server is draining this long before it goes down. The server
/// serves for `drain_ms` and a little longer.
constexpr std::int64_t served_longer_ms = 1000;
constexpr int rounds = 4;
constexpr std::int64_t work_ms = 60;
constexpr int orders_per_s = 30;

struct facts {
    std::mutex mutex;
    /// When a client got the first answer with the header: by machine and server.
    std::map<std::pair<std::string, std::string>, std::int64_t> told_at;
    /// When clients sent their requests, and through which machine.
    std::map<std::string, std::pair<std::string, std::int64_t>> sent;
    /// Requests that reached a server too late.
    std::vector<std::string> late;
    /// Requests that a server ran and whose clients got no whole answer of it.
    std::set<std::string> ran;
    std::map<std::string, int> statuses;
};

class ledger_server
{
public:
    ledger_server(std::string id, facts& known, recorder& record)
        : id_{std::move(id)}
        , known_{known}
        , record_{record}
        , listener_{std::make_unique<listener>([this](connection& peer) { serve(peer); })}
    {
    }
    [[nodiscard]] const std::string& id() const { return id_; }
    [[nodiscard]] const std::string& address() const { return listener_->address(); }
    [[nodiscard]] int arrivals() const { return arrivals_; }
    [[nodiscard]] bool is_leaving() const { return leaving_; }
    void leave() { leaving_ = true; }
    void exit() { listener_->stop(); }

private:
    void serve(connection& peer)
    {
        message request;
        while (peer.read_request(request, 60'000)) {
            const auto id = request.header("x-request-id");
            if (request.header("x-expect-instance") != id_) {
                peer.send(refusal("421 Misdirected Request", id));
                continue;
            }
            arrived(id);
            if (peer.peer_leaves_within(work_ms)) {
                return; // also at the server's own end
            }
            const bool leaving = leaving_;
            if (!peer.send(answer(id, "done " + id + " " + id_,
                                  "X-Instance-Id: " + id_ + "\r\n" +
                                      (leaving ? "Server-Leaving: 1\r\n" : "")))) {
                return;
            }
        }
    }

    void arrived(const std::string& id)
    {
        ++arrivals_;
        record_.line(id_ + ": " + id + " runs");
        const std::lock_guard lock{known_.mutex};
        known_.ran.insert(id);
        const auto& [machine, sent_at] = known_.sent[id];
        const auto told = known_.told_at.find({machine, id_});
        if (told != known_.told_at.end() && sent_at > told->second + drain_ms) {
            known_.late.push_back(id);
            record_.line(id_ + ": " + id + " arrives from " + machine + ", sent " +
                         std::to_string(sent_at - told->second) +
                         " ms after that machine passed on that the server leaves");
        }
    }

    std::string id_;
    facts& known_;
    recorder& record_;
    std::atomic<bool> leaving_{false};
    std::atomic<int> arrivals_{0};
    std::unique_ptr<listener> listener_;
};

void order(const gateway& machine, const std::string& id, facts& known, recorder& record)
{
    connection caller{machine.frontend()};
    {
        const std::lock_guard lock{known.mutex};
        known.sent[id] = {machine.name(), now_ms()};
    }
    record.line(id + " sent to " + machine.name());
    message got;
    const auto limit = now_ms() + 1500;
    if (caller.is_open() && caller.send(order_request(id)) && caller.read_head(got, 1500)) {
        caller.read_body(got, limit);
    }
    record.line(id + " through " + machine.name() + ": " + std::to_string(got.status()) +
                (got.whole ? ", whole" : ", not whole"));
    const std::lock_guard lock{known.mutex};
    const bool lost = known.ran.contains(id) && (got.status() != 200 || !got.whole);
    ++known.statuses[std::to_string(got.status()) + (lost ? " though it ran" : "")];
    if (got.status() == 200 && !got.header("server-leaving").empty()) {
        const auto& server = got.header("x-instance-id");
        if (known.told_at.try_emplace({machine.name(), server}, now_ms()).second) {
            record.line(machine.name() + " passes on the first answer in which " + server +
                        " says that it leaves");
        }
    }
    if (lost) {
        record.line(id + " through " + machine.name() + ": " + std::to_string(got.status()) +
                    ", though a server has run it");
    }
}
} // namespace

int main(int argc, char** argv)
{
    auto made = read_setting(argc, argv);
    auto& record = *made.record;
    facts known;
    store rows;
    rows.put("op", "config", manifest(7, 100'000'000));
    std::vector<std::unique_ptr<ledger_server>> servers;
    const auto add = [&] {
        const auto id = "i-ledger" + std::to_string(servers.size() + 1);
        servers.push_back(std::make_unique<ledger_server>(id, known, record));
        rows.put("servers", id,
                 server_entry(ledger, servers.back()->address(), "jm-south-a", 6, "ready"));
    };
    for (int i = 0; i < 3; ++i) {
        add();
    }
    auto gateways = start_gateways(made, 3, rows);

    std::atomic<bool> over{false};
    std::thread traffic{[&] {
        std::vector<std::thread> callers;
        for (int number = 0; !over; ++number) {
            const auto id = "9c41d07b" + std::to_string(10'000'000 + number);
            const auto& machine = *gateways[static_cast<std::size_t>(number) % gateways.size()];
            callers.emplace_back([&, id] { order(machine, id, known, record); });
            sleep_ms(1000 / orders_per_s);
        }
        for (auto& caller : callers) {
            caller.join();
        }
    }};
    // Servers are replaced one after the other: the new one starts first, the old one drains.
    for (int round = 0; round < rounds; ++round) {
        sleep_ms(2000);
        add();
        sleep_ms(1500);
        // The one that has had most requests, so that it has some when it leaves.
        auto& old = **std::max_element(servers.begin(), servers.end(), [](auto& a, auto& b) {
            return std::pair{!a->is_leaving(), a->arrivals()} <
                   std::pair{!b->is_leaving(), b->arrivals()};
        });
        old.leave();
        record.line(old.id() + " leaves; the store has accepted its report");
        rows.put("servers", old.id(),
                 server_entry(ledger, old.address(), "jm-south-a", 6, "draining"));
        if (made.trouble) {
            record.line("the store is down");
            rows.set_down(true);
        }
        sleep_ms(drain_ms + served_longer_ms);
        record.line(old.id() + " exits");
        old.exit();
        sleep_ms(down_ms - drain_ms - served_longer_ms);
        rows.set_down(false);
        record.line("the store is up");
        rows.remove("servers", old.id());
        sleep_ms(3500);
    }
    over = true;
    traffic.join();
    const std::lock_guard lock{known.mutex};
    for (const auto& [status, count] : known.statuses) {
        record.line("answers " + status + ": " + std::to_string(count));
    }
    record.line(
        "servers that said that they leave, by machine: " + std::to_string(known.told_at.size()) +
        "; requests that reached them too late: " + std::to_string(known.late.size()));
    if (known.told_at.empty()) {
        return could_not_run;
    }
    record.line(known.late.empty() ? "held" : "BROKEN: leaving servers got requests");
    return known.late.empty() ? held : broken;
}
