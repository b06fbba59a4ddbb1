#include "crashing_prompts.h"

#include <array>
#include <cstdio>

namespace review
{

namespace
{
constexpr int engine_count = 9;
constexpr int sound_clients = 12;
constexpr int session_count = 7;
constexpr int event_count = 10;
constexpr std::int64_t event_interval_ms = 100;
constexpr std::int64_t down_ms = 3000;
constexpr std::int64_t contact_ms = 3000;
constexpr std::size_t learning_crashes = 5;
constexpr std::size_t max_later_requests = 3;

/// What the requests with the part did, at all servers together.
struct history {
    std::mutex mutex;
    std::vector<std::int64_t> arrivals;
    std::vector<std::int64_t> crashes;
    std::vector<std::thread> restarts;
};

/// A model server. It crashes when it begins to write an answer to a prompt with the part.
class engine
{
public:
    engine(std::string id, deployment& site, history& past, case_record& log)
        : id_{std::move(id)}
        , site_{site}
        , past_{past}
        , log_{log}
        , server_{"127.0.0.1", [this](const auto& connection, const auto& request) {
                      handle(connection, request);
                  }}
    {
        site_.announce(id_, "models", server_.address(), born_);
    }

private:
    void handle(const server_connection& connection, const server_request& request)
    {
        const auto id = request.header("x-request-id");
        const auto common = "X-Request-Id: " + id + "\r\n";
        if (request.header("x-expect-instance") != id_) {
            connection.send("HTTP/1.1 421 No\r\n" + common + "Content-Length: 0\r\n\r\n");
            return;
        }
        const bool has_part = request.header("x-prefix-hash").find("dead:") != std::string::npos;
        if (has_part) {
            log_.add(id + " reaches " + id_);
            const std::lock_guard lock{past_.mutex};
            past_.arrivals.push_back(now_ms());
        }
        sleep_ms(50);
        if (has_part && is_troubled()) {
            crash();
            return;
        }
        connection.send(
            "HTTP/1.1 200 OK\r\n" + common + "X-Server-Signature: s-" + id_ +
            "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int number = 1; number <= event_count; ++number) {
            const auto text = "id: " + std::to_string(number) + "\ndata: " + id + "\n\n";
            std::array<char, 16> size{};
            std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
            if (!connection.send(size.data() + text + "\r\n")) {
                return;
            }
            sleep_ms(event_interval_ms);
        }
        connection.send("0\r\n\r\n");
    }

    void crash()
    {
        if (is_down_.exchange(true)) {
            return;
        }
        log_.add(id_ + " crashes");
        const std::lock_guard lock{past_.mutex};
        past_.crashes.push_back(now_ms());
        server_.crash();
        site_.stop_reports(id_);
        past_.restarts.emplace_back([this] {
            sleep_ms(down_ms);
            server_.restart();
            is_down_ = false;
            site_.announce(id_, "models", server_.address(), ++born_);
        });
    }

    std::string id_;
    deployment& site_;
    history& past_;
    case_record& log_;
    std::int64_t born_{1};
    std::atomic<bool> is_down_{false};
    tcp_server server_;
};

std::string prompt(const std::string& parts)
{
    return "X-Model: m\r\nX-Token-Usage: 400,12\r\nX-Prefix-Hash: " + parts + "\r\n";
}
} // namespace

bool keeps_crashing_part_from_servers(case_record& log, const crashing_traffic& traffic)
{
    deployment site{log};
    site.publish(manifest(
        1, json::array({route("note", "/note/", "streaming", "models", 1, false, 4000, 1000)})));
    history past;
    std::vector<std::unique_ptr<engine>> engines;
    for (int i = 0; i < engine_count; ++i) {
        engines.push_back(std::make_unique<engine>("engine-" + std::to_string(i), site, past, log));
    }
    site.start_gateways(traffic.gateways);
    const auto gateway = [&](int number) -> const gateway_process& {
        return *site.gateways()[static_cast<std::size_t>(number % traffic.gateways)];
    };

    std::atomic<bool> is_over{false};
    std::atomic<int> sound_sent{0};
    std::atomic<int> sound_cut{0};
    std::vector<std::thread> clients;
    for (int i = 0; i < sound_clients; ++i) {
        clients.emplace_back([&, i] {
            for (int n = 0; !is_over; ++n) {
                client_connection connection{gateway(n).address()};
                const auto id = "sound-" + std::to_string(i) + "-" + std::to_string(n);
                const auto parts = traffic.first_parts + ",b" + std::to_string(n % session_count) +
                                   ":100,c" + std::to_string(i) + std::to_string(n) + ":100";
                connection.send(
                    client_request("POST", "/note/x", id, 4000, prompt(parts), "prompt"));
                ++sound_sent;
                const auto answer = connection.receive(5000);
                sound_cut += answer.status == 200 && !answer.is_complete ? 1 : 0;
                sleep_ms(50);
            }
        });
    }
    sleep_ms(1000);
    int sent = 0;
    const auto send_at_once = [&](int count) {
        std::vector<std::thread> senders;
        for (int i = 0; i < count; ++i, ++sent) {
            senders.emplace_back([&, number = sent] {
                const auto& machine = gateway(number);
                const auto id = "crashing-" + std::to_string(number);
                client_connection connection{machine.address()};
                log.add(id + " is sent to " + machine.name());
                const auto parts = traffic.first_parts + ",dead:100,b" +
                                   std::to_string(number % session_count) + ":100,d" +
                                   std::to_string(number) + ":100";
                connection.send(
                    client_request("POST", "/note/x", id, 4000, prompt(parts), "prompt"));
                log.add(id + " gets status " + std::to_string(connection.receive(5000).status));
            });
        }
        for (auto& sender : senders) {
            sender.join();
        }
    };
    for (int n = 0; n < traffic.rounds; ++n) {
        const auto next = now_ms() + traffic.interval_ms;
        send_at_once(1);
        if (n + 1 < traffic.rounds) {
            sleep_ms(next - now_ms());
        }
    }
    sleep_ms(traffic.pause_ms);
    send_at_once(traffic.last_at_once);
    is_over = true;
    for (auto& client : clients) {
        client.join();
    }
    for (auto& restart : past.restarts) {
        restart.join();
    }
    std::size_t later = 0;
    if (past.crashes.size() >= learning_crashes) {
        const auto limit = past.crashes[learning_crashes - 1] + contact_ms;
        for (const auto arrival : past.arrivals) {
            later += arrival > limit ? 1 : 0;
        }
    }
    log.add(std::to_string(sound_sent) + " sound requests sent, " + std::to_string(sound_cut) +
            " of their answers cut by crashes; " + std::to_string(sent) +
            " requests with the part sent, " + std::to_string(past.arrivals.size()) +
            " reached servers, " + std::to_string(past.crashes.size()) + " crashes; " +
            std::to_string(later) + " reached servers later than " + std::to_string(contact_ms) +
            " ms after the fifth");
    return later <= max_later_requests;
}

} // namespace review
