#include "core/clock.h"
#include "standins/site/site_caller.h"

#include <CppUTest/TestHarness.h>
#include <atomic>
#include <chrono>
#include <string>
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

/// The users' bounds: after this crash, and this time, at most so many requests may reach servers.
constexpr std::size_t crashes_to_learn_from = 5;
constexpr time_ms contact_time{3000};
constexpr std::size_t max_later_requests = 3;

constexpr std::uint64_t crash_block = 0xdead;

/// Sends chats that share their first part and their key with the prompts that crash servers.
class sound_callers
{
public:
    sound_callers(site_caller& caller, std::vector<std::string> gateways)
    {
        constexpr int threads = 4;
        for (int i = 0; i < threads; ++i) {
            threads_.emplace_back([this, &caller, gateways, i] {
                for (std::size_t n = static_cast<std::size_t>(i); !stop_; ++n) {
                    const auto prefix = "a1:300,c" + std::to_string(n % 7) + ":100,f1:100";
                    const auto done =
                        caller.call(gateways[n % gateways.size()], site_call::chat, 1, prefix);
                    ++sent_;
                    complete_ += done.complete ? 1 : 0;
                    wait(time_ms{5});
                }
            });
        }
    }
    ~sound_callers()
    {
        stop_ = true;
        for (auto& thread : threads_) {
            thread.join();
        }
    }
    sound_callers(const sound_callers&) = delete;
    sound_callers& operator=(const sound_callers&) = delete;

    /// Returns the complete answers in a thousand requests of the time given.
    int complete_share(time_ms time)
    {
        const auto sent = sent_.load();
        const auto complete = complete_.load();
        wait(time);
        return 1000 * (complete_ - complete) / std::max(1, sent_ - sent);
    }

private:
    std::atomic<bool> stop_{false};
    std::atomic<int> sent_{0};
    std::atomic<int> complete_{0};
    std::vector<std::thread> threads_;
};
} // namespace

/// Several gateways before engines that crash at requests with one shared part of a prompt.
TEST_GROUP(crashing_prompts)
{
    std::unique_ptr<deployment> fleet;
    std::unique_ptr<site_caller> caller;

    void start_fleet(int gateways, int engines)
    {
        site_options options;
        options.gateways = gateways;
        options.engines = engines;
        fleet = std::make_unique<deployment>(options);
        caller = std::make_unique<site_caller>(*fleet);
        for (const auto& gateway : fleet->gateways()) {
            CHECK(fleet->wait_ready(gateway));
        }
    }
    void teardown() override
    {
        caller->check_responses_against_runs();
        for (const auto& violation : caller->violations()) {
            FAIL(violation.c_str());
        }
        caller.reset();
        fleet.reset();
    }
    std::vector<std::string> addresses()
    {
        std::vector<std::string> found;
        for (const auto& gateway : fleet->gateways()) {
            found.push_back(gateway.listen);
        }
        return found;
    }
    /// Sends requests with the block that crashes servers to all gateways in turn.
    void send_crashing(const std::string& parts_before, const std::string& parts_after,
                       time_ms time)
    {
        const auto gateways = addresses();
        const auto end = steady_clock_ms{}.now() + time;
        for (std::size_t n = 0; steady_clock_ms{}.now() < end; ++n) {
            const auto prefix =
                parts_before + "dead:100," + parts_after + "9" + std::to_string(n) + ":50";
            const auto kind = n % 2 == 0 ? site_call::chat : site_call::note;
            caller->call(gateways[n % gateways.size()], kind, 1, prefix);
            wait(time_ms{120});
        }
    }
};

// Incident 22: requests that share a part of their prompt crash one server after the other, because
// no instance relates the crashes that the instances see to the part.
TEST(crashing_prompts, a_part_that_crashes_servers_is_kept_from_them_by_the_whole_fleet)
{
    start_fleet(4, 6);
    sound_callers sound{*caller, addresses()};
    const auto share_before = sound.complete_share(seconds(2));
    fleet->set_crash_block(crash_block);
    send_crashing("a1:300,", "", seconds(6));
    // The bound on the others holds from twice the contact time after the last crash to count.
    std::atomic<int> share_after{0};
    std::thread measure{[&] { share_after = sound.complete_share(seconds(5)); }};
    send_crashing("a1:300,", "", seconds(5));
    measure.join();
    const auto history = fleet->crashes();
    CHECK(history.crashes.size() >= 3);
    CHECK(history.requests_later_than(crashes_to_learn_from, contact_time) <= max_later_requests);
    CHECK(share_after >= share_before / 2);
}

// Incident 22, variant: the store is away while the servers crash, so that the instances know of
// the crashes only from each other; the block stands first in the prompt.
TEST(crashing_prompts, a_part_is_kept_from_servers_while_the_store_is_away)
{
    start_fleet(3, 6);
    sound_callers sound{*caller, addresses()};
    wait(seconds(3)); // until the instances hold tokens
    fleet->store().refuse_with = 503;
    fleet->set_crash_block(crash_block);
    send_crashing("", "b1:50,", seconds(8));
    const auto history = fleet->crashes();
    fleet->store().refuse_with = 0;
    CHECK(history.crashes.size() >= 3);
    CHECK(history.requests_later_than(crashes_to_learn_from, contact_time) <= max_later_requests);
}

// Incident 22, variant: all instances end, one after the other and then together, while the part is
// kept from the servers; those that start know of it.
TEST(crashing_prompts, a_restart_of_the_fleet_forgets_no_quarantine)
{
    start_fleet(3, 6);
    sound_callers sound{*caller, addresses()};
    fleet->set_crash_block(crash_block);
    send_crashing("a1:300,", "b1:50,", seconds(8));
    const auto restart = [&](site_gateway& gateway) {
        gateway.process->kill();
        fleet->start(gateway);
    };
    for (auto& gateway : fleet->gateways()) {
        restart(gateway);
        CHECK(fleet->wait_ready(gateway));
    }
    wait(seconds(1));
    const auto before = fleet->crashes().requests.size();
    send_crashing("a1:300,", "b1:50,", seconds(2));
    for (auto& gateway : fleet->gateways()) {
        restart(gateway);
    }
    for (const auto& gateway : fleet->gateways()) {
        CHECK(fleet->wait_ready(gateway));
    }
    wait(seconds(1));
    send_crashing("a1:300,", "b1:50,", seconds(3));
    CHECK_EQUAL(before, fleet->crashes().requests.size());
}

// Review case 4: the tenth part of the prompt crashes the servers.
TEST(crashing_prompts, a_part_far_back_in_the_prompt_is_kept_from_servers)
{
    start_fleet(3, 6);
    sound_callers sound{*caller, addresses()};
    fleet->set_crash_block(crash_block);
    // The parts before it are those of the sound prompts.
    send_crashing("a1:300,c0:9,c1:9,c2:9,c3:9,c4:9,c5:9,c6:9,c0:9,", "b1:50,", seconds(10));
    const auto history = fleet->crashes();
    CHECK(history.crashes.size() >= 3);
    CHECK(history.requests_later_than(crashes_to_learn_from, contact_time) <= max_later_requests);
}

// Fault: open connections between the instances go silent without a reset. Found by reading the
// soak's faults: notices went into them until the last one had expired.
TEST(crashing_prompts, silent_connections_between_instances_keep_no_notice_back)
{
    start_fleet(3, 6);
    sound_callers sound{*caller, addresses()};
    // A limit in force keeps the connections open.
    fleet->servers().front().server->limit_per_1000_s = 5000;
    wait(seconds(2));
    for (auto& gateway : fleet->gateways()) {
        gateway.peer_path->silence_open();
    }
    wait(seconds(3));
    fleet->set_crash_block(crash_block);
    send_crashing("a1:300,", "", seconds(8));
    const auto history = fleet->crashes();
    CHECK(history.crashes.size() >= 3);
    CHECK(history.requests_later_than(crashes_to_learn_from, contact_time) <= max_later_requests);
}
