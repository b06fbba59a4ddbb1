#include "core/core.h"
#include "http/http.h"
#include "standins/platform_server.h"
#include "storage/storage.h"

#include <arpa/inet.h>
#include <atomic>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

// Last, because it defines a macro named new.
#include <CppUTest/TestHarness.h>

using namespace jujubevalve;

namespace
{
struct remote_platform {
    platform_server server{{"127.0.0.1:0", "secret", time_ms{0}}};
    http_platform platform{{server.address(), "secret"}};

    commit_outcome write(const std::string& key, std::int64_t version)
    {
        return platform.commit({{{key, version}}, {{key, "value"}}, {}}).outcome;
    }

    int admin(const std::string& path, const std::string& body)
    {
        http_client client;
        return client
            .perform({"POST",
                      "http://" + server.address() + path,
                      {{"Authorization", "Bearer secret"}},
                      body})
            .status;
    }
};
// Answers the first request and keeps the connection; closes without an answer on any other.
class mute_server
{
public:
    mute_server()
        : listener_{socket(AF_INET, SOCK_STREAM, 0)}
    {
        sockaddr_in any{};
        any.sin_family = AF_INET;
        any.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof any;
        CHECK_EQUAL(0, bind(listener_, reinterpret_cast<sockaddr*>(&any), sizeof any));
        CHECK_EQUAL(0, listen(listener_, 8));
        getsockname(listener_, reinterpret_cast<sockaddr*>(&any), &size);
        port_ = ntohs(any.sin_port);
        thread_ = std::thread{[this] { serve(); }};
    }
    ~mute_server()
    {
        shutdown(listener_, SHUT_RDWR);
        thread_.join();
        close(listener_);
    }
    mute_server(const mute_server&) = delete;
    mute_server& operator=(const mute_server&) = delete;

    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
    [[nodiscard]] int requests() const { return requests_; }

private:
    void serve()
    {
        for (int peer = accept(listener_, nullptr, nullptr); peer >= 0;
             peer = accept(listener_, nullptr, nullptr)) {
            while (take_request(peer) && requests_ == 1) {
                const std::string_view answer = "HTTP/1.1 200 OK\r\nContent-Length: 23\r\n\r\n"
                                                R"({"outcome":"committed"})";
                if (send(peer, answer.data(), answer.size(), MSG_NOSIGNAL) < 0) {
                    break;
                }
            }
            close(peer);
        }
    }

    // The requests of these tests are small, so that each arrives in one or two pieces.
    bool take_request(int peer)
    {
        std::string received;
        while (!received.ends_with("}")) {
            char bytes[4096];
            const auto size = recv(peer, bytes, sizeof bytes, 0);
            if (size <= 0) {
                return false;
            }
            received.append(bytes, static_cast<std::size_t>(size));
        }
        ++requests_;
        return true;
    }

    int listener_;
    int port_{0};
    std::atomic<int> requests_{0};
    std::thread thread_;
};
} // namespace

TEST_GROUP(platform_over_http){};

TEST(platform_over_http, commits_reads_and_scans)
{
    remote_platform remote;
    const auto first =
        remote.platform.commit({{{"a", 0}}, {{"a", "1\n\"\xc3\xa4"}, {"b", ""}}, {}});
    CHECK(first.outcome == commit_outcome::committed);
    CHECK_EQUAL(2U, first.versions.size());
    const auto rows = remote.platform.read({"a", "none"}).value();
    CHECK((rows[0] == table_row{"a", "1\n\"\xc3\xa4", first.versions[0]}));
    CHECK((rows[1] == table_row{"none", "", 0}));
    const auto conflict = remote.platform.commit({{{"a", 0}}, {{"a", "2"}}, {}});
    CHECK(conflict.outcome == commit_outcome::conflict);
    CHECK(conflict.conflicts == std::vector<std::string>{"a"});
    CHECK_EQUAL(1U, remote.platform.scan("", "a", 10)->size());
    CHECK_EQUAL(1U, remote.platform.scan("", "", 1)->size());
    CHECK(remote.platform.commit({{}, {}, {"a"}}).outcome == commit_outcome::committed);
    CHECK_EQUAL(0, remote.platform.read({"a"})->front().version);
}

TEST(platform_over_http, keeps_objects)
{
    remote_platform remote;
    CHECK(remote.platform.put("segments/a-1/000000000001", std::string{"x\0\xff", 3}).has_value());
    CHECK(remote.platform.put("segments/b c?", "y").has_value());
    CHECK_EQUAL(std::string("x\0\xff", 3),
                remote.platform.get("segments/a-1/000000000001").value());
    CHECK(
        (remote.platform.list("segments/b").value() == std::vector<std::string>{"segments/b c?"}));
    CHECK(remote.platform.get("none").error().code == result_code::unknown_name);
}

// Guards against "unknown" where it is certain that nothing was written.
TEST(platform_over_http, an_outage_is_unavailable)
{
    remote_platform remote;
    remote.server.faults().set({true});
    CHECK(remote.write("a", 0) == commit_outcome::unavailable);
    CHECK(remote.platform.read({"a"}).error().code == result_code::platform_unavailable);
    CHECK(remote.platform.put("a", "b").error().code == result_code::platform_unavailable);
    CHECK(remote.platform.instances().error().code == result_code::platform_unavailable);
    remote.server.faults().set({});
    remote.server.stop();
    CHECK(remote.write("a", 0) == commit_outcome::unavailable);
    CHECK(remote.platform.read({"a"}).error().code == result_code::platform_unavailable);
}

// Guards against a lost response that is reported as a failure without effect.
TEST(platform_over_http, a_lost_answer_is_unknown_and_the_write_took_effect)
{
    remote_platform remote;
    remote.server.faults().set({false, time_ms{0}, 1.0});
    CHECK(remote.write("a", 0) == commit_outcome::unknown);
    CHECK(remote.platform.put("o", "b").error().code == result_code::platform_outcome_unknown);
    CHECK(remote.platform.read({"a"})->front().version != 0);
    CHECK_EQUAL(std::string{"b"}, remote.platform.get("o").value());
    CHECK_EQUAL(2, remote.server.faults().counts().writes);
}

// Guards against a commit that timed out being reported as one without effect.
TEST(platform_over_http, a_slow_commit_is_unknown_and_takes_effect_later)
{
    remote_platform remote;
    remote.server.faults().set({false, time_ms{2000}});
    http_platform hasty{{remote.server.address(), "secret", time_ms{1000}, time_ms{200}}};
    CHECK(hasty.commit({{}, {{"a", "value"}}, {}}).outcome == commit_outcome::unknown);
    CHECK_EQUAL(0, remote.server.tables().read({"a"})->front().version);
    remote.server.stop(); // waits for the handler
    CHECK(remote.server.tables().read({"a"})->front().version != 0);
}

// Guards against a commit that the HTTP client repeats by itself when a kept connection is closed
// without an answer.
TEST(platform_over_http, commits_are_sent_once)
{
    mute_server server;
    http_platform platform{{server.address(), "secret"}};
    CHECK(platform.commit({}).outcome == commit_outcome::committed);
    CHECK(platform.commit({}).outcome == commit_outcome::unknown);
    CHECK_EQUAL(2, server.requests());
}

// Guards against access without the credential, and against the credential in a message.
TEST(platform_over_http, a_wrong_credential_is_refused)
{
    remote_platform remote;
    http_platform stranger{{remote.server.address(), "wrong-secret"}};
    const auto rows = stranger.read({"a"});
    CHECK(rows.error().code == result_code::unauthenticated);
    CHECK(rows.error().message.find("secret") == std::string::npos);
    CHECK(stranger.commit({{}, {{"a", "b"}}, {}}).outcome == commit_outcome::unavailable);
    CHECK_EQUAL(0, remote.platform.read({"a"})->front().version);
}

TEST(platform_over_http, admin_paths_switch_faults_and_instances)
{
    remote_platform remote;
    CHECK_EQUAL(200, remote.admin("/admin/faults", R"({"outage":true})"));
    CHECK(remote.server.faults().settings().outage);
    CHECK_EQUAL(200, remote.admin("/admin/faults", R"({"outage":false,"lost_answers":0.5})"));
    CHECK_EQUAL(400, remote.admin("/admin/faults", R"({"lost_answers":1.5})"));
    CHECK_EQUAL(400, remote.admin("/admin/faults", "{"));
    CHECK_EQUAL(200, remote.admin("/admin/instances",
                                  R"({"action":"add","name":"entry-1","address":"127.0.0.1",
                                      "failure_domain":"a"})"));
    CHECK_EQUAL(200, remote.admin("/admin/instances", R"({"action":"leaving","name":"entry-1"})"));
    CHECK((remote.platform.instances().value() ==
           std::vector<listed_instance>{{"entry-1", "127.0.0.1", "a", instance_state::leaving}}));
    CHECK_EQUAL(200, remote.admin("/admin/instances", R"({"action":"remove","name":"entry-1"})"));
    CHECK(remote.platform.instances()->empty());
    CHECK_EQUAL(404, remote.admin("/admin/instances", R"({"action":"remove","name":"entry-1"})"));
}

TEST_GROUP(memory_instances){};

// Guards against a list without lag, with which termination proofs could not be tested.
TEST(memory_instances, changes_are_shown_after_the_lag)
{
    manual_clock_ms clock;
    clock.set(time_ms{1000});
    memory_instance_list list{[&] { return clock.now(); }, time_ms{100}};
    list.add({"a", "127.0.0.1", "d", instance_state::live});
    CHECK(list.instances()->empty());
    clock.advance(time_ms{100});
    CHECK_EQUAL(1U, list.instances()->size());
    CHECK(list.mark_leaving("a"));
    clock.advance(time_ms{50});
    CHECK(list.remove("a"));
    CHECK(list.instances()->front().state == instance_state::live);
    clock.advance(time_ms{50});
    CHECK(list.instances()->front().state == instance_state::leaving);
    clock.advance(time_ms{50});
    CHECK(list.instances()->empty());
}
