#include "fault_plan.h"

#include "core/clock.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <thread>
#include <utility>

namespace jujubevalve::soak
{

namespace
{
using site::site_gateway;
using site::site_server;

/// A change must be in force within this time on a calm site; the users' bound.
constexpr time_ms config_bound{2000};
/// The users' bounds on servers that name a limit, and on prompts that crash servers.
constexpr time_ms contact_time{3000};
constexpr time_ms limit_window{4000};
/// The users' bounds on evacuations, and on the requests to a cold server in a second.
constexpr time_ms evacuation_bound{5000};
constexpr int max_cold_overage_percent = 150;
constexpr int cold_slack = 5;
/// Time in which a change of a registration is read on a calm site.
constexpr time_ms registration_bound{1000};
constexpr std::size_t crashes_to_learn_from = 5;
constexpr std::size_t crashes_to_learn_from_for_requests = 3;
constexpr std::size_t max_later_requests = 3;
constexpr time_ms crash_check_time{8000};
/// The store's entries are back within 2 s of its return, and beats within another.
constexpr time_ms settling{4000};

time_ms now()
{
    return steady_clock_ms{}.now();
}

void wait(time_ms time)
{
    std::this_thread::sleep_for(std::chrono::milliseconds{time.count()});
}

time_ms ms(int count)
{
    return time_ms{count};
}
} // namespace

fault_plan::fault_plan(site::site& deployment, site::site_caller& caller, std::uint64_t seed)
    : site_{deployment}
    , caller_{caller}
    , random_{static_cast<std::minstd_rand::result_type>(seed * 7919 + 1)}
    , random_of_exclusions_{static_cast<std::minstd_rand::result_type>(seed * 6007 + 1)}
    , random_of_restorations_{static_cast<std::minstd_rand::result_type>(seed * 5003 + 1)}
    , random_of_crashes_{static_cast<std::minstd_rand::result_type>(seed * 4001 + 1)}
    , random_of_starts_{static_cast<std::minstd_rand::result_type>(seed * 3001 + 1)}
    , random_of_leaving_{static_cast<std::minstd_rand::result_type>(seed * 2003 + 1)}
{
}

int fault_plan::draw(int low, int high)
{
    return std::uniform_int_distribution<int>{low, high}(random_);
}

time_ms fault_plan::pause()
{
    return ms(draw(100, 900));
}

site_gateway& fault_plan::any_gateway()
{
    auto& all = site_.gateways();
    return all[static_cast<std::size_t>(draw(0, static_cast<int>(all.size()) - 1))];
}

site_server& fault_plan::any_server()
{
    auto& all = site_.servers();
    return all[static_cast<std::size_t>(draw(0, static_cast<int>(all.size()) - 1))];
}

void fault_plan::later(time_ms after, std::function<void()> undo)
{
    open_.push_back({now() + after, std::move(undo)});
}

void fault_plan::restart(site_gateway& gateway)
{
    if (gateway.process->wait_ended(time_ms{0})) {
        site_.start(gateway);
    }
}

void fault_plan::undo_due()
{
    for (std::size_t i = 0; i < open_.size();) {
        if (open_[i].until > now()) {
            ++i;
            continue;
        }
        const auto undo = std::move(open_[i].undo);
        open_.erase(open_.begin() + static_cast<std::ptrdiff_t>(i));
        undo();
    }
}

std::string fault_plan::step_planned()
{
    undo_due();
    switch (draw(0, 3)) {
    case 0:
    case 1:
        return stop(any_gateway());
    case 2: {
        auto& gateway = any_gateway();
        gateway.process->send(SIGHUP);
        return "reload " + gateway.name;
    }
    default:
        return operator_change();
    }
}

std::string fault_plan::step()
{
    undo_due();
    return exclusion() + restoration() + crashing_requests() + slow_starts() + leaving_server() +
           next_fault();
}

// At times the callers' crashing requests do crash servers. Drawn apart, as exclusion().
std::string fault_plan::crashing_requests()
{
    const auto draw_apart = [this](int low, int high) {
        return std::uniform_int_distribution<int>{low, high}(random_of_crashes_);
    };
    constexpr int steps_per_fault = 12;
    const auto time = ms(draw_apart(500, 8000));
    if (draw_apart(1, steps_per_fault) > 1) {
        return {};
    }
    site_.set_crash_account(1);
    later(time, [this] { site_.set_crash_account(0); });
    return "requests that crash servers, ";
}

// At times streams begin so late, or are lost so late, that callers leave before the first event.
// Drawn apart, as exclusion().
std::string fault_plan::slow_starts()
{
    const auto draw_apart = [this](int low, int high) {
        return std::uniform_int_distribution<int>{low, high}(random_of_starts_);
    };
    constexpr int steps_per_fault = 4;
    const auto time = ms(draw_apart(1000, 8000));
    const int share = draw_apart(300, 1000);
    if (draw_apart(1, steps_per_fault) > 1) {
        return {};
    }
    for (auto& server : site_.faulty_servers()) {
        server->slow_start = share;
        later(time, [&slow = *server] { slow.slow_start = 0; });
    }
    auto& all = site_.servers();
    auto& item = all[static_cast<std::size_t>(draw_apart(0, site_.options().engines - 1))];
    item.server->late_loss = share;
    later(time, [&item] { item.server->late_loss = 0; });
    return "slow starts, ";
}

// At times a server says in its answers that it leaves, which its registration never does, and is
// replaced. Drawn apart, as exclusion().
std::string fault_plan::leaving_server()
{
    const auto draw_apart = [this](int low, int high) {
        return std::uniform_int_distribution<int>{low, high}(random_of_leaving_);
    };
    constexpr int steps_per_fault = 8;
    const auto time = ms(draw_apart(500, 8000));
    auto& all = site_.servers();
    auto& item = all[static_cast<std::size_t>(draw_apart(0, static_cast<int>(all.size()) - 1))];
    if (draw_apart(1, steps_per_fault) > 1 || item.server->is_leaving) {
        return {};
    }
    item.server->is_leaving = true;
    later(time, [this, &item] { site_.replace(item); });
    return item.server->id() + " says that it leaves, ";
}

// At times the store comes back from a copy of some seconds ago. Drawn apart, as exclusion().
std::string fault_plan::restoration()
{
    const auto draw_apart = [this](int low, int high) {
        return std::uniform_int_distribution<int>{low, high}(random_of_restorations_);
    };
    constexpr int steps_per_restoration = 10;
    const auto copy_age = ms(draw_apart(200, 8000));
    const auto time = ms(draw_apart(100, 2500));
    if (draw_apart(1, steps_per_restoration) > 1 || std::exchange(restores_, true)) {
        return {};
    }
    later(copy_age, [this, time, copy = site_.store().rows().make_copy()] {
        site_.store().refuse_with = 503;
        later(time, [this, copy] {
            site_.store().rows().restore(*copy);
            site_.store().refuse_with = 0;
            restores_ = false;
        });
    });
    return "copy of the store, ";
}

// At times a domain is evacuated, or a server is cold, besides. Drawn apart, so that the other
// faults of a seed stay what they were.
std::string fault_plan::exclusion()
{
    const auto draw_apart = [this](int low, int high) {
        return std::uniform_int_distribution<int>{low, high}(random_of_exclusions_);
    };
    const auto time = ms(draw_apart(500, 6000));
    switch (draw_apart(0, 9)) {
    case 0:
        site_.evacuate(evacuated_domain);
        later(time, [this] { site_.evacuate(evacuated_domain, false); });
        return "evacuation, ";
    case 1: {
        auto& all = site_.servers();
        auto& item = all[static_cast<std::size_t>(draw_apart(0, static_cast<int>(all.size()) - 1))];
        item.cold_for = time;
        site_.announce(item);
        item.cold_for = {}; // for later registrations
        return "cold " + item.server->id() + ", ";
    }
    default:
        return {};
    }
}

std::string fault_plan::next_fault()
{
    if (!site_.faulty_servers().empty() && draw(0, 3) == 0) {
        return wire_fault();
    }
    switch (draw(0, 13)) {
    case 0:
    case 1:
    case 2:
        return process_fault();
    case 3:
    case 4:
    case 5:
        return store_fault();
    case 6:
    case 7:
        return server_fault();
    case 8:
    case 9:
        return peer_fault();
    case 10:
    case 11:
        return shared_server_fault();
    default:
        return operator_change();
    }
}

std::string fault_plan::process_fault()
{
    auto& gateway = any_gateway();
    switch (draw(0, 4)) {
    case 0:
        gateway.process->send(SIGKILL);
        later(ms(draw(200, 3000)), [this, &gateway] { restart(gateway); });
        return "kill " + gateway.name;
    case 1:
        gateway.process->send(SIGSTOP);
        later(ms(draw(300, 5000)), [this, &gateway] {
            site_.leaving().excuse(gateway.listen, now());
            gateway.process->send(SIGCONT);
        });
        return "pause " + gateway.name;
    case 2:
        return stop(gateway);
    case 3:
        gateway.process->send(SIGHUP);
        return "reload " + gateway.name;
    default:
        for (auto& each : site_.gateways()) {
            each.process->send(SIGKILL);
        }
        later(ms(draw(300, 1500)), [this] {
            for (auto& each : site_.gateways()) {
                each.process->wait_ended(seconds(1));
                restart(each);
            }
        });
        return "kill all";
    }
}

std::string fault_plan::stop(site_gateway& gateway)
{
    gateway.process->send(SIGTERM);
    later(ms(draw(8200, 9000)), [this, &gateway, stopped = gateway.process.get()] {
        if (gateway.process.get() != stopped) {
            return; // another fault has brought it back already
        }
        gateway.process->send(SIGKILL);
        gateway.process->wait_ended(seconds(1));
        restart(gateway);
    });
    return "stop " + gateway.name;
}

// Several at once, at one server or at all, so that one fault meets the consequences of another.
std::string fault_plan::wire_fault()
{
    auto& all = site_.faulty_servers();
    const auto chosen = static_cast<std::size_t>(draw(0, static_cast<int>(all.size()) - 1));
    const bool is_everywhere = draw(0, 1) == 0;
    const auto time = ms(draw(1000, 8000));
    std::string name = is_everywhere ? "at all faulty servers:" : "at " + all[chosen]->id() + ":";
    const auto raise = [&](std::atomic<int> site::faulty_server::*rate, const char* what) {
        if (draw(0, 1) == 0) {
            return;
        }
        const int share = draw(50, 900);
        for (std::size_t i = 0; i < all.size(); ++i) {
            if (is_everywhere || i == chosen) {
                (*all[i]).*rate = share;
                later(time, [&server = *all[i], rate] { server.*rate = 0; });
            }
        }
        name += std::string{" "} + what;
    };
    raise(&site::faulty_server::repeat, "answers twice");
    raise(&site::faulty_server::refuse, "refusals");
    raise(&site::faulty_server::fail, "errors");
    raise(&site::faulty_server::break_off, "broken streams");
    raise(&site::faulty_server::stall, "silent streams");
    return name;
}

std::string fault_plan::store_fault()
{
    auto& store = site_.store();
    auto& gateway = any_gateway();
    const auto time = ms(draw(500, 6000));
    switch (draw(0, 6)) {
    case 0:
        store.refuse_with = 503;
        later(time, [&store] { store.refuse_with = 0; });
        return "store down";
    case 1:
        store.delay_ms = draw(50, 300);
        later(time, [&store] { store.delay_ms = 0; });
        return "store slow";
    case 2:
        store.lose_answers = draw(100, 500);
        later(time, [&store] { store.lose_answers = 0; });
        return "store loses answers";
    case 3:
        store.rows().forget_history();
        return "store forgets its history";
    case 4:
        gateway.store_path->silence_open();
        return "silent connections to the store of " + gateway.name;
    case 5:
        gateway.store_path->set_mode(tcp_relay::mode::silent);
        gateway.store_path->silence_open();
        later(time, [&gateway] { gateway.store_path->set_mode(tcp_relay::mode::carry); });
        return "store cut from " + gateway.name;
    default:
        gateway.store_path->set_mode(tcp_relay::mode::refuse);
        gateway.store_path->cut_open();
        later(time, [&gateway] { gateway.store_path->set_mode(tcp_relay::mode::carry); });
        return "store refuses " + gateway.name;
    }
}

std::string fault_plan::peer_fault()
{
    auto& gateway = any_gateway();
    auto& path = *gateway.peer_path;
    const auto time = ms(draw(500, 6000));
    switch (draw(0, 3)) {
    case 0:
        path.silence_open();
        return "silent connections of the other gateways to " + gateway.name;
    case 1:
        path.cut_open();
        return "reset connections of the other gateways to " + gateway.name;
    case 2:
        path.set_mode(tcp_relay::mode::silent);
        path.silence_open();
        later(time, [&path] { path.set_mode(tcp_relay::mode::carry); });
        return gateway.name + " cut from the other gateways";
    default:
        path.set_mode(tcp_relay::mode::refuse);
        path.cut_open();
        later(time, [&path] { path.set_mode(tcp_relay::mode::carry); });
        return gateway.name + " refuses the other gateways";
    }
}

std::string fault_plan::server_fault()
{
    auto& item = any_server();
    auto& server = *item.server;
    const auto time = ms(draw(500, 5000));
    const auto name = " at " + server.id();
    switch (draw(0, 6)) {
    case 0:
        server.refuse = draw(100, 900);
        later(time, [&server] { server.refuse = 0; });
        return "refusals" + name;
    case 1:
        server.fail = draw(100, 900);
        later(time, [&server] { server.fail = 0; });
        return "errors" + name;
    case 2:
        server.lose_answer = draw(100, 900);
        later(time, [&server] { server.lose_answer = 0; });
        return "lost answers" + name;
    case 3:
        server.cut_stream = draw(100, 900);
        later(time, [&server] { server.cut_stream = 0; });
        return "broken streams" + name;
    case 4:
        item.path->set_mode(tcp_relay::mode::silent);
        item.path->silence_open();
        later(time, [&item] { item.path->set_mode(tcp_relay::mode::carry); });
        return "silence" + name;
    case 5:
        item.path->cut_open();
        return "reset connections" + name;
    default:
        site_.announce(item, true);
        later(time, [this, &item] { site_.announce(item); });
        return "leaving" + name;
    }
}

// Faults of servers that all gateways have to know of.
std::string fault_plan::shared_server_fault()
{
    auto& item = any_server();
    const auto time = ms(draw(500, 8000));
    switch (draw(0, 2)) {
    case 0:
        site_.set_crash_block(crash_block, draw(0, 1) == 0 ? 1000 : draw(300, 999));
        later(time, [this] { site_.set_crash_block(0); });
        return "prompts that crash engines";
    case 1:
        item.server->limit_per_1000_s = draw(200, 20'000);
        later(time, [&item] { item.server->limit_per_1000_s = 0; });
        return "limit at " + item.server->id();
    default:
        site_.crash(item);
        return "crash of " + item.server->id();
    }
}

std::string fault_plan::operator_change()
{
    if (draw(0, 2) == 0) {
        // A limit may rise only: what was spent cannot be taken back.
        site_.publish(site_.prepaid() + draw(0, 20'000));
        return "top-up";
    }
    site_.publish();
    return "change of the configuration";
}

void fault_plan::end_all()
{
    while (!open_.empty()) { // the end of one may begin another
        for (auto& fault : std::exchange(open_, {})) {
            fault.undo();
        }
    }
    for (auto& gateway : site_.gateways()) {
        gateway.process->send(SIGCONT);
        // A stop that is under way ends by itself.
        if (gateway.process->wait_ended(time_ms{0})) {
            site_.start(gateway);
        }
    }
}

void fault_plan::check_server_limit()
{
    auto& server = *any_server().server;
    const int limit_per_1000_s = draw(300, 4000);
    server.limit_per_1000_s = limit_per_1000_s;
    wait(contact_time);
    server.take_arrivals();
    wait(limit_window);
    const auto got = server.take_arrivals().size();
    const auto allowed =
        static_cast<std::size_t>(limit_per_1000_s * limit_window.count() * 3 / 2 / 1'000'000) + 5;
    if (got > allowed) {
        violations_.push_back(server.id() + " got " + std::to_string(got) +
                              " requests in 4 s; its" + " limit allows " + std::to_string(allowed));
    }
    server.limit_per_1000_s = 0;
}

void fault_plan::check_evacuation()
{
    const auto requests = [this] {
        int sum = 0;
        for (const auto& item : site_.servers()) {
            sum += item.failure_domain == evacuated_domain ? item.server->requests() : 0;
        }
        return sum;
    };
    const auto sent_in = [&](time_ms time) {
        const auto before = requests();
        wait(time);
        return requests() - before;
    };
    site_.evacuate(evacuated_domain);
    wait(evacuation_bound);
    if (const auto sent = sent_in(seconds(2)); sent > 0) {
        violations_.push_back(std::to_string(sent) + " requests reached an evacuated domain");
    }
    site_.evacuate(evacuated_domain, false);
    wait(evacuation_bound);
    if (sent_in(seconds(2)) == 0) {
        violations_.push_back("no request reaches a domain whose evacuation was taken back");
    }
}

void fault_plan::check_cold_server()
{
    // The first plain server: it gets many requests, also when the accounts have no tokens left.
    auto& item = site_.servers()[static_cast<std::size_t>(site_.options().engines)];
    item.cold_for = seconds(6);
    site_.announce(item);
    wait(registration_bound);
    item.server->take_arrivals();
    wait(seconds(4));
    const auto arrivals = item.server->take_arrivals();
    item.cold_for = {};
    site_.announce(item);
    const auto limit = site_.options().cold_limit_per_s * max_cold_overage_percent / 100;
    for (const auto first : arrivals) {
        const auto in_second = std::count_if(arrivals.begin(), arrivals.end(), [&](time_ms at) {
            return at >= first && at - first < seconds(1);
        });
        if (in_second > limit + cold_slack) {
            violations_.push_back("the cold " + item.server->id() + " got " +
                                  std::to_string(in_second) + " requests in a second; it bears " +
                                  std::to_string(limit + cold_slack));
            break;
        }
    }
}

void fault_plan::check_crashing_prompts()
{
    constexpr std::uint64_t fresh_block = 0xbad; // no quarantine of before is in force for it
    constexpr token_count enough_for_the_check = 1'000'000;
    site_.publish(site_.prepaid() + enough_for_the_check);
    wait(config_bound);
    site_.set_crash_block(fresh_block);
    auto& gateways = site_.gateways();
    const auto end = now() + crash_check_time;
    for (std::size_t n = 0; now() < end; ++n) {
        caller_.call(gateways[n % gateways.size()].listen, site::site_call::note, 1,
                     "a1:300,bad:100," + std::to_string(n) + ":50");
        wait(ms(draw(50, 200)));
    }
    const auto history = site_.crashes();
    site_.set_crash_block(0);
    if (history.crashes.empty()) {
        violations_.push_back("no request of the check for crashing prompts reached a server");
    }
    const auto later = history.requests_later_than(crashes_to_learn_from, contact_time);
    if (later > max_later_requests) {
        violations_.push_back(std::to_string(later) +
                              " requests with a part that crashes servers " +
                              "reached them later than 3 s after the fifth crash");
    }
    site_.wait_restarted();
}

void fault_plan::check_crashing_requests()
{
    // The other callers send such requests, too, which have been answered soundly before.
    site_.set_crash_account(site::server_standin::all_accounts);
    auto& gateways = site_.gateways();
    const auto end = now() + crash_check_time;
    for (std::size_t n = 0; now() < end; ++n) {
        caller_.call(gateways[n % gateways.size()].listen, site::site_call::crashing_stock, 2);
        wait(ms(draw(50, 200)));
    }
    const auto histories = site_.crashes_by_request();
    site_.set_crash_account(0);
    if (histories.empty()) {
        violations_.push_back("no request of the check for crashing requests reached a server");
    }
    for (const auto& [what, history] : histories) {
        const auto later =
            history.requests_later_than(crashes_to_learn_from_for_requests, contact_time);
        if (later > max_later_requests) {
            violations_.push_back(what + " reached servers " + std::to_string(later) +
                                  " times later than 3 s after the third crash");
        }
    }
    site_.wait_restarted();
}

void fault_plan::await_calm()
{
    wait(seconds(9)); // longer than a stop takes
    end_all();
}

void fault_plan::check_calm()
{
    await_calm();
    site_.announce_faulty_servers(false); // the checks below count on the others
    for (auto& gateway : site_.gateways()) {
        if (!site_.wait_ready(gateway)) {
            violations_.push_back(gateway.name + " is not ready on a calm site");
        }
    }
    wait(settling);
    const auto version = site_.publish();
    wait(config_bound);
    for (auto& gateway : site_.gateways()) {
        const auto status = caller_.probe_version(gateway.listen, version);
        const auto old = caller_.probe_version(gateway.listen, version - 1);
        if (status == 404 || old != 404) {
            violations_.push_back(gateway.name + " does not obey version " +
                                  std::to_string(version));
        }
    }
    check_server_limit();
    check_evacuation();
    check_cold_server();
    check_crashing_prompts();
    check_crashing_requests();
    // Streams that began before a stop end whole.
    auto& stopping = site_.gateways().front();
    std::atomic<int> cut{0};
    constexpr int streams = 6;
    std::vector<std::thread> callers;
    callers.reserve(streams);
    for (int i = 0; i < streams; ++i) {
        callers.emplace_back([&, i] {
            const auto done = caller_.call(stopping.listen, site::site_call::chat, 1 + i % 2);
            cut += done.status == 0 || (done.status == 200 && !done.complete) ? 1 : 0;
        });
    }
    wait(ms(20));
    stopping.process->send(SIGTERM);
    for (auto& thread : callers) {
        thread.join();
    }
    if (cut > 0) {
        violations_.push_back("a stop cut " + std::to_string(cut) + " streams");
    }
}

} // namespace jujubevalve::soak
