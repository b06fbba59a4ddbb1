#include "standins/site/site.h"

#include "core/clock.h"
#include "http/http_client.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

namespace jujubevalve::site
{

namespace
{
using nlohmann::json;

constexpr const char* engine_service = "models";
/// From a server's crash to its return.
constexpr time_ms crash_down_time{1500};

json route(const std::string& name, const std::string& prefix, const char* type,
           const char* service, int attempts, bool resumable)
{
    return {{"name", name},        {"host", site::host}, {"prefix", prefix},
            {"type", type},        {"timeout-ms", 4000}, {"target-latency-ms", 600},
            {"priority", 0},       {"service", service}, {"max-attempts", attempts},
            {"public", false},     {"sticky", false},    {"resumable", resumable},
            {"itl-target-ms", 250}};
}
} // namespace

site::site(const site_options& options)
    : options_{options}
    , store_{options.seed}
    , prepaid_{options.prepaid}
{
    publish();
    servers_.reserve(static_cast<std::size_t>(options.engines) +
                     static_cast<std::size_t>(options.plain_servers));
    const auto add = [&](const std::string& id, const char* service, int number) {
        site_server made;
        made.server =
            std::make_unique<server_standin>(id, tracker_, options.seed + servers_.size());
        made.path = std::make_unique<tcp_relay>(made.server->address());
        made.service = service;
        made.failure_domain = static_cast<char>('a' + number % options.failure_domains);
        announce(made);
        servers_.push_back(std::move(made));
        auto& added = servers_.back();
        added.server->on_crashing_request = [this](const std::string& what) {
            const std::lock_guard lock{crash_mutex_};
            crashes_[what].requests.push_back(steady_clock_ms{}.now());
        };
        added.server->on_arrival = [this](const std::string& request, const std::string& server) {
            leaving_.arrived(request, server);
        };
        added.server->crash = [this, &added](const std::string& what) { crash(added, what); };
    };
    for (int i = 0; i < options.engines; ++i) {
        add("engine-" + std::to_string(i), engine_service, i);
    }
    for (int i = 0; i < options.plain_servers; ++i) {
        add("plain-" + std::to_string(i), "orders", i);
    }
    for (int i = 0; i < options.faulty_servers; ++i) {
        for (const auto* const service : {engine_service, "orders"}) {
            faulty_servers_.push_back(std::make_unique<faulty_server>(
                std::string{"faulty-"} + service + "-" + std::to_string(i), tracker_,
                options.seed + 100 + faulty_servers_.size()));
        }
    }
    announce_faulty_servers(true);
    const auto reserve_address = [this] { return reserved_ports_.emplace_back().address(); };
    for (int i = 0; i < options.gateways; ++i) {
        site_gateway made{"gateway-" + std::to_string(i),
                          reserve_address(),
                          reserve_address(),
                          reserve_address(),
                          reserve_address(),
                          reserve_address(),
                          std::make_unique<tcp_relay>(store_.address()),
                          nullptr,
                          nullptr};
        made.peer_path = std::make_unique<tcp_relay>(made.peer);
        gateways_.push_back(std::move(made));
    }
    for (auto& gateway : gateways_) {
        start(gateway);
    }
}

site::~site()
{
    set_crash_block(0);
    set_crash_account(0);
    wait_restarted();
}

void site::wait_restarted()
{
    std::vector<std::thread> restarts;
    {
        const std::lock_guard lock{crash_mutex_};
        restarts.swap(restarts_);
    }
    for (auto& restart : restarts) {
        restart.join();
    }
}

std::size_t crash_history::requests_later_than(std::size_t crash, time_ms after) const
{
    if (crashes.size() < crash) {
        return 0;
    }
    return static_cast<std::size_t>(
        std::count_if(requests.begin(), requests.end(),
                      [limit = crashes[crash - 1] + after](time_ms at) { return at > limit; }));
}

void site::set_crash_block(std::uint64_t block, int share_thousandths)
{
    {
        const std::lock_guard lock{crash_mutex_};
        crashes_ = {};
    }
    for (auto& item : servers_) {
        item.server->crash_share = share_thousandths;
        item.server->crash_block = item.service == engine_service ? block : 0;
    }
}

void site::set_crash_account(int account)
{
    {
        const std::lock_guard lock{crash_mutex_};
        crashes_ = {};
    }
    for (auto& item : servers_) {
        item.server->crash_account = account;
    }
}

void site::crash(site_server& server, const std::string& what)
{
    const std::lock_guard lock{crash_mutex_};
    if (std::exchange(server.is_down, true)) {
        return;
    }
    crashes_[what].crashes.push_back(steady_clock_ms{}.now());
    server.path->set_mode(tcp_relay::mode::refuse);
    server.path->cut_open();
    restarts_.emplace_back([this, &server] {
        std::this_thread::sleep_for(std::chrono::milliseconds{crash_down_time.count()});
        const std::lock_guard restart_lock{crash_mutex_};
        server.is_down = false;
        server.server->start = ++server.incarnation;
        server.path->set_mode(tcp_relay::mode::carry);
        announce(server);
    });
}

void site::replace(site_server& server)
{
    const std::lock_guard lock{crash_mutex_};
    server.server->is_leaving = false;
    if (server.is_down) {
        return; // it crashed meanwhile, and starts again by itself
    }
    server.path->cut_open();
    server.server->start = ++server.incarnation;
    announce(server);
}

crash_history site::crashes() const
{
    crash_history all;
    for (const auto& [what, history] : crashes_by_request()) {
        all.requests.insert(all.requests.end(), history.requests.begin(), history.requests.end());
        all.crashes.insert(all.crashes.end(), history.crashes.begin(), history.crashes.end());
    }
    std::sort(all.requests.begin(), all.requests.end());
    std::sort(all.crashes.begin(), all.crashes.end());
    return all;
}

std::map<std::string, crash_history> site::crashes_by_request() const
{
    const std::lock_guard lock{crash_mutex_};
    return crashes_;
}

void site::start(site_gateway& gateway)
{
    leaving_.excuse(gateway.listen, steady_clock_ms{}.now());
    gateway.process = std::make_unique<process::child_process>(
        "jujubevalve-gateway",
        std::vector<std::string>{
            "--instance=" + gateway.name, "--failure_domain=a", "--listen=" + gateway.listen,
            "--readiness_listen=" + gateway.readiness, "--directory_listen=" + gateway.directory,
            "--store=" + gateway.store_path->address(), "--relay_listen=" + gateway.relay,
            "--peer_listen=" + gateway.peer, "--peer_advertise=" + gateway.peer_path->address(),
            "--retry_slack=1000.5", "--stop_limit_s=8.0",
            "--digest_min_instances=" + std::to_string(options_.digest_min_instances)},
        options_.log_folder + "/" + gateway.name + ".log");
}

bool site::wait_ready(const site_gateway& gateway, time_ms limit)
{
    http_client client;
    const auto deadline = steady_clock_ms{}.now() + limit;
    while (steady_clock_ms{}.now() < deadline) {
        http_call call;
        call.url = "http://" + gateway.readiness + "/v1/readyz";
        call.timeout = time_ms{500};
        if (client.perform(call).ok()) {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{20});
    }
    return false;
}

namespace
{
json registration(const std::string& service, const std::string& address, const std::string& domain,
                  std::int64_t incarnation)
{
    return {{"service", service},  {"address", address},    {"zone", domain},
            {"version", "v1"},     {"max-concurrency", 64}, {"state", "ready"},
            {"warmup-left-ms", 0}, {"sequence", 1},         {"born", incarnation}};
}
} // namespace

void site::announce(site_server& server, bool leaving)
{
    server.registered = true;
    auto entry = registration(server.service, server.path->address(), server.failure_domain,
                              server.incarnation);
    entry["state"] = leaving ? "draining" : "ready";
    entry["warmup-left-ms"] = server.cold_for.count();
    store_.rows().put("servers", server.server->id(), entry.dump());
}

void site::evacuate(const std::string& domain, bool evacuated)
{
    store_.rows().put("op", "evacuate/" + domain, evacuated ? "{}" : "");
}

void site::announce_faulty_servers(bool present)
{
    for (std::size_t i = 0; i < faulty_servers_.size(); ++i) {
        const auto& server = *faulty_servers_[i];
        const auto* const service = i % 2 == 0 ? engine_service : "orders";
        store_.rows().put("servers", server.id(),
                          present ? registration(service, server.address(), "a", 1).dump() : "");
    }
}

void site::withdraw(site_server& server)
{
    server.registered = false;
    store_.rows().put("servers", server.server->id(), {});
}

int site::publish(token_count prepaid)
{
    prepaid_ = prepaid;
    ++version_;
    json routes = json::array(
        {route("chat", "/chat/", "streaming", "models", options_.chat_attempts, true),
         route("note", "/note/", "streaming", "models", 1, false),
         route("order", "/order/", "non_idempotent", "orders", 1, false),
         route("stock", "/stock/", "idempotent", "orders", 3, false),
         route("own", "/v" + std::to_string(version_) + "/", "idempotent", "orders", 2, false)});
    json accounts = json::array();
    for (int i = 1; i <= 2; ++i) {
        const auto number = std::to_string(i);
        accounts.push_back({{"name", "account-" + number},
                            {"api-keys", {"key-" + number}},
                            {"prepaid", prepaid_}});
    }
    const json config{
        {"version", version_},
        {"routes", std::move(routes)},
        {"services",
         {{{"name", "models"},
           {"health-path", "/healthz"},
           {"max-connections", 100},
           {"warmup-s", 3.0},
           {"warmup-per-s", options_.cold_limit_per_s},
           {"engine", {{"max-concurrency", 64}, {"kv-capacity-tokens", 300000}, {"stride", 3}}}},
          {{"name", "orders"},
           {"health-path", "/healthz"},
           {"max-connections", 100},
           {"warmup-s", 3.0},
           {"warmup-per-s", options_.cold_limit_per_s}}}},
        {"limits", json::object()},
        {"tenants", std::move(accounts)}};
    store_.rows().put("op", "config", config.dump());
    return version_;
}

} // namespace jujubevalve::site
