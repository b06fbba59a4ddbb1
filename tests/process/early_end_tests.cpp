#include "process/caller.h"
#include "process/fleet.h"
#include "standins/site/raw_server.h"

#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <chrono>
#include <csignal>
#include <fmt/format.h>
#include <mutex>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <thread>
#include <unistd.h>

// Last, because it defines a macro named new.
#include <CppUTest/TestHarness.h>

using namespace jujubevalve;
using namespace jujubevalve::process;
using site::raw_caller;

namespace
{
constexpr std::array<const char*, 2> http_versions{"HTTP/1.1", "HTTP/1.0"};

void wait(time_ms time)
{
    std::this_thread::sleep_for(std::chrono::milliseconds{time.count()});
}

/// Plain service that reads each call to its end, sends the bytes that are set and closes the
/// connection in order. Its load reports are always good.
class byte_service
{
public:
    byte_service()
        : listener_{::socket(AF_INET, SOCK_STREAM, 0)}
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof address;
        ::bind(listener_, reinterpret_cast<const sockaddr*>(&address), length);
        ::listen(listener_, 16);
        ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &length);
        address_ = fmt::format("127.0.0.1:{}", ntohs(address.sin_port));
        thread_ = std::thread{[this] { serve(); }};
    }
    byte_service(const byte_service&) = delete;
    byte_service& operator=(const byte_service&) = delete;
    ~byte_service()
    {
        ::shutdown(listener_, SHUT_RDWR);
        thread_.join();
        ::close(listener_);
    }

    [[nodiscard]] const std::string& address() const { return address_; }
    [[nodiscard]] int calls() const { return calls_; }

    void set_answer(std::string bytes)
    {
        const std::lock_guard lock{mutex_};
        answer_ = std::move(bytes);
    }

private:
    void serve()
    {
        for (int client = 0; (client = ::accept(listener_, nullptr, nullptr)) >= 0;) {
            const timeval limit{5, 0};
            ::setsockopt(client, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
            const auto request = read_request(client);
            if (!request.empty()) {
                send_all(client, answer_to(request));
            }
            ::shutdown(client, SHUT_WR);
            char rest[256];
            while (::recv(client, rest, sizeof rest, 0) > 0) {
            }
            ::close(client);
        }
    }

    static void send_all(int client, std::string_view bytes)
    {
        while (!bytes.empty()) {
            const auto n = ::send(client, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (n <= 0) {
                return;
            }
            bytes.remove_prefix(static_cast<std::size_t>(n));
        }
    }

    static std::string read_request(int client)
    {
        char block[4096];
        std::string request;
        while (!is_whole(request)) {
            const auto n = ::recv(client, block, sizeof block, 0);
            if (n <= 0) {
                return {};
            }
            request.append(block, static_cast<std::size_t>(n));
        }
        return request;
    }

    static bool is_whole(const std::string& request)
    {
        constexpr std::string_view length_field = "Content-Length: ";
        const auto head_end = request.find("\r\n\r\n");
        const auto field = request.find(length_field);
        if (head_end == std::string::npos) {
            return false;
        }
        const auto length = field == std::string::npos
                                ? 0
                                : std::stoul(request.substr(field + length_field.size()));
        return request.size() >= head_end + 4 + length;
    }

    std::string answer_to(const std::string& request)
    {
        if (request.starts_with("GET ")) {
            const std::string load =
                R"({"running":0,"queued":0,"slots":16,"leaving":false,"age_ms":0})";
            return fmt::format("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                               "Connection: close\r\nContent-Length: {}\r\n\r\n{}",
                               load.size(), load);
        }
        ++calls_;
        const std::lock_guard lock{mutex_};
        return answer_;
    }

    int listener_;
    std::string address_;
    std::mutex mutex_;
    std::string answer_;
    std::atomic<int> calls_{0};
    std::thread thread_;
};

std::string good_answer(std::size_t size)
{
    return fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", size) +
           std::string(size, 'x');
}

std::string order_body(const std::string& order)
{
    return fmt::format(R"({{"order":"{}","bins":3}})", order);
}

std::string chat_body(const std::string& prompt, bool stream)
{
    return fmt::format(R"({{"model":"grit-assist","stream":{},"max_tokens":20,)"
                       R"("messages":[{{"role":"user","content":"{} tokens=20"}}]}})",
                       stream, prompt);
}

std::string head(const std::string& path, const std::string& version, const std::string& key,
                 const std::string& body, int attempt = 1)
{
    return fmt::format("POST {} {}\r\nHost: router\r\nAuthorization: Bearer {}\r\n"
                       "Idempotency-Key: {}\r\nJujubevalve-Attempt: {}\r\n"
                       "Connection: close\r\nContent-Length: {}\r\n\r\n",
                       path, version, bearer_key, key, attempt, body.size());
}

/// A path of the router with a body for it.
struct request_target {
    std::string path;
    std::string body;
};

constexpr const char* calls_path = "/v1/calls/refill-order";

// An order, a streamed chat and one that is not streamed.
std::vector<request_target> targets(const std::string& name)
{
    constexpr const char* chats_path = "/v1/chat/completions";
    return {{calls_path, order_body(name)},
            {chats_path, chat_body(name, true)},
            {chats_path, chat_body(name, false)}};
}

bool is_refused_as_not_run(const std::string& answer)
{
    return answer.find(" 503 ") != std::string::npos &&
           answer.find(R"("type":"draining")") != std::string::npos &&
           answer.find(R"("outcome":"not_run")") != std::string::npos;
}
} // namespace

TEST_GROUP(early_end)
{
    std::unique_ptr<fleet> all;
    std::unique_ptr<byte_service> service;

    void start(const std::vector<std::string>& flags = {}, const fleet_options& options = {})
    {
        all = std::make_unique<fleet>(options);
        all->start_ready("entry-a", flags);
    }

    // Starts a router whose plain calls go to the byte service.
    void start_with_byte_service()
    {
        all = std::make_unique<fleet>();
        service = std::make_unique<byte_service>();
        all->tables()["pools"][1]["servers"][0]["address"] = service->address();
        const auto [code, output] = all->apply(1);
        CHECK_EQUAL_TEXT(0, code, output.c_str());
        all->start_ready("entry-a");
        service->set_answer(good_answer(2));
        CHECK(eventually([&] { return answers_well(); }));
    }

    bool answers_well()
    {
        return place_order(all->address("entry-a"), key("good-" + std::to_string(++good_)), "good",
                           1)
            .ok();
    }

    std::string key(const std::string& name)
    {
        if (prefix_.empty()) {
            prefix_ = fetch_prefix(all->address("entry-a"));
        }
        return prefix_ + name;
    }

    void teardown() override
    {
        all.reset();
        service.reset();
    }

private:
    std::string prefix_;
    int good_{0};
};

// G4, G5: guards against a call that is sent again, or called "not run", after a service read it
// and sent no whole answer.
TEST(early_end, call_whose_answer_ends_early_is_unknown_and_runs_once)
{
    start_with_byte_service();
    const std::array<std::string, 7> answers{
        "",
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 503 Service Unavailable\r\n",
        "HTTP/1.1 200 OK\r\nContent-Le",
        "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
        "\x01\x02\xff garbage\r\n\r\n",
        "SSH-2.0-server\r\n",
    };
    int number = 0;
    for (const auto* version : http_versions) {
        for (const auto& bytes : answers) {
            CHECK(eventually([&] { return answers_well(); }));
            service->set_answer(bytes);
            const auto before = service->calls();
            const auto name = "early-" + std::to_string(++number);
            const auto body = order_body(name);
            for (int attempt = 1; attempt <= 2; ++attempt) {
                raw_caller caller{all->address("entry-a")};
                caller.send(head(calls_path, version, key(name), body, attempt) + body);
                const auto answer = caller.receive_all(seconds(10)).bytes;
                const auto shown = bytes + " gave " + answer;
                CHECK_TEXT(answer.starts_with("HTTP/1."), shown.c_str());
                CHECK_TEXT(answer.find(R"("outcome":"unknown")") != std::string::npos,
                           shown.c_str());
            }
            LONGS_EQUAL(1, service->calls() - before);
            service->set_answer(good_answer(2));
        }
    }
}

// G4, G7: guards against a request that comes during a drain and is run or left without an answer.
TEST(early_end, request_during_a_drain_is_refused_as_not_run)
{
    start({"--stopping_grace_ms=2000"});
    int number = 0;
    std::vector<std::pair<std::unique_ptr<raw_caller>, std::string>> callers;
    for (const auto* version : http_versions) {
        for (const auto& [path, body] : targets("late")) {
            callers.emplace_back(
                std::make_unique<raw_caller>(all->address("entry-a")),
                head(path, version, key("late-" + std::to_string(++number)), body) + body);
        }
    }
    all->router("entry-a").send(SIGTERM);
    wait(time_ms{300});
    for (const auto& [caller, request] : callers) {
        caller->send(request);
        const auto answer = caller->receive_all(seconds(10)).bytes;
        CHECK_TEXT(is_refused_as_not_run(answer), answer.c_str());
    }
    LONGS_EQUAL(0, all->ran("late"));
    LONGS_EQUAL(0, all->router("entry-a").wait_ended(generous).value_or(-1));
}

// G4, G7: guards against a request whose body ends late in a drain and is run, or cut unanswered.
TEST(early_end, body_that_ends_during_a_drain_is_refused_as_not_run)
{
    start();
    const std::array late{time_ms{150}, time_ms{1500}};
    std::mutex mutex;
    std::string wrong;
    std::vector<std::thread> threads;
    int number = 0;
    for (const auto* version : http_versions) {
        for (const auto& ends_after : late) {
            for (const auto& [path, body] : targets("late-body")) {
                const auto request =
                    head(path, version, key("body-" + std::to_string(++number)), body) + body;
                threads.emplace_back([&, request, ends_after] {
                    const raw_caller caller{all->address("entry-a")};
                    const std::string_view bytes = request;
                    caller.send(bytes.substr(0, bytes.size() - 5));
                    wait(time_ms{300} + ends_after);
                    caller.send(bytes.substr(bytes.size() - 5));
                    const auto answer = caller.receive_all(seconds(10)).bytes;
                    if (!is_refused_as_not_run(answer)) {
                        const std::lock_guard lock{mutex};
                        wrong += fmt::format("after {} ms: \"{}\"\n", ends_after.count(), answer);
                    }
                });
            }
        }
    }
    wait(time_ms{300});
    all->router("entry-a").send(SIGTERM);
    for (auto& thread : threads) {
        thread.join();
    }
    STRCMP_EQUAL("", wrong.c_str());
    LONGS_EQUAL(0, all->ran("late-body"));
    LONGS_EQUAL(0, all->router("entry-a").wait_ended(generous).value_or(-1));
}

// G7, G1: guards against a drain limit that cuts calls and streams in progress, or that has passed
// when the grants are to be returned.
TEST(early_end, requests_that_outlast_the_drain_limit_are_answered)
{
    start({"--drain_limit_ms=1000"},
          {.tokens_per_second = 8, .service_flags = {"--duration_ms=2500"}});
    std::vector<std::unique_ptr<raw_caller>> callers;
    int number = 0;
    for (const auto* version : http_versions) {
        for (const auto& [path, body] : targets("long")) {
            callers.push_back(std::make_unique<raw_caller>(all->address("entry-a")));
            callers.back()->send(
                head(path, version, key("long-" + std::to_string(++number)), body) + body);
        }
    }
    wait(time_ms{500});
    all->router("entry-a").send(SIGTERM);
    for (std::size_t i = 0; i < callers.size(); ++i) {
        const auto answer = callers[i]->receive_all(seconds(15)).bytes;
        CHECK_TEXT(answer.find(" 200 ") != std::string::npos, answer.c_str());
        const bool is_streamed = i % 3 == 1;
        CHECK_TEXT(!is_streamed || answer.find("data: [DONE]\n\n") != std::string::npos,
                   answer.c_str());
    }
    LONGS_EQUAL(2, all->ran("long"));
    LONGS_EQUAL(0, all->router("entry-a").wait_ended(generous).value_or(-1));
    CHECK(all->state_of(all->incarnation("entry-a")) == incarnation_state::drained);
}

// G7, G5: guards against an answer that a drain cuts because its caller reads it slowly.
TEST(early_end, answer_that_is_read_slowly_is_whole)
{
    start_with_byte_service();
    constexpr std::size_t size = 7 * 1024 * 1024;
    service->set_answer(good_answer(size));
    const auto body = order_body("large");
    const raw_caller caller{all->address("entry-a"), 4096};
    caller.send(head(calls_path, "HTTP/1.1", key("large"), body) + body);
    wait(time_ms{1000});
    all->router("entry-a").send(SIGTERM);
    wait(time_ms{2000});
    const auto answer = caller.receive_all(seconds(20)).bytes;
    CHECK_TEXT(answer.size() > size, std::to_string(answer.size()).c_str());
    LONGS_EQUAL(0, all->router("entry-a").wait_ended(generous).value_or(-1));
}
