#include "core/clock.h"
#include "standins/site/site_caller.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <fstream>
#include <iterator>
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

/// The last bytes that a gateway logged, to tell why it did not start.
std::string end_of_log(const std::string& name, const std::string& folder)
{
    constexpr std::size_t most = 1500;
    std::ifstream file{folder + "/" + name + ".log"};
    const std::string text{std::istreambuf_iterator<char>{file}, {}};
    return text.substr(text.size() > most ? text.size() - most : 0);
}

/// Sends requests of one kind from several threads until it is destroyed.
class background_load
{
public:
    background_load(site_caller& caller, const std::vector<std::string>& gateways, site_call kind)
    {
        for (int i = 0; i < 4; ++i) {
            threads_.emplace_back([this, &caller, gateways, kind, i] {
                for (std::size_t n = static_cast<std::size_t>(i); !stop_; ++n) {
                    const auto done = caller.call(gateways[n % gateways.size()], kind, 1 + i % 2);
                    incomplete_ += done.complete ? 0 : 1;
                }
            });
        }
    }
    ~background_load() { join(); }
    background_load(const background_load&) = delete;
    background_load& operator=(const background_load&) = delete;

    void join()
    {
        stop_ = true;
        for (auto& thread : threads_) {
            thread.join();
        }
        threads_.clear();
    }
    [[nodiscard]] int incomplete() const { return incomplete_; }

private:
    std::atomic<bool> stop_{false};
    std::atomic<int> incomplete_{0};
    std::vector<std::thread> threads_;
};
} // namespace

TEST_GROUP(gateway)
{
    std::unique_ptr<deployment> where;
    std::unique_ptr<site_caller> caller;

    void begin(const site_options& options = {})
    {
        where = std::make_unique<deployment>(options);
        caller = std::make_unique<site_caller>(*where);
        for (const auto& gateway : where->gateways()) {
            if (!where->wait_ready(gateway)) {
                FAIL((gateway.name + " is not ready; the end of its log: " +
                      end_of_log(gateway.name, options.log_folder))
                         .c_str());
            }
        }
    }
    void teardown() override
    {
        if (caller) {
            caller->check_promises();
            for (const auto& what : caller->violations()) {
                FAIL(what.c_str());
            }
        }
        caller.reset();
        where.reset();
    }
    std::string address(std::size_t i)
    {
        return where->gateways()[i].listen;
    }

    /// Calls until the kind is served or the time is over.
    bool serves(std::size_t i, site_call kind, time_ms limit)
    {
        const auto deadline = steady_clock_ms{}.now() + limit;
        while (steady_clock_ms{}.now() < deadline) {
            if (caller->call(address(i), kind, 1).complete) {
                return true;
            }
            wait(time_ms{50});
        }
        return false;
    }
};

// Guards the whole path: every kind of call is answered with the server's own bytes.
TEST(gateway, answers_every_kind_of_call)
{
    begin();
    for (const auto kind : {site_call::chat, site_call::note, site_call::order, site_call::stock}) {
        for (std::size_t i = 0; i < 3; ++i) {
            CHECK(caller->call(address(i), kind, 1).complete);
        }
    }
    // The others are known after their next beat has been read.
    const auto deadline = steady_clock_ms{}.now() + seconds(3);
    std::size_t known = 0;
    while (known < 3 && steady_clock_ms{}.now() < deadline) {
        known = caller->resolve(where->gateways()[0].directory).size();
        wait(time_ms{50});
    }
    CHECK_EQUAL(3U, known);
}

// Guards against denying everyone before the first configuration is known.
TEST(gateway, a_process_without_configuration_is_not_ready_and_denies_nothing)
{
    begin({1, 1, 1});
    auto& gateway = where->gateways().front();
    gateway.process->kill();
    where->store().refuse_with = 503;
    where->start(gateway);
    CHECK_FALSE(where->wait_ready(gateway, seconds(1)));
    CHECK_EQUAL(503, caller->call(gateway.listen, site_call::stock, 1).status);
    where->store().refuse_with = 0;
    CHECK(where->wait_ready(gateway, seconds(3)));
}

// Guards against work that reaches a server after it has said that it leaves.
TEST(gateway, sends_nothing_to_a_leaving_server)
{
    begin({1, 2, 2});
    auto& leaving = where->servers().front();
    where->announce(leaving, true);
    wait(time_ms{500});
    const auto before = leaving.path->accepted();
    leaving.path->set_mode(tcp_relay::mode::refuse);
    for (int i = 0; i < 20; ++i) {
        CHECK(caller->call(address(0), site_call::chat, 1).complete);
    }
    CHECK_EQUAL(before, leaving.path->accepted());
}

// Guards against refusals during an outage of the store that is shorter than the stock of tokens.
TEST(gateway, serves_through_an_outage_of_the_store)
{
    begin();
    {
        const background_load warm_up{*caller, {address(0), address(1)}, site_call::chat};
        wait(seconds(2));
    }
    where->store().refuse_with = 503;
    wait(seconds(3)); // the ceilings no longer bind
    int served = 0;
    for (int i = 0; i < 20; ++i) {
        served += caller->call(address(static_cast<std::size_t>(i % 2)), site_call::chat, 1 + i % 2)
                          .complete
                      ? 1
                      : 0;
    }
    CHECK_EQUAL(20, served);
    where->store().refuse_with = 0;
}

// Guards against a stop that cuts answers, and against callers being sent to a stopping instance.
TEST(gateway, a_stop_cuts_no_answer)
{
    begin();
    background_load load{*caller, {address(0), address(1), address(2)}, site_call::chat};
    wait(seconds(2));
    CHECK_EQUAL(3U, caller->resolve(where->gateways()[1].directory).size());
    CHECK_EQUAL(0, load.incomplete());
    where->gateways()[0].process->send(SIGTERM);
    wait(time_ms{1500});
    const auto addresses = caller->resolve(where->gateways()[1].directory);
    CHECK(std::find(addresses.begin(), addresses.end(), address(0)) == addresses.end());
    CHECK(where->gateways()[0].process->wait_ended(seconds(8)) == 0);
    load.join();
    // Callers that still use the old address are not connected; none had its answer cut.
    for (const auto& [status, count] : caller->statuses()) {
        CHECK(status == 200 || status == 0 || status == 503);
    }
}

// Guards against lost and doubled tokens when every process is killed at the same moment.
TEST(gateway, the_budget_survives_the_death_of_all_processes)
{
    site_options options;
    options.prepaid = 60'000;
    begin(options);
    const auto use = [&](int calls) {
        for (int i = 0; i < calls; ++i) {
            caller->call(address(static_cast<std::size_t>(i % 3)), site_call::chat, 1);
        }
    };
    use(30);
    for (auto& gateway : where->gateways()) {
        gateway.process->kill();
    }
    for (auto& gateway : where->gateways()) {
        where->start(gateway);
    }
    for (const auto& gateway : where->gateways()) {
        CHECK(where->wait_ready(gateway));
    }
    wait(seconds(1));
    for (int i = 0; i < 20; ++i) {
        use(15);
        wait(time_ms{100});
    }
    const auto spent = where->book().spent("account-1");
    CHECK(spent <= options.prepaid);
    CHECK(spent >= options.prepaid * 90 / 100);
}

// Guards against counting a grant whose write was done while its answer was lost.
TEST(gateway, stays_within_the_budget_while_answers_of_the_store_are_lost)
{
    site_options options;
    options.prepaid = 30'000;
    begin(options);
    where->store().lose_answers = 400;
    for (int i = 0; i < 120; ++i) {
        caller->call(address(static_cast<std::size_t>(i % 3)), site_call::chat, 1);
    }
    CHECK(where->book().spent("account-1") <= options.prepaid);
}

// Guards against running an order twice, or calling it not run, when its answer is lost.
TEST(gateway, an_order_whose_answer_is_lost_runs_once)
{
    begin();
    for (auto& server : where->servers()) {
        server.server->lose_answer = 500;
    }
    for (int i = 0; i < 60; ++i) {
        caller->call(address(static_cast<std::size_t>(i % 3)),
                     i % 2 == 0 ? site_call::order : site_call::note, 1);
    }
}

// Guards against a stream that repeats or misses events when it goes on at another server.
TEST(gateway, a_broken_stream_goes_on_at_another_server)
{
    begin();
    for (auto& server : where->servers()) {
        server.server->cut_stream = 300;
    }
    int complete = 0;
    for (int i = 0; i < 40; ++i) {
        complete +=
            caller->call(address(static_cast<std::size_t>(i % 3)), site_call::chat, 1).complete ? 1
                                                                                                : 0;
    }
    CHECK(complete >= 34); // three servers in a row break off 27 of 1000
}

// Guards against a version that never arrives because its change was dropped from the history.
TEST(gateway, a_change_is_in_force_soon_also_when_the_history_is_gone)
{
    begin();
    for (const bool forget : {false, true}) {
        const auto version = where->publish();
        if (forget) {
            where->store().rows().forget_history();
        }
        wait(seconds(2));
        for (std::size_t i = 0; i < 3; ++i) {
            CHECK_EQUAL(200, caller->probe_version(address(i), version));
            CHECK_EQUAL(404, caller->probe_version(address(i), version - 1));
        }
    }
}

// Guards against waiting for a connection to the store that went silent without a reset.
TEST(gateway, a_silent_connection_to_the_store_is_replaced)
{
    begin();
    for (auto& gateway : where->gateways()) {
        gateway.store_path->silence_open();
    }
    wait(seconds(3));
    const auto version = where->publish();
    wait(seconds(2));
    for (std::size_t i = 0; i < 3; ++i) {
        CHECK_EQUAL(200, caller->probe_version(address(i), version));
    }
}

// Guards against an instance that believes old things while others reach the store.
TEST(gateway, an_instance_that_is_cut_off_reaches_the_store_through_another)
{
    begin();
    wait(seconds(2)); // the instances know each other
    auto& path = *where->gateways()[0].store_path;
    for (const auto mode : {tcp_relay::mode::silent, tcp_relay::mode::refuse}) {
        path.set_mode(mode);
        path.silence_open();
        wait(seconds(2));
        const auto version = where->publish();
        wait(seconds(1));
        CHECK_EQUAL(200, caller->probe_version(address(0), version));
        path.set_mode(tcp_relay::mode::carry);
        wait(seconds(2));
        const auto after = where->publish();
        wait(seconds(1));
        CHECK_EQUAL(200, caller->probe_version(address(0), after));
    }
}

// Guards against sending callers to an instance that died without a word.
TEST(gateway, a_dead_instance_leaves_the_addresses)
{
    begin();
    where->gateways()[2].process->kill();
    wait(seconds(6));
    CHECK_EQUAL(2U, caller->resolve(where->gateways()[0].directory).size());
}

// Guards against refusing everyone because one server is unreachable.
TEST(gateway, goes_around_an_unreachable_server)
{
    begin();
    where->servers()[0].path->cut_open();
    where->servers()[0].path->set_mode(tcp_relay::mode::silent);
    int complete = 0;
    for (int i = 0; i < 30; ++i) {
        complete += caller->call(address(0), site_call::chat, 1).complete ? 1 : 0;
    }
    CHECK(complete >= 28);
}
