#include "gateway/gateway.h"

#include "core/digest.h"
#include "gateway/call_context.h"
#include "gateway/fleet_notice_service.h"
#include "gateway/front_server.h"
#include "gateway/grant_announcer.h"
#include "gateway/ledger_recovery_service.h"
#include "gateway/stop_sequence.h"
#include "gateway/store_relay.h"
#include "net/event_loop.h"
#include "platform/call_codec.h"
#include "platform/store_client.h"

#include <array>
#include <atomic>
#include <csignal>
#include <fcntl.h>
#include <map>
#include <unistd.h>
#include <utility>

namespace jujubevalve
{

namespace
{
/// Interval of periodic maintenance.
constexpr time_ms maintenance_interval{500};
/// Max accounts whose demand a heartbeat carries, largest first; limits the heartbeat's size.
constexpr std::size_t max_published_accounts = 32;

// The signal handler writes to this end of the pipe; the event loop reads the other.
std::atomic<int> signal_write_end{-1};

extern "C" void forward_signal(int signal_number)
{
    const auto byte = static_cast<char>(signal_number);
    if (::write(signal_write_end, &byte, 1) < 0) {
        return; // the pipe is full, so the event loop wakes up anyway
    }
}

/// Delivers signals to a handler on the event loop.
class signal_reader final : private event_handler
{
public:
    signal_reader(event_loop& loop, std::function<void(int)> handler)
        : loop_{loop}
        , handler_{std::move(handler)}
    {
        if (::pipe2(pipe_ends_.data(), O_NONBLOCK | O_CLOEXEC) != 0 ||
            !loop_.watch(pipe_ends_[0], *this, {true, false})) {
            return;
        }
        signal_write_end = pipe_ends_[1];
        for (const int signal_number : {SIGTERM, SIGINT, SIGHUP}) {
            std::signal(signal_number, forward_signal);
        }
        std::signal(SIGPIPE, SIG_IGN);
    }
    signal_reader(const signal_reader&) = delete;
    signal_reader& operator=(const signal_reader&) = delete;
    ~signal_reader() override
    {
        loop_.unwatch(pipe_ends_[0]);
        ::close(pipe_ends_[0]);
        ::close(pipe_ends_[1]);
    }

private:
    void on_readable() override
    {
        char signal_number = 0;
        while (::read(pipe_ends_[0], &signal_number, 1) == 1) {
            handler_(signal_number);
        }
    }
    void on_writable() override {}

    event_loop& loop_;
    std::function<void(int)> handler_;
    std::array<int, 2> pipe_ends_{-1, -1};
};

account_budget_options budget_options(const gateway_settings& settings)
{
    account_budget_options options;
    options.policy.horizon = settings.grant_horizon;
    options.timing.demand_window = settings.grant_horizon;
    // Averages demand over as little as 1 s, since a store outage may come in the first seconds of
    // traffic.
    options.timing.demand_min_age = seconds(1);
    options.timing.check_interval = seconds(2);
    // A conflict returns the current rows, so a quick retry is likely to succeed.
    options.timing.initial_retry_delay = time_ms{8};
    options.timing.max_retry_delay = time_ms{100};
    // One account per write, since each account's rows are in their own partition of the store.
    options.timing.batch_size = 1;
    options.timing.hint_interval = seconds(1);
    options.timing.unchanged_retry_delay = time_ms{300};
    options.timing.demand_from_reservations = true;
    return options;
}

server_choice_options choice_options(const gateway_settings& settings)
{
    server_choice_options options;
    options.failure_domain = settings.failure_domain;
    return options;
}

std::string make_incarnation(const std::string& instance)
{
    return instance + "-" + random_hex(8);
}
} // namespace

class gateway::impl
{
public:
    explicit impl(gateway_settings settings)
        : settings_{std::move(settings)}
        , incarnation_{make_incarnation(settings_.instance)}
        , store_{loop_, {settings_.store}}
        , view_{loop_, store_, log_, metrics_, settings_, incarnation_}
        , grants_{loop_,
                  store_,
                  log_,
                  metrics_,
                  settings_.instance,
                  incarnation_,
                  settings_.listen,
                  budget_options(settings_),
                  settings_.store_writes_per_s}
        , ledgers_{loop_, store_, log_, metrics_, grants_, settings_.instance, incarnation_}
        , announcer_{loop_}
        , budgets_{loop_, log_, metrics_, grants_, settings_.instance, incarnation_}
        , connections_{loop_}
        , abandoned_{loop_, budgets_, log_}
        , choice_{choice_options(settings_), hash64(incarnation_)}
        , notices_{loop_,
                   store_,
                   log_,
                   metrics_,
                   settings_.instance,
                   incarnation_,
                   settings_.warm_up_overage}
        , crashes_{loop_, [this](const server_crash& crash) { notices_.record_crash(crash); }}
        , link_{settings_.link_mbps}
        , entry_{{link_.bytes_per_ms(), settings_.cpu_requests_per_s / 1000}}
        , context_{loop_,
                   settings_,
                   log_,
                   metrics_,
                   view_,
                   budgets_,
                   connections_,
                   abandoned_,
                   choice_,
                   crashes_,
                   notices_,
                   std::minstd_rand{
                       static_cast<std::minstd_rand::result_type>(hash64(incarnation_))},
                   retry_advisor{hash64("retries of " + incarnation_)},
                   link_,
                   entry_,
                   {},
                   0}
        , caller_server_{context_, [](const http_head&, bool) { return std::nullopt; },
                         [this] { return stopping_; }}
        , readiness_server_{
              context_,
              [this](const http_head& head, bool close) { return readiness_response(head, close); },
              [] { return false; }}
        , directory_server_{
              context_,
              [this](const http_head& head, bool close) { return address_response(head, close); },
              [] { return false; }}
        , metrics_server_{context_,
                          [this](const http_head& /*head*/, bool close) {
                              return std::optional{
                                  simple_response(200, {}, metrics_.to_text(), close)};
                          },
                          [] { return false; }}
        , relay_{loop_, settings_.store, [this] { return view_.is_directly_reachable(); }}
        , signals_{loop_, [this](int signal_number) { handle_signal(signal_number); }}
    {
    }

    status run()
    {
        const std::array<std::pair<front_server*, std::string>, 4> servers{
            {{&caller_server_, settings_.listen},
             {&readiness_server_, settings_.readiness_listen},
             {&directory_server_, settings_.directory_listen},
             {&metrics_server_, settings_.metrics_listen}}};
        caller_server_.limit_entry(entry_);
        for (const auto& [server, address] : servers) {
            if (address.empty()) {
                continue;
            }
            if (auto opened = server->open(address); !opened) {
                return opened;
            }
        }
        if (!settings_.relay_listen.empty()) {
            if (auto opened = relay_.open(settings_.relay_listen); !opened) {
                return opened;
            }
        }
        if (!settings_.peer_listen.empty()) {
            if (auto opened = budgets_.open(settings_.peer_listen); !opened) {
                return opened;
            }
        }
        log_.write("start",
                   log_fields{}
                       .add("instance", settings_.instance)
                       .add("incarnation", incarnation_)
                       .add("listen", settings_.listen),
                   loop_.now());
        view_.on_config = [this](const fleet_config_ptr& config) { apply_limits(*config); };
        view_.on_reachable = [this](bool reachable) { grants_.set_store_reachable(reachable); };
        store_.on_era_begun = [this](std::int64_t era) { begin_store_era(era); };
        grants_.on_granted = [this](const announced_grant& grant) { announcer_.announce(grant); };
        budgets_.on_other_message = [this](const peer_message& message) {
            if (const auto* const grant = std::get_if<announced_grant>(&message)) {
                ledgers_.add(*grant);
                return std::vector<peer_message>{};
            }
            return notices_.receive(message);
        };
        budgets_.is_link_congested = [this] { return link_.is_congested(); };
        notices_.server_name = [this](std::uint64_t server) {
            return view_.servers().id_of(server);
        };
        notices_.on_crash_elsewhere = [this](std::uint64_t server) {
            view_.servers().avoid_crashed(server, loop_.now());
        };
        view_.on_evacuation_ended = [this](const std::string& domain) {
            notices_.record_evacuation_end(domain);
        };
        view_.own_request_rate = [this] { return request_rate_; };
        view_.own_demand = [this] { return grants_.largest_demand(max_published_accounts); };
        view_.own_shortages = [this] { return grants_.short_accounts(max_published_accounts); };
        view_.on_shortage_elsewhere = [this](const std::string& account) {
            grants_.record_peer_shortage(account);
        };
        view_.start();
        run_maintenance();
        loop_.run();
        return success();
    }

private:
    void apply_limits(const fleet_config& config)
    {
        std::map<std::string, token_count> limits;
        if (config.content().accounts) {
            for (const auto& account : *config.content().accounts) {
                if (account.prepaid) {
                    limits.emplace(account.name, *account.prepaid);
                }
            }
        }
        grants_.set_limits(limits);
        ledgers_.set_limits(limits);
        choice_.set_engines(config.content().services);
        update_serving();
    }

    void begin_store_era(std::int64_t era)
    {
        log_.write("store_era", log_fields{}.add("era", era), loop_.now());
        metrics_.count("store_eras");
        ledgers_.begin_era(era);
        // What was read or written in the first era that this process sees is not lost.
        if (std::exchange(store_era_known_, true)) {
            view_.begin_store_era();
            notices_.begin_store_era();
        }
    }

    void update_serving() { view_.set_serving(!stopping_ && view_.is_complete()); }

    std::optional<std::string> readiness_response(const http_head& head, bool close)
    {
        if (!is_readiness_request(head.target)) {
            return encode_error_response(404, describe(result_code::unknown_path).name,
                                         "no such path", std::nullopt, close);
        }
        update_serving();
        const bool is_ready = view_.is_complete() && !stopping_;
        return simple_response(is_ready ? 200 : 503, {}, {}, close);
    }

    std::optional<std::string> address_response(const http_head& head, bool close)
    {
        if (!is_address_request(head.target)) {
            return encode_error_response(404, describe(result_code::unknown_path).name,
                                         "no such path", std::nullopt, close);
        }
        update_serving();
        const auto list = view_.caller_addresses();
        if (list.empty()) {
            return encode_error_response(503, describe(result_code::not_ready).name,
                                         "no instance is known to serve", std::nullopt, close);
        }
        metrics_.count("address_answers");
        return encode_address_response(list, settings_.address_ttl, close);
    }

    void run_maintenance()
    {
        update_request_rate();
        entry_.observe(loop_.traffic().received, loop_.now());
        link_.observe({loop_.traffic().received, loop_.traffic().sent}, loop_.now());
        update_serving();
        connections_.close_idle();
        const auto fleet = view_.counts();
        grants_.set_fleet(fleet);
        grants_.set_stocks_ahead(view_.is_settled());
        if (view_.knows_instances()) {
            if (!std::exchange(notices_loaded_, true)) {
                notices_.load();
            }
            notices_.set_instances(view_);
            const auto listed = view_.listed_instances();
            ledgers_.set_instances(listed);
            announcer_.set_instances(settings_.instance, listed, view_.notice_peers());
            budgets_.set_candidates(view_.home_candidates(),
                                    fleet.self_listed ? grant_role::shared : grant_role::none);
        }
        budgets_.end_for_terminated(
            [this](const std::string& incarnation) { return view_.is_live(incarnation); });
        const auto demand_elsewhere = view_.demand_elsewhere();
        grants_.set_demand_elsewhere(demand_elsewhere);
        budgets_.update_local_accounts(demand_elsewhere);
        for (auto& [service, budget] : context_.retry_budgets) {
            budget.set_instances(fleet.live);
        }
        grants_.run();
        loop_.schedule(maintenance_interval, [this] { run_maintenance(); });
    }

    // Exponential moving average over a few seconds.
    void update_request_rate()
    {
        constexpr std::int64_t smoothing_divisor = 4;
        const auto calls = context_.calls - std::exchange(calls_at_last_update_, context_.calls);
        const auto rate = calls * 1000 / maintenance_interval.count();
        request_rate_ += (rate - request_rate_) / smoothing_divisor;
    }

    void handle_signal(int signal_number)
    {
        if (signal_number == SIGHUP) {
            reload();
        } else if (!stopping_) {
            stop();
        }
    }

    void reload()
    {
        auto settings = reload_gateway_settings();
        log_fields fields;
        if (!settings) {
            log_.write("reload_failed", fields.add("why", settings.error().message), loop_.now());
            return;
        }
        // Changes to addresses and names take effect only at the next start.
        settings_.address_ttl = settings->address_ttl;
        settings_.stop_limit = settings->stop_limit;
        settings_.retry_limit = settings->retry_limit;
        log_.write("reload", fields, loop_.now());
    }

    void stop()
    {
        stopping_ = true;
        const auto plan = plan_stop(settings_.stop_limit, settings_.address_ttl);
        context_.stopping = stop_in_progress{loop_.now(), plan};
        log_.write("stop",
                   log_fields{}
                       .add("connections", caller_server_.connections())
                       .add("end_after_ms", plan.end_after),
                   loop_.now());
        update_serving();
        loop_.schedule(plan.close_idle_after, [this] { caller_server_.close_idle(); });
        loop_.schedule(plan.stop_accepting_after, [this] {
            caller_server_.stop_accepting();
            caller_server_.close_idle();
            wait_for_end();
        });
        loop_.schedule(plan.end_after, [this] { end("limit"); });
    }

    // Ends before the limit once no request is in progress and all grants are closed.
    void wait_for_end()
    {
        constexpr time_ms interval{50};
        caller_server_.close_idle();
        if (caller_server_.has_requests()) {
            loop_.schedule(interval, [this] { wait_for_end(); });
            return;
        }
        if (!grants_closing_) {
            grants_closing_ = true;
            grants_.begin_close();
        }
        if (grants_.is_closed()) {
            end("done");
            return;
        }
        loop_.schedule(interval, [this] { wait_for_end(); });
    }

    void end(const char* reason)
    {
        if (std::exchange(ending_, true)) {
            return;
        }
        log_.write("end",
                   log_fields{}.add("why", reason).add("connections", caller_server_.connections()),
                   loop_.now());
        const bool has_answers_to_send = caller_server_.has_requests();
        caller_server_.process_ends();
        view_.withdraw([this, has_answers_to_send] {
            // Their callers may be sending still, and a connection that closes meanwhile is reset.
            constexpr time_ms answer_delivery_time{150};
            loop_.schedule(has_answers_to_send ? answer_delivery_time : time_ms{0},
                           [this] { loop_.stop(); });
        });
        constexpr time_ms withdraw_timeout{300};
        loop_.schedule(withdraw_timeout, [this] { loop_.stop(); });
    }

    gateway_settings settings_;
    std::string incarnation_;
    event_loop loop_;
    decision_log log_;
    gateway_metrics metrics_;
    store_client store_;
    fleet_view view_;
    grant_service grants_;
    ledger_recovery_service ledgers_;
    grant_announcer announcer_;
    reservation_service budgets_;
    server_connections connections_;
    abandoned_request_tracker abandoned_;
    server_choice choice_;
    fleet_notice_service notices_;
    server_crash_detector crashes_;
    link_budget link_;
    entry_admission entry_;
    call_context context_;
    front_server caller_server_;
    front_server readiness_server_;
    front_server directory_server_;
    front_server metrics_server_;
    store_relay relay_;
    signal_reader signals_;
    bool notices_loaded_{false};
    bool store_era_known_{false};
    bool stopping_{false};
    bool grants_closing_{false};
    bool ending_{false};
    std::int64_t calls_at_last_update_{0};
    std::int64_t request_rate_{0};
};

gateway::gateway(gateway_settings settings)
    : impl_{std::make_unique<impl>(std::move(settings))}
{
}

gateway::~gateway() = default;

status gateway::run()
{
    return impl_->run();
}

} // namespace jujubevalve
