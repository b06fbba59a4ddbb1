// A tenant whose clients leave while their prompts are answered gets more than its prepaid tokens.
#include "site.h"

#include <random>
#include <set>

using namespace review;

namespace
{
/// Clients leave after half of the objective of 600 ms, for 5 s, three in ten of them.
constexpr std::int64_t leave_after_ms = 300;
constexpr std::int64_t trouble_begin_ms = 2000;
constexpr std::int64_t trouble_length_ms = 5000;
constexpr int leaving_percent = 30;

constexpr int requests_per_s = 12;
constexpr std::int64_t traffic_ms = 26'000;
constexpr std::int64_t prepaid = 1'500'000;
constexpr int events = 17;

/// A loaded engine: a token of each request every 40 ms, three tokens in an event.
constexpr std::int64_t step_ms = 40;
constexpr std::int64_t min_prefill_ms = 220;
constexpr std::int64_t max_prefill_ms = 300;

/// What the tenant has got: the input of each request that has begun to run, once, and the output
/// that its clients have received.
class consumption
{
public:
    void began(const std::string& id)
    {
        const std::lock_guard lock{mutex_};
        input_ += began_.insert(id).second ? prompt_tokens : 0;
    }
    void received(std::int64_t tokens) { output_ += tokens; }
    [[nodiscard]] std::int64_t total()
    {
        const std::lock_guard lock{mutex_};
        return input_ + output_;
    }
    [[nodiscard]] std::size_t runs()
    {
        const std::lock_guard lock{mutex_};
        return began_.size();
    }

private:
    std::mutex mutex_;
    std::set<std::string> began_;
    std::int64_t input_{0};
    std::atomic<std::int64_t> output_{0};
};

class engine
{
public:
    engine(std::string id, consumption& used, recorder& record)
        : id_{std::move(id)}
        , used_{used}
        , record_{record}
        , listener_{[this](connection& peer) { serve(peer); }}
    {
    }
    [[nodiscard]] const std::string& id() const { return id_; }
    [[nodiscard]] const std::string& address() const { return listener_.address(); }

private:
    // A request starts to run with its first token. The head goes out with the first event. A
    // request whose connection is closed is dropped.
    void serve(connection& peer)
    {
        std::minstd_rand random{static_cast<std::minstd_rand::result_type>(peer.descriptor())};
        message request;
        while (peer.read_request(request, 60'000)) {
            const auto id = request.header("x-request-id");
            if (request.header("x-expect-instance") != id_) {
                peer.send(refusal("421 Misdirected Request", id));
                continue;
            }
            const std::int64_t prefill =
                std::uniform_int_distribution<std::int64_t>{min_prefill_ms, max_prefill_ms}(random);
            if (peer.peer_leaves_within(prefill)) {
                record_.line(id_ + ": " + id + " dropped before its first token");
                return;
            }
            used_.began(id);
            record_.line(id_ + ": " + id + " runs");
            if (!stream(peer, id)) {
                return;
            }
        }
    }

    bool stream(connection& peer, const std::string& id)
    {
        for (int number = 1; number <= events; ++number) {
            const auto steps = number == 1 ? tokens_per_event - 1 : tokens_per_event;
            if (peer.peer_leaves_within(steps * step_ms)) {
                record_.line(id_ + ": " + id + " dropped after its first token, before event " +
                             std::to_string(number));
                return false;
            }
            if (!peer.send((number == 1 ? stream_head(id) : "") + chunk(event(id, number)))) {
                return false;
            }
        }
        return peer.send("0\r\n\r\n");
    }

    std::string id_;
    consumption& used_;
    recorder& record_;
    listener listener_;
};

struct counts {
    std::atomic<int> answered{0};
    std::atomic<int> refused{0};
    std::atomic<int> left{0};
    std::atomic<int> other{0};
};

void call(const std::string& frontend, const std::string& id, bool leaves, consumption& used,
          counts& seen, recorder& record)
{
    connection caller{frontend};
    const auto sent_at = now_ms();
    record.line(id + " sent to " + frontend);
    if (!caller.is_open() || !caller.send(brief_request(id, events))) {
        ++seen.other;
        return;
    }
    message got;
    if (!caller.read_head(got, leaves ? leave_after_ms : 8000)) {
        ++(leaves ? seen.left : seen.other);
        record.line(id + (leaves ? ": client leaves before the answer" : ": no answer"));
        return;
    }
    std::string body;
    caller.read_body(got, leaves ? sent_at + leave_after_ms : sent_at + 8000,
                     [&](std::string_view bytes) { body += bytes; });
    if (got.status() != 200) {
        ++(got.status() == 429 ? seen.refused : seen.other);
        record.line(id + ": " + std::to_string(got.status()) + " " + got.body);
        return;
    }
    int received = 0;
    while (body.find(event(id, received + 1)) != std::string::npos) {
        ++received;
    }
    used.received(received * tokens_per_event);
    record.line(id + ": 200, " + std::to_string(received) + " events" +
                (got.whole ? ", whole" : ", left by the client"));
    ++(got.whole ? seen.answered : seen.left);
}
} // namespace

int main(int argc, char** argv)
{
    auto made = read_setting(argc, argv);
    auto& record = *made.record;
    consumption used;
    store rows;
    rows.put("op", "config", manifest(7, prepaid));
    std::vector<std::unique_ptr<engine>> servers;
    for (int i = 1; i <= 3; ++i) {
        servers.push_back(std::make_unique<engine>("i-engine" + std::to_string(i), used, record));
        rows.put("servers", servers.back()->id(),
                 server_entry(engines, servers.back()->address(), "jm-south-a", 64, "ready"));
    }
    auto gateways = start_gateways(made, 2, rows);

    counts seen;
    std::vector<std::thread> callers;
    std::minstd_rand random{7};
    const auto begin = now_ms();
    for (int number = 0; now_ms() - begin < traffic_ms; ++number) {
        const auto at = now_ms() - begin;
        const bool leaves = made.trouble && at >= trouble_begin_ms &&
                            at < trouble_begin_ms + trouble_length_ms &&
                            std::uniform_int_distribution<int>{1, 100}(random) <= leaving_percent;
        const auto id = "9c41d07b" + std::to_string(10'000'000 + number);
        callers.emplace_back([&, id, leaves, number] {
            call(gateways[static_cast<std::size_t>(number % 2)]->frontend(), id, leaves, used, seen,
                 record);
        });
        sleep_ms(1000 / requests_per_s);
    }
    for (auto& caller : callers) {
        caller.join();
    }
    record.line("answered " + std::to_string(seen.answered) + ", refused with 429 " +
                std::to_string(seen.refused) + ", clients left " + std::to_string(seen.left) +
                ", others " + std::to_string(seen.other));
    record.line("requests that began to run: " + std::to_string(used.runs()));
    record.line("tokens: prepaid " + std::to_string(prepaid) + ", consumed " +
                std::to_string(used.total()));
    if (seen.refused == 0 || seen.answered == 0) {
        record.line("the budget was not used up: the case says nothing");
        return could_not_run;
    }
    const bool is_broken = used.total() > prepaid;
    record.line(is_broken ? "BROKEN: the tenant got more than its prepaid tokens" : "held");
    return is_broken ? broken : held;
}
