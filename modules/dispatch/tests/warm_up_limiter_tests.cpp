#include "dispatch/fleet_notices.h"
#include "dispatch/warm_up_limiter.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <random>
#include <string>
#include <vector>

using namespace jujubevalve;

namespace
{
constexpr time_ms start{1'000'000};
/// The users' bound: in any second at most the rate times the overage, and the slack.
constexpr double overage = 1.5;
constexpr double slack = 5;

fleet_config config_with_limit(std::int64_t per_1000_s)
{
    fleet_config_content content;
    service_options service;
    service.name = "models";
    service.warm_up = seconds(3);
    service.warm_up_limit_per_1000_s = per_1000_s;
    content.services = {service};
    return fleet_config{content};
}

server_entry entry(const std::string& id, time_ms cold_until = {})
{
    return {id, "models", "127.0.0.1:1", "a", 8, false, cold_until, 1};
}

/// Instances that all have more requests than a cold server bears.
class fleet
{
public:
    fleet(std::size_t size, std::int64_t per_1000_s)
        : per_1000_s_{per_1000_s}
    {
        for (std::size_t i = 0; i < size; ++i) {
            names_.push_back("instance-" + std::to_string(i));
        }
        for (std::size_t i = 0; i < size; ++i) {
            instances_.emplace_back(overage);
            instances_.back().set_services(config_with_limit(per_1000_s));
            instances_.back().set_instances(names_[i], names_);
            instances_.back().set_counted(true);
        }
    }

    /// Lets every second instance miss some others, which go on.
    void disagree(std::size_t missed)
    {
        for (std::size_t i = 0; i < instances_.size(); i += 2) {
            auto known = names_;
            for (std::size_t n = 0; n < missed; ++n) {
                std::erase(known, names_[(i + 1 + 2 * n) % names_.size()]);
            }
            instances_[i].set_instances(names_[i], known);
        }
    }

    /// Returns the times of the requests that the server gets in 20 s, at clocks that differ. None
    /// are sent in the first part of each 2 s.
    std::vector<time_ms> run(time_ms pause = {})
    {
        constexpr time_ms step{5};
        constexpr int max_clock_error = 20;
        std::minstd_rand random{7};
        const auto cold = entry("s1", start + seconds(100));
        std::vector<time_ms> sent;
        for (auto now = start; now < start + seconds(20); now = now + step) {
            for (auto& instance : instances_) {
                if ((now - start).count() % 2000 < pause.count()) {
                    break;
                }
                const time_ms error{std::uniform_int_distribution<int>{0, max_clock_error}(random)};
                if (instance.may_send(cold, now - error)) {
                    instance.note_sent(cold, now - error);
                    sent.push_back(now);
                }
            }
        }
        return sent;
    }

    [[nodiscard]] double allowed() const
    {
        return overage * static_cast<double>(per_1000_s_) / 1000 + slack;
    }

private:
    std::int64_t per_1000_s_;
    std::vector<std::string> names_;
    std::vector<warm_up_limiter> instances_;
};

std::size_t most_in_a_second(const std::vector<time_ms>& sent)
{
    std::size_t most = 0;
    for (std::size_t first = 0, last = 0; last < sent.size(); ++last) {
        while (sent[last] - sent[first] >= seconds(1)) {
            ++first;
        }
        most = std::max(most, last - first + 1);
    }
    return most;
}
} // namespace

TEST_GROUP(warm_up_limiter)
{
    warm_up_limiter limiter{overage};

    void setup() override
    {
        limiter.set_services(config_with_limit(1000));
        limiter.set_instances("own", {"own"});
        limiter.set_counted(true);
    }
    /// Returns the requests that the server gets of many at one moment.
    int sent_at_once(const server_entry& server, time_ms now)
    {
        int sent = 0;
        for (; sent < 100 && limiter.may_send(server, now); ++sent) {
            limiter.note_sent(server, now);
        }
        return sent;
    }
};

// Load pattern: all instances have requests for a server that has just become cold. Guards against
// a server that crashes again and again as it warms up, and against one that gets nothing.
TEST(warm_up_limiter, keeps_a_fleet_of_any_size_within_what_a_cold_server_bears)
{
    for (const std::size_t size : {1, 8, 76, 300}) {
        for (const std::int64_t per_1000_s : {2500, 9700}) {
            fleet instances{size, per_1000_s};
            const auto sent = instances.run();
            CHECK(static_cast<double>(most_in_a_second(sent)) <= instances.allowed());
            const auto sent_in_bursts = fleet{size, per_1000_s}.run(seconds(1));
            CHECK(static_cast<double>(most_in_a_second(sent_in_bursts)) <= instances.allowed());
            CHECK(static_cast<double>(sent.size()) >= 0.9 * 20 * per_1000_s / 1000);
        }
    }
}

// Guards against permits that are given away twice while instances disagree on who is alive.
TEST(warm_up_limiter, stays_within_it_while_instances_disagree_on_who_is_alive)
{
    for (const std::size_t size : {3, 4, 8, 76, 300}) {
        for (const time_ms pause : {time_ms{0}, seconds(1)}) {
            fleet instances{size, 9700};
            instances.disagree(std::max<std::size_t>(1, size / 4));
            const auto sent = instances.run(pause);
            CHECK(static_cast<double>(most_in_a_second(sent)) <= instances.allowed());
        }
    }
}

// Guards against an instance that goes on with its share after the others have divided it up.
TEST(warm_up_limiter, an_instance_that_others_may_have_dropped_has_no_permits)
{
    limiter.set_counted(false);
    CHECK_EQUAL(0, sent_at_once(entry("s1", start + seconds(3)), start));
    CHECK_EQUAL(100, sent_at_once(entry("s1"), start));
}

// Guards against limits on warm servers, and on services whose configuration names no limit.
TEST(warm_up_limiter, limits_only_cold_servers_of_services_that_ask_for_it)
{
    const auto cold = entry("s1", start + seconds(3));
    CHECK(sent_at_once(cold, start) <= 1);
    CHECK_EQUAL(100, sent_at_once(cold, start + seconds(3)));
    limiter.set_services(config_with_limit(0));
    CHECK_EQUAL(100, sent_at_once(cold, start));
}

// Guards against full load on the successor of a crashed server whose registration has not been
// read yet. Its own registration tells more, once it is read.
TEST(warm_up_limiter, takes_a_crashed_server_for_cold_until_its_successor_registers)
{
    auto server = entry("s1");
    limiter.note_crash(server_key("s1", server.incarnation), start);
    CHECK(sent_at_once(server, start + seconds(2)) <= 1);
    server.incarnation = 2;
    CHECK_EQUAL(100, sent_at_once(server, start + seconds(2)));
}

// Guards against full load on servers that became cold while their domain was evacuated.
TEST(warm_up_limiter, takes_the_servers_of_a_domain_that_is_taken_back_for_cold)
{
    limiter.note_evacuation_ended("a", start);
    limiter.expire(start + seconds(2));
    CHECK(sent_at_once(entry("s1"), start + seconds(2)) <= 1);
    CHECK_EQUAL(100, sent_at_once(entry("s1"), start + seconds(3)));
    auto elsewhere = entry("s2");
    elsewhere.failure_domain = "b";
    CHECK_EQUAL(100, sent_at_once(elsewhere, start + seconds(2)));
}
