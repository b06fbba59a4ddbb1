#include "experiment/sim_requests.h"

#include "experiment/world.h"

#include <fmt/format.h>
#include <utility>

namespace jujubevalve::experiment
{

namespace
{
constexpr std::string_view fleet_secret = "secret-of-the-experiment";
constexpr std::size_t max_servers_tried = 4;
constexpr int max_intent_attempts = 5;
constexpr time_ms intent_retry_delay{100};
constexpr time_ms max_admission_wait{2000};
constexpr time_ms budget_retry_after{1000};
constexpr time_ms engine_idle_timeout{3000};
constexpr time_ms call_timeout{30'000};
// As in server_pools: an instance may use twice its equal share of the slots before requests queue.
constexpr std::int64_t share_factor = 2;
constexpr std::int64_t term = 1;

std::string body_digest(const sim_request& request)
{
    return fmt::format("{:064x}", request.id);
}
} // namespace

sim_requests::sim_requests(world& sim, sim_router& router, const std::string& incarnation)
    : sim_{sim}
    , router_{router}
    , epochs_{sim.events.now()}
    , prefixes_{std::string{fleet_secret}}
    , home_{incarnation, key_prefix{std::string{fleet_secret}}}
    , registry_{incarnation, epochs_}
{
}

void sim_requests::set_config(const config_snapshot& config)
{
    for (const auto& [name, row] : config.pools()) {
        if (!row.servers_of.empty()) {
            continue;
        }
        auto& group = groups_[name];
        if (!group) {
            group = std::make_unique<server_group>(hash64(router_.incarnation() + name, sim_.seed));
        }
        group->selector.servers().set_servers(row.servers);
    }
}

void sim_requests::set_listed_leaving(const std::set<std::string>& names)
{
    for (auto& [set, group] : groups_) {
        auto& servers = group->selector.servers();
        for (server_index i = 0; i < servers.size(); ++i) {
            const auto name = servers.row(i).name;
            servers.set_listed_leaving(name, names.contains(name));
        }
    }
}

void sim_requests::tick()
{
    const auto now = sim_.events.now();
    for (auto& [set, group] : groups_) {
        auto& servers = group->selector.servers();
        for (server_index i = 0; i < servers.size(); ++i) {
            const auto name = servers.row(i).name;
            servers.set_report(name, sim_.servers.at(name)->report());
        }
        apply_admission(set, group->queue.set_share(servers.slots() * share_factor,
                                                    router_.live_instances(), now));
        apply_admission(set, group->queue.expire(now));
    }
    registry_.expire(now);
}

sim_requests::server_group& sim_requests::group_of(const std::string& server_set)
{
    return *groups_.at(server_set);
}

std::string sim_requests::prefix(const std::string& account) const
{
    return prefixes_.issue(router_.incarnation(), epochs_.at(sim_.events.now()), account);
}

void sim_requests::receive(const sim_request& request, const reply_function& reply)
{
    const auto connection = ++last_connection_;
    connections_.emplace(connection, reply);
    if (router_.budgets().grants().is_stopped()) {
        refuse(connection, request, result_code::stopped, run_outcome::not_run);
        return;
    }
    if (!groups_.contains(request.server_set)) {
        refuse(connection, request, result_code::not_ready, run_outcome::not_run,
               budget_retry_after);
        return;
    }
    if (request.idempotent) {
        begin(connection, request, 0, true);
        return;
    }
    apply_home_decision(connection, request, home_.decide(request.account, request.key, router_));
}

void sim_requests::apply_home_decision(std::uint64_t connection, const sim_request& request,
                                       const home_decision& decision)
{
    switch (decision.action) {
    case home_action::run_here:
        begin(connection, request, decision.epoch, true);
        return;
    case home_action::forward:
        forward(connection, request, decision.incarnation);
        return;
    case home_action::write_intent:
        if (const auto run = begin(connection, request, epochs_.at(sim_.events.now()), false)) {
            insert_intent(run, 1);
        }
        return;
    case home_action::refuse:
        refuse(connection, request, decision.error.code, run_outcome::not_run);
        return;
    default:
        refuse(connection, request, decision.error.code, run_outcome::unknown);
        return;
    }
}

void sim_requests::forward(std::uint64_t connection, const sim_request& request,
                           const std::string& to)
{
    const auto target = instance_of(to);
    const auto* const peer = sim_.router_at(target);
    const bool reachable = peer != nullptr && peer->incarnation() == to;
    if (request.forwarded || !reachable || !sim_.links.linked(router_.instance(), target)) {
        refuse(connection, request, result_code::key_home_gone,
               key_home::refusal_away_from_home(request.attempt, false));
        return;
    }
    auto message = request;
    message.forwarded = true;
    sim_.deliver(target, message, [this, connection, request, target](const sim_reply& reply) {
        if (!sim_.links.linked(router_.instance(), target)) {
            return;
        }
        router_.run([this, connection, request, reply] {
            if (reply.what == sim_reply::kind::answered || reply.what == sim_reply::kind::error) {
                reply_to(connection, reply);
                return;
            }
            const bool may_have_run = reply.what != sim_reply::kind::not_delivered;
            refuse(connection, request, result_code::key_home_gone,
                   key_home::refusal_away_from_home(request.attempt, may_have_run));
        });
    });
    // Covers a lost reply: the link may have been cut in the meantime.
    router_.after(call_timeout, [this, connection, request] {
        refuse(connection, request, result_code::key_home_gone, run_outcome::unknown);
    });
}

void sim_requests::insert_intent(const run_ptr& run, int attempt)
{
    const auto& request = run->request;
    const auto name = intent_row::name(request.account, request.key);
    const intent_row own{router_.incarnation(), epochs_.at(sim_.events.now())};
    transaction insert;
    insert.conditions.push_back({name, 0});
    insert.writes.push_back({name, own.to_json()});
    sim_.commit(router_, insert, [this, run, name, own, attempt](const commit_result& committed) {
        const auto decide = [this, run, attempt](const intent_result& observed) {
            const auto& original = run->request;
            const auto decision =
                home_.after_intent(original.account, original.key, observed, router_);
            if (decision.action == home_action::retry_intent) {
                router_.after(intent_retry_delay,
                              [this, run, attempt] { insert_intent(run, attempt + 1); });
            } else {
                after_intent(run, decision);
            }
        };
        intent_result observed{intent_outcome::unknown, own, run->request.attempt,
                               attempt == max_intent_attempts};
        if (committed.outcome != commit_outcome::conflict) {
            if (committed.outcome == commit_outcome::committed) {
                observed.outcome = intent_outcome::inserted;
            } else if (committed.outcome == commit_outcome::unavailable && attempt == 1) {
                observed.outcome = intent_outcome::unavailable;
            }
            decide(observed);
            return;
        }
        sim_.read(router_, {name}, [observed, decide](const auto& rows) {
            auto result = observed;
            const auto row = rows ? intent_row::from_json(rows->front().value)
                                  : jujubevalve::result<intent_row>{failure{}};
            if (row) {
                result.outcome = intent_outcome::exists;
                result.row = *row;
            }
            decide(result);
        });
    });
}

void sim_requests::after_intent(const run_ptr& run, const home_decision& decision)
{
    const auto now = sim_.events.now();
    if (decision.action == home_action::run_here) {
        if (registry_.confirm_home(run->id, decision.epoch, now)) {
            admit(run);
        } else {
            finish_refused(run, result_code::key_expired);
        }
        return;
    }
    if (decision.action != home_action::forward) {
        finish_refused(run, decision.error.code);
        return;
    }
    registry_.withdraw(run->id);
    run->ended = true;
    runs_.erase(run->id);
    for (const auto connection : run->waiting_connections) {
        forward(connection, run->request, decision.incarnation);
    }
}

execution_request sim_requests::to_execution(const sim_request& request, std::int64_t epoch,
                                             bool home_confirmed) const
{
    return {request.account, request.key,     body_digest(request), request.idempotent,
            epoch,           request.attempt, home_confirmed};
}

sim_requests::run_ptr sim_requests::begin(std::uint64_t connection, const sim_request& request,
                                          std::int64_t epoch, bool home_confirmed)
{
    const auto begun =
        registry_.begin(to_execution(request, epoch, home_confirmed), sim_.events.now());
    switch (begun.action) {
    case begin_action::start:
        break;
    case begin_action::join:
        runs_.at(begun.id)->waiting_connections.push_back(connection);
        return nullptr;
    case begin_action::answered: {
        sim_reply reply{sim_reply::kind::answered};
        reply.content = std::strtoull(begun.answer->body.c_str(), nullptr, 10);
        reply_to(connection, reply);
        return nullptr;
    }
    case begin_action::refused:
    case begin_action::outcome_unknown:
        refuse(connection, request, begun.error.code,
               begun.action == begin_action::refused ? run_outcome::not_run : run_outcome::unknown);
        return nullptr;
    }
    auto run = std::make_shared<execution>();
    run->request = request;
    run->id = begun.id;
    run->waiting_connections.push_back(connection);
    runs_.emplace(run->id, run);
    retries_.add_request();
    if (!request.resume_key.empty()) {
        resume_from_other_router(run);
    } else if (home_confirmed) {
        admit(run);
    }
    return run;
}

void sim_requests::resume_from_other_router(const run_ptr& run)
{
    const auto& request = run->request;
    auto& server = *sim_.servers.at(request.resume_server);
    const bool known = registry_.mark_sent(run->id) &&
                       server.resume(request.resume_key, [this, run](const auto& answer) {
                           router_.after(world::link_delay, [this, run, answer] {
                               if (answer.outcome != server_answer::ending::ended) {
                                   finish_unknown(run);
                                   return;
                               }
                               ++sim_.checker.report().chats_resumed;
                               // Only the bill entry is written here: the spend is settled by the
                               // incarnation that started the run.
                               const auto& original = run->request;
                               router_.budgets().add_bill(
                                   {original.account, original.key, original.budget, answer.used});
                               finish_answered(run, answer);
                           });
                       });
    if (!known) {
        registry_.mark_not_delivered(run->id);
        admit(run);
    }
}

void sim_requests::admit(const run_ptr& run)
{
    const auto& request = run->request;
    const auto now = sim_.events.now();
    const auto& set = request.server_set;
    router_.after(max_admission_wait, [this, set] {
        apply_admission(set, group_of(set).queue.expire(sim_.events.now()));
    });
    apply_admission(set, group_of(set).queue.offer({run->id, request.account, request.reservation,
                                                    0, now + max_admission_wait},
                                                   now));
}

void sim_requests::apply_admission(const std::string& /*server_set*/,
                                   const admission_change& change)
{
    for (const auto id : change.admitted) {
        reserve(runs_.at(id));
    }
    for (const auto& refused : change.refused) {
        const auto found = runs_.find(refused.id);
        if (found != runs_.end()) {
            finish_refused(found->second, refused.error.code, refused.retry_after);
        }
    }
}

void sim_requests::reserve(const run_ptr& run)
{
    router_.budgets().reserve(run->request.budget, run->request.reservation,
                              [this, run](const result<reservation_id>& reserved) {
                                  if (!reserved) {
                                      finish_refused(run, reserved.error().code);
                                      return;
                                  }
                                  run->reservation = *reserved;
                                  try_server(run);
                              });
}

void sim_requests::try_server(const run_ptr& run)
{
    const auto& request = run->request;
    auto& selector = group_of(request.server_set).selector;
    const auto choice =
        selector.choose({request.account, request.idempotent, run->tried}, sim_.events.now());
    if (!choice || run->tried.size() >= max_servers_tried) {
        if (choice) {
            selector.finished(choice->name, backend_selector::ending::neutral, sim_.events.now());
        }
        router_.budgets().release(run->reservation);
        finish_refused(run, choice ? result_code::backend_refused : choice.error().code);
        return;
    }
    run->tried.push_back(choice->name);
    const auto n = router_.budgets().assign(choice->name, request.budget, request.reservation);
    if (!n || !registry_.mark_sent(run->id)) {
        selector.finished(choice->name, backend_selector::ending::neutral, sim_.events.now());
        if (n) {
            router_.budgets().unassign(choice->name, *n, false);
        }
        router_.budgets().release(run->reservation);
        finish_refused(run, result_code::overloaded);
        return;
    }
    run->server = choice->name;
    run->n = *n;
    submit(run);
}

void sim_requests::submit(const run_ptr& run)
{
    const auto key = server_request_key(router_.incarnation(), run->server, run->n);
    std::uniform_real_distribution<> fraction{0.0, 1.0};
    const bool silent = fraction(sim_.random) < sim_.options.silent_share;
    const bool mixed = fraction(sim_.random) < sim_.options.mixed_share;
    const auto server = run->server;
    sim_.events.after(world::link_delay, [this, run, key, server, silent, mixed] {
        sim_.servers.at(server)->submit(key, run->request, [=, this](const server_answer& answer) {
            if (mixed) {
                // The answer to another request arrives first on this connection.
                auto other = answer;
                other.key += "0";
                other.content += 1;
                router_.after(world::link_delay,
                              [=, this] { handle_server_answer(run, key, other); });
            }
            if (!silent || answer.outcome == server_answer::ending::refused) {
                router_.after(world::link_delay,
                              [=, this] { handle_server_answer(run, key, answer); });
            }
        });
    });
    if (!silent) {
        return;
    }
    if (run->request.idempotent) {
        const auto silent_at = time_ms{static_cast<std::int64_t>(
            fraction(sim_.random) * static_cast<double>(run->request.duration.count()))};
        router_.after(silent_at + engine_idle_timeout,
                      [this, run, server, key] { resume_silent(run, server, key); });
    } else {
        router_.after(call_timeout, [this, run, server, key] {
            if (!run->ended && run->server == server) {
                group_of(run->request.server_set)
                    .selector.finished(server, backend_selector::ending::failed, sim_.events.now());
                router_.budgets().settle(run->reservation, std::nullopt);
                router_.budgets().settle_number(server, run->n);
                finish_unknown(run);
            }
        });
    }
}

void sim_requests::resume_silent(const run_ptr& run, const std::string& server,
                                 const std::string& key)
{
    if (run->ended || run->server != server) {
        return;
    }
    const bool known =
        sim_.servers.at(server)->resume(key, [this, run, key](const server_answer& answer) {
            router_.after(world::link_delay,
                          [this, run, key, answer] { handle_server_answer(run, key, answer); });
        });
    if (known) {
        ++sim_.checker.report().chats_resumed;
    }
}

void sim_requests::handle_server_answer(const run_ptr& run, const std::string& key,
                                        const server_answer& answer)
{
    if (run->ended || run->server.empty() || answer.key != key) {
        return;
    }
    auto& budgets = router_.budgets();
    auto& selector = group_of(run->request.server_set).selector;
    const auto server = std::exchange(run->server, {});
    const auto now = sim_.events.now();
    switch (answer.outcome) {
    case server_answer::ending::ended:
        selector.finished(server, backend_selector::ending::succeeded, now);
        budgets.settle(run->reservation, answer.used);
        budgets.settle_number(server, run->n);
        budgets.add_bill(
            {run->request.account, run->request.key, run->request.budget, answer.used});
        finish_answered(run, answer);
        return;
    case server_answer::ending::refused:
        selector.finished(server, backend_selector::ending::neutral, now);
        budgets.unassign(server, run->n, false);
        registry_.mark_not_delivered(run->id);
        try_server(run);
        return;
    case server_answer::ending::cancelled:
        selector.finished(server, backend_selector::ending::neutral, now);
        budgets.settle(run->reservation, answer.used);
        budgets.settle_number(server, run->n);
        finish_unknown(run);
        return;
    }
}

void sim_requests::finish_answered(const run_ptr& run, const server_answer& answer)
{
    sim_reply reply{sim_reply::kind::answered};
    reply.content = answer.content;
    recorded_answer recorded;
    recorded.body = std::to_string(answer.content);
    recorded.tokens = answer.used;
    registry_.mark_answered(run->id, recorded, sim_.events.now());
    end(run, reply);
}

void sim_requests::finish_refused(const run_ptr& run, result_code code, time_ms retry_after)
{
    const auto outcome = registry_.refuse(run->id, {code, {}}, sim_.events.now());
    end(run, refusal(run->request, code, outcome, retry_after));
}

void sim_requests::finish_unknown(const run_ptr& run)
{
    if (run->ended) {
        return;
    }
    const bool first =
        registry_.mark_unknown(run->id, {result_code::backend_lost, {}}, sim_.events.now());
    if (first && !run->request.idempotent) {
        const auto& request = run->request;
        router_.budgets().add_bill(
            {request.account, request.key, request.budget, request.reservation});
    }
    end(run, refusal(run->request, result_code::backend_lost, run_outcome::unknown, time_ms{}));
}

void sim_requests::end(const run_ptr& run, const sim_reply& reply)
{
    if (std::exchange(run->ended, true)) {
        return;
    }
    runs_.erase(run->id);
    for (const auto connection : run->waiting_connections) {
        reply_to(connection, reply);
    }
    const auto& set = run->request.server_set;
    apply_admission(set, group_of(set).queue.release(run->id, sim_.events.now()));
}

sim_reply sim_requests::refusal(const sim_request& request, result_code code, run_outcome outcome,
                                time_ms retry_after)
{
    sim_reply reply{sim_reply::kind::error};
    reply.code = code;
    reply.outcome = outcome;
    reply.try_next = router_.alternatives(request.budget);
    reply.retry_after = retry_after;
    if (code == result_code::budget_exhausted || code == result_code::budget_unavailable) {
        reply.retry_after = budget_retry_after;
    }
    return reply;
}

void sim_requests::refuse(std::uint64_t connection, const sim_request& request, result_code code,
                          run_outcome outcome, time_ms retry_after)
{
    if (connections_.contains(connection)) {
        reply_to(connection, refusal(request, code, outcome, retry_after));
    }
}

void sim_requests::reply_to(std::uint64_t connection, const sim_reply& reply)
{
    const auto found = connections_.find(connection);
    if (found == connections_.end()) {
        return;
    }
    const auto send = std::move(found->second);
    connections_.erase(found);
    sim_.events.after(world::link_delay, [send, reply] { send(reply); });
}

void sim_requests::break_connections()
{
    for (const auto& [id, run] : runs_) {
        sim_reply lost{sim_reply::kind::lost};
        if (run->request.idempotent && !run->server.empty()) {
            lost.resume_server = run->server;
            lost.resume_key = server_request_key(router_.incarnation(), run->server, run->n);
        }
        for (const auto connection : run->waiting_connections) {
            reply_to(connection, lost);
        }
    }
    while (!connections_.empty()) {
        reply_to(connections_.begin()->first, sim_reply{sim_reply::kind::lost});
    }
}

void sim_requests::drain()
{
    registry_.drain();
    for (const auto& [id, run] : runs_) {
        if (!run->server.empty()) {
            sim_.checker.in_flight_at_drain(run->request.id);
        }
    }
}

std::optional<final_records> sim_requests::final() const
{
    return registry_.final(sim_.events.now());
}

} // namespace jujubevalve::experiment
