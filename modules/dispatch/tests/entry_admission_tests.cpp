#include "dispatch/entry_admission.h"
#include "dispatch/link_budget.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace jujubevalve;

namespace
{
constexpr double link_mbps = 10;
constexpr double bytes_per_ms = 1175;
constexpr int request_bytes = 4300; ///< of the request
constexpr int answer_bytes = 1200;  ///< of the server's answer, on the same way in
constexpr double processor_without_limit = 1000;
constexpr double objective_ms = 300;

/// Answers in time, per second, of an instance whose callers offer `load` times what its link
/// carries. What it lets in passes the link in order; a caller gives up after the objective.
double goodput(double load, double requests_per_ms = processor_without_limit)
{
    entry_admission admission{{bytes_per_ms, requests_per_ms}};
    constexpr int duration_ms = 20'000;
    const double per_ms = load * bytes_per_ms / (request_bytes + answer_bytes);
    double arrivals = 0;
    double link_busy_until = 0;
    int waiting = 0;
    int in_time = 0;
    std::int64_t received = 0;
    for (int at = 0; at < duration_ms; ++at) {
        const time_ms now{at};
        arrivals += per_ms;
        waiting = std::min(waiting + static_cast<int>(arrivals), admission.backlog());
        arrivals -= static_cast<int>(arrivals);
        const int accepted = admission.room(waiting, now);
        waiting -= accepted;
        for (int i = 0; i < accepted; ++i) {
            admission.admitted(now);
            link_busy_until = std::max(link_busy_until, static_cast<double>(at)) +
                              (request_bytes + answer_bytes) / bytes_per_ms;
            in_time += link_busy_until - at < objective_ms ? 1 : 0;
            admission.request_ended(request_bytes + answer_bytes);
            received += request_bytes + answer_bytes;
        }
        admission.observe(received, now);
    }
    return in_time * 1000.0 / duration_ms;
}

entry_capacity small_machine()
{
    return {bytes_per_ms, processor_without_limit};
}
} // namespace

TEST_GROUP(entry_admission)
{
    time_ms start{1'000'000};
};

// Load pattern: a large account at a small instance offers up to four times what its link carries.
TEST(entry_admission, goodput_stays_near_its_maximum_at_any_offered_load)
{
    const double half = goodput(0.5);
    const double whole = goodput(1);
    const double twice = goodput(2);
    const double fourfold = goodput(4);
    const double capacity = bytes_per_ms / (request_bytes + answer_bytes) * 1000;
    CHECK(half >= 0.5 * capacity * 0.98);
    CHECK(whole >= 0.85 * capacity);
    CHECK(fourfold >= 0.9 * std::max({half, whole, twice}));
}

// Load pattern: a processor that is slower than the link.
TEST(entry_admission, a_slow_processor_limits_what_is_let_in)
{
    constexpr double requests_per_ms = 0.1;
    const double fourfold = goodput(4, requests_per_ms);
    CHECK(fourfold <= 100);
    CHECK(fourfold >= 85);
}

// Load pattern: a burst after a quiet time must not wait on the link for longer than bounded.
TEST(entry_admission, a_burst_is_let_in_only_up_to_a_bounded_wait)
{
    entry_admission admission{small_machine()};
    int let_in = 0;
    while (admission.room(1, start) > 0 && let_in < 10'000) {
        admission.admitted(start);
        ++let_in;
    }
    CHECK(let_in >= 2);
    CHECK(let_in * 4096 / bytes_per_ms <= 100);
    const auto wait = admission.room_expected_in(start);
    CHECK(wait > time_ms{0});
    CHECK_EQUAL(1, admission.room(1, start + wait));
}

// Load pattern: callers send one request after another on connections that are open already, which
// nothing holds back at the door.
TEST(entry_admission, requests_on_open_connections_can_overrun_an_instance)
{
    entry_admission admission{small_machine()};
    int let_in = 0;
    while (!admission.is_overrun(start) && let_in < 10'000) {
        admission.admitted(start);
        ++let_in;
    }
    CHECK(let_in * 4096 / bytes_per_ms > 400);
    CHECK(let_in * 4096 / bytes_per_ms < 600);
    CHECK_EQUAL(0, admission.room(1, start));
    CHECK(!admission.is_overrun(start + time_ms{10}));
    CHECK(admission.room_expected_in(start) > time_ms{400});
}

// Load pattern: prompts that are ten times as long as before.
TEST(entry_admission, larger_requests_leave_room_for_fewer)
{
    entry_admission admission{small_machine()};
    const int before = admission.room(1000, start);
    for (int i = 0; i < 200; ++i) {
        admission.request_ended(10 * (request_bytes + answer_bytes));
    }
    CHECK(admission.room(1000, start) <= before / 5);
    CHECK(admission.room(1000, start) >= 1);
}

// Load pattern: the link also carries the store's feeds.
TEST(entry_admission, what_is_received_beside_requests_leaves_less_room)
{
    entry_admission admission{small_machine()};
    const int before = admission.room(1000, start);
    std::int64_t received = 0;
    for (int s = 0; s < 8; ++s) {
        admission.observe(received, start + seconds(s));
        received += static_cast<std::int64_t>(0.4 * bytes_per_ms * 1000);
    }
    CHECK(admission.room(1000, start + seconds(8)) < before);
}

TEST_GROUP(link_budget)
{
    time_ms start{1'000'000};
    link_budget link{link_mbps};

    /// Observes `bytes` in each of the next 40 ms steps; returns when the last one ended.
    time_ms observe(int steps, link_traffic bytes)
    {
        link_traffic total;
        auto now = start;
        for (int i = 0; i < steps; ++i) {
            link.observe(total, now);
            total = {total.received + bytes.received, total.sent + bytes.sent};
            now = now + time_ms{40};
        }
        return now;
    }
};

// Failure: connects time out because the own link is full of callers' bodies.
TEST(link_budget, a_link_full_in_either_direction_is_congested)
{
    observe(20, {static_cast<std::int64_t>(40 * bytes_per_ms), 100});
    CHECK(link.is_congested());
    link_budget other{link_mbps};
    link = other;
    observe(20, {100, static_cast<std::int64_t>(40 * bytes_per_ms)});
    CHECK(link.is_congested());
}

// Failure: a server does not answer while the own link has room.
TEST(link_budget, a_link_with_room_is_not_congested)
{
    observe(20, {static_cast<std::int64_t>(20 * bytes_per_ms),
                 static_cast<std::int64_t>(20 * bytes_per_ms)});
    CHECK(!link.is_congested());
}

// Load pattern: a single burst of a few milliseconds is no congestion.
TEST(link_budget, a_short_burst_is_not_congestion)
{
    observe(2, {static_cast<std::int64_t>(40 * bytes_per_ms), 0});
    CHECK(!link.is_congested());
}
