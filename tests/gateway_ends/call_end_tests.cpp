#include "core/digest.h"
#include "standins/site/raw_server.h"
#include "standins/site/site.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <thread>
#include <vector>

using namespace jujubevalve;
using namespace jujubevalve::site;
using deployment = jujubevalve::site::site;

namespace
{
void wait(time_ms time)
{
    std::this_thread::sleep_for(std::chrono::milliseconds{time.count()});
}

class dice
{
public:
    explicit dice(std::uint64_t seed)
        : random_{seed}
    {
    }

    std::size_t draw(std::size_t low, std::size_t high)
    {
        return std::uniform_int_distribution<std::size_t>{low, high}(random_);
    }
    bool chance(std::size_t percent) { return draw(1, 100) <= percent; }

private:
    std::mt19937_64 random_;
};

enum class framing { length, chunks, close };
enum class ending { kept, closed, reset, stalled };

/// What a server does with one attempt of a request.
struct server_act {
    std::string bytes;
    ending end{ending::kept};
    bool runs{true};
    /// Body of the answer as far as a reader that goes by the framing must take it for whole.
    std::optional<std::string> whole_body;
    int status{0};
    bool is_signed{false};
    bool is_stream{false};
    int first_event{1};
};

std::string chunk(const std::string& bytes)
{
    std::array<char, 24> size{};
    const auto n = std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    return std::string{size.data(), static_cast<std::size_t>(n)} + bytes + "\r\n";
}

std::string hex(std::uint64_t number)
{
    std::array<char, 24> digits{};
    const auto n = std::snprintf(digits.data(), digits.size(), "%llx",
                                 static_cast<unsigned long long>(number));
    return {digits.data(), static_cast<std::size_t>(n)};
}

std::string status_line(int status)
{
    return "HTTP/1.1 " + std::to_string(status) + " Some Reason\r\n";
}

/// Draws what a server does. Cuts may come anywhere: in the head, a chunk's size, an event, a
/// trailer.
server_act draw_act(dice& random, const raw_request& request)
{
    server_act act;
    const bool wants_stream = !request.usage.empty();
    const std::string id_field = "X-Request-Id: " + request.id + "\r\n";
    const std::string signature = "X-Server-Signature: " + signature_of(request.id) + "\r\n";
    std::string head;
    std::string body;
    std::vector<std::string> parts;
    const auto kind = random.draw(1, 20);
    act.status = 200;
    if (kind <= 11) {
        act.is_signed = true;
        act.is_stream = wants_stream;
        if (wants_stream) {
            act.first_event = std::atoi(request.last_event.c_str()) + 1;
            for (int number = act.first_event; number <= event_count(request.id); ++number) {
                parts.push_back(event_text(request.id, number));
            }
        } else {
            parts = {plain_body(request.id)};
        }
        head = id_field + signature +
               (wants_stream ? "Content-Type: text/event-stream\r\n" : "Content-Type: a/b\r\n");
    } else if (kind <= 13) {
        act.status = random.chance(50) ? 500 : 502;
        act.is_signed = random.chance(50);
        head = id_field + (act.is_signed ? signature : "");
        parts = {"failed"};
    } else if (kind == 14) {
        act.status = random.chance(50) ? 400 : 410;
        act.is_signed = true;
        head = id_field + signature;
        parts = {"what?"};
    } else if (kind <= 16) {
        act.status = kind == 15 ? 503 : 421;
        act.runs = false;
        head = id_field + "X-Not-Executed: 1\r\n";
    } else if (kind == 17) {
        head = id_field; // not the server's own answer
        parts = {"unsigned"};
    } else if (kind == 18) {
        act.status = 204;
        act.is_signed = true;
        head =
            id_field + signature + (random.chance(50) ? "Content-Type: text/event-stream\r\n" : "");
    } else {
        act.status = 0;
        act.bytes = kind == 19 ? std::string{} : "these bytes are no answer\r\n\r\n";
        act.end = random.chance(50) ? ending::closed : ending::reset;
        return act;
    }
    auto how = static_cast<framing>(random.draw(0, 2));
    for (const auto& part : parts) {
        body += part;
    }
    std::string text;
    if (random.chance(10)) {
        text = "HTTP/1.1 103 Early Hints\r\nX-Hint: a\r\n\r\n";
    }
    text += status_line(act.status) + head;
    if (act.status == 204) {
        how = framing::length;
        text += "\r\n";
    } else if (how == framing::length) {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    } else if (how == framing::chunks) {
        text += "Transfer-Encoding: chunked\r\n\r\n";
        for (const auto& part : parts) {
            // Chunks need not end where events do.
            const auto middle = random.draw(0, part.size());
            text += middle > 0 ? chunk(part.substr(0, middle)) : "";
            text += middle < part.size() ? chunk(part.substr(middle)) : "";
        }
        text += random.chance(20) ? "0\r\nX-Trailer: 1\r\n\r\n" : "0\r\n\r\n";
    } else {
        text += "\r\n" + body;
        act.end = ending::closed;
    }
    const auto body_at = text.size() - body.size();
    act.whole_body = body;
    if (random.chance(35)) {
        const auto cut = random.draw(0, text.size() - 1);
        constexpr std::array ends{ending::closed, ending::reset, ending::stalled};
        act.end = ends.at(random.draw(0, ends.size() - 1));
        const bool looks_whole =
            how == framing::close && act.end == ending::closed && cut >= body_at;
        act.whole_body =
            looks_whole ? std::optional{text.substr(body_at, cut - body_at)} : std::nullopt;
        text.resize(cut);
    } else if (how == framing::close) {
        if (act.is_stream && random.chance(20)) {
            text += text.substr(0, body_at); // the head of a second answer
            act.whole_body.reset();
        }
    } else {
        if (random.chance(20)) {
            text += text.substr(0, random.draw(1, text.size())); // a second answer, or its begin
        }
        act.end = random.chance(70)   ? ending::kept
                  : random.chance(50) ? ending::closed
                                      : ending::reset;
    }
    act.bytes = text;
    return act;
}

void perform(dice& random, const raw_connection& connection, const server_act& act)
{
    constexpr time_ms max_stall{2500};
    std::string_view rest = act.bytes;
    while (!rest.empty()) {
        const auto piece = random.chance(40) ? rest.size() : random.draw(1, rest.size());
        if (!connection.send(rest.substr(0, piece))) {
            return;
        }
        rest.remove_prefix(piece);
        wait(time_ms{static_cast<std::int64_t>(random.draw(0, 3))});
    }
    switch (act.end) {
    case ending::kept:
        return;
    case ending::stalled:
        (void)connection.wait_closed(max_stall);
        connection.reset();
        return;
    case ending::closed:
        connection.close();
        return;
    case ending::reset:
        wait(time_ms{static_cast<std::int64_t>(random.draw(0, 3))});
        connection.reset();
    }
}

/// A request as its caller sent it.
struct sent_request {
    std::string id;
    std::string method;
    bool http_1_1{true};
    bool may_run_again{true};
};

/// What servers did with a request.
struct request_history {
    int runs{0};
    std::set<std::string> whole_streams; ///< bodies that a caller may take for whole
    std::set<std::string> whole_bodies;
    std::set<int> signed_statuses;
};

/// One answer as a strict reader finds it in the bytes of a connection.
struct parsed_answer {
    std::string error; ///< why the bytes are no answer; empty if they are one, or the begin of one
    bool is_whole{false};
    int status{0};
    bool is_signed{false};
    std::string signature;
    std::string body;
    std::size_t length{0}; ///< bytes used
};

std::string field_value(const std::string& head, const std::string& name)
{
    const auto at = head.find("\r\n" + name + ": ");
    if (at == std::string::npos) {
        return {};
    }
    const auto begin = at + name.size() + 4;
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

parsed_answer fail(const std::string& why)
{
    parsed_answer answer;
    answer.error = why;
    return answer;
}

/// Reads chunks from `at` on. Returns why the bytes are no chunks; empty if they are, or begin so.
std::string read_chunks(const std::string& bytes, std::size_t at, parsed_answer& answer)
{
    while (at < bytes.size()) {
        const auto line_end = bytes.find("\r\n", at);
        const auto digits =
            bytes.substr(at, line_end == std::string::npos ? line_end : line_end - at);
        if (digits.find_first_not_of("0123456789abcdef\r") != std::string::npos) {
            return "no size of a chunk";
        }
        if (line_end == std::string::npos) {
            return {};
        }
        if (digits.empty()) {
            return "an empty size of a chunk";
        }
        const auto size = std::stoull(digits, nullptr, 16);
        const auto data = line_end + 2;
        if (bytes.size() < data + size + 2) {
            return {};
        }
        if (bytes.compare(data + size, 2, "\r\n") != 0) {
            return "no line end behind a chunk";
        }
        answer.body += bytes.substr(data, size);
        at = data + size + 2;
        if (size == 0) {
            answer.is_whole = true;
            answer.length = at;
            return {};
        }
    }
    return {};
}

parsed_answer parse(const std::string& bytes, const sent_request& request, peer_end end)
{
    parsed_answer answer;
    constexpr std::string_view begin = "HTTP/1.1 ";
    if (!std::string_view{bytes}.starts_with(begin.substr(0, bytes.size()))) {
        return fail("no status line");
    }
    const auto head_end = bytes.find("\r\n\r\n");
    if (head_end == std::string::npos) {
        return answer;
    }
    const auto head = bytes.substr(0, head_end + 2);
    const auto at = head_end + 4;
    answer.status = std::atoi(head.c_str() + begin.size());
    answer.signature = field_value(head, "X-Server-Signature");
    answer.is_signed = !answer.signature.empty();
    if (answer.status < 200 || answer.status > 599) {
        return fail("no final status");
    }
    const auto length = field_value(head, "Content-Length");
    const bool is_chunked = field_value(head, "Transfer-Encoding") == "chunked";
    if (!length.empty() && is_chunked) {
        return fail("a length and chunks");
    }
    if (request.method == "HEAD" || answer.status == 204 || answer.status == 304) {
        answer.is_whole = true;
        answer.length = at;
        return answer;
    }
    if (is_chunked) {
        if (!request.http_1_1) {
            return fail("chunks for HTTP/1.0");
        }
        answer.error = read_chunks(bytes, at, answer);
        return answer;
    }
    if (!length.empty()) {
        const auto size = std::stoull(length);
        answer.is_whole = bytes.size() >= at + size;
        answer.body = bytes.substr(at, size);
        answer.length = answer.is_whole ? at + size : 0;
        return answer;
    }
    answer.body = bytes.substr(at);
    answer.is_whole = end == peer_end::closed;
    answer.length = bytes.size();
    return answer;
}
} // namespace

/// One gateway before three servers of each service, whose acts are drawn from a seed, as are the
/// callers'. Each seed is one connection with up to three requests.
TEST_GROUP(call_ends)
{
    std::unique_ptr<deployment> fleet;
    std::vector<std::unique_ptr<raw_server>> servers;
    std::mutex mutex;
    std::map<std::string, request_history> histories;
    std::map<std::string, int> outcomes; ///< how often each kind of end was seen
    std::vector<std::string> wrong;

    void setup() override
    {
        site_options options;
        options.gateways = 1;
        options.engines = 0;
        options.plain_servers = 0;
        options.prepaid = 900'000'000;
        fleet = std::make_unique<deployment>(options);
        CHECK(fleet->wait_ready(fleet->gateways()[0]));
        constexpr int servers_of_each = 3;
        for (const std::string service : {"models", "orders"}) {
            for (int i = 0; i < servers_of_each; ++i) {
                servers.push_back(std::make_unique<raw_server>(
                    [this](const raw_connection& connection, const raw_request& request) {
                        serve(connection, request);
                    }));
                const auto id = service + "-" + std::to_string(i);
                const nlohmann::json entry{{"service", service},
                                           {"address", servers.back()->address()},
                                           {"zone", "a"},
                                           {"version", "v1"},
                                           {"max-concurrency", 64},
                                           {"state", "ready"},
                                           {"warmup-left-ms", 0},
                                           {"sequence", 1},
                                           {"born", 1}};
                fleet->store().rows().put("servers", id, entry.dump());
            }
        }
        wait(time_ms{500});
    }
    void teardown() override
    {
        fleet.reset();
        servers.clear();
    }

    void serve(const raw_connection& connection, const raw_request& request)
    {
        dice random{hash64(request.id + request.expected_server)};
        const auto act = draw_act(random, request);
        {
            const std::lock_guard lock{mutex};
            auto& history = histories[request.id];
            history.runs += act.runs ? 1 : 0;
            if (act.is_signed) {
                history.signed_statuses.insert(act.status);
            }
            if (act.whole_body && act.is_stream) {
                std::string before;
                for (int number = 1; number < act.first_event; ++number) {
                    before += event_text(request.id, number);
                }
                history.whole_streams.insert(before + *act.whole_body);
            } else if (act.whole_body) {
                history.whole_bodies.insert(*act.whole_body);
            }
        }
        perform(random, connection, act);
    }

    void report(std::uint64_t seed, const sent_request& request, const std::string& what,
                const std::string& bytes)
    {
        const std::lock_guard lock{mutex};
        wrong.push_back("seed " + std::to_string(seed) + ", request " + request.id + ", " +
                        request.method + (request.http_1_1 ? " 1.1" : " 1.0") + ": " + what +
                        "\n---\n" + bytes + "\n---");
    }

    void count(const std::string& outcome)
    {
        const std::lock_guard lock{mutex};
        ++outcomes[outcome];
    }

    std::string encode(dice & random, const sent_request& request, bool is_last)
    {
        const bool is_chat = request.id.ends_with("chat");
        const auto limit = random.chance(30) ? random.draw(60, 500) : 3000;
        std::string text = request.method + " /" + request.id.substr(request.id.rfind('-') + 1) +
                           "/x HTTP/1." + (request.http_1_1 ? "1" : "0") +
                           "\r\nHost: " + std::string{deployment::host} +
                           "\r\nX-Request-Id: " + request.id +
                           "\r\nX-Deadline-Ms: " + std::to_string(limit) + "\r\nX-Key: key-1\r\n";
        if (is_chat) {
            // A block for each request, so that no prompt is taken for one that crashes servers.
            text += "X-Token-Usage: 500,30\r\nX-Prefix-Hash: " + hex(hash64(request.id)) +
                    ":300,c1:200\r\n";
        }
        if (is_last && request.http_1_1) {
            text += "Connection: close\r\n";
        }
        if (request.http_1_1 && random.chance(30)) {
            return text + "Transfer-Encoding: chunked\r\n\r\n" + chunk("bo") + chunk("dy") +
                   "0\r\n\r\n";
        }
        return text + "Content-Length: 4\r\n\r\nbody";
    }

    /// Checks an answer that its framing says is whole. Returns what is wrong with it.
    std::string check_whole(const sent_request& request, const parsed_answer& answer)
    {
        const std::lock_guard lock{mutex};
        const auto& history = histories[request.id];
        const bool is_success = answer.status >= 200 && answer.status < 300;
        if (is_success && answer.signature != signature_of(request.id)) {
            return "a success without its server's signature";
        }
        if (answer.is_signed && history.signed_statuses.count(answer.status) == 0) {
            return "a status that no server gave";
        }
        if (is_success && request.method != "HEAD" &&
            history.whole_streams.count(answer.body) + history.whole_bodies.count(answer.body) ==
                0) {
            return "a body that no server sent whole";
        }
        const bool promises_not_run = answer.status == 503 || answer.status == 429 ||
                                      answer.status == 408 || answer.status == 421;
        return promises_not_run && history.runs > 0 ? "a promise that it has not run" : "";
    }

    void walk(std::uint64_t seed)
    {
        dice random{seed};
        const auto requests = random.draw(1, 3);
        std::vector<sent_request> sent;
        std::string text;
        for (std::size_t i = 0; i < requests; ++i) {
            const bool is_last = i + 1 == requests;
            sent_request request;
            const std::array<std::string, 4> routes{"chat", "chat", "order", "stock"};
            const auto& route = routes.at(random.draw(0, routes.size() - 1));
            request.id = "w" + std::to_string(seed) + "-" + std::to_string(i) + "-" + route;
            request.may_run_again = route != "order";
            request.http_1_1 = !is_last || random.chance(60);
            request.method = random.chance(10) ? "HEAD" : "POST";
            text += encode(random, request, is_last);
            sent.push_back(request);
        }
        constexpr int small_window = 4096;
        constexpr time_ms longest{8000};
        raw_caller caller{fleet->gateways()[0].listen, random.chance(30) ? small_window : 0};
        const auto pieces = random.draw(1, 3);
        for (std::size_t i = 0; i < pieces; ++i) {
            caller.send(std::string_view{text}.substr(text.size() * i / pieces,
                                                      text.size() * (i + 1) / pieces -
                                                          text.size() * i / pieces));
            wait(time_ms{static_cast<std::int64_t>(random.draw(0, 3))});
        }
        const auto behaviour = random.draw(1, 20);
        if (behaviour == 1) {
            wait(time_ms{static_cast<std::int64_t>(random.draw(0, 40))});
            random.chance(50) ? caller.close() : caller.reset();
            count("caller left");
            return;
        }
        if (behaviour == 2) {
            wait(time_ms{static_cast<std::int64_t>(random.draw(0, 20))});
            caller.stop_sending();
        }
        check(seed, sent, caller.receive_all(longest));
    }

    void check(std::uint64_t seed, const std::vector<sent_request>& sent,
               const received_bytes& received)
    {
        auto rest = received.bytes;
        bool is_over = false;
        for (const auto& request : sent) {
            {
                const std::lock_guard lock{mutex};
                if (!request.may_run_again && histories[request.id].runs > 1) {
                    wrong.push_back("run twice: " + request.id);
                }
            }
            if (is_over) {
                continue;
            }
            const auto answer = parse(rest, request, received.end);
            if (!answer.error.empty()) {
                report(seed, request, answer.error, received.bytes);
                return;
            }
            if (!answer.is_whole) {
                is_over = true;
                count("visibly incomplete");
                if (received.end == peer_end::none) {
                    report(seed, request, "no end", received.bytes);
                }
                continue;
            }
            if (const auto what = check_whole(request, answer); !what.empty()) {
                report(seed, request, what, received.bytes);
            }
            count("status " + std::to_string(answer.status));
            rest.erase(0, answer.length);
        }
        if (!is_over && !rest.empty()) {
            report(seed, sent.back(), "bytes behind the last answer", received.bytes);
        }
    }

    /// Walks the seeds `from` to `to`, several at a time.
    void walk_all(std::uint64_t from, std::uint64_t to)
    {
        constexpr int threads = 24;
        std::atomic<std::uint64_t> next{from};
        std::vector<std::thread> walkers;
        for (int i = 0; i < threads; ++i) {
            walkers.emplace_back([&] {
                for (auto seed = next++; seed <= to; seed = next++) {
                    walk(seed);
                }
            });
        }
        for (auto& walker : walkers) {
            walker.join();
        }
        std::string all;
        for (const auto& each : wrong) {
            all += each + "\n";
        }
        CHECK_TEXT(wrong.empty(), all.substr(0, 6000).c_str());
    }
};

// Guards against bytes that are no answer, an end that looks complete, an answer that no server
// gave and a false promise, whatever ends a call: its server, its caller, its time.
// JUJUBEVALVE_CALL_END_SEEDS=FROM-TO walks other seeds.
TEST(call_ends, are_an_answer_or_visibly_incomplete)
{
    std::uint64_t from = 1;
    std::uint64_t to = 800;
    if (const char* const seeds = std::getenv("JUJUBEVALVE_CALL_END_SEEDS")) {
        char* end = nullptr;
        from = std::strtoull(seeds, &end, 10);
        to = *end == '-' ? std::strtoull(end + 1, nullptr, 10) : from;
    }
    walk_all(from, to);
    if (to - from >= 700) {
        // The walk is of use only if it reaches the ends that it is for.
        CHECK(outcomes["status 200"] > 200);
        CHECK(outcomes["visibly incomplete"] > 50);
        CHECK(outcomes["status 502"] > 50);
    }
}
