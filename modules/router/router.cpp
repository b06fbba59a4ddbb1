#include "router/router.h"

#include "router/caller_api.h"
#include "router/periodic_task.h"
#include "router/poll_interval.h"
#include "router/recovery_service.h"
#include "router/transfer_service.h"

#include <chrono>
#include <spdlog/spdlog.h>
#include <thread>
#include <utility>

namespace jujubevalve
{

namespace
{
constexpr time_ms refill_interval{200};
constexpr time_ms admission_interval{100};
constexpr time_ms directory_interval{2000};
constexpr time_ms recovery_interval{2000};
constexpr time_ms transfer_interval{1000};
// A router that no peer can reach learns of a new configuration version only by this poll; the
// target is 19 s.
constexpr time_ms max_config_poll_interval{8000};
// Recovery waits for two reads of the instance list in addition to the maximum request time of five
// minutes, so longer intervals would prolong it.
constexpr time_ms max_platform_list_interval{120'000};
constexpr std::size_t max_announced_budgets = 64;
constexpr std::size_t incarnation_bytes = 8;

std::string make_incarnation(const std::string& instance)
{
    return instance + "-" + random_hex(incarnation_bytes);
}

peer_options to_peer_options(const router_settings& settings, const std::string& incarnation)
{
    peer_options options;
    options.secret = settings.fleet_secret;
    options.term = settings.term;
    options.incarnation = incarnation;
    options.address = settings.peer_listen;
    return options;
}

backend_options to_backend_options(const router_settings& settings)
{
    backend_options options;
    options.idle_timeout = settings.engine_idle_timeout;
    options.stream_timeout = settings.request_timeout;
    options.call_timeout = settings.request_timeout;
    return options;
}

http_server_options to_http_options(const router_settings& settings)
{
    http_server_options options;
    options.address = settings.listen;
    options.max_body_bytes = settings.max_request_bytes;
    options.max_connections = static_cast<unsigned>(settings.max_connections);
    options.idle_timeout = settings.caller_idle_timeout;
    return options;
}
} // namespace

class router::impl
{
public:
    explicit impl(const router_settings& settings)
        : settings_{settings}
        , incarnation_{make_incarnation(settings.instance)}
        , platform_{{settings.platform, settings.platform_credential}}
        , peers_{to_peer_options(settings_, incarnation_), counts_}
        , backends_{to_backend_options(settings_), counts_}
        , pools_{backends_, counts_}
        , budgets_{incarnation_,           settings.term, settings.policy,
                   settings.grant_horizon, platform_,     counts_}
        , config_{settings.term, platform_,
                  peers_,        settings.peer_timeout,
                  counts_,       [this](const config_snapshot& config) { adopt(config); }}
        , executions_{incarnation_, key_epochs{clock_.now()}}
        , unresolved_{backends_, pools_, budgets_, counts_, settings.request_timeout}
        , peer_server_{to_peer_options(settings_, incarnation_), make_handler(), counts_}
        , http_server_{to_http_options(settings_),
                       [this](const http_request& request) { return handle(request); }}
        , own_{make_instance_row()}
        , members_{make_member_entry(), settings_, peers_}
        , directory_{members_, platform_}
        , transfers_{budgets_, members_, platform_, peers_, settings.peer_timeout, counts_}
        , recovery_{own_,   settings_, platform_,  peers_, backends_,
                    pools_, config_,   directory_, counts_}
        , context_{settings_,
                   incarnation_,
                   config_,
                   members_,
                   directory_,
                   budgets_,
                   pools_,
                   backends_,
                   executions_,
                   platform_,
                   peers_,
                   counts_,
                   runs_,
                   draining_,
                   [this](const std::string& budget, token_count tokens) {
                       return transfers_.request(budget, tokens);
                   }}
        , chats_{context_, unresolved_}
        , calls_{context_}
        , api_{context_, chats_, calls_}
    {
        members_.on_newer_config([this](const config_source& source) { config_.fetch(source); });
        members_.on_peer_shortage([this](const std::vector<std::string>& sought) {
            budgets_.with_grants([&](grant_tracker& book) {
                for (const auto& budget : sought) {
                    book.record_peer_shortage(budget, clock_.now());
                }
            });
        });
        serving_.store(true);
        start_up();
        start_tasks();
    }

    ~impl() { stop(); }
    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    bool drain(time_ms limit)
    {
        spdlog::info("starting drain");
        draining_ = true;
        members_.set_draining();
        gossip_task_->wake();
        executions_.with_registry([](auto& all) { all.drain(); });
        wait_for(settings_.stopping_grace);
        // A body that trickles in must not hold up the drain for ever.
        const auto arrival_deadline = clock_.now() + settings_.caller_idle_timeout;
        while (executions_.active() > 0 || api_.open_responses() > 0 ||
               (http_server_.unanswered() > 0 && clock_.now() < arrival_deadline)) {
            wait_for(time_ms{20});
        }
        http_server_.stop_listening();
        const bool clean = finish_drain(clock_.now() + limit);
        spdlog::info("finished drain, {}", clean ? "grants returned" : "grants left for recovery");
        return clean;
    }

    [[nodiscard]] bool must_stop() const { return budgets_.is_stopped() || budgets_.is_fenced(); }
    [[nodiscard]] std::string http_address() const { return http_server_.address(); }
    [[nodiscard]] std::string peer_address() const { return peer_server_.address(); }
    [[nodiscard]] const std::string& incarnation() const { return incarnation_; }

private:
    http_response handle(const http_request& request)
    {
        if (!serving_) {
            http_response starting;
            starting.status = describe(result_code::not_ready).http_status;
            starting.body = R"({"error":{"code":3008,"type":"not_ready","outcome":"not_run",)"
                            R"("message":"the instance is starting"}})";
            return starting;
        }
        return api_.handle(request);
    }

    instance_row make_instance_row() const
    {
        instance_row row;
        row.instance = settings_.instance;
        row.incarnation = incarnation_;
        row.http_address =
            settings_.advertise.empty() ? http_server_.address() : settings_.advertise;
        row.peer_address =
            settings_.peer_advertise.empty() ? peer_server_.address() : settings_.peer_advertise;
        row.peer_bound = row.peer_address == peer_server_.address();
        row.failure_domain = settings_.failure_domain;
        row.region = settings_.region;
        row.term = settings_.term;
        return row;
    }

    member_entry make_member_entry() const
    {
        member_entry entry;
        entry.instance = own_.instance;
        entry.incarnation = own_.incarnation;
        entry.http_address = own_.http_address;
        entry.peer_address = own_.peer_address;
        entry.failure_domain = own_.failure_domain;
        entry.region = own_.region;
        entry.started_ms = wall_clock_ms{}.now().count();
        return entry;
    }

    // Calls from peers can arrive before all members are constructed; they wait until the router is
    // serving.
    template <class Request, class Answer>
    auto when_serving(const Answer& answer)
    {
        return [this, answer](const Request& request, const peer_caller& /*caller*/) {
            while (!serving_) {
                wait_for(time_ms{5});
            }
            return answer(request);
        };
    }

    peer_handler make_handler()
    {
        peer_handler handler;
        handler.gossip = when_serving<wire::gossip>(
            [this](const auto& request) { return members_.answer(request); });
        handler.config = when_serving<wire::config_request>(
            [this](const auto& request) { return config_.answer(request); });
        handler.forward = when_serving<wire::forward_request>(
            [this](const auto& request) { return calls_.answer(request); });
        handler.request_transfer = when_serving<wire::transfer_request>(
            [this](const auto& request) { return transfers_.answer(request); });
        handler.offer_transfer = when_serving<wire::transfer_offer>(
            [this](const auto& request) { return transfers_.answer(request); });
        handler.query_received = when_serving<wire::received_query>(
            [this](const auto& request) { return transfers_.answer(request); });
        return handler;
    }

    void adopt(const config_snapshot& config)
    {
        pools_.set_config(config);
        budgets_.set_config(config);
        members_.set_config(config.term(), config.version());
    }

    void start_up()
    {
        registered_ = register_instance();
        if (!config_.poll_platform()) {
            config_.fetch_from_peers(settings_.seeds);
        }
        directory_.poll();
        pools_.poll_load();
    }

    bool register_instance()
    {
        transaction insert;
        const auto key = instance_key(incarnation_);
        insert.conditions.push_back({key, 0});
        insert.writes.push_back({key, to_text(own_)});
        const auto outcome = platform_.commit(insert).outcome;
        // If the response to an earlier commit was lost, the row may already exist.
        return outcome == commit_outcome::committed || outcome == commit_outcome::conflict;
    }

    void start_tasks()
    {
        refill_task_ = std::make_unique<periodic_task>(refill_interval, [this] { refill(); });
        budgets_.on_shortage([this] { refill_task_->wake(); });
        segment_task_ = std::make_unique<periodic_task>(settings_.settle_interval,
                                                        [this] { budgets_.write_segment(); });
        gossip_task_ =
            std::make_unique<periodic_task>(settings_.gossip_interval, [this] { gossip(); });
        config_poll_task_ = std::make_unique<periodic_task>(
            scaled_interval(settings_.config_poll_interval, max_config_poll_interval),
            [this] { config_.poll_platform(); });
        load_task_ = std::make_unique<periodic_task>(settings_.load_interval,
                                                     [this] { pools_.poll_load(); });
        admission_task_ = std::make_unique<periodic_task>(
            admission_interval, [this] { pools_.tick(members_.live_instances()); });
        instance_list_task_ = std::make_unique<periodic_task>(
            scaled_interval(settings_.instance_list_interval, max_platform_list_interval),
            [this] { read_instance_list(); });
        directory_task_ = std::make_unique<periodic_task>(
            scaled_interval(directory_interval, max_platform_list_interval),
            [this] { directory_.poll(); });
        recovery_task_ =
            std::make_unique<periodic_task>(recovery_interval, [this] { recovery_.run(); });
        transfer_task_ = std::make_unique<periodic_task>(transfer_interval, [this] {
            transfers_.resend_unacknowledged();
            unresolved_.resolve();
        });
    }

    // Returns an interval function that keeps the total load on the platform from growing in
    // proportion to the number of routers.
    std::function<time_ms()> scaled_interval(time_ms base, time_ms max_interval)
    {
        return [this, base, max_interval] {
            return poll_interval(base, members_.live_instances(), max_interval);
        };
    }

    // Takes no grants until the instance row exists, because recovery finds incarnations by it.
    void refill()
    {
        if (!registered_) {
            registered_ = register_instance();
        }
        if (registered_) {
            budgets_.refill(members_.live_instances());
        }
        executions_.with_registry([this](auto& all) { all.expire(clock_.now()); });
    }

    void gossip()
    {
        std::map<std::string, std::int64_t, std::less<>> available;
        for (const auto& item : budgets_.largest_available(max_announced_budgets)) {
            available.emplace(item.name, item.spent);
        }
        members_.announce_available(std::move(available));
        members_.run_round();
    }

    void read_instance_list()
    {
        const auto requested_at = clock_.now();
        const auto listed = platform_.instances();
        if (!listed) {
            return;
        }
        std::vector<std::string> names;
        std::set<std::string> leaving;
        for (const auto& item : *listed) {
            names.push_back(item.name);
            if (item.state == instance_state::leaving) {
                leaving.insert(item.name);
            }
        }
        pools_.set_listed_leaving(leaving);
        recovery_.list_read(names, requested_at, clock_.now());
    }

    bool finish_drain(time_ms deadline)
    {
        transfers_.refuse_all();
        bool finished = false;
        while (!finished && clock_.now() < deadline && !must_stop()) {
            transfers_.resend_unacknowledged();
            unresolved_.resolve();
            finished = unresolved_.size() == 0 && transfers_.all_acknowledged() &&
                       budgets_.write_segment() && budgets_.close() && budgets_.write_segment() &&
                       mark_drained();
            if (!finished) {
                wait_for(time_ms{100});
            }
        }
        return finished;
    }

    bool mark_drained()
    {
        const auto records =
            executions_.with_registry([this](auto& all) { return all.final(clock_.now()); });
        if (!records || !platform_.put(final_records_name(incarnation_), records->to_json())) {
            return false;
        }
        const auto key = instance_key(incarnation_);
        const auto rows = platform_.read({key});
        const auto row = rows && !rows->empty() ? parse_instance_row(rows->front().value)
                                                : result<instance_row>{failure{}};
        if (!row) {
            return false;
        }
        if (row->state != incarnation_state::active) {
            return true;
        }
        auto drained = *row;
        drained.state = incarnation_state::drained;
        drained.final_segment = budgets_.last_segment();
        transaction change;
        change.conditions.push_back({key, rows->front().version});
        change.writes.push_back({key, to_text(drained)});
        return platform_.commit(change).outcome == commit_outcome::committed;
    }

    void stop()
    {
        refill_task_.reset();
        segment_task_.reset();
        gossip_task_.reset();
        config_poll_task_.reset();
        load_task_.reset();
        admission_task_.reset();
        instance_list_task_.reset();
        directory_task_.reset();
        recovery_task_.reset();
        transfer_task_.reset();
        members_.stop();
        http_server_.stop();
        runs_.wait_idle(settings_.request_timeout);
    }

    static void wait_for(time_ms time)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds{time.count()});
    }

    router_settings settings_;
    std::string incarnation_;
    counters counts_;
    steady_clock_ms clock_;
    std::atomic<bool> serving_{false};
    std::atomic<bool> draining_{false};
    bool registered_{false};
    http_platform platform_;
    peer_client peers_;
    backend_client backends_;
    server_pools pools_;
    budget_service budgets_;
    config_service config_;
    execution_table executions_;
    unresolved_runs unresolved_;
    task_group runs_;
    peer_server peer_server_;
    http_server http_server_;
    instance_row own_;
    membership_service members_;
    instance_directory directory_;
    transfer_service transfers_;
    recovery_service recovery_;
    service_context context_;
    chat_service chats_;
    call_service calls_;
    caller_api api_;
    std::unique_ptr<periodic_task> refill_task_;
    std::unique_ptr<periodic_task> segment_task_;
    std::unique_ptr<periodic_task> gossip_task_;
    std::unique_ptr<periodic_task> config_poll_task_;
    std::unique_ptr<periodic_task> load_task_;
    std::unique_ptr<periodic_task> admission_task_;
    std::unique_ptr<periodic_task> instance_list_task_;
    std::unique_ptr<periodic_task> directory_task_;
    std::unique_ptr<periodic_task> recovery_task_;
    std::unique_ptr<periodic_task> transfer_task_;
};

router::router(const router_settings& settings)
    : impl_{std::make_unique<impl>(settings)}
{
}

router::~router() = default;

bool router::drain(time_ms limit)
{
    return impl_->drain(limit);
}

bool router::must_stop() const
{
    return impl_->must_stop();
}

std::string router::http_address() const
{
    return impl_->http_address();
}

std::string router::peer_address() const
{
    return impl_->peer_address();
}

std::string router::incarnation() const
{
    return impl_->incarnation();
}

} // namespace jujubevalve
