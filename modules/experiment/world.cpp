#include "experiment/world.h"

#include <fmt/format.h>
#include <stdexcept>
#include <utility>

namespace jujubevalve::experiment
{

namespace
{
constexpr std::int64_t term = 1;
constexpr auto history_incarnation = "earlier-0000000000000000";
} // namespace

world::world(deployment chosen, const world_options& chosen_options, std::uint64_t chosen_seed)
    : site{std::move(chosen)}
    , options{chosen_options}
    , seed{chosen_seed}
    , random{chosen_seed}
    , faults{std::make_shared<memory_faults>()}
    , table{faults}
    , objects{faults}
    , list{[this] { return events.now(); }, list_lag, faults}
{
    checker.trace(options.trace);
    demand = draw_demand(site, options.requests_per_ms, random);
    demand.plain_share = options.plain_share;
    set_up_platform();
    for (std::int64_t i = 0; i < site.routers; ++i) {
        instances_.push_back(site.instance(i));
    }
    for (std::int64_t i = 0; i < site.routers; ++i) {
        start_router(i);
    }
}

world::~world() = default;

void world::set_up_platform()
{
    const auto config = make_config(site, demand);
    config_log_entry initial;
    initial.version = 1;
    initial.apply_id = "first";
    initial.operator_name = site.operator_name;
    initial.term = term;
    initial.changes = diff(config_snapshot{}, config);
    transaction change;
    change.writes = {{std::string{term_key}, encode(term_row{term, site.operator_name})},
                     {std::string{config_head_key}, encode_config_head(1)},
                     {config_log_key(1), encode(initial)}};
    for (const auto& [name, row] : config.routes()) {
        change.writes.push_back({route_key(name), encode(row)});
    }
    for (const auto& [name, row] : config.pools()) {
        change.writes.push_back({pool_key(name), encode(row)});
        checker.set_limit(row.budget, row.limit_tokens, row.safety_margin_tokens);
        for (const auto& server : row.servers) {
            servers.emplace(server.name, std::make_unique<sim_server>(server, events, checker));
        }
    }
    commit_initial_rows(change);
    if (options.remaining_demand > time_ms{}) {
        add_spend_history(config);
    }
}

// Adds an earlier incarnation with a closed grant that has spent all but the remaining demand.
void world::add_spend_history(const config_snapshot& config)
{
    const auto limit_period = minutes(30 * 24 * 60);
    transaction change;
    for (const auto& [name, row] : config.pools()) {
        const auto remaining =
            static_cast<token_count>(static_cast<double>(row.limit_tokens) *
                                     static_cast<double>(options.remaining_demand.count()) /
                                     static_cast<double>(limit_period.count()));
        const auto spent = std::max<token_count>(0, row.grantable() - remaining);
        checker.add_history(row.budget, spent);
        change.writes.push_back({ledger_key(row.budget), to_text(ledger_row{spent})});
        grant_row grant;
        grant.granted = spent;
        grant.seq = 1;
        grant.closed = true;
        change.writes.push_back({grant_key(row.budget, history_incarnation), to_text(grant)});
    }
    commit_initial_rows(change);
}

void world::commit_initial_rows(const transaction& change)
{
    if (table.commit(change).outcome != commit_outcome::committed) {
        throw std::logic_error{"initial platform rows could not be committed"};
    }
}

sim_router& world::start_router(std::int64_t number)
{
    const auto instance = site.instance(number);
    const auto incarnation = fmt::format("{}-{:016x}", instance, ++start_count_);
    auto& router = routers.emplace_back(
        std::make_unique<sim_router>(*this, instance, incarnation, site.domain_of(number)));
    latest_router_[instance] = router.get();
    router->start();
    return *router;
}

sim_router* world::router_at(const std::string& instance) const
{
    const auto found = latest_router_.find(instance);
    return found == latest_router_.end() || !found->second->is_alive() ? nullptr : found->second;
}

void world::deliver(const std::string& instance, const sim_request& request,
                    const reply_function& reply)
{
    events.after(link_delay, [this, instance, request, reply] {
        auto* const target = router_at(instance);
        if (target == nullptr) {
            events.after(link_delay, [reply] { reply(sim_reply{sim_reply::kind::not_delivered}); });
            return;
        }
        target->run([target, request, reply] { target->requests().receive(request, reply); });
    });
}

void world::send(const std::string& from, const std::string& to,
                 std::function<void(sim_router&)> receive)
{
    events.after(link_delay, [this, from, to, receive = std::move(receive)] {
        auto* const target = router_at(to);
        if (target != nullptr && links.linked(from, to)) {
            target->run([target, receive] { receive(*target); });
        }
    });
}

void world::read(sim_router& from, const std::vector<std::string>& keys,
                 const std::function<void(const result<std::vector<table_row>>&)>& done)
{
    using rows = result<std::vector<table_row>>;
    const rows failed{failure{result_code::platform_unavailable, "no answer"}};
    call_platform<rows>(
        from, [this, keys] { return table.read(keys); }, failed, failed, done);
}

void world::commit(sim_router& from, const transaction& change,
                   const std::function<void(const commit_result&)>& done)
{
    call_platform<commit_result>(
        from, [this, change] { return table.commit(change); },
        {commit_outcome::unavailable, {}, {}}, {commit_outcome::unknown, {}, {}}, done);
}

void world::put(sim_router& from, const std::string& name, const std::string& content,
                const std::function<void(const status&)>& done)
{
    const status failed{failure{result_code::platform_unavailable, "no answer"}};
    call_platform<status>(
        from, [this, name, content] { return objects.put(name, content); }, failed, failed, done);
}

config_snapshot world::newest_config()
{
    const auto snapshot = load_snapshot(table);
    return snapshot ? *snapshot : config_snapshot{};
}

void world::apply(const std::string& operator_name, const config_snapshot& base,
                  const std::function<void(config_snapshot::pool_table&)>& edit)
{
    apply_request request;
    request.base = base;
    request.routes = base.routes();
    request.pools = base.pools();
    edit(request.pools);
    request.apply_id = fmt::format("apply-{}", ++apply_count_);
    request.operator_name = operator_name;
    request.at = events.now();
    constexpr int max_attempts = 10;
    commit_edit(std::make_shared<apply_planner>(std::move(request)), max_attempts);
}

void world::commit_edit(const std::shared_ptr<apply_planner>& planner, int attempts)
{
    if (attempts == 0) {
        return;
    }
    const auto retry = [this, planner, attempts](time_ms delay) {
        events.after(delay, [this, planner, attempts] { commit_edit(planner, attempts - 1); });
    };
    const auto resolve = [this, planner] {
        const auto log = table.read(planner->resolve_keys());
        const auto step = log ? planner->resolve(*log) : result<apply_step>{log.error()};
        return step ? *step : apply_step::unavailable;
    };
    const auto rows = table.read(planner->keys());
    const auto change = rows ? planner->plan(*rows) : result<transaction>{rows.error()};
    if (!change) {
        if (change.error().code == result_code::stale_version && resolve() == apply_step::done) {
            record_applied(*planner);
        } else if (change.error().code == result_code::platform_unavailable) {
            retry(seconds(1));
        }
        return;
    }
    // The delay lets another operator commit between the read and the commit.
    events.after(platform_delay, [this, planner, retry, resolve, change = *change] {
        auto step = planner->classify(table.commit(change));
        if (step == apply_step::read_log) {
            step = resolve();
        }
        if (step == apply_step::done) {
            record_applied(*planner);
        } else if (step != apply_step::stale && step != apply_step::refused) {
            retry(time_ms{200});
        }
    });
}

void world::record_applied(const apply_planner& planner)
{
    applied_at.try_emplace(planner.version(), events.now());
    for (const auto& change : planner.changes().pools) {
        if (change.after) {
            checker.set_limit(change.after->budget, change.after->limit_tokens,
                              change.after->safety_margin_tokens);
        }
    }
}

std::int64_t world::free_slots(const std::string& server_set) const
{
    std::int64_t slots = 0;
    for (const auto& [name, server] : servers) {
        slots += name.starts_with(server_set) ? server->free_slots() : 0;
    }
    return slots;
}

void world::check_final_state()
{
    const auto counts = faults->counts();
    checker.report().platform_writes = counts.writes;
    checker.report().platform_reads = counts.reads;
    faults->set({});
    segment_reader reader;
    if (const auto names = objects.list("segments/")) {
        for (const auto& name : *names) {
            const auto text = objects.get(name);
            if (const auto read = text ? parse_segment(*text) : result<segment>{text.error()}) {
                reader.add(*read);
            }
        }
    }
    checker.check_bill(reader.bill());
    const auto config = newest_config();
    for (const auto& incarnation : checker.killed()) {
        for (const auto& [name, row] : config.pools()) {
            const auto rows = table.read({grant_key(row.budget, incarnation)});
            const auto grant =
                rows ? parse_grant_row(rows->front().value) : result<grant_row>{rows.error()};
            if (grant) {
                checker.check_closed_grant(incarnation, row.budget, *grant);
            }
        }
    }
}

} // namespace jujubevalve::experiment
