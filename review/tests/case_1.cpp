// A stream whose server has gone silent is resumed at a server that answers with an error.
#include "harness.h"

#include <array>
#include <cstdio>
#include <random>

using namespace review;

namespace
{
constexpr int engine_count = 9;
constexpr int client_count = 120;
constexpr int event_count = 40;
constexpr std::int64_t event_interval_ms = 50;
constexpr int rounds = 9;
constexpr std::int64_t dark_ms = 4000;
constexpr double error_share = 0.45;

std::string event_text(const std::string& id, int number)
{
    return "id: " + std::to_string(number) + "\ndata: " + id + "\n\n";
}

/// A model server that can go silent, or fail part of its requests.
class engine
{
public:
    engine(std::string id, case_record& log)
        : id_{std::move(id)}
        , log_{log}
        , server_{"127.0.0.1", [this](const auto& connection, const auto& request) {
                      handle(connection, request);
                  }}
    {
    }

    [[nodiscard]] const std::string& id() const { return id_; }
    [[nodiscard]] std::string address() const { return server_.address(); }

    std::atomic<bool> is_dark{false};
    std::atomic<bool> has_errors{false};

private:
    void handle(const server_connection& connection, const server_request& request)
    {
        const auto id = request.header("x-request-id");
        const auto common = "X-Request-Id: " + id + "\r\n";
        if (request.header("x-expect-instance") != id_) {
            connection.send("HTTP/1.1 421 No\r\n" + common + "Content-Length: 0\r\n\r\n");
            return;
        }
        const auto last = std::atoi(request.header("last-event-id").c_str());
        const auto head = common + "X-Server-Signature: s-" + id_ + "\r\n";
        if (has_errors && draw()) {
            if (last > 0) {
                log_.add(id_ + " answers 500 to " + id + ", resumed after event " +
                         std::to_string(last));
            }
            connection.send("HTTP/1.1 500 Error\r\n" + head + "Content-Length: 6\r\n\r\nfailed");
            return;
        }
        connection.send("HTTP/1.1 200 OK\r\n" + head +
                        "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int number = last + 1; number <= event_count; ++number) {
            sleep_ms(event_interval_ms);
            while (is_dark) {
                sleep_ms(20);
            }
            const auto text = event_text(id, number);
            std::array<char, 16> size{};
            std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
            if (!connection.send(size.data() + text + "\r\n")) {
                return;
            }
        }
        connection.send("0\r\n\r\n");
    }

    bool draw()
    {
        const std::lock_guard lock{mutex_};
        return std::uniform_real_distribution<double>{0, 1}(random_) < error_share;
    }

    std::string id_;
    case_record& log_;
    std::mutex mutex_;
    std::mt19937 random_{std::random_device{}()};
    tcp_server server_;
};

bool holds(case_record& log)
{
    deployment site{log};
    site.publish(manifest(
        1, json::array({route("chat", "/chat/", "streaming", "models", 2, true, 15'000, 1200)})));
    std::vector<std::unique_ptr<engine>> engines;
    for (int i = 0; i < engine_count; ++i) {
        engines.push_back(std::make_unique<engine>("engine-" + std::to_string(i), log));
        site.announce(engines.back()->id(), "models", engines.back()->address());
    }
    site.start_gateways(3);

    std::atomic<bool> is_over{false};
    std::atomic<int> sent{0};
    std::atomic<int> complete{0};
    std::atomic<int> broken{0};
    std::vector<std::thread> clients;
    for (int i = 0; i < client_count; ++i) {
        clients.emplace_back([&, i] {
            const auto& gateway = site.gateways()[static_cast<std::size_t>(i) % 3];
            auto connection = std::make_unique<client_connection>(gateway->address());
            for (int n = 0; !is_over; ++n) {
                const auto id = "r-" + std::to_string(i) + "-" + std::to_string(n);
                const auto part = std::to_string(100 + i % 40);
                connection->send(client_request(
                    "POST", "/chat/x", id, 15'000,
                    "X-Model: m\r\nX-Token-Usage: 300,120\r\nX-Prefix-Hash: a1:100,b" + part +
                        ":100,c" + part + std::to_string(n) + ":100\r\n",
                    "prompt"));
                ++sent;
                const auto answer = connection->receive(16'000);
                complete += answer.is_complete ? 1 : 0;
                if (!answer.fault.empty()) {
                    ++broken;
                    log.add(id + " gets status " + std::to_string(answer.status) + " and " +
                            std::to_string(answer.body.size()) +
                            " bytes of events, then, in place of a chunk: " + answer.fault);
                }
                if (!answer.is_complete || !answer.fault.empty() ||
                    answer.header("connection") == "close") {
                    connection = std::make_unique<client_connection>(gateway->address());
                }
            }
        });
    }
    sleep_ms(2000);
    for (int round = 0; round < rounds; ++round) {
        auto& dark = *engines[static_cast<std::size_t>(round)];
        auto& grey = *engines[static_cast<std::size_t>(round + 1) % engine_count];
        if (is_troubled()) {
            log.add(dark.id() + " goes dark, " + grey.id() + " fails part of its requests");
            dark.is_dark = true;
            grey.has_errors = true;
        }
        sleep_ms(dark_ms);
        dark.is_dark = false;
        grey.has_errors = false;
        sleep_ms(1000);
    }
    is_over = true;
    for (auto& client : clients) {
        client.join();
    }
    log.add(std::to_string(sent) + " requests sent, " + std::to_string(complete) +
            " answered whole, " + std::to_string(broken) +
            " with bytes that are no answer in the protocol");
    return broken == 0;
}
} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, holds);
}
